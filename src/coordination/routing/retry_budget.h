#pragma once
// The retry budget of one service at one broker: how many retries and hedged attempts may be sent
// for the requests of a sliding window.
//
// Pure: the caller passes the time in and sends the attempts itself. It doesn't pick a backend and
// doesn't know the cluster's common reserve, which is passed in. Not thread-safe: one instance
// belongs to one broker's event loop.
#include <algorithm>
#include <array>
#include <cstdint>

#include "state/types.h"

namespace saddlewing {

// Counts the events of a sliding window in buckets of a fiftieth of its length. A bucket expires
// as a whole, so that no event expires too early; some are kept for up to one bucket too long.
class SlidingWindowCounter {
 public:
  // `window`: length in milliseconds. Below fifty milliseconds a bucket lasts one millisecond.
  explicit SlidingWindowCounter(Duration window)
      : bucket_width_(std::max<std::int64_t>(1, window.count() / (bucket_count - 1))) {
  }

  // Counts `count` events at `now`. The times passed must not decrease.
  void add(TimePoint now, std::uint32_t count = 1) {
    advance_to(now);
    buckets_[bucket_ % bucket_count] += count;
    sum_ += count;
  }

  // The number of events in the window that ends at `now`.
  std::uint64_t sum(TimePoint now) {
    advance_to(now);
    return sum_;
  }

 private:
  // Fifty whole buckets for the window and the one that is being filled.
  static constexpr std::int64_t bucket_count = 51;

  // Expires the buckets that have left the window.
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

  std::int64_t bucket_width_;  // in milliseconds
  std::int64_t bucket_ = 0;    // number of the bucket being filled, counted from the clock's epoch
  std::array<std::uint32_t, bucket_count> buckets_{};  // a ring, indexed by bucket number
  std::uint64_t sum_ = 0;                              // of all buckets
};

// Invariant: the retries sent in any window stay within `safety_factor` of what the broker's own
// requests of that window allow, plus its part of the common reserve.
//
// Requests are counted over a window shorter than the nominal one and retries over a longer one,
// so that neither the delay to the backend nor the edge of a window can exceed the ratio.
class RetryBudget {
 public:
  // `window`: nominal length in milliseconds over which the ratio holds.
  // `retry_ratio`: retries allowed per request, such as 0.2 for one retry in five requests.
  RetryBudget(Duration window, double retry_ratio)
      : retry_ratio_(retry_ratio), requests_(window * 4 / 5), retries_(window * 6 / 5) {
  }

  // Counts a first attempt, which earns budget.
  void record_request(TimePoint now) {
    requests_.add(now);
  }

  // Counts a retry or a hedged attempt, which spends budget.
  void record_retry(TimePoint now) {
    retries_.add(now);
  }

  // Whether one more retry fits. `reserve`: retries that this broker may send beyond the ratio,
  // its part of the cluster's common reserve. Doesn't spend anything; see record_retry.
  bool allows_retry(TimePoint now, double reserve) {
    const double allowed =
        retry_ratio_ * safety_factor * static_cast<double>(requests_.sum(now)) + reserve;
    return static_cast<double>(retries_.sum(now)) + 1 <= allowed;
  }

 private:
  // Part of the ratio that is used. The rest covers requests that an observer counts differently,
  // such as those under way at the edge of a window.
  static constexpr double safety_factor = 0.9;

  double retry_ratio_;
  SlidingWindowCounter requests_;
  SlidingWindowCounter retries_;
};

}  // namespace saddlewing
