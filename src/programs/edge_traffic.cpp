// The traffic thread by the shared view of edges: what it counts, and what it makes of a view.
#include <algorithm>

#include "programs/traffic.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Span count_every{1000};

}  // namespace

void Traffic::count_edge(const std::string& service, const std::string& zone, EdgeClass kind,
                         Span took, bool has_failed) {
  if (startup_.has_edges)
    edge_counts_.add({service, zone, kind},
                     static_cast<double>(std::max<std::int64_t>(0, took.count())), has_failed);
}

void Traffic::EdgeClock::on_due(Moment now) {
  if (std::string counts = traffic.edge_counts_.take(); !counts.empty() && traffic.follower_)
    traffic.follower_->report_edges(std::move(counts));
  traffic.picker_.set_influence(traffic.edge_gate_.influence(now));
  traffic.schedule_.set(*this, now + count_every);
}

void Traffic::take_edges(EdgeNews news, Moment now) {
  const std::uint64_t before = edge_gate_.serving()->mark;
  if (news.view)
    edge_gate_.take(std::move(news.view));
  if (news.in_force)
    edge_gate_.see_in_force(news.in_force, now);
  picker_.set_influence(edge_gate_.influence(now));
  if (edge_gate_.serving()->mark == before)
    return;
  metrics().set(Metric::edges_mark,
                static_cast<std::int64_t>(edge_gate_.serving()->mark & 0xffffffff));
  mark_edges();
}

// What the view in force says of each backend; requests under way stay where they are.
void Traffic::mark_edges() {
  if (!startup_.has_edges)
    return;
  const std::uint64_t brokers = std::max<std::uint64_t>(1, view_->brokers);
  const bool is_empty = edge_gate_.serving()->states.empty();
  for (const auto& [id, backend] : backends_) {
    const EdgeGate::Standing standing =
        is_empty ? EdgeGate::Standing{}
                 : edge_gate_.standing(backend->service, backend->locality, brokers);
    backend->is_avoided = standing.verdict == EdgeState::Verdict::avoided;
    backend->is_preferred = standing.verdict == EdgeState::Verdict::preferred;
    backend->is_trying = standing.is_trying;
    backend->percent_kept = static_cast<unsigned>(standing.percent_kept);
  }
}

}  // namespace saddlewing
