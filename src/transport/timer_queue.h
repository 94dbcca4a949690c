#pragma once
// All deadlines of a thread in one heap; nothing ticks while nothing is due.
#include <boost/heap/d_ary_heap.hpp>

#include "state/types.h"

namespace saddlewing {

class TimerQueue;

// Something with at most one moment in a schedule. Leaves the schedule when destroyed.
class Scheduled {
 public:
  Scheduled(const Scheduled&) = delete;
  Scheduled& operator=(const Scheduled&) = delete;
  virtual void on_due(TimePoint now) = 0;

 protected:
  Scheduled() = default;
  virtual ~Scheduled();

 private:
  friend class TimerQueue;
  struct Slot {
    TimePoint when;
    Scheduled* who;
    bool operator<(const Slot& other) const {
      return when > other.when;
    }  // earliest on top
  };
  using Heap = boost::heap::d_ary_heap<Slot, boost::heap::arity<4>, boost::heap::mutable_<true>>;
  TimerQueue* timers_ = nullptr;  // invariant: set exactly while handle_ is in its heap
  Heap::handle_type handle_;
};

class TimerQueue {
 public:
  void set(Scheduled& who, TimePoint when) {
    if (who.timers_) {
      heap_.update(who.handle_, {when, &who});
    } else {
      who.handle_ = heap_.push({when, &who});
      who.timers_ = this;
    }
  }
  void drop(Scheduled& who) {
    if (!who.timers_)
      return;
    heap_.erase(who.handle_);
    who.timers_ = nullptr;
  }
  void run(TimePoint now) {
    while (!heap_.empty() && heap_.top().when <= now) {
      Scheduled* who = heap_.top().who;
      drop(*who);
      who->on_due(now);
    }
  }
  Duration until_next(TimePoint now, Duration limit) const {
    if (heap_.empty())
      return limit;
    const auto wait = std::chrono::ceil<Duration>(heap_.top().when - now);
    return std::clamp(wait, Duration(0), limit);
  }

 private:
  Scheduled::Heap heap_;
};

inline Scheduled::~Scheduled() {
  if (timers_)
    timers_->drop(*this);
}

}  // namespace saddlewing
