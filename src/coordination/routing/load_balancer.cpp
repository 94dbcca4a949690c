#include "coordination/routing/load_balancer.h"

#include "coordination/routing/bulkhead.h"

#include <algorithm>
#include <tuple>

namespace saddlewing {
namespace {

constexpr double guess_ms = 20;  // of a backend not heard yet
constexpr double other_zone_penalty_ms = 3,
                 region_ms = 40;  // what bytes across them are taken to cost, beyond their time
constexpr double bytes_in_a_ms = 1300,
                 max_bytes_ms = 12;  // and so much more between localities, by the size of answers
constexpr double other_ms = 4, scarce_ms = 60;  // against those that are not one's own
constexpr double avoided_ms = 5000, preferred_ms = -2,
                 trial_ms = -1000;  // by the shared view of edges
constexpr Duration trial_pause{250};
constexpr std::size_t max_own = 2;

}  // namespace

BackendPointer keep_backend(const std::map<std::string, BackendPointer>& known,
                            const Endpoint& entry, const std::map<std::string, std::string>& zones,
                            TimePoint now) {
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
    backend->warm_until = now + Duration(static_cast<std::int64_t>(entry.warmup_left));
  }
  backend->status = entry.status;
  backend->is_cancelled = entry.phase != EndpointPhase::ready;
  return backend;
}

double LoadBalancer::cost(const Backend& backend, TimePoint now) const {
  const double mean = backend.mean_ms > 0 ? backend.mean_ms : guess_ms;
  const double foreign = backend.load_of_others(now);
  const double waiting = std::max(0.0, backend.asked + foreign + 1 - backend.capacity);
  double cost =
      mean * (1 + waiting / backend.capacity + 0.3 * (backend.asked + foreign) / backend.capacity);
  if (now < backend.warm_until)
    cost *= 1.5;
  if (backend.region != position_.region)
    cost += region_ms;
  else if (backend.zone != position_.zone)
    cost += other_zone_penalty_ms + std::min(max_bytes_ms, backend.mean_bytes / bytes_in_a_ms);
  if (!backend.is_own)
    cost += backend.is_scarce ? scarce_ms : other_ms;
  return cost;
}

// What the shared view adds. It orders, it never forbids: where nothing else is left, an avoided
// edge serves.
double LoadBalancer::edge_cost(const Backend& backend, const PickConstraints& wish, TimePoint now) {
  if (backend.is_avoided)
    return backend.is_trying && wish.may_try && now >= backend.trial_due ? trial_ms
                                                                         : avoided_ms * influence_;
  if (backend.percent_kept < 100 && draw_() % 100 >= backend.percent_kept)
    return avoided_ms * influence_;
  return backend.is_preferred ? preferred_ms * influence_ : 0;
}

void choose_own(const std::vector<BackendPointer>& backends, const PickOrigin& position,
                const std::string& address, int max_connections, int brokers) {
  using Rank = std::tuple<int, std::size_t, Backend*>;
  std::vector<Rank> ranks;
  for (const BackendPointer& backend : backends) {
    const int way = backend->zone == position.zone ? 0 : backend->region == position.region ? 1 : 2;
    ranks.emplace_back(way, std::hash<std::string>{}(address + backend->id), backend.get());
  }
  std::sort(ranks.begin(), ranks.end());
  const double part = static_cast<double>(max_connections) * static_cast<double>(backends.size()) /
                      std::max(1, brokers);
  const std::size_t own = std::clamp<std::size_t>(static_cast<std::size_t>(part), 1, max_own);
  for (std::size_t index = 0; index < ranks.size(); ++index) {
    Backend& backend = *std::get<2>(ranks[index]);
    backend.is_own = index < own;
    backend.is_scarce = max_connections < brokers;
  }
}

PickResult LoadBalancer::pick(const std::vector<BackendPointer>& backends,
                              const std::vector<const Backend*>& tried, int max_connections,
                              TimePoint now, const PickConstraints& wish) {
  PickResult result;
  Backend *best = nullptr, *min_broken = nullptr;
  double best_cost = 0;
  int best_class = 0;
  bool has_to_wait = false;
  for (const BackendPointer& pointer : backends) {
    Backend& backend = *pointer;
    if (backend.is_cancelled ||
        (backend.status != EndpointStatus::up && backend.status != EndpointStatus::starting))
      continue;
    if (std::find(tried.begin(), tried.end(), &backend) != tried.end())
      continue;
    if (backend.asked >= max_connections) {
      result.is_full = true;
      continue;
    }
    if (wish.is_heavy && !admits_heavy(backend, wish.short_work, wish.waited, now)) {
      result.is_full = has_to_wait = true;
      continue;
    }
    if (backend.breaker.is_open(now)) {
      if (!min_broken || backend.breaker.until() < min_broken->breaker.until())
        min_broken = &backend;
      continue;
    }
    const int rank = backend.status == EndpointStatus::up ? 1 : 0;
    const double cost = edge_cost(backend, wish, now) +
                        this->cost(backend, now) * (1 + static_cast<double>(draw_() % 64) / 1024);
    if (!best || rank > best_class || (rank == best_class && cost < best_cost)) {
      best = &backend;
      best_cost = cost;
      best_class = rank;
    }
  }
  // Breakers alone never empty a shard.
  result.backend = best || has_to_wait ? best : min_broken;
  if (result.backend && result.backend->is_avoided)
    result.backend->trial_due = now + trial_pause;
  if (result.backend && result.backend->breaker.is_on_trial(now))
    result.backend->breaker.start_trial(now);
  return result;
}

}  // namespace saddlewing
