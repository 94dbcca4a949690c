#pragma once
// A broker's subscription to the hash ring: its load counts out, the ring and its lease in.
//
// Threading: confirm() and report() from any thread; all else by the client's thread.
#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

#include "control_client/control_updates.h"
#include "protocol/control_messages.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

class RingSubscription {
 public:
  // Before the client starts. `notify`: hands an update to the traffic thread.
  void set_listener(std::function<void(RingUpdate)> notify) {
    notify_ = std::move(notify);
  }

  // The broker acts by this revision alone from now on. True if it did not before.
  bool confirm(std::uint64_t revision) {
    return confirmed_.exchange(revision) != revision;
  }

  // Whether the confirmed revision changed since the last call.
  bool take_confirmation();

  void report(RingCounts counts) {
    hand_over(reports_, std::move(counts), "counts of the ring");
  }

  // Adds the revisions and, for the leader, the counts since the last request to it.
  void add_to(SubscribeRequest& request, bool is_leader);

  // Takes the ring and the lease that a heartbeat of the leader carries.
  // `requested_at`: when the request that it answers left; the lease counts from there.
  void handle_heartbeat(const ControlHeartbeat& heartbeat, TimePoint requested_at);

 private:
  static constexpr std::size_t max_reports = 64;

  void add_counts(SubscribeRequest& request);

  std::function<void(RingUpdate)> notify_;  // empty: this process serves by no ring
  BoundedQueue<RingCounts> reports_{max_reports, {}};
  std::atomic<std::uint64_t> confirmed_ = 0;  // revision by which the broker acts
  std::uint64_t notified_ = 0;                // confirmed revision as of the last take_confirmation
  std::uint64_t revision_ = 0;                // of the ring held
};

}  // namespace saddlewing
