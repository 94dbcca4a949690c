// Connections to backends.
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "programs/traffic.h"
#include "protocol/calls.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_head = 32768;
constexpr Span connect_wait{250};
constexpr Span past_deadline{
    100};  // how long an asking is still waited for after its errand's deadline
constexpr Span longest_idle{20000};
constexpr Span borrowed_idle{300};        // of a connection that others need as well
constexpr std::size_t turns_at_once = 4;  // when a slot came free
constexpr double stalled_times =
    6;  // so many times the usual, and at least stalled_least: it stalls
constexpr Span stalled_least{300};

// How long an idle connection is kept, a little less than the backend does.
Span idle_span(const Poco::Net::HTTPResponse& response) {
  const std::string told = response.get("Keep-Alive", "");
  const auto place = told.find("timeout=");
  if (place == std::string::npos)
    return longest_idle;
  return std::clamp(Span(std::atol(told.c_str() + place + 8) * 1000 - 500), Span(0), longest_idle);
}

}  // namespace

Wire::Wire(Traffic& traffic, BackendPointer backend)
    : traffic_(traffic),
      serial_(++traffic.last_connection_),
      backend_(std::move(backend)),
      caller_(traffic.poller_, *this, backend_->address, most_head,
              traffic.startup_.memory_bytes / 32) {
  ++backend_->connections;
}

Wire::~Wire() {
  end();
}

void Wire::end() {
  caller_.end();
  if (backend_)
    --backend_->connections;
  backend_.reset();
}

void Wire::rest(Moment now, Span idle) {
  traffic_.idle_[backend_.get()].push_back(this);
  traffic_.schedule_.set(*this, now + idle);
}

bool Wire::ask(TripPointer trip, std::size_t part, Moment now) {
  // Nothing may be lost on a connection that has ended meanwhile, as behind its last answer or
  // while this process stood still: what may run once could not be asked again, anything else would
  // spend one of its few tries there.
  if (!caller_.is_quiet())
    return false;
  const std::string head = traffic_.head_for(*trip, *backend_, now);
  if (!caller_.ask(trip->body.empty() ? head : head + trip->body, trip->method == "HEAD",
                   trip->try_id, trip->asker->deadline()))
    return false;
  VLOG(1) << "traffic: " << trip->try_id << " asked of " << backend_->id << " from port "
          << caller_.own_port() << " over connection " << serial_
          << (caller_.was_connected() ? ", reused" : ", new");
  trip->connections.push_back(serial_);
  is_heavy_ = trip->is_heavy;
  if (is_heavy_)
    ++backend_->heavy_asked;
  else
    backend_->short_asked = now;
  trip_ = std::move(trip);
  part_ = part;
  asked_ = now;
  ++backend_->asked;
  backend_->last_asked = now;
  is_connect_checked_ = caller_.was_connected();
  traffic_.schedule_.set(
      *this,
      now + (is_connect_checked_ ? std::max(stalled_least, Span(static_cast<std::int64_t>(
                                                               backend_->mean_ms * stalled_times)))
                                 : connect_wait));
  return true;
}

void Wire::tell_breakdown(Kind kind, bool may_have_run) const {
  VLOG(1) << "traffic: " << trip_->try_id << " broke down over connection " << serial_
          << (may_have_run ? ", sent: " : ", not sent: ") << fault(kind, "asking").text();
}

TripPointer Wire::release() {
  --backend_->asked;
  if (is_heavy_)
    --backend_->heavy_asked;
  traffic_.schedule_.drop(*this);
  return std::move(trip_);
}

void Wire::on_due(Moment now) {
  if (!trip_) {  // idle for long enough
    const BackendPointer backend = backend_;
    traffic_.bury(this);
    return traffic_.keep_warm(backend);
  }
  if (!caller_.was_connected()) {
    backend_->breaker.fail(now, true);
    tell_breakdown(Kind::silent, false);
    const TripPointer trip = release();
    const std::size_t part = part_;
    traffic_.count_edge(backend_->service, backend_->locality, EdgeClass::light,
                        span_between(asked_, now), true);
    caller_.end();
    traffic_.bury(this);
    trip->asker->take_breakdown(part, Kind::silent, false, now);
    return traffic_.arrange(*trip);
  }
  const Moment last = trip_->asker->deadline() + past_deadline;
  if (now < last) {
    if (now - asked_ >= stalled_least)
      backend_->breaker.fail(now, false);
    traffic_.schedule_.set(
        *this, now - asked_ >= stalled_least ? last : std::min(last, asked_ + stalled_least));
    return;
  }
  traffic_.count_edge(backend_->service, backend_->locality,
                      is_heavy_ ? EdgeClass::heavy : EdgeClass::light, span_between(asked_, now),
                      true);
  tell_breakdown(Kind::silent, true);
  const TripPointer trip = release();
  caller_.end();
  traffic_.bury(this);
  trip->asker->take_breakdown(part_, Kind::silent, true, now);
  traffic_.arrange(*trip);
}

