// How the agreement takes what other registries send.
#include <algorithm>

#include "coordination/agreement.h"

namespace saddlewing {

using Type = Ballot::Type;

void Agreement::receive(const Ballot& ballot, Moment now) {
  if (ballot.from == durable_.self) return;
  switch (ballot.type) {
    case Type::pre_vote: return take_pre_vote(ballot, now);
    case Type::vote: return take_vote(ballot, now);
    case Type::append: return take_append(ballot, now);
    case Type::appended: return take_appended(ballot, now);
    case Type::join: return take_join(ballot, now);
    case Type::pre_voted:
      if (ballot.term > durable_.term && !ballot.is_granted) follow(ballot.term, now);
      if (role_ == Role::prospect && ballot.is_granted) {
        votes_[ballot.from] = true;
        count_votes(now);
      }
      if (ballot.is_stranger && !ballot.is_granted) is_stranger_ = true;
      return;
    case Type::voted:
      if (ballot.term > durable_.term) return follow(ballot.term, now);
      if (role_ == Role::candidate && ballot.term == durable_.term && ballot.is_granted) {
        votes_[ballot.from] = true;
        count_votes(now);
      }
      return;
    case Type::hand_over:
      if (ballot.term == durable_.term && role_ == Role::follower && is_member(durable_.self) && !is_stranger_)
        start_candidate(true, now);
      return;
    case Type::joined:
      for (const Member& member : ballot.members)
        if (std::find(contacts_.begin(), contacts_.end(), member.address) == contacts_.end()) contacts_.push_back(member.address);
      return;
  }
}

void Agreement::take_pre_vote(const Ballot& ballot, Moment now) {
  const bool hears_leader = role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  Ballot reply = make(Type::pre_voted);
  reply.is_granted = !hears_leader && ballot.term > durable_.term && is_newer_or_same(ballot);
  // Its own list of members is older than ours and it is not in ours: it was replaced.
  reply.is_stranger = hears_leader && !is_member(ballot.from);
  send(ballot.address, std::move(reply), true);
}

void Agreement::take_vote(const Ballot& ballot, Moment now) {
  const bool hears_leader = role_ == Role::leader || (!leader_.empty() && now - heard_leader_ < options_.election);
  if (hears_leader && !ballot.is_handed_over) return;  // a live leader is not disturbed
  if (ballot.term > durable_.term) follow(ballot.term, now);
  Ballot reply = make(Type::voted);
  if (ballot.term == durable_.term && role_ == Role::follower && is_newer_or_same(ballot) &&
      (durable_.vote.value == 0 || durable_.vote == ballot.from)) {
    if (durable_.vote.value == 0) change_term(durable_.term, ballot.from);
    reply.is_granted = true;
    set_election(now);
  }
  send(ballot.address, std::move(reply), true);
}

void Agreement::take_append(const Ballot& ballot, Moment now) {
  if (ballot.term < durable_.term) {
    send(ballot.address, make(Type::appended), true);
    return;
  }
  if (ballot.term > durable_.term || role_ != Role::follower) follow(ballot.term, now);
  leader_id_ = ballot.from;
  leader_ = ballot.address;
  heard_leader_ = now;
  attempts_ = 0;
  is_stranger_ = false;
  set_election(now);
  const auto own = [&] { return std::pair(durable_.entry->term, durable_.entry->index); };
  // A leader's entries are of its own term, so a greater one replaces ours and a smaller one comes late.
  if (ballot.entry && std::pair(ballot.entry->term, ballot.entry->index) > own()) set_entry(ballot.entry);
  const bool is_matched = own() == std::pair(ballot.entry_term, ballot.entry_index);
  if (is_matched && ballot.commit.value >= durable_.entry->index.value) committed_ = durable_.entry;
  Ballot reply = make(Type::appended);
  reply.round = ballot.round;
  reply.is_granted = is_matched;
  // Liveness is told at once; that the entry is held, only when it is on disk.
  if (is_matched && saved_ < entry_serial_) {
    Ballot early = reply;
    early.is_granted = false;
    send(ballot.address, std::move(early), false);
    if (!ballot.entry) return;
  }
  send(ballot.address, std::move(reply), is_matched);
}

void Agreement::take_appended(const Ballot& ballot, Moment now) {
  if (ballot.term > durable_.term) return follow(ballot.term, now);
  if (role_ != Role::leader || ballot.term < durable_.term) return;
  const auto found = peers_.find(ballot.from);
  // At a member's address somebody else answers: it lost its disk, and what it sent to join may be lost too.
  if (found == peers_.end()) return take_join(ballot, now);
  Peer& peer = found->second;
  peer.heard = now;
  if (ballot.round > peer.round) {
    peer.round = ballot.round;
    if (const auto sent = round_sent_.find(ballot.round); sent != round_sent_.end()) peer.leased = sent->second;
  }
  if (const auto learner = learners_.find(ballot.from); learner != learners_.end()) learner->second = now;
  if (ballot.is_granted && ballot.entry_term == durable_.entry->term && ballot.entry_index == durable_.entry->index) {
    peer.is_matched = true;
    check_commit(now);
  } else if (!peer.is_matched) {
    send_append(peer, now, false);
  }
  check_reads();
}

void Agreement::take_join(const Ballot& ballot, Moment now) {
  if (role_ != Role::leader) {
    Ballot reply = make(Type::joined);
    reply.members = durable_.entry->members;
    reply.leader = leader_;
    send(ballot.address, std::move(reply), false);
    return;
  }
  if (is_member(ballot.from)) return;
  learners_[ballot.from] = now;
  const auto [place, is_new] = peers_.try_emplace(ballot.from, Peer{ballot.address, now, {}, false, 0, 0, {}});
  place->second.address = ballot.address;
  send_append(place->second, now, true);
}

void Agreement::ask_to_join(Moment) {
  for (const std::string& address : known_addresses()) send(address, make(Type::join), false);
}

}  // namespace saddlewing
