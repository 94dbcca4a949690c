#include "coordination/rollout/version_switch.h"

#include <algorithm>
#include <utility>

namespace saddlewing {

bool VersionSwitch::prepare(ConfigurationSnapshot snapshot, TimePoint now) {
  if (snapshot->version <= version_held())
    return false;
  if (!pending_)
    wait_started_ = now;
  pending_ = std::move(snapshot);
  return true;
}

void VersionSwitch::observe_in_force(Version version) {
  in_force_ = std::max(in_force_, version);
}

bool VersionSwitch::activate(bool is_serving, TimePoint now) {
  if (!pending_)
    return false;
  const bool must_wait = serving_ && is_serving && in_force_ < pending_->version;
  if (must_wait && now < activation_deadline())
    return false;
  serving_ = std::move(pending_);
  pending_ = nullptr;
  return true;
}

Version VersionSwitch::version_held() const {
  if (pending_)
    return pending_->version;
  return serving_ ? serving_->version : Version{};
}

}  // namespace saddlewing
