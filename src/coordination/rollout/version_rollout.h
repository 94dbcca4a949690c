#pragma once
// Decides at a registry when a committed version comes into force.
//
// Job: a version is first distributed; it comes into force once every broker holds it, or after a
// limited wait. Brokers then switch within one heartbeat's delay of each other, so that no two of
// them serve by different versions for longer. It distributes nothing itself.
// Threading: not synchronized; one owner.
#include <vector>

#include "state/types.h"

namespace saddlewing {

// Invariant: the version in force never falls and never exceeds the one committed.
class VersionRollout {
 public:
  // What a call of advance() did.
  enum class Activation {
    none,                 // the version in force is as before
    acknowledged_by_all,  // changed: every broker holds the new one
    timed_out             // changed: the wait for the others is over
  };

  // `max_wait`: how long a version waits for brokers that do not hold it.
  explicit VersionRollout(Duration max_wait) : max_wait_(max_wait) {
  }

  // A version was committed; one that is not newer than the last is ignored.
  void commit(Version version, TimePoint now);

  // Brings the committed version into force if that may be done now.
  // `versions_held`: the newest version that each broker heard of recently says it holds.
  Activation advance(const std::vector<Version>& versions_held, TimePoint now);

  Version in_force() const {
    return in_force_;
  }

  // Whether a committed version is not in force yet.
  bool is_pending() const {
    return in_force_ < committed_;
  }

 private:
  Duration max_wait_;
  Version committed_;
  Version in_force_;
  TimePoint wait_started_{};  // when `committed_` was committed
};

// The wording of logs and traces: "none", "held by all", "waited enough".
const char* name_of(VersionRollout::Activation activation);

}  // namespace saddlewing
