// What the broker loop shows of itself: readiness, metrics, and the alert rules that act on them.
#include <glog/logging.h>

#include <fstream>
#include <sstream>

#include "broker/broker_loop.h"
#include "protocol/http_calls.h"
#include "transport/header_names.h"

namespace saddlewing {

void BrokerLoop::read_alerts(const std::string& path) {
  std::vector<AlertRule> rules;
  if (!path.empty()) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const Error found = file ? read_alert_rules(text.str(), rules)
                             : make_error(ErrorCode::unreadable, "alert rules");
    if (found) {
      LOG(ERROR) << "alerts: " << path << " refused, the rules before it stay: " << found.text();
      return;
    }
    LOG(INFO) << "alerts: " << rules.size() << " rules from " << path;
  }
  alert_rules_.replace(std::move(rules));
}

// What refers to each other is there together, so that nothing is left behind for ever.
void BrokerLoop::check_tables() const {
  const bool agree =
      by_exchange_.size() <= contexts_.size() && delegation_tokens_.size() == delegations_.size() &&
      delegated_works_.size() <= contexts_.size() && delegations_.size() <= contexts_.size();
  check_invariant(Invariant::pending_tables_agree, agree, [&] {
    return std::to_string(contexts_.size()) + " requests, " + std::to_string(by_exchange_.size()) +
           " exchanges, " + std::to_string(delegations_.size()) + " delegations by " +
           std::to_string(delegation_tokens_.size()) + " tokens, " +
           std::to_string(delegated_works_.size()) + " gathers for others";
  });
}

void BrokerLoop::show_gauges() const {
  check_tables();
  metrics().set(Metric::client_connections, static_cast<std::int64_t>(server_.count()));
  metrics().set(Metric::proxied_requests, static_cast<std::int64_t>(contexts_.size()));
  metrics().set(Metric::is_ready, is_ready());
}

void BrokerLoop::record_refusal(ServerExchange& exchange, const Route* route, ErrorCode kind,
                                TimePoint now) {
  FailedRequest failed;
  failed.try_id = exchange.request().get(header_name::try_id, "");
  failed.route = route ? route->name : "";
  failed.version = table_ ? table_->configuration->version : Version{};
  failed.reason = make_error_code(kind).message();
  failed.status = status_line_of(kind).status;
  failed.began = exchange.began();
  failed.ended = now;
  failures_.record(std::move(failed));
}

void BrokerLoop::on_refused(ServerExchange& exchange, ErrorCode kind, TimePoint now) {
  record_refusal(exchange, nullptr, kind, now);
}

void BrokerLoop::record_failure(const RequestContext& context, std::string reason, int status,
                                TimePoint now) {
  const ProxiedRequest* request = context.proxied_request;
  if (!request)
    return;  // a gather for another broker, which tells of it itself
  FailedRequest failed;
  failed.try_id = context.try_id;
  failed.route = request->route().name;
  failed.version = request->table().configuration->version;
  failed.reason = std::move(reason);
  failed.stop = request->stop_reason();
  failed.status = status;
  failed.began = request->began();
  failed.ended = now;
  failed.deadline = request->deadline();
  failed.parts = request->part_count();
  failed.parts_done = request->parts_done();
  failed.retry_reserve = retry_reserve(now);
  failed.attempts = context.attempts;
  failures_.record(std::move(failed));
}

// The process ends before these have an answer.
void BrokerLoop::record_cut_requests(TimePoint now) {
  for (const auto& [requester, context] : contexts_)
    record_failure(*context, "cut: the process ends", 0, now);
}

void BrokerLoop::AlertClock::on_due(TimePoint now) {
  loop.show_gauges();
  for (const std::string& turned : loop.alerts_.evaluate(
           [](Metric metric) { return static_cast<double>(metrics().get(metric)); }, now))
    LOG(WARNING) << "alerts: " << turned;
  if (!loop.alerts_.is_empty())
    loop.timers_.set(*this, now + 1s);
}

std::string BrokerLoop::metrics_page() const {
  show_gauges();
  return metrics().page() + violations_page() + failures_.metrics_page();
}

void BrokerLoop::Readiness::on_request(ServerExchange& exchange, TimePoint now) {
  const std::string& target = exchange.request().getURI();
  if (target == row_of(HttpCall::metrics).path)
    return exchange.answer(MetricsServer::reply(loop_.metrics_page()), now);
  if (target == row_of(HttpCall::failures).path)
    return exchange.answer({200, "OK", "Content-Type: text/plain\r\n", loop_.failures_.page()},
                           now);
  if (target.substr(0, target.find('?')) != row_of(HttpCall::readiness).path)
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  if (loop_.is_ready())
    return exchange.answer({200, "OK", "", "ready\n"}, now);
  exchange.answer(reply_of(loop_.is_leaving_ ? ErrorCode::draining : ErrorCode::not_ready), now);
}

}  // namespace saddlewing
