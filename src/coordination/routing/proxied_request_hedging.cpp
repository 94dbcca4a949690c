// When a request sends a hedged attempt beside one that is late.
#include <algorithm>
#include <cmath>

#include "coordination/routing/proxied_request.h"

namespace saddlewing {
namespace {

// Times are in milliseconds. A hedge is sent at the earliest after so many per cent of the route's
// target: parts that come a little late need none.
constexpr int min_hedge_delay_percent = 45;
// Least delay of a hedge: under it, noise would send hedges.
constexpr Duration min_hedge_delay{20};
// Deviations above the mean at which an attempt counts as late.
constexpr double late_deviations = 4;
// Factor and addend on the expected time of a part at which it counts as late.
constexpr double late_part_factor = 1.6;
constexpr double late_part_slack_ms = 12;
// Bounds of one part's relative cost, so that no single part decides.
constexpr double min_relative_cost = 0.2;
constexpr double max_relative_cost = 8.0;

}  // namespace

// By the estimate of the route's attempts at large.
Duration ProxiedRequest::hedge_delay() const {
  const LatencyEstimate& estimate = callbacks_.latency_estimate(route_);
  if (estimate.mean_ms == 0)
    return std::max(route_.target / 2, min_hedge_delay);
  const Duration usual(static_cast<std::int64_t>(
      std::ceil(estimate.mean_ms + late_deviations * estimate.deviation_ms)));
  return std::clamp(usual, min_hedge_delay, std::max(route_.target / 2, min_hedge_delay));
}

// A request that is heavy for one shard is heavy for all: going by the parts that are in.
Duration ProxiedRequest::hedge_delay(const Part& part) const {
  if (!relative_cost_count_ || part.extra_expected_ms <= 0)
    return hedge_delay();
  const double weight =
      std::max(1.0, relative_cost_sum_ / static_cast<double>(relative_cost_count_));
  const Duration usual(static_cast<std::int64_t>(
      std::ceil(part.min_expected_ms + part.extra_expected_ms * weight * late_part_factor +
                late_part_slack_ms)));
  return std::clamp(usual, std::max(route_.target * min_hedge_delay_percent / 100, min_hedge_delay),
                    std::max(route_.target, min_hedge_delay));
}

void ProxiedRequest::record_relative_cost(const Part& part, Duration took) {
  if (part.extra_expected_ms <= 0)
    return;
  relative_cost_sum_ += std::clamp(
      (static_cast<double>(took.count()) - part.min_expected_ms) / part.extra_expected_ms,
      min_relative_cost, max_relative_cost);
  ++relative_cost_count_;
}

}  // namespace saddlewing