void Wire::read_load(const Poco::Net::HTTPResponse& response, Moment now) {
  int running = 0, waiting = 0, slots = 0;
  if (std::sscanf(response.get(field::server_load, "").c_str(), "%d,%d,%d", &running, &waiting,
                  &slots) != 3)
    return;
  // What it told still counts the outcome just given.
  backend_->foreign_load = std::max(0, running + waiting - 1 - (backend_->asked - 1));
  backend_->load_seen = now;
  if (slots > 0)
    backend_->capacity = slots;
}

void Wire::on_outcome(Caller& caller, Moment now) {
  const auto& response = caller.reader().response();
  if (!trip_)
    return on_idle_end(caller);
  BackendOutcome outcome;
  outcome.status = response.getStatus();
  outcome.is_not_run = response.has(field::not_run) || outcome.status == 421;
  outcome.seal = response.get(field::seal, "");
  read_load(response, now);
  const bool is_success = outcome.status >= 200 && outcome.status < 300;
  // Without an id only a refusal is believed, and only where no earlier request can have left it
  // behind. Behind a surplus answer no refusal is: what was passed over may have been to this
  // request.
  const bool is_own = response.get(field::try_id, outcome.is_not_run && caller.is_beyond_doubt()
                                                      ? trip_->try_id
                                                      : "") == trip_->try_id &&
                      !(outcome.is_not_run && caller.has_passed_over());
  // A success without its seal, or an answer that does not say whose it is, is none.
  if (!is_own || (is_success &&
                  (outcome.seal.empty() || outcome.seal.find_first_of(", ") != std::string::npos ||
                   response.has("Content-Encoding")))) {
    caller.end();
    return on_breakdown(caller, Kind::garbled, now);
  }
  const Span took = span_between(asked_, now);
  if (outcome.status == 421)
    backend_->breaker.fail(now, true);
  else if (!outcome.is_not_run) {
    backend_->breaker.succeed();
    // Without the handshake: it says nothing of the backend, and the first one would decide who is
    // asked from then on.
    const Span served = span_between(std::max(asked_, caller_.connected_at()), now);
    if (is_success)
      backend_->see_outcome(static_cast<double>(served.count()),
                            static_cast<double>(caller.reader().body().size()));
    traffic_.count_edge(backend_->service, backend_->locality,
                        is_heavy_ ? EdgeClass::heavy : EdgeClass::light, took,
                        !is_success && outcome.status >= 500);
    if (is_success)
      traffic_.note_work(*trip_, *backend_, took, caller.reader().body().size(), now);
  }
  if (!trip_->asker->is_gathering()) {
    outcome.reason = response.getReason();
    for (const auto& [name, value] : response)
      if (!is_hop_field(name) || (trip_->method == "HEAD" && is_same_name(name, "Content-Length")))
        ((outcome.fields += name) += ": ") += value + "\r\n";
  }
  outcome.body = std::move(caller.reader().body());
  const std::size_t part = part_;
  const Span idle = idle_span(response);
  if (response.has("Keep-Alive"))
    traffic_.idle_spans_[backend_->service] = idle;
  const TripPointer trip = release();
  if (is_ended() || backend_->is_cancelled || idle <= Span(0)) {
    traffic_.bury(this);
  } else {
    rest(now, backend_->is_own || !backend_->is_scarce ? idle : std::min(idle, borrowed_idle));
  }
  if (outcome.is_not_run && trip->ring && traffic_.restart(trip, part, now))
    return;
  trip->asker->take_outcome(part, std::move(outcome), took, now);
  traffic_.arrange(*trip);
  if (!traffic_.turns_.is_empty())
    traffic_.serve_turns(turns_at_once, now);
}

void Wire::on_breakdown(Caller& caller, Kind kind, Moment now) {
  if (!trip_)
    return on_idle_end(caller);
  backend_->breaker.fail(now, kind == Kind::refused_connection);
  metrics().add(Metric::breakdowns);
  traffic_.count_edge(backend_->service, backend_->locality,
                      is_heavy_ ? EdgeClass::heavy : EdgeClass::light, span_between(asked_, now),
                      true);
  const bool may_have_run = caller.has_sent();
  tell_breakdown(kind, may_have_run);
  const std::size_t part = part_;
  const TripPointer trip = release();
  traffic_.bury(this);
  trip->asker->take_breakdown(part, kind, may_have_run, now);
  traffic_.arrange(*trip);
}

void Wire::on_idle_end(Caller&) {
  const BackendPointer backend = backend_;
  const bool was_connected = caller_.was_connected();
  traffic_.bury(this);
  if (backend && was_connected)
    traffic_.keep_warm(backend);
}

}  // namespace saddlewing
