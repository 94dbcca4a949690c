#include "coordination/databases/database_session.h"

#include <utility>

#include "protocol/database_protocol.h"
#include "state/metrics.h"
#include "transport/database_message.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_values = 256, max_names = 1024;

// What stands for a client's prepared name on connections shared with others.
std::string digest_of(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char letter : text)
    hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ull;
  static const char digits[] = "0123456789abcdef";
  std::string name = "p";
  for (int shift = 60; shift >= 0; shift -= 4)
    name += digits[hash >> shift & 15];
  return name;
}

}  // namespace

Session::~Session() {
  handle_client_left(Clock::now());
}

void Session::send_completion(const std::string& stamp, char state, const std::string& position,
                              std::string rows) {
  rows += encode_database_message(DatabaseMessageKind::complete, {stamp});
  rows +=
      encode_database_message(DatabaseMessageKind::ready, {std::string_view(&state, 1), position});
  context_.send_to_client(*this, std::move(rows));
}

void Session::send_error(StatementError error, const std::string& text, char state) {
  context_.send_to_client(
      *this,
      encode_database_message(DatabaseMessageKind::error, {name_of(error), text}) +
          encode_database_message(DatabaseMessageKind::ready, {std::string_view(&state, 1), "-"}));
}

void Session::refuse_unreadable(StatementError error) {
  context_.send_to_client(*this, encode_database_message(DatabaseMessageKind::error,
                                                         {name_of(error), "not in the protocol"}));
  handle_client_left(Clock::now());
  context_.close(*this);
}

void Session::handle_connect(DatabaseMessage&& message) {
  if (message.kind != DatabaseMessageKind::connect || message.fields.size() < 2)
    return refuse_unreadable(StatementError::malformed);
  const ConfigurationSnapshot& configuration = context_.configuration();
  const bool is_known = configuration && configuration->match_database(message.field(0));
  if (!is_known) {
    const StatementError error = configuration ? StatementError::no_database : StatementError::busy;
    context_.send_to_client(*this, encode_database_message(DatabaseMessageKind::error,
                                                           {name_of(error), "no such database"}));
    state_ = State::closing;
    return context_.close(*this);
  }
  database_ = message.field(0);
  state_ = State::idle;
  context_.send_to_client(*this, encode_database_message(DatabaseMessageKind::ready, {"I", "-"}));
}

void Session::handle_message(DatabaseMessage&& message, TimePoint now) {
  if (state_ == State::closing)
    return;
  if (message.kind == DatabaseMessageKind::terminate) {
    handle_client_left(now);
    return context_.close(*this);
  }
  if (state_ == State::greeting)
    return handle_connect(std::move(message));
  if (message.kind != DatabaseMessageKind::query || message.fields.size() != 2)
    return refuse_unreadable(StatementError::malformed);
  handle_statement(message.fields[0], message.fields[1], now);
}

void Session::use_route(const Route& route) {
  const Configuration& configuration = *context_.configuration();
  const Service& service = configuration.services[route.shares[0].service.value];
  route_ = route;
  service_ = service.name;
  max_rest_ = configuration.limits.change_rest;
  max_connections_ = context_.max_connections(service);
}

bool Session::handle_locally(const Statement& statement, TimePoint now) {
  const char state = has_transaction_ ? 'T' : 'I';
  switch (statement.verb) {
    case StatementVerb::set:
      if (values_.size() >= max_values && !values_.contains(statement.first))
        return send_error(StatementError::too_long, "too many values", state), true;
      values_[statement.first] = statement.second;
      break;
    case StatementVerb::prepare: {
      if (names_.size() >= max_names && !names_.contains(statement.first))
        return send_error(StatementError::too_long, "too many names", state), true;
      const std::string what = statement.second + " " + statement.rest;
      const std::string key = digest_of(what);
      names_[statement.first] = {key, "NAME " + key + " " + what, statement.second == "WRITE"};
      break;
    }
    case StatementVerb::deallocate:
      names_.erase(statement.first);
      break;
    case StatementVerb::begin:
    case StatementVerb::begin_read_only: {
      if (has_transaction_)
        return send_error(StatementError::malformed, "in a transaction already", state), true;
      const Route* route = context_.configuration()->match_database(database_);
      if (!route)
        return send_error(StatementError::no_database, "no such database any more", 'I'), true;
      has_transaction_ = true;
      is_read_only_ = statement.verb == StatementVerb::begin_read_only;
      has_begun_ = has_asked_ = is_rolled_back_ = false;
      use_route(*route);
      break;
    }
    case StatementVerb::rollback:
      if (!has_transaction_)
        return send_error(StatementError::malformed, "in no transaction", 'I'), true;
      end_transaction(now);
      break;
    default:
      return false;
  }
  state_ = has_transaction_ ? State::resting : State::idle;
  set_rest_deadline(now);
  send_completion("-", has_transaction_ ? 'T' : 'I', "-");
  return true;
}

