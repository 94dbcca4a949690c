#pragma once
// Messages between the threads of a registry: values that one thread puts into another's bounded
// queue and does not touch again.
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/discovery/service_registry.h"
#include "coordination/placement/shard_migration.h"
#include "coordination/raft/raft_node.h"
#include "protocol/database_protocol.h"
#include "protocol/discovery_messages.h"
#include "state/types.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

// Operator API to control loop: a read or a change of the configuration.
struct OperatorCall {
  std::uint64_t token = 0;  // returned with the reply
  bool is_read = false;
  Version version;   // of a change
  std::string body;  // of a change: the configuration as it came
};

// Control loop to operator API: what became of an operator's or a backend's call.
struct OperatorReply {
  std::uint64_t token = 0;
  bool is_done = false;  // false: no quorum answered in time, or the call is refused
  std::string body;      // JSON; of a read the configuration
};

// Operator API to control loop: a backend's own heartbeat or cancel.
struct BackendCall {
  std::uint64_t token = 0;  // returned with the reply
  Endpoint entry;           // phase emptying or gone: a cancel
};

// Command dispatcher to control loop: what a database answered to a command.
struct DatabaseReply {
  std::uint64_t token = 0;
  std::optional<DatabaseStatus> status;  // none: no answer
};

// Command dispatcher to control loop: what the platform answered to a promotion.
struct PromotionResult {
  std::uint64_t token = 0;
  int status = 0;  // of HTTP; 0: no answer
};

// Command dispatcher to control loop: what a node of the ring answered to an order.
struct NodeReply {
  std::uint64_t token = 0;
  NodeAnswer answer;
};

// Control loop to command dispatcher: one command, to a database, to a node of the ring or, with
// neither `text` nor `node_order`, to the platform, which promotes the database.
struct DispatchedCommand {
  std::uint64_t token = 0;  // returned with the reply
  std::string service, id, address;
  std::string text;                // to a database
  std::string node_order;          // to a node of the ring: JSON
  std::uint64_t owner_number = 0;  // the term under whose lease it was decided
  TimePoint until{};  // nothing of it leaves after that, unless the lease of that term was extended
};

// Storage thread to control loop: the end of one save.
struct StorageResult {
  std::uint64_t serial = 0;  // as the Raft node numbered the save
  bool is_saved = false;
};

// Backend monitor to control loop: one complete listing of the platform.
struct BackendListing {
  std::vector<Endpoint> entries;
};

// Backend monitor to control loop: a backend answered its probe.
struct ProbeReply {
  std::string id;  // empty: of nobody, and only wakes the loop
};

// All that waits for the control loop, in the order of its arrival.
using ControlEvent = std::variant<OperatorCall, StorageResult, BackendListing, ProbeReply,
                                  BackendCall, DatabaseReply, PromotionResult, NodeReply>;

// A backend that is probed.
struct MonitoredBackend {
  std::string id, address, health_path;
  bool is_awaited = false;  // not UP yet, or no more: probed more often
};

// Control loop to backend monitor: what to do from now on.
struct MonitorTargets {
  bool is_observing = false;  // false: neither list nor probe
  std::vector<MonitoredBackend> targets;
};
using MonitorTargetsSnapshot = std::shared_ptr<const MonitorTargets>;

}  // namespace saddlewing
