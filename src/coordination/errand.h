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

#include "coordination/asker.h"
#include "coordination/budget.h"
#include "coordination/merge.h"
#include "protocol/frames.h"

namespace saddlewing {

struct FinalAnswer {
  Kind kind = Kind::none;  // other than none: an answer of our own
  int status = 200;
  std::string reason = "OK", fields, body;
  Span retry_after{0};
};

class Errand final : public Asker {
 public:
  enum class State {
    matching,
    holding,
    asking,
    gathering,
    answering,
    closed
  };

  // Where an errand acts.
  class Ground : public virtual AskGround {
   public:
    virtual void answer(Errand& errand, FinalAnswer answer, Moment now) = 0;
    virtual Budget& budget(const std::string& service) = 0;
    virtual double reserve(Moment now) = 0;
    // Has another broker, near the backends, gather such of these parts as have none near this one.
    // Gives the parts taken, none where no such broker is known, and the region they are asked in.
    struct AidTaken {
      std::vector<std::size_t> parts;
      std::string region;
      double base_ms = 0, span_ms = 0;  // of its frames: the way, and what usually comes on top
    };
    virtual AidTaken call_aid(Errand& errand, Span flush_after, Moment now) = 0;
    virtual void miss_aid(Errand& errand, Moment now) = 0;  // no frame came in time
    // What a part of it at this service is to the bulkheads; and whether it is called when its turn
    // has come.
    virtual PickWish wish(const Errand& errand, const std::string& service, Moment now) = 0;
    virtual bool wait_turn(Errand& errand, Moment now) = 0;
    virtual Pace& pace(const Rule& rule) = 0;
    virtual double draw() = 0;  // in [0, 1)
  };

  Errand(Ground& ground, TableSnapshot table, const Rule& rule, Moment began, Span time_left);

  void start(Moment now);
  // In the place of `before`: its requests were counted there, these are further ones; its askings
  // count for the tries.
  void start_again(const Errand& before, Moment now);
  // Whether it may end here, with `turned_away`, the part just turned away, and a new one begin in
  // its place: nothing of a risky one has run, and the tries and the allowance cover it.
  bool may_restart(std::size_t turned_away, Moment now);
  void give_way(std::size_t turned_away) {
    ++parts_[turned_away].refused;
    state_ = State::closed;
  }
  void on_due(Moment now) override;
  void on_turn(Moment now);     // the parts that wait are asked, as far as there is room
  void lose_turn(Moment now) {  // it looks again by itself
    is_waiting_turn_ = false;
    due_ = now;
  }
  void take_outcome(std::size_t part, BackendOutcome outcome, Span took, Moment now) override;
  void take_breakdown(std::size_t part, Kind kind, bool may_have_run, Moment now) override;
  void take_aided(Aided aided, Span took, Moment now);
  void lose_aid(bool may_have_run, Moment now);  // nothing more comes of it
  void abandon() {
    state_ = State::closed;
  }  // the client left

  State state() const {
    return state_;
  }
  bool is_open() const override {
    return state_ != State::closed;
  }
  Moment next_due() const override {
    return due_;
  }
  Moment deadline() const override {
    return deadline_;
  }
  const Rule& rule() const {
    return rule_;
  }
  Moment began() const {
    return began_;
  }
  void choose(ServiceIndex service) {
    chosen_ = service;
  }  // before its start: instead of a draw among the shares
  bool is_gathering() const override {
    return !rule_.shards.empty();
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
    bool is_aided = false;  // another broker is at it
    Moment asked{};
    double base_ms = 0, span_ms = 0;  // what to expect of the asking under way
    std::string seal;
  };
  void begin(const Errand* before, Moment now);
  void ask(std::size_t index, bool is_further, Moment now);
  void fail_part(Part& part, Kind kind, Moment now);
  bool may_ask_again(const Part& part) const;
  void consider(Moment now);
  void finish_gathered(Moment now);
  void finish(FinalAnswer answer, Moment now);
  void finish_failed(Moment now);
  void plan(Moment now);
  void start_aid(Moment now);
  void give_up_aid(Moment now);
  Span further_delay() const;
  Span further_delay(const Part& part) const;
  void weigh(const Part& part, Span took);

  Ground& ground_;
  const TableSnapshot table_;
  std::optional<ServiceIndex> chosen_;
  const Rule& rule_;                        // within table_'s configuration
  const Moment began_, deadline_, prompt_;  // prompt_: from here on parts may be left out
  Moment due_;
  State state_ = State::matching;
  bool is_waiting_turn_ = false;
  std::vector<Part> parts_;
  BestRecords best_;
  std::size_t done_ = 0, failed_ = 0;
  double weight_sum_ = 0;  // how much work parts took, against what is usual with their backends
  std::size_t weighed_ = 0;
  // Invariant: until the first frame of the aid came, or the aid was lost, none of its parts is
  // asked directly: a frame merges parts, and a part that is in already would count twice.
  bool is_aid_awaited_ = false;
  bool has_run_ = false;                  // something may have run
  Kind worst_ = Kind::none;               // why parts failed
  std::unique_ptr<BackendOutcome> last_;  // a backend's own failure, kept to be passed on
};

}  // namespace saddlewing
