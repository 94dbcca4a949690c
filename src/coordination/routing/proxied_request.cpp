#include "coordination/routing/proxied_request.h"

#include <algorithm>
#include <cmath>

#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration way_back{15};  // kept for the answer's way to the client
constexpr Duration answer_way{
    10};  // the same for an answer with parts left out, which misses its aim at worst
constexpr int further_from =
    45;  // per cent of the aim: parts that come a little late need no second asking
constexpr Duration hold_step{5};  // while every connection allowed is in use
constexpr int max_missed = 4;     // askings that reached nobody, per part

bool is_promise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

ProxiedRequest::ProxiedRequest(Ground& ground, TableSnapshot table, const Route& route,
                               TimePoint began, Duration time_left)
    : ground_(ground),
      table_(std::move(table)),
      route_(route),
      began_(began),
      deadline_(began + std::max(Duration(1), std::min(time_left, route.give_up) - way_back)),
      prompt_(
          std::min(began + std::max(route.target - answer_way, route.target / 2), deadline_ - 1ms)),
      due_(deadline_),
      best_(static_cast<std::size_t>(std::max(1, route.best_count))) {
}

void ProxiedRequest::start(TimePoint now) {
  begin(nullptr, now);
}
void ProxiedRequest::start_again(const ProxiedRequest& before, TimePoint now) {
  begin(&before, now);
}

void ProxiedRequest::begin(const ProxiedRequest* before, TimePoint now) {
  if (is_gathering()) {
    for (const ServiceIndex shard : route_.shards)
      parts_.emplace_back().service = shard;
  } else {
    double left = ground_.draw() * route_.weight_sum;
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
    RetryBudget& budget = ground_.budget(name);
    if (before)
      budget.count_extra(now);
    else
      budget.count_request(now);
    if (!before)
      continue;
    for (const Part& earlier : before->parts_)  // of a gathering the tries are each shard's own
      if (!is_gathering() ||
          before->table_->configuration->services[earlier.service.value].name == name)
        part.before += earlier.before + earlier.sent - earlier.refused;
  }
  // A shard without any backend decides the outcome before anything runs.
  std::size_t empty = 0;
  for (const Part& part : parts_) {
    const auto& backends = table_->by_service[part.service.value];
    empty += std::none_of(backends.begin(), backends.end(), [](const BackendPointer& backend) {
      return !backend->is_cancelled &&
             (backend->status == EndpointStatus::up || backend->status == EndpointStatus::starting);
    });
  }
  const double share = 1 - static_cast<double>(empty) / static_cast<double>(parts_.size());
  if (empty == parts_.size() || (is_gathering() && share < route_.min_parts_share)) {
    worst_ = ErrorCode::nobody_up;
    return finish_failed(now);
  }
  state_ = State::attempting;
  if (is_gathering())
    start_delegation(now);
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    if (!parts_[index].is_delegated)
      ask(index, false, now);
  if (is_open())
    consider(now);
}

bool ProxiedRequest::may_restart(std::size_t turned_away, TimePoint now) {
  if (!is_open() || now >= deadline_ - way_back)
    return false;
  const bool is_at_work =
      std::any_of(parts_.begin(), parts_.end(), [](const Part& part) { return part.active > 1; });
  if (!route_.is_harmless && (has_run_ || is_at_work))
    return false;  // the asking that was turned away is still counted as active
  const double reserve = ground_.reserve(now);
  return std::all_of(parts_.begin(), parts_.end(), [&](const Part& part) {
    const int may_have_run =
        part.before + part.sent - part.refused - (&part == &parts_[turned_away]);
    return may_have_run < route_.tries &&
           ground_.budget(table_->configuration->services[part.service.value].name)
               .allows_extra(now, reserve);
  });
}

bool ProxiedRequest::may_ask_again(const Part& part) const {
  return !part.is_done && !part.is_failed && part.before + part.sent < route_.tries &&
         part.missed < max_missed;
}

