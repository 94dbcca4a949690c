#pragma once
// Majorities of a configuration, also of a joint one (Raft paper, section 6).
//
// Pure functions over an entry's lists of members; who answered what is the caller's to know.
// Source: RaftNode, which asks for elections, commits, reads, leases and contact alike.
#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

// Number of members that make a majority of `member_count`.
inline std::size_t majority_of(std::size_t member_count) {
  return member_count / 2 + 1;
}

// True if `predicate(MemberId)` holds for a majority of `members`.
template <class Predicate>
bool is_majority(const std::vector<Member>& members, const Predicate& predicate) {
  const auto count = std::count_if(members.begin(), members.end(),
                                   [&](const Member& member) { return predicate(member.id); });
  return static_cast<std::size_t>(count) >= majority_of(members.size());
}

// True if `predicate(MemberId)` holds for a majority of the members, and in a joint configuration
// for a majority of the outgoing members as well.
template <class Predicate>
bool is_quorum(const Entry& entry, const Predicate& predicate) {
  return is_majority(entry.members, predicate) &&
         (entry.outgoing.empty() || is_majority(entry.outgoing, predicate));
}

// The latest time that a majority of `members` reached: `time_of(MemberId)` gives each member's
// time, TimePoint{} for a member without one. TimePoint{} if no majority has a time.
template <class TimeOf>
TimePoint latest_majority_time(const std::vector<Member>& members, const TimeOf& time_of) {
  std::vector<TimePoint> times;
  for (const Member& member : members)
    if (const TimePoint time = time_of(member.id); time != TimePoint{})
      times.push_back(time);
  if (times.size() < majority_of(members.size()))
    return {};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[majority_of(members.size()) - 1];
}

// The latest time that a quorum of the entry's configuration reached; TimePoint{} without one.
template <class TimeOf>
TimePoint latest_quorum_time(const Entry& entry, const TimeOf& time_of) {
  const TimePoint time = latest_majority_time(entry.members, time_of);
  return entry.outgoing.empty() ? time
                                : std::min(time, latest_majority_time(entry.outgoing, time_of));
}

}  // namespace saddlewing
