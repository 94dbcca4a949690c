// Who belongs to the core: learners, joint entries, leaving in order.
#include <algorithm>

#include "coordination/raft/raft_node.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

constexpr Duration learner_timeout{3000};      // then a learner is forgotten
constexpr Duration max_learner_silence{1000};  // a learner unheard for longer takes nobody's place
constexpr Duration max_learner_lag{
    500};  // of a learner that counts as caught up while changes follow each other
constexpr Duration leave_request_interval{100};   // a leaving member asks again
constexpr Duration leave_request_lifetime{1000};  // an asking to leave counts for so long

}  // namespace

// It has the newest entry, or had each one soon after it began.
bool RaftNode::is_caught_up(const ReplicationProgress& peer, TimePoint now) const {
  if (peer.match_index == persistent_.entry->index)
    return true;
  if (peer.match_index.value == 0)
    return false;
  const auto next = entry_started_.find(Index{peer.match_index.value + 1});
  return next != entry_started_.end() && now - next->second < max_learner_lag;
}

// The members as they should be: a caught-up learner takes the place of its own former self, of one
// that leaves, or of one that is silent. Nobody goes without one that comes, unless there are more
// than the core wants.
std::vector<Member> RaftNode::target_members(TimePoint now) const {
  std::vector<Member> members = persistent_.entry->members;
  const auto peer_of = [&](const Member& member) {
    const auto found = peers_.find(member.id);
    return found == peers_.end() ? nullptr : &found->second;
  };
  const auto is_leaving = [&](const Member& member) {
    const ReplicationProgress* peer = peer_of(member);
    return member.id == persistent_.self ? leaving_since_.has_value()
                                         : peer && peer->leave_requested != TimePoint{} &&
                                               now - peer->leave_requested < leave_request_lifetime;
  };
  const auto is_silent = [&](const Member& member) {
    const ReplicationProgress* peer = peer_of(member);
    return peer && now - peer->last_contact > options_.voter_timeout;
  };
  for (Member& member : members)  // one that moved with its disk
    if (const ReplicationProgress* peer = peer_of(member))
      member.address = peer->address;
  for (const auto& [id, asked] : learners_) {
    const auto found = peers_.find(id);
    if (found == peers_.end() || !is_caught_up(found->second, now) ||
        now - found->second.last_contact > max_learner_silence)
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
  if (is_replicating_ || !committed_ || committed_->term != persistent_.current_term ||
      !persistent_.entry->outgoing.empty())
    return;
  std::vector<Member> members = target_members(now);
  if (members == persistent_.entry->members)
    return;
  // A joint entry needs a majority of both lists; it does not begin while one of them is out of
  // reach.
  const auto is_reachable = [&](MemberId id) {
    if (id == persistent_.self)
      return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && now - peer->second.last_contact < options_.election_timeout;
  };
  if (!is_quorum(persistent_.entry->members, is_reachable) || !is_quorum(members, is_reachable))
    return;
  append_entry(std::move(members), persistent_.entry->members, now);
}

void RaftNode::update_address(const RaftMessage& message) {
  const auto peer = peers_.find(message.from);
  if (peer == peers_.end() || peer->second.address == message.address || message.address.empty())
    return;
  peer->second.address = message.address;  // maintain_membership has it agreed
}

void RaftNode::handle_join(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader) {
    RaftMessage reply = make_message(Type::join_reply);
    reply.members = voters();
    reply.leader_address = leader_address_;
    send(message.address, std::move(reply), false);
    return;
  }
  if (is_voter(message.from))
    return;
  learners_[message.from] = now;
  ReplicationProgress& peer = peers_[message.from];
  peer.address = message.address;
  peer.last_contact = now;
  peer.leave_requested = {};
  update_progress(peer, message, now);
  send_append_entries(peer, now, true);
}

void RaftNode::request_join(TimePoint now) {
  last_join_request_ = now;
  for (const std::string& address : known_addresses())
    send(address, make_message(Type::join), false);
}

// Only the leader takes members in and out. Nobody waits for a place that no learner could take.
void RaftNode::handle_leave(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader)
    return;
  const auto peer = peers_.find(message.from);
  const bool is_needed =
      is_voter(message.from) || !committed_ || is_voter(*committed_, message.from);
  if (const auto learner = learners_.find(message.from); learner != learners_.end())
    learners_.erase(learner);
  if (peer != peers_.end())
    peer->second.last_contact = peer->second.leave_requested = now;
  const bool has_no_heir =
      learners_.empty() && persistent_.entry->outgoing.empty() && is_voter(message.from);
  if (!is_needed || has_no_heir)
    return send(message.address, make_message(Type::leave_reply), false);
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
  if (is_done || now - *leaving_since_ > options_.leave_timeout) {
    transfer_leadership(now);
    has_left_ = true;
    return;
  }
  if (role_ == Role::leader)
    return maintain_membership(now);
  if (now - last_leave_request_ < leave_request_interval || leader_address_.empty())
    return;
  last_leave_request_ = now;
  send(leader_address_, make_message(Type::leave), false);
}

}  // namespace saddlewing
