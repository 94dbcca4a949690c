#pragma once
// A digest of all in an agreement that decides what it does next. Left out: the numbers drawn and
// what only they set
// (`Election::deadline_`, `RaftNode::next_due_`), for the explorer's clocks run on far enough
// whatever was drawn; and caches of what is sent. A field forgotten here would merge states that
// differ; the explorer checks a sample of merged ones (see explore).
#include <xxhash.h>

#include <optional>
#include <string>

#include "coordination/raft/raft_node.h"
#include "protocol/frame.h"
#include "protocol/raft_messages.h"

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

  void add_progress(const ReplicationProgress& progress) {
    add(progress.address);
    add(progress.last_contact);
    add(progress.match_index);
    add(progress.acknowledged_term_);
    add(progress.acknowledged_index_);
    add(progress.has_acknowledged_);
    add(progress.should_send_full_entry_);
    add(progress.sent_bytes_);
    add(progress.acknowledged_bytes_);
    add(progress.reported_bytes_);
    add(progress.window_bytes_);
    add(progress.last_chunk_sent_);
    add(progress.heartbeat_round);
    add(progress.lease_start);
    add(progress.leave_requested);
    add(std::uint64_t{progress.delta_ != nullptr});
  }
  void add_requests(const PendingRequests& requests) {
    add_all(requests.in_flight_tokens_);
    for (const auto& proposal : requests.proposals_) {
      add(proposal.version);
      add(proposal.body);
      add(proposal.token);
      add(proposal.document);
      add(proposal.text);
    }
    for (const auto& read : requests.reads_) {
      add(read.token);
      add(read.heartbeat_round);
    }
  }
  void add_outbox_saves(const PersistentOutbox& outbox) {
    add(outbox.state_serial_);
    add(outbox.saved_serial_);
    add(outbox.entry_serial_);
    add(outbox.save_started_);
    add(outbox.save_retry_);
  }
  void add_outbox_messages(const PersistentOutbox& outbox) {
    for (const auto& pending : outbox.messages_) {
      add(pending.required_serial);
      add(pending.outgoing.to);
      add(pending.outgoing.message);
    }
  }
  void add_node(const RaftNode& node) {
    add(node.persistent_);
    add_outbox_saves(node.outbox_);
    add_all(node.contacts_);
    add(static_cast<std::uint64_t>(node.role_));
    add(node.leader_.id);
    add(node.leader_.address);
    add(node.leader_.last_contact);
    add(node.leader_.last_confirmed_contact);
    add(node.heartbeats_.next_due_);
    add(node.membership_.is_removed);
    add_map(node.election_.votes_);
    add(std::uint64_t{node.election_.is_former_lease_over_});
    add(node.lease_from_);
    for (const auto& [id, progress] : node.peers_) {
      add(id);
      add_progress(progress);
    }
    add_map(node.learners_);
    add(node.committed_);
    add(node.is_replicating_);
    add(node.overtaken_since_);
    add_requests(node.requests_);
    add(node.heartbeats_.round_);
    add_map(node.heartbeats_.sent_);
    add_map(node.history_.started_);
    add(node.membership_.leaving_since);
    add(node.membership_.last_leave_request);
    add(node.membership_.has_left);
    add_outbox_messages(node.outbox_);
  }

  static std::uint64_t look(const RaftNode& raft, TimePoint now) {
    RaftNodeProbe probe{now};
    probe.add_node(raft);
    return probe.digest;
  }
};

}  // namespace saddlewing
