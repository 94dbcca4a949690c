#pragma once
// A broker's part in the measurement of edge latencies: its counts out, the registries' view in.
//
// Threading: report() from any thread; all else by the client's thread.
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "control_client/control_updates.h"
#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

class EdgeSubscription {
 public:
  // Before the client starts. `notify`: hands an update to the traffic thread.
  void set_listener(std::function<void(EdgeUpdate)> notify) {
    notify_ = std::move(notify);
  }

  // Counts since the last report, as EdgeCounts encodes them.
  void report(std::string counts) {
    hand_over(reports_, std::move(counts), "counts of edges");
  }

  // Adds the revision held and, for the source, the counts since the last request to it.
  void add_to(SubscribeRequest& request, bool is_selected);

  // Takes the view that a heartbeat of the leader carries. One that does not decode, or that is
  // older than the one held, changes nothing.
  void handle_heartbeat(const ControlHeartbeat& heartbeat);

 private:
  static constexpr std::size_t max_reports = 8;
  static constexpr std::size_t max_edges = 4096;

  std::function<void(EdgeUpdate)> notify_;  // empty: edges are not measured
  BoundedQueue<std::string> reports_{max_reports, {}};
  EdgeCounts sums_{max_edges};  // until the source has them
  std::uint64_t revision_ = 0;  // of the view held
};

}  // namespace saddlewing
