#pragma once
// The recent steps of versions at one node, for the tracer. Bounded: the oldest go first.
#include <deque>

#include "protocol/trace_messages.h"

namespace saddlewing {

class VersionTrace {
 public:
  explicit VersionTrace(std::size_t limit) : max_(limit) {
  }
  void record(Version version, const char* what, TimePoint now) {
    steps_.push_back({version, what, now});
    if (steps_.size() > max_)
      steps_.pop_front();
  }
  std::vector<VersionEvent> events(TimePoint now) const {
    std::vector<VersionEvent> told;
    for (const Stamped& step : steps_)
      told.push_back(
          {step.version, step.what, static_cast<std::uint64_t>(elapsed(step.when, now).count())});
    return told;
  }

 private:
  struct Stamped {
    Version version;
    const char* what;
    TimePoint when;
  };
  std::size_t max_;
  std::deque<Stamped> steps_;
};

}  // namespace saddlewing
