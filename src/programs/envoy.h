#pragma once
// The envoy thread of a registry: carries orders to databases and the calls of duty to the
// platform.
#include <atomic>
#include <map>
#include <memory>
#include <thread>

#include "programs/rings.h"
#include "protocol/calls.h"
#include "state/startup.h"
#include "transport/caller.h"
#include "transport/schedule.h"
#include "transport/wire_link.h"

namespace saddlewing {

class Envoy {
 public:
  Envoy(const Startup& startup, Ring<CoreEvent>& events);
  void start();
  void stop();
  // The lease as it stands; Moment{}: none. Orders of its term go on by it beyond their own
  // `until`.
  void set_lease(Term term, Moment until) {
    if (lease_term_ != term.value)
      lease_until_ = Moment::duration::rep{0};
    lease_term_ = term.value;
    lease_until_ = until.time_since_epoch().count();
  }
  bool order(EnvoyOrder order) {
    return orders_.push(std::move(order));
  }

 private:
  // One order under way, over a connection of its own.
  struct Errand final : Scheduled, CallOwner {
    Errand(Envoy& envoy, EnvoyOrder order) : envoy(envoy), order(std::move(order)) {
    }
    Envoy& envoy;
    EnvoyOrder order;
    std::unique_ptr<WireLink> link;  // of a database
    std::unique_ptr<Caller> caller;  // of the platform
    bool is_greeted = false, is_over = false;
    std::string row;
    void on_due(Moment now) override;
    bool may_send(Caller&, Moment now) override {
      return envoy.is_leased(order, now);
    }
    void on_outcome(Caller& caller, Moment now) override;
    void on_breakdown(Caller& caller, Kind kind, Moment now) override;
    void on_idle_end(Caller&) override {
    }
  };
  void run();
  void begin(EnvoyOrder order, Moment now);
  void begin_node(Errand& errand, Moment now);
  void call(Errand& errand, const Address& address, const CallRow& row, const std::string& fields,
            const std::string& body);
  bool take(Errand& errand, WireMessage&& message);
  void finish(Errand& errand, int status);
  bool is_leased(const EnvoyOrder& order, Moment now) const;

  const Startup startup_;
  Ring<CoreEvent>& events_;
  Poller poller_;
  Schedule schedule_;
  Ring<EnvoyOrder> orders_;
  std::vector<std::unique_ptr<Errand>> errands_;
  // Read in the other order than written: an end of another term's lease is never taken for this
  // one's.
  std::atomic<std::uint64_t> lease_term_ = 0;
  std::atomic<Moment::duration::rep> lease_until_ = 0;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
