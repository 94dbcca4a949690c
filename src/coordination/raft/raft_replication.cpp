// Entries on their way from the leader to the others, and their commit (Raft paper, section 5.3).
#include <algorithm>
#include <utility>

#include "coordination/raft/quorum.h"
#include "coordination/raft/raft_node.h"
#include "protocol/raft_messages.h"
#include "state/invariants.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

// An entry larger than this waits until the follower has said what it holds.
constexpr std::size_t max_unrequested_bytes = chunk_bytes;

}  // namespace

void RaftNode::propose(Version version, std::string body, std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return requests_.refuse(token);
  requests_.add_configuration(version, std::move(body), token);
  propose_pending(now);
}

void RaftNode::propose_document(std::string name, std::string text, std::uint64_t token,
                                TimePoint now) {
  if (role_ != Role::leader)
    return requests_.refuse(token);
  requests_.add_document(std::move(name), std::move(text), token);
  propose_pending(now);
}

void RaftNode::propose_pending(TimePoint now) {
  if (role_ != Role::leader || is_replicating_ || !requests_.has_proposals())
    return;
  if (requests_.has_change_to(persistent_.entry->version))
    append_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
  else
    requests_.finish_pending();
}

void RaftNode::set_entry(EntrySnapshot entry) {
  persistent_.entry = std::move(entry);
  outbox_.mark_entry_changed();
}

void RaftNode::set_committed(EntrySnapshot entry) {
  const bool is_kept = !committed_ || (std::pair(entry->term, entry->index) >=
                                           std::pair(committed_->term, committed_->index) &&
                                       entry->version >= committed_->version);
  if (check_invariant(Invariant::commit_never_goes_back, is_kept, [&] {
        return "version " + std::to_string(entry->version.value) + " at " +
               std::to_string(entry->index.value) + " after version " +
               std::to_string(committed_->version.value) + " at " +
               std::to_string(committed_->index.value);
      }))
    committed_ = std::move(entry);
}

// Appends the present state under the next index, with the pending proposals and these members.
void RaftNode::append_entry(std::vector<Member> members, std::vector<Member> outgoing,
                            TimePoint now) {
  auto entry = std::make_shared<Entry>(*persistent_.entry);
  entry->term = persistent_.current_term;
  entry->index.value = persistent_.entry->index.value + 1;
  entry->members = std::move(members);
  entry->outgoing = std::move(outgoing);
  if (!entry->core_size)
    entry->core_size =
        std::max(options_.voter_count, static_cast<std::uint32_t>(entry->members.size()));
  requests_.apply_to(*entry);
  set_entry(std::move(entry));
  is_replicating_ = true;
  history_.record_start(persistent_.entry->index, now);
  retain_entry_content();
  update_peers(now);
  broadcast_append_entries(now, false);
  advance_commit_index(now);
}

// Voters of the newest entry and learners stay in peers_, and nobody else.
void RaftNode::update_peers(TimePoint now) {
  std::map<MemberId, ReplicationProgress> kept;
  for (const Member& member : voters()) {
    if (member.id == persistent_.self)
      continue;
    const auto found = peers_.find(member.id);
    ReplicationProgress& progress = kept[member.id];
    if (found != peers_.end())
      progress = std::move(found->second);
    else
      progress.last_contact = now;
    progress.address = member.address;
    learners_.erase(member.id);
  }
  for (const auto& [id, last_contact] : learners_)
    if (const auto found = peers_.find(id); found != peers_.end() && !kept.contains(id))
      kept[id] = std::move(found->second);
  peers_ = std::move(kept);
}

void RaftNode::advance_commit_index(TimePoint now) {
  if (role_ != Role::leader || !is_replicating_)
    return;
  const Index newest = persistent_.entry->index;
  const bool is_replicated = is_quorum(*persistent_.entry, [&](MemberId id) {
    if (id == persistent_.self)
      return outbox_.is_entry_saved();
    const ReplicationProgress* progress = progress_of(id);
    return progress && progress->match_index == newest;
  });
  if (!is_replicated)
    return;
  is_replicating_ = false;
  set_committed(persistent_.entry);
  requests_.finish_in_flight();
  broadcast_append_entries(now, true);
  // A joint configuration is followed at once by the new members alone.
  if (!committed_->outgoing.empty())
    return append_entry(committed_->members, {}, now);
  if (!is_voter(persistent_.self))
    return transfer_leadership(now);
  // Members change also while one proposal follows another.
  maintain_membership(now);
  propose_pending(now);
}

void RaftNode::retain_entry_content() {
  history_.retain(persistent_.entry, [&](Index index) {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      const EntryDeltaSnapshot& delta = peer.second.delta();
      return delta && delta->header.index == index;
    });
  });
}

void RaftNode::broadcast_append_entries(TimePoint now, bool is_heartbeat) {
  if (is_heartbeat)
    heartbeats_.begin(options_.heartbeat_interval, now);
  for (auto& [id, progress] : peers_)
    send_append_entries(progress, now, is_heartbeat);
}

void RaftNode::send_append_entries(ReplicationProgress& progress, TimePoint now,
                                   bool is_heartbeat) {
  if (is_heartbeat) {
    RaftMessage message = make_message(Type::append_entries);
    message.heartbeat_round = heartbeats_.current();
    message.is_confirmed = is_confirmed(now);
    if (has_committed_in_term())
      message.commit_index = committed_->index;
    send(progress.address, std::move(message), false);
  }
  send_chunks(progress, now);
}

