#include "coordination/leases/retry_quota_allocator.h"

#include <algorithm>

namespace saddlewing {

void RetryQuotaAllocator::set_leading(bool is_leading, TimePoint now) {
  if (is_leading && !is_leading_) {
    slots_.clear();
    first_grant_at_ = now + slot_lifetime();
  }
  is_leading_ = is_leading;
}

double RetryQuotaAllocator::grant(const std::string& broker, IncarnationId incarnation,
                                  std::size_t broker_count, TimePoint now) {
  if (!is_leading_ || now < first_grant_at_ || total_ <= 0)
    return 0;
  std::erase_if(slots_, [&](const auto& slot) { return now > slot.second + slot_lifetime(); });
  // Twice the brokers, so that as many again can join or restart.
  if (slots_.empty())
    max_slots_ = std::max(min_slots, broker_count * 2);
  const SlotKey key(broker, incarnation.value);
  if (!slots_.contains(key) && slots_.size() >= max_slots_)
    return 0;
  slots_[key] = now;
  return static_cast<double>(total_) / static_cast<double>(max_slots_);
}

}  // namespace saddlewing
