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
    bool is_up = true, is_leader = false, is_ready = true, is_beating = true;
    std::uint64_t term = 1, number = 10;
    TimePoint last_heartbeat{};
  };
  struct Pooler {
    std::string name, zone;
    IncarnationId incarnation{1};
    LeadershipTable table;
    TimePoint until{}, due{};
    bool is_silent = false, sees_failing = false;
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
      if (database.is_up && database.is_beating && now - database.last_heartbeat >= 1000ms)
        database.last_heartbeat = now;
    std::vector<DatabaseEndpoint> seats;
    for (const Database& database : databases)
      seats.push_back({database.id, "db", "here", database.is_leader, database.is_ready,
                       database.last_heartbeat});
    for (Pooler& pooler : poolers) {
      if (pooler.is_silent || now < pooler.due)
        continue;
      pooler.due = now + 200ms;
      const std::string bit(1, '\1');
      failover->record_pooler(pooler.name, pooler.incarnation, pooler.table.revision, pooler.zone,
                              pooler.sees_failing ? bit : "", pooler.sees_failing ? "" : bit, now);
      if (const auto lease = failover->grant(pooler.name, pooler.incarnation, now))
        pooler.until = now + *lease - 20ms;  // asked before
      if (agreed.revision > pooler.table.revision)
        pooler.table = agreed;
    }
    failover->tick(true, agreed, {{"db", sync}}, seats, now);
    Failover::Output output = failover->take();
    for (const auto& order : output.orders) {
      if (is_struck()) {  // lost
        failover->finish_order(order.token, std::nullopt, now);
        continue;
      }
      Database& database = at(order.id);
      std::optional<DatabaseStatus> status;
      if (database.is_up) {
        if (order.text.starts_with("STEPDOWN ") &&
            std::stoull(order.text.substr(9)) > database.term)
          database.is_leader = false;
        status =
            DatabaseStatus{database.is_leader, database.term, {database.term, database.number}};
      }
      failover->finish_order(order.token, status, now);
    }
    for (const auto& promote : output.raises) {
      ++raises;
      // Nobody may still act by the old lead, and what was acknowledged must be there.
      for (const Pooler& pooler : poolers) {
        const DatabaseLeadership* lead = pooler.table.find("db");
        cr_assert(!lead || lead->phase != DatabaseLeadership::Phase::led || pooler.until < now,
                  "%s may still use the old leader", pooler.name.c_str());
      }
      if (is_planned || sync)
        cr_assert(at(promote.id).number >= acknowledged, "%s lacks what was acknowledged",
                  promote.id.c_str());
      if (is_struck()) {  // neither effect nor answer
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
      failover->finish_promotion(promote.token, is_struck() ? 0 : 200, now);
    }
    if (output.proposal) {
      if (!is_struck())
        agreed = *output.proposal;
      if (is_struck())
        restart();  // the core's leader ends right after
      else
        failover->finish_proposal();
    }
  }
  bool is_struck() {
    return ++points == strike_at;
  }
  bool is_led_by(const std::string& id) const {
    const DatabaseLeadership* lead = agreed.find("db");
    return lead && lead->phase == DatabaseLeadership::Phase::led && lead->id == id;
  }
  bool run_until(const std::function<bool()>& is_there, int steps = 600) {
    while (steps-- > 0) {
      step();
      if (is_there())
        return true;
    }
    return false;
  }
  void settle() {
    cr_assert(run_until([&] { return is_led_by("a"); }));
    for (int count = 0; count < 150; ++count)
      step();
  }
  void see_failing(bool is_failing) {
    for (Pooler& pooler : poolers)
      pooler.sees_failing = is_failing;
  }

  FailoverOptions options;
  std::vector<Database> databases;
  std::vector<Pooler> poolers;
  std::unique_ptr<Failover> failover;
  LeadershipTable agreed;
  TimePoint now = TimePoint{} + 1000s;
  int sync, points = 0, strike_at = 0, raises = 0;
  std::uint64_t acknowledged = 0;
  bool is_planned = false;
};

}  // namespace

