#pragma once
// Replication of the service registry between registries, after Eureka: changes at once, and
// everything every few seconds against what was lost.
//
// Does not decide what an entry is worth: `ServiceRegistry` merges. Used by the control thread
// only.
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coordination/discovery/service_registry.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "registry/control_context.h"
#include "registry/peer_links.h"
#include "state/node_settings.h"

namespace saddlewing {

class PeerReplication {
 public:
  // The references must outlive this object.
  PeerReplication(const NodeSettings& settings, const ControlContext& context, PeerSender& peers,
                  ServiceRegistry& registry);

  // Merges what another registry sent.
  void handle_endpoints(const FrameHead& from, const EndpointList& endpoints, TimePoint now);
  // Sends each other registry what it lacks, or, after a while without changes, a sign of life.
  // `is_observing`: this registry lists the platform or its backends tell it of themselves.
  void send_changes(bool is_observing, TimePoint now);
  // Forgets registries to which there is no connection.
  void forget_disconnected();
  bool knows(const std::string& address) const {
    return peers_by_address_.contains(address);
  }
  // Another registry observed the backends itself within three listing intervals.
  bool is_observed_elsewhere(TimePoint now) const;
  // Host of a registry in `zone` that was heard of late; none if there is none.
  std::optional<std::string> find_host_in_zone(const std::string& zone, TimePoint now) const;

 private:
  struct Peer {
    IncarnationId incarnation;
    std::uint64_t sent_revision = 0;      // of the own registry, sent to it
    std::uint64_t received_revision = 0;  // of its registry, received without a gap
    bool has_gap = false;                 // something of its registry did not come
    std::string zone;
    TimePoint full_sync_due{};
    TimePoint last_observation{};  // when it last said that it observes the backends
    TimePoint last_sent{};
    TimePoint last_contact{};
  };
  bool is_due(const Peer& peer, bool is_observing, TimePoint now) const;
  EndpointList take_list(Peer& peer, bool is_observing, TimePoint now) const;

  const Duration listing_interval_;
  const std::string own_zone_;
  const ControlContext& context_;
  PeerSender& peers_;
  ServiceRegistry& registry_;
  std::map<std::string, Peer> peers_by_address_;  // inner addresses
};

}  // namespace saddlewing
