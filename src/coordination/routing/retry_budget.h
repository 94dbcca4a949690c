#pragma once
// The allowance for further tries at one service, by sliding windows of one broker.
#include <algorithm>
#include <array>
#include <cstdint>

#include "state/types.h"

namespace saddlewing {

// Counts events of the last `span`, in steps of a fiftieth of it. Never forgets too early: a step
// leaves as a whole.
class WindowCount {
 public:
  explicit WindowCount(Duration span)
      : step_(std::max<std::int64_t>(1, span.count() / (steps - 1))) {
  }
  void add(TimePoint now, std::uint32_t count = 1) {
    turn(now);
    counts_[at_ % steps] += count;
    sum_ += count;
  }
  std::uint64_t sum(TimePoint now) {
    turn(now);
    return sum_;
  }

 private:
  static constexpr std::int64_t steps = 51;
  void turn(TimePoint now) {
    const std::int64_t at =
        std::chrono::duration_cast<Duration>(now.time_since_epoch()).count() / step_;
    if (at - at_ >= steps) {
      counts_.fill(0);
      sum_ = 0;
      at_ = at;
    }
    while (at_ < at) {
      ++at_;
      sum_ -= counts_[at_ % steps];
      counts_[at_ % steps] = 0;
    }
  }
  std::int64_t step_, at_ = 0;
  std::array<std::uint32_t, steps> counts_{};
  std::uint64_t sum_ = 0;
};

// Invariant: extras sent in any window stay within `caution` of what the broker's own requests of
// that window earn, plus its part of the common reserve. Requests are counted over a shorter span
// than extras, so that neither the way to the backend nor the edge of a window can tip the sum.
class RetryBudget {
 public:
  RetryBudget(Duration span, double share)
      : share_(share), requests_(span * 4 / 5), extras_(span * 6 / 5) {
  }
  void count_request(TimePoint now) {
    requests_.add(now);
  }
  void count_extra(TimePoint now) {
    extras_.add(now);
  }
  bool allows_extra(TimePoint now, double reserve) {
    return static_cast<double>(extras_.sum(now)) + 1 <=
           share_ * caution * static_cast<double>(requests_.sum(now)) + reserve;
  }

 private:
  static constexpr double caution = 0.9;
  double share_;
  WindowCount requests_, extras_;
};

}  // namespace saddlewing
