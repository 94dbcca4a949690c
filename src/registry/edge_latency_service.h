#pragma once
// The registry's share in the edge latency view: adds up what brokers counted, forwards the sums to
// the leader, and, at the leader, judges the edges and rolls each new view out to all brokers.
//
// The judgement itself is in `EdgeLatencyAggregator`. This service does not know brokers or
// backends: it reads and reaches them through `EdgeEnvironment`. Used by the control thread only.
#include <map>
#include <string>
#include <vector>

#include "coordination/leases/term_fence.h"
#include "coordination/rollout/version_rollout.h"
#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/frame.h"
#include "registry/control_context.h"
#include "registry/peer_links.h"

namespace saddlewing {

// What the edge latency service needs of brokers and backends.
class EdgeEnvironment {
 public:
  using Capacities = std::map<EdgeLatencyAggregator::Edge, double>;
  virtual ~EdgeEnvironment() = default;
  // The newest view that each connected broker holds, in no particular order.
  virtual std::vector<Version> held_edge_views() const = 0;
  // How many requests at once the ready backends of each edge take; of the service "" how many
  // delegated gathers the ready brokers of a region take.
  virtual Capacities edge_capacities() const = 0;
  // Sends a heartbeat to each connected broker.
  virtual void notify_brokers(TimePoint now) = 0;
};

class EdgeLatencyService {
 public:
  // The references must outlive this object.
  EdgeLatencyService(const NodeSettings& settings, ControlContext& context, PeerSender& peers,
                     EdgeEnvironment& environment);

  // Adds what a broker of `region` counted since its last subscription. Counts that do not decode,
  // or are too many, are dropped and counted in the metrics.
  void record_counts(const std::string& region, const std::string& edge_counts);
  // Takes over the leader's view, for the case that this registry leads next. A view of a former
  // leader is dropped.
  void handle_view(const FrameHead& from, const EdgeViewFrame& frame, TimePoint now);
  // At the leader: adds another registry's sums. Sums for another term are dropped.
  void handle_sums(const EdgeSums& sums, TimePoint now);
  // Rolls out a new view, forwards or judges the sums. To be called in each round of the loop.
  void tick(TimePoint now);
  // Adds the leader's view to a heartbeat for a broker that holds the view `held_revision`.
  void fill_heartbeat(std::uint64_t held_revision, ControlHeartbeat& heartbeat) const;
  // The view with all cells as JSON, for operators.
  std::string report(TimePoint now) const;

 private:
  void advance_rollout(TimePoint now);
  EdgeSums take_sums();
  EdgeSnapshot judge(const EdgeSums& sums, TimePoint now);
  void log_changes(const EdgeView& before, const EdgeView& after) const;
  void send_view_to_peers();

  const bool is_enabled_;
  ControlContext& context_;
  PeerSender& peers_;
  EdgeEnvironment& environment_;
  EdgeLatencyAggregator aggregator_;
  std::map<std::string, EdgeCounts> counts_;  // not forwarded yet, by region of the brokers
  VersionRollout rollout_;
  TermFence fence_;           // of the terms in which other registries sent views
  std::string encoded_view_;  // the newest view, as it travels
  TimePoint sums_due_{};
  TimePoint view_sent_{};  // when peers last got the view
};

}  // namespace saddlewing
