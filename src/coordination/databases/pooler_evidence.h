#pragma once
// What poolers report about the leaders of databases.
//
// Job: keeps the newest report of each pooler and judges from them whether a leader is out of
// reach. It decides nothing by itself; see failover.h. Threading: not synchronized; one owner.
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "protocol/database_protocol.h"
#include "state/types.h"

namespace saddlewing {

// Invariant: one report for each pooler, its newest; an expired one, or one by another revision of
// the leadership table, is not counted.
class PoolerEvidence {
 public:
  // A report by a revision of the leadership table, whose leaderships are counted from 0.
  struct Report {
    std::uint64_t revision = 0;
    TimePoint received_at{};
    std::string zone;     // of the pooler
    std::string failing;  // a bit for each leadership: of late nothing but failures
    std::string fine;     // a bit for each leadership: of late an answer
  };

  // `pooler`: its inner address.
  void record(const std::string& pooler, Report report);

  // Drops reports older than `age`.
  void erase_older(Duration age, TimePoint now);

  void clear();

  struct Verdict {
    bool is_failing = false;     // poolers of two zones fail, and more fail than succeed
    bool is_unanswered = false;  // no pooler had an answer, whether any asked or not
  };

  // Judges the leadership at `position` of the table of that revision.
  Verdict judge(std::uint64_t revision, std::size_t position, TimePoint now) const;

 private:
  std::map<std::string, Report> reports_;  // by inner address
};

}  // namespace saddlewing
