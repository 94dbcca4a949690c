// Connections to backends.
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "broker/broker_loop.h"
#include "transport/header_names.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_head = 32768;
constexpr Duration connect_wait{250};
constexpr Duration past_deadline{
    100};  // how long an asking is still waited for after its errand's deadline
constexpr Duration max_idle_duration{20000};
constexpr Duration borrowed_idle{300};    // of a connection that others need as well
constexpr std::size_t turns_at_once = 4;  // when a slot came free
constexpr double stalled_times =
    6;  // so many times the usual, and at least stalled_least: it stalls
constexpr Duration stalled_least{300};

// How long an idle connection is kept, a little less than the backend does.
Duration idle_span(const Poco::Net::HTTPResponse& response) {
  const std::string told = response.get("Keep-Alive", "");
  const auto position = told.find("timeout=");
  if (position == std::string::npos)
    return max_idle_duration;
  return std::clamp(Duration(std::atol(told.c_str() + position + 8) * 1000 - 500), Duration(0),
                    max_idle_duration);
}

}  // namespace

BackendConnection::BackendConnection(BrokerLoop& loop, BackendPointer backend)
    : loop_(loop),
      serial_(++loop.last_connection_),
      backend_(std::move(backend)),
      caller_(loop.poller_, *this, backend_->address, max_head, loop.settings_.memory_bytes / 32) {
  ++backend_->connections;
}

BackendConnection::~BackendConnection() {
  end();
}

void BackendConnection::end() {
  caller_.end();
  if (backend_)
    --backend_->connections;
  backend_.reset();
}

void BackendConnection::rest(TimePoint now, Duration idle) {
  loop_.idle_[backend_.get()].push_back(this);
  loop_.timers_.set(*this, now + idle);
}

bool BackendConnection::ask(RequestContextPointer context, std::size_t part, TimePoint now) {
  // Nothing may be lost on a connection that has ended meanwhile, as behind its last answer or
  // while this process stood still: what may run once could not be asked again, anything else would
  // spend one of its few tries there.
  if (!check_invariant(Invariant::one_attempt_per_connection, !context_,
                       [&] { return "backend " + backend_->id + " try " + context_->try_id; }))
    return false;
  if (!caller_.is_quiet())
    return false;
  const std::string head = loop_.head_for(*context, *backend_, now);
  if (!caller_.ask(context->body.empty() ? head : head + context->body, context->method == "HEAD",
                   context->try_id, context->requester->deadline()))
    return false;
  VLOG(1) << "traffic: " << context->try_id << " asked of " << backend_->id << " from port "
          << caller_.own_port() << " over connection " << serial_
          << (caller_.was_connected() ? ", reused" : ", new");
  context->connections.push_back(serial_);
  is_heavy_ = context->is_heavy;
  if (is_heavy_)
    ++backend_->active_heavy_requests;
  else
    backend_->last_short_request_at = now;
  context_ = std::move(context);
  context_->at_work.push_back(this);
  is_abandoned_ = false;
  part_ = part;
  record_ = context_->attempts.size();
  context_->attempts.push_back({backend_, part, now});
  asked_ = now;
  ++backend_->active_requests;
  backend_->last_request_at = now;
  is_connect_checked_ = caller_.was_connected();
  loop_.timers_.set(
      *this,
      now + (is_connect_checked_ ? std::max(stalled_least, Duration(static_cast<std::int64_t>(
                                                               backend_->mean_ms * stalled_times)))
                                 : connect_wait));
  return true;
}

void BackendConnection::report_failure(ErrorCode kind, bool may_have_run) const {
  VLOG(1) << "traffic: " << context_->try_id << " broke down over connection " << serial_
          << (may_have_run ? ", sent: " : ", not sent: ") << make_error(kind, "asking").text();
}

