#include "coordination/routing/proxied_request.h"

#include <algorithm>

#include "state/invariants.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

// Times are in milliseconds. Kept of the deadline for the response's way to the client.
constexpr Duration response_margin{15};
// The same for a response with parts left out: shorter, as it misses its target at worst.
constexpr Duration partial_response_margin{10};
// How often a queued request looks for a free connection when nobody calls it.
constexpr Duration queue_poll_interval{5};
// Attempts that reached nobody, per part, before it fails.
constexpr int max_unreached_attempts = 4;
// Part of the target after which a single request waits no longer for a free connection.
constexpr int max_queued_divisor = 4;
// Tolerance in comparing a number of parts with a share of them.
constexpr double share_tolerance = 1e-9;

}  // namespace

ProxiedRequest::ProxiedRequest(Callbacks& callbacks, RoutingTableSnapshot table, const Route& route,
                               TimePoint began, Duration time_left)
    : callbacks_(callbacks),
      table_(std::move(table)),
      route_(route),
      began_(began),
      deadline_(began +
                std::max(Duration(1), std::min(time_left, route.give_up) - response_margin)),
      partial_response_at_(
          std::min(began + std::max(route.target - partial_response_margin, route.target / 2),
                   deadline_ - 1ms)),
      due_(deadline_),
      top_records_(static_cast<std::size_t>(std::max(1, route.best_count))) {
}

void ProxiedRequest::start(TimePoint now) {
  begin(nullptr, now);
}
void ProxiedRequest::restart_from(const ProxiedRequest& predecessor, TimePoint now) {
  begin(&predecessor, now);
}

bool ProxiedRequest::may_restart(std::size_t turned_away, TimePoint now) {
  if (!is_open() || now >= deadline_ - response_margin)
    return false;
  const bool is_at_work = std::any_of(parts_.begin(), parts_.end(),
                                      [](const Part& part) { return part.attempts_active > 1; });
  if (!route_.is_harmless && (has_executed_ || is_at_work))
    return false;  // the attempt that was turned away still counts as active
  const double reserve = callbacks_.retry_reserve(now);
  return std::all_of(parts_.begin(), parts_.end(), [&](const Part& part) {
    const int may_have_run = part.attempts_before_restart + part.attempts_sent -
                             part.attempts_refused - (&part == &parts_[turned_away]);
    return may_have_run < route_.tries &&
           callbacks_.retry_budget(service_of(part).name).allows_retry(now, reserve);
  });
}

bool ProxiedRequest::may_retry(const Part& part, TimePoint now) const {
  return !part.is_done && !part.is_failed && now < attempts_until_ &&
         part.attempts_before_restart + part.attempts_sent < route_.tries &&
         part.attempts_unreached < max_unreached_attempts;
}

void ProxiedRequest::start_attempt(std::size_t index, bool is_hedge, TimePoint now) {
  Part& part = parts_[index];
  const Service& service = service_of(part);
  const bool is_retry = part.attempts_sent > 0;
  if (now >= attempts_until_) {
    if (!part.attempts_active)
      fail_part(part, ErrorCode::overloaded, StopReason::input_ended);
    return;
  }
  if (is_retry &&
      !callbacks_.retry_budget(service.name).allows_retry(now, callbacks_.retry_reserve(now))) {
    if (!part.attempts_active)
      fail_part(part, failure_ == ErrorCode::none ? ErrorCode::refused_by_backends : failure_,
                StopReason::retry_budget_empty);
    return;
  }
  const PickResult picked = pick_backend(part, is_hedge, now);
  if (!picked.backend) {
    if (!is_hedge && !part.attempts_active)
      wait_for_backend(part, picked.is_full, now);
    return;
  }
  if (!may_send(part))
    return fail_part(part, ErrorCode::connection_lost, StopReason::may_have_run);
  part.tried.push_back(picked.backend);
  if (!callbacks_.send_attempt(*this, index, *picked.backend, now)) {
    ++part.attempts_unreached;
    if (!is_hedge && may_retry(part, now))
      start_attempt(index, false, now);
    else if (!part.attempts_active)
      fail_part(part, ErrorCode::refused_connection, StopReason::unreachable);
    return;
  }
  if (is_retry) {
    callbacks_.retry_budget(service.name).record_retry(now);
    metrics().add(Metric::further_attempts);
  }
  ++part.attempts_sent;
  ++part.attempts_active;
  part.attempted_at = now;
  part.min_expected_ms = picked.backend->min_ms;
  part.extra_expected_ms = picked.backend->mean_ms - picked.backend->min_ms;
}

