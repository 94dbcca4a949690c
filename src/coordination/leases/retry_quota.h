#pragma once
// The common reserve of further tries, granted by the leader of the core in equal slots for a
// stated span. Pure.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "state/types.h"

namespace saddlewing {

// Invariant: at any moment the slots that somebody may still hold, or may have used within the last
// window, are no more than there are. A slot belongs to one life of a broker and comes free a
// window after its grant ran out; a new leader grants nothing before the grants of its forerunner
// must have come free.
class RetryQuotaAllocator {
 public:
  RetryQuotaAllocator(int total, Duration grant_duration, Duration window)
      : total_(total), grant_duration_(grant_duration), window_(window) {
  }

  void set_leading(bool is_leading, TimePoint now) {
    if (is_leading && !is_leading_) {
      slots_.clear();
      first_grant_at_ = now + grant_duration_ + window_ * 2;
    }
    is_leading_ = is_leading;
  }
  // What this life of a broker may use, valid for `valid` from now; 0 while there is no slot for
  // it.
  double grant(const std::string& broker, IncarnationId incarnation, std::size_t broker_count,
               TimePoint now) {
    if (!is_leading_ || now < first_grant_at_ || total_ <= 0)
      return 0;
    std::erase_if(slots_, [&](const auto& slot) {
      return now > slot.second + grant_duration_ + window_ * 2;
    });
    // The number of slots is set anew only while none is taken: it leaves room for as many brokers
    // again.
    if (slots_.empty())
      max_slots_ = std::max<std::size_t>(4, broker_count * 2);
    const auto key = std::pair(broker, incarnation.value);
    if (!slots_.contains(key) && slots_.size() >= max_slots_)
      return 0;
    slots_[key] = now;
    return static_cast<double>(total_) / static_cast<double>(max_slots_);
  }
  std::size_t slot_count() const {
    return slots_.size();
  }
  Duration grant_duration() const {
    return grant_duration_;
  }

 private:
  int total_;
  Duration grant_duration_, window_;
  bool is_leading_ = false;
  TimePoint first_grant_at_{};
  std::size_t max_slots_ = 4;
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> slots_;  // when last granted
};

// A broker's side: the grant of the moment, less a margin for the frame's way.
class RetryQuota {
 public:
  void update(double amount, Duration duration, TimePoint now) {
    amount_ = amount;
    expires_at_ = now + duration;
  }
  double available(TimePoint now) const {
    return now < expires_at_ ? amount_ : 0;
  }

 private:
  double amount_ = 0;
  TimePoint expires_at_{};
};

}  // namespace saddlewing
