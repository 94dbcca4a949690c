// A node's messages, clock, saves and output.
#include "coordination/raft/raft_node.h"
#include "protocol/raft_messages.h"
#include "state/invariants.h"

#include <algorithm>
#include <utility>

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

constexpr std::size_t max_contacts = 64;

// A node that was told of its removal believes it for so many election timeouts.
constexpr int removal_timeouts = 4;

// A leader without contact to a quorum steps down after so many election timeouts.
constexpr int lost_quorum_timeouts = 2;

// A learner asks to join after so many heartbeats without its leader, then every so many.
constexpr int join_delay_heartbeats = 3;
constexpr int join_interval_heartbeats = 2;

}  // namespace

RaftNode::RaftNode(PersistentState persistent, RaftOptions options,
                   std::vector<std::string> contacts, TimePoint now)
    : persistent_(std::move(persistent)),
      options_(std::move(options)),
      contacts_(std::move(contacts)),
      last_saved_(persistent_),
      election_(options_.election_timeout, options_.heartbeat_interval, options_.random_seed) {
  reset_election_timer(now);
  if (!is_voter(persistent_.self))
    election_.set_deadline(now);  // a newcomer asks to join at once
  next_due_ = now;
}

RaftMessage RaftNode::make_message(Type type) const {
  RaftMessage message;
  message.type = type;
  message.from = persistent_.self;
  message.address = options_.address;
  message.term = persistent_.current_term;
  message.last_log_term = persistent_.entry->term;
  message.last_log_index = persistent_.entry->index;
  return message;
}

void RaftNode::send(const std::string& to, RaftMessage message, bool is_durable) {
  outbox_.push(to, std::move(message), is_durable);
}

bool RaftNode::is_voter(const Entry& entry, MemberId id) {
  const auto contains = [&](const std::vector<Member>& members) {
    return std::any_of(members.begin(), members.end(),
                       [&](const Member& member) { return member.id == id; });
  };
  return contains(entry.members) || contains(entry.outgoing);
}

std::vector<Member> RaftNode::voters() const {
  std::vector<Member> all = persistent_.entry->members;
  for (const Member& member : persistent_.entry->outgoing) {
    const bool is_listed = std::any_of(
        all.begin(), all.end(), [&](const Member& listed) { return listed.id == member.id; });
    if (!is_listed)
      all.push_back(member);
  }
  return all;
}

