// How an errand has parts gathered by a broker near their backends.
#include <algorithm>

#include "coordination/routing/proxied_request.h"

namespace saddlewing {

void ProxiedRequest::start_delegation(TimePoint now) {
  const Callbacks::Delegation taken = callbacks_.delegate(*this, hedge_delay(), now);
  for (const std::size_t index : taken.parts) {
    Part& part = parts_[index];
    for (const BackendPointer& backend : table_->by_service[part.service.value])
      if (backend->region == taken.region)
        part.tried.push_back(backend.get());  // any of them may be the one asked
    part.is_delegated = is_delegation_awaited_ = true;
    part.attempts_sent = part.attempts_active = 1;
    part.attempted_at = now;
    part.min_expected_ms = taken.min_expected_ms;
    part.extra_expected_ms = taken.extra_expected_ms;
  }
}

// No frame in time: the parts are asked directly, if the allowance covers all of them.
void ProxiedRequest::give_up_delegation(TimePoint now) {
  if (route_.tries < 2)
    return;  // nobody else may be asked
  const double reserve = callbacks_.retry_reserve(now);
  for (const Part& part : parts_) {
    if (!part.is_delegated)
      continue;
    const auto& service = table_->configuration->services[part.service.value];
    if (now - part.attempted_at < hedge_delay(part) ||
        !callbacks_.retry_budget(service.name).allows_retry(now, reserve))
      return;
  }
  callbacks_.handle_delegation_timeout(*this, now);
  lose_delegation(true, now);
}

void ProxiedRequest::lose_delegation(bool may_have_run, TimePoint now) {
  if (!is_open())
    return;
  is_delegation_awaited_ = false;
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index) {
    if (!parts_[index].is_delegated)
      continue;
    parts_[index].is_delegated = false;
    handle_failure(index, ErrorCode::silent, may_have_run, now);
  }
}

void ProxiedRequest::handle_gather_result(GatherResult result, Duration took, TimePoint now) {
  if (!is_open())
    return;
  is_delegation_awaited_ = false;
  const auto is_expected = [&](std::uint64_t index) {
    return index < parts_.size() && parts_[index].is_delegated;
  };
  // Records of several parts can't be told apart, so a frame counts only if every part in it is
  // still wanted.
  const bool is_wanted =
      std::all_of(result.done.begin(), result.done.end(), [&](const GatherResult::Done& done) {
        return is_expected(done.part) && !parts_[done.part].is_done && !parts_[done.part].is_failed;
      });
  if (is_wanted && !result.done.empty()) {
    top_records_.add(result.records);
    has_executed_ = true;
    callbacks_.latency_estimate(route_).record(static_cast<double>(took.count()));
  }
  for (GatherResult::Done& done : result.done) {
    if (!is_expected(done.part))
      continue;
    Part& part = parts_[done.part];
    part.is_delegated = false;
    if (!is_wanted) {
      handle_failure(done.part, ErrorCode::silent, true, now);
      if (!is_open())
        return;
      continue;
    }
    --part.attempts_active;
    record_relative_cost(part, took);
    part.is_done = true;
    ++done_;
    part.seal = std::move(done.seal);
  }
  for (const GatherResult::Failed& failed : result.failed) {
    if (!is_expected(failed.part))
      continue;
    parts_[failed.part].is_delegated = false;
    const auto kind = failed.kind == static_cast<std::uint64_t>(ErrorCode::turned_away)
                          ? ErrorCode::turned_away
                          : ErrorCode::broke_off;
    handle_failure(failed.part, kind, failed.may_have_run, now);
    if (!is_open())
      return;
  }
  evaluate(now);
}

}  // namespace saddlewing
