#pragma once
// What a broker or a pooler knows of one backend: its entry in the service registry, its own
// requests there, the load of others, response times, and the verdicts of outlier detection.
//
// Holds state and no policy; load_balancer.h picks among backends by it. Not thread-safe: it
// belongs to one event loop.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "coordination/routing/circuit_breaker.h"
#include "protocol/discovery_messages.h"
#include "state/node_settings.h"
#include "state/types.h"

namespace saddlewing {

struct Backend {
  // From the service registry.
  std::string id;
  std::string service;
  std::string zone;
  std::string region;
  Address address;
  int capacity = 1;  // requests that it works on at once
  EndpointStatus status = EndpointStatus::starting;
  TimePoint slow_start_until{};  // until then it counts as slower than it looks
  // Draining or gone: nothing more is sent, whatever routing table a request began with.
  bool is_draining = false;

  // Own requests and connections.
  int active_requests = 0;
  int active_heavy_requests = 0;  // of active_requests
  TimePoint last_request_at{};
  TimePoint last_short_request_at{};
  int connections = 0;
  // Whether it is of those that this broker keeps connections to; see choose_subset.
  bool is_in_subset = true;
  // Its connections don't suffice for every broker: brokers that don't have it in their subset use
  // it for a moment only.
  bool has_scarce_connections = false;
  TimePoint preconnect_after{};  // no connection is opened in advance before

  // Requests of other brokers, as the backend last reported.
  double reported_remote_load = 0;
  TimePoint remote_load_reported_at{};

  // Response times and sizes.
  double mean_ms = 0;     // moving average; 0: no response yet
  double min_ms = 0;      // near the least: mostly the network round trip
  double mean_bytes = 0;  // moving average of the response bodies' sizes

  // Outlier detection by the latency that all brokers report; see edge_latency.h.
  bool is_ejected = false;              // gets requests only where no other backend is left
  bool is_preferred = false;            // the best way for now
  bool is_probing = false;              // ejected, and tried by a few requests
  unsigned kept_traffic_percent = 100;  // less than 100: a part of its requests goes elsewhere
  TimePoint next_probe_at{};            // when this broker next tries it although it is ejected

  CircuitBreaker breaker;

  // Requests of others there, estimated: the reported load, fading to 0 over `load_report_ms`.
  double remote_load(TimePoint now) const {
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - remote_load_reported_at).count();
    return age_ms < load_report_ms ? reported_remote_load * (1 - age_ms / load_report_ms) : 0;
  }

  // Reports a response: its time in milliseconds and the size of its body.
  void record_response(double milliseconds, double bytes = 0) {
    mean_bytes = mean_bytes == 0 ? bytes : mean_bytes * mean_decay + bytes * mean_gain;
    min_ms = mean_ms == 0 || milliseconds < min_ms
                 ? milliseconds
                 : min_ms + (milliseconds - min_ms) * min_recovery;
    mean_ms = mean_ms == 0 ? milliseconds : mean_ms * mean_decay + milliseconds * mean_gain;
  }

 private:
  // How long a load report says anything, in milliseconds: a few requests' time.
  static constexpr double load_report_ms = 300;
  // Weights of the earlier responses and of the new one: about the last ten count.
  static constexpr double mean_decay = 0.9;
  static constexpr double mean_gain = 0.1;
  // How fast the least follows a rise: slowly, so that waiting doesn't count as round trip.
  static constexpr double min_recovery = 0.01;
};

using BackendPointer = std::shared_ptr<Backend>;

}  // namespace saddlewing
