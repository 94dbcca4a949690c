#pragma once
// Databases, poolers and the leading registry around `Failover`, under a clock of its own. Messages
// and registries are lost at numbered points.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/databases/failover.h"
#include "protocol/database_protocol.h"

namespace saddlewing::tests {

// One service with three databases, three poolers and the leader of the registries, by a simulated
// clock in steps of 50 ms.
struct FailoverFixture {
  struct Database {
    std::string id;
    std::string address;
    bool is_up = true;
    bool is_leader = false;
    bool is_ready = true;
    bool is_gone = false;  // it ended its registration
    bool is_sending_heartbeats = true;
    bool is_answering = true;  // the registry's commands reach it
    std::uint64_t term = 1;
    std::uint64_t number = 10;   // of the last entry in its log
    std::uint64_t log_term = 1;  // of that entry
    TimePoint last_heartbeat{};
  };

  struct Pooler {
    std::string name;
    std::string zone;
    IncarnationId incarnation{1};
    LeadershipTable table{};  // it acts by
    TimePoint lease_until{};
    TimePoint report_due{};
    bool is_silent = false;
    bool has_failing_requests = false;
    bool is_idle = false;  // no client asks it for anything
  };

  explicit FailoverFixture(int sync = 0) : sync(sync) {
    for (const char* id : {"a", "b", "c"})
      databases.push_back({id, id});
    databases[0].is_leader = true;
    poolers = {{"p1", "north"}, {"p2", "south"}, {"p3", "south"}};
    restart();
  }

  // A database crashes; its registration stays. It comes back with its log and a new id.
  void begin_anew(const std::string& id, const std::string& new_id) {
    Database next = at(id);
    at(id).is_up = false;
    next.id = new_id;
    next.is_up = true;
    next.last_heartbeat = {};
    databases.push_back(next);
  }

  // It ends its registration first, and serves on.
  void leave(const std::string& id) {
    at(id).is_ready = at(id).is_sending_heartbeats = false;
    at(id).is_gone = true;
  }

  // Another registry becomes the leader.
  void restart() {
    failover = std::make_unique<Failover>(options);
  }

  Database& at(const std::string& id) {
    for (Database& database : databases)
      if (database.id == id)
        return database;
    return databases[0];
  }

  std::vector<DatabaseEndpoint> endpoints() const {
    std::vector<DatabaseEndpoint> endpoints;
    for (const Database& database : databases)
      endpoints.push_back({database.id, database.address, "db", "here", database.is_leader,
                           database.is_ready, database.is_gone, database.last_heartbeat});
    return endpoints;
  }

  void send_heartbeats() {
    for (Database& database : databases)
      if (database.is_up && database.is_sending_heartbeats &&
          now - database.last_heartbeat >= 1000ms)
        database.last_heartbeat = now;
  }

  void report(Pooler& pooler) {
    if (pooler.is_silent || now < pooler.report_due)
      return;
    pooler.report_due = now + 200ms;
    const std::string bit(1, '\1');
    const bool is_failing = pooler.has_failing_requests;
    failover->record_pooler(pooler.name, pooler.incarnation, pooler.table.revision, pooler.zone,
                            is_failing && !pooler.is_idle ? bit : "",
                            is_failing || pooler.is_idle ? "" : bit, now);
    if (const auto lease = failover->grant(pooler.name, pooler.incarnation, now))
      pooler.lease_until = now + *lease - 20ms;  // the request left that much earlier
    if (agreed.revision > pooler.table.revision)
      pooler.table = agreed;
  }

  void run_command(const Failover::DatabaseCommand& command) {
    if (is_lost())
      return failover->finish_command(command.token, std::nullopt, now);
    Database& database = at(command.id);
    std::optional<DatabaseStatus> status;
    if (database.is_up && database.is_answering) {
      if (command.text.starts_with("STEPDOWN ") &&
          std::stoull(command.text.substr(9)) > database.term) {
        database.is_leader = false;
        database.term = std::stoull(command.text.substr(9));
      }
      status =
          DatabaseStatus{database.is_leader, database.term, {database.log_term, database.number}};
    }
    failover->finish_command(command.token, status, now);
  }

