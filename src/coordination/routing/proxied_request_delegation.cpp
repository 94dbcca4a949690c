// How an errand has parts gathered by a broker near their backends.
#include <algorithm>

#include "coordination/routing/proxied_request.h"

namespace saddlewing {

void ProxiedRequest::start_delegation(TimePoint now) {
  const Ground::Delegation taken = ground_.delegate(*this, further_delay(), now);
  for (const std::size_t index : taken.parts) {
    Part& part = parts_[index];
    for (const BackendPointer& backend : table_->by_service[part.service.value])
      if (backend->region == taken.region)
        part.tried.push_back(backend.get());  // any of them may be the one asked
    part.is_delegated = is_delegation_awaited_ = true;
    part.sent = part.active = 1;
    part.asked = now;
    part.base_ms = taken.base_ms;
    part.span_ms = taken.span_ms;
  }
}

// No frame in time: the parts are asked directly, if the allowance covers all of them.
void ProxiedRequest::give_up_delegation(TimePoint now) {
  if (route_.tries < 2)
    return;  // nobody else may be asked
  const double reserve = ground_.reserve(now);
  for (const Part& part : parts_) {
    if (!part.is_delegated)
      continue;
    const auto& service = table_->configuration->services[part.service.value];
    if (now - part.asked < further_delay(part) ||
        !ground_.budget(service.name).allows_extra(now, reserve))
      return;
  }
  ground_.delegation_is_late(*this, now);
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

void ProxiedRequest::handle_gather_result(GatherResult aided, Duration took, TimePoint now) {
  if (!is_open())
    return;
  is_delegation_awaited_ = false;
  const auto is_expected = [&](std::uint64_t index) {
    return index < parts_.size() && parts_[index].is_delegated;
  };
  // Records of several parts can't be told apart, so a frame counts only if every part in it is
  // still wanted.
  const bool is_wanted = std::all_of(
      aided.done.begin(), aided.done.end(), [&](const GatherResult::CompletedPart& done) {
        return is_expected(done.part) && !parts_[done.part].is_done && !parts_[done.part].is_failed;
      });
  if (is_wanted && !aided.done.empty()) {
    best_.add(aided.records);
    has_run_ = true;
    ground_.pace(route_).see(static_cast<double>(took.count()));
  }
  for (GatherResult::CompletedPart& done : aided.done) {
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
    --part.active;
    weigh(part, took);
    part.is_done = true;
    ++done_;
    part.seal = std::move(done.checksum);
  }
  for (const GatherResult::FailedPart& failed : aided.failed) {
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
  consider(now);
}

}  // namespace saddlewing
