#pragma once
// The registry's share in the hash ring: knows the committed ring document, hands it to brokers,
// adds up the load that they report, and, at the leader, answers operators and moves virtual nodes
// and accounts.
//
// How a move proceeds is decided by `ShardMigration`, who carries too much by `RingLoadMonitor`.
// The service reaches brokers and nodes through `RingEnvironment`. Used by the control thread only.
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/discovery/service_registry.h"
#include "coordination/placement/ring_load_monitor.h"
#include "coordination/placement/shard_migration.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/ring_messages.h"
#include "registry/control_context.h"
#include "registry/events.h"
#include "state/configuration.h"
#include "state/hash_ring.h"
#include "state/node_settings.h"

namespace saddlewing {

// What the ring service needs of the configuration, of brokers and of the command dispatcher.
class RingEnvironment {
 public:
  virtual ~RingEnvironment() = default;
  // The committed configuration; null until there is one.
  virtual const ConfigurationSnapshot& configuration() const = 0;
  // Inner addresses of the connected brokers, without poolers.
  virtual std::vector<std::string> broker_addresses() const = 0;
  // Sends each connected broker, but no pooler, a heartbeat that carries the ring `encoded_ring` of
  // that revision.
  virtual void send_ring(std::uint64_t revision, const std::string& encoded_ring,
                         TimePoint now) = 0;
  // Hands a command to the dispatcher; false if it has no room for it.
  virtual bool dispatch(DispatchedCommand command) = 0;
};

// Lease and settling time of moves, as they follow from the settings.
MoveOptions move_options(const NodeSettings& settings);

class RingService {
 public:
  // The references must outlive this object. `backends`: where the ring's nodes are reached.
  RingService(const NodeSettings& settings, ControlContext& context, const EndpointTable& backends,
              RingEnvironment& environment);

  // Answers an operator. Only to be called at a leader under a lease.
  RingReply answer(const RingCall& call, TimePoint now);
  // Takes a broker's counts, and adds to `heartbeat` the ring that it lacks and its lease.
  void handle_subscription(const FrameHead& from, const SubscribeRequest& request,
                           ControlHeartbeat& heartbeat, TimePoint now);
  // Takes a newly committed ring and lets the moves proceed. To be called in each round of the
  // loop.
  void tick(TimePoint now);
  // What a node answered to the command `token`.
  void finish_order(std::uint64_t token, const NodeAnswer& answer) {
    migration_.finish_order(token, answer);
  }
  // The proposed ring document was committed or failed; which of both, the next commit tells.
  void finish_proposal() {
    migration_.finish_proposal();
  }

 private:
  RingReply answer_apply(const RingCall& call, TimePoint now);
  RingReply answer_move(const RingCall& call, TimePoint now);
  RingReply answer_undo(const RingCall& call);
  std::string find_conflict(const RingMap& ring) const;
  RingReport report_load(TimePoint now);
  std::vector<std::string> missing_brokers(TimePoint now) const;
  double move_benefit(const RingUnit& unit, const std::string& receiver, TimePoint now) const;
  std::set<std::string> serving_services() const;
  Endpoint find_serving(const std::string& service) const;
  void record_load(const FrameHead& from, const SubscribeRequest& request, TimePoint now);
  void take_committed(TimePoint now);
  void advance_moves(TimePoint now);
  bool take_lookup_health();
  void bound_read_durations();
  void send_order(const ShardMigration::Order& order);
  void check_load(TimePoint now);

  ControlContext& context_;
  const EndpointTable& backends_;
  RingEnvironment& environment_;

  EntrySnapshot seen_entry_;  // the committed entry that was looked at last
  RingDocument document_;     // as committed; revision 0: none
  std::string encoded_document_;
  RingMap ring_;  // in force by `document_`
  ShardMigration migration_;

  RingLoadMonitor load_monitor_{WatchOptions{}};
  RingLoads loads_;
  AccountLoads account_loads_;
  std::map<std::string, TimePoint> counts_received_;  // by inner address of the broker
  double lookups_ = 0;                                // short ones, fading
  double late_lookups_ = 0;                           // those of them that missed their aim
  bool is_overloaded_ = false;  // some node carried too much at the last check

  TimePoint moves_due_{};
  TimePoint load_checked_{};
};

}  // namespace saddlewing
