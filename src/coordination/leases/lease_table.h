#pragma once
// Who may act by an agreed table, and until when. Pure: the leader of the core keeps one for each
// table.
#include <algorithm>
#include <map>
#include <string>

#include "state/types.h"

namespace saddlewing {

// Invariant: nobody acts by a table older than `revision` once is_held(mark) is false. A grant
// counts here from its giving and at the holder from its asking, which came before; a new leader
// waits out what its forerunner may have given.
class LeaseTable {
 public:
  LeaseTable(Duration lease, Duration settle) : lease_(lease), settle_(settle) {
  }
  void reset(TimePoint now) {
    rows_.clear();
    since_ = now;
  }
  // `revision`: of the table by which alone it acts.
  void note(const std::string& from, IncarnationId incarnation, std::uint64_t revision,
            TimePoint now) {
    const auto [position, is_new] = rows_.try_emplace({from, incarnation});
    Row& row = position->second;
    // The life before is over, and its holds with it. What of its frames comes late ends no hold of
    // its successor.
    if (is_new)
      for (auto& [key, other] : rows_)
        if (key.first == from && key.second != incarnation)
          other.until = {};
    row.revision = std::max(row.revision, revision);
    row.told = now;
  }
  Duration grant(const std::string& from, IncarnationId incarnation, TimePoint now) {
    const auto found = rows_.find({from, incarnation});
    if (found == rows_.end())
      return Duration(0);
    found->second.until = now + lease_;
    return lease_;
  }
  bool is_held(std::uint64_t revision, TimePoint now) const {
    if (now - since_ < settle_)
      return true;
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
      return item.second.revision < revision && item.second.until >= now;
    });
  }
  void forget(TimePoint now) {
    std::erase_if(rows_, [&](const auto& item) {
      return item.second.until < now && now - item.second.told > lease_ * 4;
    });
  }

 private:
  struct Row {
    std::uint64_t revision = 0;
    TimePoint until{}, told{};
  };
  Duration lease_, settle_;
  TimePoint since_{};
  std::map<std::pair<std::string, IncarnationId>, Row> rows_;  // by inner address and life
};

}  // namespace saddlewing
