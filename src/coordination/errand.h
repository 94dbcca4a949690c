#pragma once
// A request's way through a broker. Pure: outcomes, breakdowns and a clock in; askings and one answer out.
//
//   Matching -> Asking -> Gathering -> Answering -> Closed
//                 \-> Holding (every connection allowed is in use) -> Asking
#include <memory>
#include <string>
#include <vector>

#include "coordination/backend.h"
#include "coordination/budget.h"
#include "coordination/merge.h"
#include "state/error.h"

namespace saddlewing {

// What a backend said, as far as an errand needs it.
struct BackendOutcome {
  int status = 0;
  bool is_not_run = false;
  std::string reason, fields, seal, body;
};

struct FinalAnswer {
  Kind kind = Kind::none;   // other than none: an answer of our own
  int status = 200;
  std::string reason = "OK", fields, body;
  Span retry_after{0};
};

// How long a rule's parts take, for the moment at which a further asking pays.
struct Pace {
  double mean_ms = 0, deviation_ms = 0;
  void see(double milliseconds) {
    if (mean_ms == 0) {
      mean_ms = milliseconds;
      deviation_ms = milliseconds / 2;
      return;
    }
    const double off = milliseconds - mean_ms;
    mean_ms += off * 0.05;
    deviation_ms += ((off < 0 ? -off : off) - deviation_ms) * 0.05;
  }
};

class Errand {
 public:
  enum class State { matching, holding, asking, gathering, answering, closed };

  // Where an errand acts.
  class Ground {
   public:
    virtual ~Ground() = default;
    virtual bool ask(Errand& errand, std::size_t part, Backend& backend, Moment now) = 0;  // false: not even begun
    virtual void answer(Errand& errand, FinalAnswer answer, Moment now) = 0;
    virtual Budget& budget(const std::string& service) = 0;
    virtual double reserve(Moment now) = 0;
    virtual PickResult pick(const std::vector<BackendPointer>& backends, const std::vector<const Backend*>& tried,
                            int most_connections, Moment now) = 0;  // most_connections: of all callers together
    virtual Pace& pace(const Rule& rule) = 0;
    virtual double draw() = 0;  // in [0, 1)
  };

  Errand(Ground& ground, TableCapture table, const Rule& rule, Moment began, Span time_left);

  void start(Moment now);
  void on_due(Moment now);
  void take_outcome(std::size_t part, BackendOutcome outcome, Span took, Moment now);
  void take_breakdown(std::size_t part, Kind kind, bool may_have_run, Moment now);
  void abandon() { state_ = State::closed; }  // the client left

  State state() const { return state_; }
  bool is_open() const { return state_ != State::closed; }
  Moment next_due() const { return due_; }
  Moment cutoff() const { return cutoff_; }
  const Rule& rule() const { return rule_; }
  bool is_gathering() const { return !rule_.shards.empty(); }
  const Table& table() const { return *table_; }

 private:
  struct Part {
    ServiceIndex service;
    std::vector<const Backend*> tried;
    int active = 0;
    int sent = 0;        // askings that may have reached a backend
    int missed = 0;      // askings that reached nobody
    bool is_done = false, is_failed = false;
    Moment asked{};
    std::string seal;
  };
  void ask(std::size_t index, bool is_further, Moment now);
  void fail_part(Part& part, Kind kind, Moment now);
  bool may_ask_again(const Part& part) const;
  void consider(Moment now);
  void finish_gathered(Moment now);
  void finish(FinalAnswer answer, Moment now);
  void finish_failed(Moment now);
  void plan(Moment now);
  Span further_delay() const;

  Ground& ground_;
  const TableCapture table_;
  const Rule& rule_;  // within table_'s configuration
  const Moment began_, cutoff_, prompt_;  // prompt_: from here on parts may be left out
  Moment due_;
  State state_ = State::matching;
  std::vector<Part> parts_;
  BestRecords best_;
  std::size_t done_ = 0, failed_ = 0;
  bool has_run_ = false;               // something may have run
  Kind worst_ = Kind::none;            // why parts failed
  std::unique_ptr<BackendOutcome> last_;  // a backend's own failure, kept to be passed on
};

}  // namespace saddlewing
