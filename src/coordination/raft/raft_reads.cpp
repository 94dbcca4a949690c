// What a quorum confirms: contact, the lease, and reads (Raft thesis, sections 6.2, 6.4, 6.4.1).
#include "coordination/raft/quorum.h"
#include "coordination/raft/raft_node.h"

namespace saddlewing {

bool RaftNode::has_quorum_contact(TimePoint since) const {
  return is_quorum(*persistent_.entry, [&](MemberId id) {
    if (id == persistent_.self)
      return true;
    const ReplicationProgress* progress = progress_of(id);
    return progress && progress->last_contact >= since;
  });
}

bool RaftNode::is_confirmed(TimePoint now) const {
  if (!committed_)
    return false;
  if (role_ == Role::leader)
    return has_committed_in_term() && has_quorum_contact(now - options_.election_timeout);
  return leader_.is_known() && now - leader_.last_confirmed_contact < options_.election_timeout;
}

TimePoint RaftNode::lease_until() const {
  if (role_ != Role::leader || !has_committed_in_term())
    return {};
  const auto lease_start_of = [&](MemberId id) {
    if (id == persistent_.self)
      return TimePoint::max() - options_.election_timeout;
    const ReplicationProgress* progress = progress_of(id);
    return progress ? progress->lease_start : TimePoint{};
  };
  const TimePoint start = latest_quorum_time(*persistent_.entry, lease_start_of);
  return start == TimePoint{} ? start : start + options_.election_timeout;
}

void RaftNode::read_index(std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return requests_.refuse(token);
  requests_.add_read(token, heartbeats_.current() + 1);
  broadcast_append_entries(now, true);
  answer_confirmed_reads();
}

void RaftNode::answer_confirmed_reads() {
  if (role_ != Role::leader || !has_committed_in_term())
    return;
  const auto is_answered = [&](std::uint64_t heartbeat_round) {
    return is_quorum(*persistent_.entry, [&](MemberId id) {
      if (id == persistent_.self)
        return true;
      const ReplicationProgress* progress = progress_of(id);
      return progress && progress->heartbeat_round >= heartbeat_round;
    });
  };
  requests_.finish_reads(is_answered, committed_);
}

}  // namespace saddlewing
