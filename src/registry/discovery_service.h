#pragma once
// Service discovery at a registry: keeps the service registry up to date from listings, probes,
// backends' own heartbeats and other registries, and tells the backend monitor what to observe.
//
// Replication to other registries is the job of `PeerReplication`, sending to brokers that of
// `EndpointPublisher`. Used by the control thread only.
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "coordination/discovery/service_registry.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "registry/control_context.h"
#include "registry/events.h"
#include "registry/peer_links.h"
#include "registry/peer_replication.h"
#include "state/configuration.h"
#include "state/node_settings.h"

namespace saddlewing {

// What the discovery service needs of the configuration and of the backend monitor.
class DiscoveryEnvironment {
 public:
  virtual ~DiscoveryEnvironment() = default;
  // The committed configuration; null until there is one.
  virtual const ConfigurationSnapshot& configuration() const = 0;
  // Replaces what the backend monitor observes.
  virtual void set_monitor_targets(MonitorTargetsSnapshot targets) = 0;
};

class DiscoveryService {
 public:
  // The references must outlive this object.
  DiscoveryService(const NodeSettings& settings, ControlContext& context, PeerSender& peers,
                   DiscoveryEnvironment& environment);

  const ServiceRegistry& registry() const {
    return registry_;
  }
  // Another registry is remembered at this inner address.
  bool knows_peer(const std::string& address) const {
    return replication_.knows(address);
  }

  // A complete listing of the platform; ignored unless this registry observes.
  void handle_listing(const std::vector<Endpoint>& entries, TimePoint now);
  // The backend `id` answered a probe; ignored unless this registry observes.
  void handle_probe_reply(const std::string& id, TimePoint now);
  // A backend's own call. The reply's JSON; none if the call is refused because backends do not
  // call here, or because no quorum confirms this registry and the call is a cancel.
  std::optional<std::string> handle_backend_call(const Endpoint& entry, TimePoint now);
  // Renewals that another registry received.
  void handle_renewals(const RenewedIds& renewals, TimePoint now);
  // What another registry holds.
  void handle_endpoints(const FrameHead& from, const EndpointList& endpoints, TimePoint now) {
    replication_.handle_endpoints(from, endpoints, now);
  }
  // A new configuration is committed, with possibly other services and health checks.
  void handle_configuration(const Configuration& configuration);

  // Sends other registries the renewals received here. To be called in each round of the loop.
  void send_renewals(TimePoint now);
  // Sweeps, orders the monitor and replicates. To be called in each round of the loop; true if a
  // turn was due.
  bool tick(TimePoint now);
  // When the next turn is due.
  TimePoint next_due() const {
    return next_due_;
  }

 private:
  bool should_observe(TimePoint now) const;
  void start_or_stop_observing(TimePoint now);
  void expire(TimePoint now);
  void update_metrics() const;
  void set_monitor_targets();

  static constexpr std::uint64_t no_revision = std::numeric_limits<std::uint64_t>::max();

  const NodeSettings& settings_;
  ControlContext& context_;
  PeerSender& peers_;
  DiscoveryEnvironment& environment_;
  ServiceRegistry registry_;
  PeerReplication replication_;
  bool is_observing_ = false;  // lists and probes, or takes backends' calls as the leader
  std::uint64_t ordered_revision_ =
      no_revision;  // of the registry, at the last order to the monitor
  TimePoint next_due_{};
  TimePoint renewals_due_{};
};

}  // namespace saddlewing
