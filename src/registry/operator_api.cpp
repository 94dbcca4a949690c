#include "registry/operator_api.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "coordination/discovery/backend_heartbeat.h"
#include "protocol/http_calls.h"
#include "registry/sent_bytes.h"
#include "state/configuration.h"
#include "state/invariants.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration max_wait{900};  // callers turn to another node after a second of silence
// Reading a document takes some 25 times its size for a moment; beyond this it is refused by name,
// with 413.
std::size_t max_document(const NodeSettings& settings) {
  return std::clamp<std::size_t>(settings.memory_bytes / 64, 1 << 20, max_configuration);
}

Reply json_reply(ErrorCode kind, const std::string& reason) {
  Json::Value value(Json::objectValue);
  value["error"] = make_error_code(kind).message();
  value["reason"] = reason;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const StatusLine line = status_line_of(kind);
  Reply reply{line.status, line.reason, "Content-Type: application/json\r\n",
              Json::writeString(builder, value) + "\n"};
  if (kind == ErrorCode::wrong_method)
    reply.fields += "Allow: GET, PUT\r\n";
  if (line.status == 503)
    reply.fields += "Retry-After: 0.5\r\n";
  return reply;
}

std::string metrics_page() {
  return metrics().page() + violations_page() + sent_bytes().page();
}

}  // namespace

OperatorApi::OperatorApi(const NodeSettings& settings, BoundedQueue<ControlEvent>& events)
    : address_(settings.control),
      host_(settings.ip_address),
      events_(events),
      server_(poller_, timers_, *this, 256, settings.memory_bytes / 8),
      metrics_server_(poller_, timers_, metrics_page),
      replies_(1024, [this] { poller_.wake(); }) {
  server_.set_limits({32768, max_document(settings), Duration(5000), Duration(15000)});
}

Error OperatorApi::open(int metrics_port) {
  metrics_server_.open(host_, metrics_port);
  return server_.open(address_);
}
void OperatorApi::start() {
  thread_ = std::thread([this] { run(); });
}

void OperatorApi::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void OperatorApi::run() {
  while (!should_stop_) {
    poller_.poll(timers_.until_next(Clock::now(), Duration(1000)));
    const TimePoint now = Clock::now();
    handle_replies(now);
    timers_.run(now);
    server_.reap();
    metrics_server_.reap();
  }
  handle_replies(Clock::now());
}

void OperatorApi::handle_replies(TimePoint now) {
  for (OperatorReply& result : replies_.take()) {
    const auto found = open_.find(result.token);
    if (found == open_.end())
      continue;
    const bool is_read = found->second.is_read;
    if (!result.is_done) {
      finish(result.token,
             json_reply(ErrorCode::no_leader, "no majority of the core answered in time"), now);
    } else if (is_read && result.body.empty()) {
      finish(result.token, json_reply(ErrorCode::no_route, "no configuration was taken yet"), now);
    } else {
      if (!is_read && result.body.empty())
        result.body = "{}\n";
      Reply reply{200, "OK", "Content-Type: application/json\r\n", std::move(result.body)};
      finish(result.token, std::move(reply), now);
    }
  }
}

void OperatorApi::on_request(ServerExchange& exchange, TimePoint now) {
  const auto& request = exchange.request();
  const std::string& target = request.getURI();
  if (target == row_of(HttpCall::metrics).path)
    return exchange.answer(MetricsServer::reply(metrics_page()), now);
  if (target.starts_with(row_of(HttpCall::heartbeat).path))
    return handle_backend_call(exchange, now);
  metrics().add(Metric::operator_calls);
  if (target.substr(0, target.find('?')) != row_of(HttpCall::put_settings).path)
    return exchange.answer(json_reply(ErrorCode::no_route, "only /settings is served here"), now);
  if (request.getMethod() == row_of(HttpCall::get_settings).method)
    return refer(exchange, {0, true, {}, {}}, now);
  if (request.getMethod() != row_of(HttpCall::put_settings).method)
    return exchange.answer(json_reply(ErrorCode::wrong_method, "GET and PUT are served here"), now);
  const std::string type = request.get("Content-Type", "application/json");
  if (!is_same_name(type.substr(0, type.find_first_of("; ")), "application/json"))
    return exchange.answer(
        json_reply(ErrorCode::wrong_content, "a configuration is application/json"), now);
  ConfigurationSnapshot snapshot;
  if (Error found = read_configuration(exchange.body(), snapshot)) {
    LOG(WARNING) << "steering: configuration refused: " << found.step;
    return exchange.answer(json_reply(ErrorCode::invalid, found.step), now);
  }
  refer(exchange, {0, false, snapshot->version, std::move(exchange.body())}, now);
}

std::uint64_t OperatorApi::open_call(ServerExchange& exchange, bool is_read, TimePoint now) {
  Open& open = open_[++last_token_];
  open.operator_api = this;
  open.token = last_token_;
  open.exchange = exchange.id();
  open.is_read = is_read;
  timers_.set(open, now + max_wait);
  return last_token_;
}

void OperatorApi::refer(ServerExchange& exchange, OperatorCall call, TimePoint now) {
  const std::uint64_t token = call.token = open_call(exchange, call.is_read, now);
  if (!events_.push(std::move(call)))
    finish(token, json_reply(ErrorCode::overloaded, "too many calls at once"), now);
}

// A backend's beat, or its leaving. What is wrong is named and changes nothing.
void OperatorApi::handle_backend_call(ServerExchange& exchange, TimePoint now) {
  const auto& request = exchange.request();
  BackendCall call;
  const bool is_leaving = request.getMethod() == row_of(HttpCall::deregister).method;
  if (!is_leaving && request.getMethod() != row_of(HttpCall::heartbeat).method)
    return exchange.answer(json_reply(ErrorCode::wrong_method, "PUT and DELETE are served here"),
                           now);
  const std::string id = request.getURI().substr(row_of(HttpCall::heartbeat).path.size());
  Error found = read_backend_heartbeat(id, exchange.body(), is_leaving, call.entry);
  if (found) {
    LOG_EVERY_N(WARNING, 20) << "steering: beat refused: " << found.step;
    return exchange.answer(json_reply(ErrorCode::invalid, found.step), now);
  }
  const std::uint64_t token = call.token = open_call(exchange, false, now);
  if (!events_.push(std::move(call)))
    finish(token, json_reply(ErrorCode::overloaded, "too many calls at once"), now);
}

void OperatorApi::finish(std::uint64_t token, Reply reply, TimePoint now) {
  const auto found = open_.find(token);
  if (found == open_.end())
    return;
  const ExchangeId id = found->second.exchange;
  if (reply.status == 503)
    metrics().add(Metric::failed_operator_calls);
  if (found->second.is_read || reply.status != 200)
    LOG(INFO) << "steering: " << (found->second.is_read ? "read" : "change") << " answered "
              << reply.status << ", " << reply.body.size() << " bytes";
  open_.erase(found);
  if (ServerExchange* exchange = server_.find(id))
    exchange->answer(std::move(reply), now);
}

void OperatorApi::Open::on_due(TimePoint now) {
  operator_api->finish(
      token, json_reply(ErrorCode::no_leader, "no majority of the core answered in time"), now);
}

}  // namespace saddlewing
