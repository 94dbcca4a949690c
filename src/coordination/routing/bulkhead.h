#pragma once
// Bulkheads between heavy and short requests: learns which routes are heavy at a service, and
// keeps a slot of each backend free for short requests.
//
// Pure: the caller reports response times and asks before it sends. It doesn't queue the requests
// that aren't admitted (see fair_queue.h). Not thread-safe: one instance belongs to one event loop.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "coordination/routing/backend.h"

namespace saddlewing {

// Estimates what the requests of each route cost at each service, and tells heavy routes from
// short ones by it.
class RouteCostClassifier {
 public:
  // `heavy_ratio`: a route is heavy if it costs more than so many times the lightest route at the
  // same service. 0: no route ever is.
  explicit RouteCostClassifier(double heavy_ratio) : heavy_ratio_(heavy_ratio) {
  }

  // Whether any route can be heavy.
  bool is_on() const {
    return heavy_ratio_ > 0;
  }

  // Reports a response. `milliseconds`: from the request's sending to its response's end.
  // `bytes`: size of the response body. Routes beyond `max_routes` of a service are ignored.
  void record(const std::string& service, const std::string& route, double milliseconds,
              double bytes, TimePoint now) {
    auto& routes = by_service_[service];
    if (routes.size() >= max_routes && !routes.contains(route))
      return;
    RouteCost& cost = routes[route];
    const bool is_first = cost.last_seen == TimePoint{};
    if (is_first) {
      cost.work_ms = milliseconds;
      cost.mean_bytes = bytes;
    } else {
      const double weight = milliseconds < cost.work_ms ? weight_of_faster : weight_of_slower;
      cost.work_ms = cost.work_ms + (milliseconds - cost.work_ms) * weight;
      cost.mean_bytes = cost.mean_bytes + (bytes - cost.mean_bytes) * weight_of_bytes;
    }
    cost.last_seen = now;
    cost.samples = std::min(cost.samples + 1, min_samples);
  }

  // Whether a request of this route is heavy at this service. False while fewer than `min_samples`
  // responses are known. Remembers its result: a route that was heavy stays so for a little less.
  bool is_heavy(const std::string& service, const std::string& route, TimePoint now) {
    const auto found = by_service_.find(service);
    if (heavy_ratio_ <= 0 || found == by_service_.end())
      return false;
    const auto own = found->second.find(route);
    if (own == found->second.end() || own->second.samples < min_samples)
      return false;
    RouteCost& own_cost = own->second;
    double lightest_ms = own_cost.total_ms();
    for (const auto& [name, cost] : found->second)
      if (cost.samples >= min_samples && now - cost.last_seen < route_memory)
        lightest_ms = std::min(lightest_ms, cost.total_ms());
    const double hysteresis = own_cost.is_heavy ? heavy_exit_factor : 1;
    const double threshold_ms = heavy_ratio_ * lightest_ms * hysteresis;
    own_cost.is_heavy = own_cost.total_ms() > threshold_ms;
    return own_cost.is_heavy;
  }

  // The time that the fastest route at this service takes, in milliseconds, rounded up; 1 ms if
  // none is known. So long a slot is kept for the next short request.
  Duration short_request_time(const std::string& service, TimePoint now) const {
    const auto found = by_service_.find(service);
    double least_ms = 0;
    if (found != by_service_.end())
      for (const auto& [name, cost] : found->second)
        if (now - cost.last_seen < route_memory && (least_ms == 0 || cost.work_ms < least_ms))
          least_ms = cost.work_ms;
    return Duration(static_cast<std::int64_t>(least_ms + 1));
  }

 private:
  // Routes known per service: bounds the memory.
  static constexpr std::size_t max_routes = 64;
  // Responses before a route is classified: fewer say little.
  static constexpr int min_samples = 16;
  // Weight of a response in the moving estimate of a route's work. Near the least: what is beyond
  // it was mostly waiting, and waiting must not make a route heavy.
  static constexpr double weight_of_faster = 0.3;
  static constexpr double weight_of_slower = 0.02;
  static constexpr double weight_of_bytes = 0.05;
  // Factor on the threshold under which a heavy route becomes a short one again: less than 1, so
  // that a route near the threshold doesn't alternate.
  static constexpr double heavy_exit_factor = 0.75;
  // Response bytes that cost as much as a millisecond of work.
  static constexpr double bytes_per_ms = 20000;
  // Least work of any route in milliseconds: under it ratios are noise.
  static constexpr double min_work_ms = 0.5;
  // After so long without a response, in milliseconds, a route no longer counts as the lightest.
  static constexpr Duration route_memory{30000};

  struct RouteCost {
    double work_ms = 0;     // near the least of the response times
    double mean_bytes = 0;  // of the response bodies
    TimePoint last_seen{};  // the epoch: no response yet
    int samples = 0;        // up to min_samples
    bool is_heavy = false;  // as last classified

    double total_ms() const {
      return std::max(min_work_ms, work_ms) + mean_bytes / bytes_per_ms;
    }
  };

  double heavy_ratio_;
  std::map<std::string, std::map<std::string, RouteCost>> by_service_;  // then by route
};

// Multiple of a short request's time without a short one after which no slot is kept for them.
inline constexpr int reserved_slot_times = 2;
// Multiple of a short request's time after which a queued heavy request may take the last slot.
inline constexpr int heavy_wait_times = 4;

// Whether a heavy request may go to `backend` now. Short ones always may.
// `short_request_time`: see RouteCostClassifier. `time_queued`: how long the request has waited.
//
// Invariant: while short requests arrive, a heavy one takes the last free slot only if no other
// heavy one is there and it has waited its turn; without short ones no slot is kept free for
// longer than their work takes.
inline bool admits_heavy(const Backend& backend, Duration short_request_time, Duration time_queued,
                         TimePoint now) {
  if (backend.capacity <= 1)
    return true;  // there is no slot to keep: the queue's order alone decides
  const double in_use =
      std::max<double>(backend.active_requests, backend.active_requests + backend.remote_load(now));
  if (in_use < backend.capacity - 1)
    return true;
  if (in_use >= backend.capacity)
    return false;
  if (now - backend.last_short_request_at >= short_request_time * reserved_slot_times)
    return true;
  return backend.active_heavy_requests == 0 && time_queued >= short_request_time * heavy_wait_times;
}

}  // namespace saddlewing
