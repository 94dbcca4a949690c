#pragma once
// What a leader knows of one follower or learner, and how far it has sent it the newest entry.
//
// Does not send: RaftNode asks what is due and reports what left. One delta at a time is on its way
// to a follower, in chunks, under a window that grows while replies are quick.
// Owned by RaftNode, used in its thread alone.
#include <algorithm>
#include <cstdint>
#include <string>

#include "coordination/raft/entry_delta.h"
#include "protocol/raft_messages.h"
#include "state/types.h"

namespace saddlewing {

class ReplicationProgress {
 public:
  // Inner address, as it said last; may be newer than the agreed one.
  std::string address;

  // When it was heard last.
  TimePoint last_contact{};

  // The newest entry of the present term that it has on disk. Only this counts for commits.
  // Invariant: never falls while this node leads.
  Index match_index;

  // The newest heartbeat round that it replied to. Only this counts for reads.
  std::uint64_t heartbeat_round = 0;

  // When that heartbeat left: its part in the leader's lease begins then. TimePoint{}: none yet.
  TimePoint lease_start{};

  // When it last asked to leave; TimePoint{}: never.
  TimePoint leave_requested{};

  // Term and index of its last entry, as it said, on disk or not. Meaningful once
  // has_acknowledged().
  Term acknowledged_term() const {
    return acknowledged_term_;
  }
  Index acknowledged_index() const {
    return acknowledged_index_;
  }
  // It has said which entry it holds.
  bool has_acknowledged() const {
    return has_acknowledged_;
  }
  // It holds that entry or a newer one.
  bool has_acknowledged_entry(Term term, Index index) const;

  // No delta works: it has to get the full entry, for what it holds does not match its own name.
  bool should_send_full_entry() const {
    return should_send_full_entry_;
  }

  // The delta on its way; null: none.
  const EntryDeltaSnapshot& delta() const {
    return delta_;
  }
  // Starts to send `delta` from its first byte.
  void start_delta(EntryDeltaSnapshot delta);
  void abandon_delta() {
    delta_ = nullptr;
  }
  // Goes back to the last byte that the follower reported, if nothing left within three
  // heartbeats: chunks were lost, or the link holds less than the window.
  void resend_if_stalled(Duration heartbeat_interval, TimePoint now);
  // There is a chunk to send, and the window has room for it.
  bool has_chunk_to_send() const;
  // The next chunk; counts as sent at `now`. Call only if has_chunk_to_send().
  EntryChunk take_chunk(TimePoint now);

  // Takes in a reply to append_entries, or a request to join. `current_term` is the leader's.
  void handle_reply(const RaftMessage& message, Term current_term, Duration heartbeat_interval,
                    TimePoint now);

 private:
  friend struct RaftNodeProbe;

  void update_acknowledged_entry(const RaftMessage& message);
  void update_window(const RaftMessage& message, Duration heartbeat_interval, TimePoint now);

  Term acknowledged_term_;
  Index acknowledged_index_;
  bool has_acknowledged_ = false;
  // The newest heartbeat round whose reply named the acknowledged entry.
  std::uint64_t acknowledged_round_ = 0;
  bool should_send_full_entry_ = false;

  // Invariant: acknowledged_bytes_ <= sent_bytes_ <= size of the delta.
  EntryDeltaSnapshot delta_;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t acknowledged_bytes_ = 0;        // the most that it ever reported of this delta
  std::uint64_t reported_bytes_ = 0;            // by its last reply; less if it lost some
  std::size_t window_bytes_ = 4 * chunk_bytes;  // that may be sent and not acknowledged
  TimePoint last_chunk_sent_{};
};

}  // namespace saddlewing
