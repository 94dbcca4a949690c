#pragma once
// A digest of all in an agreement that decides what it does next. Left out: the numbers drawn and
// what only they set
// (`election_`, `due_`), for the explorer's clocks run on far enough whatever was drawn; and caches
// of what is sent. A field forgotten here would merge states that differ; the explorer checks a
// sample of merged ones (see explore).
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
    SADDLEWING_ADD(peer, matched);
    SADDLEWING_ADD(peer, is_matched);
    SADDLEWING_ADD(peer, held_term);
    SADDLEWING_ADD(peer, held_index);
    SADDLEWING_ADD(peer, has_told);
    SADDLEWING_ADD(peer, should_send_whole);
    SADDLEWING_ADD(peer, sent);
    SADDLEWING_ADD(peer, answered);
    SADDLEWING_ADD(peer, told);
    SADDLEWING_ADD(peer, window);
    SADDLEWING_ADD(peer, sent_at);
    SADDLEWING_ADD(peer, sent_serial);
    SADDLEWING_ADD(peer, round);
    SADDLEWING_ADD(peer, leased);
    SADDLEWING_ADD(peer, leaving);
    if constexpr (requires { peer.change; })
      add(std::uint64_t{peer.change != nullptr});
  }
  template <class A>
  void add_agreement(const A& from) {
    SADDLEWING_ADD(from, persistent_);
    SADDLEWING_ADD(from, serial_);
    SADDLEWING_ADD(from, saved_);
    SADDLEWING_ADD(from, entry_serial_);
    SADDLEWING_ADD(from, save_started_);
    SADDLEWING_ADD(from, save_retry_);
    add_all(from.contacts_);
    add(static_cast<std::uint64_t>(from.role_));
    SADDLEWING_ADD(from, leader_id_);
    SADDLEWING_ADD(from, leader_);
    SADDLEWING_ADD(from, last_leader_contact_);
    SADDLEWING_ADD(from, last_confirmed_contact_);
    SADDLEWING_ADD(from, heartbeat_due_);
    SADDLEWING_ADD(from, is_removed_);
    add_map(from.votes_);
    for (const auto& [id, peer] : from.peers_)
      add(id), add_peer(peer);
    add_map(from.learners_);
    SADDLEWING_ADD(from, committed_);
    SADDLEWING_ADD(from, is_under_way_);
    add_all(from.attached_);
    for (const auto& waiting : from.waiting_)
      add(waiting.version), add(waiting.body), add(waiting.token), add(waiting.document),
          add(waiting.text);
    for (const auto& read : from.reads_)
      add(read.token), add(read.round);
    SADDLEWING_ADD(from, round_);
    add_map(from.round_sent_);
    if constexpr (requires { from.started_; })
      add_map(from.started_);
    SADDLEWING_ADD(from, leaving_since_);
    SADDLEWING_ADD(from, leave_asked_);
    SADDLEWING_ADD(from, has_left_);
    for (const auto& held : from.held_)
      add(held.need), add(held.outgoing.to), add(held.outgoing.message);
  }
#undef SADDLEWING_ADD

  static std::uint64_t look(const RaftNode& raft, TimePoint now) {
    RaftNodeProbe probe{now};
    probe.add_agreement(raft);
    return probe.digest;
  }
};

}  // namespace saddlewing
