#include "coordination/databases/database_connection.h"
#include "protocol/database_protocol.h"
#include "transport/database_message.h"

#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t max_names = 256;  // prepared on one connection; beyond, it is cleared
constexpr std::size_t max_rows = 4 << 20;

}  // namespace

void DatabaseConnection::open(std::unique_ptr<DatabaseConnectionLink> link, TimePoint now) {
  link_ = std::move(link);
  asked_ = now;
  expected_.push_back({Awaited::connect, {}, {}});
  if (!link_->send(encode_database_message(DatabaseMessageKind::connect,
                                           {backend_->service, "saddlewing", backend_->id})))
    fail(StatementError::unknown);
}

int DatabaseConnection::distance(const Values& values) const {
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

void DatabaseConnection::expect(Awaited what, const std::string& text, std::string first,
                                std::string second) {
  out_ += encode_query("-", text);
  expected_.push_back({what, std::move(first), std::move(second)});
}

bool DatabaseConnection::prepare(const Values& values, const Prepared* name,
                                 const std::string& begin, TimePoint now) {
  prepared_ = StatementError::none;
  asked_ = now;
  const bool must_clear = distance(values) >= 1000 ||
                          (name && names_.size() >= max_names && !names_.contains(name->key));
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
    fail(StatementError::unknown);
  return false;
}

void DatabaseConnection::ask(const std::string& bytes, TimePoint now) {
  state_ = State::attempting;
  asked_ = now;
  result_ = {};
  expected_.push_back({Awaited::ask, {}, {}});
  if (!link_->send(bytes))
    fail(StatementError::unknown);
}

void DatabaseConnection::release(TimePoint now) {
  user_ = nullptr;
  if (state_ == State::broken)
    return;
  if (expected_.empty() && wire_state_ == 'I') {
    state_ = State::resting;
    return owner_.on_connection_ready(*this);
  }
  state_ = State::ending;
  asked_ = now;
  if (!expected_.empty())
    return;  // what was asked is waited for, then undone
  expect(Awaited::undo, "UNDO");
  const std::string bytes = std::exchange(out_, {});
  if (!link_->send(bytes))
    fail(StatementError::unknown);
}

void DatabaseConnection::close(StatementError why) {
  user_ = nullptr;
  fail(why);
}

void DatabaseConnection::fail(StatementError why) {
  if (state_ == State::broken)
    return;
  state_ = State::broken;
  if (link_)
    link_->close();
  expected_.clear();
  ConnectionUser* user = std::exchange(user_, nullptr);
  owner_.on_connection_broken(*this, why);
  if (user)
    user->on_broken(*this);
}

void DatabaseConnection::take_message(DatabaseMessage&& message, TimePoint now) {
  if (state_ == State::broken)
    return;
  if (expected_.empty())
    return fail(StatementError::malformed);  // nobody asked
  switch (message.kind) {
    case DatabaseMessageKind::row:
      if (has_ended_)
        return fail(StatementError::malformed);
      result_.rows += encode_database_message(DatabaseMessageKind::row, {message.field(0)});
      if (result_.rows.size() > max_rows)
        fail(StatementError::malformed);
      return;
    case DatabaseMessageKind::complete:
      if (std::exchange(has_ended_, true))
        return fail(StatementError::malformed);
      result_.text = message.field(0);
      return;
    case DatabaseMessageKind::error:
      if (std::exchange(has_ended_, true))
        return fail(StatementError::malformed);
      result_.error = statement_error_of(message.field(0));
      if (result_.error == StatementError::none)
        result_.error = StatementError::unknown;
      result_.text = message.field(1);
      if (expected_.front().what == Awaited::connect)
        return fail(result_.error);
      return;
    case DatabaseMessageKind::ready:
      break;
    default:
      return fail(StatementError::malformed);
  }
  // Only the greeting is answered by READY alone: another one is a surplus answer's.
  if (!std::exchange(has_ended_, false) && expected_.front().what != Awaited::connect)
    return fail(StatementError::malformed);
  const std::string& state = message.field(0);
  if (state != "I" && state != "T" && state != "E")
    return fail(StatementError::malformed);
  wire_state_ = result_.state = state[0];
  result_.position = message.field(1);
  LogPosition position;
  if (read_log_position(result_.position, position))
    owner_.on_log_position(*backend_, position, asked_);
  Expected expected = std::move(expected_.front());
  expected_.pop_front();
  finish(std::move(expected), now);
}

void DatabaseConnection::finish(const Expected& expected, TimePoint now) {
  if (expected.what == Awaited::ask)
    return finish_ask(now);
  const StatementError error = result_.error;
  result_ = {};
  if (error != StatementError::none) {
    if (prepared_ == StatementError::none)
      prepared_ = error;
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
  owner_.on_answer(*backend_, error == StatementError::none || is_not_run(error));
  if (state_ == State::ending) {
    if (expected.what == Awaited::undo && (error != StatementError::none || wire_state_ != 'I'))
      return fail(StatementError::malformed);
    return release(now);
  }
  if (state_ == State::greeting) {
    if (wire_state_ != 'I')
      return fail(StatementError::malformed);
    state_ = State::resting;
    return owner_.on_connection_ready(*this);
  }
  if (state_ != State::preparing)
    return;
  state_ = State::held;
  if (user_)
    user_->on_prepared(*this, prepared_);
}

void DatabaseConnection::finish_ask(TimePoint now) {
  StatementResult result = std::exchange(result_, {});
  owner_.on_answer(*backend_, result.error == StatementError::none || is_not_run(result.error));
  if (result.error == StatementError::no_such_statement)
    names_.clear();  // it knows less than it acknowledged
  if (state_ == State::ending || !user_) {
    state_ = State::ending;
    return release(now);
  }
  state_ = State::held;
  user_->on_response(*this, std::move(result));
}

}  // namespace saddlewing
