#pragma once
// A digest of all in an agreement that decides what it does next. Left out: the numbers drawn and
// what only they set
// (`election_deadline_`, `next_due_`), for the explorer's clocks run on far enough whatever was
// drawn; and caches of what is sent. A field forgotten here would merge states that differ; the
// explorer checks a sample of merged ones (see explore).
#include <xxhash.h>

#include <optional>
#include <string>

#include "coordination/raft/raft_node.h"

namespace saddlewing {

struct RaftNodeProbe {
  TimePoint now;
  std::uint64_t digest = 0;

  void add(std::uint64_t value) {
    digest = XXH3_64bits_withSeed(&value, sizeof value, digest);
  }
  void add(const std::string& text) {
    digest = XXH3_64bits_withSeed(text.data(), text.size(), digest + 1);
  }
  void add(TimePoint moment) {
    add(moment == TimePoint{} ? ~0ull : static_cast<std::uint64_t>((now - moment).count()));
  }
  template <class Tag, class T>
  void add(const Strong<Tag, T>& strong) {
    add(static_cast<std::uint64_t>(strong.value));
  }
  template <class T>
  void add(const std::optional<T>& item) {
    add(std::uint64_t{item.has_value()});
    if (item)
      add(*item);
  }
  void add(const Member& member) {
    add(member.id), add(member.address);
  }
  void add(const EntrySnapshot& entry) {
    if (!entry)
      return add(std::uint64_t{0});
    add(encode_persistent_state(PersistentState{{}, {}, {}, entry}));
  }
  void add(const PersistentState& persistent) {
    add(encode_persistent_state(persistent));
  }
  void add(const RaftMessage& message) {
    add(encode(FrameHead{FrameKind::raft, {}, {}}, message));
  }
  template <class T>
  void add_all(const T& items) {
    add(std::uint64_t{items.size()});
    for (const auto& item : items)
      add(item);
  }
  template <class T>
  void add_map(const T& items) {
    add(std::uint64_t{items.size()});
    for (const auto& [key, value] : items)
      add(key), add(value);
  }

  // Whatever of these the agreement has.
#define SADDLEWING_ADD(from, part)       \
  if constexpr (requires { from.part; }) \
  add(from.part)
  template <class P>
  void add_peer(const P& peer) {
    SADDLEWING_ADD(peer, address);
    SADDLEWING_ADD(peer, last_contact);
    SADDLEWING_ADD(peer, match_index);
    SADDLEWING_ADD(peer, is_matched);
    SADDLEWING_ADD(peer, acknowledged_term);
    SADDLEWING_ADD(peer, acknowledged_index);
    SADDLEWING_ADD(peer, has_acknowledged);
    SADDLEWING_ADD(peer, should_send_full_entry);
    SADDLEWING_ADD(peer, sent_bytes);
    SADDLEWING_ADD(peer, acknowledged_bytes);
    SADDLEWING_ADD(peer, reported_bytes);
    SADDLEWING_ADD(peer, window_bytes);
    SADDLEWING_ADD(peer, last_chunk_sent);
    SADDLEWING_ADD(peer, sent_serial);
    SADDLEWING_ADD(peer, heartbeat_round);
    SADDLEWING_ADD(peer, lease_start);
    SADDLEWING_ADD(peer, leave_requested);
    if constexpr (requires { peer.delta; })
      add(std::uint64_t{peer.delta != nullptr});
  }
  template <class A>
  void add_agreement(const A& from) {
    SADDLEWING_ADD(from, persistent_);
    SADDLEWING_ADD(from, state_serial_);
    SADDLEWING_ADD(from, saved_serial_);
    SADDLEWING_ADD(from, entry_serial_);
    SADDLEWING_ADD(from, save_started_);
    SADDLEWING_ADD(from, save_retry_);
    add_all(from.contacts_);
    add(static_cast<std::uint64_t>(from.role_));
    SADDLEWING_ADD(from, leader_id_);
    SADDLEWING_ADD(from, leader_address_);
    SADDLEWING_ADD(from, last_leader_contact_);
    SADDLEWING_ADD(from, last_confirmed_contact_);
    SADDLEWING_ADD(from, next_heartbeat_);
    SADDLEWING_ADD(from, is_removed_);
    add_map(from.votes_);
    for (const auto& [id, peer] : from.peers_)
      add(id), add_peer(peer);
    add_map(from.learners_);
    SADDLEWING_ADD(from, committed_);
    SADDLEWING_ADD(from, is_replicating_);
    add_all(from.in_flight_tokens_);
    for (const auto& proposal : from.pending_proposals_)
      add(proposal.version), add(proposal.body), add(proposal.token), add(proposal.document),
          add(proposal.text);
    for (const auto& read : from.pending_reads_)
      add(read.token), add(read.heartbeat_round);
    SADDLEWING_ADD(from, heartbeat_round_);
    add_map(from.heartbeat_sent_);
    if constexpr (requires { from.entry_started_; })
      add_map(from.entry_started_);
    SADDLEWING_ADD(from, leaving_since_);
    SADDLEWING_ADD(from, last_leave_request_);
    SADDLEWING_ADD(from, has_left_);
    for (const auto& pending : from.pending_messages_)
      add(pending.required_save), add(pending.outgoing.to), add(pending.outgoing.message);
  }
#undef SADDLEWING_ADD

  static std::uint64_t look(const RaftNode& raft, TimePoint now) {
    RaftNodeProbe probe{now};
    probe.add_agreement(raft);
    return probe.digest;
  }
};

}  // namespace saddlewing
