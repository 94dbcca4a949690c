#pragma once
// The steering thread of a registry: takes the operators' calls over HTTP.
#include <atomic>
#include <map>
#include <thread>

#include "process/metrics_server.h"
#include "registry/events.h"
#include "state/node_settings.h"
#include "transport/http_server.h"

namespace saddlewing {

class OperatorApi final : public HttpServer::Handler {
 public:
  OperatorApi(const NodeSettings& settings, BoundedQueue<ControlEvent>& events);
  // `metrics_port`: see MetricsServer::open.
  Error open(int metrics_port = 0);
  void start();
  void stop();
  void post_reply(OperatorReply result) {
    hand_over(replies_, std::move(result), "reply to an operator");
  }

  void on_request(ServerExchange& exchange, TimePoint now) override;
  void on_gone(ServerExchange&) override {
  }

 private:
  struct Open final : Scheduled {
    OperatorApi* operator_api = nullptr;
    std::uint64_t token = 0;
    ExchangeId exchange;
    bool is_read = false;
    void on_due(TimePoint now) override;
  };
  void run();
  void handle_replies(TimePoint now);
  std::uint64_t open_call(ServerExchange& exchange, bool is_read, TimePoint now);
  void handle_backend_call(ServerExchange& exchange, TimePoint now);
  void refer(ServerExchange& exchange, OperatorCall call, TimePoint now);
  void finish(std::uint64_t token, Reply reply, TimePoint now);

  Address address_;
  std::string host_;
  BoundedQueue<ControlEvent>& events_;
  Poller poller_;
  TimerQueue timers_;
  HttpServer server_;
  MetricsServer metrics_server_;
  BoundedQueue<OperatorReply> replies_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t last_token_ = 0;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
