#pragma once
// Who may act by an agreed table, and until when. Pure: the leader of the core keeps one for each
// table.
#include <algorithm>
#include <map>
#include <string>

#include "state/types.h"

namespace saddlewing {

// Invariant: nobody acts by a table older than `revision` once has_lease_before(revision) is false.
// A grant counts here from its giving and at the holder from its asking, which came before; a new
// leader waits out what its forerunner may have given.
class LeaseTable {
 public:
  LeaseTable(Duration lease_duration, Duration takeover_wait)
      : lease_duration_(lease_duration), takeover_wait_(takeover_wait) {
  }
  void start_term(TimePoint now) {
    entries_.clear();
    term_started_ = now;
  }
  // `revision`: of the table by which alone it acts.
  void record(const std::string& holder, IncarnationId incarnation, std::uint64_t revision,
              TimePoint now) {
    const auto [position, is_new] = entries_.try_emplace({holder, incarnation});
    Entry& entry = position->second;
    // The life before is over, and its holds with it. What of its frames comes late ends no hold of
    // its successor.
    if (is_new)
      for (auto& [key, other] : entries_)
        if (key.first == holder && key.second != incarnation)
          other.expires_at = {};
    entry.revision = std::max(entry.revision, revision);
    entry.last_contact = now;
  }
  Duration grant(const std::string& holder, IncarnationId incarnation, TimePoint now) {
    const auto found = entries_.find({holder, incarnation});
    if (found == entries_.end())
      return Duration(0);
    found->second.expires_at = now + lease_duration_;
    return lease_duration_;
  }
  bool has_lease_before(std::uint64_t revision, TimePoint now) const {
    if (now - term_started_ < takeover_wait_)
      return true;
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
      return item.second.revision < revision && item.second.expires_at >= now;
    });
  }
  void erase_expired(TimePoint now) {
    std::erase_if(entries_, [&](const auto& item) {
      return item.second.expires_at < now && now - item.second.last_contact > lease_duration_ * 4;
    });
  }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    TimePoint expires_at{}, last_contact{};
  };
  Duration lease_duration_, takeover_wait_;
  TimePoint term_started_{};
  std::map<std::pair<std::string, IncarnationId>, Entry> entries_;  // by inner address and life
};

}  // namespace saddlewing
