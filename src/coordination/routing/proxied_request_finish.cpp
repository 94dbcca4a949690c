// How a request ends: with what is in, with a failure, at its deadline, or in time for a client
// that has ended its input.
#include <algorithm>
#include <utility>

#include "coordination/routing/ended_input.h"
#include "coordination/routing/proxied_request.h"
#include "state/invariants.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

// What a client is told to wait after a response that promises that nothing ran.
constexpr Duration retry_after{300};

}  // namespace

void ProxiedRequest::end_input(TimePoint ended_at) {
  has_input_ended_ = true;
  attempts_until_ = std::min(attempts_until_, ended_at + max_begin_after_input_end);
  work_until_ = std::min(work_until_, ended_at + max_work_after_input_end);
  due_ = std::min(due_, attempts_until_);
  if (!route_.is_harmless)
    return;
  deadline_ = std::min(deadline_, work_until_);
  partial_response_at_ = std::min(partial_response_at_, deadline_ - 1ms);
}

StopReason ProxiedRequest::reason_without_retry(TimePoint now) const {
  return now >= attempts_until_ ? StopReason::input_ended : StopReason::tries_used;
}

void ProxiedRequest::finish_at_deadline(TimePoint now) {
  if (stop_reason_ == StopReason::none)
    stop_reason_ = deadline_ == work_until_ ? StopReason::input_ended : StopReason::deadline;
  if (failure_ == ErrorCode::none || status_line_of(failure_).status == 503) {
    const bool may_have_run = has_executed_ || done_ > 0 || state_ != State::queued;
    failure_ = may_have_run ? ErrorCode::deadline_reached : ErrorCode::overloaded;
  }
  const double needed_parts = route_.min_parts_share * static_cast<double>(parts_.size());
  if (is_gathering() && done_ > 0 && static_cast<double>(done_) >= needed_parts)
    return finish_gathered(now);
  finish_failed(now);
}

void ProxiedRequest::finish_gathered(TimePoint now) {
  std::string seals;
  for (const Part& part : parts_) {
    if (!part.is_done)
      continue;
    if (!seals.empty())
      seals += ", ";
    seals += part.seal;
  }
  FinalResponse response;
  if (done_ < parts_.size())
    metrics().add(Metric::partial_responses);
  response.fields = "Part-Seals: " + seals +
                    "\r\nParts-Missing: " + std::to_string(parts_.size() - done_) + "\r\n";
  response.body = top_records_.take();
  finish(std::move(response), now);
}

void ProxiedRequest::finish_failed(TimePoint now) {
  if (last_failed_response_)
    return finish_with(std::move(*last_failed_response_), now);
  FinalResponse response;
  response.kind = failure_;
  // 503 promises that nothing ran and nothing will: an attempt under way forbids it.
  if (status_line_of(failure_).status == 503 && (has_executed_ || is_at_work() || done_))
    response.kind = is_at_work() ? ErrorCode::deadline_reached : ErrorCode::connection_lost;
  if (status_line_of(response.kind).status == 503)
    response.retry_after = retry_after;
  finish(std::move(response), now);
}

void ProxiedRequest::finish_with(BackendResponse response, TimePoint now) {
  finish({ErrorCode::none, response.status, std::move(response.reason), std::move(response.fields),
          std::move(response.body), Duration(0)},
         now);
}

void ProxiedRequest::finish(FinalResponse response, TimePoint now) {
  const bool is_first = state_ != State::responding && state_ != State::closed;
  if (!check_invariant(Invariant::one_response_per_request, is_first,
                       [&] { return "route " + route_.name; }))
    return;
  const bool is_own = response.kind != ErrorCode::none;
  const int status = is_own ? status_line_of(response.kind).status : response.status;
  // Of a request that may be repeated a backend's own word is passed on as it is.
  const bool is_promise = promises_not_run(status) && (is_own || !route_.is_harmless);
  if (!check_invariant(Invariant::refusal_means_nothing_ran,
                       !is_promise || (!has_executed_ && !is_at_work() && !done_), [&] {
                         return "route " + route_.name + " status " + std::to_string(status);
                       })) {
    response = {};
    response.kind = ErrorCode::connection_lost;
  }
  state_ = State::responding;
  callbacks_.send_response(*this, std::move(response), now);
  state_ = State::closed;
}

}  // namespace saddlewing
