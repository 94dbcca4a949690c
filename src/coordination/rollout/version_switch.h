#pragma once
// Switches a broker from one version of the configuration to the next.
//
// Job: keeps the snapshot that is served by and at most one that waits for the registries to bring
// it into force (version_rollout.h). It fetches nothing.
// Threading: not synchronized; one owner.
#include "state/configuration.h"
#include "state/types.h"

namespace saddlewing {

// Invariant: the pending snapshot is null or newer than the one served by, and the version served
// by never falls.
class VersionSwitch {
 public:
  // `max_wait`: how long a pending version waits to come into force; after it the broker switches
  // by itself, since the registries may be out of reach.
  explicit VersionSwitch(Duration max_wait) : max_wait_(max_wait) {
  }

  // Takes a fetched snapshot as pending, in place of an older pending one, whose wait goes on.
  // False: it is not newer than version_held().
  bool prepare(ConfigurationSnapshot snapshot, TimePoint now);

  // The registries' leader says that `version` is in force; a lower one than before is ignored.
  void observe_in_force(Version version);

  // Serves by the pending version if it is in force, or if its wait is over; at once while nothing
  // is served yet. True if the version served by changed.
  // `is_serving`: the broker accepts requests.
  bool activate(bool is_serving, TimePoint now);

  // The newest version that this broker has, pending or not; 0: none.
  Version version_held() const;

  // The snapshot served by; null before the first.
  const ConfigurationSnapshot& serving() const {
    return serving_;
  }

  bool is_switch_pending() const {
    return pending_ != nullptr;
  }

  // When the pending version is served by even if nobody says that it is in force.
  TimePoint activation_deadline() const {
    return wait_started_ + max_wait_;
  }

 private:
  Duration max_wait_;
  ConfigurationSnapshot serving_;
  ConfigurationSnapshot pending_;
  Version in_force_;          // as last heard
  TimePoint wait_started_{};  // when a snapshot became pending while none was
};

}  // namespace saddlewing
