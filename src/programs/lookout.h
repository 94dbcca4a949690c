#pragma once
// The watch thread of a registry: lists the platform and probes backends, as ordered.
#include <atomic>
#include <map>
#include <thread>
#include <unordered_map>

#include "programs/rings.h"
#include "state/startup.h"
#include "transport/caller.h"
#include "transport/schedule.h"

namespace saddlewing {

class Lookout final : public CallOwner {
 public:
  Lookout(const Startup& startup, Ring<CoreEvent>& events);
  void start();
  void stop();
  void order(WatchOrderSnapshot order) {
    orders_.replace(std::move(order));
  }

  void on_outcome(Caller& caller, Moment now) override;
  void on_breakdown(Caller& caller, Kind kind, Moment now) override;
  void on_idle_end(Caller& caller) override;

 private:
  // One backend under probe. Invariant: `caller` is null while no connection is kept.
  struct Probe final : Scheduled {
    Lookout* lookout = nullptr;
    WatchTarget target;
    std::unique_ptr<Caller> caller;
    bool is_waiting = false;
    Moment next{};
    void on_due(Moment now) override;
  };
  // The listing, page by page, over one kept connection.
  struct Listing final : Scheduled {
    Lookout* lookout = nullptr;
    std::unique_ptr<Caller> caller;
    bool is_waiting = false;
    std::vector<RosterEntry> entries;
    std::string token;
    int pages = 0;
    Span pause{0};  // grows while the platform refuses
    void on_due(Moment now) override;
  };
  void run();
  void take_order(WatchOrderSnapshot order, Moment now);
  void start_probe(Probe& probe, Moment now);
  void start_page(Moment now);
  void end_listing(Span pause, Moment now);
  bool take_page(const std::string& body);
  void bury(std::unique_ptr<Caller>& caller);
  Probe* probe_of(Caller& caller);

  const Startup startup_;
  Ring<CoreEvent>& events_;
  Poller poller_;
  Schedule schedule_;
  Ring<WatchOrderSnapshot> orders_;
  WatchOrderSnapshot order_;
  std::map<std::string, Probe> probes_;
  std::unordered_map<const Caller*, Probe*>
      by_caller_;  // invariant: every caller of a probe, until it is buried
  Listing listing_;
  std::vector<std::unique_ptr<Caller>>
      graves_;  // freed between rounds, never inside their own calls
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
