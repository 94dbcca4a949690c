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
      return take_pre_vote(message, now);
    case Type::vote:
      return take_vote(message, now);
    case Type::append:
      return take_append(message, now);
    case Type::appended:
      return take_appended(message, now);
    case Type::join:
      return take_join(message, now);
    case Type::pre_voted:
      if (message.term > persistent_.term && !message.is_granted)
        follow(message.term, now);
      if (role_ == Role::pre_candidate && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      if (message.is_removed && !message.is_granted)
        is_removed_ = true, removed_at_ = now;
      return;
    case Type::voted:
      if (message.term > persistent_.term)
        return follow(message.term, now);
      if (role_ == Role::candidate && message.term == persistent_.term && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      return;
    case Type::transfer:
      if (message.term == persistent_.term && role_ == Role::follower &&
          is_voter(persistent_.self) && !is_removed_ && !leaving_since_)
        start_candidate(true, now);
      return;
    case Type::joined:
      for (const Member& member : message.members)
        if (contacts_.size() < max_contacts &&
            std::find(contacts_.begin(), contacts_.end(), member.address) == contacts_.end())
          contacts_.push_back(member.address);
      return;
    case Type::leave:
      return take_leave(message, now);
    case Type::left:
      if (message.from == leader_id_ && message.term == persistent_.term)
        has_left_ = has_left_ || leaving_since_;
      return;
  }
}

void RaftNode::take_pre_vote(const RaftMessage& message, TimePoint now) {
  const bool hears_leader =
      role_ == Role::leader || (!leader_.empty() && now - last_leader_contact_ < options_.election);
  RaftMessage reply = make(Type::pre_voted);
  reply.is_granted = !hears_leader && message.term > persistent_.term && is_newer_or_same(message);
  // Not in our list of members, which is newer than its own: it was replaced. A learner that holds
  // nothing yet knows nobody.
  reply.is_removed = hears_leader && !is_voter(message.from) &&
                     std::pair(persistent_.entry->term, persistent_.entry->index) >
                         std::pair(message.entry_term, message.entry_index);
  send(message.address, std::move(reply), true);
}

void RaftNode::take_vote(const RaftMessage& message, TimePoint now) {
  const bool hears_leader =
      role_ == Role::leader || (!leader_.empty() && now - last_leader_contact_ < options_.election);
  if (hears_leader && !message.is_transfer)
    return;  // a live leader is not disturbed
  if (message.term > persistent_.term)
    follow(message.term, now);
  RaftMessage reply = make(Type::voted);
  if (message.term == persistent_.term && role_ == Role::follower && is_newer_or_same(message) &&
      (persistent_.vote.value == 0 || persistent_.vote == message.from)) {
    if (persistent_.vote.value == 0)
      change_term(persistent_.term, message.from);
    reply.is_granted = true;
    set_election(now);
  }
  send(message.address, std::move(reply), true);
}

}  // namespace saddlewing
