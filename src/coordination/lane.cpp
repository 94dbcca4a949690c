#include "coordination/lane.h"

#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t most_names = 256;  // prepared on one connection; beyond, it is cleared
constexpr std::size_t most_rows = 4 << 20;

}  // namespace

void Lane::open(std::unique_ptr<LaneLink> link, Moment now) {
  link_ = std::move(link);
  asked_ = now;
  expected_.push_back({Awaited::connect, {}, {}});
  if (!link_->send(wire(WireKind::connect, {backend_->service, "saddlewing", backend_->id})))
    fail(Verdict::unknown);
}

int Lane::distance(const Values& values) const {
  int count = 0;
  for (const auto& [name, value] : values_)
    if (!values.contains(name))
      return 1000 + static_cast<int>(values.size());
  for (const auto& [name, value] : values) {
    const auto found = values_.find(name);
    count += found == values_.end() || found->second != value;
  }
  return count;
}

void Lane::expect(Awaited what, const std::string& text, std::string first, std::string second) {
  out_ += wire_ask("-", text);
  expected_.push_back({what, std::move(first), std::move(second)});
}

bool Lane::prepare(const Values& values, const Prepared* name, const std::string& begin,
                   Moment now) {
  prepared_ = Verdict::none;
  asked_ = now;
  const bool must_clear = distance(values) >= 1000 ||
                          (name && names_.size() >= most_names && !names_.contains(name->key));
  if (must_clear)
    expect(Awaited::clear, "CLEAR");
  for (const auto& [key, value] : values) {
    const auto found = values_.find(key);
    if (must_clear || found == values_.end() || found->second != value)
      expect(Awaited::set, "SET " + key + " " + value, key, value);
  }
  if (name && (must_clear || !names_.contains(name->key)))
    expect(Awaited::name, name->text, name->key);
  if (!begin.empty())
    expect(Awaited::begin, begin);
  if (expected_.empty())
    return true;
  state_ = State::preparing;
  const std::string bytes = std::exchange(out_, {});
  if (!link_->send(bytes))
    fail(Verdict::unknown);
  return false;
}

void Lane::ask(const std::string& bytes, Moment now) {
  state_ = State::asking;
  asked_ = now;
  outcome_ = {};
  expected_.push_back({Awaited::ask, {}, {}});
  if (!link_->send(bytes))
    fail(Verdict::unknown);
}

void Lane::release(Moment now) {
  user_ = nullptr;
  if (state_ == State::broken)
    return;
  if (expected_.empty() && wire_state_ == 'I') {
    state_ = State::resting;
    return keeper_.on_lane_ready(*this);
  }
  state_ = State::ending;
  asked_ = now;
  if (!expected_.empty())
    return;  // what was asked is waited for, then undone
  expect(Awaited::undo, "UNDO");
  const std::string bytes = std::exchange(out_, {});
  if (!link_->send(bytes))
    fail(Verdict::unknown);
}

void Lane::close(Verdict why) {
  user_ = nullptr;
  fail(why);
}

void Lane::fail(Verdict why) {
  if (state_ == State::broken)
    return;
  state_ = State::broken;
  if (link_)
    link_->close();
  expected_.clear();
  LaneUser* user = std::exchange(user_, nullptr);
  keeper_.on_lane_broken(*this, why);
  if (user)
    user->on_broken(*this);
}

void Lane::take_message(WireMessage&& message, Moment now) {
  if (state_ == State::broken)
    return;
  if (expected_.empty())
    return fail(Verdict::garbled);  // nobody asked
  switch (message.kind) {
    case WireKind::row:
      if (has_ended_)
        return fail(Verdict::garbled);
      outcome_.rows += wire(WireKind::row, {message.field(0)});
      if (outcome_.rows.size() > most_rows)
        fail(Verdict::garbled);
      return;
    case WireKind::done:
      if (std::exchange(has_ended_, true))
        return fail(Verdict::garbled);
      outcome_.text = message.field(0);
      return;
    case WireKind::error:
      if (std::exchange(has_ended_, true))
        return fail(Verdict::garbled);
      outcome_.verdict = verdict_of(message.field(0));
      if (outcome_.verdict == Verdict::none)
        outcome_.verdict = Verdict::unknown;
      outcome_.text = message.field(1);
      if (expected_.front().what == Awaited::connect)
        return fail(outcome_.verdict);
      return;
    case WireKind::ready:
      break;
    default:
      return fail(Verdict::garbled);
  }
  // Only the greeting is answered by READY alone: another one is a surplus answer's.
  if (!std::exchange(has_ended_, false) && expected_.front().what != Awaited::connect)
    return fail(Verdict::garbled);
  const std::string& state = message.field(0);
  if (state != "I" && state != "T" && state != "E")
    return fail(Verdict::garbled);
  wire_state_ = outcome_.state = state[0];
  outcome_.place = message.field(1);
  LogPlace place;
  if (read_place(outcome_.place, place))
    keeper_.on_place(*backend_, place, asked_);
  Expected expected = std::move(expected_.front());
  expected_.pop_front();
  finish(std::move(expected), now);
}

void Lane::finish(Expected expected, Moment now) {
  if (expected.what == Awaited::ask)
    return finish_ask(now);
  const Verdict verdict = outcome_.verdict;
  outcome_ = {};
  if (verdict != Verdict::none) {
    if (prepared_ == Verdict::none)
      prepared_ = verdict;
  } else {
    if (expected.what == Awaited::clear)
      values_.clear(), names_.clear();
    if (expected.what == Awaited::set)
      values_[expected.first] = expected.second;
    if (expected.what == Awaited::name)
      names_.insert(expected.first);
  }
  if (!expected_.empty())
    return;
  keeper_.on_answer(*backend_, verdict == Verdict::none || is_not_run(verdict));
  if (state_ == State::ending) {
    if (expected.what == Awaited::undo && (verdict != Verdict::none || wire_state_ != 'I'))
      return fail(Verdict::garbled);
    return release(now);
  }
  if (state_ == State::greeting) {
    if (wire_state_ != 'I')
      return fail(Verdict::garbled);
    state_ = State::resting;
    return keeper_.on_lane_ready(*this);
  }
  if (state_ != State::preparing)
    return;
  state_ = State::held;
  if (user_)
    user_->on_prepared(*this, prepared_);
}

void Lane::finish_ask(Moment now) {
  LaneOutcome outcome = std::exchange(outcome_, {});
  keeper_.on_answer(*backend_, outcome.verdict == Verdict::none || is_not_run(outcome.verdict));
  if (outcome.verdict == Verdict::no_such)
    names_.clear();  // it knows less than it acknowledged
  if (state_ == State::ending || !user_) {
    state_ = State::ending;
    return release(now);
  }
  state_ = State::held;
  user_->on_outcome(*this, std::move(outcome));
}

}  // namespace saddlewing