void ProxiedRequest::ask(std::size_t index, bool is_further, TimePoint now) {
  Part& part = parts_[index];
  const auto& service = table_->configuration->services[part.service.value];
  const bool is_extra = part.sent > 0;
  if (is_extra && !ground_.budget(service.name).allows_extra(now, ground_.reserve(now))) {
    if (!part.active)
      fail_part(part, worst_ == ErrorCode::none ? ErrorCode::turned_away : worst_, now);
    return;
  }
  const auto& backends = table_->by_service[part.service.value];
  const PickConstraints wish = ground_.wish(*this, service.name, now);
  PickResult picked = ground_.pick(backends, part.tried, service.max_connections, now, wish);
  if (!picked.backend && !picked.is_full && !is_further && !part.tried.empty() && !part.active)
    picked = ground_.pick(backends, {}, service.max_connections, now,
                          wish);  // nobody else is left: the same once more
  if (!picked.backend) {
    if (is_further || part.active)
      return;
    if (!picked.is_full)
      return fail_part(part, ErrorCode::nobody_up, now);
    if (!is_gathering() && now - began_ > route_.target / 4)
      return fail_part(part, ErrorCode::overloaded, now);
    part.asked = {};
    state_ = State::holding;
    return;
  }
  part.tried.push_back(picked.backend);
  if (!ground_.ask(*this, index, *picked.backend, now)) {
    ++part.missed;
    if (!is_further && may_ask_again(part))
      ask(index, false, now);
    else if (!part.active)
      fail_part(part, ErrorCode::refused_connection, now);
    return;
  }
  if (is_extra) {
    ground_.budget(service.name).count_extra(now);
    metrics().add(Metric::further_attempts);
  }
  ++part.sent;
  ++part.active;
  part.asked = now;
  part.base_ms = picked.backend->min_ms;
  part.span_ms = picked.backend->mean_ms - picked.backend->min_ms;
}

void ProxiedRequest::fail_part(Part& part, ErrorCode kind, TimePoint) {
  if (part.is_failed || part.is_done)
    return;
  part.is_failed = true;
  ++failed_;
  if (worst_ == ErrorCode::none || status_of(worst_).status == 503)
    worst_ = kind;
}

void ProxiedRequest::handle_response(std::size_t index, BackendResponse outcome, Duration took,
                                     TimePoint now) {
  if (!is_open())
    return;
  Part& part = parts_[index];
  --part.active;
  if (part.is_done || part.is_failed)
    return;
  const bool is_success = outcome.status >= 200 && outcome.status < 300 && !outcome.is_not_run;
  if (!outcome.is_not_run)
    has_run_ = true;
  else
    ++part.refused;
  if (is_success) {
    ground_.pace(route_).see(static_cast<double>(took.count()));
    weigh(part, took);
    part.is_done = true;
    ++done_;
    if (!is_gathering())
      return finish({ErrorCode::none, outcome.status, std::move(outcome.reason),
                     std::move(outcome.fields), std::move(outcome.body), Duration(0)},
                    now);
    part.seal = std::move(outcome.seal);
    best_.add(outcome.body);
    return consider(now);
  }
  // Passed on, its status would promise the client that it has not run and never will.
  if (!route_.is_harmless && !outcome.is_not_run && is_promise(outcome.status)) {
    fail_part(part, ErrorCode::broke_off, now);
    return consider(now);
  }
  if (!is_gathering() && !outcome.is_not_run) {
    // A client's own mistake (4xx) is the same everywhere; only a backend's failure is worth
    // another.
    if (outcome.status < 500 || !route_.is_harmless)
      return finish({ErrorCode::none, outcome.status, std::move(outcome.reason),
                     std::move(outcome.fields), std::move(outcome.body), Duration(0)},
                    now);
    last_ = std::make_unique<BackendResponse>(std::move(outcome));
  }
  if (!part.active) {
    if (may_ask_again(part))
      ask(index, false, now);
    else
      fail_part(part, outcome.is_not_run ? ErrorCode::turned_away : ErrorCode::garbled, now);
  }
  if (is_open())
    consider(now);
}

void ProxiedRequest::handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                                    TimePoint now) {
  if (!is_open())
    return;
  Part& part = parts_[index];
  --part.active;
  if (may_have_run)
    has_run_ = true;
  else
    --part.sent, ++part.missed;
  if (part.is_done || part.is_failed)
    return;
  if (may_have_run && !route_.is_harmless)
    fail_part(part, kind, now);
  else if (!part.active) {
    if (may_ask_again(part))
      ask(index, false, now);
    else
      fail_part(part, kind, now);
  }
  if (is_open())
    consider(now);
}

// After how long without an outcome a second backend is asked, going by the rule's parts at large.
Duration ProxiedRequest::further_delay() const {
  const LatencyEstimate& pace = ground_.pace(route_);
  if (pace.mean_ms == 0)
    return std::max(route_.target / 2, Duration(20));
  const Duration usual(static_cast<std::int64_t>(std::ceil(pace.mean_ms + 4 * pace.deviation_ms)));
  return std::clamp(usual, Duration(20), std::max(route_.target / 2, Duration(20)));
}

