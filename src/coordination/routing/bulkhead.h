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
class WorkClasses {
 public:
  // `times`: so many times the work of the lightest route at the same service makes a route heavy;
  // 0: none ever is.
  explicit WorkClasses(double times) : times_(times) {
  }
  bool is_on() const {
    return times_ > 0;
  }
  void see(const std::string& service, const std::string& route, double milliseconds, double bytes,
           TimePoint now) {
    auto& rows = by_service_[service];
    if (rows.size() >= max_routes && !rows.contains(route))
      return;
    Row& row = rows[route];
    // Near the least: what is beyond it was mostly waiting, and waiting must not make a route
    // heavy.
    row.work_ms = row.seen == TimePoint{}
                      ? milliseconds
                      : row.work_ms + (milliseconds - row.work_ms) *
                                          (milliseconds < row.work_ms ? 0.3 : 0.02);
    row.bytes = row.seen == TimePoint{} ? bytes : row.bytes + (bytes - row.bytes) * 0.05;
    row.seen = now;
    row.count = std::min(row.count + 1, min_seen);
  }
  bool is_heavy(const std::string& service, const std::string& route, TimePoint now) {
    const auto found = by_service_.find(service);
    if (times_ <= 0 || found == by_service_.end())
      return false;
    const auto own = found->second.find(route);
    if (own == found->second.end() || own->second.count < min_seen)
      return false;
    double lightest = own->second.cost();
    for (const auto& [name, row] : found->second)
      if (row.count >= min_seen && now - row.seen < remembered)
        lightest = std::min(lightest, row.cost());
    const double bound = times_ * lightest * (own->second.is_heavy ? stays : 1);
    return own->second.is_heavy = own->second.cost() > bound;
  }
  // Of the lightest route there, in milliseconds; how long a slot is kept for the next short one.
  Duration short_work(const std::string& service, TimePoint now) const {
    const auto found = by_service_.find(service);
    double minimum = 0;
    if (found != by_service_.end())
      for (const auto& [name, row] : found->second)
        if (now - row.seen < remembered && (minimum == 0 || row.work_ms < minimum))
          minimum = row.work_ms;
    return Duration(static_cast<std::int64_t>(minimum + 1));
  }

 private:
  static constexpr std::size_t max_routes = 64;
  static constexpr int min_seen = 16;
  static constexpr double stays = 0.75, bytes_in_a_ms = 20000;
  static constexpr Duration remembered{30000};
  struct Row {
    double work_ms = 0, bytes = 0;
    TimePoint seen{};
    int count = 0;
    bool is_heavy = false;
    double cost() const {
      return std::max(0.5, work_ms) + bytes / bytes_in_a_ms;
    }
  };
  double times_;
  std::map<std::string, std::map<std::string, Row>> by_service_;
};

// Whether a heavy request may go to a backend now. Short ones always may.
// Invariant: where short ones come by, a heavy one takes the last free slot only if no other heavy
// one is there or has waited its turn; without short ones no slot is kept free for longer than
// their work takes.
inline bool admits_heavy(const Backend& backend, Duration short_work, Duration waited,
                         TimePoint now) {
  if (backend.capacity <= 1)
    return true;  // order alone decides
  const double in_use =
      std::max<double>(backend.asked, backend.asked + backend.load_of_others(now));
  if (in_use < backend.capacity - 1)
    return true;
  if (now - backend.short_asked >= short_work + short_work)
    return in_use < backend.capacity;
  return in_use < backend.capacity && backend.heavy_asked == 0 && waited >= short_work * 4;
}

// In which order those that wait in a broker get their turns: by rank, and within a rank short and
// heavy ones by weighted turns, each by deadline. Bounded.
template <class Item>
class FairQueue {
 public:
  FairQueue(std::size_t limit, int short_turns) : max_(limit), short_turns_(short_turns) {
  }
  bool is_empty() const {
    return size_ == 0;
  }
  std::size_t size() const {
    return size_;
  }
  // False: it is full of what goes before this.
  bool push(Item item, int rank, bool is_heavy, TimePoint deadline) {
    if (size_ >= max_ && (ranks_.empty() || ranks_.rbegin()->first <= rank))
      return false;
    auto& lines = ranks_[rank];
    (is_heavy ? lines.heavy : lines.light).emplace(deadline, std::move(item));
    ++size_;
    return true;
  }
  // The one that an arrival of a higher rank displaced; call it while over the bound.
  bool pop_last(Item& item) {
    if (size_ <= max_ || ranks_.empty())
      return false;
    auto& [rank, lines] = *ranks_.rbegin();
    auto& line = lines.heavy.empty() ? lines.light : lines.heavy;
    const auto last = std::prev(line.end());
    item = std::move(last->second);
    line.erase(last);
    drop_empty(rank);
    return true;
  }
  bool pop(Item& item) {
    if (ranks_.empty())
      return false;
    auto& [rank, lines] = *ranks_.begin();
    const bool is_heavy =
        lines.light.empty() || (!lines.heavy.empty() && lines.light_turns >= short_turns_);
    lines.light_turns = is_heavy ? 0 : lines.light_turns + 1;
    auto& line = is_heavy ? lines.heavy : lines.light;
    item = std::move(line.begin()->second);
    line.erase(line.begin());
    drop_empty(rank);
    return true;
  }

 private:
  struct FairQueueLines {
    std::multimap<TimePoint, Item> light, heavy;
    int light_turns = 0;
  };
  void drop_empty(int rank) {
    --size_;
    const auto found = ranks_.find(rank);
    if (found->second.light.empty() && found->second.heavy.empty())
      ranks_.erase(found);
  }
  std::size_t max_, size_ = 0;
  int short_turns_;
  std::map<int, FairQueueLines> ranks_;
};

}  // namespace saddlewing
