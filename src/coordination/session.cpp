#include "coordination/session.h"

#include <utility>

#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_values = 256, most_names = 1024;

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
  leave(Clock::now());
}

void Session::say_done(const std::string& stamp, char state, const std::string& place,
                       std::string rows) {
  rows += wire(WireKind::done, {stamp});
  rows += wire(WireKind::ready, {std::string_view(&state, 1), place});
  ground_.say(*this, std::move(rows));
}

void Session::say_error(Verdict verdict, const std::string& text, char state) {
  ground_.say(*this, wire(WireKind::error, {name_of(verdict), text}) +
                         wire(WireKind::ready, {std::string_view(&state, 1), "-"}));
}

void Session::take_wrong(Verdict verdict) {
  ground_.say(*this, wire(WireKind::error, {name_of(verdict), "not in the protocol"}));
  leave(Clock::now());
  ground_.close(*this);
}

void Session::greet(WireMessage&& message) {
  if (message.kind != WireKind::connect || message.fields.size() < 2)
    return take_wrong(Verdict::garbled);
  const ConfigurationSnapshot& configuration = ground_.configuration();
  const bool is_known = configuration && configuration->match_database(message.field(0));
  if (!is_known) {
    const Verdict verdict = configuration ? Verdict::no_database : Verdict::busy;
    ground_.say(*this, wire(WireKind::error, {name_of(verdict), "no such database"}));
    state_ = State::closing;
    return ground_.close(*this);
  }
  database_ = message.field(0);
  state_ = State::idle;
  ground_.say(*this, wire(WireKind::ready, {"I", "-"}));
}

void Session::take(WireMessage&& message, Moment now) {
  if (state_ == State::closing)
    return;
  if (message.kind == WireKind::bye) {
    leave(now);
    return ground_.close(*this);
  }
  if (state_ == State::greeting)
    return greet(std::move(message));
  if (message.kind != WireKind::ask || message.fields.size() != 2)
    return take_wrong(Verdict::garbled);
  take_idle(message.fields[0], message.fields[1], now);
}

void Session::adopt(const Rule& rule) {
  const Configuration& configuration = *ground_.configuration();
  const Service& service = configuration.services[rule.shares[0].service.value];
  rule_ = rule;
  service_ = service.name;
  change_rest_ = configuration.limits.change_rest;
  most_lanes_ = ground_.most_lanes(service);
}

bool Session::take_own(const Statement& statement, Moment now) {
  const char state = has_change_ ? 'T' : 'I';
  switch (statement.verb) {
    case Verb::set:
      if (values_.size() >= most_values && !values_.contains(statement.first))
        return say_error(Verdict::too_long, "too many values", state), true;
      values_[statement.first] = statement.second;
      break;
    case Verb::name: {
      if (names_.size() >= most_names && !names_.contains(statement.first))
        return say_error(Verdict::too_long, "too many names", state), true;
      const std::string what = statement.second + " " + statement.rest;
      const std::string key = digest_of(what);
      names_[statement.first] = {key, "NAME " + key + " " + what, statement.second == "WRITE"};
      break;
    }
    case Verb::forget:
      names_.erase(statement.first);
      break;
    case Verb::begin:
    case Verb::begin_read: {
      if (has_change_)
        return say_error(Verdict::garbled, "in a transaction already", state), true;
      const Rule* rule = ground_.configuration()->match_database(database_);
      if (!rule)
        return say_error(Verdict::no_database, "no such database any more", 'I'), true;
      has_change_ = true;
      is_read_only_ = statement.verb == Verb::begin_read;
      has_begun_ = has_asked_ = is_undone_ = false;
      adopt(*rule);
      break;
    }
    case Verb::undo:
      if (!has_change_)
        return say_error(Verdict::garbled, "in no transaction", 'I'), true;
      end_change(now);
      break;
    default:
      return false;
  }
  state_ = has_change_ ? State::resting : State::idle;
  settle(now);
  say_done("-", has_change_ ? 'T' : 'I', "-");
  return true;
}

void Session::take_idle(const std::string& id, const std::string& text, Moment now) {
  const Statement statement = read_statement(text);
  const bool ends_change = statement.verb == Verb::save || statement.verb == Verb::undo;
  if (has_change_ && (state_ == State::failed || is_undone_)) {
    if (!ends_change) {
      const bool is_news = std::exchange(is_undone_, false);
      state_ = State::failed;
      return say_error(is_news ? Verdict::undone : Verdict::garbled, "the transaction has failed",
                       'E');
    }
    end_change(now);
    if (statement.verb == Verb::undo)
      return say_done("-", 'I', "-");
    return say_error(Verdict::undone, "the transaction had failed", 'I');
  }
  if (take_own(statement, now))
    return;
  if (statement.verb == Verb::none || (statement.verb == Verb::save && !has_change_))
    return say_error(Verdict::garbled, "not understood", has_change_ ? 'T' : 'I');
  start(id, text, statement, now);
}

