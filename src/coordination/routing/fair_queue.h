#pragma once
// A bounded queue of requests that wait in a broker for a free slot at a backend: by priority, and
// within a priority fair between short and heavy requests.
//
// It doesn't decide which requests are heavy (see bulkhead.h) nor drop those whose deadline has
// passed. Not thread-safe: one instance belongs to one event loop.
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

#include "state/types.h"

namespace saddlewing {

// `Item`: what waits, movable. Items of one kind and priority leave by deadline, the earliest
// first; those of one deadline in their order of arrival.
template <class Item>
class FairQueue {
 public:
  // `limit`: how many items may wait. `short_per_heavy`: how many short items leave before a heavy
  // one does, while both kinds wait.
  FairQueue(std::size_t limit, int short_per_heavy)
      : limit_(limit), short_per_heavy_(short_per_heavy) {
  }

  bool is_empty() const {
    return size_ == 0;
  }

  std::size_t size() const {
    return size_;
  }

  // `priority`: the smaller, the more urgent. False, and nothing is queued: the queue is full of
  // items that are no less urgent. May leave the queue one over its limit; see pop_last.
  bool push(Item item, int priority, bool is_heavy, TimePoint deadline) {
    if (size_ >= limit_ && (levels_.empty() || levels_.rbegin()->first <= priority))
      return false;
    PriorityLevel& level = levels_[priority];
    (is_heavy ? level.heavy_requests : level.short_requests).emplace(deadline, std::move(item));
    ++size_;
    return true;
  }

  // Takes out the item that the arrival of a more urgent one displaced: of the least urgent
  // priority, heavy before short, the one with the latest deadline. False: nothing is over the
  // limit. Call it after each push.
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

  // Takes out the item whose turn it is. False: none waits.
  bool pop(Item& item) {
    if (levels_.empty())
      return false;
    auto& [priority, level] = *levels_.begin();
    const bool is_heavy = level.is_heavy_next(short_per_heavy_);
    level.short_since_heavy = is_heavy ? 0 : level.short_since_heavy + 1;
    auto& queue = is_heavy ? level.heavy_requests : level.short_requests;
    item = std::move(queue.begin()->second);
    queue.erase(queue.begin());
    remove_one_from(priority);
    return true;
  }

 private:
  struct PriorityLevel {
    std::multimap<TimePoint, Item> short_requests;  // by deadline
    std::multimap<TimePoint, Item> heavy_requests;  // by deadline
    int short_since_heavy = 0;                      // short ones that left since the last heavy one

    bool is_heavy_next(int short_per_heavy) const {
      if (short_requests.empty())
        return true;
      return !heavy_requests.empty() && short_since_heavy >= short_per_heavy;
    }
  };

  // Counts an item of this priority as gone, and drops the level if it was the last.
  void remove_one_from(int priority) {
    --size_;
    const auto found = levels_.find(priority);
    if (found->second.short_requests.empty() && found->second.heavy_requests.empty())
      levels_.erase(found);
  }

  std::size_t limit_;
  std::size_t size_ = 0;  // of all levels
  int short_per_heavy_;
  std::map<int, PriorityLevel> levels_;  // by priority; none is empty
};

}  // namespace saddlewing
