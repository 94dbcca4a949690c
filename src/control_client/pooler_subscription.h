#pragma once
// A pooler's subscription to database leaderships: its evidence out; leaderships, leases and log
// positions in.
//
// Threading: confirm() and report() from any thread; all else by the client's thread.
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "control_client/control_updates.h"
#include "protocol/control_messages.h"
#include "state/types.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

// The last heartbeat of a registry, which the next request to it names, so that the registry can
// tell how old the samples in that request are.
struct HeartbeatEcho {
  IncarnationId incarnation;  // of the registry
  std::uint64_t serial = 0;   // of the heartbeat; 0: there was none
  TimePoint received_at{};
};

// Invariant: a lease counts from the time at which the request left, and a table is handed on
// before a lease that covers it.
class PoolerSubscription {
 public:
  // Before the client starts. `notify_leaderships`, `notify_samples`: hand updates to the pooler's
  // thread. Without them this process is no pooler.
  void set_listeners(std::function<void(LeadershipUpdate)> notify_leaderships,
                     std::function<void(SampleUpdate)> notify_samples);

  // Nothing is done by a table older than this revision any more.
  void confirm(std::uint64_t revision) {
    confirmed_ = revision;
  }

  // Whether the confirmed revision changed since the last call.
  bool take_confirmation();

  void report(LeadershipEvidence evidence) {
    hand_over(reports_, std::move(evidence), "evidence of leaderships");
  }

  // Takes the newest reported evidence; once for each turn of requests.
  void update_evidence();

  // Adds the confirmed revision and, for leader and source, the evidence.
  // `zone`: of this process. `echo`: of the registry that the request goes to.
  void add_to(SubscribeRequest& request, const std::string& zone, const HeartbeatEcho& echo,
              bool is_leader, bool is_selected) const;

  // Takes the table and the lease that a heartbeat of the leader carries.
  void handle_leaderships(const ControlHeartbeat& heartbeat, TimePoint requested_at);

  // Takes the samples that any registry's heartbeat carries, and notes it for the echo.
  void handle_samples(HeartbeatEcho& echo, IncarnationId incarnation, ControlHeartbeat& heartbeat,
                      TimePoint requested_at, TimePoint now);

 private:
  static constexpr std::size_t max_reports = 16;

  bool is_pooler() const {
    return static_cast<bool>(notify_leaderships_);
  }
  void add_samples(SubscribeRequest& request, const HeartbeatEcho& echo) const;

  std::function<void(LeadershipUpdate)> notify_leaderships_;
  std::function<void(SampleUpdate)> notify_samples_;
  BoundedQueue<LeadershipEvidence> reports_{max_reports, {}};
  LeadershipEvidence evidence_;               // the newest
  std::atomic<std::uint64_t> confirmed_ = 0;  // revision by which the pooler acts
  std::uint64_t notified_ = 0;                // confirmed revision as of the last take_confirmation
  std::uint64_t revision_ = 0;                // of the table handed on
  TimePoint lease_until_{};
};

}  // namespace saddlewing
