#include <criterion/criterion.h>

#include <map>

#include "coordination/routing/load_balancer.h"
#include "coordination/routing/retry_budget.h"
#include "protocol/discovery_messages.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

}  // namespace

// Whatever the load and however the moments fall, extras of any span stay within the share of its
// requests.
Test(retry_budget, retries_never_exceed_the_ratio_in_any_window) {
  RetryBudget budget(Duration(10000), 0.2);
  std::vector<TimePoint> requests;
  std::vector<TimePoint> extras;
  std::uint64_t noise = 88172645463325252ull;
  const auto draw = [&] {
    return noise ^= noise << 13, noise ^= noise >> 7, noise ^= noise << 17;
  };
  for (TimePoint now = start; now < start + 60s; now += 10ms) {
    const bool is_busy = (now - start) % 20s < 8s;
    for (std::uint64_t count = draw() % (is_busy ? 5 : 2); count; --count) {
      budget.record_request(now);
      requests.push_back(now);
    }
    while (budget.allows_retry(now, 0)) {
      budget.record_retry(now);
      extras.push_back(now);
    }
  }
  cr_assert(!extras.empty());
  const auto within = [](const std::vector<TimePoint>& events, TimePoint from, TimePoint to) {
    return std::count_if(events.begin(), events.end(),
                         [&](TimePoint event) { return event >= from && event < to; });
  };
  for (TimePoint from = start; from < start + 50s; from += 250ms) {
    const auto limit =
        std::max({within(requests, from, from + 10s), within(requests, from - 5s, from + 5s),
                  within(requests, from - 10s, from)});
    cr_expect(static_cast<double>(within(extras, from, from + 10s)) <=
              0.2 * static_cast<double>(limit) + 1);
  }
}

Test(circuit_breaker, opens_after_failures_and_lets_one_probe_through) {
  CircuitBreaker breaker;
  breaker.record_failure(start, false);
  breaker.record_failure(start, false);
  cr_expect(!breaker.is_open(start));
  breaker.record_failure(start, false);
  cr_expect(breaker.is_open(start) && breaker.is_probe_due(start + 500ms));
  breaker.start_probe(start + 500ms);
  cr_expect(breaker.is_open(start + 510ms));
  breaker.record_success();
  cr_expect(!breaker.is_open(start + 510ms));
}

Test(load_balancer, breakers_alone_never_empty_a_shard) {
  LoadBalancer load_balancer({"", ""}, 1);
  std::vector<BackendPointer> backends;
  for (int at = 0; at < 2; ++at) {
    backends.push_back(std::make_shared<Backend>());
    backends.back()->status = EndpointStatus::up;
    backends.back()->breaker.record_failure(start, true);
  }
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend != nullptr);
  backends[0]->is_draining = backends[1]->is_draining = true;
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend == nullptr);
}

Test(load_balancer, where_connections_are_scarce_each_broker_keeps_to_its_own) {
  const TimePoint now = TimePoint{} + 1000s;
  std::vector<BackendPointer> backends;
  for (int index = 0; index < 4; ++index) {
    auto backend = std::make_shared<Backend>();
    backend->id = "b" + std::to_string(index);
    backend->status = EndpointStatus::up;
    backend->region = "r";
    backend->zone = "l";
    backends.push_back(backend);
  }
  // 58 brokers, 20 connections to each of four: one own each, and no backend is the own of more
  // than it allows.
  std::map<std::string, int> kept;
  for (int broker = 0; broker < 58; ++broker) {
    choose_subset(backends, {"l", "r"}, "10.0.0." + std::to_string(broker) + ":7000", 20, 58);
    int own = 0;
    for (const auto& backend : backends)
      own += backend->is_in_subset, kept[backend->id] += backend->is_in_subset;
    cr_expect(own == 1 && backends[0]->has_scarce_connections);
  }
  for (const auto& [id, count] : kept)
    cr_expect(count <= 26, "%s: %d", id.c_str(), count);
  Backend* own = nullptr;
  for (const auto& backend : backends)
    if (backend->is_in_subset)
      own = backend.get();
  LoadBalancer load_balancer({"l", "r"}, 1);
  cr_expect(load_balancer.pick(backends, {}, 1, now).backend == own);
  cr_expect(load_balancer.pick(backends, {own}, 1, now + 20ms).backend != nullptr,
            "a second asking goes elsewhere");
  choose_subset(backends, {"l", "r"}, "10.0.0.1:7000", 200, 58);
  cr_expect(!backends[0]->has_scarce_connections);
}
