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
#include "protocol/gather_messages.h"

namespace saddlewing {

struct FinalAnswer {
  ErrorCode kind = ErrorCode::none;  // other than none: an answer of our own
  int status = 200;
  std::string reason = "OK", fields, body;
  Duration retry_after{0};
};

class ProxiedRequest final : public Requester {
 public:
  enum class State {
    matching,
    holding,
    attempting,
    gathering,
    answering,
    closed
  };

  // Where an errand acts.
  class Ground : public virtual AttemptSender {
   public:
    virtual void answer(ProxiedRequest& request, FinalAnswer answer, TimePoint now) = 0;
    virtual RetryBudget& budget(const std::string& service) = 0;
    virtual double reserve(TimePoint now) = 0;
    // Has another broker, near the backends, gather such of these parts as have none near this one.
    // Gives the parts taken, none where no such broker is known, and the region they are asked in.
    struct Delegation {
      std::vector<std::size_t> parts;
      std::string region;
      double base_ms = 0, span_ms = 0;  // of its frames: the way, and what usually comes on top
    };
    virtual Delegation delegate(ProxiedRequest& request, Duration flush_after, TimePoint now) = 0;
    virtual void delegation_is_late(ProxiedRequest& request,
                                    TimePoint now) = 0;  // no frame came in time
    // What a part of it at this service is to the bulkheads; and whether it is called when its turn
    // has come.
    virtual PickConstraints wish(const ProxiedRequest& request, const std::string& service,
                                 TimePoint now) = 0;
    virtual bool wait_turn(ProxiedRequest& request, TimePoint now) = 0;
    virtual LatencyEstimate& pace(const Route& route) = 0;
    virtual double draw() = 0;  // in [0, 1)
  };

  ProxiedRequest(Ground& ground, TableSnapshot table, const Route& route, TimePoint began,
                 Duration time_left);

  void start(TimePoint now);
  // In the place of `before`: its requests were counted there, these are further ones; its askings
  // count for the tries.
  void start_again(const ProxiedRequest& before, TimePoint now);
  // Whether it may end here, with `turned_away`, the part just turned away, and a new one begin in
  // its place: nothing of a risky one has run, and the tries and the allowance cover it.
  bool may_restart(std::size_t turned_away, TimePoint now);
  void give_way(std::size_t turned_away) {
    ++parts_[turned_away].refused;
    state_ = State::closed;
  }
  void on_due(TimePoint now) override;
  void on_turn(TimePoint now);     // the parts that wait are asked, as far as there is room
  void lose_turn(TimePoint now) {  // it looks again by itself
    is_waiting_turn_ = false;
    due_ = now;
  }
  void handle_response(std::size_t part, BackendResponse outcome, Duration took,
                       TimePoint now) override;
  void handle_failure(std::size_t part, ErrorCode kind, bool may_have_run, TimePoint now) override;
  void handle_gather_result(GatherResult aided, Duration took, TimePoint now);
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
  const Table& table() const {
    return *table_;
  }

 private:
  struct Part {
    ServiceIndex service;
    std::vector<const Backend*> tried;
    int active = 0;
    int sent = 0;     // askings that may have reached a backend
    int missed = 0;   // askings that reached nobody
    int refused = 0;  // askings whose backend said that it did not run them
    int before = 0;   // askings of errands in whose place this one began that may have run
    bool is_done = false, is_failed = false;
    bool is_delegated = false;  // another broker is at it
    TimePoint asked{};
    double base_ms = 0, span_ms = 0;  // what to expect of the asking under way
    std::string seal;
  };
  void begin(const ProxiedRequest* before, TimePoint now);
  void ask(std::size_t index, bool is_further, TimePoint now);
  void fail_part(Part& part, ErrorCode kind, TimePoint now);
  bool may_ask_again(const Part& part) const;
  void consider(TimePoint now);
  void finish_gathered(TimePoint now);
  void finish(FinalAnswer answer, TimePoint now);
  void finish_failed(TimePoint now);
  void plan(TimePoint now);
  void start_delegation(TimePoint now);
  void give_up_delegation(TimePoint now);
  Duration further_delay() const;
  Duration further_delay(const Part& part) const;
  void weigh(const Part& part, Duration took);

  Ground& ground_;
  const TableSnapshot table_;
  std::optional<ServiceIndex> chosen_;
  const Route& route_;                         // within table_'s configuration
  const TimePoint began_, deadline_, prompt_;  // prompt_: from here on parts may be left out
  TimePoint due_;
  State state_ = State::matching;
  bool is_waiting_turn_ = false;
  std::vector<Part> parts_;
  BestRecords best_;
  std::size_t done_ = 0, failed_ = 0;
  double weight_sum_ = 0;  // how much work parts took, against what is usual with their backends
  std::size_t weighed_ = 0;
  // Invariant: until the first frame of the aid came, or the aid was lost, none of its parts is
  // asked directly: a frame merges parts, and a part that is in already would count twice.
  bool is_delegation_awaited_ = false;
  bool has_run_ = false;                   // something may have run
  ErrorCode worst_ = ErrorCode::none;      // why parts failed
  std::unique_ptr<BackendResponse> last_;  // a backend's own failure, kept to be passed on
};

}  // namespace saddlewing
