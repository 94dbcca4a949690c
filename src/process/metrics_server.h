#pragma once
// An address of its own for a process's metrics, for those who collect them at a port that is the
// same on all machines. Belongs to the thread that runs the poller.
#include <functional>
#include <string>

#include "state/address.h"
#include "transport/http_server.h"

namespace saddlewing {

/** Answers `GET /metrics`, and nothing else. */
class MetricsServer final : private HttpServer::Handler {
 public:
  /** @param page gives the metrics in the Prometheus text format. */
  MetricsServer(Poller& poller, TimerQueue& timers, std::function<std::string()> page);

  /**
   * Begins to serve. A port that is taken is logged and left alone: no traffic depends on it.
   * @param host the machine's address.
   * @param port 0: metrics are served at the process's other addresses alone.
   */
  void open(const std::string& host, int port);

  /** Frees the connections that closed during a round of the poller. */
  void reap() {
    server_.reap();
  }

  /** The whole answer to who asks for the metrics. */
  static Reply reply(std::string page);

 private:
  void on_request(ServerExchange& exchange, TimePoint now) override;
  void on_gone(ServerExchange&) override {
  }

  std::function<std::string()> page_;
  HttpServer server_;
};

}  // namespace saddlewing
