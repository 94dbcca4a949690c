#pragma once
// The traffic thread of a broker: clients, backends, and the errands between them.
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <unordered_map>
#include <vector>

#include "broker/attempt_record.h"
#include "broker/failure_log.h"
#include "control_client/control_plane_client.h"
#include "coordination/routing/alerts.h"
#include "coordination/routing/bulkhead.h"
#include "coordination/routing/delegated_gather.h"
#include "coordination/routing/fair_queue.h"
#include "coordination/routing/proxied_request.h"
#include "process/metrics_server.h"
#include "protocol/gather_messages.h"
#include "state/invariants.h"
#include "transport/http_client_connection.h"
#include "transport/http_server.h"

namespace saddlewing {

class BackendConnection;
class BrokerLoop;

// An asker under way: an errand with the visit it answers, or the aid given to another broker.
struct RequestContext final : Scheduled {
  RequestContext(BrokerLoop& loop, ExchangeId exchange) : loop(loop), exchange(exchange) {
  }
  BrokerLoop& loop;
  ExchangeId exchange;
  std::string routing_id;              // of an aid: whom to answer
  std::uint64_t delegation_token = 0;  // of an aid: by which its broker knows it
  std::unique_ptr<Requester> requester;
  ProxiedRequest* proxied_request = nullptr;  // the asker of a visit
  RingSnapshot ring;  // of a request to nodes of the ring: the view it goes by
  int rounds = 0;     // how often it has started anew
  struct Place {
    std::string key;
    VirtualNode virtual_node;
    std::uint32_t owner;
  };
  std::optional<Place> position;  // of a request that the ring places
  bool is_risky = false;
  bool is_heavy = false;  // as its last part was asked, see coordination/bulkhead.h
  TimePoint began{};
  Duration target{0};
  std::vector<BackendConnection*> at_work;  // over which an attempt is under way
  std::vector<AttemptRecord> attempts;      // in the order of their beginning
  std::vector<std::uint64_t> connections;   // asked over, each once: of a surplus answer there
                                            // nobody could tell which asking it is to
  std::string method, try_id, head_start,
      body;  // head_start: the request's head but for what differs by backend
  void on_due(TimePoint now) override;
};
using RequestContextPointer = std::shared_ptr<RequestContext>;

// A connection to a backend.
class BackendConnection final : public HttpCallObserver, public Scheduled {
 public:
  BackendConnection(BrokerLoop& loop, BackendPointer backend);
  ~BackendConnection() override;
  bool ask(RequestContextPointer context, std::size_t part, TimePoint now);
  // Nobody waits for the attempt under way any more. It may still end until then, so that the
  // connection can be used again; then the connection is closed, and the backend stops.
  void abandon(TimePoint until, TimePoint now);
  bool is_ended() const {
    return caller_.state() == HttpClientConnection::State::ended;
  }
  const Backend& backend() const {
    return *backend_;
  }
  std::uint64_t serial() const {
    return serial_;
  }
  void end();
  void rest(TimePoint now, Duration idle);  // idle until asked, or until the span is over

  void on_response(HttpClientConnection& caller, TimePoint now) override;
  void on_failure(HttpClientConnection& caller, ErrorCode kind, TimePoint now) override;
  void on_idle_end(HttpClientConnection& caller) override;
  void on_due(TimePoint now) override;

 private:
  RequestContextPointer release(AttemptEnd end, int status, bool may_have_run, TimePoint now);
  void break_off(TimePoint now);
  void report_failure(ErrorCode kind, bool may_have_run) const;
  void read_load(const Poco::Net::HTTPResponse& response, TimePoint now);

