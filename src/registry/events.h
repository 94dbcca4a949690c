#pragma once
// What the threads of a registry hand each other.
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/discovery/service_registry.h"
#include "coordination/placement/shard_migration.h"
#include "coordination/raft/raft_node.h"
#include "protocol/database_protocol.h"
#include "state/types.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

struct OperatorCall {  // steering to agree
  std::uint64_t token = 0;
  bool is_read = false;
  Version version;
  std::string body;
};

struct OperatorReply {  // agree to steering
  std::uint64_t token = 0;
  bool is_done = false;
  std::string body;
};

struct BackendCall {  // steering to agree: a backend tells of itself
  std::uint64_t token = 0;
  Endpoint entry;  // phase gone: it leaves
};
struct DatabaseReply {  // envoy to agree: what came of an order to a database
  std::uint64_t token = 0;
  std::optional<DatabaseStatus> status;
};
struct PromotionResult {  // envoy to agree: what the platform said; 0: nothing
  std::uint64_t token = 0;
  int status = 0;
};
struct NodeReply {  // envoy to agree: what a node of the ring said
  std::uint64_t token = 0;
  NodeAnswer answer;
};
struct DispatchedCommand {  // agree to envoy
  std::uint64_t token = 0;
  std::string service, id, address;  // of a database
  std::string text;                  // empty: the call of duty for this backend
  std::string node_order;            // to a node of the ring instead: JSON
  std::uint64_t owner_number = 0;    // the term under whose lease it was decided
  TimePoint until{};  // nothing of it leaves after that, unless the lease of that term was extended
};

struct StorageResult {  // disk to agree
  std::uint64_t serial = 0;
  bool is_saved = false;
};
struct BackendListing {  // watch to agree: one complete listing
  std::vector<Endpoint> entries;
};
struct ProbeReply {  // watch to agree: a probe was answered
  std::string id;
};
using ControlEvent = std::variant<OperatorCall, StorageResult, BackendListing, ProbeReply,
                                  BackendCall, DatabaseReply, PromotionResult, NodeReply>;

struct MonitoredBackend {
  std::string id, address, health_path;
  bool is_awaited = false;  // not UP yet, or no more: probed more often
};
struct MonitorTargets {  // agree to watch: what to do from now on
  bool is_observing = false;
  std::vector<MonitoredBackend> targets;
};
using MonitorTargetsSnapshot = std::shared_ptr<const MonitorTargets>;

}  // namespace saddlewing
