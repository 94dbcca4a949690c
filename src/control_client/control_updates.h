#pragma once
// What the control-plane client hands to the traffic thread, and takes from it.
//
// Threading: values that pass between the two threads through bounded queues; the snapshots in them
// are immutable.
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/leases/retry_quota.h"
#include "coordination/placement/ring_router.h"
#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/gather_messages.h"
#include "state/configuration.h"
#include "state/leadership_table.h"
#include "state/types.h"

namespace saddlewing {

// What the traffic thread serves by. Immutable, replaced as a whole.
struct View {
  ConfigurationSnapshot configuration;
  std::vector<Endpoint> backends;  // those that are ready or emptying
  bool is_ready = false;           // once true it stays so in this incarnation
  std::uint64_t brokers = 1;  // brokers (of a pooler: poolers) that the registries know, at least 1
  std::vector<BrokerEndpoint> remote_brokers;  // ready brokers of other regions, a few of each
  RetryQuota retry_quota;
};
using ViewSnapshot = std::shared_ptr<const View>;

// Of a pooler: the leaderships by which it may act.
struct LeadershipUpdate {
  std::shared_ptr<const LeadershipTable> leaderships;  // null: as before
  TimePoint until{};                                   // when its lease on the table expires
};

// Of a pooler: what it saw of the leaders of databases.
struct LeadershipEvidence {
  std::uint64_t revision = 0;  // of the leadership table
  std::string failing;         // a bit for each leadership: of late nothing but failures
  std::string fine;            // a bit for each leadership: of late an answer
  std::string samples;         // positions in logs, with ages as of `built`
  TimePoint built{};
};

// Of a pooler: positions in logs that other poolers saw.
struct SampleUpdate {
  std::string samples;
  TimePoint built{};  // not after the ages in it were counted
};

// Of a broker: the hash ring by which it may act.
struct RingUpdate {
  RingSnapshot view;  // null: as before
  TimePoint until{};  // when its lease on the ring expires
};

// Of a broker: what it sent by the ring since its last report.
struct RingCounts {
  std::vector<std::pair<VirtualNode, RingLoad>> loads;
  std::vector<std::pair<std::string, RingLoad>> accounts;
  std::uint64_t lookups = 0;
  std::uint64_t late = 0;  // lookups that took too long
};

// Of a broker: the latencies of edges, as a registry computed them.
struct EdgeUpdate {
  EdgeSnapshot view;           // null: as before
  std::uint64_t in_force = 0;  // revision of the view that is in force
};

// A frame for another broker: a delegated gather, its cancel, or the result of one.
struct DelegationMessage {
  std::string to;           // of a request: inner address; of a result: routing id
  std::uint64_t token = 0;  // of a request or its cancel; 0: it is a result
  std::string bytes;
};

// Another broker delegates a gather to this one.
struct DelegationRequested {
  std::string routing_id;  // for the result
  GatherRequest request;
};

// The broker that delegated a gather does not wait for it any more.
struct DelegationCancelled {
  std::string routing_id;  // of the request
  GatherCancel cancel;
};

// The result of a gather that this broker delegated.
struct DelegationResult {
  GatherResult result;
};

// A delegated gather could not be sent.
struct DelegationLost {
  std::uint64_t token = 0;
};

using DelegationEvent =
    std::variant<DelegationRequested, DelegationResult, DelegationLost, DelegationCancelled>;

}  // namespace saddlewing