void Session::handle_statement(const std::string& id, const std::string& text, TimePoint now) {
  const Statement statement = read_statement(text);
  const bool ends_transaction =
      statement.verb == StatementVerb::commit || statement.verb == StatementVerb::rollback;
  if (has_transaction_ && (state_ == State::failed || is_rolled_back_)) {
    if (!ends_transaction) {
      const bool is_first_notice = std::exchange(is_rolled_back_, false);
      state_ = State::failed;
      return send_error(is_first_notice ? StatementError::rolled_back : StatementError::malformed,
                        "the transaction has failed", 'E');
    }
    end_transaction(now);
    if (statement.verb == StatementVerb::rollback)
      return send_completion("-", 'I', "-");
    return send_error(StatementError::rolled_back, "the transaction had failed", 'I');
  }
  if (handle_locally(statement, now))
    return;
  if (statement.verb == StatementVerb::none ||
      (statement.verb == StatementVerb::commit && !has_transaction_))
    return send_error(StatementError::malformed, "not understood", has_transaction_ ? 'T' : 'I');
  start(id, text, statement, now);
}

void Session::start(const std::string& id, const std::string& text, const Statement& statement,
                    TimePoint now) {
  metrics().add(Metric::statements);
  prepared_ = nullptr;
  id_ = id;
  text_ = text;
  verb_ = statement.verb;
  bool writes = verb_ == StatementVerb::write;
  if (verb_ == StatementVerb::execute) {
    const auto found = names_.find(statement.first);
    if (found == names_.end()) {
      if (has_transaction_)
        state_ = State::failed, release_connection(now);
      return send_error(StatementError::no_such_statement, "no such name",
                        has_transaction_ ? 'E' : 'I');
    }
    prepared_ = &found->second;
    text_ = "RUN " + prepared_->key + " " + statement.rest;
    writes = prepared_->is_write;
  }
  if (!has_transaction_) {
    const Route* route = context_.configuration()->match_database(database_);
    if (!route)
      return send_error(StatementError::no_database, "no such database any more", 'I');
    use_route(*route);
    is_read_only_ = !writes;
  }
  is_write_ = verb_ == StatementVerb::commit || (writes && !has_transaction_);
  tries_ = 0;
  max_tries_ = std::max(2, route_.tries);
  started_at_ = now;
  work_until_ = deadline_ = now + route_.give_up;
  context_.set_due(*this, deadline_);
  if (has_input_ended_)
    limit_work_after_input(now);
  proceed(now);
}

void Session::proceed(TimePoint now) {
  if (connection_)
    return prepare(now);
  state_ = State::seeking;
  const DatabaseChoice choice =
      context_.choose(*this, service_, route_, !is_read_only_, started_at_, now);
  if (!choice.backend) {
    if (!context_.may_wait(*this))
      finish_failed(StatementError::busy, "too many wait", now);
    return;
  }
  needs_leadership_ = choice.is_lead;
  after_ = choice.after;
  context_.pool().seek(*this, choice.backend, max_connections_, now);
}

void Session::on_connection(DatabaseConnection& connection, TimePoint now) {
  connection_ = &connection;
  connection.take(*this);
  prepare(now);
}

