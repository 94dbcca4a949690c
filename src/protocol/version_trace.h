#pragma once
// The recent events in the life of configuration versions at one node, for `saddlewing trace`.
// Bounded: the oldest events are dropped first. Threading: owned and used by one thread.
#include <cstddef>
#include <deque>
#include <vector>

#include "protocol/trace_messages.h"

namespace saddlewing {

class VersionTrace {
 public:
  // Keeps at most `limit` events.
  explicit VersionTrace(std::size_t limit) : limit_(limit) {
  }
  // `what` must outlive the trace: a literal.
  void record(Version version, const char* what, TimePoint now) {
    events_.push_back({version, what, now});
    if (events_.size() > limit_)
      events_.pop_front();
  }
  // Oldest first, each with its age at `now`.
  std::vector<VersionEvent> events(TimePoint now) const {
    std::vector<VersionEvent> aged;
    for (const RecordedEvent& event : events_) {
      const Duration age = elapsed(event.time, now);
      aged.push_back({event.version, event.what, static_cast<std::uint64_t>(age.count())});
    }
    return aged;
  }

 private:
  struct RecordedEvent {
    Version version;
    const char* what;
    TimePoint time;
  };
  std::size_t limit_;
  std::deque<RecordedEvent> events_;
};

}  // namespace saddlewing
