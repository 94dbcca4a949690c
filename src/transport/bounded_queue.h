#pragma once
// Bounded rings join the threads; a full ring refuses and never blocks its writer.
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "state/invariants.h"

namespace saddlewing {

// Wakes a thread that waits on descriptors.
class Waker {
 public:
  Waker() : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  }
  ~Waker() {
    ::close(descriptor_);
  }
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;
  int descriptor() const {
    return descriptor_;
  }
  void wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(descriptor_, &one, sizeof one);
  }
  void clear() const {
    std::uint64_t count;
    [[maybe_unused]] const auto got = ::read(descriptor_, &count, sizeof count);
  }

 private:
  int descriptor_;
};

// Invariant: at most `capacity` items wait. The reader is woken only when the ring was empty.
template <class T>
class BoundedQueue {
 public:
  BoundedQueue(std::size_t capacity, std::function<void()> wake)
      : capacity_(capacity), wake_(std::move(wake)) {
  }
  // False: the queue is full, and the item is lost. Where nothing can be done about that, see
  // hand_over().
  [[nodiscard]] bool push(T item) {
    bool was_empty;
    {
      const std::lock_guard lock(mutex_);
      if (items_.size() >= capacity_)
        return false;
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty && wake_)
      wake_();
    return true;
  }
  // For a reader that goes by the newest alone: what waits makes room for it, so it is never the
  // one refused.
  void replace(T item) {
    bool was_empty;
    {
      const std::lock_guard lock(mutex_);
      was_empty = items_.empty();
      items_.clear();
      items_.push_back(std::move(item));
    }
    if (was_empty && wake_)
      wake_();
  }
  std::vector<T> take() {
    std::vector<T> taken;
    const std::lock_guard lock(mutex_);
    taken.swap(items_);
    return taken;
  }

 private:
  std::mutex mutex_;
  std::size_t capacity_;
  std::vector<T> items_;
  std::function<void()> wake_;
};

// Pushes what the writer cannot give again. A full queue is a violation of an invariant: the reader
// stood still for too long. `what`: names the item in the report.
template <class T, class Item>
void hand_over(BoundedQueue<T>& queue, Item item, const char* what) {
  check_invariant(Invariant::hand_over_is_accepted, queue.push(std::move(item)),
                  [what] { return std::string(what); });
}

}  // namespace saddlewing
