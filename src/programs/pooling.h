#pragma once
// The traffic thread of a pooler: clients' sessions, connections to databases, and what is known of
// their leads.
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <unordered_map>

#include "coordination/samples.h"
#include "coordination/session.h"
#include "programs/follower.h"
#include "transport/server.h"
#include "transport/wire_link.h"

namespace saddlewing {

class Pooling final : public SessionGround {
 public:
  explicit Pooling(const Startup& startup);
  Fault open();
  void start() {
    thread_ = std::thread([this] { run(); });
  }
  void set_follower(Follower& follower) {
    follower_ = &follower;
  }
  void show(ViewSnapshot view) {
    views_.replace(std::move(view));
  }
  void hold(HoldNews news) {
    holds_.push(std::move(news));
  }
  void sample(SampleNews news) {
    samples_in_.push(std::move(news));
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
  DatabaseChoice choose(const Session& session, const std::string& service, const Rule& rule,
                        bool must_lead, Moment began, Moment now) override;
  bool holds_lead(const Backend& backend, Moment now) const override;
  bool may_wait(Session& session) override;
  void stop_waiting(Session& session) override {
    waiting_.erase(&session);
  }
  void see_refusal(Backend& backend, Verdict verdict, Moment now) override;
  void say(Session& session, std::string bytes) override;
  void close(Session& session) override;
  void set_due(Session& session, Moment due) override;
  Pool& pool() override {
    return pool_;
  }
  int most_lanes(const Service& service) const override;

 private:
  // One client's connection. Invariant: idle, it costs this object and its session, and no moment
  // in the schedule.
  struct Client final : Scheduled {
    Client(Pooling& pooling, Channel channel);
    Pooling& pooling;
    WireLink link;
    Session session;
    void on_due(Moment now) override;
  };
  struct Link final : LaneLink {
    Link(Pooling& pooling, Lane& lane);
    bool send(const std::string& bytes) override {
      return wire.send(bytes);
    }
    void close() override {
      wire.close();
    }
    WireLink wire;
  };
  class Door final : public Watcher {
   public:
    explicit Door(Pooling& pooling) : pooling_(pooling) {
    }
    void on_ready(bool is_readable, bool is_writable) override;
    Listener listener;

   private:
    Pooling& pooling_;
  };
  struct Tick final : Scheduled {
    explicit Tick(Pooling& pooling) : pooling(pooling) {
    }
    Pooling& pooling;
    void on_due(Moment now) override {
      pooling.tick(now);
    }
  };
  class Readiness final : public Server::Handler {
   public:
    explicit Readiness(const Pooling& pooling) : pooling_(pooling) {
    }
    void on_request(Visit& visit, Moment now) override;
    void on_gone(Visit&) override {
    }

   private:
    const Pooling& pooling_;
  };
  struct Health {  // of one backend, as seen here
    Moment fine{}, failing{};
    Moment lagging_until{};
    Span lag_pause{0};
  };

  void run();
  void tick(Moment now);
  void take_view(ViewSnapshot view, Moment now);
  void take_hold(HoldNews news, Moment now);
  void end_draining(Moment now);
  void wake_waiting(Moment now);
  void report(Moment now);
  void check_leaving(Moment now);
  void bury(Client& client);
  bool is_ready() const {
    return view_->is_ready && leads_->mark > 0 && !is_leaving_;
  }
  BackendPointer lead_of(const std::string& service, Moment now) const;
  int cost(const Backend& backend) const;

  const Startup startup_;
  Poller poller_;
  Schedule schedule_;
  Readiness readiness_;
  Server ready_server_;
  Door door_;
  Tick tick_;
  Follower* follower_ = nullptr;
  Ring<ViewSnapshot> views_;
  Ring<HoldNews> holds_;
  Ring<SampleNews> samples_in_;
  ViewSnapshot view_ = std::make_shared<View>();
  std::map<std::string, BackendPointer> backends_;  // by id
  std::unordered_map<std::string, std::vector<BackendPointer>> by_service_;
  std::unordered_map<std::string, Moment> emptying_;  // since when, by id
  std::unordered_map<const Backend*, Health> health_;

  // Invariant: a lead is used only while `now` is before `hold_until_`, and only as this table has
  // it.
  std::shared_ptr<const LeadTable> leads_ = std::make_shared<LeadTable>();
  Moment hold_until_{};
  std::map<std::string, Moment>
      draining_;  // leads given up in good order, by id: until when their transactions may go on
  std::uint64_t confirmed_mark_ = 0;
  Samples samples_, own_samples_;  // all that are known; those seen here, to be told

  Pool pool_;
  std::unordered_map<const Session*, Client*> by_session_;
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> client_graves_;
  std::vector<std::unique_ptr<Lane>> lane_graves_;
  std::vector<std::unique_ptr<LaneLink>> link_graves_;
  std::set<Session*> waiting_;
  bool is_leaving_ = false, has_news_ = false;
  Moment left_{}, reported_{};
  std::atomic<bool> should_leave_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
