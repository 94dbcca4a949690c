// Terms, roles and votes of a node (Raft paper, section 5.2; thesis, sections 3.10, 4.2.3, 9.6).
#include <tuple>
#include <utility>

#include "coordination/raft/quorum.h"
#include "coordination/raft/raft_node.h"
#include "protocol/raft_messages.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

// A leader that handed its leadership over campaigns no earlier than after so many election
// timeouts.
constexpr int transfer_pause_timeouts = 3;

}  // namespace

void RaftNode::set_term(Term term, MemberId voted_for) {
  persistent_.current_term = term;
  persistent_.voted_for = voted_for;
  outbox_.mark_state_changed();
}

void RaftNode::reset_election_timer(TimePoint now) {
  election_.reset_timer(leader_.is_known(), now);
}

void RaftNode::become_follower(Term term, TimePoint now) {
  if (term > persistent_.current_term) {
    set_term(term, MemberId{});
    leader_.clear();
  }
  if (role_ == Role::leader) {
    requests_.fail_all();
    peers_.clear();
    learners_.clear();
    history_.drop_contents();
    is_replicating_ = false;
    overtaken_since_.reset();
    leader_.clear();
  }
  if (role_ != Role::follower)
    reset_election_timer(now);
  role_ = Role::follower;
}

// The lease of the leader before ends an election timeout after this election at the latest. There
// is none to wait for in the first term, nor if that leader stepped down for this node.
TimePoint RaftNode::end_of_former_leases(TimePoint now) const {
  constexpr Term first_term{1};
  if (persistent_.current_term == first_term || election_.is_former_lease_over())
    return now;
  return now + options_.election_timeout * (100 + options_.clock_drift_percent) / 100;
}

void RaftNode::become_leader(TimePoint now) {
  role_ = Role::leader;
  lease_from_ = end_of_former_leases(now);
  election_.clear_attempts();
  leader_.set(persistent_.self, options_.address);
  peers_.clear();
  learners_.clear();
  history_.clear();
  retain_entry_content();
  // The leader before is silent since it was heard last, not since this one leads.
  if (leader_.last_contact != TimePoint{} && is_voter(leader_.last_id) &&
      leader_.last_id != persistent_.self)
    peers_[leader_.last_id].last_contact = leader_.last_contact;
  append_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
}

void RaftNode::start_pre_vote(TimePoint now) {
  role_ = Role::pre_candidate;
  election_.count_attempt();
  leader_.clear();
  election_.clear_votes();
  election_.grant_vote(persistent_.self);
  reset_election_timer(now);
  for (const Member& member : voters()) {
    if (member.id == persistent_.self)
      continue;
    RaftMessage message = make_message(Type::pre_vote);
    message.term.value = persistent_.current_term.value + 1;
    send(member.address, std::move(message), false);
  }
  count_votes(now);
}

// Its own vote counts when it is on disk, see handle_save_result().
void RaftNode::start_election(bool is_leadership_transfer, TimePoint now) {
  role_ = Role::candidate;
  leader_.clear();
  election_.clear_votes();
  election_.set_former_lease_over(false);
  set_term(Term{persistent_.current_term.value + 1}, persistent_.self);
  reset_election_timer(now);
  for (const Member& member : voters()) {
    if (member.id == persistent_.self)
      continue;
    RaftMessage message = make_message(Type::request_vote);
    message.is_leadership_transfer = is_leadership_transfer;
    send(member.address, std::move(message), true);
  }
}

void RaftNode::count_votes(TimePoint now) {
  if (!is_quorum(*persistent_.entry, [&](MemberId id) { return election_.has_vote(id); }))
    return;
  if (role_ == Role::pre_candidate)
    start_election(false, now);
  else if (role_ == Role::candidate)
    become_leader(now);
}

bool RaftNode::has_live_leader(TimePoint now) const {
  return role_ == Role::leader || leader_.is_live(options_.election_timeout, now);
}

// The sender's log is at least as up-to-date as this node's (paper, section 5.4.1).
bool RaftNode::is_up_to_date(const RaftMessage& message) const {
  return std::pair(message.last_log_term, message.last_log_index) >=
         std::pair(persistent_.entry->term, persistent_.entry->index);
}

void RaftNode::handle_pre_vote(const RaftMessage& message, TimePoint now) {
  RaftMessage reply = make_message(Type::pre_vote_reply);
  reply.is_granted =
      !has_live_leader(now) && message.term > persistent_.current_term && is_up_to_date(message);
  // Not in this node's configuration, which is newer than its own: it was replaced. A learner that
  // holds nothing yet knows of no members.
  reply.is_removed = has_live_leader(now) && !is_voter(message.from) && !is_up_to_date(message);
  send(message.address, std::move(reply), true);
}

void RaftNode::handle_pre_vote_reply(const RaftMessage& message, TimePoint now) {
  if (message.term > persistent_.current_term && !message.is_granted)
    become_follower(message.term, now);
  if (role_ == Role::pre_candidate && message.is_granted) {
    election_.grant_vote(message.from);
    count_votes(now);
  }
  if (message.is_removed && !message.is_granted) {
    membership_.is_removed = true;
    membership_.removed_at = now;
  }
}

void RaftNode::handle_request_vote(const RaftMessage& message, TimePoint now) {
  if (has_live_leader(now) && !message.is_leadership_transfer)
    return;  // a live leader is not disturbed
  if (message.term > persistent_.current_term)
    become_follower(message.term, now);
  RaftMessage reply = make_message(Type::request_vote_reply);
  const bool has_voted = persistent_.voted_for.value != 0;
  const bool may_vote = !has_voted || persistent_.voted_for == message.from;
  if (message.term == persistent_.current_term && role_ == Role::follower &&
      is_up_to_date(message) && may_vote) {
    if (!has_voted)
      set_term(persistent_.current_term, message.from);
    reply.is_granted = true;
    reset_election_timer(now);
  }
  send(message.address, std::move(reply), true);
}

void RaftNode::handle_request_vote_reply(const RaftMessage& message, TimePoint now) {
  if (message.term > persistent_.current_term)
    return become_follower(message.term, now);
  if (role_ == Role::candidate && message.term == persistent_.current_term && message.is_granted) {
    election_.grant_vote(message.from);
    count_votes(now);
  }
}

void RaftNode::handle_timeout_now(const RaftMessage& message, TimePoint now) {
  if (message.term == persistent_.current_term && role_ == Role::follower && may_campaign()) {
    start_election(true, now);
    election_.set_former_lease_over(message.is_leadership_transfer);
  }
}

// Prefers a voter that does not leave, then one that is in contact, then the one that has most.
void RaftNode::transfer_leadership(TimePoint now) {
  if (role_ != Role::leader)
    return;
  const auto rank = [&](const ReplicationProgress& progress) {
    return std::tuple(now - progress.leave_requested > options_.election_timeout,
                      now - progress.last_contact < options_.election_timeout, progress.match_index,
                      progress.last_contact);
  };
  const ReplicationProgress* successor = nullptr;
  for (const Member& member : persistent_.entry->members) {
    const ReplicationProgress* progress = progress_of(member.id);
    if (progress && (!successor || rank(*progress) > rank(*successor)))
      successor = progress;
  }
  if (successor) {
    RaftMessage message = make_message(Type::timeout_now);
    message.is_leadership_transfer = now >= lease_from_;
    send(successor->address, std::move(message), false);
  }
  become_follower(persistent_.current_term, now);
  election_.set_deadline(now + options_.election_timeout * transfer_pause_timeouts);
}

}  // namespace saddlewing
