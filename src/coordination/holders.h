#pragma once
// Who may act by an agreed table, and until when. Pure: the leader of the core keeps one for each
// table.
#include <algorithm>
#include <map>
#include <string>

#include "state/types.h"

namespace saddlewing {

// Invariant: nobody acts by a table older than `mark` once is_held(mark) is false. A grant counts
// here from its giving and at the holder from its asking, which came before; a new leader waits out
// what its forerunner may have given.
class Holders {
 public:
  Holders(Span hold, Span settle) : hold_(hold), settle_(settle) {
  }
  void reset(Moment now) {
    rows_.clear();
    since_ = now;
  }
  // `mark`: of the table by which alone it acts.
  void note(const std::string& from, LifeId life, std::uint64_t mark, Moment now) {
    const auto [place, is_new] = rows_.try_emplace({from, life});
    Row& row = place->second;
    // The life before is over, and its holds with it. What of its frames comes late ends no hold of
    // its successor.
    if (is_new)
      for (auto& [key, other] : rows_)
        if (key.first == from && key.second != life)
          other.until = {};
    row.mark = std::max(row.mark, mark);
    row.told = now;
  }
  Span grant(const std::string& from, LifeId life, Moment now) {
    const auto found = rows_.find({from, life});
    if (found == rows_.end())
      return Span(0);
    found->second.until = now + hold_;
    return hold_;
  }
  bool is_held(std::uint64_t mark, Moment now) const {
    if (now - since_ < settle_)
      return true;
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
      return item.second.mark < mark && item.second.until >= now;
    });
  }
  void forget(Moment now) {
    std::erase_if(rows_, [&](const auto& item) {
      return item.second.until < now && now - item.second.told > hold_ * 4;
    });
  }

 private:
  struct Row {
    std::uint64_t mark = 0;
    Moment until{}, told{};
  };
  Span hold_, settle_;
  Moment since_{};
  std::map<std::pair<std::string, LifeId>, Row> rows_;  // by inner address and life
};

}  // namespace saddlewing