  // No pooler may still use the former leader, and what was acknowledged must be in the new one.
  void check_promotion(const Failover::PromotionCall& call) {
    for (const Pooler& pooler : poolers) {
      const DatabaseLeadership* leadership = pooler.table.find("db");
      cr_assert(!leadership || leadership->phase != DatabaseLeadership::Phase::led ||
                    pooler.lease_until < now,
                "%s may still use the former leader", pooler.name.c_str());
    }
    if (is_planned || sync)
      cr_assert(at(call.id).number >= acknowledged, "%s lacks what was acknowledged",
                call.id.c_str());
  }

  void run_promotion(const Failover::PromotionCall& call) {
    ++promotions;
    check_promotion(call);
    if (is_lost())  // neither effect nor answer
      return failover->finish_promotion(call.token, 0, now);
    Database& target = at(call.id);
    if (!target.is_up)
      return failover->finish_promotion(call.token, 409, now);
    if (!target.is_leader || target.term < newest_term()) {
      target.term = newest_term() + 1;
      target.is_leader = true;
    }
    for (Database& database : databases)
      if (database.is_up && !database.is_leader)
        database.term = target.term;  // the new leader reaches it
    failover->finish_promotion(call.token, is_lost() ? 0 : 200, now);
  }

  std::uint64_t newest_term() const {
    std::uint64_t newest = 0;
    for (const Database& database : databases)
      newest = std::max(newest, database.term);
    return newest;
  }

  // Whoever is agreed on is the leader of the newest term.
  void check_leader() {
    const DatabaseLeadership* leadership = agreed.find("db");
    if (leadership && leadership->phase == DatabaseLeadership::Phase::led)
      cr_assert(at(leadership->id).term == newest_term(), "%s is of an older term",
                leadership->id.c_str());
  }

  void run_proposal(const LeadershipTable& proposal) {
    if (!is_lost())
      agreed = proposal;
    check_leader();
    if (is_lost())
      restart();
    else
      failover->finish_proposal();
  }

  void step() {
    now += 50ms;
    send_heartbeats();
    const std::vector<DatabaseEndpoint> known = endpoints();
    for (Pooler& pooler : poolers)
      report(pooler);
    failover->tick(true, agreed, {{"db", sync}}, known, now);
    const Failover::Output output = failover->take_output();
    for (const Failover::DatabaseCommand& command : output.commands)
      run_command(command);
    for (const Failover::PromotionCall& call : output.promotions)
      run_promotion(call);
    if (output.proposal)
      run_proposal(*output.proposal);
  }

  // Points are counted: each command, promotion call and result, proposal and its result is one.
  // The point `fail_at` is lost.
  bool is_lost() {
    ++point_count;
    return point_count == fail_at;
  }

  bool is_led_by(const std::string& id) const {
    const DatabaseLeadership* leadership = agreed.find("db");
    return leadership && leadership->phase == DatabaseLeadership::Phase::led &&
           leadership->id == id;
  }

  void run(int steps) {
    for (int count = 0; count < steps; ++count)
      step();
  }

  bool run_until(const std::function<bool()>& condition, int steps = 600) {
    while (steps-- > 0) {
      step();
      if (condition())
        return true;
    }
    return false;
  }

  void run_until_stable() {
    cr_assert(run_until([&] { return is_led_by("a"); }));
    run(150);
  }

  void set_failing_requests(bool is_failing) {
    for (Pooler& pooler : poolers)
      pooler.has_failing_requests = is_failing;
  }

  FailoverOptions options;
  std::vector<Database> databases;
  std::vector<Pooler> poolers;
  std::unique_ptr<Failover> failover;
  LeadershipTable agreed;
  TimePoint now = TimePoint{} + 1000s;
  int sync;
  int point_count = 0;
  int fail_at = 0;  // 0: no point is lost
  int promotions = 0;
  std::uint64_t acknowledged = 0;  // number of the last acknowledged entry
  bool is_planned = false;
};

}  // namespace saddlewing::tests
