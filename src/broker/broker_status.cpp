// What the broker loop shows of itself: readiness, metrics, and the alert rules that act on them.
#include <glog/logging.h>

#include <fstream>
#include <sstream>

#include "broker/broker_loop.h"
#include "protocol/http_calls.h"

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

void BrokerLoop::show_gauges() const {
  metrics().set(Metric::client_connections, static_cast<std::int64_t>(server_.count()));
  metrics().set(Metric::proxied_requests, static_cast<std::int64_t>(contexts_.size()));
  metrics().set(Metric::is_ready, is_ready());
}

void BrokerLoop::AlertClock::on_due(TimePoint now) {
  loop.show_gauges();
  for (const std::string& turned : loop.alerts_.evaluate(
           [](Metric metric) { return static_cast<double>(metrics().get(metric)); }, now))
    LOG(WARNING) << "alerts: " << turned;
  if (!loop.alerts_.is_empty())
    loop.timers_.set(*this, now + 1s);
}

void BrokerLoop::Readiness::on_request(ServerExchange& exchange, TimePoint now) {
  const std::string& target = exchange.request().getURI();
  if (target == row_of(HttpCall::metrics).path) {
    loop_.show_gauges();
    return exchange.answer(
        {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", metrics().page()}, now);
  }
  if (target.substr(0, target.find('?')) != row_of(HttpCall::readiness).path)
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  if (loop_.is_ready())
    return exchange.answer({200, "OK", "", "ready\n"}, now);
  exchange.answer(reply_of(loop_.is_leaving_ ? ErrorCode::draining : ErrorCode::not_ready), now);
}

}  // namespace saddlewing
