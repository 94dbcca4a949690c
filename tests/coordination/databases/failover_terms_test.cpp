// Whose word that it leads counts: terms of databases, and the first leader of a service.
#include "coordination/databases/failover_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

// After the loss of the present leader, a former one that missed its promotion was agreed on.
Test(failover, a_former_leader_of_an_older_term_does_not_lead_again) {
  for (const int sync : {0, 1})
    for (int point = 0; point <= 20; ++point) {
      FailoverFixture world(sync);
      world.run_until_stable();
      world.at("a").is_up = false;
      world.at("c").number = 15;
      world.set_failing_requests(true);
      cr_assert(world.run_until([&] { return world.is_led_by("c"); }));
      FailoverFixture::Database& former = world.at("a");
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
    FailoverFixture world;
    world.run_until_stable();
    world.at("a").is_up = world.at("b").is_up = false;
    world.at("c").number = 15;
    world.set_failing_requests(true);
    cr_assert(world.run_until([&] { return world.promotions == 1; }));
    cr_assert(!world.is_led_by("c"));
    FailoverFixture::Database& promoted = world.at("c");
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
  FailoverFixture world;
  world.at("a").term = 4;
  world.at("a").log_term = 4;
  world.run_until_stable();
  cr_expect(world.agreed.find("db")->term == 4);
  world.agreed.leaderships[0].term = 0;
  world.run(20);
  cr_expect(world.agreed.find("db")->term == 4);
}

// A service whose primary crashed before it was first configured was never led by anybody.
Test(failover, a_leader_that_crashed_and_came_back_before_it_was_known_is_adopted) {
  FailoverFixture world;
  world.send_heartbeats();
  world.now += 10s;
  world.begin_anew("a", "a2");
  cr_expect(world.run_until([&] { return world.is_led_by("a2"); }));
  cr_expect(world.promotions == 0);
}

Test(failover, a_leader_that_is_not_within_reach_is_adopted_by_its_word) {
  FailoverFixture world;
  world.at("a").is_answering = false;
  cr_expect(world.run_until([&] { return world.is_led_by("a"); }));
  cr_expect(world.agreed.find("db")->term == 0);
  world.at("a").is_answering = true;
  cr_expect(world.run_until([&] { return world.agreed.find("db")->term == 1; }));
}

// Two databases say that they lead before anything was agreed: nobody was ever chosen.
Test(failover, of_two_that_say_they_lead_the_one_in_the_newest_term_is_adopted) {
  FailoverFixture world;
  world.at("b").is_leader = true;
  world.at("b").term = 2;
  world.run(1);
  cr_expect(world.run_until([&] { return world.is_led_by("b"); }));
  cr_expect(world.run_until([&] { return !world.at("a").is_leader; }));
}
