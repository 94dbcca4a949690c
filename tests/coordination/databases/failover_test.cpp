// Who leads a database: a small world of databases, poolers and a core, with crashes and lost
// answers at every step.
#include <criterion/criterion.h>

#include <set>

#include <functional>
#include <memory>

#include "coordination/databases/failover.h"
#include "coordination/databases/log_position_samples.h"

using namespace saddlewing;

namespace {

struct World {
  struct Database {
    std::string id;
    bool is_up = true, is_leader = false, is_ready = true, is_sending_heartbeats = true;
    std::uint64_t term = 1, number = 10;
    TimePoint last_heartbeat{};
  };
  struct Pooler {
    std::string name, zone;
    IncarnationId incarnation{1};
    LeadershipTable table;
    TimePoint until{}, due{};
    bool is_silent = false, has_failing_requests = false;
  };
  explicit World(int sync = 0) : sync(sync) {
    for (const char* id : {"a", "b", "c"})
      databases.push_back({id});
    databases[0].is_leader = true;
    poolers = {{"p1", "north"}, {"p2", "south"}, {"p3", "south"}};
    restart();
  }
  void restart() {
    failover = std::make_unique<Failover>(options);
  }
  Database& at(const std::string& id) {
    for (Database& database : databases)
      if (database.id == id)
        return database;
    return databases[0];
  }
  // One step of 50 ms. Points are numbered: every order, call of duty and proposal is one.
  void step() {
    now += 50ms;
    for (Database& database : databases)
      if (database.is_up && database.is_sending_heartbeats &&
          now - database.last_heartbeat >= 1000ms)
        database.last_heartbeat = now;
    std::vector<DatabaseEndpoint> endpoints;
    for (const Database& database : databases)
      endpoints.push_back({database.id, "db", "here", database.is_leader, database.is_ready,
                           database.last_heartbeat});
    for (Pooler& pooler : poolers) {
      if (pooler.is_silent || now < pooler.due)
        continue;
      pooler.due = now + 200ms;
      const std::string bit(1, '\1');
      failover->record_pooler(pooler.name, pooler.incarnation, pooler.table.revision, pooler.zone,
                              pooler.has_failing_requests ? bit : "",
                              pooler.has_failing_requests ? "" : bit, now);
      if (const auto lease = failover->grant(pooler.name, pooler.incarnation, now))
        pooler.until = now + *lease - 20ms;  // asked before
      if (agreed.revision > pooler.table.revision)
        pooler.table = agreed;
    }
    failover->tick(true, agreed, {{"db", sync}}, endpoints, now);
    Failover::Output output = failover->take_output();
    for (const auto& command : output.commands) {
      if (is_lost()) {
        failover->finish_command(command.token, std::nullopt, now);
        continue;
      }
      Database& database = at(command.id);
      std::optional<DatabaseStatus> status;
      if (database.is_up) {
        if (command.text.starts_with("STEPDOWN ") &&
            std::stoull(command.text.substr(9)) > database.term)
          database.is_leader = false;
        status =
            DatabaseStatus{database.is_leader, database.term, {database.term, database.number}};
      }
      failover->finish_command(command.token, status, now);
    }
    for (const auto& promote : output.promotions) {
      ++promotions;
      // Nobody may still act by the old leadership, and what was acknowledged must be there.
      for (const Pooler& pooler : poolers) {
        const DatabaseLeadership* leadership = pooler.table.find("db");
        cr_assert(!leadership || leadership->phase != DatabaseLeadership::Phase::led ||
                      pooler.until < now,
                  "%s may still use the old leader", pooler.name.c_str());
      }
      if (is_planned || sync)
        cr_assert(at(promote.id).number >= acknowledged, "%s lacks what was acknowledged",
                  promote.id.c_str());
      if (is_lost()) {  // neither effect nor answer
        failover->finish_promotion(promote.token, 0, now);
        continue;
      }
      Database& target = at(promote.id);
      if (!target.is_up) {
        failover->finish_promotion(promote.token, 409, now);
        continue;
      }
      if (!target.is_leader) {
        std::uint64_t term = 0;
        for (const Database& database : databases)
          term = std::max(term, database.term);
        target.is_leader = true;
        target.term = term + 1;
      }
      failover->finish_promotion(promote.token, is_lost() ? 0 : 200, now);
    }
    if (output.proposal) {
      if (!is_lost())
        agreed = *output.proposal;
      if (is_lost())
        restart();  // the core's leader ends right after
      else
        failover->finish_proposal();
    }
  }
  bool is_lost() {
    return ++point_count == fail_at;
  }
  bool is_led_by(const std::string& id) const {
    const DatabaseLeadership* leadership = agreed.find("db");
    return leadership && leadership->phase == DatabaseLeadership::Phase::led &&
           leadership->id == id;
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
    for (int count = 0; count < 150; ++count)
      step();
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
  int sync, point_count = 0, fail_at = 0, promotions = 0;
  std::uint64_t acknowledged = 0;
  bool is_planned = false;
};

}  // namespace

Test(failover, a_crashed_leader_is_replaced_by_the_most_advanced_replica) {
  World world;
  world.run_until_stable();
  world.at("a").is_up = false;
  world.at("b").number = 12;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  cr_expect(world.promotions == 1);
  // It returns and still thinks that it leads: it is told otherwise.
  world.at("a").is_up = true;
  cr_expect(world.run_until([&] { return !world.at("a").is_leader; }));
}

Test(failover, the_loss_of_any_one_message_or_registry_leader_is_survived) {
  for (const bool is_planned : {false, true})
    for (int point = 1; point <= 14; ++point) {
      World world;
      world.run_until_stable();
      world.point_count = 0;
      world.fail_at = point;
      if (is_planned) {
        world.is_planned = true;
        world.at("a").is_ready = false;
        world.at("a").number = world.at("c").number = world.acknowledged = 15;
      } else {
        world.at("a").is_up = false;
        world.at("c").number = 15;
        world.set_failing_requests(true);
      }
      cr_expect(world.run_until([&] { return world.is_led_by("c"); }), "point %d, planned %d",
                point, is_planned);
      int leaders = 0;
      for (const auto& database : world.databases)
        leaders += database.is_up && database.is_leader && database.term == 2;
      cr_expect(leaders == 1, "point %d", point);
    }
}

Test(failover, a_planned_switchover_waits_for_a_caught_up_replica) {
  World world;
  world.run_until_stable();
  world.is_planned = true;
  world.at("a").number = world.acknowledged = 20;
  world.at("a").is_ready = false;
  for (int count = 0; count < 15; ++count)
    world.step();
  cr_expect(world.promotions == 0);
  world.at("b").number = 20;
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

Test(failover, with_synchronous_replication_every_replica_is_asked_first) {
  World world(1);
  world.run_until_stable();
  world.at("a").is_up = world.at("c").is_up = false;
  world.at("c").number = world.acknowledged = 30;  // it alone holds a commit
  world.set_failing_requests(true);
  for (int count = 0; count < 200; ++count)
    world.step();
  cr_expect(world.promotions == 0);
  world.at("c").is_up = true;
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

Test(failover, a_silent_pooler_is_waited_for_until_its_lease_expires) {
  World world;
  world.run_until_stable();
  world.poolers[2].is_silent = true;
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  const TimePoint since = world.poolers[2].until;
  cr_expect(world.run_until([&] { return world.promotions > 0; }));
  cr_expect(world.now > since);
}

Test(failover, missing_heartbeats_or_failing_requests_alone_cause_no_failover) {
  World silent;
  silent.run_until_stable();
  silent.at("a").is_sending_heartbeats = false;  // cut off from the core; poolers reach it
  for (int count = 0; count < 200; ++count)
    silent.step();
  cr_expect(silent.is_led_by("a") && silent.promotions == 0);
  World failing;
  failing.run_until_stable();
  failing.set_failing_requests(true);
  for (int count = 0; count < 200; ++count)
    failing.step();
  cr_expect(failing.is_led_by("a") && failing.promotions == 0);
  World local;
  local.run_until_stable();
  local.at("a").is_sending_heartbeats = false;
  local.poolers[1].has_failing_requests = local.poolers[2].has_failing_requests =
      true;  // one locality alone
  for (int count = 0; count < 200; ++count)
    local.step();
  cr_expect(local.is_led_by("a") && local.promotions == 0);
}

Test(failover, a_leader_that_returns_before_the_promotion_stays) {
  World world;
  world.run_until_stable();
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  world.poolers[2].is_silent = true;  // its hold keeps the change waiting
  cr_expect(world.run_until(
      [&] { return world.agreed.find("db")->phase == DatabaseLeadership::Phase::closing; }));
  world.at("a").is_up = true;
  world.set_failing_requests(false);
  cr_expect(world.run_until([&] { return world.is_led_by("a"); }));
  cr_expect(world.promotions == 0);
}

Test(log_position_samples, a_position_is_never_taken_for_newer_than_it_is) {
  LogPositionSamples own, other;
  const TimePoint start = TimePoint{} + 1000s;
  own.note("db", 3, {1, 40}, start);
  const std::string told = own.tell(start + 300ms, Duration(1000));
  cr_assert(other.take(told, start + 250ms));  // the asking left before the ages were counted
  cr_expect(!other.find("db", 3, start).is_known(), "it may be older than the moment asked for");
  cr_expect(other.find("db", 3, start - 60ms) == LogPosition({1, 40}));
  cr_expect(!other.find("db", 4, start - 60ms).is_known(), "of another leadership");
  cr_expect(!other.take(told.substr(0, told.size() - 3), start));
}
