#include "coordination/rollout/version_rollout.h"

#include <algorithm>

namespace saddlewing {

void VersionRollout::commit(Version version, TimePoint now) {
  if (version <= committed_)
    return;
  committed_ = version;
  wait_started_ = now;
}

VersionRollout::Activation VersionRollout::advance(const std::vector<Version>& versions_held,
                                                   TimePoint now) {
  if (!is_pending())
    return Activation::none;
  const bool is_acknowledged = std::all_of(versions_held.begin(), versions_held.end(),
                                           [&](Version version) { return version >= committed_; });
  if (!is_acknowledged && now - wait_started_ < max_wait_)
    return Activation::none;
  in_force_ = committed_;
  return is_acknowledged ? Activation::acknowledged_by_all : Activation::timed_out;
}

const char* name_of(VersionRollout::Activation activation) {
  switch (activation) {
    case VersionRollout::Activation::none:
      return "none";
    case VersionRollout::Activation::acknowledged_by_all:
      return "held by all";
    case VersionRollout::Activation::timed_out:
      return "waited enough";
  }
  return "";
}

}  // namespace saddlewing
