// How an errand has parts gathered by a broker near their backends.
#include <algorithm>

#include "coordination/errand.h"

namespace saddlewing {

void Errand::start_aid(Moment now) {
  const Ground::AidTaken taken = ground_.call_aid(*this, further_delay(), now);
  for (const std::size_t index : taken.parts) {
    Part& part = parts_[index];
    for (const BackendPointer& backend : table_->by_service[part.service.value])
      if (backend->region == taken.region)
        part.tried.push_back(backend.get());  // any of them may be the one asked
    part.is_aided = is_aid_awaited_ = true;
    part.sent = part.active = 1;
    part.asked = now;
    part.base_ms = taken.base_ms;
    part.span_ms = taken.span_ms;
  }
}

// No frame in time: the parts are asked directly, if the allowance covers all of them.
void Errand::give_up_aid(Moment now) {
  if (rule_.tries < 2)
    return;  // nobody else may be asked
  const double reserve = ground_.reserve(now);
  for (const Part& part : parts_) {
    if (!part.is_aided)
      continue;
    const auto& service = table_->configuration->services[part.service.value];
    if (now - part.asked < further_delay(part) ||
        !ground_.budget(service.name).allows_extra(now, reserve))
      return;
  }
  ground_.miss_aid(*this, now);
  lose_aid(true, now);
}

void Errand::lose_aid(bool may_have_run, Moment now) {
  if (!is_open())
    return;
  is_aid_awaited_ = false;
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index) {
    if (!parts_[index].is_aided)
      continue;
    parts_[index].is_aided = false;
    take_breakdown(index, Kind::silent, may_have_run, now);
  }
}

void Errand::take_aided(Aided aided, Span took, Moment now) {
  if (!is_open())
    return;
  is_aid_awaited_ = false;
  const auto is_expected = [&](std::uint64_t index) {
    return index < parts_.size() && parts_[index].is_aided;
  };
  // Records of several parts can't be told apart, so a frame counts only if every part in it is
  // still wanted.
  const bool is_wanted =
      std::all_of(aided.done.begin(), aided.done.end(), [&](const Aided::Done& done) {
        return is_expected(done.part) && !parts_[done.part].is_done && !parts_[done.part].is_failed;
      });
  if (is_wanted && !aided.done.empty()) {
    best_.add(aided.records);
    has_run_ = true;
    ground_.pace(rule_).see(static_cast<double>(took.count()));
  }
  for (Aided::Done& done : aided.done) {
    if (!is_expected(done.part))
      continue;
    Part& part = parts_[done.part];
    part.is_aided = false;
    if (!is_wanted) {
      take_breakdown(done.part, Kind::silent, true, now);
      if (!is_open())
        return;
      continue;
    }
    --part.active;
    weigh(part, took);
    part.is_done = true;
    ++done_;
    part.seal = std::move(done.seal);
  }
  for (const Aided::Failed& failed : aided.failed) {
    if (!is_expected(failed.part))
      continue;
    parts_[failed.part].is_aided = false;
    const auto kind = failed.kind == static_cast<std::uint64_t>(Kind::turned_away)
                          ? Kind::turned_away
                          : Kind::broke_off;
    take_breakdown(failed.part, kind, failed.may_have_run, now);
    if (!is_open())
      return;
  }
  consider(now);
}

}  // namespace saddlewing