// A request that is heavy for one shard is heavy for all: going by the parts that are in.
Duration ProxiedRequest::further_delay(const Part& part) const {
  if (!weighed_ || part.span_ms <= 0)
    return further_delay();
  const double weight = std::max(1.0, weight_sum_ / static_cast<double>(weighed_));
  const Duration usual(
      static_cast<std::int64_t>(std::ceil(part.base_ms + part.span_ms * weight * 1.6 + 12)));
  return std::clamp(usual, std::max(route_.target * further_from / 100, Duration(20)),
                    std::max(route_.target, Duration(20)));
}

void ProxiedRequest::weigh(const Part& part, Duration took) {
  if (part.span_ms <= 0)
    return;
  weight_sum_ +=
      std::clamp((static_cast<double>(took.count()) - part.base_ms) / part.span_ms, 0.2, 8.0);
  ++weighed_;
}

void ProxiedRequest::on_due(TimePoint now) {
  if (!is_open())
    return;
  if (now >= deadline_) {
    if (worst_ == ErrorCode::none || status_of(worst_).status == 503)
      worst_ = has_run_ || done_ || state_ != State::holding ? ErrorCode::deadline_reached
                                                             : ErrorCode::overloaded;
    if (is_gathering() &&
        static_cast<double>(done_) >= route_.min_parts_share * static_cast<double>(parts_.size()) &&
        done_)
      return finish_gathered(now);
    return finish_failed(now);
  }
  if (state_ == State::holding)
    state_ = State::attempting;
  if (is_delegation_awaited_)
    give_up_delegation(now);
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index) {
    Part& part = parts_[index];
    if (part.is_done || part.is_failed || (part.is_delegated && is_delegation_awaited_))
      continue;
    if (!part.active)
      ask(index, false, now);
    else if (route_.is_harmless && part.active == 1 && now - part.asked >= further_delay(part) &&
             may_ask_again(part))
      ask(index, true, now);
  }
  if (is_open())
    consider(now);
}

void ProxiedRequest::on_turn(TimePoint now) {
  is_waiting_turn_ = false;
  if (!is_open() || now >= deadline_)
    return;
  if (state_ == State::holding)
    state_ = State::attempting;
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    if (Part& part = parts_[index]; !part.is_done && !part.is_failed && !part.active)
      ask(index, false, now);
  if (is_open())
    consider(now);
}

// Decides whether the outcome is there, can still come, or is lost.
void ProxiedRequest::consider(TimePoint now) {
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
    if (done_ + failed_ == total || (now >= prompt_ && is_enough(done_)))
      return finish_gathered(now);
  }
  plan(now);
}

void ProxiedRequest::plan(TimePoint now) {
  due_ = deadline_;
  if (is_gathering() && now < prompt_)
    due_ = prompt_;
  for (const Part& part : parts_) {
    if (part.is_done || part.is_failed)
      continue;
    if (!part.active && (is_waiting_turn_ || (is_waiting_turn_ = ground_.wait_turn(*this, now))))
      continue;
    if (!part.active)
      due_ = std::min(due_, now + hold_step);
    else if (route_.is_harmless && part.active == 1 && may_ask_again(part))
      if (const TimePoint further = part.asked + further_delay(part); further > now)
        due_ = std::min(due_, further);
  }
}

void ProxiedRequest::finish_gathered(TimePoint now) {
  std::string seals;
  for (const Part& part : parts_)
    if (part.is_done)
      (seals += seals.empty() ? "" : ", ") += part.seal;
  FinalAnswer answer;
  if (done_ < parts_.size())
    metrics().add(Metric::answers_partial);
  answer.fields = "Part-Seals: " + seals +
                  "\r\nParts-Missing: " + std::to_string(parts_.size() - done_) + "\r\n";
  answer.body = best_.take();
  finish(std::move(answer), now);
}

void ProxiedRequest::finish_failed(TimePoint now) {
  if (last_)
    return finish({ErrorCode::none, last_->status, std::move(last_->reason),
                   std::move(last_->fields), std::move(last_->body), Duration(0)},
                  now);
  FinalAnswer answer;
  answer.kind = worst_;
  // 503 promises that nothing ran and nothing will: an asking still at work forbids it.
  const bool is_at_work =
      std::any_of(parts_.begin(), parts_.end(), [](const Part& part) { return part.active > 0; });
  if (status_of(worst_).status == 503 && (has_run_ || is_at_work || done_))
    answer.kind = is_at_work ? ErrorCode::deadline_reached : ErrorCode::broke_off;
  if (status_of(answer.kind).status == 503)
    answer.retry_after = Duration(300);
  finish(std::move(answer), now);
}

void ProxiedRequest::finish(FinalAnswer answer, TimePoint now) {
  state_ = State::answering;
  ground_.answer(*this, std::move(answer), now);
  state_ = State::closed;
}

}  // namespace saddlewing