void Session::on_no_connection(Backend& backend, StatementError why, TimePoint now) {
  context_.record_refusal(backend, why, now);
  ++tries_;
  if (may_try_again(now))
    return proceed(now);
  // Nothing was sent. Whoever leads next may be told at any moment.
  if (!context_.may_wait(*this))
    finish_failed(StatementError::busy, "no connection", now);
}

void Session::prepare(TimePoint now) {
  if (!has_leadership(now)) {
    release_connection(now);
    return has_asked_ && has_transaction_
               ? finish_failed(StatementError::rolled_back, "the lead has changed", now)
               : proceed(now);
  }
  state_ = State::preparing;
  std::string begin;
  if (has_transaction_ && !has_begun_) {
    begin = is_read_only_ ? "BEGIN READ" : "BEGIN";
    if (after_.is_known())
      begin = "AFTER " + after_.text() + " " + begin;
  }
  if (connection_->prepare(values_, prepared_, begin, now))
    send(now);
}

void Session::on_prepared(DatabaseConnection& connection, StatementError error) {
  const TimePoint now = Clock::now();
  if (error == StatementError::none) {
    has_begun_ = has_transaction_;
    return send(now);
  }
  context_.record_refusal(connection.backend(), error, now);
  // Nothing of the statement was sent. What the connection carries is in doubt unless the answer
  // was a plain refusal.
  if (!is_not_run(error))
    connection_ = nullptr, connection.close();
  else
    release_connection(now);
  has_begun_ = false;
  if (has_transaction_ && has_asked_)
    return finish_failed(StatementError::rolled_back, "a name or value could not be set", now);
  ++tries_;
  if (!may_try_again(now) && (error != StatementError::readonly || !may_begin(now)))
    return finish_failed(is_not_run(error) ? error : StatementError::busy, "not begun", now);
  proceed(now);
}

void Session::send(TimePoint now) {
  if (!has_leadership(now)) {
    release_connection(now);
    if (has_transaction_ && has_asked_)
      return finish_failed(StatementError::rolled_back, "the lead has changed", now);
    has_begun_ = false;
    return proceed(now);
  }
  state_ = State::attempting;
  has_asked_ = true;
  ++tries_;
  const bool needs_after = !has_transaction_ && after_.is_known();
  connection_->ask(encode_query(id_, needs_after ? "AFTER " + after_.text() + " " + text_ : text_),
                   now);
}

void Session::on_response(DatabaseConnection& connection, StatementResult result) {
  const TimePoint now = Clock::now();
  if (!has_leadership(now)) {  // whatever it says, somebody else may lead already
    release_connection(now);
    return handle_lost_response(now);
  }
  if (result.error != StatementError::none) {
    context_.record_refusal(connection.backend(), result.error, now);
    if (has_transaction_) {
      release_connection(now);
      return finish_failed(result.error, result.text, now);
    }
    release_connection(now);
    const bool may_repeat =
        is_not_run(result.error) && (result.error != StatementError::busy || is_read_only_);
    const bool should_repeat =
        may_try_again(now) || (result.error == StatementError::readonly && may_begin(now));
    if (may_repeat && should_repeat)
      return proceed(now);
    return finish_failed(result.error, result.text, now);
  }
  LogPosition position;
  if (is_write_ && read_log_position(result.position, position))
    own_position_ = position;
  if (verb_ == StatementVerb::commit || !has_transaction_) {
    has_transaction_ = false;
    release_connection(now);
    result.state = 'I';
  }
  state_ = has_transaction_ ? State::resting : State::idle;
  set_rest_deadline(now);
  send_completion(result.text, result.state, result.position, std::move(result.rows));
}

void Session::on_broken(DatabaseConnection&) {
  const TimePoint now = Clock::now();
  const State before = state_;
  connection_ = nullptr;
  if (before == State::resting) {  // rolled back with its connection
    is_rolled_back_ = true;
    return;
  }
  if (before == State::preparing) {
    if (has_transaction_ && has_asked_)
      return finish_failed(StatementError::rolled_back, "the connection broke", now);
    has_begun_ = false;
    ++tries_;
    return may_try_again(now) ? proceed(now)
                              : finish_failed(StatementError::busy, "the connection broke", now);
  }
  if (before == State::attempting)
    handle_lost_response(now);
}

}  // namespace saddlewing
