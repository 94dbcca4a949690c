#include "process/metrics_server.h"

#include <glog/logging.h>

#include <utility>

#include "protocol/http_calls.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_connections = 16;
constexpr std::size_t max_buffered_bytes = 1 << 20;

}  // namespace

MetricsServer::MetricsServer(Poller& poller, TimerQueue& timers, std::function<std::string()> page)
    : page_(std::move(page)), server_(poller, timers, *this, max_connections, max_buffered_bytes) {
}

void MetricsServer::open(const std::string& host, int port) {
  if (port == 0)
    return;
  const Address address{host, port};
  if (Error found = server_.open(address))
    LOG(WARNING) << "metrics: not served at " << address.text() << ": " << found.text();
}

Reply MetricsServer::reply(std::string page) {
  return {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", std::move(page)};
}

void MetricsServer::on_request(ServerExchange& exchange, TimePoint now) {
  if (exchange.request().getURI() != row_of(HttpCall::metrics).path)
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  exchange.answer(reply(page_()), now);
}

}  // namespace saddlewing
