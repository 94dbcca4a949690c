#pragma once
// The state machine of a client's request on its way through a broker: from the choice of a
// service to the one response, with retries, hedged attempts, gathers and delegated gathers.
//
//   matching -> attempting -> gathering -> responding -> closed
//                 |    ^
//                 v    |
//                 queued (no connection or no slot for heavy requests is free)
//
// Pure: outcomes and the time come in, attempts and one response go out by its callbacks. It
// doesn't parse or match the request (the route is given) and owns no connection. Not thread-safe:
// it belongs to one broker's event loop.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/routing/record_merge.h"
#include "coordination/routing/requester.h"
#include "coordination/routing/retry_budget.h"
#include "coordination/routing/stop_reason.h"
#include "protocol/gather_messages.h"

namespace saddlewing {

// The response to the client.
struct FinalResponse {
  ErrorCode kind = ErrorCode::none;  // other than none: an error of the broker's own
  int status = 200;                  // HTTP status, like the rest only if kind is none
  std::string reason = "OK";
  std::string fields;  // header fields, each with its line end
  std::string body;
  Duration retry_after{0};  // advice to the client, in milliseconds; 0: none
};

class ProxiedRequest final : public Requester {
 public:
  enum class State {
    matching,    // not started: the service or the shards are still to be chosen
    queued,      // a part waits for a free connection or slot
    attempting,  // attempts are being sent
    gathering,   // attempts are under way
    responding,  // the response is being handed over
    closed       // it was handed over, the client left, or another request took its place
  };

  // What the request needs of its broker. The callbacks must not delete the request.
  class Callbacks : public virtual AttemptSender {
   public:
    // Parts that another broker gathers.
    struct Delegation {
      std::vector<std::size_t> parts;  // indices; empty: nothing is delegated
      std::string region;              // where their backends are asked
      double min_expected_ms = 0;      // until the first frame: the network round trip
      double extra_expected_ms = 0;    // what usually comes on top of it
    };

    // Hands over the response; called once at most.
    virtual void send_response(ProxiedRequest& request, FinalResponse response, TimePoint now) = 0;

    // The retry budget of the service with this name; valid until the next call.
    virtual RetryBudget& retry_budget(const std::string& service) = 0;

    // Retries that this broker may send beyond its budgets' ratio: its part of the common reserve.
    virtual double retry_reserve(TimePoint now) = 0;

    // Has another broker, near the backends, gather such parts as have no backend near this one.
    // `flush_after`: after so many milliseconds it is to send what it has. Gives the parts taken.
    virtual Delegation delegate(ProxiedRequest& request, Duration flush_after, TimePoint now) = 0;

    // The broker that gathers for the request sent no frame in time.
    virtual void handle_delegation_timeout(ProxiedRequest& request, TimePoint now) = 0;

    // What the pick of a backend of `service` is to respect.
    virtual PickConstraints pick_constraints(const ProxiedRequest& request,
                                             const std::string& service, TimePoint now) = 0;

    // Queues the request for a slot. True: on_dequeued or on_evicted is called in time. False: it
    // wasn't queued, and looks again by itself.
    virtual bool enqueue(ProxiedRequest& request, TimePoint now) = 0;

    // How long the attempts of this route take; valid until the next call.
    virtual LatencyEstimate& latency_estimate(const Route& route) = 0;

    // A random number from 0 up to, but without, 1.
    virtual double random_fraction() = 0;
  };

  // `callbacks`: must outlive the request. `route`: within the configuration of `table`. `began`:
  // when the request came in. `time_left`: the client's, in milliseconds; the route may allow less.
  ProxiedRequest(Callbacks& callbacks, RoutingTableSnapshot table, const Route& route,
                 TimePoint began, Duration time_left);

  // Instead of a draw among the route's weighted services; to be called before the start.
  void choose(ServiceIndex service) {
    chosen_ = service;
  }

