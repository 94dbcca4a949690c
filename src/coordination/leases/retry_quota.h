#pragma once
// A broker's share of the cluster-wide quota of retries.
//
// Job: holds the newest grant until it expires. The grants come from the leader of the registries
// (retry_quota_allocator.h).
// Threading: not synchronized; copied into the immutable view that the traffic thread reads.
#include "state/types.h"

namespace saddlewing {

class RetryQuota {
 public:
  // Replaces the grant.
  // `amount`: retries within one retry window.
  // `duration`: how long the grant lasts, from `requested_at`, the moment at which the request that
  // it answers left.
  void update(double amount, Duration duration, TimePoint requested_at) {
    amount_ = amount;
    expires_at_ = requested_at + duration;
  }

  // Retries granted at `now`; 0 once the grant has expired.
  double available(TimePoint now) const {
    return now < expires_at_ ? amount_ : 0;
  }

 private:
  double amount_ = 0;
  TimePoint expires_at_{};
};

}  // namespace saddlewing
