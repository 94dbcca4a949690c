#include "registry/peer_replication.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"

#include <algorithm>

namespace saddlewing {
namespace {

constexpr Duration full_sync_interval{5000};
constexpr Duration peer_timeout{2500};  // a registry silent for longer is named to no backend
constexpr int observation_timeout_listings = 3;
constexpr int quiet_sign_listings = 4;  // between signs of life of a registry that does not observe

}  // namespace

PeerReplication::PeerReplication(const NodeSettings& settings, const ControlContext& context,
                                 PeerSender& peers, ServiceRegistry& registry)
    : listing_interval_(settings.listing),
      own_zone_(settings.zone),
      context_(context),
      peers_(peers),
      registry_(registry) {
}

void PeerReplication::handle_endpoints(const FrameHead& from, const EndpointList& endpoints,
                                       TimePoint now) {
  if (from.from.empty())
    return;
  Peer& peer = peers_by_address_[from.from];
  if (peer.incarnation != from.incarnation) {  // it started anew, and is to get everything
    peer = {};
    peer.incarnation = from.incarnation;
  }
  if (endpoints.is_observed)
    peer.last_observation = now;
  peer.last_contact = now;
  peer.zone = endpoints.zone;
  if (endpoints.wants_full_list)
    peer.full_sync_due = {};
  if (!endpoints.is_complete && endpoints.base_revision > peer.received_revision) {
    peer.has_gap = true;
  } else {
    peer.received_revision = endpoints.revision;
    peer.has_gap = peer.has_gap && !endpoints.is_complete;
  }
  registry_.apply_replica(endpoints, now);
}

void PeerReplication::forget_disconnected() {
  std::erase_if(peers_by_address_,
                [&](const auto& item) { return !peers_.is_connected_to(item.first); });
}

bool PeerReplication::is_observed_elsewhere(TimePoint now) const {
  const Duration timeout = listing_interval_ * observation_timeout_listings;
  return std::any_of(peers_by_address_.begin(), peers_by_address_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.last_observation != TimePoint{} && now - peer.last_observation < timeout;
  });
}

std::optional<std::string> PeerReplication::find_host_in_zone(const std::string& zone,
                                                              TimePoint now) const {
  for (const auto& [address, peer] : peers_by_address_) {
    Address parsed;
    if (peer.zone == zone && now - peer.last_contact <= peer_timeout &&
        parse_address(address, parsed))
      return parsed.host;
  }
  return std::nullopt;
}

void PeerReplication::send_changes(bool is_observing, TimePoint now) {
  for (const std::string& address : context_.known_addresses()) {
    Peer& peer = peers_by_address_[address];
    if (!is_due(peer, is_observing, now))
      continue;
    const EndpointList endpoints = take_list(peer, is_observing, now);
    peers_.send_to(address, encode(context_.frame_head(), endpoints));
  }
}

bool PeerReplication::is_due(const Peer& peer, bool is_observing, TimePoint now) const {
  const Duration sign_interval =
      is_observing ? listing_interval_ : listing_interval_ * quiet_sign_listings;
  return now >= peer.full_sync_due || registry_.revision() > peer.sent_revision ||
         now - peer.last_sent >= sign_interval || peer.has_gap;
}

// Everything, or what changed since the last list.
EndpointList PeerReplication::take_list(Peer& peer, bool is_observing, TimePoint now) const {
  const bool is_complete = now >= peer.full_sync_due;
  EndpointList endpoints = registry_.changes_since(is_complete ? 0 : peer.sent_revision, now);
  endpoints.is_observed = is_observing;
  endpoints.zone = own_zone_;
  endpoints.wants_full_list = peer.has_gap;
  peer.last_sent = now;
  peer.sent_revision = registry_.revision();
  if (is_complete)
    peer.full_sync_due = now + full_sync_interval;
  return endpoints;
}

}  // namespace saddlewing
