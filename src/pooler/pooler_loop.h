#pragma once
// The traffic thread of a pooler: clients' sessions, connections to databases, and what is known of
// their leads.
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <unordered_map>

#include "control_client/control_plane_client.h"
#include "coordination/databases/database_session.h"
#include "coordination/databases/log_position_samples.h"
#include "process/metrics_server.h"
#include "protocol/database_protocol.h"
#include "transport/database_transport.h"
#include "transport/http_server.h"

namespace saddlewing {

class PoolerLoop final : public SessionContext {
 public:
  explicit PoolerLoop(NodeSettings settings);
  // Behind the end of its thread.
  ~PoolerLoop() override;
  // `metrics_port`: see MetricsServer::open.
  Error open(int metrics_port = 0);
  void start() {
    thread_ = std::thread([this] { run(); });
  }
  void set_follower(ControlPlaneClient& follower) {
    control_client_ = &follower;
  }
  void show(ViewSnapshot view) {
    views_.replace(std::move(view));
  }
  void lease(LeadershipUpdate news) {
    hand_over(leases_, std::move(news), "leases of leaderships");
  }
  void sample(SampleUpdate news) {
    hand_over(samples_in_, std::move(news), "samples of log positions");
  }
  void leave() {
    should_leave_ = true;
    poller_.wake();
  }
  void join() {
    if (thread_.joinable())
      thread_.join();
  }

  const ConfigurationSnapshot& configuration() const override {
    return view_->configuration;
  }
  DatabaseChoice choose(const Session& session, const std::string& service, const Route& route,
                        bool must_lead, TimePoint began, TimePoint now) override;
  bool holds_leadership(const Backend& backend, TimePoint now) const override;
  bool may_wait(Session& session) override;
  void stop_waiting(Session& session) override {
    waiting_.erase(&session);
  }
  void record_refusal(Backend& backend, StatementError error, TimePoint now) override;
  void send_to_client(Session& session, std::string bytes) override;
  void close(Session& session) override;
  void set_due(Session& session, TimePoint due) override;
  DatabaseConnectionPool& pool() override {
    return pool_;
  }
  int max_connections(const Service& service) const override;

 private:
  // One client's connection. Invariant: idle, it costs this object and its session, and no moment
  // in the schedule.
  struct Client final : Scheduled {
    Client(PoolerLoop& loop, TcpConnection channel);
    PoolerLoop& loop;
    DatabaseTransport link;
    Session session;
    void on_due(TimePoint now) override;
  };
  struct Link final : DatabaseConnectionLink {
    Link(PoolerLoop& loop, DatabaseConnection& connection);
    bool send(const std::string& bytes) override {
      return transport.send(bytes);
    }
    void close() override {
      transport.close();
    }
    DatabaseTransport transport;
  };
  class ClientListener final : public Watcher {
   public:
    explicit ClientListener(PoolerLoop& loop) : loop_(loop) {
    }
    void on_ready(bool is_readable, bool is_writable) override;
    Listener listener;

   private:
    PoolerLoop& loop_;
  };
  struct Tick final : Scheduled {
    explicit Tick(PoolerLoop& loop) : loop(loop) {
    }
    PoolerLoop& loop;
    void on_due(TimePoint now) override {
      loop.tick(now);
    }
  };
  class Readiness final : public HttpServer::Handler {
   public:
    explicit Readiness(const PoolerLoop& loop) : loop_(loop) {
    }
    void on_request(ServerExchange& exchange, TimePoint now) override;
    void on_gone(ServerExchange&) override {
    }

   private:
    const PoolerLoop& loop_;
  };
  struct Health {  // of one backend, as seen here
    TimePoint fine{}, failing{};
    TimePoint lagging_until{};
    Duration lag_pause{0};
  };

  void run();
  void tick(TimePoint now);
  void apply_view(ViewSnapshot view, TimePoint now);
  void handle_leadership_lease(LeadershipUpdate news, TimePoint now);
  void end_draining(TimePoint now);
  void wake_waiting(TimePoint now);
  void report(TimePoint now);
  void check_leaving(TimePoint now);
  void defer_delete(Client& client);
  void end_sessions(TimePoint now);
  bool is_ready() const {
    return view_->is_ready && leaderships_->revision > 0 && !is_leaving_;
  }
  BackendPointer leader_of(const std::string& service, TimePoint now) const;
  int cost(const Backend& backend) const;

  const NodeSettings settings_;
  Poller poller_;
  TimerQueue timers_;
  Readiness readiness_;
  HttpServer ready_server_;
  MetricsServer metrics_server_;
  ClientListener client_listener_;
  Tick tick_;
  ControlPlaneClient* control_client_ = nullptr;
  BoundedQueue<ViewSnapshot> views_;
  BoundedQueue<LeadershipUpdate> leases_;
  BoundedQueue<SampleUpdate> samples_in_;
  ViewSnapshot view_ = std::make_shared<View>();
  std::map<std::string, BackendPointer> backends_;  // by id
  std::unordered_map<std::string, std::vector<BackendPointer>> by_service_;
  std::unordered_map<std::string, TimePoint> emptying_;  // since when, by id
  std::unordered_map<const Backend*, Health> health_;

  // Invariant: a lead is used only while `now` is before `lease_until_`, and only as this table has
  // it.
  std::shared_ptr<const LeadershipTable> leaderships_ = std::make_shared<LeadershipTable>();
  TimePoint lease_until_{};
  std::map<std::string, TimePoint>
      draining_;  // leads given up in good order, by id: until when their transactions may go on
  std::uint64_t confirmed_revision_ = 0;
  LogPositionSamples samples_, own_samples_;  // all that are known; those seen here, to be told

  DatabaseConnectionPool pool_;
  std::unordered_map<const Session*, Client*> by_session_;
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> closed_clients_;
  std::vector<std::unique_ptr<DatabaseConnection>> closed_connections_;
  std::vector<std::unique_ptr<DatabaseConnectionLink>> closed_links_;
  std::set<Session*> waiting_;
  bool is_leaving_ = false, has_new_evidence_ = false;
  TimePoint leaving_since_{}, last_report_{};
  std::atomic<bool> should_leave_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
