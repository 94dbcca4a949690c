#pragma once
// The registry of backends, after Eureka.
//
// Job: register, renew, cancel and evict leases of backends; replicate them peer to peer; serve
// complete lists and deltas. Backends are either listed by the platform and probed, or register
// themselves. It is pure: observations and the time come in, lists go out; it neither probes nor
// sends.
// Threading: not synchronized; owned by the registry's control loop.
// Source: "Service Discovery Using Eureka Server"; what is kept and what differs stands in
// docs/discovery.md.
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/discovery/endpoint_table.h"
#include "coordination/discovery/renewal_window.h"
#include "protocol/discovery_messages.h"
#include "state/node_settings.h"
#include "state/types.h"

namespace saddlewing {

struct ServiceRegistryOptions {
  // How often a backend is expected to renew its lease. A shorter one notices a death sooner and
  // costs more probes or heartbeats.
  Duration renewal_interval{2000};

  // How long a lease lasts after a renewal. A shorter one takes brief pauses for deaths.
  Duration lease_duration{6000};

  // How often expired leases are looked for.
  Duration eviction_interval{1000};

  // Share of the expected renewals, 0 to 1, below which self-preservation stops eviction.
  double renewal_threshold = 0.85;

  // Self-preservation: when most backends fall silent at once, the network is the likelier cause,
  // so that nothing is evicted.
  bool has_self_preservation = true;

  // Backends register themselves. The stamps of their entries then follow their own call counts,
  // not the registry's counter.
  bool has_self_registration = false;

  // How long the entry of a backend that is gone is kept, against late messages that would revive
  // it. Peers forget it at the same time, within what their lists take.
  Duration tombstone{60000};
};

// The tombstone duration for these settings: well beyond the wait before an address may be reused.
Duration tombstone_duration(const NodeSettings& settings);

// A backend to be probed.
struct ProbeTarget {
  std::string id;
  std::string address;  // host:port
  std::string service;
  bool is_awaited = false;  // STARTING or DOWN: traffic waits for its renewal
};

// Invariant: an entry changes only by a greater stamp or a higher phase (EndpointTable), so that a
// cancel wins wherever it arrives. An eviction marks a backend DOWN and keeps its entry; the next
// renewal makes it UP again. An incarnation that registered itself has ended, and is gone, once its
// lease ran out and another one at its address renewed its own after that: an address serves one
// incarnation at a time. A late heartbeat is older than that, so that it ends nobody.
class ServiceRegistry : public EndpointTable {
 public:
  explicit ServiceRegistry(ServiceRegistryOptions options)
      : options_(options), renewals_(options.renewal_interval) {
  }

  // Register and cancel by a complete list of the platform: a new backend is registered as
  // STARTING, one that is emptying is cancelled, one that two lists in a row lack is gone.
  // Incomplete lists must not be passed.
  void apply_listing(const std::vector<Endpoint>& listed, TimePoint now);

  // Renew by a probe's reply. The first renewal of a STARTING or DOWN backend makes it UP.
  void renew(const std::string& id, TimePoint now);

  // A heartbeat of a self-registering backend: its register, its renewal or, with phase emptying or
  // gone, its cancel. One with a call count that is not new is ignored, unless it cancels for good.
  void handle_heartbeat(const Endpoint& entry, TimePoint now);

  // A renewal that a self-registering backend made at a peer.
  void apply_renewal(const RenewedIds::Item& item, TimePoint now);

  // The renewals made here since the last call, for the peers; ages in milliseconds as of `now`.
  RenewedIds take_renewals(TimePoint now);

  // Ends superseded incarnations, evicts expired leases and drops old tombstones, if the eviction
  // interval has passed.
  void run_eviction(TimePoint now);

  // The services whose backends are probed and evicted.
  void set_services(std::set<std::string> services);

  std::vector<ProbeTarget> probe_targets() const;

  // The entries that changed after `revision`; 0: a complete list.
  EndpointList changes_since(std::uint64_t revision, TimePoint now) const;

  // Merges a list that a peer sent.
  void apply_replica(const EndpointList& list, TimePoint now);

  // Stamps given from now on are greater than `base`; a new leader of the registries sets it by its
  // term.
  void set_stamp_base(std::uint64_t base);

  // Whether the table has been complete since this process started.
  bool is_filled() const {
    return is_filled_;
  }

  // False while self-preservation stops eviction.
  bool is_evicting() const {
    return is_evicting_;
  }

  // Evictions since this process started.
  std::size_t eviction_count() const {
    return eviction_count_;
  }

  // Incarnations that ended here since this process started, as others began at their addresses.
  std::size_t superseded_count() const {
    return superseded_count_;
  }

 private:
  // Whether a lease of this backend counts: it serves, is UP and its service is known.
  bool is_serving(const LeasedEndpoint& leased) const;
  void apply_listed(const Endpoint& entry, TimePoint now);
  void erase_unlisted(const std::set<std::string>& listed_ids, TimePoint now);
  bool has_enough_renewals() const;
  Endpoint entry_to_send(const LeasedEndpoint& leased, TimePoint now) const;
  void apply_tombstone(const Endpoint& entry, TimePoint now);
  void evict(LeasedEndpoint& leased);
  void end_superseded(TimePoint now);
  static void mark_gone(LeasedEndpoint& leased, TimePoint now);
  void set_status(LeasedEndpoint& leased, EndpointStatus status);

  ServiceRegistryOptions options_;
  std::set<std::string> services_;
  std::map<std::string, int> missed_listings_;  // by id: lists in a row that lacked the backend
  std::uint64_t stamp_ = 0;                     // the greatest given or seen
  bool is_filled_ = false;
  bool is_evicting_ = true;
  std::size_t eviction_count_ = 0;
  std::size_t superseded_count_ = 0;
  TimePoint last_eviction_{};
  RenewalWindow renewals_;
  std::set<std::string> pending_renewals_;  // ids renewed here that the peers do not know of yet
};

}  // namespace saddlewing
