#include "coordination/routing/load_balancer.h"

#include "coordination/routing/bulkhead.h"

#include <algorithm>
#include <tuple>

namespace saddlewing {
namespace {

constexpr double default_response_ms = 20;  // of a backend not heard yet
constexpr double other_zone_penalty_ms = 3,
                 other_region_penalty_ms =
                     40;  // what bytes across them are taken to cost, beyond their time
constexpr double response_bytes_per_ms = 1300,
                 max_response_bytes_penalty_ms =
                     12;  // and so much more between localities, by the size of answers
constexpr double outside_subset_penalty_ms = 4,
                 scarce_connections_penalty_ms = 60;  // against those that are not one's own
constexpr double ejected_penalty_ms = 5000, preferred_bonus_ms = -2,
                 probe_bonus_ms = -1000;  // by the shared view of edges
constexpr Duration probe_interval{250};
constexpr std::size_t max_subset_size = 2;

}  // namespace

BackendPointer update_backend(const std::map<std::string, BackendPointer>& known,
                              const Endpoint& entry,
                              const std::map<std::string, std::string>& zones, TimePoint now) {
  const auto found = known.find(entry.id);
  BackendPointer backend = found != known.end() ? found->second : std::make_shared<Backend>();
  if (found == known.end()) {
    if (!parse_address(entry.address, backend->address))
      return nullptr;
    backend->id = entry.id;
    backend->service = entry.service;
    backend->zone = entry.zone;
    const auto region = zones.find(entry.zone);
    backend->region = region != zones.end() ? region->second : entry.zone;
    backend->capacity = static_cast<int>(std::max<std::uint64_t>(1, entry.capacity));
    backend->slow_start_until = now + Duration(static_cast<std::int64_t>(entry.warm_left));
  }
  backend->status = entry.status;
  backend->is_draining = entry.phase != Phase::ready;
  return backend;
}

double LoadBalancer::cost_ms(const Backend& backend, TimePoint now) const {
  const double mean = backend.mean_ms > 0 ? backend.mean_ms : default_response_ms;
  const double remote = backend.remote_load(now);
  const double waiting = std::max(0.0, backend.active_requests + remote + 1 - backend.capacity);
  double cost_ms = mean * (1 + waiting / backend.capacity +
                           0.3 * (backend.active_requests + remote) / backend.capacity);
  if (now < backend.slow_start_until)
    cost_ms *= 1.5;
  if (backend.region != origin_.region)
    cost_ms += other_region_penalty_ms;
  else if (backend.zone != origin_.zone)
    cost_ms += other_zone_penalty_ms +
               std::min(max_response_bytes_penalty_ms, backend.mean_bytes / response_bytes_per_ms);
  if (!backend.is_in_subset)
    cost_ms +=
        backend.has_scarce_connections ? scarce_connections_penalty_ms : outside_subset_penalty_ms;
  return cost_ms;
}

// What the shared view adds. It orders, it never forbids: where nothing else is left, an avoided
// edge serves.
double LoadBalancer::outlier_cost_ms(const Backend& backend, const PickConstraints& constraints,
                                     TimePoint now) {
  if (backend.is_ejected)
    return backend.is_probing && constraints.may_probe && now >= backend.next_probe_at
               ? probe_bonus_ms
               : ejected_penalty_ms * influence_;
  if (backend.kept_traffic_percent < 100 && draw_() % 100 >= backend.kept_traffic_percent)
    return ejected_penalty_ms * influence_;
  return backend.is_preferred ? preferred_bonus_ms * influence_ : 0;
}

void choose_subset(const std::vector<BackendPointer>& backends, const PickOrigin& origin,
                   const std::string& address, int max_connections, int brokers) {
  using Rank = std::tuple<int, std::size_t, Backend*>;
  std::vector<Rank> ranks;
  for (const BackendPointer& backend : backends) {
    const int distance = backend->zone == origin.zone       ? 0
                         : backend->region == origin.region ? 1
                                                            : 2;
    ranks.emplace_back(distance, std::hash<std::string>{}(address + backend->id), backend.get());
  }
  std::sort(ranks.begin(), ranks.end());
  const double connections_per_broker = static_cast<double>(max_connections) *
                                        static_cast<double>(backends.size()) / std::max(1, brokers);
  const std::size_t subset_size =
      std::clamp<std::size_t>(static_cast<std::size_t>(connections_per_broker), 1, max_subset_size);
  for (std::size_t index = 0; index < ranks.size(); ++index) {
    Backend& backend = *std::get<2>(ranks[index]);
    backend.is_in_subset = index < subset_size;
    backend.has_scarce_connections = max_connections < brokers;
  }
}

PickResult LoadBalancer::pick(const std::vector<BackendPointer>& backends,
                              const std::vector<const Backend*>& tried, int max_connections,
                              TimePoint now, const PickConstraints& constraints) {
  PickResult result;
  Backend* best = nullptr;
  Backend* soonest_probe = nullptr;
  double best_cost_ms = 0;
  int best_rank = 0;
  bool has_to_wait = false;
  for (const BackendPointer& pointer : backends) {
    Backend& backend = *pointer;
    if (backend.is_draining || (backend.status != Status::up && backend.status != Status::starting))
      continue;
    if (std::find(tried.begin(), tried.end(), &backend) != tried.end())
      continue;
    if (backend.active_requests >= max_connections) {
      result.is_full = true;
      continue;
    }
    if (constraints.is_heavy &&
        !admits_heavy(backend, constraints.short_request_time, constraints.time_queued, now)) {
      result.is_full = has_to_wait = true;
      continue;
    }
    if (backend.breaker.is_open(now)) {
      if (!soonest_probe || backend.breaker.probe_at() < soonest_probe->breaker.probe_at())
        soonest_probe = &backend;
      continue;
    }
    const int rank = backend.status == Status::up ? 1 : 0;
    const double cost_ms =
        outlier_cost_ms(backend, constraints, now) +
        this->cost_ms(backend, now) * (1 + static_cast<double>(draw_() % 64) / 1024);
    if (!best || rank > best_rank || (rank == best_rank && cost_ms < best_cost_ms)) {
      best = &backend;
      best_cost_ms = cost_ms;
      best_rank = rank;
    }
  }
  // Breakers alone never empty a shard.
  result.backend = best || has_to_wait ? best : soonest_probe;
  if (result.backend && result.backend->is_ejected)
    result.backend->next_probe_at = now + probe_interval;
  if (result.backend && result.backend->breaker.is_probe_due(now))
    result.backend->breaker.start_probe(now);
  return result;
}

}  // namespace saddlewing
