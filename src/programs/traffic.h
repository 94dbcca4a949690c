#pragma once
// The traffic thread of a broker: clients, backends, and the errands between them.
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <unordered_map>
#include <vector>

#include "coordination/aid.h"
#include "coordination/alerts.h"
#include "coordination/bulkhead.h"
#include "coordination/errand.h"
#include "programs/follower.h"
#include "transport/caller.h"
#include "transport/server.h"

namespace saddlewing {

class Traffic;

// An asker under way: an errand with the visit it answers, or the aid given to another broker.
struct Trip final : Scheduled {
  Trip(Traffic& traffic, VisitId visit) : traffic(traffic), visit(visit) {
  }
  Traffic& traffic;
  VisitId visit;
  std::string route;  // of an aid: whom to answer
  std::unique_ptr<Asker> asker;
  Errand* errand = nullptr;  // the asker of a visit
  RingSnapshot ring;         // of a request to nodes of the ring: the view it goes by
  int rounds = 0;            // how often it has started anew
  struct Place {
    std::string key;
    VirtualNode virtual_node;
    std::uint32_t owner;
  };
  std::optional<Place> place;  // of a request that the ring places
  bool is_risky = false;
  bool is_heavy = false;  // as its last part was asked, see coordination/bulkhead.h
  Moment began{};
  Span target{0};
  std::vector<std::uint64_t> connections;  // asked over, each once: of a surplus answer there
                                           // nobody could tell which asking it is to
  std::string method, try_id, head_start,
      body;  // head_start: the request's head but for what differs by backend
  void on_due(Moment now) override;
};
using TripPointer = std::shared_ptr<Trip>;

// A connection to a backend.
class Wire final : public CallOwner, public Scheduled {
 public:
  Wire(Traffic& traffic, BackendPointer backend);
  ~Wire() override;
  bool ask(TripPointer trip, std::size_t part, Moment now);
  bool is_ended() const {
    return caller_.state() == Caller::State::ended;
  }
  const Backend& backend() const {
    return *backend_;
  }
  std::uint64_t serial() const {
    return serial_;
  }
  void end();
  void rest(Moment now, Span idle);  // idle until asked, or until the span is over

  void on_outcome(Caller& caller, Moment now) override;
  void on_breakdown(Caller& caller, Kind kind, Moment now) override;
  void on_idle_end(Caller& caller) override;
  void on_due(Moment now) override;

 private:
  TripPointer release();
  void tell_breakdown(Kind kind, bool may_have_run) const;
  void read_load(const Poco::Net::HTTPResponse& response, Moment now);

  Traffic& traffic_;
  const std::uint64_t serial_;
  BackendPointer backend_;
  Caller caller_;
  TripPointer trip_;  // null while idle
  std::size_t part_ = 0;
  bool is_heavy_ = false;
  Moment asked_{};
  bool is_connect_checked_ = false;
};

class Traffic final : public Server::Handler, public Errand::Ground, public AidWork::Ground {
 public:
  Traffic(const Startup& startup, LifeId life);
  Fault open();
  void start();
  void show(ViewSnapshot view) {
    views_.replace(std::move(view));
  }
  void tell(AidEvent event) {
    aid_events_.push(std::move(event));
  }
  void take_aid_event(AidEvent& event, Moment now);  // the traffic thread alone
  // Rules from now on; a wrong file is logged and the rules before it stay.
  void read_alerts(const std::string& path);
  void set_sender(std::function<bool(AidOut)> send) {
    send_ = std::move(send);
  }
  void set_follower(Follower& follower) {
    follower_ = &follower;
  }
  void turn_ring(RingNews news) {
    ring_news_.push(std::move(news));
  }
  void turn_edges(EdgeNews news) {
    edge_news_.push(std::move(news));
  }
  void leave() {
    should_leave_ = true;
    poller_.wake();
  }
  void join() {
    if (thread_.joinable())
      thread_.join();
  }

  void on_request(Visit& visit, Moment now) override;
  void on_gone(Visit& visit) override;
  bool ask(Asker& asker, std::size_t part, Backend& backend, Moment now) override;
  Errand::Ground::AidTaken call_aid(Errand& errand, Span flush_after, Moment now) override;
  void miss_aid(Errand& errand, Moment now) override;
  void send_aided(AidWork& work, Aided aided, Moment now) override;
  void answer(Errand& errand, FinalAnswer answer, Moment now) override;
  Budget& budget(const std::string& service) override;
  double reserve(Moment now) override {
    return view_->reserve.part(now);
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int most_connections, Moment now,
                  const PickWish& wish) override;
  PickWish wish(const Errand& errand, const std::string& service, Moment now) override;
  bool wait_turn(Errand& errand, Moment now) override;
  Pace& pace(const Rule& rule) override {
    return paces_[rule.name + rule.host + rule.path_start];
  }
  double draw() override {
    return std::uniform_real_distribution<double>(0, 1)(draw_);
  }

 private:
  friend class Wire;
  friend struct Trip;
  class Readiness final : public Server::Handler {
   public:
    explicit Readiness(const Traffic& traffic) : traffic_(traffic) {
    }
    void on_request(Visit& visit, Moment now) override;
    void on_gone(Visit&) override {
    }

