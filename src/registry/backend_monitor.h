#pragma once
// The watch thread of a registry: lists the platform and probes backends, as ordered.
#include <atomic>
#include <map>
#include <thread>
#include <unordered_map>

#include "protocol/discovery_messages.h"
#include "registry/events.h"
#include "state/node_settings.h"
#include "transport/http_client_connection.h"
#include "transport/timer_queue.h"

namespace saddlewing {

class BackendMonitor final : public HttpCallObserver {
 public:
  BackendMonitor(const NodeSettings& settings, BoundedQueue<ControlEvent>& events);
  void start();
  void stop();
  void set_targets(MonitorTargetsSnapshot targets) {
    target_updates_.replace(std::move(targets));
  }

  void on_response(HttpClientConnection& caller, TimePoint now) override;
  void on_failure(HttpClientConnection& caller, ErrorCode kind, TimePoint now) override;
  void on_idle_end(HttpClientConnection& caller) override;

 private:
  // One backend under probe. Invariant: `caller` is null while no connection is kept.
  struct Probe final : Scheduled {
    BackendMonitor* monitor = nullptr;
    MonitoredBackend target;
    std::unique_ptr<HttpClientConnection> caller;
    bool is_waiting = false;
    TimePoint next{};
    void on_due(TimePoint now) override;
  };
  // The listing, page by page, over one kept connection.
  struct Listing final : Scheduled {
    BackendMonitor* monitor = nullptr;
    std::unique_ptr<HttpClientConnection> caller;
    bool is_waiting = false;
    std::vector<Endpoint> entries;
    std::string token;
    int pages = 0;
    Duration pause{0};  // grows while the platform refuses
    void on_due(TimePoint now) override;
  };
  void run();
  void apply_targets(MonitorTargetsSnapshot targets, TimePoint now);
  void start_probe(Probe& probe, TimePoint now);
  void start_page(TimePoint now);
  void end_listing(Duration pause, TimePoint now);
  bool take_page(const std::string& body);
  void defer_delete(std::unique_ptr<HttpClientConnection>& caller);
  Probe* probe_of(HttpClientConnection& caller);

  const NodeSettings settings_;
  BoundedQueue<ControlEvent>& events_;
  Poller poller_;
  TimerQueue timers_;
  BoundedQueue<MonitorTargetsSnapshot> target_updates_;
  MonitorTargetsSnapshot targets_;
  std::map<std::string, Probe> probes_;
  std::unordered_map<const HttpClientConnection*, Probe*>
      by_caller_;  // invariant: every caller of a probe, until it is buried
  Listing listing_;
  std::vector<std::unique_ptr<HttpClientConnection>>
      closed_connections_;  // freed between rounds, never inside their own calls
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
