#pragma once
// How an version comes into force: every broker holds it first, then all turn to it within one
// frame's way of each other, so that no two of them serve by different versions for longer than
// that. Pure.
#include <algorithm>
#include <vector>

#include "state/configuration.h"
#include "state/types.h"

namespace saddlewing {

// At a registry. Invariant: the version in force never falls and never exceeds the one committed.
class VersionRollout {
 public:
  explicit VersionRollout(Duration max_wait) : max_wait_(max_wait) {
  }
  void commit(Version version, TimePoint now) {
    if (version <= committed_)
      return;
    committed_ = version;
    wait_started_ = now;
  }
  enum class Activation {
    none,
    acknowledged_by_all,
    timed_out
  };
  // `versions_held`: what each broker heard of late says it holds. Who does not hold it in time is
  // not waited for.
  Activation advance(const std::vector<Version>& versions_held, TimePoint now) {
    if (in_force_ >= committed_)
      return Activation::none;
    const bool is_acknowledged =
        std::all_of(versions_held.begin(), versions_held.end(),
                    [&](Version version) { return version >= committed_; });
    if (!is_acknowledged && now - wait_started_ < max_wait_)
      return Activation::none;
    in_force_ = committed_;
    return is_acknowledged ? Activation::acknowledged_by_all : Activation::timed_out;
  }
  Version in_force() const {
    return in_force_;
  }
  bool is_pending() const {
    return in_force_ < committed_;
  }

 private:
  Duration max_wait_;
  Version committed_, in_force_;
  TimePoint wait_started_{};
};

// At a broker. Invariant: `pending_` is null or of a higher version than `serving_`, and `serving_`
// never goes back.
class VersionSwitch {
 public:
  explicit VersionSwitch(Duration max_wait) : max_wait_(max_wait) {
  }
  bool prepare(ConfigurationSnapshot snapshot, TimePoint now) {
    if (snapshot->version <= version_held())
      return false;
    if (!pending_)
      wait_started_ = now;
    pending_ = std::move(snapshot);
    return true;
  }
  void observe_in_force(Version version) {
    in_force_ = std::max(in_force_, version);
  }
  // A first version in this life has nothing to wait for, and none is waited for without end:
  // registries may be out of reach. True if the version to serve by changed.
  bool activate(bool is_serving, TimePoint now) {
    if (!pending_)
      return false;
    if (serving_ && is_serving && in_force_ < pending_->version && now < activation_deadline())
      return false;
    serving_ = std::move(pending_);
    pending_ = nullptr;
    return true;
  }
  Version version_held() const {
    return pending_ ? pending_->version : serving_ ? serving_->version : Version{};
  }
  const ConfigurationSnapshot& serving() const {
    return serving_;
  }
  bool is_switch_pending() const {
    return pending_ != nullptr;
  }
  TimePoint activation_deadline() const {
    return wait_started_ + max_wait_;
  }

 private:
  Duration max_wait_;
  ConfigurationSnapshot serving_, pending_;
  Version in_force_;
  TimePoint wait_started_{};
};

}  // namespace saddlewing
