// Failover of a database, with crashes and lost messages at every step.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>

#include "coordination/databases/failover.h"
#include "coordination/databases/log_position_samples.h"
#include "protocol/database_protocol.h"

using namespace saddlewing;

namespace {

// One service with three databases, three poolers and the leader of the registries, by a simulated
// clock in steps of 50 ms.
struct World {
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

  explicit World(int sync = 0) : sync(sync) {
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

}  // namespace

Test(failover, a_crashed_leader_is_replaced_by_the_most_advanced_replica) {
  World world;
  world.run_until_stable();
  world.at("a").is_up = false;
  world.at("b").number = 12;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  cr_expect(world.promotions == 1);
  // It returns and still takes itself for the leader: it has to step down.
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

// After the loss of the present leader, a former one that missed its promotion was agreed on.
Test(failover, a_former_leader_of_an_older_term_does_not_lead_again) {
  for (const int sync : {0, 1})
    for (int point = 0; point <= 20; ++point) {
      World world(sync);
      world.run_until_stable();
      world.at("a").is_up = false;
      world.at("c").number = 15;
      world.set_failing_requests(true);
      cr_assert(world.run_until([&] { return world.is_led_by("c"); }));
      World::Database& former = world.at("a");
      former.is_leader = true;  // it was dark in between
      former.term = 1;
      former.is_up = true;
      former.number = 40;
      for (const char* id : {"b", "c"}) {
        world.at(id).log_term = 2;
        world.at(id).number = 20;
      }
      world.acknowledged = 20;
      world.at("c").is_up = world.at("c").is_leader = false;
      world.restart();  // the registry that saw the promotion is gone as well
      world.set_failing_requests(true);
      world.point_count = 0;
      world.fail_at = point;
      cr_expect(world.run_until([&] { return world.is_led_by("b"); }), "sync %d, point %d", sync,
                point);
      cr_expect(world.run_until([&] { return !former.is_leader; }), "sync %d, point %d", sync,
                point);
    }
}

// A promotion took effect, was never agreed on, and the promoted database is lost.
Test(failover, a_former_leader_returns_after_a_call_for_another_only_by_a_promotion) {
  for (const bool had_effect : {false, true}) {
    World world;
    world.run_until_stable();
    world.at("a").is_up = world.at("b").is_up = false;
    world.at("c").number = 15;
    world.set_failing_requests(true);
    cr_assert(world.run_until([&] { return world.promotions == 1; }));
    cr_assert(!world.is_led_by("c"));
    World::Database& promoted = world.at("c");
    promoted.is_up = promoted.is_leader = false;
    promoted.term = had_effect ? 2 : 1;
    world.restart();
    world.at("a").is_up = true;
    world.at("a").is_leader = true;
    cr_expect(world.run_until([&] { return world.is_led_by("a"); }));
    cr_expect(world.at("a").term == (had_effect ? 3 : 1));
    cr_expect(world.promotions > 1);
  }
}

// Documents of an earlier build tell no term.
Test(failover, a_leader_whose_term_was_never_agreed_is_asked_for_it) {
  World world;
  world.at("a").term = 4;
  world.at("a").log_term = 4;
  world.run_until_stable();
  cr_expect(world.agreed.find("db")->term == 4);
  world.agreed.leaderships[0].term = 0;
  world.run(20);
  cr_expect(world.agreed.find("db")->term == 4);
}

Test(failover, a_planned_switchover_waits_for_a_caught_up_replica) {
  World world;
  world.run_until_stable();
  world.is_planned = true;
  world.at("a").number = world.acknowledged = 20;
  world.at("a").is_ready = false;
  world.run(15);
  cr_expect(world.promotions == 0);
  world.at("b").number = 20;
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

Test(failover, with_synchronous_replication_every_replica_is_asked_first) {
  World world(1);
  world.run_until_stable();
  world.at("a").is_up = world.at("c").is_up = false;
  world.at("c").number = world.acknowledged = 30;  // it alone has a commit
  world.set_failing_requests(true);
  world.run(200);
  cr_expect(world.promotions == 0);
  world.at("c").is_up = true;
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

// With synchronous replication nobody was promoted after the crash of a replica that came back.
Test(failover, an_incarnation_that_crashed_is_not_waited_for_once_its_successor_answers) {
  World world(1);
  world.run_until_stable();
  world.begin_anew("b", "b2");
  world.run(100);
  world.at("a").is_up = false;
  world.at("b2").number = world.acknowledged = 30;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b2"); }));
}

// The database whose registered incarnation crashed may alone have a commit.
Test(failover, a_crashed_replica_is_waited_for_until_its_next_incarnation_answers) {
  World world(1);
  world.run_until_stable();
  world.at("b").is_up = world.at("a").is_up = false;
  world.at("b").number = world.acknowledged = 30;
  world.set_failing_requests(true);
  world.run(200);
  cr_expect(world.promotions == 0);
  world.begin_anew("b", "b2");
  cr_expect(world.run_until([&] { return world.is_led_by("b2"); }));
}

// A service whose primary crashed before it was first configured was never led by anybody.
Test(failover, a_leader_that_crashed_and_came_back_before_it_was_known_is_adopted) {
  World world;
  world.send_heartbeats();
  world.now += 10s;
  world.begin_anew("a", "a2");
  cr_expect(world.run_until([&] { return world.is_led_by("a2"); }));
  cr_expect(world.promotions == 0);
}

Test(failover, a_leader_that_is_not_within_reach_is_adopted_by_its_word) {
  World world;
  world.at("a").is_answering = false;
  cr_expect(world.run_until([&] { return world.is_led_by("a"); }));
  cr_expect(world.agreed.find("db")->term == 0);
  world.at("a").is_answering = true;
  cr_expect(world.run_until([&] { return world.agreed.find("db")->term == 1; }));
}

// Two databases say that they lead before anything was agreed: nobody was ever chosen.
Test(failover, of_two_that_say_they_lead_the_one_in_the_newest_term_is_adopted) {
  World world;
  world.at("b").is_leader = true;
  world.at("b").term = 2;
  world.run(1);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  cr_expect(world.run_until([&] { return !world.at("a").is_leader; }));
}

// Commits were lost that an emptying replica alone had received.
Test(failover, with_synchronous_replication_an_emptying_replica_that_is_ahead_hands_its_log_on) {
  World world(1);
  world.run_until_stable();
  world.at("b").is_ready = false;
  world.at("b").number = world.acknowledged = 30;  // c receives nothing
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  world.set_failing_requests(false);
  // It leads until another has everything, however long that takes.
  world.run(100);
  cr_expect(!world.is_led_by("c") && world.promotions == 1);
  world.at("c").number = 30;
  world.at("c").log_term = 2;
  world.at("b").log_term = 2;
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

// Commits were lost that a replica alone had received which had ended its registration and served
// on.
Test(failover, with_synchronous_replication_a_replica_that_deregistered_and_serves_on_is_asked) {
  World world(1);
  world.run_until_stable();
  world.leave("b");
  world.at("b").number = world.acknowledged = 30;  // c receives nothing
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

Test(failover, a_replica_that_deregistered_and_ended_is_not_waited_for) {
  World world(1);
  world.run_until_stable();
  world.leave("b");
  world.run(40);
  world.at("b").is_up = false;
  world.at("a").is_up = false;
  world.at("c").number = world.acknowledged = 30;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

// It was replaced only once it had ended and statements failed.
Test(failover, a_leader_that_deregistered_is_replaced_while_it_serves_on) {
  World world;
  world.run_until_stable();
  world.leave("a");
  cr_expect(world.run_until([&] { return !world.is_led_by("a") && world.promotions == 1; }));
  cr_expect(world.at("a").is_up);
}

// While an emptying leader was waited for, it ended: the one that is left takes over.
Test(failover, with_synchronous_replication_a_leader_that_ends_is_not_waited_for_without_end) {
  World world(1);
  world.run_until_stable();
  world.at("a").is_ready = false;
  world.at("a").number = 20;
  world.run(60);
  cr_expect(world.promotions == 0);
  world.at("a").is_up = false;
  cr_expect(world.run_until([&] { return world.promotions == 1; }));
}

Test(failover, a_silent_pooler_is_waited_for_until_its_lease_expires) {
  World world;
  world.run_until_stable();
  world.poolers[2].is_silent = true;
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  const TimePoint since = world.poolers[2].lease_until;
  cr_expect(world.run_until([&] { return world.promotions > 0; }));
  cr_expect(world.now > since);
}

Test(failover, missing_heartbeats_or_failing_requests_alone_cause_no_failover) {
  World silent;
  silent.run_until_stable();
  silent.at("a").is_sending_heartbeats = false;  // cut off from the registries; poolers reach it
  silent.run(200);
  cr_expect(silent.is_led_by("a") && silent.promotions == 0);
  World failing;
  failing.run_until_stable();
  failing.set_failing_requests(true);
  failing.run(200);
  cr_expect(failing.is_led_by("a") && failing.promotions == 0);
  World local;
  local.run_until_stable();
  local.at("a").is_sending_heartbeats = false;
  local.poolers[1].has_failing_requests = local.poolers[2].has_failing_requests =
      true;  // in one zone only
  local.run(200);
  cr_expect(local.is_led_by("a") && local.promotions == 0);
}

// Failures that poolers of one zone alone report kept a lost leader in its place for ever.
Test(failover, a_leader_that_only_one_zone_asks_for_is_replaced_once_it_is_silent_for_long) {
  World world;
  world.run_until_stable();
  world.poolers[0].is_idle = true;
  world.poolers[1].has_failing_requests = world.poolers[2].has_failing_requests = true;
  world.at("a").is_up = false;
  const TimePoint lost_at = world.now;
  cr_expect(world.run_until([&] { return world.promotions > 0; }));
  cr_expect(world.now - lost_at > world.options.backend_heartbeat_interval * 3);
  cr_expect(world.run_until([&] { return !world.is_led_by("a"); }));
  // One that the registry still reaches is not lost.
  World reachable;
  reachable.run_until_stable();
  reachable.poolers[0].is_idle = true;
  reachable.poolers[1].has_failing_requests = reachable.poolers[2].has_failing_requests = true;
  reachable.at("a").is_sending_heartbeats = false;
  reachable.run(200);
  cr_expect(reachable.is_led_by("a") && reachable.promotions == 0);
}

Test(failover, a_leader_that_returns_before_the_promotion_stays) {
  World world;
  world.run_until_stable();
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  world.poolers[2].is_silent = true;  // its lease delays the election
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
  own.record("db", 3, {1, 40}, start);
  const std::string encoded = own.encode(start + 300ms, Duration(1000));
  cr_assert(other.merge(encoded, start + 250ms));  // the request left before the ages were counted
  cr_expect(!other.find("db", 3, start).is_known(), "it may be older than the time asked for");
  cr_expect(other.find("db", 3, start - 60ms) == LogPosition({1, 40}));
  cr_expect(!other.find("db", 4, start - 60ms).is_known(), "of another leadership");
  cr_expect(!other.merge(encoded.substr(0, encoded.size() - 3), start));
}
