#pragma once
// A broker's view of the backends, and the pick among them.
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/frames.h"
#include "state/configuration.h"
#include "state/node_settings.h"
#include "state/types.h"

namespace saddlewing {

// Opens after repeated breakdowns, lets one trial through when its pause is over.
class CircuitBreaker {
 public:
  void record_success() {
    consecutive_failures_ = 0, open_time_ = initial_open_time, is_open_ = false;
  }
  void record_failure(TimePoint now,
                      bool is_unreachable) {  // plain: nothing was heard at all, as of a dead host
    consecutive_failures_ += is_unreachable ? failure_threshold : 1;
    if (consecutive_failures_ < failure_threshold)
      return;
    if (is_open_ && now < probe_at_)
      return;
    open_time_ = is_open_ ? std::min(open_time_ * 2, max_open_time) : initial_open_time;
    is_open_ = true;
    probe_at_ = now + open_time_;
  }
  bool is_open(TimePoint now) const {
    return is_open_ && now < probe_at_;
  }
  bool is_probe_due(TimePoint now) const {
    return is_open_ && now >= probe_at_;
  }
  void start_probe(TimePoint now) {
    probe_at_ = now + open_time_;
  }  // the others wait for its end
  TimePoint probe_at() const {
    return probe_at_;
  }

 private:
  static constexpr int failure_threshold = 3;
  static constexpr Duration initial_open_time{400}, max_open_time{3000};
  int consecutive_failures_ = 0;
  Duration open_time_ = initial_open_time;
  bool is_open_ = false;
  TimePoint probe_at_{};
};

struct Backend {
  std::string id, service, zone, region;
  Address address;
  int capacity = 1;
  Status status = Status::starting;
  TimePoint slow_start_until{};
  bool is_draining =
      false;  // emptying or gone: nothing more is sent, whatever snapshot an errand began with

  int active_requests = 0;  // own requests at work there
  TimePoint last_request_at{};
  int connections = 0;
  bool is_in_subset = true;  // of those this broker keeps connections to; see choose_subset
  bool has_scarce_connections = false;  // its connections do not suffice for every broker: others
                                        // than its own use it for a moment only
  TimePoint preconnect_after{};         // no connection is opened in advance before
  double reported_remote_load = 0;      // requests of others there, as last told
  TimePoint remote_load_reported_at{};
  int active_heavy_requests = 0;      // own heavy requests at work there
  TimePoint last_short_request_at{};  // when the last short one left
  // What others have there, fading from the moment it was told.
  double remote_load(TimePoint now) const {
    constexpr double fades_ms = 300;
    const double age =
        std::chrono::duration<double, std::milli>(now - remote_load_reported_at).count();
    return age < fades_ms ? reported_remote_load * (1 - age / fades_ms) : 0;
  }
  double mean_ms = 0;  // of its outcomes; 0: none yet
  double min_ms = 0;   // near the least of them: mostly the way there and back
  // By the shared view of edges, see coordination/edges.h:
  bool is_ejected = false, is_preferred = false, is_probing = false;
  unsigned kept_traffic_percent = 100;
  TimePoint next_probe_at{};  // when this broker next tries it although it is avoided
  CircuitBreaker breaker;
  double mean_bytes = 0;  // of its answers
  void record_response(double milliseconds, double bytes = 0) {
    mean_bytes = mean_bytes == 0 ? bytes : mean_bytes * 0.9 + bytes * 0.1;
    min_ms = mean_ms == 0 || milliseconds < min_ms ? milliseconds
                                                   : min_ms + (milliseconds - min_ms) * 0.01;
    mean_ms = mean_ms == 0 ? milliseconds : mean_ms * 0.9 + milliseconds * 0.1;
  }
};
using BackendPointer = std::shared_ptr<Backend>;

// The backend of a roster's entry: the one known already, or a new one; null if its address is no
// address. Its state is the entry's from now on.
BackendPointer update_backend(const std::map<std::string, BackendPointer>& known,
                              const Endpoint& entry,
                              const std::map<std::string, std::string>& zones, TimePoint now);

// The table of one moment: a configuration and who serves it. Immutable, swapped whole.
struct RoutingTable {
  ConfigurationSnapshot configuration;
  std::vector<std::vector<BackendPointer>> by_service;  // by ServiceIndex
};
using RoutingTableSnapshot = std::shared_ptr<const RoutingTable>;

struct PickOrigin {
  std::string zone, region;
};

// Of one service's backends, those that the broker of this address keeps to: the nearest, and among
// them a choice that differs by broker, as many as its part of all the connections allowed makes up
// (at least one). So the connections kept grow with the traffic's parts, not with brokers times
// backends.
void choose_subset(const std::vector<BackendPointer>& backends, const PickOrigin& origin,
                   const std::string& address, int max_connections, int brokers);

struct PickResult {
  Backend* backend = nullptr;
  bool is_full = false;  // somebody could serve, but every connection allowed is in use
};

// What the pick needs to know of the request.
struct PickConstraints {
  bool is_heavy = false;
  Duration short_request_time{0},
      time_queued{0};      // of the short requests there; of this one so far
  bool may_probe = false;  // harmless and with time left: it may try an avoided edge
};

// The least expected time among UP backends; STARTING ones only where none is UP.
class LoadBalancer {
 public:
  LoadBalancer(PickOrigin origin, std::uint64_t draw) : origin_(std::move(origin)), draw_(draw) {
  }
  void set_influence(double influence) {
    influence_ = influence;
  }  // of the shared view: 1 whole, 0 none
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int max_connections, TimePoint now,
                  const PickConstraints& constraints = {});

 private:
  double cost_ms(const Backend& backend, TimePoint now) const;
  double outlier_cost_ms(const Backend& backend, const PickConstraints& constraints, TimePoint now);
  double influence_ = 1;
  PickOrigin origin_;
  std::minstd_rand draw_;
};

}  // namespace saddlewing
