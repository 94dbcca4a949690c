#include "coordination/routing/proxied_request.h"

#include <algorithm>
#include <cmath>

#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration response_margin{15};  // kept for the answer's way to the client
constexpr Duration partial_response_margin{
    10};  // the same for an answer with parts left out, which misses its aim at worst
constexpr int min_hedge_delay_percent =
    45;  // per cent of the aim: parts that come a little late need no second asking
constexpr Duration queue_poll_interval{5};  // while every connection allowed is in use
constexpr int max_unreached_attempts = 4;   // askings that reached nobody, per part

bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

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

void ProxiedRequest::begin(const ProxiedRequest* predecessor, TimePoint now) {
  if (is_gathering()) {
    for (const ServiceIndex shard : route_.shards)
      parts_.emplace_back().service = shard;
  } else {
    double left = callbacks_.random_fraction() * route_.weight_sum;
    ServiceIndex chosen = route_.shares.back().service;
    for (const Share& share : route_.shares) {
      if (share.weight > 0)
        chosen = share.service;
      if ((left -= share.weight) < 0)
        break;
    }
    parts_.emplace_back().service = chosen_.value_or(chosen);
  }
  for (Part& part : parts_) {
    const std::string& name = table_->configuration->services[part.service.value].name;
    RetryBudget& budget = callbacks_.retry_budget(name);
    if (predecessor)
      budget.record_retry(now);
    else
      budget.record_request(now);
    if (!predecessor)
      continue;
    for (const Part& earlier :
         predecessor->parts_)  // of a gathering the tries are each shard's own
      if (!is_gathering() ||
          predecessor->table_->configuration->services[earlier.service.value].name == name)
        part.attempts_before_restart +=
            earlier.attempts_before_restart + earlier.attempts_sent - earlier.attempts_refused;
  }
  // A shard without any backend decides the outcome before anything runs.
  std::size_t empty = 0;
  for (const Part& part : parts_) {
    const auto& backends = table_->by_service[part.service.value];
    empty += std::none_of(backends.begin(), backends.end(), [](const BackendPointer& backend) {
      return !backend->is_draining &&
             (backend->status == Status::up || backend->status == Status::starting);
    });
  }
  const double share = 1 - static_cast<double>(empty) / static_cast<double>(parts_.size());
  if (empty == parts_.size() || (is_gathering() && share < route_.min_parts_share)) {
    failure_ = ErrorCode::nobody_up;
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

bool ProxiedRequest::may_restart(std::size_t turned_away, TimePoint now) {
  if (!is_open() || now >= deadline_ - response_margin)
    return false;
  const bool is_at_work = std::any_of(parts_.begin(), parts_.end(),
                                      [](const Part& part) { return part.attempts_active > 1; });
  if (!route_.is_harmless && (has_executed_ || is_at_work))
    return false;  // the asking that was turned away is still counted as active
  const double reserve = callbacks_.retry_reserve(now);
  return std::all_of(parts_.begin(), parts_.end(), [&](const Part& part) {
    const int may_have_run = part.attempts_before_restart + part.attempts_sent -
                             part.attempts_refused - (&part == &parts_[turned_away]);
    return may_have_run < route_.tries &&
           callbacks_.retry_budget(table_->configuration->services[part.service.value].name)
               .allows_retry(now, reserve);
  });
}

bool ProxiedRequest::may_retry(const Part& part) const {
  return !part.is_done && !part.is_failed &&
         part.attempts_before_restart + part.attempts_sent < route_.tries &&
         part.attempts_unreached < max_unreached_attempts;
}

void ProxiedRequest::start_attempt(std::size_t index, bool is_hedge, TimePoint now) {
  Part& part = parts_[index];
  const auto& service = table_->configuration->services[part.service.value];
  const bool is_retry = part.attempts_sent > 0;
  if (is_retry &&
      !callbacks_.retry_budget(service.name).allows_retry(now, callbacks_.retry_reserve(now))) {
    if (!part.attempts_active)
      fail_part(part, failure_ == ErrorCode::none ? ErrorCode::turned_away : failure_, now);
    return;
  }
  const auto& backends = table_->by_service[part.service.value];
  const PickConstraints constraints = callbacks_.pick_constraints(*this, service.name, now);
  PickResult picked =
      callbacks_.pick(backends, part.tried, service.max_connections, now, constraints);
  if (!picked.backend && !picked.is_full && !is_hedge && !part.tried.empty() &&
      !part.attempts_active)
    picked = callbacks_.pick(backends, {}, service.max_connections, now,
                             constraints);  // nobody else is left: the same once more
  if (!picked.backend) {
    if (is_hedge || part.attempts_active)
      return;
    if (!picked.is_full)
      return fail_part(part, ErrorCode::nobody_up, now);
    if (!is_gathering() && now - began_ > route_.target / 4)
      return fail_part(part, ErrorCode::overloaded, now);
    part.attempted_at = {};
    state_ = State::queued;
    return;
  }
  part.tried.push_back(picked.backend);
  if (!callbacks_.send_attempt(*this, index, *picked.backend, now)) {
    ++part.attempts_unreached;
    if (!is_hedge && may_retry(part))
      start_attempt(index, false, now);
    else if (!part.attempts_active)
      fail_part(part, ErrorCode::refused_connection, now);
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

void ProxiedRequest::fail_part(Part& part, ErrorCode kind, TimePoint) {
  if (part.is_failed || part.is_done)
    return;
  part.is_failed = true;
  ++failed_;
  if (failure_ == ErrorCode::none || status_of(failure_).status == 503)
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
  const bool is_success = response.status >= 200 && response.status < 300 && !is_not_run;
  if (!is_not_run)
    has_executed_ = true;
  else
    ++part.attempts_refused;
  if (is_success) {
    callbacks_.latency_estimate(route_).record(static_cast<double>(took.count()));
    record_relative_cost(part, took);
    part.is_done = true;
    ++done_;
    if (!is_gathering())
      return finish({ErrorCode::none, response.status, std::move(response.reason),
                     std::move(response.fields), std::move(response.body), Duration(0)},
                    now);
    part.seal = std::move(response.seal);
    top_records_.add(response.body);
    return evaluate(now);
  }
  // Passed on, its status would promise the client that it has not run and never will.
  if (!route_.is_harmless && !response.is_not_run && promises_not_run(response.status)) {
    fail_part(part, ErrorCode::broke_off, now);
    return evaluate(now);
  }
  if (!is_gathering() && !response.is_not_run) {
    // A client's own mistake (4xx) is the same everywhere; only a backend's failure is worth
    // another.
    if (response.status < 500 || !route_.is_harmless)
      return finish({ErrorCode::none, response.status, std::move(response.reason),
                     std::move(response.fields), std::move(response.body), Duration(0)},
                    now);
    last_failed_response_ = std::make_unique<BackendResponse>(std::move(response));
  }
  if (!part.attempts_active) {
    if (may_retry(part))
      start_attempt(index, false, now);
    else
      fail_part(part, is_not_run ? ErrorCode::turned_away : ErrorCode::garbled, now);
  }
  if (is_open())
    evaluate(now);
}

void ProxiedRequest::handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                                    TimePoint now) {
  if (!is_open())
    return;
  Part& part = parts_[index];
  --part.attempts_active;
  if (may_have_run)
    has_executed_ = true;
  else {
    --part.attempts_sent;
    ++part.attempts_unreached;
  }
  if (part.is_done || part.is_failed)
    return;
  if (may_have_run && !route_.is_harmless)
    fail_part(part, kind, now);
  else if (!part.attempts_active) {
    if (may_retry(part))
      start_attempt(index, false, now);
    else
      fail_part(part, kind, now);
  }
  if (is_open())
    evaluate(now);
}

// After how long without an outcome a second backend is asked, going by the rule's parts at large.
Duration ProxiedRequest::hedge_delay() const {
  const LatencyEstimate& pace = callbacks_.latency_estimate(route_);
  if (pace.mean_ms == 0)
    return std::max(route_.target / 2, Duration(20));
  const Duration usual(static_cast<std::int64_t>(std::ceil(pace.mean_ms + 4 * pace.deviation_ms)));
  return std::clamp(usual, Duration(20), std::max(route_.target / 2, Duration(20)));
}

// A request that is heavy for one shard is heavy for all: going by the parts that are in.
Duration ProxiedRequest::hedge_delay(const Part& part) const {
  if (!relative_cost_count_ || part.extra_expected_ms <= 0)
    return hedge_delay();
  const double weight =
      std::max(1.0, relative_cost_sum_ / static_cast<double>(relative_cost_count_));
  const Duration usual(static_cast<std::int64_t>(
      std::ceil(part.min_expected_ms + part.extra_expected_ms * weight * 1.6 + 12)));
  return std::clamp(usual, std::max(route_.target * min_hedge_delay_percent / 100, Duration(20)),
                    std::max(route_.target, Duration(20)));
}

void ProxiedRequest::record_relative_cost(const Part& part, Duration took) {
  if (part.extra_expected_ms <= 0)
    return;
  relative_cost_sum_ += std::clamp(
      (static_cast<double>(took.count()) - part.min_expected_ms) / part.extra_expected_ms, 0.2,
      8.0);
  ++relative_cost_count_;
}

void ProxiedRequest::on_due(TimePoint now) {
  if (!is_open())
    return;
  if (now >= deadline_) {
    if (failure_ == ErrorCode::none || status_of(failure_).status == 503)
      failure_ = has_executed_ || done_ || state_ != State::queued ? ErrorCode::deadline_reached
                                                                   : ErrorCode::overloaded;
    if (is_gathering() &&
        static_cast<double>(done_) >= route_.min_parts_share * static_cast<double>(parts_.size()) &&
        done_)
      return finish_gathered(now);
    return finish_failed(now);
  }
  if (state_ == State::queued)
    state_ = State::attempting;
  if (is_delegation_awaited_)
    give_up_delegation(now);
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index) {
    Part& part = parts_[index];
    if (part.is_done || part.is_failed || (part.is_delegated && is_delegation_awaited_))
      continue;
    if (!part.attempts_active)
      start_attempt(index, false, now);
    else if (route_.is_harmless && part.attempts_active == 1 &&
             now - part.attempted_at >= hedge_delay(part) && may_retry(part))
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

// Decides whether the outcome is there, can still come, or is lost.
void ProxiedRequest::evaluate(TimePoint now) {
  if (state_ == State::attempting)
    state_ = State::gathering;
  const std::size_t total = parts_.size();
  if (done_ == total)
    return finish_gathered(now);
  const auto is_enough = [&](std::size_t count) {
    return count > 0 &&
           static_cast<double>(count) >= route_.min_parts_share * static_cast<double>(total) - 1e-9;
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
    if (!part.attempts_active && (is_enqueued_ || (is_enqueued_ = callbacks_.enqueue(*this, now))))
      continue;
    if (!part.attempts_active)
      due_ = std::min(due_, now + queue_poll_interval);
    else if (route_.is_harmless && part.attempts_active == 1 && may_retry(part))
      if (const TimePoint further = part.attempted_at + hedge_delay(part); further > now)
        due_ = std::min(due_, further);
  }
}

void ProxiedRequest::finish_gathered(TimePoint now) {
  std::string seals;
  for (const Part& part : parts_)
    if (part.is_done)
      (seals += seals.empty() ? "" : ", ") += part.seal;
  FinalResponse answer;
  if (done_ < parts_.size())
    metrics().add(Metric::answers_partial);
  answer.fields = "Part-Seals: " + seals +
                  "\r\nParts-Missing: " + std::to_string(parts_.size() - done_) + "\r\n";
  answer.body = top_records_.take();
  finish(std::move(answer), now);
}

void ProxiedRequest::finish_failed(TimePoint now) {
  if (last_failed_response_)
    return finish(
        {ErrorCode::none, last_failed_response_->status, std::move(last_failed_response_->reason),
         std::move(last_failed_response_->fields), std::move(last_failed_response_->body),
         Duration(0)},
        now);
  FinalResponse answer;
  answer.kind = failure_;
  // 503 promises that nothing ran and nothing will: an asking still at work forbids it.
  const bool is_at_work = std::any_of(parts_.begin(), parts_.end(),
                                      [](const Part& part) { return part.attempts_active > 0; });
  if (status_of(failure_).status == 503 && (has_executed_ || is_at_work || done_))
    answer.kind = is_at_work ? ErrorCode::deadline_reached : ErrorCode::broke_off;
  if (status_of(answer.kind).status == 503)
    answer.retry_after = Duration(300);
  finish(std::move(answer), now);
}

void ProxiedRequest::finish(FinalResponse answer, TimePoint now) {
  state_ = State::responding;
  callbacks_.send_response(*this, std::move(answer), now);
  state_ = State::closed;
}

}  // namespace saddlewing
