#include "coordination/raft/election.h"

#include <algorithm>

namespace saddlewing {
namespace {

constexpr int max_doublings = 4;

// A vote waits for the save that is running where it is asked for, and for its own.
constexpr int saves_per_vote = 2;

}  // namespace

void Election::reset_timer(bool has_leader, TimePoint now) {
  const Duration retry_minimum =
      heartbeat_interval_ / 2 * (1 << std::min(attempts_, max_doublings));
  const Duration minimum =
      has_leader ? election_timeout_ : std::min(election_timeout_, retry_minimum);
  const Duration spread = std::max(minimum, heartbeat_interval_ * 2);
  const auto extra =
      static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(spread.count()));
  deadline_ = now + minimum + Duration(extra);
}

void Election::wait_for_votes(Duration save_duration, TimePoint now) {
  reset_timer(false, now);
  deadline_ += save_duration * saves_per_vote;
}

}  // namespace saddlewing
