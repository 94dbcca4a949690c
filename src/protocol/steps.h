#pragma once
// The recent steps of versions at one node, for the tracer. Bounded: the oldest go first.
#include <deque>

#include "protocol/frames.h"

namespace saddlewing {

class StepLog {
 public:
  explicit StepLog(std::size_t most) : most_(most) {
  }
  void note(Version version, const char* what, Moment now) {
    steps_.push_back({version, what, now});
    if (steps_.size() > most_)
      steps_.pop_front();
  }
  std::vector<Step> tell(Moment now) const {
    std::vector<Step> told;
    for (const Stamped& step : steps_)
      told.push_back({step.version, step.what,
                      static_cast<std::uint64_t>(span_between(step.when, now).count())});
    return told;
  }

 private:
  struct Stamped {
    Version version;
    const char* what;
    Moment when;
  };
  std::size_t most_;
  std::deque<Stamped> steps_;
};

}  // namespace saddlewing
