// Who belongs to the core: learners, joint entries, leaving in order.
#include <algorithm>

#include "coordination/raft/raft_node.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

constexpr Duration learner_timeout{3000};  // then a learner is forgotten
constexpr Duration fresh{1000};            // a learner unheard for longer takes nobody's place
constexpr Duration max_lag{
    500};  // of a learner that counts as caught up while changes follow each other
constexpr Duration leave_every{100};              // a leaving member asks again
constexpr Duration leave_request_lifetime{1000};  // an asking to leave counts for so long

}  // namespace

// It has the newest entry, or had each one soon after it began.
bool RaftNode::is_caught_up(const Peer& peer, TimePoint now) const {
  if (peer.matched == persistent_.entry->index)
    return true;
  if (peer.matched.value == 0)
    return false;
  const auto next = started_.find(Index{peer.matched.value + 1});
  return next != started_.end() && now - next->second < max_lag;
}

// The members as they should be: a caught-up learner takes the place of its own former self, of one
// that leaves, or of one that is silent. Nobody goes without one that comes, unless there are more
// than the core wants.
std::vector<Member> RaftNode::wanted_members(TimePoint now) const {
  std::vector<Member> members = persistent_.entry->members;
  const auto peer_of = [&](const Member& member) {
    const auto found = peers_.find(member.id);
    return found == peers_.end() ? nullptr : &found->second;
  };
  const auto is_leaving = [&](const Member& member) {
    const Peer* peer = peer_of(member);
    return member.id == persistent_.self ? leaving_since_.has_value()
                                         : peer && peer->leaving != TimePoint{} &&
                                               now - peer->leaving < leave_request_lifetime;
  };
  const auto is_silent = [&](const Member& member) {
    const Peer* peer = peer_of(member);
    return peer && now - peer->last_contact > options_.silent;
  };
  for (Member& member : members)  // one that moved with its disk
    if (const Peer* peer = peer_of(member))
      member.address = peer->address;
  for (const auto& [id, asked] : learners_) {
    const auto found = peers_.find(id);
    if (found == peers_.end() || !is_caught_up(found->second, now) ||
        now - found->second.last_contact > fresh)
      continue;
    const Member learner{id, found->second.address};
    auto position = std::find_if(members.begin(), members.end(), [&](const Member& member) {
      return member.address == learner.address;
    });
    if (position == members.end() && members.size() < persistent_.entry->core_size) {
      members.push_back(learner);
      continue;
    }
    if (position == members.end())
      position = std::find_if(members.begin(), members.end(), is_leaving);
    if (position == members.end())
      position = std::find_if(members.begin(), members.end(), is_silent);
    if (position != members.end())
      *position = learner;
  }
  for (const auto& should_go : {std::function<bool(const Member&)>(is_leaving),
                                std::function<bool(const Member&)>(is_silent)})
    while (members.size() > persistent_.entry->core_size) {
      const auto position = std::find_if(members.begin(), members.end(), should_go);
      if (position == members.end())
        break;
      members.erase(position);
    }
  return members;
}

void RaftNode::maintain_membership(TimePoint now) {
  if (role_ != Role::leader)
    return;
  std::erase_if(learners_, [&](const auto& learner) {
    if (now - learner.second <= learner_timeout)
      return false;
    peers_.erase(learner.first);
    return true;
  });
  if (is_under_way_ || !committed_ || committed_->term != persistent_.term ||
      !persistent_.entry->outgoing.empty())
    return;
  std::vector<Member> members = wanted_members(now);
  if (members == persistent_.entry->members)
    return;
  // A joint entry needs a majority of both lists; it does not begin while one of them is out of
  // reach.
  const auto is_reachable = [&](MemberId id) {
    if (id == persistent_.self)
      return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && now - peer->second.last_contact < options_.election;
  };
  if (!is_quorum(persistent_.entry->members, is_reachable) || !is_quorum(members, is_reachable))
    return;
  start_entry(std::move(members), persistent_.entry->members, now);
}

void RaftNode::update_address(const RaftMessage& message) {
  const auto peer = peers_.find(message.from);
  if (peer == peers_.end() || peer->second.address == message.address || message.address.empty())
    return;
  peer->second.address = message.address;  // maintain_membership has it agreed
}

void RaftNode::take_join(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader) {
    RaftMessage reply = make(Type::joined);
    reply.members = voters();
    reply.leader = leader_;
    send(message.address, std::move(reply), false);
    return;
  }
  if (is_voter(message.from))
    return;
  learners_[message.from] = now;
  Peer& peer = peers_[message.from];
  peer.address = message.address;
  peer.last_contact = now;
  peer.leaving = {};
  update_progress(peer, message, now);
  send_append(peer, now, true);
}

void RaftNode::ask_to_join(TimePoint now) {
  join_asked_ = now;
  for (const std::string& address : known_addresses())
    send(address, make(Type::join), false);
}

// Only the leader takes members in and out. Nobody waits for a place that no learner could take.
void RaftNode::take_leave(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader)
    return;
  const auto peer = peers_.find(message.from);
  const bool is_needed =
      is_voter(message.from) || !committed_ || is_voter(*committed_, message.from);
  if (const auto learner = learners_.find(message.from); learner != learners_.end())
    learners_.erase(learner);
  if (peer != peers_.end())
    peer->second.last_contact = peer->second.leaving = now;
  const bool has_no_heir =
      learners_.empty() && persistent_.entry->outgoing.empty() && is_voter(message.from);
  if (!is_needed || has_no_heir)
    return send(message.address, make(Type::left), false);
  maintain_membership(now);
}

void RaftNode::leave(TimePoint now) {
  if (!leaving_since_)
    leaving_since_ = now;
  maintain_leaving_voters(now);
}

void RaftNode::maintain_leaving_voters(TimePoint now) {
  if (!leaving_since_ || has_left_)
    return;
  // A leader that is a voter no more leads until the entry without it is committed.
  const bool is_done = role_ == Role::leader ? is_voter(persistent_.self) && learners_.empty() &&
                                                   persistent_.entry->outgoing.empty()
                                             : !is_voter(persistent_.self);
  if (is_done || now - *leaving_since_ > options_.leave_wait) {
    transfer(now);
    has_left_ = true;
    return;
  }
  if (role_ == Role::leader)
    return maintain_membership(now);
  if (now - leave_asked_ < leave_every || leader_.empty())
    return;
  leave_asked_ = now;
  send(leader_, make(Type::leave), false);
}

}  // namespace saddlewing