// A delta on its way is finished also when newer entries came meanwhile, so that a follower that
// lags always gets on.
void RaftNode::send_chunks(ReplicationProgress& progress, TimePoint now) {
  if (const EntryDeltaSnapshot& delta = progress.delta()) {
    const EntryChunk& header = delta->header;
    if (header.term != persistent_.current_term ||
        progress.has_acknowledged_entry(header.term, header.index))
      progress.abandon_delta();
  }
  if (progress.has_acknowledged_entry(persistent_.entry->term, persistent_.entry->index))
    return;
  if (progress.delta()) {
    progress.resend_if_stalled(options_.heartbeat_interval, now);
  } else {
    if (!progress.has_acknowledged() && history_.newest_size() > max_unrequested_bytes)
      return;
    progress.start_delta(history_.delta_for(progress));
  }
  while (progress.has_chunk_to_send()) {
    RaftMessage message = make_message(Type::append_entries);
    message.chunk = progress.take_chunk(now);
    if (has_committed_in_term())
      message.commit_index = committed_->index;
    send(progress.address, std::move(message), false);
  }
}

// Complete: the chunk ended a new entry, which is this node's last one now.
ChunkAssembler::Result RaftNode::receive_chunk(const RaftMessage& message) {
  const EntryChunk& chunk = *message.chunk;
  const bool is_newer = std::pair(chunk.term, chunk.index) >
                        std::pair(persistent_.entry->term, persistent_.entry->index);
  // A leader's entries are of its own term, so a greater one replaces ours and a smaller one comes
  // late.
  if (!is_newer || chunk.term != message.term)
    return ChunkAssembler::Result::incomplete;
  EntrySnapshot entry;
  const auto result = chunk_assembler_.add(chunk, persistent_.entry, entry);
  if (result == ChunkAssembler::Result::complete)
    set_entry(std::move(entry));
  return result;
}

bool RaftNode::is_other_leader_of_term(const RaftMessage& message) const {
  return message.term == persistent_.current_term &&
         (role_ == Role::leader || (leader_.is_known() && leader_.id != message.from));
}

void RaftNode::handle_append_entries(const RaftMessage& message, TimePoint now) {
  if (message.term < persistent_.current_term)
    return send(message.address, make_message(Type::append_entries_reply), true);
  if (!check_invariant(Invariant::one_leader_per_term, !is_other_leader_of_term(message), [&] {
        return "term " + std::to_string(message.term.value) + " from " + message.address +
               (role_ == Role::leader ? ", led here" : ", led by " + leader_.address);
      }))
    return;
  if (message.term > persistent_.current_term || role_ != Role::follower)
    become_follower(message.term, now);
  leader_.set(message.from, message.address);
  leader_.last_id = message.from;
  leader_.last_contact = now;
  leader_.last_index = message.last_log_index;
  if (message.is_confirmed)
    leader_.last_confirmed_contact = now;
  election_.clear_attempts();
  membership_.is_removed = false;
  reset_election_timer(now);
  const auto result = message.chunk ? receive_chunk(message) : ChunkAssembler::Result::incomplete;
  // What this leader sent in its term and committed since is committed here, too.
  if (persistent_.entry->term == message.term && persistent_.entry->index <= message.commit_index)
    set_committed(persistent_.entry);
  RaftMessage reply = make_message(Type::append_entries_reply);
  reply.heartbeat_round = message.heartbeat_round;
  reply.chunk_entry_index = chunk_assembler_.entry_index();
  reply.chunk_end_offset = chunk_assembler_.received_bytes();
  reply.wants_full_entry = result == ChunkAssembler::Result::unusable;
  reply.is_granted = outbox_.is_entry_saved();
  // That this node is alive is said at once; that it has the entry, only when it is on disk.
  if (!reply.is_granted && result == ChunkAssembler::Result::complete) {
    RaftMessage acknowledgement = reply;
    acknowledgement.is_granted = true;
    send(message.address, std::move(acknowledgement), true);
  }
  send(message.address, std::move(reply), false);
}

void RaftNode::handle_append_entries_reply(const RaftMessage& message, TimePoint now) {
  if (message.term > persistent_.current_term)
    return become_follower(message.term, now);
  if (role_ != Role::leader || message.term < persistent_.current_term)
    return;
  const auto found = peers_.find(message.from);
  // Another node replies at a member's address: that one lost its disk, and its request to join may
  // have been lost too.
  if (found == peers_.end())
    return handle_join(message, now);
  ReplicationProgress& progress = found->second;
  progress.last_contact = now;
  if (message.heartbeat_round > progress.heartbeat_round) {
    progress.heartbeat_round = message.heartbeat_round;
    if (const TimePoint* sent_at = heartbeats_.sent_at(message.heartbeat_round))
      progress.lease_start = *sent_at;
  }
  if (const auto learner = learners_.find(message.from); learner != learners_.end())
    learner->second = now;
  progress.handle_reply(message, persistent_.current_term, options_.heartbeat_interval, now);
  if (outbox_.save_started() && !overtaken_since_ && is_voter(message.from) &&
      progress.match_index >= last_saved_.entry->index)
    overtaken_since_ = now;
  send_chunks(progress, now);
  advance_commit_index(now);
  answer_confirmed_reads();
}

}  // namespace saddlewing
