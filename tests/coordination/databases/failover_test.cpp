// Failover of a database, with crashes and lost messages at every step.
#include "coordination/databases/failover_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(failover, a_crashed_leader_is_replaced_by_the_most_advanced_replica) {
  FailoverFixture world;
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
      FailoverFixture world;
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
  FailoverFixture world;
  world.run_until_stable();
  world.is_planned = true;
  world.at("a").number = world.acknowledged = 20;
  world.at("a").is_ready = false;
  world.run(15);
  cr_expect(world.promotions == 0);
  world.at("b").number = 20;
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

// It was replaced only once it had ended and statements failed.
Test(failover, a_leader_that_deregistered_is_replaced_while_it_serves_on) {
  FailoverFixture world;
  world.run_until_stable();
  world.leave("a");
  cr_expect(world.run_until([&] { return !world.is_led_by("a") && world.promotions == 1; }));
  cr_expect(world.at("a").is_up);
}

Test(failover, a_silent_pooler_is_waited_for_until_its_lease_expires) {
  FailoverFixture world;
  world.run_until_stable();
  world.poolers[2].is_silent = true;
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  const TimePoint since = world.poolers[2].lease_until;
  cr_expect(world.run_until([&] { return world.promotions > 0; }));
  cr_expect(world.now > since);
}

Test(failover, missing_heartbeats_or_failing_requests_alone_cause_no_failover) {
  FailoverFixture silent;
  silent.run_until_stable();
  silent.at("a").is_sending_heartbeats = false;  // cut off from the registries; poolers reach it
  silent.run(200);
  cr_expect(silent.is_led_by("a") && silent.promotions == 0);
  FailoverFixture failing;
  failing.run_until_stable();
  failing.set_failing_requests(true);
  failing.run(200);
  cr_expect(failing.is_led_by("a") && failing.promotions == 0);
  FailoverFixture local;
  local.run_until_stable();
  local.at("a").is_sending_heartbeats = false;
  local.poolers[1].has_failing_requests = local.poolers[2].has_failing_requests =
      true;  // in one zone only
  local.run(200);
  cr_expect(local.is_led_by("a") && local.promotions == 0);
}

// Failures that poolers of one zone alone report kept a lost leader in its place for ever.
Test(failover, a_leader_that_only_one_zone_asks_for_is_replaced_once_it_is_silent_for_long) {
  FailoverFixture world;
  world.run_until_stable();
  world.poolers[0].is_idle = true;
  world.poolers[1].has_failing_requests = world.poolers[2].has_failing_requests = true;
  world.at("a").is_up = false;
  const TimePoint lost_at = world.now;
  cr_expect(world.run_until([&] { return world.promotions > 0; }));
  cr_expect(world.now - lost_at > world.options.backend_heartbeat_interval * 3);
  cr_expect(world.run_until([&] { return !world.is_led_by("a"); }));
  // One that the registry still reaches is not lost.
  FailoverFixture reachable;
  reachable.run_until_stable();
  reachable.poolers[0].is_idle = true;
  reachable.poolers[1].has_failing_requests = reachable.poolers[2].has_failing_requests = true;
  reachable.at("a").is_sending_heartbeats = false;
  reachable.run(200);
  cr_expect(reachable.is_led_by("a") && reachable.promotions == 0);
}

Test(failover, a_leader_that_returns_before_the_promotion_stays) {
  FailoverFixture world;
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
