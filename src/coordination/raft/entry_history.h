#pragma once
// A leader's last few entries: their contents as bases of deltas, and when each began.
//
// Contents serve to send followers only what differs from the entry that they hold. Deltas are made
// once for all followers on the same base.
// Owned by RaftNode, used in its thread alone.
#include <cstddef>
#include <map>
#include <vector>

#include "coordination/raft/entry_delta.h"
#include "coordination/raft/replication_progress.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

class EntryHistory {
 public:
  // Forgets everything; for a new leader.
  void clear() {
    drop_contents();
    started_.clear();
  }
  // Gives the memory of contents and deltas back; for a leader that steps down.
  void drop_contents() {
    contents_.clear();
    deltas_.clear();
  }

  // `entry` is the newest now. Keeps the contents of the last few entries, and of those for which
  // `is_in_flight(index)` holds: a delta to them is on its way, and the next delta builds on it.
  template <class IsInFlight>
  void retain(const EntrySnapshot& entry, const IsInFlight& is_in_flight);

  // The entry of this index was proposed at `now`.
  void record_start(Index index, TimePoint now);
  // The entry of this index is known and was proposed less than `limit` ago.
  bool has_started_within(Index index, Duration limit, TimePoint now) const;

  // The newest entry's size in bytes. Call only after retain().
  std::size_t newest_size() const {
    return contents_.back()->size();
  }
  // The delta to the newest entry from the one that the follower acknowledged, or the full entry if
  // that one is not kept here. Call only after retain().
  EntryDeltaSnapshot delta_for(const ReplicationProgress& progress);

 private:
  friend struct RaftNodeProbe;

  struct CachedDelta {
    Term base_term;
    Index base_index;
    EntryDeltaSnapshot delta;
  };

  static constexpr std::size_t max_retained_entries = 4;
  // Bytes of the retained entries beyond the newest two.
  static constexpr std::size_t max_retained_bytes = 24u << 20;

  const EntryContent* base_for(const ReplicationProgress& progress) const;

  std::vector<EntryContentSnapshot> contents_;  // newest last
  std::vector<CachedDelta> deltas_;             // Invariant: all lead to the newest entry
  std::map<Index, TimePoint> started_;
};

template <class IsInFlight>
void EntryHistory::retain(const EntrySnapshot& entry, const IsInFlight& is_in_flight) {
  contents_.push_back(make_entry_content(entry));
  deltas_.clear();
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (auto position = contents_.rbegin(); position != contents_.rend(); ++position) {
    if (++count > 1 && is_in_flight((*position)->entry->index))
      continue;
    bytes += (*position)->size();
    if (count > max_retained_entries || (count > 2 && bytes > max_retained_bytes))
      *position = nullptr;
  }
  std::erase(contents_, nullptr);
}

}  // namespace saddlewing
