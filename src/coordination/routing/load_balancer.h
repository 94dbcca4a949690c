#pragma once
// A broker's view of the backends, and the pick among them.
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/discovery_messages.h"
#include "state/configuration.h"
#include "state/node_settings.h"
#include "state/types.h"

namespace saddlewing {

// Opens after repeated breakdowns, lets one trial through when its pause is over.
class Breaker {
 public:
  void succeed() {
    breakdowns_ = 0, pause_ = first_pause, is_open_ = false;
  }
  void fail(TimePoint now, bool is_plain) {  // plain: nothing was heard at all, as of a dead host
    breakdowns_ += is_plain ? max_breakdowns : 1;
    if (breakdowns_ < max_breakdowns)
      return;
    if (is_open_ && now < until_)
      return;
    pause_ = is_open_ ? std::min(pause_ * 2, max_pause) : first_pause;
    is_open_ = true;
    until_ = now + pause_;
  }
  bool is_open(TimePoint now) const {
    return is_open_ && now < until_;
  }
  bool is_on_trial(TimePoint now) const {
    return is_open_ && now >= until_;
  }
  void start_trial(TimePoint now) {
    until_ = now + pause_;
  }  // the others wait for its end
  TimePoint until() const {
    return until_;
  }

 private:
  static constexpr int max_breakdowns = 3;
  static constexpr Duration first_pause{400}, max_pause{3000};
  int breakdowns_ = 0;
  Duration pause_ = first_pause;
  bool is_open_ = false;
  TimePoint until_{};
};

struct Backend {
  std::string id, service, zone, region;
  Address address;
  int capacity = 1;
  EndpointStatus status = EndpointStatus::starting;
  TimePoint warm_until{};
  bool is_cancelled =
      false;  // emptying or gone: nothing more is sent, whatever snapshot an errand began with

  int asked = 0;  // own requests at work there
  TimePoint last_asked{};
  int connections = 0;
  bool is_own = true;       // of those this broker keeps connections to; see choose_own
  bool is_scarce = false;   // its connections do not suffice for every broker: others than its own
                            // use it for a moment only
  TimePoint warm_after{};   // no connection is opened in advance before
  double foreign_load = 0;  // requests of others there, as last told
  TimePoint load_seen{};
  int heavy_asked = 0;      // own heavy requests at work there
  TimePoint short_asked{};  // when the last short one left
  // What others have there, fading from the moment it was told.
  double load_of_others(TimePoint now) const {
    constexpr double fades_ms = 300;
    const double age = std::chrono::duration<double, std::milli>(now - load_seen).count();
    return age < fades_ms ? foreign_load * (1 - age / fades_ms) : 0;
  }
  double mean_ms = 0;  // of its outcomes; 0: none yet
  double min_ms = 0;   // near the least of them: mostly the way there and back
  // By the shared view of edges, see coordination/edges.h:
  bool is_avoided = false, is_preferred = false, is_trying = false;
  unsigned percent_kept = 100;
  TimePoint trial_due{};  // when this broker next tries it although it is avoided
  Breaker breaker;
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
BackendPointer keep_backend(const std::map<std::string, BackendPointer>& known,
                            const Endpoint& entry, const std::map<std::string, std::string>& zones,
                            TimePoint now);

// The table of one moment: a configuration and who serves it. Immutable, swapped whole.
struct Table {
  ConfigurationSnapshot configuration;
  std::vector<std::vector<BackendPointer>> by_service;  // by ServiceIndex
};
using TableSnapshot = std::shared_ptr<const Table>;

struct PickOrigin {
  std::string zone, region;
};

// Of one service's backends, those that the broker of this address keeps to: the nearest, and among
// them a choice that differs by broker, as many as its part of all the connections allowed makes up
// (at least one). So the connections kept grow with the traffic's parts, not with brokers times
// backends.
void choose_own(const std::vector<BackendPointer>& backends, const PickOrigin& position,
                const std::string& address, int max_connections, int brokers);

struct PickResult {
  Backend* backend = nullptr;
  bool is_full = false;  // somebody could serve, but every connection allowed is in use
};

// What the pick needs to know of the request.
struct PickConstraints {
  bool is_heavy = false;
  Duration short_work{0}, waited{0};  // of the short requests there; of this one so far
  bool may_try = false;               // harmless and with time left: it may try an avoided edge
};

// The least expected time among UP backends; STARTING ones only where none is UP.
class LoadBalancer {
 public:
  LoadBalancer(PickOrigin position, std::uint64_t draw)
      : position_(std::move(position)), draw_(draw) {
  }
  void set_influence(double influence) {
    influence_ = influence;
  }  // of the shared view: 1 whole, 0 none
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int max_connections, TimePoint now,
                  const PickConstraints& wish = {});

 private:
  double cost(const Backend& backend, TimePoint now) const;
  double edge_cost(const Backend& backend, const PickConstraints& wish, TimePoint now);
  double influence_ = 1;
  PickOrigin position_;
  std::minstd_rand draw_;
};

}  // namespace saddlewing
