// How a session's statements and transactions end: failures, time-outs, and the client's leaving.
#include <algorithm>
#include <utility>

#include "coordination/databases/database_session.h"
#include "coordination/routing/ended_input.h"
#include "state/metrics.h"

namespace saddlewing {

// The statement may have run and its outcome is not known.
void Session::handle_lost_response(TimePoint now) {
  if (is_write_)
    return finish_failed(StatementError::unknown, "the outcome was lost", now);
  if (!has_transaction_ && may_try_again(now) && now < deadline_)
    return proceed(now);
  finish_failed(StatementError::rolled_back, "the outcome was lost",
                now);  // reads keep nothing, and what was not saved is rolled back
}

void Session::release_connection(TimePoint now) {
  if (state_ == State::seeking)
    context_.pool().stop_seeking(*this);
  if (DatabaseConnection* connection = std::exchange(connection_, nullptr))
    connection->release(now);
}

void Session::finish_failed(StatementError error, const std::string& text, TimePoint now) {
  if (error == StatementError::unknown)
    metrics().add(Metric::unknown_responses);
  context_.stop_waiting(*this);
  release_connection(now);
  const bool is_over = !has_transaction_ || verb_ == StatementVerb::commit;
  if (is_over)
    has_transaction_ = false;
  state_ = is_over ? State::idle : State::failed;
  set_rest_deadline(now);
  send_error(error, text, is_over ? 'I' : 'E');
}

void Session::end_transaction(TimePoint now) {
  release_connection(now);
  has_transaction_ = is_rolled_back_ = false;
  state_ = State::idle;
  set_rest_deadline(now);
}

// Between statements only a resting transaction has a moment to end at.
void Session::set_rest_deadline(TimePoint now) {
  context_.set_due(
      *this, has_transaction_ && state_ == State::resting ? now + max_rest_ : TimePoint::max());
}

void Session::on_due(TimePoint now) {
  if (state_ == State::resting) {
    release_connection(now);
    is_rolled_back_ = true;
    return;
  }
  if (!is_busy())
    return;
  if (state_ == State::attempting && now < work_until_)
    return context_.set_due(*this, work_until_);  // it was begun in time
  if (state_ == State::attempting) {
    // Given up early, it says nothing about the database.
    const StatementError why = now < deadline_ ? StatementError::none : StatementError::timeout;
    if (DatabaseConnection* connection = std::exchange(connection_, nullptr))
      connection->close(why);
    if (is_write_)
      return finish_failed(StatementError::unknown, "no outcome in time", now);
    return finish_failed(has_transaction_ ? StatementError::rolled_back : StatementError::timeout,
                         "no outcome in time", now);
  }
  if (state_ == State::preparing)
    if (DatabaseConnection* connection = std::exchange(connection_, nullptr))
      connection->close();
  finish_failed(has_transaction_ ? StatementError::rolled_back : StatementError::busy,
                "not begun in time", now);
}

void Session::end_input(TimePoint now) {
  has_input_ended_ = true;
  if (is_busy())
    limit_work_after_input(now);
}

void Session::limit_work_after_input(TimePoint now) {
  begin_until_ = std::min(deadline_, now + max_begin_after_input_end);
  work_until_ = is_write_ ? deadline_ : std::min(deadline_, now + max_work_after_input_end);
  context_.set_due(*this, begin_until_);
}

void Session::handle_client_left(TimePoint now) {
  if (state_ == State::closing)
    return;
  context_.stop_waiting(*this);
  context_.set_due(*this, TimePoint::max());
  release_connection(now);
  state_ = State::closing;
}

}  // namespace saddlewing
