#pragma once
// Values of frames with every field set, each to a value of its own, and their comparison field by
// field.
#include <tuple>

#include "protocol/core_status.h"
#include "protocol/frames.h"

namespace saddlewing {

inline bool operator==(const EntryPiece& left, const EntryPiece& right) {
  const auto fields = [](const EntryPiece& value) {
    return std::tie(value.term, value.index, value.version, value.core_size, value.members,
                    value.former, value.base_term, value.base_index, value.body, value.sheets,
                    value.digest, value.total, value.offset, value.bytes);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const RaftMessage& left, const RaftMessage& right) {
  const auto fields = [](const RaftMessage& value) {
    return std::tie(value.type, value.from, value.address, value.term, value.entry_term,
                    value.entry_index, value.commit, value.round, value.is_granted,
                    value.is_transfer, value.is_removed, value.is_confirmed, value.piece,
                    value.piece_index, value.piece_end, value.wants_whole, value.members,
                    value.leader);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Forward& left, const Forward& right) {
  const auto fields = [](const Forward& value) {
    return std::tie(value.token, value.is_read, value.version, value.body, value.term);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Forwarded& left, const Forwarded& right) {
  const auto fields = [](const Forwarded& value) {
    return std::tie(value.token, value.asker, value.is_read, value.version, value.digest,
                    value.term, value.is_done, value.body);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Follow& left, const Follow& right) {
  const auto fields = [](const Follow& value) {
    return std::tie(value.version, value.roster_life, value.roster_mark, value.wants_body,
                    value.wants_roster, value.region, value.is_ready, value.seats_mark, value.token,
                    value.leads_mark, value.locality, value.failing, value.fine, value.samples,
                    value.samples_age, value.ring_mark, value.ring_held, value.ring_loads,
                    value.account_loads, value.lookups, value.late_lookups, value.edge_counts,
                    value.edges_held, value.echo_life, value.echo, value.gap);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Beat& left, const Beat& right) {
  const auto fields = [](const Beat& value) {
    return std::tie(value.term, value.asker, value.token, value.version, value.in_force,
                    value.is_confirmed, value.is_filled, value.is_leader, value.locality,
                    value.region, value.brokers, value.grant, value.grant_valid, value.registries,
                    value.seats_mark, value.seats, value.hold, value.leads_mark, value.leads,
                    value.samples, value.serial, value.ring_mark, value.ring, value.edges_in_force,
                    value.edges);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Body& left, const Body& right) {
  return std::tie(left.version, left.body) == std::tie(right.version, right.body);
}

inline bool operator==(const RosterEntry& left, const RosterEntry& right) {
  const auto fields = [](const RosterEntry& value) {
    return std::tie(value.id, value.service, value.address, value.locality, value.software,
                    value.capacity, value.phase, value.status, value.stamp, value.warm_left,
                    value.hold_left, value.is_leader, value.call_count);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Roster& left, const Roster& right) {
  const auto fields = [](const Roster& value) {
    return std::tie(value.is_whole, value.is_observed, value.is_filled, value.wants_whole,
                    value.locality, value.base, value.mark, value.entries);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Step& left, const Step& right) {
  return std::tie(left.version, left.what, left.age) ==
         std::tie(right.version, right.what, right.age);
}

inline bool operator==(const Traced& left, const Traced& right) {
  const auto fields = [](const Traced& value) {
    return std::tie(value.node, value.role, value.held, value.is_leader, value.steps,
                    value.registries, value.brokers);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Aid& left, const Aid& right) {
  const auto fields = [](const Aid& value) {
    return std::tie(value.token, value.method, value.try_id, value.head_start, value.body,
                    value.services, value.best_count, value.time_left, value.flush_after);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const Aided::Done& left, const Aided::Done& right) {
  return std::tie(left.part, left.seal) == std::tie(right.part, right.seal);
}

inline bool operator==(const Aided::Failed& left, const Aided::Failed& right) {
  return std::tie(left.part, left.kind, left.may_have_run) ==
         std::tie(right.part, right.kind, right.may_have_run);
}

inline bool operator==(const Aided& left, const Aided& right) {
  const auto fields = [](const Aided& value) {
    return std::tie(value.token, value.done, value.failed, value.held, value.records);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const RenewedIds::Item& left, const RenewedIds::Item& right) {
  const auto fields = [](const RenewedIds::Item& value) {
    return std::tie(value.id, value.call_count, value.age, value.is_leader);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const RenewedIds& left, const RenewedIds& right) {
  return left.items == right.items;
}

inline bool operator==(const RingCall& left, const RingCall& right) {
  return std::tie(left.verb, left.text) == std::tie(right.verb, right.text);
}

inline bool operator==(const RingAnswer& left, const RingAnswer& right) {
  const auto fields = [](const RingAnswer& value) {
    return std::tie(value.is_done, value.leader, value.reason, value.text);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const EdgeSums& left, const EdgeSums& right) {
  return std::tie(left.term, left.regions) == std::tie(right.term, right.regions);
}

inline bool operator==(const EdgeViewFrame& left, const EdgeViewFrame& right) {
  const auto fields = [](const EdgeViewFrame& value) {
    return std::tie(value.term, value.in_force, value.view, value.ways);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const CoreStatus::Peer& left, const CoreStatus::Peer& right) {
  const auto fields = [](const CoreStatus::Peer& value) {
    return std::tie(value.id, value.address, value.is_voter, value.is_known, value.is_matched,
                    value.heard, value.behind);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const CoreStatus& left, const CoreStatus& right) {
  const auto fields = [](const CoreStatus& value) {
    return std::tie(value.node, value.self, value.address, value.role, value.is_voter,
                    value.is_removed, value.term, value.leader, value.leader_heard,
                    value.has_committed, value.committed_term, value.committed, value.last,
                    value.leader_last, value.version, value.core_size, value.is_confirmed,
                    value.is_save_failing, value.is_save_stuck, value.saving, value.peers);
  };
  return fields(left) == fields(right);
}

}  // namespace saddlewing