bool ProxiedRequest::may_send(const Part& part) const {
  const int may_have_run = part.attempts_before_restart + part.attempts_sent;
  const bool is_within_tries = check_invariant(
      Invariant::attempts_within_tries, may_have_run < std::max(1, route_.tries),
      [&] { return "route " + route_.name + " attempts " + std::to_string(may_have_run); });
  const bool is_single =
      check_invariant(Invariant::unsafe_request_runs_once,
                      route_.is_harmless || (!has_executed_ && !is_at_work()), [&] {
                        return "route " + route_.name + (has_executed_ ? " has run" : "") +
                               (is_at_work() ? " is at work" : "");
                      });
  return is_within_tries && is_single;
}

bool ProxiedRequest::is_at_work() const {
  return std::any_of(parts_.begin(), parts_.end(),
                     [](const Part& part) { return part.attempts_active > 0; });
}

PickResult ProxiedRequest::pick_backend(const Part& part, bool is_hedge, TimePoint now) {
  const Service& service = service_of(part);
  const auto& backends = table_->by_service[part.service.value];
  const PickConstraints constraints = callbacks_.pick_constraints(*this, service.name, now);
  const PickResult picked =
      callbacks_.pick(backends, part.tried, service.max_connections, now, constraints);
  const bool may_repeat = !is_hedge && !part.tried.empty() && !part.attempts_active;
  if (picked.backend || picked.is_full || !may_repeat)
    return picked;
  // No other backend is left: one that was tried may be tried again.
  return callbacks_.pick(backends, {}, service.max_connections, now, constraints);
}

void ProxiedRequest::wait_for_backend(Part& part, bool is_full, TimePoint now) {
  if (!is_full)
    return fail_part(part, ErrorCode::no_backend_up, StopReason::no_backend_left);
  if (!is_gathering() && now - began_ > route_.target / max_queued_divisor)
    return fail_part(part, ErrorCode::overloaded, StopReason::backends_full);
  part.attempted_at = {};
  state_ = State::queued;
}

void ProxiedRequest::fail_part(Part& part, ErrorCode kind, StopReason reason) {
  if (part.is_failed || part.is_done)
    return;
  part.is_failed = true;
  stop_reason_ = reason;
  ++failed_;
  if (failure_ == ErrorCode::none || status_line_of(failure_).status == 503)
    failure_ = kind;
}