// The attempt is over.
RequestContextPointer BackendConnection::release(AttemptEnd end, int status, bool may_have_run,
                                                 TimePoint now) {
  AttemptRecord& record = context_->attempts[record_];
  record.ended = now;
  record.end = end;
  record.status = status;
  record.may_have_run = may_have_run;
  --backend_->active_requests;
  if (is_heavy_)
    --backend_->active_heavy_requests;
  loop_.timers_.drop(*this);
  std::erase(context_->at_work, this);
  return std::move(context_);
}

void BackendConnection::abandon(TimePoint until, TimePoint now) {
  if (!caller_.has_sent() || until <= now)
    return break_off(now);
  is_abandoned_ = true;
  loop_.timers_.set(*this, until);
}

// Nothing of the request arrives any more, and whoever works on it sees its connection end.
void BackendConnection::break_off(TimePoint now) {
  if (now - asked_ >= stalled_least)
    backend_->breaker.record_failure(now, false);
  metrics().add(Metric::abandoned_attempts);
  release(AttemptEnd::broken_off_here, 0, caller_.has_sent(), now);
  caller_.abort();
  loop_.defer_delete(this);
}

void BackendConnection::on_due(TimePoint now) {
  if (!context_) {  // idle for long enough
    const BackendPointer backend = backend_;
    loop_.defer_delete(this);
    return loop_.keep_warm(backend);
  }
  if (is_abandoned_)
    return break_off(now);
  if (!caller_.was_connected()) {
    backend_->breaker.record_failure(now, true);
    report_failure(ErrorCode::no_response, false);
    const RequestContextPointer context = release(AttemptEnd::not_connected, 0, false, now);
    const std::size_t part = part_;
    loop_.count_edge(backend_->service, backend_->zone, EdgeClass::light, elapsed(asked_, now),
                     true);
    caller_.end();
    loop_.defer_delete(this);
    context->requester->handle_failure(part, ErrorCode::no_response, false, now);
    return loop_.arrange(*context);
  }
  const TimePoint last = context_->requester->deadline() + past_deadline;
  if (now < last) {
    if (now - asked_ >= stalled_least)
      backend_->breaker.record_failure(now, false);
    loop_.timers_.set(
        *this, now - asked_ >= stalled_least ? last : std::min(last, asked_ + stalled_least));
    return;
  }
  loop_.count_edge(backend_->service, backend_->zone,
                   is_heavy_ ? EdgeClass::heavy : EdgeClass::light, elapsed(asked_, now), true);
  report_failure(ErrorCode::no_response, true);
  const RequestContextPointer context = release(AttemptEnd::no_answer, 0, true, now);
  caller_.end();
  loop_.defer_delete(this);
  context->requester->handle_failure(part_, ErrorCode::no_response, true, now);
  loop_.arrange(*context);
}

void BackendConnection::read_load(const Poco::Net::HTTPResponse& response, TimePoint now) {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  if (std::sscanf(response.get(header_name::server_load, "").c_str(), "%d,%d,%d", &running,
                  &waiting, &slots) != 3)
    return;
  // What it told still counts the outcome just given.
  backend_->reported_remote_load =
      std::max(0, running + waiting - 1 - (backend_->active_requests - 1));
  backend_->remote_load_reported_at = now;
  if (slots > 0)
    backend_->capacity = slots;
}

