// How the agreement takes what other registries send.
#include <algorithm>

#include "coordination/agreement.h"

namespace saddlewing {

using Type = RaftMessage::Type;

void Agreement::receive(const RaftMessage& message, Moment now) {
  if (message.from == durable_.self) return;
  switch (message.type) {
    case Type::pre_vote: return take_pre_vote(message, now);
    case Type::vote: return take_vote(message, now);
    case Type::append: return take_append(message, now);
    case Type::appended: return take_appended(message, now);
    case Type::join: return take_join(message, now);
    case Type::pre_voted:
      if (message.term > durable_.term && !message.is_granted) follow(message.term, now);
      if (role_ == Role::pre_candidate && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      if (message.is_removed && !message.is_granted) is_removed_ = true;
      return;
    case Type::voted:
      if (message.term > durable_.term) return follow(message.term, now);
      if (role_ == Role::candidate && message.term == durable_.term && message.is_granted) {
        votes_[message.from] = true;
        count_votes(now);
      }
      return;
    case Type::transfer:
      if (message.term == durable_.term && role_ == Role::follower && is_member(durable_.self) && !is_removed_)
        start_candidate(true, now);
      return;
    case Type::joined:
      for (const Member& member : message.members)
        if (std::find(contacts_.begin(), contacts_.end(), member.address) == contacts_.end()) contacts_.push_back(member.address);
      return;
  }
}

void Agreement::take_pre_vote(const RaftMessage& message, Moment now) {
  const bool hears_leader = role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  RaftMessage reply = make(Type::pre_voted);
  reply.is_granted = !hears_leader && message.term > durable_.term && is_newer_or_same(message);
  // Its own list of members is older than ours and it is not in ours: it was replaced.
  reply.is_removed = hears_leader && !is_member(message.from);
  send(message.address, std::move(reply), true);
}

void Agreement::take_vote(const RaftMessage& message, Moment now) {
  const bool hears_leader = role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  if (hears_leader && !message.is_transfer) return;  // a live leader is not disturbed
  if (message.term > durable_.term) follow(message.term, now);
  RaftMessage reply = make(Type::voted);
  if (message.term == durable_.term && role_ == Role::follower && is_newer_or_same(message) &&
      (durable_.vote.value == 0 || durable_.vote == message.from)) {
    if (durable_.vote.value == 0) change_term(durable_.term, message.from);
    reply.is_granted = true;
    set_election(now);
  }
  send(message.address, std::move(reply), true);
}

void Agreement::take_append(const RaftMessage& message, Moment now) {
  if (message.term < durable_.term) {
    send(message.address, make(Type::appended), true);
    return;
  }
  if (message.term > durable_.term || role_ != Role::follower) follow(message.term, now);
  leader_id_ = message.from;
  leader_ = message.address;
  heard_leader_ = now;
  leader_last_ = message.entry_index;
  attempts_ = 0;
  is_removed_ = false;
  set_election(now);
  const auto own = [&] { return std::pair(durable_.entry->term, durable_.entry->index); };
  // A leader's entries are of its own term, so a greater one replaces ours and a smaller one comes late.
  if (message.entry && std::pair(message.entry->term, message.entry->index) > own()) set_entry(message.entry);
  const bool is_matched = own() == std::pair(message.entry_term, message.entry_index);
  if (is_matched && message.commit.value >= durable_.entry->index.value) committed_ = durable_.entry;
  RaftMessage reply = make(Type::appended);
  reply.round = message.round;
  reply.is_granted = is_matched;
  // Liveness is told at once; that the entry is held, only when it is on disk.
  if (is_matched && saved_ < entry_serial_) {
    RaftMessage early = reply;
    early.is_granted = false;
    send(message.address, std::move(early), false);
    if (!message.entry) return;
  }
  send(message.address, std::move(reply), is_matched);
}

void Agreement::take_appended(const RaftMessage& message, Moment now) {
  if (message.term > durable_.term) return follow(message.term, now);
  if (role_ != Role::leader || message.term < durable_.term) return;
  const auto found = peers_.find(message.from);
  // At a member's address somebody else answers: it lost its disk, and what it sent to join may be lost too.
  if (found == peers_.end()) return take_join(message, now);
  Peer& peer = found->second;
  peer.heard = now;
  peer.last = message.entry_index;
  if (message.round > peer.round) {
    peer.round = message.round;
    if (const auto sent = round_sent_.find(message.round); sent != round_sent_.end()) peer.leased = sent->second;
  }
  if (const auto learner = learners_.find(message.from); learner != learners_.end()) learner->second = now;
  if (message.is_granted && message.entry_term == durable_.entry->term && message.entry_index == durable_.entry->index) {
    peer.is_matched = true;
    check_commit(now);
  } else if (!peer.is_matched) {
    send_append(peer, now, false);
  }
  check_reads();
}

void Agreement::take_join(const RaftMessage& message, Moment now) {
  if (role_ != Role::leader) {
    RaftMessage reply = make(Type::joined);
    reply.members = durable_.entry->members;
    reply.leader = leader_;
    send(message.address, std::move(reply), false);
    return;
  }
  if (is_member(message.from)) return;
  learners_[message.from] = now;
  const auto [place, is_new] = peers_.try_emplace(message.from, Peer{message.address, now, {}, false, 0, 0, {}});
  place->second.address = message.address;
  send_append(place->second, now, true);
}

void Agreement::ask_to_join(Moment) {
  for (const std::string& address : known_addresses()) send(address, make(Type::join), false);
}

}  // namespace saddlewing
