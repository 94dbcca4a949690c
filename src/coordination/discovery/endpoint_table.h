#pragma once
// A replica of the registry of backends.
//
// Job: merges entries that arrive in any order and from several registries, so that all replicas
// agree. Brokers and poolers keep one as their local cache; a registry extends it
// (service_registry.h). It neither expires leases nor sends anything.
// Threading: not synchronized; one owner.
// Source: "Service Discovery Using Eureka Server", see docs/discovery.md (peers that replicate to
// each other, callers with a local copy and deltas).
#include <cstdint>
#include <map>
#include <string>

#include "protocol/discovery_messages.h"
#include "state/types.h"

namespace saddlewing {

// One backend, with its times as instants of this process's clock in place of the durations that
// travel.
struct LeasedEndpoint {
  Endpoint endpoint;
  TimePoint warm_until{};      // it warms up until then
  TimePoint lease_until{};     // the lease expires then unless it is renewed
  TimePoint gone_at{};         // when it became EndpointPhase::gone; meaningless before
  TimePoint last_heartbeat{};  // of the backend itself, to this registry or to another one
  std::uint64_t revision = 0;  // of the table when this entry last changed
};

// Invariant: merging is commutative and idempotent. For one backend the phase only rises
// (ready < emptying < gone), and the entry with the greater stamp decides its status, role and
// lease.
class EndpointTable {
 public:
  // Merges one entry as it travelled. True if something changed that callers resolve by.
  bool merge(const Endpoint& entry, TimePoint now);

  // Drops backends that have been gone for longer than `tombstone`. Until then their entries keep
  // late messages from reviving them.
  void erase_tombstones(TimePoint now, Duration tombstone);

  const std::map<std::string, LeasedEndpoint>& endpoints() const {  // by backend id
    return endpoints_;
  }

  // Rises with each change of an entry.
  std::uint64_t revision() const {
    return revision_;
  }

 protected:
  // The entry as it travels: with the durations that are left at `now`.
  Endpoint with_remaining_times(const LeasedEndpoint& leased, TimePoint now) const;

  // Gives the entry the next revision of the table.
  void mark_changed(LeasedEndpoint& leased);

  std::map<std::string, LeasedEndpoint> endpoints_;  // by backend id
  std::uint64_t revision_ = 0;
};

}  // namespace saddlewing
