#pragma once
// Values of frames with every field set, each to a value of its own, and their comparison field by
// field.
#include <tuple>

#include "protocol/cluster_status.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/gather_messages.h"
#include "protocol/raft_messages.h"
#include "protocol/ring_messages.h"
#include "protocol/trace_messages.h"

namespace saddlewing {

inline bool operator==(const EntryChunk& left, const EntryChunk& right) {
  const auto fields = [](const EntryChunk& value) {
    return std::tie(value.term, value.index, value.version, value.core_size, value.members,
                    value.outgoing, value.base_term, value.base_index, value.body, value.documents,
                    value.digest, value.total, value.offset, value.bytes);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const RaftMessage& left, const RaftMessage& right) {
  const auto fields = [](const RaftMessage& value) {
    return std::tie(value.type, value.from, value.address, value.term, value.last_log_term,
                    value.last_log_index, value.commit_index, value.heartbeat_round,
                    value.is_granted, value.is_leadership_transfer, value.is_removed,
                    value.is_confirmed, value.chunk, value.chunk_entry_index,
                    value.chunk_end_offset, value.wants_full_entry, value.members,
                    value.leader_address);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ForwardedCall& left, const ForwardedCall& right) {
  const auto fields = [](const ForwardedCall& value) {
    return std::tie(value.token, value.is_read, value.version, value.body, value.term);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ForwardedReply& left, const ForwardedReply& right) {
  const auto fields = [](const ForwardedReply& value) {
    return std::tie(value.token, value.requester, value.is_read, value.version, value.digest,
                    value.term, value.is_done, value.body);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const SubscribeRequest& left, const SubscribeRequest& right) {
  const auto fields = [](const SubscribeRequest& value) {
    return std::tie(value.version, value.endpoints_incarnation, value.endpoints_revision,
                    value.wants_configuration, value.wants_endpoints, value.region, value.is_ready,
                    value.brokers_revision, value.token, value.leadership_revision, value.zone,
                    value.failing_leaderships, value.healthy_leaderships, value.samples,
                    value.samples_age, value.ring_revision, value.latest_ring_revision,
                    value.ring_loads, value.account_loads, value.lookups, value.late_lookups,
                    value.edge_counts, value.edge_view_revision, value.echo_incarnation,
                    value.echo_serial, value.echo_delay);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ControlHeartbeat& left, const ControlHeartbeat& right) {
  const auto fields = [](const ControlHeartbeat& value) {
    return std::tie(value.term, value.requester, value.token, value.version, value.version_in_force,
                    value.is_confirmed, value.is_filled, value.is_leader, value.zone, value.region,
                    value.broker_count, value.retry_grant, value.retry_grant_validity,
                    value.registries, value.brokers_revision, value.broker_endpoints, value.lease,
                    value.leadership_revision, value.leaderships, value.samples, value.serial,
                    value.ring_revision, value.ring, value.edge_view_in_force, value.edge_view);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ConfigurationPayload& left, const ConfigurationPayload& right) {
  return std::tie(left.version, left.body) == std::tie(right.version, right.body);
}

inline bool operator==(const Endpoint& left, const Endpoint& right) {
  const auto fields = [](const Endpoint& value) {
    return std::tie(value.id, value.service, value.address, value.zone, value.software,
                    value.capacity, value.phase, value.status, value.status_revision,
                    value.warmup_left, value.lease_left, value.is_leader, value.call_count);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const EndpointList& left, const EndpointList& right) {
  const auto fields = [](const EndpointList& value) {
    return std::tie(value.is_complete, value.is_observed, value.is_filled, value.wants_full_list,
                    value.zone, value.base_revision, value.revision, value.entries);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const VersionEvent& left, const VersionEvent& right) {
  return std::tie(left.version, left.what, left.age) ==
         std::tie(right.version, right.what, right.age);
}

inline bool operator==(const TraceReply& left, const TraceReply& right) {
  const auto fields = [](const TraceReply& value) {
    return std::tie(value.node, value.role, value.version, value.is_leader, value.events,
                    value.registries, value.brokers);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const GatherRequest& left, const GatherRequest& right) {
  const auto fields = [](const GatherRequest& value) {
    return std::tie(value.token, value.method, value.try_id, value.request_head, value.body,
                    value.services, value.best_count, value.time_left, value.flush_after);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const GatherCancel& left, const GatherCancel& right) {
  return left.token == right.token;
}
inline bool operator==(const GatherResult::CompletedPart& left,
                       const GatherResult::CompletedPart& right) {
  return std::tie(left.part, left.checksum) == std::tie(right.part, right.checksum);
}

inline bool operator==(const GatherResult::FailedPart& left,
                       const GatherResult::FailedPart& right) {
  return std::tie(left.part, left.kind, left.may_have_run) ==
         std::tie(right.part, right.kind, right.may_have_run);
}

inline bool operator==(const GatherResult& left, const GatherResult& right) {
  const auto fields = [](const GatherResult& value) {
    return std::tie(value.token, value.done, value.failed, value.processing_time, value.records);
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

inline bool operator==(const RingReply& left, const RingReply& right) {
  const auto fields = [](const RingReply& value) {
    return std::tie(value.is_done, value.leader, value.reason, value.text);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const EdgeSums& left, const EdgeSums& right) {
  return std::tie(left.term, left.regions) == std::tie(right.term, right.regions);
}

inline bool operator==(const EdgeViewFrame& left, const EdgeViewFrame& right) {
  const auto fields = [](const EdgeViewFrame& value) {
    return std::tie(value.term, value.revision_in_force, value.view, value.latencies);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ClusterStatus::Peer& left, const ClusterStatus::Peer& right) {
  const auto fields = [](const ClusterStatus::Peer& value) {
    return std::tie(value.id, value.address, value.is_voter, value.is_known, value.is_matched,
                    value.last_contact, value.behind);
  };
  return fields(left) == fields(right);
}

inline bool operator==(const ClusterStatus& left, const ClusterStatus& right) {
  const auto fields = [](const ClusterStatus& value) {
    return std::tie(value.node, value.self, value.address, value.role, value.is_voter,
                    value.is_removed, value.term, value.leader, value.leader_last_contact,
                    value.has_committed, value.committed_term, value.committed, value.last,
                    value.leader_last, value.version, value.core_size, value.is_confirmed,
                    value.is_save_failing, value.is_save_stuck, value.saving, value.peers);
  };
  return fields(left) == fields(right);
}

}  // namespace saddlewing
