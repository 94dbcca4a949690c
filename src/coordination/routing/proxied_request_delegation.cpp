// How a request has parts gathered by a broker near their backends.
#include <algorithm>

#include "coordination/routing/proxied_request.h"
#include "protocol/gather_messages.h"

namespace saddlewing {

void ProxiedRequest::start_delegation(TimePoint now) {
  const Callbacks::Delegation delegation = callbacks_.delegate(*this, hedge_delay(), now);
  for (const std::size_t index : delegation.parts) {
    Part& part = parts_[index];
    for (const BackendPointer& backend : table_->by_service[part.service.value])
      if (backend->region == delegation.region)
        part.tried.push_back(backend.get());  // any of them may get the attempt
    part.is_delegated = true;
    is_delegation_awaited_ = true;
    part.attempts_sent = 1;
    part.attempts_active = 1;
    part.attempted_at = now;
    part.min_expected_ms = delegation.min_expected_ms;
    part.extra_expected_ms = delegation.extra_expected_ms;
  }
}

void ProxiedRequest::give_up_delegation(TimePoint now) {
  if (route_.tries < 2)
    return;  // no further attempt is allowed
  const double reserve = callbacks_.retry_reserve(now);
  for (const Part& part : parts_) {
    if (!part.is_delegated)
      continue;
    const Service& service = service_of(part);
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
    fail_delegated_part(index, ErrorCode::no_response, may_have_run, now);
  }
}

void ProxiedRequest::handle_gather_result(GatherResult result, Duration took, TimePoint now) {
  if (!is_open())
    return;
  is_delegation_awaited_ = false;
  // Records of several parts can't be told apart, so a frame counts only if every part in it is
  // still wanted.
  const bool is_wanted = std::all_of(
      result.done.begin(), result.done.end(), [this](const GatherResult::CompletedPart& done) {
        return is_delegated(done.part) && !parts_[done.part].is_done &&
               !parts_[done.part].is_failed;
      });
  if (is_wanted && !result.done.empty()) {
    top_records_.add(result.records);
    has_executed_ = true;
    callbacks_.latency_estimate(route_).record(static_cast<double>(took.count()));
  }
  for (GatherResult::CompletedPart& done : result.done) {
    if (!is_delegated(done.part))
      continue;
    if (is_wanted)
      take_delegated_part(parts_[done.part], std::move(done.checksum), took);
    else
      fail_delegated_part(done.part, ErrorCode::no_response, true, now);
    if (!is_open())
      return;
  }
  for (const GatherResult::FailedPart& failed : result.failed) {
    if (!is_delegated(failed.part))
      continue;
    const bool is_turned_away =
        failed.kind == static_cast<std::uint64_t>(ErrorCode::refused_by_backends);
    const ErrorCode kind =
        is_turned_away ? ErrorCode::refused_by_backends : ErrorCode::connection_lost;
    fail_delegated_part(failed.part, kind, failed.may_have_run, now);
    if (!is_open())
      return;
  }
  evaluate(now);
}

bool ProxiedRequest::is_delegated(std::uint64_t index) const {
  return index < parts_.size() && parts_[index].is_delegated;
}

void ProxiedRequest::take_delegated_part(Part& part, std::string seal, Duration took) {
  part.is_delegated = false;
  --part.attempts_active;
  record_relative_cost(part, took);
  part.is_done = true;
  ++done_;
  part.seal = std::move(seal);
}

void ProxiedRequest::fail_delegated_part(std::size_t index, ErrorCode kind, bool may_have_run,
                                         TimePoint now) {
  parts_[index].is_delegated = false;
  handle_failure(index, kind, may_have_run, now);
}

}  // namespace saddlewing
