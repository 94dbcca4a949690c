#include "coordination/routing/delegated_gather.h"
#include "protocol/gather_messages.h"

#include <algorithm>

namespace saddlewing {
namespace {

// Parts that take this much longer than the first half of them are stragglers: per cent of the time
// that half took, and milliseconds on top.
constexpr int straggler_percent = 60;
constexpr Duration straggler_slack{8};

}  // namespace

DelegatedGatherWork::DelegatedGatherWork(Callbacks& callbacks, std::uint64_t token,
                                         std::vector<Candidates> parts, std::size_t best_count,
                                         Duration flush_after, Duration time_left, TimePoint now)
    : callbacks_(callbacks),
      token_(token),
      candidates_(std::move(parts)),
      parts_(candidates_.size()),
      best_count_(best_count),
      began_(now),
      flush_at_(now + std::min(flush_after, time_left)),
      deadline_(now + time_left),
      top_records_(best_count) {
}

void DelegatedGatherWork::start(TimePoint now) {
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    start_attempt(index, now);
}

void DelegatedGatherWork::start_attempt(std::size_t index, TimePoint now) {
  Part& part = parts_[index];
  const Candidates& candidates = candidates_[index];
  for (;;) {
    const PickResult picked =
        callbacks_.pick(candidates.backends, part.tried, candidates.max_connections, now, {});
    if (!picked.backend)
      return fail_part(index, ErrorCode::no_backend_up, false, now);
    part.tried.push_back(picked.backend);
    if (callbacks_.send_attempt(*this, index, *picked.backend, now))
      return;
  }
}

void DelegatedGatherWork::handle_response(std::size_t index, BackendResponse response, Duration,
                                          TimePoint now) {
  if (!is_open() || parts_[index].is_finished)
    return;
  if (response.is_not_run)
    return fail_part(index, ErrorCode::refused_by_backends, true, now);
  if (response.status < 200 || response.status >= 300)
    return fail_part(index, ErrorCode::invalid_response, true, now);
  pending_result_.done.push_back({index, std::move(response.seal)});
  top_records_.add(response.body);
  finish_part(index, now);
}

void DelegatedGatherWork::handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                                         TimePoint now) {
  if (!is_open() || parts_[index].is_finished)
    return;
  if (may_have_run)
    return fail_part(index, kind, true, now);
  start_attempt(index, now);  // nobody was reached, so another attempt is no retry
}

void DelegatedGatherWork::fail_part(std::size_t index, ErrorCode kind, bool may_have_run,
                                    TimePoint now) {
  pending_result_.failed.push_back({index, static_cast<std::uint64_t>(kind), may_have_run});
  finish_part(index, now);
}

void DelegatedGatherWork::finish_part(std::size_t index, TimePoint now) {
  parts_[index].is_finished = true;
  // Parts of one request take about alike, so those that come much later than half of them are
  // stragglers, and do not hold the others back.
  if (!has_flushed_ && finished_parts_ + 1 == (parts_.size() + 1) / 2)
    flush_at_ =
        std::min(flush_at_, now + (now - began_) * straggler_percent / 100 + straggler_slack);
  ++finished_parts_;
  // An empty frame would only start further attempts, so the first frame waits for a part.
  if (finished_parts_ == parts_.size() || has_flushed_ || now >= flush_at_)
    flush(now);
}

void DelegatedGatherWork::flush(TimePoint now) {
  has_flushed_ = true;
  is_closed_ = finished_parts_ == parts_.size();
  GatherResult result = std::move(pending_result_);
  pending_result_ = {};
  result.token = token_;
  result.processing_time = static_cast<std::uint64_t>(elapsed(began_, now).count());
  result.records = top_records_.take();
  top_records_ = TopRecords(best_count_);
  callbacks_.send_gather_result(*this, std::move(result), now);
}

void DelegatedGatherWork::on_due(TimePoint now) {
  if (!is_open())
    return;
  if (now >= deadline_) {
    is_closed_ = true;
    return;
  }
  if (!has_flushed_ && finished_parts_ > 0 && now >= flush_at_)
    flush(now);
}

}  // namespace saddlewing
