// How the agreement takes what other registries send.
#include <algorithm>

#include "coordination/raft/raft_node.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {
constexpr std::size_t max_contacts = 64;
}

void RaftNode::receive(const RaftMessage& message, TimePoint now) {
  if (message.from == persistent_.self)
    return;
  if (role_ == Role::leader)
    update_address(message);
  switch (message.type) {
    case Type::pre_vote:
      return handle_pre_vote(message, now);
    case Type::request_vote:
      return handle_request_vote(message, now);
    case Type::append_entries:
      return handle_append_entries(message, now);
    case Type::append_entries_reply:
      return handle_append_entries_reply(message, now);
    case Type::join:
      return handle_join(message, now);
    case Type::pre_vote_reply:
      if (message.term > persistent_.current_term && !message.is_granted)
        become_follower(message.term, now);
      if (role_ == Role::pre_candidate && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      if (message.is_removed && !message.is_granted)
        is_removed_ = true, removed_at_ = now;
      return;
    case Type::request_vote_reply:
      if (message.term > persistent_.current_term)
        return become_follower(message.term, now);
      if (role_ == Role::candidate && message.term == persistent_.current_term &&
          message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      return;
    case Type::timeout_now:
      if (message.term == persistent_.current_term && role_ == Role::follower &&
          is_voter(persistent_.self) && !is_removed_ && !leaving_since_)
        start_election(true, now);
      return;
    case Type::join_reply:
      for (const Member& member : message.members)
        if (contacts_.size() < max_contacts &&
            std::find(contacts_.begin(), contacts_.end(), member.address) == contacts_.end())
          contacts_.push_back(member.address);
      return;
    case Type::leave:
      return handle_leave(message, now);
    case Type::leave_reply:
      if (message.from == leader_id_ && message.term == persistent_.current_term)
        has_left_ = has_left_ || leaving_since_;
      return;
  }
}

void RaftNode::handle_pre_vote(const RaftMessage& message, TimePoint now) {
  const bool has_live_leader =
      role_ == Role::leader ||
      (!leader_address_.empty() && now - last_leader_contact_ < options_.election_timeout);
  RaftMessage reply = make_message(Type::pre_vote_reply);
  reply.is_granted =
      !has_live_leader && message.term > persistent_.current_term && is_newer_or_same(message);
  // Not in our list of members, which is newer than its own: it was replaced. A learner that holds
  // nothing yet knows nobody.
  reply.is_removed = has_live_leader && !is_voter(message.from) &&
                     std::pair(persistent_.entry->term, persistent_.entry->index) >
                         std::pair(message.last_log_term, message.last_log_index);
  send(message.address, std::move(reply), true);
}

void RaftNode::handle_request_vote(const RaftMessage& message, TimePoint now) {
  const bool has_live_leader =
      role_ == Role::leader ||
      (!leader_address_.empty() && now - last_leader_contact_ < options_.election_timeout);
  if (has_live_leader && !message.is_leadership_transfer)
    return;  // a live leader is not disturbed
  if (message.term > persistent_.current_term)
    become_follower(message.term, now);
  RaftMessage reply = make_message(Type::request_vote_reply);
  if (message.term == persistent_.current_term && role_ == Role::follower &&
      is_newer_or_same(message) &&
      (persistent_.voted_for.value == 0 || persistent_.voted_for == message.from)) {
    if (persistent_.voted_for.value == 0)
      set_term(persistent_.current_term, message.from);
    reply.is_granted = true;
    reset_election_timer(now);
  }
  send(message.address, std::move(reply), true);
}

}  // namespace saddlewing
