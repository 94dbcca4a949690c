#pragma once
// Operators' changes and reads of the configuration at a registry, from the call to its answer, and
// the rollout of each committed version to the brokers.
//
// Calls are forwarded to the leader, which proposes or reads through Raft. The service does not
// know Raft, operators' connections or brokers: it reaches them through `ConfigurationEnvironment`.
// Used by the control thread only.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/raft/pending_calls.h"
#include "coordination/rollout/version_rollout.h"
#include "protocol/control_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "protocol/trace_messages.h"
#include "protocol/version_trace.h"
#include "registry/control_context.h"
#include "registry/events.h"
#include "registry/peer_links.h"
#include "state/configuration.h"
#include "state/node_settings.h"

namespace saddlewing {

// How long a call waits for its answer: a little less than the operator API waits.
inline constexpr Duration operator_call_timeout{850};

// What the configuration service needs of Raft, of the operator API and of brokers.
class ConfigurationEnvironment {
 public:
  virtual ~ConfigurationEnvironment() = default;
  // Proposes a configuration; the result comes under `token`. Only for a leader.
  virtual void propose_configuration(Version version, const std::string& body, std::uint64_t token,
                                     TimePoint now) = 0;
  // Reads the committed state once a majority confirmed that this registry still leads; the result
  // comes under `token`. Only for a leader.
  virtual void read_committed(std::uint64_t token, TimePoint now) = 0;
  // Answers a call of the own operator API.
  virtual void reply_to_operator(OperatorReply reply) = 0;
  // A new configuration is committed here.
  virtual void apply_configuration(const Configuration& configuration) = 0;
  // The configuration that each connected broker or pooler holds.
  virtual std::vector<Version> held_versions() const = 0;
  // Sends a heartbeat to each of them.
  virtual void notify_brokers(TimePoint now) = 0;
};

class ConfigurationService {
 public:
  // The references must outlive this object.
  ConfigurationService(const NodeSettings& settings, ControlContext& context, PeerSender& peers,
                       ConfigurationEnvironment& environment);

  // A call of the own operator API.
  void handle_operator_call(OperatorCall call, TimePoint now);
  // A call that another registry forwarded to this one as the leader.
  void handle_forwarded_call(const FrameHead& from, ForwardedCall call, TimePoint now);
  // The leader's answer to a call forwarded from here.
  void handle_forwarded_reply(const FrameHead& from, ForwardedReply reply);
  // What became of a proposal or read; tokens of other parts are ignored.
  void handle_result(const RaftNode::Result& result);
  // Hands each waiting call to the leader, and answers those that are done or out of time. To be
  // called in each round of the loop.
  void route_calls(TimePoint now);
  // Takes a newly committed configuration. To be called in each round of the loop.
  void take_committed(TimePoint now);
  // Puts the newest version into force once every broker holds it. To be called in each round of
  // the loop.
  void advance_rollout(TimePoint now);

  // The committed configuration; null until there is one.
  const ConfigurationSnapshot& configuration() const {
    return configuration_;
  }
  // The committed configuration as a payload, if it is newer than `held`.
  std::optional<ConfigurationPayload> payload_after(Version held) const;
  // The version by which brokers serve.
  Version in_force() const {
    return rollout_.in_force();
  }
  // The recent steps of versions here.
  std::vector<VersionEvent> trace(TimePoint now) const {
    return trace_.events(now);
  }
  bool has_waiting_calls() const {
    return !calls_.is_empty();
  }

 private:
  bool is_committed(const PendingCalls::Call& call) const;
  bool is_kept(const PendingCalls::Call& call, const RaftNode::Result& result) const;
  bool route(std::uint64_t token, PendingCalls::Call& call, TimePoint now);
  void start(std::uint64_t token, PendingCalls::Call& call, TimePoint now);
  void finish_call(std::uint64_t token, bool is_done, std::string body);
  void roll_out(const Entry& committed, TimePoint now);

  ControlContext& context_;
  PeerSender& peers_;
  ConfigurationEnvironment& environment_;
  const std::string own_address_;
  PendingCalls calls_;
  EntrySnapshot seen_entry_;  // the committed entry that was looked at last
  ConfigurationSnapshot configuration_;
  std::string packed_body_;  // of `configuration_`, as brokers get it
  VersionRollout rollout_;
  VersionTrace trace_;
};

}  // namespace saddlewing
