// What the agreement tells the operator of itself.
#include <algorithm>

#include "coordination/raft/raft_node.h"

namespace saddlewing {
namespace {

std::uint64_t age(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(std::max(Duration(0), elapsed(since, now)).count());
}

ClusterStatus::Role role_of(RaftNode::Role role) {
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
  status.role = role_of(role_);
  status.is_voter = is_voter(persistent_.self);
  status.is_removed = is_removed_;
  status.term = persistent_.current_term;
  status.leader = leader_address_;
  if (role_ == Role::follower && !leader_address_.empty())
    status.leader_last_contact = age(last_leader_contact_, now);
  status.last = persistent_.entry->index;
  status.leader_last = role_ == Role::leader     ? status.last
                       : leader_address_.empty() ? Index{}
                                                 : leader_last_index_;
  status.has_committed = committed_ != nullptr;
  if (committed_) {
    status.committed_term = committed_->term;
    status.committed = committed_->index;
    status.version = committed_->version;
  }
  status.core_size = persistent_.entry->core_size;
  status.is_confirmed = is_confirmed(now);
  status.is_save_failing = is_save_failing_;
  status.is_save_stuck = save_started_ && now - *save_started_ > options_.disk_stall_timeout;
  if (save_started_)
    status.saving = age(*save_started_, now);
  const auto add = [&](MemberId id, const std::string& address, bool is_voter) {
    ClusterStatus::Peer entry{id, address, is_voter, false, false, 0, 0};
    if (id == persistent_.self) {
      entry.is_known = true;
      entry.is_matched = role_ == Role::leader && saved_serial_ >= entry_serial_;
    } else if (const auto found = peers_.find(id); role_ == Role::leader && found != peers_.end()) {
      const ReplicationProgress& peer = found->second;
      entry.is_known = true;
      entry.is_matched = peer.match_index == status.last;
      entry.last_contact = age(peer.last_contact, now);
      if (!entry.is_matched && peer.has_acknowledged)
        entry.behind =
            status.last.value - std::min(status.last.value, peer.acknowledged_index.value);
    }
    status.peers.push_back(std::move(entry));
  };
  for (const Member& member : voters())
    add(member.id, member.address, true);
  if (role_ == Role::leader)
    for (const auto& [id, asked] : learners_)
      if (const auto found = peers_.find(id); found != peers_.end())
        add(id, found->second.address, false);
  return status;
}

}  // namespace saddlewing