  // Sends the first attempts, or responds if no backend serves. To be called once.
  void start(TimePoint now);

  // Starts in the place of `predecessor`: its attempts count towards the limit of tries, and the
  // new ones are retries to the budget.
  void restart_from(const ProxiedRequest& predecessor, TimePoint now);

  // Whether a new request may take this one's place, after the backend of part `turned_away`
  // refused its attempt: nothing unsafe to repeat has run, and tries and budget allow it.
  bool may_restart(std::size_t turned_away, TimePoint now);

  // Closes it without a response, for restart_from.
  void close_for_restart(std::size_t turned_away) {
    ++parts_[turned_away].attempts_refused;
    state_ = State::closed;
  }

  // The client ended its input at `ended_at`: it may be gone, or wait for its answer. The bounds of
  // ended_input.h hold from then on. May be called before the start, and again.
  void end_input(TimePoint ended_at);
  bool has_input_ended() const {
    return has_input_ended_;
  }
  // Until when a client that ended its input may be worked for.
  TimePoint work_until() const {
    return work_until_;
  }

  // The client left.
  void abandon() override {
    state_ = State::closed;
  }
  bool is_repeatable() const override {
    return route_.is_harmless;
  }

  void on_due(TimePoint now) override;

  // Its turn in the queue has come: attempts the parts that wait, as far as slots are free.
  void on_dequeued(TimePoint now);

  // A more urgent request displaced it from the queue: it looks again by itself at `retry_at`.
  void on_evicted(TimePoint retry_at) {
    is_enqueued_ = false;
    due_ = retry_at;
  }

  void handle_response(std::size_t index, BackendResponse response, Duration took,
                       TimePoint now) override;
  void handle_failure(std::size_t index, ErrorCode kind, bool may_have_run, TimePoint now) override;

  // A frame of the broker that gathers for it. `took`: since the delegation, in milliseconds.
  void handle_gather_result(GatherResult result, Duration took, TimePoint now);

  // Nothing more comes of the delegation: its parts are attempted directly where that is allowed.
  // `may_have_run`: whether the other broker may have had them run.
  void lose_delegation(bool may_have_run, TimePoint now);

