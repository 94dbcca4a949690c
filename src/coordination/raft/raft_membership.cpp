// Who belongs to the cluster: learners, joint configurations, leaving in order (Raft paper,
// section 6; thesis, section 4.2).
#include <algorithm>
#include <utility>

#include "coordination/raft/quorum.h"
#include "coordination/raft/raft_node.h"
#include "protocol/raft_messages.h"

namespace saddlewing {

using Type = RaftMessage::Type;

namespace {

// A learner without contact for longer is forgotten.
constexpr Duration learner_timeout{3000};

// A learner without contact for longer takes nobody's place.
constexpr Duration max_learner_silence{1000};

// A learner this much behind counts as caught up while changes follow each other.
constexpr Duration max_learner_lag{500};

// A leaving node asks again so often, and each request counts for so long.
constexpr Duration leave_request_interval{100};
constexpr Duration leave_request_lifetime{1000};

}  // namespace

// It has the newest entry, or had each one soon after it was proposed.
bool RaftNode::is_caught_up(const ReplicationProgress& progress, TimePoint now) const {
  if (progress.match_index == persistent_.entry->index)
    return true;
  if (progress.match_index.value == 0)
    return false;
  const Index next{progress.match_index.value + 1};
  return history_.has_started_within(next, max_learner_lag, now);
}

bool RaftNode::is_leaving(const Member& member, TimePoint now) const {
  if (member.id == persistent_.self)
    return membership_.leaving_since.has_value();
  const ReplicationProgress* progress = progress_of(member.id);
  return progress && progress->leave_requested != TimePoint{} &&
         now - progress->leave_requested < leave_request_lifetime;
}

bool RaftNode::is_silent(const Member& member, TimePoint now) const {
  const ReplicationProgress* progress = progress_of(member.id);
  return progress && now - progress->last_contact > options_.voter_timeout;
}

// The members as they should be: a caught-up learner takes the place of its own former self, of one
// that leaves, or of one that is silent. Nobody goes without one that comes, unless there are more
// than the cluster wants.
std::vector<Member> RaftNode::target_members(TimePoint now) const {
  std::vector<Member> members = persistent_.entry->members;
  for (Member& member : members) {  // one may have moved with its disk, also this one
    if (member.id == persistent_.self)
      member.address = options_.address;
    else if (const ReplicationProgress* progress = progress_of(member.id))
      member.address = progress->address;
  }
  for (const auto& [id, last_contact] : learners_) {
    const ReplicationProgress* progress = progress_of(id);
    if (!progress || !is_caught_up(*progress, now) ||
        now - progress->last_contact > max_learner_silence)
      continue;
    place_learner({id, progress->address}, members, now);
  }
  remove_surplus(members, now);
  return members;
}

void RaftNode::place_learner(const Member& learner, std::vector<Member>& members,
                             TimePoint now) const {
  auto position = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.address == learner.address;
  });
  if (position == members.end() && members.size() < persistent_.entry->core_size) {
    members.push_back(learner);
    return;
  }
  if (position == members.end())
    position = std::find_if(members.begin(), members.end(),
                            [&](const Member& member) { return is_leaving(member, now); });
  if (position == members.end())
    position = std::find_if(members.begin(), members.end(),
                            [&](const Member& member) { return is_silent(member, now); });
  if (position != members.end())
    *position = learner;
}

// Members that leave go first, then silent ones.
void RaftNode::remove_surplus(std::vector<Member>& members, TimePoint now) const {
  const auto remove_while = [&](const auto& should_go) {
    while (members.size() > persistent_.entry->core_size) {
      const auto position = std::find_if(members.begin(), members.end(), should_go);
      if (position == members.end())
        return;
      members.erase(position);
    }
  };
  remove_while([&](const Member& member) { return is_leaving(member, now); });
  remove_while([&](const Member& member) { return is_silent(member, now); });
}