void Session::start(const std::string& id, const std::string& text, const Statement& statement,
                    Moment now) {
  metrics().add(Metric::statements);
  prepared_ = nullptr;
  id_ = id;
  text_ = text;
  verb_ = statement.verb;
  bool writes = verb_ == Verb::write;
  if (verb_ == Verb::run) {
    const auto found = names_.find(statement.first);
    if (found == names_.end()) {
      if (has_change_)
        state_ = State::failed, drop_lane(now);
      return say_error(Verdict::no_such, "no such name", has_change_ ? 'E' : 'I');
    }
    prepared_ = &found->second;
    text_ = "RUN " + prepared_->key + " " + statement.rest;
    writes = prepared_->is_write;
  }
  if (!has_change_) {
    const Rule* rule = ground_.configuration()->match_database(database_);
    if (!rule)
      return say_error(Verdict::no_database, "no such database any more", 'I');
    adopt(*rule);
    is_read_only_ = !writes;
  }
  is_write_ = verb_ == Verb::save || (writes && !has_change_);
  tries_ = 0;
  most_tries_ = std::max(2, rule_.tries);
  began_ = now;
  deadline_ = now + rule_.give_up;
  ground_.set_due(*this, deadline_);
  proceed(now);
}

void Session::proceed(Moment now) {
  if (lane_)
    return prepare(now);
  state_ = State::seeking;
  const DatabaseChoice choice = ground_.choose(*this, service_, rule_, !is_read_only_, began_, now);
  if (!choice.backend) {
    if (!ground_.may_wait(*this))
      finish_failed(Verdict::busy, "too many wait", now);
    return;
  }
  is_lead_ = choice.is_lead;
  after_ = choice.after;
  ground_.pool().seek(*this, choice.backend, most_lanes_, now);
}

void Session::on_lane(Lane& lane, Moment now) {
  lane_ = &lane;
  lane.take(*this);
  prepare(now);
}

void Session::on_no_lane(Backend& backend, Verdict why, Moment now) {
  ground_.see_refusal(backend, why, now);
  ++tries_;
  if (may_try_again())
    return proceed(now);
  // Nothing was sent. Whoever leads next may be told at any moment.
  if (!ground_.may_wait(*this))
    finish_failed(Verdict::busy, "no connection", now);
}

void Session::prepare(Moment now) {
  if (!has_lead(now)) {
    drop_lane(now);
    return has_asked_ && has_change_ ? finish_failed(Verdict::undone, "the lead has changed", now)
                                     : proceed(now);
  }
  state_ = State::preparing;
  std::string begin;
  if (has_change_ && !has_begun_) {
    begin = is_read_only_ ? "BEGIN READ" : "BEGIN";
    if (after_.is_known())
      begin = "AFTER " + after_.text() + " " + begin;
  }
  if (lane_->prepare(values_, prepared_, begin, now))
    send(now);
}

void Session::on_prepared(Lane& lane, Verdict verdict) {
  const Moment now = Clock::now();
  if (verdict == Verdict::none) {
    has_begun_ = has_change_;
    return send(now);
  }
  ground_.see_refusal(lane.backend(), verdict, now);
  // Nothing of the statement was sent. What the connection carries is in doubt unless the answer
  // was a plain refusal.
  if (!is_not_run(verdict))
    lane_ = nullptr, lane.close();
  else
    drop_lane(now);
  has_begun_ = false;
  if (has_change_ && has_asked_)
    return finish_failed(Verdict::undone, "a name or value could not be set", now);
  ++tries_;
  if (!may_try_again() && verdict != Verdict::readonly)
    return finish_failed(is_not_run(verdict) ? verdict : Verdict::busy, "not begun", now);
  proceed(now);
}

void Session::send(Moment now) {
  if (!has_lead(now)) {
    drop_lane(now);
    if (has_change_ && has_asked_)
      return finish_failed(Verdict::undone, "the lead has changed", now);
    has_begun_ = false;
    return proceed(now);
  }
  state_ = State::asking;
  has_asked_ = true;
  ++tries_;
  const bool needs_after = !has_change_ && after_.is_known();
  lane_->ask(wire_ask(id_, needs_after ? "AFTER " + after_.text() + " " + text_ : text_), now);
}