Test(failover, a_crashed_leader_is_replaced_by_the_copy_that_has_most) {
  World world;
  world.settle();
  world.at("a").is_up = false;
  world.at("b").number = 12;
  world.see_failing(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  cr_expect(world.raises == 1);
  // It returns and still thinks that it leads: it is told otherwise.
  world.at("a").is_up = true;
  cr_expect(world.run_until([&] { return !world.at("a").is_leader; }));
}

Test(failover, any_one_message_or_leader_of_the_core_may_be_lost_at_any_point) {
  for (const bool is_planned : {false, true})
    for (int strike = 1; strike <= 14; ++strike) {
      World world;
      world.settle();
      world.points = 0;
      world.strike_at = strike;
      if (is_planned) {
        world.is_planned = true;
        world.at("a").is_ready = false;
        world.at("a").number = world.at("c").number = world.acknowledged = 15;
      } else {
        world.at("a").is_up = false;
        world.at("c").number = 15;
        world.see_failing(true);
      }
      cr_expect(world.run_until([&] { return world.is_led_by("c"); }), "strike %d, planned %d",
                strike, is_planned);
      int leaders = 0;
      for (const auto& database : world.databases)
        leaders += database.is_up && database.is_leader && database.term == 2;
      cr_expect(leaders == 1, "strike %d", strike);
    }
}

Test(failover, a_planned_change_waits_for_a_copy_that_has_everything) {
  World world;
  world.settle();
  world.is_planned = true;
  world.at("a").number = world.acknowledged = 20;
  world.at("a").is_ready = false;
  for (int count = 0; count < 15; ++count)
    world.step();
  cr_expect(world.raises == 0);
  world.at("b").number = 20;
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

Test(failover, with_sync_every_copy_is_heard_first) {
  World world(1);
  world.settle();
  world.at("a").is_up = world.at("c").is_up = false;
  world.at("c").number = world.acknowledged = 30;  // it alone holds a commit
  world.see_failing(true);
  for (int count = 0; count < 200; ++count)
    world.step();
  cr_expect(world.raises == 0);
  world.at("c").is_up = true;
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

Test(failover, a_silent_pooler_is_waited_for_until_its_hold_has_run_out) {
  World world;
  world.settle();
  world.poolers[2].is_silent = true;
  world.at("a").is_up = false;
  world.see_failing(true);
  const TimePoint since = world.poolers[2].until;
  cr_expect(world.run_until([&] { return world.raises > 0; }));
  cr_expect(world.now > since);
}

Test(failover, neither_missing_beats_nor_failing_requests_alone_suffice) {
  World silent;
  silent.settle();
  silent.at("a").is_beating = false;  // cut off from the core; poolers reach it
  for (int count = 0; count < 200; ++count)
    silent.step();
  cr_expect(silent.is_led_by("a") && silent.raises == 0);
  World failing;
  failing.settle();
  failing.see_failing(true);
  for (int count = 0; count < 200; ++count)
    failing.step();
  cr_expect(failing.is_led_by("a") && failing.raises == 0);
  World local;
  local.settle();
  local.at("a").is_beating = false;
  local.poolers[1].sees_failing = local.poolers[2].sees_failing = true;  // one locality alone
  for (int count = 0; count < 200; ++count)
    local.step();
  cr_expect(local.is_led_by("a") && local.raises == 0);
}

Test(failover, a_leader_that_is_back_before_another_was_raised_goes_on) {
  World world;
  world.settle();
  world.at("a").is_up = false;
  world.see_failing(true);
  world.poolers[2].is_silent = true;  // its hold keeps the change waiting
  cr_expect(world.run_until(
      [&] { return world.agreed.find("db")->phase == DatabaseLeadership::Phase::closing; }));
  world.at("a").is_up = true;
  world.see_failing(false);
  cr_expect(world.run_until([&] { return world.is_led_by("a"); }));
  cr_expect(world.raises == 0);
}

Test(samples, a_place_is_never_taken_for_younger_than_it_is) {
  LogPositionSamples own;
  LogPositionSamples other;
  const TimePoint start = TimePoint{} + 1000s;
  own.note("db", 3, {1, 40}, start);
  const std::string told = own.tell(start + 300ms, Duration(1000));
  cr_assert(other.take(told, start + 250ms));  // the asking left before the ages were counted
  cr_expect(!other.find("db", 3, start).is_known(), "it may be older than the moment asked for");
  cr_expect(other.find("db", 3, start - 60ms) == LogPosition({1, 40}));
  cr_expect(!other.find("db", 4, start - 60ms).is_known(), "of another lead");
  cr_expect(!other.take(told.substr(0, told.size() - 3), start));
}
