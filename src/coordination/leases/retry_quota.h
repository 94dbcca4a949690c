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
  RetryQuotaAllocator(int reserve, Duration valid, Duration window)
      : reserve_(reserve), valid_(valid), window_(window) {
  }

  void lead(bool is_leading, TimePoint now) {
    if (is_leading && !is_leading_) {
      slots_.clear();
      quiet_until_ = now + valid_ + window_ * 2;
    }
    is_leading_ = is_leading;
  }
  // What this life of a broker may use, valid for `valid` from now; 0 while there is no slot for
  // it.
  double grant(const std::string& broker, IncarnationId incarnation, std::size_t brokers,
               TimePoint now) {
    if (!is_leading_ || now < quiet_until_ || reserve_ <= 0)
      return 0;
    std::erase_if(slots_,
                  [&](const auto& slot) { return now > slot.second + valid_ + window_ * 2; });
    // The number of slots is set anew only while none is taken: it leaves room for as many brokers
    // again.
    if (slots_.empty())
      max_slots_ = std::max<std::size_t>(4, brokers * 2);
    const auto key = std::pair(broker, incarnation.value);
    if (!slots_.contains(key) && slots_.size() >= max_slots_)
      return 0;
    slots_[key] = now;
    return static_cast<double>(reserve_) / static_cast<double>(max_slots_);
  }
  std::size_t taken() const {
    return slots_.size();
  }
  Duration valid() const {
    return valid_;
  }

 private:
  int reserve_;
  Duration valid_, window_;
  bool is_leading_ = false;
  TimePoint quiet_until_{};
  std::size_t max_slots_ = 4;
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> slots_;  // when last granted
};

// A broker's side: the grant of the moment, less a margin for the frame's way.
class RetryQuota {
 public:
  void take(double amount, Duration valid, TimePoint now) {
    amount_ = amount;
    until_ = now + valid;
  }
  double part(TimePoint now) const {
    return now < until_ ? amount_ : 0;
  }

 private:
  double amount_ = 0;
  TimePoint until_{};
};

}  // namespace saddlewing
