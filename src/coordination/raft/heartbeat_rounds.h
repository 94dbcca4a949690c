#pragma once
// The numbered rounds of heartbeats of a leader, and when each left.
//
// Replies name the round that they answer: reads and the leader's lease count from when that round
// left, never from when the reply came (Raft thesis, sections 6.4 and 6.4.1).
// Owned by RaftNode, used in its thread alone.
#include <cstddef>
#include <cstdint>
#include <map>

#include "state/types.h"

namespace saddlewing {

class HeartbeatRounds {
 public:
  // Begins the next round; the one after it is due in `heartbeat_interval`.
  void begin(Duration heartbeat_interval, TimePoint now) {
    next_due_ = now + heartbeat_interval;
    sent_[++round_] = now;
    while (sent_.size() > max_remembered)
      sent_.erase(sent_.begin());
  }
  // The newest round; 0: none yet. Never falls, also from one leadership to the next.
  std::uint64_t current() const {
    return round_;
  }
  // When the next round is due.
  TimePoint next_due() const {
    return next_due_;
  }
  // When that round left; null if it is too old to be remembered.
  const TimePoint* sent_at(std::uint64_t round) const {
    const auto found = sent_.find(round);
    return found == sent_.end() ? nullptr : &found->second;
  }

 private:
  friend struct RaftNodeProbe;

  static constexpr std::size_t max_remembered = 64;

  std::uint64_t round_ = 0;
  std::map<std::uint64_t, TimePoint> sent_;
  TimePoint next_due_{};
};

}  // namespace saddlewing
