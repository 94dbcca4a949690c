#pragma once
// All deadlines of a thread in one heap; nothing ticks while nothing is due.
#include <boost/heap/d_ary_heap.hpp>

#include "state/types.h"

namespace saddlewing {

class Schedule;

// Something with at most one moment in a schedule. Leaves the schedule when destroyed.
class Scheduled {
 public:
  virtual void on_due(Moment now) = 0;

 protected:
  Scheduled() = default;
  virtual ~Scheduled();
  Scheduled(const Scheduled&) = delete;
  Scheduled& operator=(const Scheduled&) = delete;

 private:
  friend class Schedule;
  struct Slot {
    Moment when;
    Scheduled* who;
    bool operator<(const Slot& other) const {
      return when > other.when;
    }  // earliest on top
  };
  using Heap = boost::heap::d_ary_heap<Slot, boost::heap::arity<4>, boost::heap::mutable_<true>>;
  Schedule* schedule_ = nullptr;  // invariant: set exactly while handle_ is in its heap
  Heap::handle_type handle_;
};

class Schedule {
 public:
  void set(Scheduled& who, Moment when) {
    if (who.schedule_) {
      heap_.update(who.handle_, {when, &who});
    } else {
      who.handle_ = heap_.push({when, &who});
      who.schedule_ = this;
    }
  }
  void drop(Scheduled& who) {
    if (!who.schedule_)
      return;
    heap_.erase(who.handle_);
    who.schedule_ = nullptr;
  }
  void run(Moment now) {
    while (!heap_.empty() && heap_.top().when <= now) {
      Scheduled* who = heap_.top().who;
      drop(*who);
      who->on_due(now);
    }
  }
  Span until_next(Moment now, Span most) const {
    if (heap_.empty())
      return most;
    const auto wait = std::chrono::ceil<Span>(heap_.top().when - now);
    return std::clamp(wait, Span(0), most);
  }

 private:
  Scheduled::Heap heap_;
};

inline Scheduled::~Scheduled() {
  if (schedule_)
    schedule_->drop(*this);
}

}  // namespace saddlewing
