#include "programs/desk.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "coordination/beat.h"
#include "protocol/calls.h"
#include "state/configuration.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Span most_wait{900};  // callers turn to another node after a second of silence
// Reading a document takes some 25 times its size for a moment; beyond this it is refused by name,
// with 413.
std::size_t most_document(const Startup& startup) {
  return std::clamp<std::size_t>(startup.memory_bytes / 64, 1 << 20, most_configuration);
}

Reply json_reply(Kind kind, const std::string& reason) {
  Json::Value value(Json::objectValue);
  value["error"] = make_error_code(kind).message();
  value["reason"] = reason;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const StatusLine line = status_of(kind);
  Reply reply{line.status, line.reason, "Content-Type: application/json\r\n",
              Json::writeString(builder, value) + "\n"};
  if (kind == Kind::wrong_method)
    reply.fields += "Allow: GET, PUT\r\n";
  if (line.status == 503)
    reply.fields += "Retry-After: 0.5\r\n";
  return reply;
}

}  // namespace

Desk::Desk(const Startup& startup, Ring<CoreEvent>& events)
    : address_(startup.control),
      events_(events),
      server_(poller_, schedule_, *this, 256, startup.memory_bytes / 8),
      outcomes_(1024, [this] { poller_.wake(); }) {
  server_.set_limits({32768, most_document(startup), Span(5000), Span(15000)});
}

Fault Desk::open() {
  return server_.open(address_);
}
void Desk::start() {
  thread_ = std::thread([this] { run(); });
}

void Desk::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void Desk::run() {
  while (!should_stop_) {
    poller_.poll(schedule_.until_next(Clock::now(), Span(1000)));
    const Moment now = Clock::now();
    take_outcomes(now);
    schedule_.run(now);
    server_.reap();
  }
  take_outcomes(Clock::now());
}

void Desk::take_outcomes(Moment now) {
  for (OperatorOutcome& outcome : outcomes_.take()) {
    const auto found = open_.find(outcome.token);
    if (found == open_.end())
      continue;
    const bool is_read = found->second.is_read;
    if (!outcome.is_done) {
      finish(outcome.token, json_reply(Kind::no_leader, "no majority of the core answered in time"),
             now);
    } else if (is_read && outcome.body.empty()) {
      finish(outcome.token, json_reply(Kind::no_rule, "no configuration was taken yet"), now);
    } else {
      if (!is_read && outcome.body.empty())
        outcome.body = "{}\n";
      Reply reply{200, "OK", "Content-Type: application/json\r\n", std::move(outcome.body)};
      finish(outcome.token, std::move(reply), now);
    }
  }
}

void Desk::on_request(Visit& visit, Moment now) {
  const auto& request = visit.request();
  const std::string& target = request.getURI();
  if (target == row_of(Call::metrics).path)
    return visit.answer(
        {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", metrics().page()}, now);
  if (target.starts_with(row_of(Call::beat).path))
    return take_backend(visit, now);
  metrics().add(Metric::calls_taken);
  if (target.substr(0, target.find('?')) != row_of(Call::put_settings).path)
    return visit.answer(json_reply(Kind::no_rule, "only /settings is served here"), now);
  if (request.getMethod() == row_of(Call::get_settings).method)
    return refer(visit, {0, true, {}, {}}, now);
  if (request.getMethod() != row_of(Call::put_settings).method)
    return visit.answer(json_reply(Kind::wrong_method, "GET and PUT are served here"), now);
  const std::string type = request.get("Content-Type", "application/json");
  if (!is_same_name(type.substr(0, type.find_first_of("; ")), "application/json"))
    return visit.answer(json_reply(Kind::wrong_content, "a configuration is application/json"),
                        now);
  ConfigurationSnapshot snapshot;
  if (Fault found = read_configuration(visit.body(), snapshot)) {
    LOG(WARNING) << "steering: configuration refused: " << found.step;
    return visit.answer(json_reply(Kind::invalid, found.step), now);
  }
  refer(visit, {0, false, snapshot->version, std::move(visit.body())}, now);
}

std::uint64_t Desk::open_call(Visit& visit, bool is_read, Moment now) {
  Open& open = open_[++last_token_];
  open.desk = this;
  open.token = last_token_;
  open.visit = visit.id();
  open.is_read = is_read;
  schedule_.set(open, now + most_wait);
  return last_token_;
}

void Desk::refer(Visit& visit, OperatorCall call, Moment now) {
  const std::uint64_t token = call.token = open_call(visit, call.is_read, now);
  if (!events_.push(std::move(call)))
    finish(token, json_reply(Kind::overloaded, "too many calls at once"), now);
}

// A backend's beat, or its leaving. What is wrong is named and changes nothing.
void Desk::take_backend(Visit& visit, Moment now) {
  const auto& request = visit.request();
  BackendCall call;
  const bool is_leaving = request.getMethod() == row_of(Call::leave).method;
  if (!is_leaving && request.getMethod() != row_of(Call::beat).method)
    return visit.answer(json_reply(Kind::wrong_method, "PUT and DELETE are served here"), now);
  const std::string id = request.getURI().substr(row_of(Call::beat).path.size());
  Fault found = read_beat(id, visit.body(), is_leaving, call.entry);
  if (found) {
    LOG_EVERY_N(WARNING, 20) << "steering: beat refused: " << found.step;
    return visit.answer(json_reply(Kind::invalid, found.step), now);
  }
  const std::uint64_t token = call.token = open_call(visit, false, now);
  if (!events_.push(std::move(call)))
    finish(token, json_reply(Kind::overloaded, "too many calls at once"), now);
}

void Desk::finish(std::uint64_t token, Reply reply, Moment now) {
  const auto found = open_.find(token);
  if (found == open_.end())
    return;
  const VisitId id = found->second.visit;
  if (reply.status == 503)
    metrics().add(Metric::calls_failed);
  if (found->second.is_read || reply.status != 200)
    LOG(INFO) << "steering: " << (found->second.is_read ? "read" : "change") << " answered "
              << reply.status << ", " << reply.body.size() << " bytes";
  open_.erase(found);
  if (Visit* visit = server_.find(id))
    visit->answer(std::move(reply), now);
}

void Desk::Open::on_due(Moment now) {
  desk->finish(token, json_reply(Kind::no_leader, "no majority of the core answered in time"), now);
}

}  // namespace saddlewing
