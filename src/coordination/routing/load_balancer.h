#pragma once
// Picks the backend of an attempt: the least expected response time, with slow start, locality,
// connection subsets, circuit breakers, bulkheads and outlier ejection.
//
// It sends nothing and opens no connection; the caller reports what it sends and what comes back
// in the Backend. Not thread-safe: one instance belongs to one event loop.
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/backend.h"
#include "protocol/discovery_messages.h"
#include "state/configuration.h"
#include "state/types.h"

namespace saddlewing {

// The backend of a registry entry: the one in `known` with its id, or else a new one, brought to
// the entry's status and phase. Null if the entry is new and its address can't be parsed.
// `known`: backends by id. `zones`: the region of each zone; a zone not in it is its own region.
BackendPointer update_backend(const std::map<std::string, BackendPointer>& known,
                              const Endpoint& entry,
                              const std::map<std::string, std::string>& zones, TimePoint now);

// A configuration and the backends that serve it, as of one moment. Immutable and replaced as a
// whole; the backends' own state changes.
struct RoutingTable {
  ConfigurationSnapshot configuration;
  std::vector<std::vector<BackendPointer>> by_service;  // by ServiceIndex
};
using RoutingTableSnapshot = std::shared_ptr<const RoutingTable>;

// The locality that requests are sent from.
struct PickOrigin {
  std::string zone;
  std::string region;
};

// Chooses the subset of one service's backends that the broker at `address` keeps connections to
// (Backend::is_in_subset): the nearest ones, and of those a choice that differs by broker. Its size
// is the broker's part of all connections allowed, at least one. So the number of connections kept
// grows with the traffic, not with brokers times backends.
// `max_connections`: allowed to one backend, of all brokers together. `brokers`: how many there
// are.
void choose_subset(const std::vector<BackendPointer>& backends, const PickOrigin& origin,
                   const std::string& address, int max_connections, int brokers);

struct PickResult {
  Backend* backend = nullptr;  // null: none can be used now; owned by the list picked from
  // A backend could serve, but its connections or the slots for heavy requests are in use: it pays
  // to wait.
  bool is_full = false;
};

// What the pick needs to know of the request.
struct PickConstraints {
  bool is_heavy = false;           // must be admitted by the bulkhead; see admits_heavy
  Duration short_request_time{0};  // of the service, for the bulkhead; only if is_heavy
  Duration time_queued{0};         // of this request so far, for the bulkhead; only if is_heavy
  bool may_probe = false;  // safe to repeat and with time left: may probe an ejected backend
};

class LoadBalancer {
 public:
  // `seed`: of the random numbers that spread requests over backends of equal cost.
  LoadBalancer(PickOrigin origin, std::uint64_t seed) : origin_(std::move(origin)), random_(seed) {
  }

  // How much outlier detection counts: from 1, wholly, to 0, not at all, as its data ages.
  void set_influence(double influence) {
    influence_ = influence;
  }

  // Picks the backend of least cost among those that are up; among those that are starting only
  // where none is up. Backends in `tried` are left out. Where circuit breakers alone leave none,
  // the one whose probe is due first is picked.
  // `max_connections`: own requests allowed at one backend.
  // Takes the turn of a probe if it picks one: the next is due later.
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int max_connections, TimePoint now,
                  const PickConstraints& constraints = {});

 private:
  // Expected response time in milliseconds, with penalties for locality and subset.
  double expected_cost_ms(const Backend& backend, TimePoint now) const;
  // What outlier detection adds, in milliseconds. Draws a random number if traffic is shed.
  double outlier_cost_ms(const Backend& backend, const PickConstraints& constraints, TimePoint now);
  // A factor from 1 up to 1 + 1/16 that spreads requests over backends of about equal cost.
  double random_spread();

  double influence_ = 1;
  PickOrigin origin_;
  std::minstd_rand random_;
};

}  // namespace saddlewing
