#pragma once
// The allowance for further tries at one service, by sliding windows of one broker.
#include <algorithm>
#include <array>
#include <cstdint>

#include "state/types.h"

namespace saddlewing {

// Counts events of the last `window`, in steps of a fiftieth of it. Never forgets too early: a step
// leaves as a whole.
class SlidingWindowCounter {
 public:
  explicit SlidingWindowCounter(Duration window)
      : bucket_width_(std::max<std::int64_t>(1, window.count() / (bucket_count - 1))) {
  }
  void add(TimePoint now, std::uint32_t count = 1) {
    advance_to(now);
    buckets_[bucket_ % bucket_count] += count;
    sum_ += count;
  }
  std::uint64_t sum(TimePoint now) {
    advance_to(now);
    return sum_;
  }

 private:
  static constexpr std::int64_t bucket_count = 51;
  void advance_to(TimePoint now) {
    const std::int64_t bucket =
        std::chrono::duration_cast<Duration>(now.time_since_epoch()).count() / bucket_width_;
    if (bucket - bucket_ >= bucket_count) {
      buckets_.fill(0);
      sum_ = 0;
      bucket_ = bucket;
    }
    while (bucket_ < bucket) {
      ++bucket_;
      sum_ -= buckets_[bucket_ % bucket_count];
      buckets_[bucket_ % bucket_count] = 0;
    }
  }
  std::int64_t bucket_width_, bucket_ = 0;
  std::array<std::uint32_t, bucket_count> buckets_{};
  std::uint64_t sum_ = 0;
};

// Invariant: extras sent in any window stay within `safety_factor` of what the broker's own
// requests of that window earn, plus its part of the common reserve. Requests are counted over a
// shorter span than extras, so that neither the way to the backend nor the edge of a window can tip
// the sum.
class RetryBudget {
 public:
  RetryBudget(Duration window, double retry_ratio)
      : retry_ratio_(retry_ratio), requests_(window * 4 / 5), retries_(window * 6 / 5) {
  }
  void record_request(TimePoint now) {
    requests_.add(now);
  }
  void record_retry(TimePoint now) {
    retries_.add(now);
  }
  bool allows_retry(TimePoint now, double reserve) {
    return static_cast<double>(retries_.sum(now)) + 1 <=
           retry_ratio_ * safety_factor * static_cast<double>(requests_.sum(now)) + reserve;
  }

 private:
  static constexpr double safety_factor = 0.9;
  double retry_ratio_;
  SlidingWindowCounter requests_, retries_;
};

}  // namespace saddlewing