void ProxiedRequest::handle_response(std::size_t index, BackendResponse response, Duration took,
                                     TimePoint now) {
  if (!is_open())
    return;
  Part& part = parts_[index];
  --part.attempts_active;
  if (part.is_done || part.is_failed)
    return;
  const bool is_not_run = response.is_not_run;
  if (is_not_run)
    ++part.attempts_refused;
  else
    has_executed_ = true;
  if (response.status >= 200 && response.status < 300 && !is_not_run)
    return handle_success(part, std::move(response), took, now);
  // Passed on, its status would promise the client that it has not run and never will.
  if (!route_.is_harmless && !is_not_run && promises_not_run(response.status)) {
    fail_part(part, ErrorCode::connection_lost, StopReason::may_have_run);
    return evaluate(now);
  }
  if (!is_gathering() && !is_not_run) {
    // A client's own mistake (4xx) is the same everywhere; only a backend's failure is worth a
    // retry.
    if (response.status < 500 || !route_.is_harmless)
      return finish_with(std::move(response), now);
    last_failed_response_ = std::make_unique<BackendResponse>(std::move(response));
  }
  retry_or_fail(index, is_not_run ? ErrorCode::refused_by_backends : ErrorCode::invalid_response,
                now);
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::handle_success(Part& part, BackendResponse response, Duration took,
                                    TimePoint now) {
  callbacks_.latency_estimate(route_).record(static_cast<double>(took.count()));
  record_relative_cost(part, took);
  part.is_done = true;
  ++done_;
  if (!is_gathering())
    return finish_with(std::move(response), now);
  part.seal = std::move(response.seal);
  top_records_.add(response.body);
  evaluate(now);
}

void ProxiedRequest::retry_or_fail(std::size_t index, ErrorCode kind, TimePoint now) {
  Part& part = parts_[index];
  if (part.attempts_active)
    return;
  if (may_retry(part, now))
    start_attempt(index, false, now);
  else
    fail_part(part, kind, reason_without_retry(now));
}

void ProxiedRequest::handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                                    TimePoint now) {
  if (!is_open())
    return;
  Part& part = parts_[index];
  --part.attempts_active;
  if (may_have_run) {
    has_executed_ = true;
  } else {
    --part.attempts_sent;
    ++part.attempts_unreached;
  }
  if (part.is_done || part.is_failed)
    return;
  if (may_have_run && !route_.is_harmless)
    fail_part(part, kind, StopReason::may_have_run);
  else
    retry_or_fail(index, kind, now);
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::on_due(TimePoint now) {
  if (!is_open())
    return;
  if (now >= deadline_)
    return finish_at_deadline(now);
  if (state_ == State::queued)
    state_ = State::attempting;
  if (is_delegation_awaited_ && now < attempts_until_)
    give_up_delegation(now);
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index) {
    Part& part = parts_[index];
    if (part.is_done || part.is_failed || (part.is_delegated && is_delegation_awaited_))
      continue;
    if (!part.attempts_active)
      start_attempt(index, false, now);
    else if (route_.is_harmless && part.attempts_active == 1 &&
             now - part.attempted_at >= hedge_delay(part) && may_retry(part, now))
      start_attempt(index, true, now);
  }
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::on_dequeued(TimePoint now) {
  is_enqueued_ = false;
  if (!is_open() || now >= deadline_)
    return;
  if (state_ == State::queued)
    state_ = State::attempting;
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    if (Part& part = parts_[index]; !part.is_done && !part.is_failed && !part.attempts_active)
      start_attempt(index, false, now);
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::evaluate(TimePoint now) {
  if (state_ == State::attempting)
    state_ = State::gathering;
  const std::size_t total = parts_.size();
  if (done_ == total)
    return finish_gathered(now);
  const auto is_enough = [&](std::size_t count) {
    return count > 0 && static_cast<double>(count) >=
                            route_.min_parts_share * static_cast<double>(total) - share_tolerance;
  };
  if (!is_gathering()) {
    if (failed_)
      return finish_failed(now);
  } else {
    if (!is_enough(total - failed_))
      return finish_failed(now);
    if (done_ + failed_ == total || (now >= partial_response_at_ && is_enough(done_)))
      return finish_gathered(now);
  }
  schedule(now);
}

void ProxiedRequest::schedule(TimePoint now) {
  due_ = deadline_;
  if (is_gathering() && now < partial_response_at_)
    due_ = partial_response_at_;
  for (const Part& part : parts_) {
    if (part.is_done || part.is_failed)
      continue;
    if (!part.attempts_active) {
      if (!is_enqueued_)
        is_enqueued_ = callbacks_.enqueue(*this, now);
      if (!is_enqueued_)
        due_ = std::min(due_, now + queue_poll_interval);
      due_ = std::min(due_, attempts_until_);
    } else if (route_.is_harmless && part.attempts_active == 1 && may_retry(part, now)) {
      const TimePoint hedge_at = part.attempted_at + hedge_delay(part);
      if (hedge_at > now)
        due_ = std::min(due_, hedge_at);
    }
  }
}

}  // namespace saddlewing