void BackendConnection::on_response(HttpClientConnection& caller, TimePoint now) {
  const auto& response = caller.reader().response();
  if (!context_)
    return on_idle_end(caller);
  BackendResponse outcome;
  outcome.status = response.getStatus();
  outcome.is_not_run = response.has(header_name::not_run) || outcome.status == 421;
  outcome.seal = response.get(header_name::answer_checksum, "");
  read_load(response, now);
  const bool is_success = outcome.status >= 200 && outcome.status < 300;
  // Without an id only a refusal is believed, and only where no earlier request can have left it
  // behind. Behind a surplus answer no refusal is: what was passed over may have been to this
  // request.
  const bool is_own =
      response.get(header_name::try_id,
                   outcome.is_not_run && caller.is_beyond_doubt() ? context_->try_id : "") ==
          context_->try_id &&
      !(outcome.is_not_run && caller.has_passed_over());
  // A success without its seal, or an answer that does not say whose it is, is none.
  if (!is_own || (is_success &&
                  (outcome.seal.empty() || outcome.seal.find_first_of(", ") != std::string::npos ||
                   response.has("Content-Encoding")))) {
    caller.end();
    return on_failure(caller, ErrorCode::invalid_response, now);
  }
  const Duration took = elapsed(asked_, now);
  if (outcome.status == 421)
    backend_->breaker.record_failure(now, true);
  else if (!outcome.is_not_run) {
    backend_->breaker.record_success();
    // Without the handshake: it says nothing of the backend, and the first one would decide who is
    // asked from then on.
    const Duration served = elapsed(std::max(asked_, caller_.connected_at()), now);
    if (is_success)
      backend_->record_response(static_cast<double>(served.count()),
                                static_cast<double>(caller.reader().body().size()));
    loop_.count_edge(backend_->service, backend_->zone,
                     is_heavy_ ? EdgeClass::heavy : EdgeClass::light, took,
                     !is_success && outcome.status >= 500);
    if (is_success)
      loop_.record_work(*context_, *backend_, took, caller.reader().body().size(), now);
  }
  if (!context_->requester->is_gathering()) {
    outcome.reason = response.getReason();
    for (const auto& [name, value] : response)
      if (!is_hop_field(name) ||
          (context_->method == "HEAD" && is_same_name(name, "Content-Length")))
        ((outcome.fields += name) += ": ") += value + "\r\n";
  }
  outcome.body = std::move(caller.reader().body());
  const std::size_t part = part_;
  const Duration idle = idle_span(response);
  if (response.has("Keep-Alive"))
    loop_.idle_spans_[backend_->service] = idle;
  const RequestContextPointer context =
      release(outcome.is_not_run ? AttemptEnd::refused : AttemptEnd::answered, outcome.status,
              !outcome.is_not_run, now);
  if (is_ended() || backend_->is_draining || idle <= Duration(0)) {
    loop_.defer_delete(this);
  } else {
    rest(now, backend_->is_in_subset || !backend_->has_scarce_connections
                  ? idle
                  : std::min(idle, borrowed_idle));
  }
  if (outcome.is_not_run && context->ring && loop_.restart(context, part, now))
    return;
  context->requester->handle_response(part, std::move(outcome), took, now);
  loop_.arrange(*context);
  if (!loop_.turns_.is_empty())
    loop_.serve_turns(turns_at_once, now);
}

void BackendConnection::on_failure(HttpClientConnection& caller, ErrorCode kind, TimePoint now) {
  if (!context_)
    return on_idle_end(caller);
  backend_->breaker.record_failure(now, kind == ErrorCode::refused_connection);
  metrics().add(Metric::failed_attempts);
  loop_.count_edge(backend_->service, backend_->zone,
                   is_heavy_ ? EdgeClass::heavy : EdgeClass::light, elapsed(asked_, now), true);
  const bool may_have_run = caller.has_sent();
  report_failure(kind, may_have_run);
  const std::size_t part = part_;
  const RequestContextPointer context =
      release(may_have_run ? AttemptEnd::broken_off_there : AttemptEnd::not_connected, 0,
              may_have_run, now);
  loop_.defer_delete(this);
  context->requester->handle_failure(part, kind, may_have_run, now);
  loop_.arrange(*context);
}

void BackendConnection::on_idle_end(HttpClientConnection&) {
  const BackendPointer backend = backend_;
  const bool was_connected = caller_.was_connected();
  loop_.defer_delete(this);
  if (backend && was_connected)
    loop_.keep_warm(backend);
}

}  // namespace saddlewing