  State state() const {
    return state_;
  }
  bool is_open() const override {
    return state_ != State::closed;
  }
  bool is_gathering() const override {
    return !route_.shards.empty();
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
  const RoutingTable& table() const {
    return *table_;
  }
  // Why the part that failed last got no further attempt.
  StopReason stop_reason() const {
    return stop_reason_;
  }
  std::size_t part_count() const {
    return parts_.size();
  }
  std::size_t parts_done() const {
    return done_;
  }

 private:
  friend struct InvariantProbe;  // tests plant faults

  // One service's share of the request: the whole of it, or one shard of a gather.
  struct Part {
    ServiceIndex service;
    std::vector<const Backend*> tried;  // in the order of the attempts
    int attempts_active = 0;            // under way
    int attempts_sent = 0;              // that may have reached a backend
    int attempts_unreached = 0;         // that reached nobody
    int attempts_refused = 0;           // whose backend vouched that they didn't run
    int attempts_before_restart = 0;    // that may have run, of the requests it took the place of
    bool is_done = false;               // its response is in
    bool is_failed = false;             // none will come; never together with is_done
    bool is_delegated = false;          // another broker gathers it
    TimePoint attempted_at{};           // of the last attempt
    double min_expected_ms = 0;         // of the last attempt: the network round trip
    double extra_expected_ms = 0;       // what usually comes on top of it; 0: unknown
    std::string seal;                   // Answer-Seal of its response
  };

  // `predecessor`: the request whose place it takes, or null.
  void begin(const ProxiedRequest* predecessor, TimePoint now);
  // The whole request as one part, of the service chosen or drawn; or a part for each shard.
  void create_parts();
  void inherit_attempts(Part& part, const ProxiedRequest& predecessor) const;
  // Whether enough parts have a backend: shards without any decide before anything runs.
  bool has_enough_backends() const;

  // Sends a first attempt, a retry or, if `is_hedge`, one beside an attempt under way.
  void start_attempt(std::size_t index, bool is_hedge, TimePoint now);
  PickResult pick_backend(const Part& part, bool is_hedge, TimePoint now);
  // No backend could be picked: queues the request if it pays to wait, or else fails the part.
  void wait_for_backend(Part& part, bool is_full, TimePoint now);
  void handle_success(Part& part, BackendResponse response, Duration took, TimePoint now);
  // After an attempt failed; does nothing while another one for the part is under way.
  void retry_or_fail(std::size_t index, ErrorCode kind, TimePoint now);
  void fail_part(Part& part, ErrorCode kind, StopReason reason);
  bool may_retry(const Part& part, TimePoint now) const;
  // Why a part that failed gets no further attempt.
  StopReason reason_without_retry(TimePoint now) const;
  const Service& service_of(const Part& part) const {
    return table_->configuration->services[part.service.value];
  }

  // Decides whether the response is complete, can still come, or is lost.
  void evaluate(TimePoint now);
  // Sets due_ to the next moment at which there is something to do.
  void schedule(TimePoint now);
  void finish_gathered(TimePoint now);
  void finish(FinalResponse response, TimePoint now);
  // With the response as the backend gave it.
  void finish_with(BackendResponse response, TimePoint now);
  // Whether the invariants allow one more attempt for the part.
  bool may_send(const Part& part) const;
  bool is_at_work() const;
  void finish_failed(TimePoint now);
  // Responds with what there is: a partial gather if it holds enough parts, or an error.
  void finish_at_deadline(TimePoint now);

  void start_delegation(TimePoint now);
  // Attempts the delegated parts directly if they are late and the budget covers all of them.
  void give_up_delegation(TimePoint now);
  bool is_delegated(std::uint64_t index) const;
  void take_delegated_part(Part& part, std::string seal, Duration took);
  void fail_delegated_part(std::size_t index, ErrorCode kind, bool may_have_run, TimePoint now);

  // After how many milliseconds without an outcome a hedge is sent: by the route's estimate, and
  // by what the part's backend and this request's other parts took.
  Duration hedge_delay() const;
  Duration hedge_delay(const Part& part) const;
  void record_relative_cost(const Part& part, Duration took);

  Callbacks& callbacks_;
  const RoutingTableSnapshot table_;
  std::optional<ServiceIndex> chosen_;
  const Route& route_;  // within table_'s configuration
  const TimePoint began_;
  // The end of input may bring the next two forward.
  TimePoint deadline_;
  TimePoint partial_response_at_;                // from here on a gather may leave parts out
  TimePoint attempts_until_ = TimePoint::max();  // no attempt begins later
  TimePoint work_until_ = TimePoint::max();      // none that may be repeated is at work later
  bool has_input_ended_ = false;                 // the client's
  TimePoint due_;
  State state_ = State::matching;
  bool is_enqueued_ = false;  // in the broker's queue, until on_dequeued or on_evicted
  std::vector<Part> parts_;
  TopRecords top_records_;  // of the parts that are done
  std::size_t done_ = 0;    // parts
  std::size_t failed_ = 0;  // parts
  StopReason stop_reason_ = StopReason::none;
  // How much work parts took against what is usual with their backends, to tell a heavy request.
  double relative_cost_sum_ = 0;
  std::size_t relative_cost_count_ = 0;
  // Invariant: until the delegation's first frame came, or the delegation was lost, none of its
  // parts is attempted directly: a frame merges parts, and a part that is in already would count
  // twice.
  bool is_delegation_awaited_ = false;
  bool has_executed_ = false;                              // an attempt may have run
  ErrorCode failure_ = ErrorCode::none;                    // the gravest of why parts failed
  std::unique_ptr<BackendResponse> last_failed_response_;  // kept to be passed on
};

}  // namespace saddlewing