   private:
    const Traffic& traffic_;
  };
  void run();
  void take_view(ViewSnapshot view, Moment now);
  void take_aid(AidIn& in, Moment now);
  // A request that may run once and has to wait for a move of its key; in the end it is told to
  // come back.
  struct Parked final : Scheduled {
    explicit Parked(Traffic& traffic) : traffic(traffic) {
    }
    Traffic& traffic;
    VisitId visit;
    void on_due(Moment now) override;
  };
  void begin(Visit& visit, const Trip* before, Moment now);  // before: the trip that it starts anew
  bool is_of_ring(const Rule& rule) const;
  bool restart(const TripPointer& trip, std::size_t part, Moment now);
  bool place(Visit& visit, const Rule& rule, Trip& trip, std::optional<ServiceIndex>& service,
             Moment now);
  void take_ring(RingNews news, Moment now);
  void leave_place(const Trip& trip, Moment now);
  void report_ring();
  bool is_near(const Backend& backend, const std::string& region, Moment now) const;
  void end_trip(const Asker* asker);
  void arrange(Trip& trip);
  std::string head_for(const Trip& trip, const Backend& backend, Moment now) const;
  bool is_ready() const {
    return view_->is_ready && !is_leaving_;
  }
  void bury(Wire* wire);
  void keep_warm(const BackendPointer& backend);
  void check_leaving(Moment now);
  void show_gauges() const;

  void note_work(const Trip& trip, const Backend& backend, Span took, std::size_t bytes,
                 Moment now);
  void serve_turns(std::size_t most, Moment now);
  struct TurnClock final : Scheduled {
    explicit TurnClock(Traffic& traffic) : traffic(traffic) {
    }
    Traffic& traffic;
    void on_due(Moment now) override {
      traffic.serve_turns(most_waiting, now);
    }
  };
  static constexpr std::size_t most_waiting = 256;
  // The shared view of edges.
  void take_edges(EdgeNews news, Moment now);
  void mark_edges();
  std::string region_of_aide(const std::string& address) const;
  void count_edge(const std::string& service, const std::string& zone, EdgeClass kind, Span took,
                  bool has_failed);
  struct EdgeClock final : Scheduled {
    explicit EdgeClock(Traffic& traffic) : traffic(traffic) {
    }
    Traffic& traffic;
    void on_due(Moment now) override;
  };
  struct AlertClock final : Scheduled {
    explicit AlertClock(Traffic& traffic) : traffic(traffic) {
    }
    Traffic& traffic;
    void on_due(Moment now) override;
  };

  const Startup startup_;
  Poller poller_;
  Schedule schedule_;
  Server server_;
  Readiness readiness_;
  Server ready_server_;
  Ring<ViewSnapshot> views_;
  ViewSnapshot view_ = std::make_shared<View>();  // invariant: never null; other brokers may ask
                                                  // before the first one
  TableSnapshot table_;
  std::map<std::string, BackendPointer> backends_;   // by id
  std::unordered_map<std::string, Budget> budgets_;  // by service
  std::unordered_map<std::string, Pace> paces_;      // by rule
  Picker picker_;
  std::minstd_rand draw_;
  std::unordered_map<const Asker*, TripPointer> trips_;
  std::unordered_map<std::string, std::vector<BackendPointer>>
      by_name_;  // by service, named by a rule or not

  // Aid by brokers of other regions.
  struct Aide {
    double mean_ms = 0,
           way_ms = 0;  // until a frame comes; of that, what the way there and back takes
    int under_way = 0;
    Breaker breaker;
  };
  struct AidCall {
    const Asker* asker;
    std::string to;
    Moment asked;
    std::vector<std::size_t> parts;  // their places in the errand
  };
  Ring<AidEvent> aid_events_;
  std::function<bool(AidOut)> send_;
  std::unordered_map<std::string, Aide> aides_;           // by inner address
  std::unordered_map<std::uint64_t, AidCall> aid_calls_;  // by token
  std::unordered_map<const Asker*, std::uint64_t> aid_tokens_;
  std::uint64_t last_aid_ = 0;
  const LifeId life_;
  std::unordered_map<VisitId, Errand*> by_visit_;
  std::unordered_map<std::string, Span>
      idle_spans_;  // how long backends of a service keep an idle connection, as told last
  std::uint64_t last_connection_ = 0;
  std::unordered_map<const Backend*, std::vector<Wire*>> idle_;
  std::unordered_map<Wire*, std::unique_ptr<Wire>> wires_;
  std::vector<std::unique_ptr<Wire>> graves_;
  std::vector<TripPointer> ended_trips_;
  Follower* follower_ = nullptr;
  Ring<RingNews> ring_news_;
  RingGate gate_;
  RingCounts ring_counts_;
  Moment ring_reported_{};
  std::map<VisitId, std::unique_ptr<Parked>> parked_;
  Ring<std::vector<AlertRule>> alert_rules_;
  Alerts alerts_;
  AlertClock alert_clock_{*this};
  Ring<EdgeNews> edge_news_;
  EdgeGate edge_gate_;
  EdgeCounts edge_counts_{4096};
  EdgeClock edge_clock_{*this};
  WorkClasses classes_;
  TurnQueue<const Asker*> turns_{most_waiting, 4};  // short ones get four turns to one
  TurnClock turn_clock_{*this};
  bool is_leaving_ = false;
  Moment left_{};
  std::atomic<bool> should_leave_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
