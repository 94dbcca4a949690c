#pragma once
// The circuit breaker of one peer: keeps requests away from it after repeated failures.
//
// Pure: the caller reports outcomes and asks before it sends; nothing is sent here. Not
// thread-safe: one instance belongs to one event loop.
#include <algorithm>

#include "state/types.h"

namespace saddlewing {

// Closed at first. It opens after `failure_threshold` failures without a success between them.
// When its open time is over one probe may be sent: a success closes it, a failure opens it again
// for twice as long, up to `max_open_time`.
class CircuitBreaker {
 public:
  // Closes the circuit and forgets earlier failures.
  void record_success() {
    consecutive_failures_ = 0;
    open_time_ = initial_open_time;
    is_open_ = false;
  }

  // `is_unreachable`: nothing was heard of the peer at all, as of a dead host, which opens the
  // circuit at once.
  void record_failure(TimePoint now, bool is_unreachable) {
    consecutive_failures_ += is_unreachable ? failure_threshold : 1;
    if (consecutive_failures_ < failure_threshold)
      return;
    if (is_open(now))
      return;
    open_time_ = is_open_ ? std::min(open_time_ * 2, max_open_time) : initial_open_time;
    is_open_ = true;
    probe_at_ = now + open_time_;
  }

  // Whether requests are to be kept away from the peer.
  bool is_open(TimePoint now) const {
    return is_open_ && now < probe_at_;
  }

  // Whether the circuit is half-open: its open time is over and no probe is under way.
  bool is_probe_due(TimePoint now) const {
    return is_open_ && now >= probe_at_;
  }

  // Call it when the probe is sent: other requests are kept away for one more open time.
  void start_probe(TimePoint now) {
    probe_at_ = now + open_time_;
  }

  // When the next probe may be sent. Meaningful only while the circuit is open.
  TimePoint probe_at() const {
    return probe_at_;
  }

 private:
  // Failures in a row that open the circuit: one or two happen to a healthy peer as well.
  static constexpr int failure_threshold = 3;
  // In milliseconds. The first is short, as a restart takes about so long; the last bounds how
  // late a peer that came back is noticed.
  static constexpr Duration initial_open_time{400};
  static constexpr Duration max_open_time{3000};

  int consecutive_failures_ = 0;
  Duration open_time_ = initial_open_time;
  bool is_open_ = false;  // until a success, also while a probe is due
  TimePoint probe_at_{};  // valid if is_open_
};

}  // namespace saddlewing
