// How a request starts: its parts, the tries they begin with, and whether enough backends serve.
#include <algorithm>

#include "coordination/routing/proxied_request.h"
#include "protocol/discovery_messages.h"

namespace saddlewing {

void ProxiedRequest::begin(const ProxiedRequest* predecessor, TimePoint now) {
  create_parts();
  for (Part& part : parts_) {
    RetryBudget& budget = callbacks_.retry_budget(service_of(part).name);
    if (predecessor) {
      budget.record_retry(now);
      inherit_attempts(part, *predecessor);
    } else {
      budget.record_request(now);
    }
  }
  if (!has_enough_backends()) {
    failure_ = ErrorCode::no_backend_up;
    stop_reason_ = StopReason::no_backend_left;
    return finish_failed(now);
  }
  state_ = State::attempting;
  if (is_gathering())
    start_delegation(now);
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    if (!parts_[index].is_delegated)
      start_attempt(index, false, now);
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::create_parts() {
  if (is_gathering()) {
    for (const ServiceIndex shard : route_.shards)
      parts_.emplace_back().service = shard;
    return;
  }
  double left = callbacks_.random_fraction() * route_.weight_sum;
  ServiceIndex drawn = route_.shares.back().service;
  for (const Share& share : route_.shares) {
    if (share.weight > 0)
      drawn = share.service;
    left -= share.weight;
    if (left < 0)
      break;
  }
  parts_.emplace_back().service = chosen_.value_or(drawn);
}

void ProxiedRequest::inherit_attempts(Part& part, const ProxiedRequest& predecessor) const {
  for (const Part& earlier : predecessor.parts_) {
    // Each shard of a gather has its own tries.
    if (is_gathering() && predecessor.service_of(earlier).name != service_of(part).name)
      continue;
    part.attempts_before_restart +=
        earlier.attempts_before_restart + earlier.attempts_sent - earlier.attempts_refused;
  }
}

bool ProxiedRequest::has_enough_backends() const {
  std::size_t empty = 0;
  for (const Part& part : parts_) {
    const auto& backends = table_->by_service[part.service.value];
    empty += std::none_of(backends.begin(), backends.end(), [](const BackendPointer& backend) {
      return !backend->is_draining &&
             (backend->status == EndpointStatus::up || backend->status == EndpointStatus::starting);
    });
  }
  if (empty == parts_.size())
    return false;
  const double share = 1 - static_cast<double>(empty) / static_cast<double>(parts_.size());
  return !is_gathering() || share >= route_.min_parts_share;
}

}  // namespace saddlewing
