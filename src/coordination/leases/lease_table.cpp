#include "coordination/leases/lease_table.h"

#include <algorithm>

namespace saddlewing {
namespace {

// A holder without a lease is remembered for so many lease durations, so that late frames of an
// earlier incarnation still meet the entry of its successor.
constexpr int lease_durations_remembered = 4;

}  // namespace

void LeaseTable::start_term(TimePoint now) {
  entries_.clear();
  term_started_ = now;
}

void LeaseTable::record(const std::string& holder, IncarnationId incarnation,
                        std::uint64_t revision, TimePoint now) {
  const auto [position, is_new] = entries_.try_emplace({holder, incarnation});
  // Only the first contact ends the leases of other incarnations: a late frame of a former one must
  // not end those of its successor.
  if (is_new)
    for (auto& [key, other] : entries_)
      if (key.first == holder && key.second != incarnation)
        other.expires_at = {};
  Entry& entry = position->second;
  entry.revision = std::max(entry.revision, revision);
  entry.last_contact = now;
}

Duration LeaseTable::grant(const std::string& holder, IncarnationId incarnation, TimePoint now) {
  const auto found = entries_.find({holder, incarnation});
  if (found == entries_.end())
    return Duration(0);
  found->second.expires_at = now + lease_duration_;
  return lease_duration_;
}

bool LeaseTable::has_lease_before(std::uint64_t revision, TimePoint now) const {
  if (now - term_started_ < takeover_wait_)
    return true;
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second.revision < revision && item.second.expires_at >= now;
  });
}

void LeaseTable::erase_expired(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    return entry.expires_at < now &&
           now - entry.last_contact > lease_duration_ * lease_durations_remembered;
  });
}

}  // namespace saddlewing
