#pragma once
// How one node itself stands to the cluster: whether it leaves, was replaced, or asks to join.
//
// Plain state, owned by RaftNode and used in its thread alone. Members of the configuration are in
// the entries; learners are the leader's.
#include <optional>

#include "state/types.h"

namespace saddlewing {

struct MembershipState {
  // When this node began to leave; empty: it does not.
  std::optional<TimePoint> leaving_since;
  // When it last asked the leader to let it go.
  TimePoint last_leave_request{};
  // It may end: its place is taken, or the wait for that is over. Never falls back to false.
  bool has_left = false;

  // Another member says that this one was replaced. Believed for a while only, for the other may
  // be wrong by now.
  bool is_removed = false;
  TimePoint removed_at{};

  // When it last asked to be taken in as a learner.
  TimePoint last_join_request{};
};

}  // namespace saddlewing
