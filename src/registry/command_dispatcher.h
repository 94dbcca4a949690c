#pragma once
// The envoy thread of a registry: carries orders to databases and the calls of duty to the
// platform.
#include <atomic>
#include <map>
#include <memory>
#include <thread>

#include "protocol/http_calls.h"
#include "registry/events.h"
#include "state/node_settings.h"
#include "transport/database_message.h"
#include "transport/database_transport.h"
#include "transport/http_client_connection.h"
#include "transport/timer_queue.h"

namespace saddlewing {

class CommandDispatcher {
 public:
  CommandDispatcher(const NodeSettings& settings, BoundedQueue<ControlEvent>& events);
  void start();
  void stop();
  // The lease as it stands; Moment{}: none. Orders of its term go on by it beyond their own
  // `until`.
  void set_lease(Term term, TimePoint until) {
    if (lease_term_ != term.value)
      lease_until_ = TimePoint::duration::rep{0};
    lease_term_ = term.value;
    lease_until_ = until.time_since_epoch().count();
  }
  bool order(DispatchedCommand order) {
    return orders_.push(std::move(order));
  }

 private:
  // One order under way, over a connection of its own.
  struct PendingCommand final : Scheduled, HttpCallObserver {
    PendingCommand(CommandDispatcher& dispatcher, DispatchedCommand order)
        : dispatcher(dispatcher), order(std::move(order)) {
    }
    CommandDispatcher& dispatcher;
    DispatchedCommand order;
    std::unique_ptr<DatabaseTransport> link;       // of a database
    std::unique_ptr<HttpClientConnection> caller;  // of the platform
    bool is_greeted = false, is_over = false;
    std::string row;
    void on_due(TimePoint now) override;
    bool may_send(HttpClientConnection&, TimePoint now) override {
      return dispatcher.is_leased(order, now);
    }
    void on_response(HttpClientConnection& caller, TimePoint now) override;
    void on_failure(HttpClientConnection& caller, ErrorCode kind, TimePoint now) override;
    void on_idle_end(HttpClientConnection&) override {
    }
  };
  void run();
  void begin(DispatchedCommand order, TimePoint now);
  void begin_node(PendingCommand& command, TimePoint now);
  void call(PendingCommand& command, const Address& address, const HttpCallRow& row,
            const std::string& fields, const std::string& body);
  bool take(PendingCommand& command, DatabaseMessage&& message);
  void finish(PendingCommand& command, int status);
  bool is_leased(const DispatchedCommand& order, TimePoint now) const;

  const NodeSettings settings_;
  BoundedQueue<ControlEvent>& events_;
  Poller poller_;
  TimerQueue timers_;
  BoundedQueue<DispatchedCommand> orders_;
  std::vector<std::unique_ptr<PendingCommand>> commands_;
  // Read in the other order than written: an end of another term's lease is never taken for this
  // one's.
  std::atomic<std::uint64_t> lease_term_ = 0;
  std::atomic<TimePoint::duration::rep> lease_until_ = 0;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
