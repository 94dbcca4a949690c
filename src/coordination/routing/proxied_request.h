#pragma once
// A request's way through a broker. Pure: outcomes, breakdowns and a clock in; askings and one
// answer out.
//
//   Matching -> Asking -> Gathering -> Answering -> Closed
//                 \-> Holding (every connection allowed is in use) -> Asking
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/routing/record_merge.h"
#include "coordination/routing/requester.h"
#include "coordination/routing/retry_budget.h"
#include "protocol/frames.h"

namespace saddlewing {

struct FinalResponse {
  ErrorCode kind = ErrorCode::none;  // other than none: an answer of our own
  int status = 200;
  std::string reason = "OK", fields, body;
  Duration retry_after{0};
};

class ProxiedRequest final : public Requester {
 public:
  enum class State {
    matching,
    queued,
    attempting,
    gathering,
    responding,
    closed
  };

  // Where an errand acts.
  class Callbacks : public virtual AttemptSender {
   public:
    virtual void send_response(ProxiedRequest& request, FinalResponse answer, TimePoint now) = 0;
    virtual RetryBudget& retry_budget(const std::string& service) = 0;
    virtual double retry_reserve(TimePoint now) = 0;
    // Has another broker, near the backends, gather such of these parts as have none near this one.
    // Gives the parts taken, none where no such broker is known, and the region they are asked in.
    struct Delegation {
      std::vector<std::size_t> parts;
      std::string region;
      double min_expected_ms = 0,
             extra_expected_ms = 0;  // of its frames: the way, and what usually comes on top
    };
    virtual Delegation delegate(ProxiedRequest& request, Duration flush_after, TimePoint now) = 0;
    virtual void handle_delegation_timeout(ProxiedRequest& request,
                                           TimePoint now) = 0;  // no frame came in time
    // What a part of it at this service is to the bulkheads; and whether it is called when its turn
    // has come.
    virtual PickConstraints pick_constraints(const ProxiedRequest& request,
                                             const std::string& service, TimePoint now) = 0;
    virtual bool enqueue(ProxiedRequest& request, TimePoint now) = 0;
    virtual LatencyEstimate& latency_estimate(const Route& route) = 0;
    virtual double random_fraction() = 0;  // in [0, 1)
  };

  ProxiedRequest(Callbacks& callbacks, RoutingTableSnapshot table, const Route& route,
                 TimePoint began, Duration time_left);

  void start(TimePoint now);
  // In the place of `predecessor`: its requests were counted there, these are further ones; its
  // askings count for the tries.
  void restart_from(const ProxiedRequest& predecessor, TimePoint now);
  // Whether it may end here, with `turned_away`, the part just turned away, and a new one begin in
  // its place: nothing of a risky one has run, and the tries and the allowance cover it.
  bool may_restart(std::size_t turned_away, TimePoint now);
  void close_for_restart(std::size_t turned_away) {
    ++parts_[turned_away].attempts_refused;
    state_ = State::closed;
  }
  void on_due(TimePoint now) override;
  void on_dequeued(TimePoint now);  // the parts that wait are asked, as far as there is room
  void on_evicted(TimePoint now) {  // it looks again by itself
    is_enqueued_ = false;
    due_ = now;
  }
  void handle_response(std::size_t index, BackendResponse response, Duration took,
                       TimePoint now) override;
  void handle_failure(std::size_t index, ErrorCode kind, bool may_have_run, TimePoint now) override;
  void handle_gather_result(GatherResult result, Duration took, TimePoint now);
  void lose_delegation(bool may_have_run, TimePoint now);  // nothing more comes of it
  void abandon() {
    state_ = State::closed;
  }  // the client left

  State state() const {
    return state_;
  }
  bool is_open() const override {
    return state_ != State::closed;
  }
  TimePoint next_due() const override {
    return due_;
  }
  TimePoint deadline() const override {
    return deadline_;
  }
  const Route& route() const {
    return route_;
  }
  TimePoint began() const {
    return began_;
  }
  void choose(ServiceIndex service) {
    chosen_ = service;
  }  // before its start: instead of a draw among the shares
  bool is_gathering() const override {
    return !route_.shards.empty();
  }
  const RoutingTable& table() const {
    return *table_;
  }

 private:
  struct Part {
    ServiceIndex service;
    std::vector<const Backend*> tried;
    int attempts_active = 0;
    int attempts_sent = 0;       // askings that may have reached a backend
    int attempts_unreached = 0;  // askings that reached nobody
    int attempts_refused = 0;    // askings whose backend said that it did not run them
    int attempts_before_restart =
        0;  // askings of errands in whose place this one began that may have run
    bool is_done = false, is_failed = false;
    bool is_delegated = false;  // another broker is at it
    TimePoint attempted_at{};
    double min_expected_ms = 0, extra_expected_ms = 0;  // what to expect of the asking under way
    std::string seal;
  };
  void begin(const ProxiedRequest* predecessor, TimePoint now);
  void start_attempt(std::size_t index, bool is_hedge, TimePoint now);
  void fail_part(Part& part, ErrorCode kind, TimePoint now);
  bool may_retry(const Part& part) const;
  void evaluate(TimePoint now);
  void finish_gathered(TimePoint now);
  void finish(FinalResponse answer, TimePoint now);
  void finish_failed(TimePoint now);
  void schedule(TimePoint now);
  void start_delegation(TimePoint now);
  void give_up_delegation(TimePoint now);
  Duration hedge_delay() const;
  Duration hedge_delay(const Part& part) const;
  void record_relative_cost(const Part& part, Duration took);

  Callbacks& callbacks_;
  const RoutingTableSnapshot table_;
  std::optional<ServiceIndex> chosen_;
  const Route& route_;  // within table_'s configuration
  const TimePoint began_, deadline_,
      partial_response_at_;  // partial_response_at_: from here on parts may be left out
  TimePoint due_;
  State state_ = State::matching;
  bool is_enqueued_ = false;
  std::vector<Part> parts_;
  TopRecords top_records_;
  std::size_t done_ = 0, failed_ = 0;
  double relative_cost_sum_ =
      0;  // how much work parts took, against what is usual with their backends
  std::size_t relative_cost_count_ = 0;
  // Invariant: until the first frame of the aid came, or the aid was lost, none of its parts is
  // asked directly: a frame merges parts, and a part that is in already would count twice.
  bool is_delegation_awaited_ = false;
  bool has_executed_ = false;            // something may have run
  ErrorCode failure_ = ErrorCode::none;  // why parts failed
  std::unique_ptr<BackendResponse>
      last_failed_response_;  // a backend's own failure, kept to be passed on
};

}  // namespace saddlewing