  BrokerLoop& loop_;
  const std::uint64_t serial_;
  BackendPointer backend_;
  HttpClientConnection caller_;
  RequestContextPointer context_;  // null while idle
  std::size_t part_ = 0;
  std::size_t record_ = 0;  // in RequestContext::attempts
  bool is_heavy_ = false;
  TimePoint asked_{};
  bool is_connect_checked_ = false;
  bool is_abandoned_ = false;  // the attempt under way
};

class BrokerLoop final : public HttpServer::Handler,
                         public ProxiedRequest::Callbacks,
                         public DelegatedGatherWork::Callbacks {
 public:
  BrokerLoop(const NodeSettings& settings, IncarnationId incarnation);
  // `metrics_port`: see MetricsServer::open.
  Error open(int metrics_port = 0);
  void start();
  void show(ViewSnapshot view) {
    views_.replace(std::move(view));
  }
  void tell(DelegationEvent event) {
    hand_over(delegation_events_, std::move(event), "event of a delegated gather");
  }
  void handle_delegation_event(DelegationEvent& event, TimePoint now);  // the traffic thread alone
  // Rules from now on; a wrong file is logged and the rules before it stay.
  void read_alerts(const std::string& path);
  void set_sender(std::function<bool(DelegationMessage)> send) {
    send_ = std::move(send);
  }
  void set_follower(ControlPlaneClient& follower) {
    control_client_ = &follower;
  }
  void turn_ring(RingUpdate news) {
    hand_over(ring_news_, std::move(news), "view of the ring");
  }
  void turn_edges(EdgeUpdate news) {
    hand_over(edge_news_, std::move(news), "view of edges");
  }
  void leave() {
    should_leave_ = true;
    poller_.wake();
  }
  void join() {
    if (thread_.joinable())
      thread_.join();
  }

  void on_request(ServerExchange& exchange, TimePoint now) override;
  void on_gone(ServerExchange& exchange) override;
  void on_input_end(ServerExchange& exchange, TimePoint now) override;
  void on_refused(ServerExchange& exchange, ErrorCode kind, TimePoint now) override;
  bool send_attempt(Requester& requester, std::size_t part, Backend& backend,
                    TimePoint now) override;
  ProxiedRequest::Callbacks::Delegation delegate(ProxiedRequest& proxied_request,
                                                 Duration flush_after, TimePoint now) override;
  void handle_delegation_timeout(ProxiedRequest& proxied_request, TimePoint now) override;
  void send_gather_result(DelegatedGatherWork& work, GatherResult aided, TimePoint now) override;
  void send_response(ProxiedRequest& proxied_request, FinalResponse answer, TimePoint now) override;
  RetryBudget& retry_budget(const std::string& service) override;
  double retry_reserve(TimePoint now) override {
    return view_->retry_quota.available(now);
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int max_connections, TimePoint now,
                  const PickConstraints& wish) override;
  PickConstraints pick_constraints(const ProxiedRequest& proxied_request,
                                   const std::string& service, TimePoint now) override;
  bool enqueue(ProxiedRequest& proxied_request, TimePoint now) override;
  LatencyEstimate& latency_estimate(const Route& route) override {
    return paces_[route.name + route.host + route.path_start];
  }
  double random_fraction() override {
    return std::uniform_real_distribution<double>(0, 1)(draw_);
  }

 private:
  friend class BackendConnection;
  friend struct RequestContext;
  friend struct InvariantProbe;  // tests plant faults
  class Readiness final : public HttpServer::Handler {
   public:
    explicit Readiness(const BrokerLoop& loop) : loop_(loop) {
    }
    void on_request(ServerExchange& exchange, TimePoint now) override;
    void on_gone(ServerExchange&) override {
    }

   private:
    const BrokerLoop& loop_;
  };
  void run();
  void take_view(ViewSnapshot view, TimePoint now);
  void handle_gather_request(DelegationRequested& in, TimePoint now);
  // A request that may run once and has to wait for a move of its key; in the end it is told to
  // come back.
  struct Parked final : Scheduled {
    explicit Parked(BrokerLoop& loop) : loop(loop) {
    }
    BrokerLoop& loop;
    ExchangeId exchange;
    TimePoint until{};
    void on_due(TimePoint now) override;
  };
  void begin(ServerExchange& exchange, const RequestContext* before,
             TimePoint now);  // before: the trip that it starts anew
  bool is_of_ring(const Route& route) const;
  bool restart(const RequestContextPointer& context, std::size_t part, TimePoint now);
  bool position(ServerExchange& exchange, const Route& route, RequestContext& context,
                std::optional<ServiceIndex>& service, TimePoint now);
  void take_ring(RingUpdate news, TimePoint now);
  void leave_place(const RequestContext& context, TimePoint now);
  void report_ring();
  static bool is_near(const Backend& backend, const std::string& region, TimePoint now);
  void end_context(const Requester* requester);
  void abandon(Requester& requester, TimePoint until, TimePoint now);
  void stop_attempts(const RequestContext& context, TimePoint until, TimePoint now);
  void cancel_delegation(const Requester& requester);
  void handle_gather_cancel(const DelegationCancelled& cancelled, TimePoint now);
  void arrange(RequestContext& context);
  static std::string head_for(const RequestContext& context, const Backend& backend, TimePoint now);
  bool is_ready() const {
    return view_->is_ready && !is_leaving_;
  }
  void defer_delete(BackendConnection* connection);
  void keep_warm(const BackendPointer& backend);
  void check_leaving(TimePoint now);
  void show_gauges() const;
  std::string metrics_page() const;
  void check_tables() const;
  // Notes a request that was refused before it began.
  void record_refusal(ServerExchange& exchange, const Route* route, ErrorCode kind, TimePoint now);
  // Notes a request that failed, with its attempts. `status`: of the response; 0: none went out.
  void record_failure(const RequestContext& context, std::string reason, int status, TimePoint now);
  void record_cut_requests(TimePoint now);

  void record_work(const RequestContext& context, const Backend& backend, Duration took,
                   std::size_t bytes, TimePoint now);
  void serve_turns(std::size_t limit, TimePoint now);
  struct TurnClock final : Scheduled {
    explicit TurnClock(BrokerLoop& loop) : loop(loop) {
    }
    BrokerLoop& loop;
    void on_due(TimePoint now) override {
      loop.serve_turns(max_waiting, now);
    }
  };
  static constexpr std::size_t max_waiting = 256;
  // The shared view of edges.
  void take_edges(EdgeUpdate news, TimePoint now);
  void mark_edges();
  std::string region_of_delegate(const std::string& address) const;
  void count_edge(const std::string& service, const std::string& zone, EdgeClass kind,
                  Duration took, bool has_failed);
  struct EdgeClock final : Scheduled {
    explicit EdgeClock(BrokerLoop& loop) : loop(loop) {
    }
    BrokerLoop& loop;
    void on_due(TimePoint now) override;
  };
  struct AlertClock final : Scheduled {
    explicit AlertClock(BrokerLoop& loop) : loop(loop) {
    }
    BrokerLoop& loop;
    void on_due(TimePoint now) override;
  };

  const NodeSettings settings_;
  Poller poller_;
  TimerQueue timers_;
  HttpServer server_;
  Readiness readiness_;
  HttpServer ready_server_;
  MetricsServer metrics_server_;
  BoundedQueue<ViewSnapshot> views_;
  ViewSnapshot view_ = std::make_shared<View>();  // invariant: never null; other brokers may ask
                                                  // before the first one
  RoutingTableSnapshot table_;
  std::map<std::string, BackendPointer> backends_;          // by id
  std::unordered_map<std::string, RetryBudget> budgets_;    // by service
  std::unordered_map<std::string, LatencyEstimate> paces_;  // by rule
  LoadBalancer picker_;
  std::minstd_rand draw_;
  std::unordered_map<const Requester*, RequestContextPointer> contexts_;
  std::unordered_map<std::string, std::vector<BackendPointer>>
      by_name_;  // by service, named by a rule or not

  // Aid by brokers of other regions.
  struct DelegateBroker {
    double mean_ms = 0,
           way_ms = 0;  // until a frame comes; of that, what the way there and back takes
    int under_way = 0;
    CircuitBreaker breaker;
  };
  struct DelegatedGather {
    const Requester* requester;
    std::string to;
    TimePoint asked;
    std::vector<std::size_t> parts;  // their places in the errand
  };
  BoundedQueue<DelegationEvent> delegation_events_;
  std::function<bool(DelegationMessage)> send_;
  std::unordered_map<std::string, DelegateBroker> delegates_;       // by inner address
  std::unordered_map<std::uint64_t, DelegatedGather> delegations_;  // by token
  std::unordered_map<const Requester*, std::uint64_t> delegation_tokens_;
  // Gathers for other brokers that are under way, by routing id and token.
  std::map<std::pair<std::string, std::uint64_t>, Requester*> delegated_works_;
  std::uint64_t last_delegation_ = 0;
  const IncarnationId incarnation_;
  std::unordered_map<ExchangeId, ProxiedRequest*> by_exchange_;
  std::unordered_map<std::string, Duration>
      idle_spans_;  // how long backends of a service keep an idle connection, as told last
  std::uint64_t last_connection_ = 0;
  std::unordered_map<const Backend*, std::vector<BackendConnection*>> idle_;
  std::unordered_map<BackendConnection*, std::unique_ptr<BackendConnection>> connections_;
  std::vector<std::unique_ptr<BackendConnection>> closed_connections_;
  FailureLog failures_;
  std::vector<RequestContextPointer> ended_contexts_;
  ControlPlaneClient* control_client_ = nullptr;
  BoundedQueue<RingUpdate> ring_news_;
  RingRouter gate_;
  RingCounts ring_counts_;
  TimePoint ring_reported_{};
  std::map<ExchangeId, std::unique_ptr<Parked>> parked_;
  BoundedQueue<std::vector<AlertRule>> alert_rules_;
  Alerts alerts_;
  AlertClock alert_clock_{*this};
  BoundedQueue<EdgeUpdate> edge_news_;
  EdgeSelector edge_selector_;
  EdgeCounts edge_counts_{4096};
  EdgeClock edge_clock_{*this};
  RouteCostClassifier classes_;
  FairQueue<const Requester*> turns_{max_waiting, 4};  // short ones get four turns to one
  TurnClock turn_clock_{*this};
  bool is_leaving_ = false;
  TimePoint left_{};
  std::atomic<bool> should_leave_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
