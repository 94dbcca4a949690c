#pragma once
// Leases on a replicated table: who may act by which revision of it, and until when.
//
// Job: the leader of the registries keeps one for each replicated table (database leaderships, the
// hash ring) and asks it before a step that is safe only once nobody acts by an older revision. It
// does not hold the table itself and sends nothing.
// Threading: not synchronized; one owner.
// Source: Gray and Cheriton, "Leases" (1989).
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "state/types.h"

namespace saddlewing {

// Invariant: once has_lease_before(revision) is false, nobody acts by an older revision. A lease
// counts here from its grant and at the holder from its request, which left earlier; and a new
// leader waits until whatever its predecessor may have granted has expired.
class LeaseTable {
 public:
  // `lease_duration`: how long a grant lasts.
  // `takeover_wait`: how long a new leader takes every revision for leased; longer than
  // `lease_duration`.
  LeaseTable(Duration lease_duration, Duration takeover_wait)
      : lease_duration_(lease_duration), takeover_wait_(takeover_wait) {
  }

  // This process became leader at `now`: former entries are dropped and the takeover wait begins.
  void start_term(TimePoint now);

  // Records the revision by which alone a holder acts; a lower one than before is ignored. The
  // first contact of a new incarnation ends the leases of the former ones at that address.
  // `holder`: inner address of a broker or pooler.
  void record(const std::string& holder, IncarnationId incarnation, std::uint64_t revision,
              TimePoint now);

  // Grants or renews a lease from `now`; returns its duration, 0 for a holder that is not recorded.
  Duration grant(const std::string& holder, IncarnationId incarnation, TimePoint now);

  // Whether somebody may still act by a revision older than `revision`.
  bool has_lease_before(std::uint64_t revision, TimePoint now) const;

  // Drops holders whose lease has expired and that were not heard of for four lease durations.
  void erase_expired(TimePoint now);

 private:
  using HolderKey = std::pair<std::string, IncarnationId>;  // inner address and incarnation

  struct Entry {
    std::uint64_t revision = 0;  // the highest recorded
    TimePoint expires_at{};
    TimePoint last_contact{};
  };

  Duration lease_duration_;
  Duration takeover_wait_;
  TimePoint term_started_{};
  std::map<HolderKey, Entry> entries_;
};

}  // namespace saddlewing
