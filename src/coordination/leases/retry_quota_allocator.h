#pragma once
// Divides the cluster-wide quota of retries among the brokers.
//
// Job: the leader of the registries grants each broker an equal slot of the quota, for a limited
// time. It does not count retries; brokers do (routing/retry_budget.h).
// Threading: not synchronized; one owner.
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "state/types.h"

namespace saddlewing {

// Invariant: at any moment the slots that are granted, or whose retries may lie within the last
// window, are no more than the quota has. A slot belongs to one incarnation of a broker; it is
// reused only two windows after its grant expired, and a new leader grants nothing before its
// predecessor's grants are that old.
class RetryQuotaAllocator {
 public:
  // `total`: retries of the whole cluster within one window; 0: nothing is granted.
  // `grant_duration`: how long a grant lasts.
  // `window`: the span over which brokers count their retries.
  RetryQuotaAllocator(int total, Duration grant_duration, Duration window)
      : total_(total), grant_duration_(grant_duration), window_(window) {
  }

  // Tells whether this registry leads with a confirmed majority. Becoming leader drops all slots
  // and delays the first grant.
  void set_leading(bool is_leading, TimePoint now);

  // Grants or renews the slot of a broker's incarnation; returns its retries for one window, valid
  // for grant_duration() from `now`, or 0 without a free slot.
  // `broker`: its inner address. `broker_count`: how many brokers are known; the number of slots
  // follows it.
  double grant(const std::string& broker, IncarnationId incarnation, std::size_t broker_count,
               TimePoint now);

  // Slots that are not free.
  std::size_t slot_count() const {
    return slots_.size();
  }

  Duration grant_duration() const {
    return grant_duration_;
  }

 private:
  using SlotKey = std::pair<std::string, std::uint64_t>;  // inner address and incarnation

  static constexpr std::size_t min_slots = 4;

  // From the moment of a grant until its slot may be used by another broker.
  Duration slot_lifetime() const {
    return grant_duration_ + window_ * 2;
  }

  int total_;
  Duration grant_duration_;
  Duration window_;
  bool is_leading_ = false;
  TimePoint first_grant_at_{};          // no grants before
  std::size_t max_slots_ = min_slots;   // changes only while no slot is taken
  std::map<SlotKey, TimePoint> slots_;  // when last granted
};

}  // namespace saddlewing
