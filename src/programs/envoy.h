#pragma once
// The envoy thread of a registry: carries orders to databases and the calls of duty to the platform.
#include <atomic>
#include <map>
#include <memory>
#include <thread>

#include "programs/rings.h"
#include "state/startup.h"
#include "protocol/calls.h"
#include "transport/caller.h"
#include "transport/schedule.h"
#include "transport/wire_link.h"

namespace saddlewing {

class Envoy {
 public:
  Envoy(const Startup& startup, Ring<CoreEvent>& events);
  void start();
  void stop();
  bool order(EnvoyOrder order) { return orders_.push(std::move(order)); }

 private:
  // One order under way, over a connection of its own.
  struct Errand final : Scheduled, CallOwner {
    Errand(Envoy& envoy, EnvoyOrder order) : envoy(envoy), order(std::move(order)) {}
    Envoy& envoy;
    EnvoyOrder order;
    std::unique_ptr<WireLink> link;  // of a database
    std::unique_ptr<Caller> caller;  // of the platform
    bool is_greeted = false, is_over = false;
    std::string row;
    void on_due(Moment now) override;
    void on_outcome(Caller& caller, Moment now) override;
    void on_breakdown(Caller& caller, Kind kind, Moment now) override;
    void on_idle_end(Caller&) override {}
  };
  void run();
  void begin(EnvoyOrder order, Moment now);
  void begin_node(Errand& errand, Moment now);
  void call(Errand& errand, const Address& address, const CallRow& row, const std::string& fields, const std::string& body);
  bool take(Errand& errand, WireMessage&& message);
  void finish(Errand& errand, int status);

  const Startup startup_;
  Ring<CoreEvent>& events_;
  Poller poller_;
  Schedule schedule_;
  Ring<EnvoyOrder> orders_;
  std::vector<std::unique_ptr<Errand>> errands_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
