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
    since_ = now;
  }
  enum class Turn {
    none,
    held_by_all,
    waited_enough
  };
  // `held`: what each broker heard of late says it holds. Who does not hold it in time is not
  // waited for.
  Turn advance(const std::vector<Version>& held, TimePoint now) {
    if (in_force_ >= committed_)
      return Turn::none;
    const bool is_held = std::all_of(held.begin(), held.end(),
                                     [&](Version version) { return version >= committed_; });
    if (!is_held && now - since_ < max_wait_)
      return Turn::none;
    in_force_ = committed_;
    return is_held ? Turn::held_by_all : Turn::waited_enough;
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
  TimePoint since_{};
};

// At a broker. Invariant: `coming` is null or of a higher version than `serving`, and `serving`
// never goes back.
class VersionSwitch {
 public:
  explicit VersionSwitch(Duration max_wait) : max_wait_(max_wait) {
  }
  bool take(ConfigurationSnapshot snapshot, TimePoint now) {
    if (snapshot->version <= held())
      return false;
    if (!coming_)
      since_ = now;
    coming_ = std::move(snapshot);
    return true;
  }
  void see_in_force(Version version) {
    in_force_ = std::max(in_force_, version);
  }
  // A first version in this life has nothing to wait for, and none is waited for without end:
  // registries may be out of reach. True if the version to serve by changed.
  bool turn(bool is_serving, TimePoint now) {
    if (!coming_)
      return false;
    if (serving_ && is_serving && in_force_ < coming_->version && now < due())
      return false;
    serving_ = std::move(coming_);
    coming_ = nullptr;
    return true;
  }
  Version held() const {
    return coming_ ? coming_->version : serving_ ? serving_->version : Version{};
  }
  const ConfigurationSnapshot& serving() const {
    return serving_;
  }
  bool is_turning() const {
    return coming_ != nullptr;
  }
  TimePoint due() const {
    return since_ + max_wait_;
  }

 private:
  Duration max_wait_;
  ConfigurationSnapshot serving_, coming_;
  Version in_force_;
  TimePoint since_{};
};

}  // namespace saddlewing
