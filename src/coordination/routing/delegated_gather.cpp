#include "coordination/routing/delegated_gather.h"

namespace saddlewing {

DelegatedGatherWork::DelegatedGatherWork(Ground& ground, std::uint64_t token,
                                         std::vector<Candidates> parts, std::size_t best_count,
                                         Duration flush_after, Duration time_left, TimePoint now)
    : ground_(ground),
      token_(token),
      candidates_(std::move(parts)),
      parts_(candidates_.size()),
      best_count_(best_count),
      began_(now),
      flush_at_(now + std::min(flush_after, time_left)),
      deadline_(now + time_left),
      best_(best_count) {
}

void DelegatedGatherWork::start(TimePoint now) {
  for (std::size_t index = 0; index < parts_.size() && is_open(); ++index)
    ask(index, now);
}

void DelegatedGatherWork::ask(std::size_t index, TimePoint now) {
  Part& part = parts_[index];
  const Candidates& candidates = candidates_[index];
  for (;;) {
    const PickResult picked =
        ground_.pick(candidates.backends, part.tried, candidates.max_connections, now, {});
    if (!picked.backend) {
      next_.failed.push_back({index, static_cast<std::uint64_t>(ErrorCode::nobody_up), false});
      return settle(index, now);
    }
    part.tried.push_back(picked.backend);
    if (ground_.ask(*this, index, *picked.backend, now))
      return;
  }
}

void DelegatedGatherWork::handle_response(std::size_t index, BackendResponse outcome, Duration,
                                          TimePoint now) {
  if (!is_open() || parts_[index].is_settled)
    return;
  const bool is_success = outcome.status >= 200 && outcome.status < 300 && !outcome.is_not_run;
  if (is_success) {
    next_.done.push_back({index, std::move(outcome.seal)});
    best_.add(outcome.body);
  } else {
    next_.failed.push_back({index,
                            static_cast<std::uint64_t>(outcome.is_not_run ? ErrorCode::turned_away
                                                                          : ErrorCode::garbled),
                            true});
  }
  settle(index, now);
}

void DelegatedGatherWork::handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                                         TimePoint now) {
  if (!is_open() || parts_[index].is_settled)
    return;
  if (!may_have_run)
    return ask(index, now);  // nobody was reached, so another one is no further try
  next_.failed.push_back({index, static_cast<std::uint64_t>(kind), true});
  settle(index, now);
}

void DelegatedGatherWork::settle(std::size_t index, TimePoint now) {
  parts_[index].is_settled = true;
  // Parts of one request take about alike, so those that come much later than half of them are
  // stragglers, and do not hold the others back.
  if (!has_flushed_ && settled_ + 1 == (parts_.size() + 1) / 2)
    flush_at_ = std::min(flush_at_, now + (now - began_) * 6 / 10 + 8ms);
  // A frame with nothing in it would only start further askings, so the first part is waited for.
  if (++settled_ == parts_.size() || has_flushed_ || now >= flush_at_)
    flush(now);
}

void DelegatedGatherWork::flush(TimePoint now) {
  has_flushed_ = true;
  is_closed_ = settled_ == parts_.size();
  GatherResult aided = std::move(next_);
  next_ = {};
  aided.token = token_;
  aided.processing_time = static_cast<std::uint64_t>(elapsed(began_, now).count());
  aided.records = best_.take();
  best_ = BestRecords(best_count_);
  ground_.send_gather_result(*this, std::move(aided), now);
}

void DelegatedGatherWork::on_due(TimePoint now) {
  if (!is_open())
    return;
  if (now >= deadline_) {
    is_closed_ = true;
    return;
  }
  if (!has_flushed_ && settled_ && now >= flush_at_)
    flush(now);
}

}  // namespace saddlewing
