// Failover with synchronous replication: whose log may alone have a commit.
#include "coordination/databases/failover_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(failover, with_synchronous_replication_every_replica_is_asked_first) {
  FailoverFixture world(1);
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
  FailoverFixture world(1);
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
  FailoverFixture world(1);
  world.run_until_stable();
  world.at("b").is_up = world.at("a").is_up = false;
  world.at("b").number = world.acknowledged = 30;
  world.set_failing_requests(true);
  world.run(200);
  cr_expect(world.promotions == 0);
  world.begin_anew("b", "b2");
  cr_expect(world.run_until([&] { return world.is_led_by("b2"); }));
}

// Commits were lost that an emptying replica alone had received.
Test(failover, with_synchronous_replication_an_emptying_replica_that_is_ahead_hands_its_log_on) {
  FailoverFixture world(1);
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
  FailoverFixture world(1);
  world.run_until_stable();
  world.leave("b");
  world.at("b").number = world.acknowledged = 30;  // c receives nothing
  world.at("a").is_up = false;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
}

Test(failover, a_replica_that_deregistered_and_ended_is_not_waited_for) {
  FailoverFixture world(1);
  world.run_until_stable();
  world.leave("b");
  world.run(40);
  world.at("b").is_up = false;
  world.at("a").is_up = false;
  world.at("c").number = world.acknowledged = 30;
  world.set_failing_requests(true);
  cr_expect(world.run_until([&] { return world.is_led_by("c"); }));
}

// While an emptying leader was waited for, it ended: the one that is left takes over.
Test(failover, with_synchronous_replication_a_leader_that_ends_is_not_waited_for_without_end) {
  FailoverFixture world(1);
  world.run_until_stable();
  world.at("a").is_ready = false;
  world.at("a").number = 20;
  world.run(60);
  cr_expect(world.promotions == 0);
  world.at("a").is_up = false;
  cr_expect(world.run_until([&] { return world.promotions == 1; }));
}
