#pragma once
// The steering thread of a registry: takes the operators' calls over HTTP.
#include <atomic>
#include <map>
#include <thread>

#include "programs/rings.h"
#include "state/startup.h"
#include "transport/server.h"

namespace saddlewing {

class Desk final : public Server::Handler {
 public:
  Desk(const Startup& startup, Ring<CoreEvent>& events);
  Fault open();
  void start();
  void stop();
  void tell(OperatorOutcome outcome) {
    outcomes_.push(std::move(outcome));
  }

  void on_request(Visit& visit, Moment now) override;
  void on_gone(Visit&) override {
  }

 private:
  struct Open final : Scheduled {
    Desk* desk = nullptr;
    std::uint64_t token = 0;
    VisitId visit;
    bool is_read = false;
    void on_due(Moment now) override;
  };
  void run();
  void take_outcomes(Moment now);
  std::uint64_t open_call(Visit& visit, bool is_read, Moment now);
  void take_backend(Visit& visit, Moment now);
  void refer(Visit& visit, OperatorCall call, Moment now);
  void finish(std::uint64_t token, Reply reply, Moment now);

  Address address_;
  Ring<CoreEvent>& events_;
  Poller poller_;
  Schedule schedule_;
  Server server_;
  Ring<OperatorOutcome> outcomes_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t last_token_ = 0;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