const ReplicationProgress* RaftNode::progress_of(MemberId id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

bool RaftNode::has_committed_in_term() const {
  return committed_ && committed_->term == persistent_.current_term;
}

bool RaftNode::may_campaign() const {
  return is_voter(persistent_.self) && !membership_.is_removed && !membership_.leaving_since;
}

void RaftNode::receive(const RaftMessage& message, TimePoint now) {
  if (message.from == persistent_.self)
    return;
  if (role_ == Role::leader)
    update_address(message);
  switch (message.type) {
    case Type::pre_vote:
      return handle_pre_vote(message, now);
    case Type::pre_vote_reply:
      return handle_pre_vote_reply(message, now);
    case Type::request_vote:
      return handle_request_vote(message, now);
    case Type::request_vote_reply:
      return handle_request_vote_reply(message, now);
    case Type::append_entries:
      return handle_append_entries(message, now);
    case Type::append_entries_reply:
      return handle_append_entries_reply(message, now);
    case Type::timeout_now:
      return handle_timeout_now(message, now);
    case Type::join:
      return handle_join(message, now);
    case Type::join_reply:
      return handle_join_reply(message);
    case Type::leave:
      return handle_leave(message, now);
    case Type::leave_reply:
      return handle_leave_reply(message);
  }
}

void RaftNode::handle_join_reply(const RaftMessage& message) {
  for (const Member& member : message.members) {
    const bool is_known =
        std::find(contacts_.begin(), contacts_.end(), member.address) != contacts_.end();
    if (!is_known && contacts_.size() < max_contacts)
      contacts_.push_back(member.address);
  }
}

// The disk is slower here than elsewhere: where all disks are slow, nobody would lead better.
bool RaftNode::is_overtaken(TimePoint now) const {
  return overtaken_since_ && now - *overtaken_since_ > options_.disk_stall_timeout;
}

void RaftNode::tick(TimePoint now) {
  if (role_ == Role::leader) {
    if (is_overtaken(now))
      transfer_leadership(now);
    else if (!has_quorum_contact(now - options_.election_timeout * lost_quorum_timeouts))
      become_follower(persistent_.current_term, now);
  }
  maintain_leave(now);
  if (role_ == Role::leader)
    tick_leader(now);
  else
    tick_follower(now);
}

void RaftNode::tick_leader(TimePoint now) {
  maintain_membership(now);
  if (now >= heartbeats_.next_due())
    broadcast_append_entries(now, true);
  next_due_ = heartbeats_.next_due();
}

void RaftNode::tick_follower(TimePoint now) {
  // If nobody leads that it could learn from, a node that was told of its removal campaigns again:
  // a pre-vote disturbs no leader.
  if (membership_.is_removed &&
      now - membership_.removed_at > options_.election_timeout * removal_timeouts)
    membership_.is_removed = false;
  const bool is_candidate = may_campaign();
  if (election_.is_due(now)) {
    // Nobody campaigns while something is to be saved: a vote that is not on disk yet belongs to an
    // election that goes on.
    if (is_candidate && outbox_.is_state_saved())
      start_pre_vote(now);
    else
      reset_election_timer(now);
  }
  next_due_ = election_.deadline();
  if (is_candidate || membership_.leaving_since)
    return;
  // A learner is known to its leader alone: the next leader hears of it only by its request.
  const Duration join_interval = options_.heartbeat_interval * join_interval_heartbeats;
  const TimePoint join_due =
      std::max(leader_.last_contact + options_.heartbeat_interval * join_delay_heartbeats,
               membership_.last_join_request + join_interval);
  const bool is_join_due = now >= join_due;
  if (is_join_due)
    request_join(now);
  next_due_ = std::min(next_due_, is_join_due ? now + join_interval : join_due);
}

void RaftNode::handle_save_result(std::uint64_t serial, bool is_saved, TimePoint now) {
  outbox_.finish_save(serial, is_saved, now);
  overtaken_since_.reset();
  if (!is_saved) {
    if (role_ == Role::leader)
      transfer_leadership(now);
    return;
  }
  if (persistent_.voted_for.value != 0 && !leader_.is_known() && outbox_.is_state_saved())
    handle_saved_vote(now);
  advance_commit_index(now);
}

// A candidate's own vote counts once it is on disk; its requests leave then, as does the vote for
// another.
void RaftNode::handle_saved_vote(TimePoint now) {
  election_.wait_for_votes(outbox_.last_save_duration(), now);
  if (role_ != Role::candidate || persistent_.voted_for != persistent_.self)
    return;
  election_.grant_vote(persistent_.self);
  count_votes(now);
}

// A state that went back is not saved, so no message that relies on it leaves.
bool RaftNode::may_save() const {
  const PersistentState& before = last_saved_;
  const PersistentState& next = persistent_;
  const bool is_same_term = next.current_term == before.current_term;
  const bool may_vote =
      !is_same_term || before.voted_for.value == 0 || next.voted_for == before.voted_for;
  const bool is_term_kept =
      check_invariant(Invariant::term_and_vote_never_go_back,
                      next.current_term >= before.current_term && may_vote, [&] {
                        return "term " + std::to_string(next.current_term.value) + " vote " +
                               std::to_string(next.voted_for.value) + " after term " +
                               std::to_string(before.current_term.value) + " vote " +
                               std::to_string(before.voted_for.value);
                      });
  const bool is_entry_kept =
      check_invariant(Invariant::entry_never_goes_back,
                      std::pair(next.entry->term, next.entry->index) >=
                          std::pair(before.entry->term, before.entry->index),
                      [&] {
                        return "entry " + std::to_string(next.entry->index.value) + " of term " +
                               std::to_string(next.entry->term.value) + " after " +
                               std::to_string(before.entry->index.value) + " of term " +
                               std::to_string(before.entry->term.value);
                      });
  return is_term_kept && is_entry_kept;
}

RaftNode::Output RaftNode::take_output(TimePoint now) {
  Output output;
  if (const auto serial = outbox_.begin_save(now); serial && may_save()) {
    output.save = Save{*serial, persistent_};
    last_saved_ = persistent_;
  }
  output.messages = outbox_.take_sendable(persistent_.current_term);
  output.results = requests_.take_results();
  return output;
}

std::vector<std::string> RaftNode::known_addresses() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& address) {
    const bool is_listed =
        std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    if (address != options_.address && !is_listed)
      addresses.push_back(address);
  };
  for (const Member& member : voters())
    add(member.address);
  for (const std::string& contact : contacts_)
    add(contact);
  return addresses;
}

}  // namespace saddlewing
