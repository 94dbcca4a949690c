// What a node tells the operator of itself.
#include <algorithm>

#include "coordination/raft/raft_node.h"
#include "protocol/cluster_status.h"

namespace saddlewing {
namespace {

// Milliseconds since then, never negative.
std::uint64_t age_of(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(std::max(Duration(0), elapsed(since, now)).count());
}

ClusterStatus::Role status_role(RaftNode::Role role) {
  switch (role) {
    case RaftNode::Role::follower:
      return ClusterStatus::Role::follower;
    case RaftNode::Role::pre_candidate:
      return ClusterStatus::Role::pre_candidate;
    case RaftNode::Role::candidate:
      return ClusterStatus::Role::candidate;
    case RaftNode::Role::leader:
      break;
  }
  return ClusterStatus::Role::leader;
}

}  // namespace

ClusterStatus RaftNode::status(TimePoint now) const {
  ClusterStatus status;
  status.self = persistent_.self;
  status.address = options_.address;
  status.role = status_role(role_);
  status.is_voter = is_voter(persistent_.self);
  status.is_removed = membership_.is_removed;
  status.term = persistent_.current_term;
  status.leader = leader_.address;
  if (role_ == Role::follower && leader_.is_known())
    status.leader_last_contact = age_of(leader_.last_contact, now);
  status.last = persistent_.entry->index;
  if (role_ == Role::leader)
    status.leader_last = status.last;
  else if (leader_.is_known())
    status.leader_last = leader_.last_index;
  status.has_committed = committed_ != nullptr;
  if (committed_) {
    status.committed_term = committed_->term;
    status.committed = committed_->index;
    status.version = committed_->version;
  }
  status.core_size = persistent_.entry->core_size;
  status.is_confirmed = is_confirmed(now);
  status.is_save_failing = outbox_.is_save_failing();
  status.is_save_stuck = outbox_.is_stalled(options_.disk_stall_timeout, now);
  if (outbox_.save_started())
    status.saving = age_of(*outbox_.save_started(), now);
  add_peers(status, now);
  return status;
}

void RaftNode::add_peers(ClusterStatus& status, TimePoint now) const {
  for (const Member& member : voters())
    status.peers.push_back(peer_status(member, true, now));
  if (role_ != Role::leader)
    return;
  for (const auto& [id, last_contact] : learners_)
    if (const ReplicationProgress* progress = progress_of(id))
      status.peers.push_back(peer_status({id, progress->address}, false, now));
}

ClusterStatus::Peer RaftNode::peer_status(const Member& member, bool is_voter,
                                          TimePoint now) const {
  ClusterStatus::Peer peer{member.id, member.address, is_voter, false, false, 0, 0};
  if (member.id == persistent_.self) {
    peer.is_known = true;
    peer.is_matched = role_ == Role::leader && outbox_.is_entry_saved();
    return peer;
  }
  const ReplicationProgress* progress = progress_of(member.id);
  if (role_ != Role::leader || !progress)
    return peer;
  const Index last = persistent_.entry->index;
  peer.is_known = true;
  peer.is_matched = progress->match_index == last;
  peer.last_contact = age_of(progress->last_contact, now);
  if (!peer.is_matched && progress->has_acknowledged())
    peer.behind = last.value - std::min(last.value, progress->acknowledged_index().value);
  return peer;
}

}  // namespace saddlewing
