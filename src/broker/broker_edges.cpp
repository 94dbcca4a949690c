// The traffic thread by the shared view of edges: what it counts, and what it makes of a view.
#include <algorithm>

#include "broker/broker_loop.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration count_every{1000};

}  // namespace

void BrokerLoop::count_edge(const std::string& service, const std::string& zone, EdgeClass kind,
                            Duration took, bool has_failed) {
  if (settings_.has_edges)
    edge_counts_.add({service, zone, kind},
                     static_cast<double>(std::max<std::int64_t>(0, took.count())), has_failed);
}

void BrokerLoop::EdgeClock::on_due(TimePoint now) {
  if (std::string counts = loop.edge_counts_.take(); !counts.empty() && loop.control_client_)
    loop.control_client_->report_edges(std::move(counts));
  loop.picker_.set_influence(loop.edge_selector_.influence(now));
  loop.timers_.set(*this, now + count_every);
}

void BrokerLoop::take_edges(EdgeUpdate news, TimePoint now) {
  const std::uint64_t before = edge_selector_.serving()->revision;
  if (news.view)
    edge_selector_.take(std::move(news.view));
  if (news.in_force)
    edge_selector_.see_in_force(news.in_force, now);
  picker_.set_influence(edge_selector_.influence(now));
  if (edge_selector_.serving()->revision == before)
    return;
  metrics().set(Metric::edges_revision,
                static_cast<std::int64_t>(edge_selector_.serving()->revision & 0xffffffff));
  mark_edges();
}

// What the view in force says of each backend; requests under way stay where they are.
void BrokerLoop::mark_edges() {
  if (!settings_.has_edges)
    return;
  const std::uint64_t brokers = std::max<std::uint64_t>(1, view_->brokers);
  const bool is_empty = edge_selector_.serving()->states.empty();
  for (const auto& [id, backend] : backends_) {
    const EdgeSelector::Standing standing =
        is_empty ? EdgeSelector::Standing{}
                 : edge_selector_.standing(backend->service, backend->zone, brokers);
    backend->is_ejected = standing.verdict == EdgeState::Verdict::avoided;
    backend->is_preferred = standing.verdict == EdgeState::Verdict::preferred;
    backend->is_probing = standing.is_trying;
    backend->kept_traffic_percent = static_cast<unsigned>(standing.percent_kept);
  }
}

}  // namespace saddlewing