void Session::on_outcome(Lane& lane, LaneOutcome outcome) {
  const Moment now = Clock::now();
  if (!has_lead(now)) {  // whatever it says, somebody else may lead already
    drop_lane(now);
    return lose_outcome(now);
  }
  if (outcome.verdict != Verdict::none) {
    ground_.see_refusal(lane.backend(), outcome.verdict, now);
    if (has_change_) {
      drop_lane(now);
      return finish_failed(outcome.verdict, outcome.text, now);
    }
    drop_lane(now);
    const bool may_repeat =
        is_not_run(outcome.verdict) && (outcome.verdict != Verdict::busy || is_read_only_);
    if (may_repeat && (may_try_again() || outcome.verdict == Verdict::readonly))
      return proceed(now);
    return finish_failed(outcome.verdict, outcome.text, now);
  }
  LogPlace place;
  if (is_write_ && read_place(outcome.place, place))
    own_place_ = place;
  if (verb_ == Verb::save || !has_change_) {
    has_change_ = false;
    drop_lane(now);
    outcome.state = 'I';
  }
  state_ = has_change_ ? State::resting : State::idle;
  settle(now);
  say_done(outcome.text, outcome.state, outcome.place, std::move(outcome.rows));
}

void Session::on_broken(Lane&) {
  const Moment now = Clock::now();
  const State before = state_;
  lane_ = nullptr;
  if (before == State::resting) {  // rolled back with its connection
    is_undone_ = true;
    return;
  }
  if (before == State::preparing) {
    if (has_change_ && has_asked_)
      return finish_failed(Verdict::undone, "the connection broke", now);
    has_begun_ = false;
    ++tries_;
    return may_try_again() ? proceed(now)
                           : finish_failed(Verdict::busy, "the connection broke", now);
  }
  if (before == State::asking)
    lose_outcome(now);
}

// The statement may have run and its outcome is not known.
void Session::lose_outcome(Moment now) {
  if (is_write_)
    return finish_failed(Verdict::unknown, "the outcome was lost", now);
  if (!has_change_ && may_try_again() && now < deadline_)
    return proceed(now);
  finish_failed(Verdict::undone, "the outcome was lost",
                now);  // reads keep nothing, and what was not saved is rolled back
}

void Session::drop_lane(Moment now) {
  if (state_ == State::seeking)
    ground_.pool().stop_seeking(*this);
  if (Lane* lane = std::exchange(lane_, nullptr))
    lane->release(now);
}

void Session::finish_failed(Verdict verdict, const std::string& text, Moment now) {
  if (verdict == Verdict::unknown)
    metrics().add(Metric::unknown_outcomes);
  ground_.stop_waiting(*this);
  drop_lane(now);
  const bool is_over = !has_change_ || verb_ == Verb::save;
  if (is_over)
    has_change_ = false;
  state_ = is_over ? State::idle : State::failed;
  settle(now);
  say_error(verdict, text, is_over ? 'I' : 'E');
}

void Session::end_change(Moment now) {
  drop_lane(now);
  has_change_ = is_undone_ = false;
  state_ = State::idle;
  settle(now);
}

// Between statements only a resting transaction has a moment to end at.
void Session::settle(Moment now) {
  ground_.set_due(*this,
                  has_change_ && state_ == State::resting ? now + change_rest_ : Moment::max());
}

void Session::on_due(Moment now) {
  if (state_ == State::resting) {
    drop_lane(now);
    is_undone_ = true;
    return;
  }
  if (!is_busy())
    return;
  if (state_ == State::asking) {
    if (Lane* lane = std::exchange(lane_, nullptr))
      lane->close(Verdict::timeout);
    if (is_write_)
      return finish_failed(Verdict::unknown, "no outcome in time", now);
    return finish_failed(has_change_ ? Verdict::undone : Verdict::timeout, "no outcome in time",
                         now);
  }
  if (state_ == State::preparing)
    if (Lane* lane = std::exchange(lane_, nullptr))
      lane->close();
  finish_failed(has_change_ ? Verdict::undone : Verdict::busy, "not begun in time", now);
}

void Session::leave(Moment now) {
  if (state_ == State::closing)
    return;
  ground_.stop_waiting(*this);
  ground_.set_due(*this, Moment::max());
  drop_lane(now);
  state_ = State::closing;
}

}  // namespace saddlewing
