// How the agreement takes what other registries send.
#include <algorithm>

#include "coordination/agreement.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {
constexpr std::size_t most_contacts = 64;
}

void Agreement::receive(const RaftMessage& message, Moment now) {
  if (message.from == durable_.self)
    return;
  if (role_ == Role::leader)
    note_address(message);
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
      if (message.term > durable_.term && !message.is_granted)
        follow(message.term, now);
      if (role_ == Role::pre_candidate && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      if (message.is_removed && !message.is_granted)
        is_removed_ = true, removed_at_ = now;
      return;
    case Type::voted:
      if (message.term > durable_.term)
        return follow(message.term, now);
      if (role_ == Role::candidate && message.term == durable_.term && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      return;
    case Type::transfer:
      if (message.term == durable_.term && role_ == Role::follower && is_voter(durable_.self) &&
          !is_removed_ && !leaving_since_)
        start_candidate(true, now);
      return;
    case Type::joined:
      for (const Member& member : message.members)
        if (contacts_.size() < most_contacts &&
            std::find(contacts_.begin(), contacts_.end(), member.address) == contacts_.end())
          contacts_.push_back(member.address);
      return;
    case Type::leave:
      return take_leave(message, now);
    case Type::left:
      if (message.from == leader_id_ && message.term == durable_.term)
        has_left_ = has_left_ || leaving_since_;
      return;
  }
}

void Agreement::take_pre_vote(const RaftMessage& message, Moment now) {
  const bool hears_leader =
      role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  RaftMessage reply = make(Type::pre_voted);
  reply.is_granted = !hears_leader && message.term > durable_.term && is_newer_or_same(message);
  // Not in our list of members, which is newer than its own: it was replaced. A learner that holds
  // nothing yet knows nobody.
  reply.is_removed = hears_leader && !is_voter(message.from) &&
                     std::pair(durable_.entry->term, durable_.entry->index) >
                         std::pair(message.entry_term, message.entry_index);
  send(message.address, std::move(reply), true);
}

void Agreement::take_vote(const RaftMessage& message, Moment now) {
  const bool hears_leader =
      role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  if (hears_leader && !message.is_transfer)
    return;  // a live leader is not disturbed
  if (message.term > durable_.term)
    follow(message.term, now);
  RaftMessage reply = make(Type::voted);
  if (message.term == durable_.term && role_ == Role::follower && is_newer_or_same(message) &&
      (durable_.vote.value == 0 || durable_.vote == message.from)) {
    if (durable_.vote.value == 0)
      change_term(durable_.term, message.from);
    reply.is_granted = true;
    set_election(now);
  }
  send(message.address, std::move(reply), true);
}

}  // namespace saddlewing