void RaftNode::maintain_membership(TimePoint now) {
  if (role_ != Role::leader)
    return;
  std::erase_if(learners_, [&](const auto& learner) {
    const auto& [id, last_contact] = learner;
    if (now - last_contact <= learner_timeout)
      return false;
    peers_.erase(id);
    return true;
  });
  if (is_replicating_ || !has_committed_in_term() || !persistent_.entry->outgoing.empty())
    return;
  std::vector<Member> members = target_members(now);
  if (members == persistent_.entry->members)
    return;
  // A joint configuration needs a majority of both lists; it does not begin while one of them is
  // out of reach.
  const auto is_reachable = [&](MemberId id) {
    if (id == persistent_.self)
      return true;
    const ReplicationProgress* progress = progress_of(id);
    return progress && now - progress->last_contact < options_.election_timeout;
  };
  if (!is_majority(persistent_.entry->members, is_reachable) || !is_majority(members, is_reachable))
    return;
  append_entry(std::move(members), persistent_.entry->members, now);
}

// A member that moved with its disk; maintain_membership() has the new address agreed.
void RaftNode::update_address(const RaftMessage& message) {
  const auto peer = peers_.find(message.from);
  if (peer != peers_.end() && !message.address.empty())
    peer->second.address = message.address;
}

void RaftNode::handle_join(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader) {
    RaftMessage reply = make_message(Type::join_reply);
    reply.members = voters();
    reply.leader_address = leader_.address;
    send(message.address, std::move(reply), false);
    return;
  }
  if (is_voter(message.from))
    return;
  learners_[message.from] = now;
  ReplicationProgress& progress = peers_[message.from];
  progress.address = message.address;
  progress.last_contact = now;
  progress.leave_requested = {};
  progress.handle_reply(message, persistent_.current_term, options_.heartbeat_interval, now);
  send_append_entries(progress, now, true);
}

void RaftNode::request_join(TimePoint now) {
  membership_.last_join_request = now;
  for (const std::string& address : known_addresses())
    send(address, make_message(Type::join), false);
}

// Only the leader takes members in and out. Nobody waits for a place that no learner could take.
void RaftNode::handle_leave(const RaftMessage& message, TimePoint now) {
  if (role_ != Role::leader)
    return;
  const bool is_needed =
      is_voter(message.from) || !committed_ || is_voter(*committed_, message.from);
  learners_.erase(message.from);
  if (const auto peer = peers_.find(message.from); peer != peers_.end()) {
    peer->second.last_contact = now;
    peer->second.leave_requested = now;
  }
  const bool has_no_successor =
      learners_.empty() && persistent_.entry->outgoing.empty() && is_voter(message.from);
  if (!is_needed || has_no_successor)
    return send(message.address, make_message(Type::leave_reply), false);
  maintain_membership(now);
}

void RaftNode::handle_leave_reply(const RaftMessage& message) {
  const bool is_of_leader = message.from == leader_.id && message.term == persistent_.current_term;
  if (is_of_leader && membership_.leaving_since)
    membership_.has_left = true;
}

void RaftNode::leave(TimePoint now) {
  if (!membership_.leaving_since)
    membership_.leaving_since = now;
  maintain_leave(now);
}

void RaftNode::maintain_leave(TimePoint now) {
  if (!membership_.leaving_since || membership_.has_left)
    return;
  // A leader that is a voter no more leads until the entry without it is committed.
  const bool has_no_successor =
      is_voter(persistent_.self) && learners_.empty() && persistent_.entry->outgoing.empty();
  const bool is_done = role_ == Role::leader ? has_no_successor : !is_voter(persistent_.self);
  if (is_done || now - *membership_.leaving_since > options_.leave_timeout) {
    transfer_leadership(now);
    membership_.has_left = true;
    return;
  }
  if (role_ == Role::leader)
    return maintain_membership(now);
  if (now - membership_.last_leave_request < leave_request_interval || !leader_.is_known())
    return;
  membership_.last_leave_request = now;
  send(leader_.address, make_message(Type::leave), false);
}

}  // namespace saddlewing
