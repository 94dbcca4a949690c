#pragma once
// Heavy requests beside short ones: which routes are heavy is learnt, and at each backend they
// leave a slot to the short ones. Pure.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/routing/load_balancer.h"

namespace saddlewing {

// What the requests of each route take at each service, fading.
class RouteCostClassifier {
 public:
  // `heavy_ratio`: so many times the work of the lightest route at the same service makes a route
  // heavy; 0: none ever is.
  explicit RouteCostClassifier(double heavy_ratio) : heavy_ratio_(heavy_ratio) {
  }
  bool is_on() const {
    return heavy_ratio_ > 0;
  }
  void record(const std::string& service, const std::string& route, double milliseconds,
              double bytes, TimePoint now) {
    auto& routes = by_service_[service];
    if (routes.size() >= max_routes && !routes.contains(route))
      return;
    RouteCost& cost = routes[route];
    // Near the least: what is beyond it was mostly waiting, and waiting must not make a route
    // heavy.
    cost.work_ms = cost.seen == TimePoint{}
                       ? milliseconds
                       : cost.work_ms + (milliseconds - cost.work_ms) *
                                            (milliseconds < cost.work_ms ? 0.3 : 0.02);
    cost.mean_bytes =
        cost.seen == TimePoint{} ? bytes : cost.mean_bytes + (bytes - cost.mean_bytes) * 0.05;
    cost.seen = now;
    cost.count = std::min(cost.count + 1, min_samples);
  }
  bool is_heavy(const std::string& service, const std::string& route, TimePoint now) {
    const auto found = by_service_.find(service);
    if (heavy_ratio_ <= 0 || found == by_service_.end())
      return false;
    const auto own = found->second.find(route);
    if (own == found->second.end() || own->second.count < min_samples)
      return false;
    double lightest = own->second.total_ms();
    for (const auto& [name, cost] : found->second)
      if (cost.count >= min_samples && now - cost.seen < route_memory)
        lightest = std::min(lightest, cost.total_ms());
    const double threshold_ms =
        heavy_ratio_ * lightest * (own->second.is_heavy ? heavy_exit_factor : 1);
    return own->second.is_heavy = own->second.total_ms() > threshold_ms;
  }
  // Of the lightest route there, in milliseconds; how long a slot is kept for the next short one.
  Duration short_request_time(const std::string& service, TimePoint now) const {
    const auto found = by_service_.find(service);
    double minimum = 0;
    if (found != by_service_.end())
      for (const auto& [name, cost] : found->second)
        if (now - cost.seen < route_memory && (minimum == 0 || cost.work_ms < minimum))
          minimum = cost.work_ms;
    return Duration(static_cast<std::int64_t>(minimum + 1));
  }

 private:
  static constexpr std::size_t max_routes = 64;
  static constexpr int min_samples = 16;
  static constexpr double heavy_exit_factor = 0.75, bytes_per_ms = 20000;
  static constexpr Duration route_memory{30000};
  struct RouteCost {
    double work_ms = 0, mean_bytes = 0;
    TimePoint seen{};
    int count = 0;
    bool is_heavy = false;
    double total_ms() const {
      return std::max(0.5, work_ms) + mean_bytes / bytes_per_ms;
    }
  };
  double heavy_ratio_;
  std::map<std::string, std::map<std::string, RouteCost>> by_service_;
};

// Whether a heavy request may go to a backend now. Short ones always may.
// Invariant: where short ones come by, a heavy one takes the last free slot only if no other heavy
// one is there or has waited its turn; without short ones no slot is kept free for longer than
// their work takes.
inline bool admits_heavy(const Backend& backend, Duration short_request_time, Duration time_queued,
                         TimePoint now) {
  if (backend.capacity <= 1)
    return true;  // order alone decides
  const double in_use =
      std::max<double>(backend.active_requests, backend.active_requests + backend.remote_load(now));
  if (in_use < backend.capacity - 1)
    return true;
  if (now - backend.last_short_request_at >= short_request_time + short_request_time)
    return in_use < backend.capacity;
  return in_use < backend.capacity && backend.active_heavy_requests == 0 &&
         time_queued >= short_request_time * 4;
}

// In which order those that wait in a broker get their turns: by rank, and within a rank short and
// heavy ones by weighted turns, each by deadline. Bounded.
template <class Item>
class FairQueue {
 public:
  FairQueue(std::size_t limit, int short_per_heavy)
      : limit_(limit), short_per_heavy_(short_per_heavy) {
  }
  bool is_empty() const {
    return size_ == 0;
  }
  std::size_t size() const {
    return size_;
  }
  // False: it is full of what goes before this.
  bool push(Item item, int priority, bool is_heavy, TimePoint deadline) {
    if (size_ >= limit_ && (levels_.empty() || levels_.rbegin()->first <= priority))
      return false;
    auto& level = levels_[priority];
    (is_heavy ? level.heavy_requests : level.short_requests).emplace(deadline, std::move(item));
    ++size_;
    return true;
  }
  // The one that an arrival of a higher rank displaced; call it while over the bound.
  bool pop_last(Item& item) {
    if (size_ <= limit_ || levels_.empty())
      return false;
    auto& [priority, level] = *levels_.rbegin();
    auto& queue = level.heavy_requests.empty() ? level.short_requests : level.heavy_requests;
    const auto last = std::prev(queue.end());
    item = std::move(last->second);
    queue.erase(last);
    remove_one_from(priority);
    return true;
  }
  bool pop(Item& item) {
    if (levels_.empty())
      return false;
    auto& [priority, level] = *levels_.begin();
    const bool is_heavy =
        level.short_requests.empty() ||
        (!level.heavy_requests.empty() && level.short_since_heavy >= short_per_heavy_);
    level.short_since_heavy = is_heavy ? 0 : level.short_since_heavy + 1;
    auto& queue = is_heavy ? level.heavy_requests : level.short_requests;
    item = std::move(queue.begin()->second);
    queue.erase(queue.begin());
    remove_one_from(priority);
    return true;
  }

 private:
  struct PriorityLevel {
    std::multimap<TimePoint, Item> short_requests, heavy_requests;
    int short_since_heavy = 0;
  };
  void remove_one_from(int priority) {
    --size_;
    const auto found = levels_.find(priority);
    if (found->second.short_requests.empty() && found->second.heavy_requests.empty())
      levels_.erase(found);
  }
  std::size_t limit_, size_ = 0;
  int short_per_heavy_;
  std::map<int, PriorityLevel> levels_;
};

}  // namespace saddlewing
