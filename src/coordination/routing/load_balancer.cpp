#include "coordination/routing/load_balancer.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "coordination/routing/bulkhead.h"
#include "protocol/discovery_messages.h"

namespace saddlewing {
namespace {

// Response time taken for a backend without any response yet: so low that it gets some.
constexpr double default_response_ms = 20;
// Part of the response time that a backend filled to its capacity adds, as work slows work.
constexpr double load_slowdown = 0.3;
// Factor on the cost during slow start.
constexpr double slow_start_factor = 1.5;

// Penalties for leaving the own zone or region: what the traffic costs beyond its time.
constexpr double other_zone_penalty_ms = 3;
constexpr double other_region_penalty_ms = 40;
// Between zones large responses cost more: a millisecond for so many bytes, up to a bound.
constexpr double response_bytes_per_ms = 1300;
constexpr double max_response_bytes_penalty_ms = 12;

// Penalties for a backend outside the own subset, which may need a new connection.
constexpr double outside_subset_penalty_ms = 4;
constexpr double scarce_connections_penalty_ms = 60;

// Outlier ejection. The penalty exceeds any other cost, so that an ejected backend serves only
// where no other is left; the bonus makes a due probe the first choice.
constexpr double ejected_penalty_ms = 5000;
constexpr double preferred_bonus_ms = -2;
constexpr double probe_bonus_ms = -1000;
// Least time between two probes of an ejected backend by one broker, in milliseconds.
constexpr Duration probe_interval{250};

// Steps of the random spread, and the divisor that makes them at most a sixteenth.
constexpr unsigned spread_steps = 64;
constexpr double spread_divisor = 1024;

// Backends in a broker's subset at most: a second one for the failure of the first.
constexpr std::size_t max_subset_size = 2;

bool can_serve(const Backend& backend) {
  if (backend.is_draining)
    return false;
  return backend.status == EndpointStatus::up || backend.status == EndpointStatus::starting;
}

// 0: the same zone, 1: the same region, 2: farther.
int distance_of(const Backend& backend, const PickOrigin& origin) {
  if (backend.zone == origin.zone)
    return 0;
  return backend.region == origin.region ? 1 : 2;
}

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
    backend->slow_start_until = now + Duration(static_cast<std::int64_t>(entry.warmup_left));
  }
  backend->status = entry.status;
  backend->is_draining = entry.phase != EndpointPhase::ready;
  return backend;
}

void choose_subset(const std::vector<BackendPointer>& backends, const PickOrigin& origin,
                   const std::string& address, int max_connections, int brokers) {
  using Rank = std::tuple<int, std::size_t, Backend*>;  // distance, then a hash by broker
  std::vector<Rank> ranks;
  for (const BackendPointer& backend : backends) {
    const std::size_t hash = std::hash<std::string>{}(address + backend->id);
    ranks.emplace_back(distance_of(*backend, origin), hash, backend.get());
  }
  std::sort(ranks.begin(), ranks.end());
  const double connections_per_broker = static_cast<double>(max_connections) *
                                        static_cast<double>(backends.size()) / std::max(1, brokers);
  const std::size_t subset_size =
      std::clamp<std::size_t>(static_cast<std::size_t>(connections_per_broker), 1, max_subset_size);
  for (std::size_t index = 0; index < ranks.size(); ++index) {
    Backend& backend = *std::get<Backend*>(ranks[index]);
    backend.is_in_subset = index < subset_size;
    backend.has_scarce_connections = max_connections < brokers;
  }
}

double LoadBalancer::expected_cost_ms(const Backend& backend, TimePoint now) const {
  const double mean_ms = backend.mean_ms > 0 ? backend.mean_ms : default_response_ms;
  const double remote = backend.remote_load(now);
  const double waiting = std::max(0.0, backend.active_requests + remote + 1 - backend.capacity);
  double cost_ms =
      mean_ms * (1 + waiting / backend.capacity +
                 load_slowdown * (backend.active_requests + remote) / backend.capacity);
  if (now < backend.slow_start_until)
    cost_ms *= slow_start_factor;
  if (backend.region != origin_.region) {
    cost_ms += other_region_penalty_ms;
  } else if (backend.zone != origin_.zone) {
    const double bytes_penalty_ms = backend.mean_bytes / response_bytes_per_ms;
    cost_ms += other_zone_penalty_ms + std::min(max_response_bytes_penalty_ms, bytes_penalty_ms);
  }
  if (!backend.is_in_subset)
    cost_ms +=
        backend.has_scarce_connections ? scarce_connections_penalty_ms : outside_subset_penalty_ms;
  return cost_ms;
}

// It orders and never forbids: where no other backend is left, an ejected one serves.
double LoadBalancer::outlier_cost_ms(const Backend& backend, const PickConstraints& constraints,
                                     TimePoint now) {
  if (backend.is_ejected) {
    const bool is_probe =
        backend.is_probing && constraints.may_probe && now >= backend.next_probe_at;
    return is_probe ? probe_bonus_ms : ejected_penalty_ms * influence_;
  }
  if (backend.kept_traffic_percent < 100 && random_() % 100 >= backend.kept_traffic_percent)
    return ejected_penalty_ms * influence_;
  return backend.is_preferred ? preferred_bonus_ms * influence_ : 0;
}

double LoadBalancer::random_spread() {
  return 1 + static_cast<double>(random_() % spread_steps) / spread_divisor;
}

// A little over the usual length: the filters and the choice share their state, and read in order.
PickResult LoadBalancer::pick(const std::vector<BackendPointer>& backends,
                              const std::vector<const Backend*>& tried, int max_connections,
                              TimePoint now, const PickConstraints& constraints) {
  PickResult result;
  Backend* best = nullptr;
  Backend* soonest_probe = nullptr;
  double best_cost_ms = 0;
  bool is_best_up = false;
  bool has_to_wait = false;
  for (const BackendPointer& pointer : backends) {
    Backend& backend = *pointer;
    if (!can_serve(backend) || std::find(tried.begin(), tried.end(), &backend) != tried.end())
      continue;
    if (backend.active_requests >= max_connections) {
      result.is_full = true;
      continue;
    }
    if (constraints.is_heavy &&
        !admits_heavy(backend, constraints.short_request_time, constraints.time_queued, now)) {
      result.is_full = true;
      has_to_wait = true;
      continue;
    }
    if (backend.breaker.is_open(now)) {
      if (!soonest_probe || backend.breaker.probe_at() < soonest_probe->breaker.probe_at())
        soonest_probe = &backend;
      continue;
    }
    const bool is_up = backend.status == EndpointStatus::up;
    const double outlier_ms = outlier_cost_ms(backend, constraints, now);  // draws first
    const double cost_ms = outlier_ms + expected_cost_ms(backend, now) * random_spread();
    const bool is_better =
        !best || (is_up && !is_best_up) || (is_up == is_best_up && cost_ms < best_cost_ms);
    if (is_better) {
      best = &backend;
      best_cost_ms = cost_ms;
      is_best_up = is_up;
    }
  }
  // Circuit breakers alone never leave a service without a backend.
  result.backend = best || has_to_wait ? best : soonest_probe;
  if (result.backend && result.backend->is_ejected)
    result.backend->next_probe_at = now + probe_interval;
  if (result.backend && result.backend->breaker.is_probe_due(now))
    result.backend->breaker.start_probe(now);
  return result;
}

}  // namespace saddlewing
