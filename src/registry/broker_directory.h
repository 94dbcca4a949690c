#pragma once
// The brokers and poolers that are subscribed to this registry, and what each of them holds.
//
// Does not send anything: it answers who is there and which brokers another one is told of. Pure,
// and used by the control thread only.
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/leases/request_clock.h"
#include "protocol/control_messages.h"
#include "protocol/frame.h"
#include "state/types.h"

namespace saddlewing {

// A broker or pooler, as its last subscription described it.
struct ConnectedBroker {
  std::string routing_id;  // of its connection
  std::string address;     // inner address
  std::string region;
  IncarnationId incarnation;
  bool is_ready = false;                  // serves requests
  bool is_pooler = false;                 // false: a broker
  bool wants_endpoints = false;           // this registry feeds it with backends and brokers
  Version held_version;                   // of the configuration
  std::uint64_t endpoints_revision = 0;   // of this registry's backends, sent to it or held by it
  std::uint64_t brokers_revision = 0;     // of the brokers of other regions that it was told of
  std::uint64_t leadership_revision = 0;  // of the leadership table; poolers only
  std::uint64_t edges_revision = 0;       // of the edge latency view; brokers only
  std::uint64_t subscription_token = 0;   // heartbeats name it
  RequestClock heartbeats;                // when the last ones left, by serial; poolers only
  TimePoint last_contact;
};

// A few brokers of each other region, and a revision that tells one such choice from another.
struct BrokerChoice {
  std::vector<BrokerEndpoint> endpoints;
  std::uint64_t revision = 0;
};

class BrokerDirectory {
 public:
  using Brokers = std::map<std::string, ConnectedBroker>;  // by inner address

  // `incarnation`: of this registry; revisions that a broker has from an earlier one do not count.
  explicit BrokerDirectory(IncarnationId incarnation) : incarnation_(incarnation) {
  }

  // Records a subscription. The reference is valid until the broker is removed.
  ConnectedBroker& subscribe(const std::string& routing_id, const FrameHead& from,
                             const SubscribeRequest& request, TimePoint now);
  // Removes whoever has not subscribed for four seconds.
  void remove_silent(TimePoint now);

  const Brokers& brokers() const {
    return brokers_;
  }
  // For senders, which record what each broker was sent.
  Brokers& brokers() {
    return brokers_;
  }
  std::size_t size() const {
    return brokers_.size();
  }
  // Inner addresses of all, or of the brokers without the poolers.
  std::vector<std::string> addresses() const;
  std::vector<std::string> broker_addresses() const;
  // The configuration that each one holds.
  std::vector<Version> held_versions() const;
  // The edge latency view that each broker holds.
  std::vector<Version> held_edge_views() const;
  // The brokers of other regions that `receiver` may delegate gathers to. Every ready broker is the
  // choice of some others, and one that comes or goes changes the choice of few.
  BrokerChoice choose_delegates(const ConnectedBroker& receiver);

 private:
  using HashedAddress = std::pair<std::size_t, std::string>;
  void rebuild_regions();

  const IncarnationId incarnation_;
  Brokers brokers_;
  // Ready brokers by region, each list ordered by the hash of the address. Valid unless
  // `are_regions_stale_`.
  std::map<std::string, std::vector<HashedAddress>> regions_;
  bool are_regions_stale_ = true;
};

}  // namespace saddlewing
