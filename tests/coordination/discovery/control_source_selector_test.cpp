// A broker among registries of which some are cut off: what it serves by stays confirmed while that
// can be had.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <set>

#include "coordination/discovery/control_source_selector.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration follow{400}, eager{50}, unconfirmed_wait{2000};
constexpr IncarnationId incarnation{7};

struct ServiceRegistry {
  bool is_confirmed = true, is_up = true, is_leader = false;
  bool hears = true, is_reachable = true;  // the ways from the broker and to it
  std::string zone = "there", region = "south";
  std::vector<std::string> registries;
  Version version{5};
  std::uint64_t token = 0;  // of the last follow that came
};

struct World {
  std::map<std::string, ServiceRegistry> registries;
  ControlSourceSelector selector{{"here", "north", follow, unconfirmed_wait}, incarnation, start};
  TimePoint now = start, due = start;
  Duration way{40};
  bool is_ready = false;
  ControlSourceSelector::Ready how = ControlSourceSelector::Ready::no;
  Version serving;
  std::set<std::string> asked;  // ever
  std::string last_feed;
  int changes = 0;
  struct Flying {
    TimePoint due;
    std::string address;
    std::uint64_t token;
    bool is_answer;
    ControlHeartbeat heartbeat;
  };
  std::vector<Flying> flying;

  void ask(const std::string& address) {
    asked.insert(address);
    const auto found = registries.find(address);
    if (found != registries.end() && found->second.is_up && found->second.hears)
      flying.push_back({now + way, address, selector.token(), false, {}});
  }
  void choose() {
    if (const auto chosen = selector.choose(now))
      ask(*chosen);
    if (selector.chosen() != last_feed)
      ++changes, last_feed = selector.chosen();
  }
  void tell(const std::string& address) {
    ServiceRegistry& registry = registries[address];
    if (!registry.is_reachable)
      return;
    ControlHeartbeat heartbeat;
    heartbeat.term = Term{1};
    heartbeat.requester = incarnation;
    heartbeat.token = registry.token;
    heartbeat.version = registry.version;
    heartbeat.is_confirmed = registry.is_confirmed;
    heartbeat.is_leader = registry.is_leader;
    heartbeat.is_filled = true;
    heartbeat.zone = registry.zone;
    heartbeat.region = registry.region;
    heartbeat.registries = registry.registries;
    flying.push_back({now + way, address, 0, true, heartbeat});
  }
  void run(Duration span) {
    for (const TimePoint end = now + span; now < end; now += 10ms) {
      std::vector<Flying> came;
      std::copy_if(flying.begin(), flying.end(), std::back_inserter(came),
                   [&](const Flying& one) { return one.due <= now; });
      std::erase_if(flying, [&](const Flying& one) { return one.due <= now; });
      for (const Flying& one : came) {
        if (!registries[one.address].is_up)
          continue;
        if (!one.is_answer) {
          registries[one.address].token = one.token;
          tell(one.address);
          continue;
        }
        const bool was_confirmed = selector.is_confirmed(selector.chosen(), now);
        selector.take(one.address, one.heartbeat, now);
        selector.handle_endpoints(one.address);
        serving = std::max(serving, one.heartbeat.version);
        if (!is_ready || !was_confirmed)
          choose();
      }
      if (now >= due) {
        selector.turn(now);
        due = now + (is_ready ? follow : eager);
        std::size_t position = 0;
        std::vector<std::string> to;
        for (const auto& [address, source] : selector.sources())
          if (selector.should_ask(address, ++position, is_ready, now))
            to.push_back(address);
        for (const std::string& address : to)
          ask(address);
        choose();
      }
      if (!is_ready && serving.value)
        if ((how = selector.judge(serving, now)) != ControlSourceSelector::Ready::no)
          is_ready = true;
    }
  }
  // How long until the feed is one with a majority behind it.
  Duration until_confirmed(Duration limit) {
    const TimePoint began = now;
    while (now - began < limit &&
           !(registries.contains(selector.chosen()) && registries[selector.chosen()].is_confirmed &&
             selector.is_confirmed(selector.chosen(), now)))
      run(10ms);
    return elapsed(began, now);
  }
};

const std::vector<std::string> all{"a:1", "b:1", "c:1"};

World three() {
  World world;
  for (const std::string& address : all)
    world.registries[address].registries = all;
  world.registries["a:1"].zone = "here";
  world.registries["a:1"].region = "north";
  return world;
}

}  // namespace

Test(selector, the_nearest_confirmed_registry_feeds) {
  World world = three();
  world.selector.set_seeds({"b:1"}, start);
  world.run(3s);
  cr_expect(
      world.how == ControlSourceSelector::Ready::confirmed && world.selector.chosen() == "a:1",
      "it learnt of the near one from another");
  const int before = world.changes;
  world.run(20s);
  cr_expect(world.changes == before, "and stays with it");
}

Test(selector, a_feed_cut_off_from_the_core_is_left_at_once) {
  for (int point = 0; point < 40; ++point) {
    World world = three();
    world.selector.set_seeds(all, start);
    world.run(3s + Duration(point * 20));
    cr_assert(world.selector.chosen() == "a:1");
    world.registries["a:1"].is_confirmed = false;  // it has noticed
    cr_expect(world.until_confirmed(5s) <= follow + world.way * 4, "point %d", point);
  }
}

// Its beats go on, but they answer nothing that was asked since: to be heard is not enough.
Test(selector, a_feed_that_does_not_hear_is_left) {
  for (const bool has_majority : {true, false})
    for (const bool is_deaf : {true, false}) {
      World world = three();
      for (auto& [address, registry] : world.registries)
        registry.is_confirmed = has_majority;
      world.selector.set_seeds(all, start);
      world.run(4s);
      cr_assert(world.selector.chosen() == "a:1");
      (is_deaf ? world.registries["a:1"].hears : world.registries["a:1"].is_reachable) = false;
      const TimePoint cut = world.now;
      while (world.selector.chosen() == "a:1" && world.now - cut < 10s) {
        world.tell("a:1");
        world.run(100ms);
      }
      cr_expect(elapsed(cut, world.now) <= follow * 5, "majority %d, deaf %d", has_majority,
                is_deaf);
    }
}

// All its first contacts are on the wrong side: what they tell of is tried, and nothing known is
// dropped for it.
Test(selector, a_broker_started_on_the_wrong_side_finds_the_majority) {
  World world;
  const std::vector<std::string> core{"a:1", "b:1", "c:1", "d:1", "e:1"};
  for (const std::string& address : core)
    world.registries[address].registries = core;
  for (const char* cut : {"a:1", "b:1"})
    world.registries[cut].is_confirmed = false, world.registries[cut].version = Version{4};
  world.selector.set_seeds({"a:1", "b:1"}, start);
  world.run(1s);
  cr_expect(world.is_ready && world.how == ControlSourceSelector::Ready::confirmed &&
            world.serving == Version{5});
  cr_expect(world.registries[world.selector.chosen()].is_confirmed);
  cr_expect(world.selector.sources().contains("a:1") && world.selector.sources().contains("b:1"),
            "seeds are kept");
}

// The one that led is gone as well, and still counts as heard for a moment.
Test(selector, a_ready_broker_whose_known_registries_are_all_cut_off_tries_what_they_tell_of) {
  for (int point = 0; point < 16; ++point) {
    World world;
    for (const char* address : {"a:1", "b:1"})
      world.registries[address].registries = {"a:1", "b:1"};
    world.registries["a:1"].zone = "here";
    world.registries["b:1"].is_leader = true;
    world.selector.set_seeds({"a:1", "b:1"}, start);
    world.run(3s + Duration(point * 100));
    cr_assert(world.how == ControlSourceSelector::Ready::confirmed &&
              world.selector.chosen() == "a:1");
    world.registries["b:1"].is_up = false;
    world.registries["a:1"].is_confirmed = false;
    world.registries["a:1"].registries = {"a:1", "c:1"};
    world.registries["c:1"].registries = {"c:1"};
    const TimePoint cut = world.now;
    while (world.selector.chosen() != "c:1" && world.now - cut < 10s)
      world.run(10ms);
    cr_expect(world.now - cut <= follow * 5 + world.way * 4, "point %d: %d ms", point,
              static_cast<int>(elapsed(cut, world.now).count()));
    cr_expect(world.selector.chosen() == "c:1" && world.selector.sources().contains("a:1"));
  }
}

Test(selector, good_addresses_outlive_the_contacts) {
  World world = three();
  world.selector.set_seeds({"a:1"}, start);
  world.run(3s);
  world.registries["a:1"].is_up = false;
  world.selector.set_seeds({}, world.now);
  world.run(4s);
  cr_expect(world.selector.chosen() == "b:1" || world.selector.chosen() == "c:1", "%s",
            world.selector.chosen().c_str());
  cr_expect(world.selector.is_confirmed(world.selector.chosen(), world.now));
  // One that knows nobody better tells of nobody: nothing is forgotten.
  world.registries["b:1"].is_confirmed = world.registries["c:1"].is_confirmed = false;
  world.registries["b:1"].registries = world.registries["c:1"].registries = {};
  world.run(5s);
  cr_expect(world.selector.sources().size() >= 2);
  world.registries["c:1"].is_confirmed = true;
  cr_expect(world.until_confirmed(5s) <= follow * 2);
}

Test(selector, without_any_majority_a_broker_is_ready_late_and_then_finds_it) {
  World world = three();
  for (auto& [address, registry] : world.registries)
    registry.is_confirmed = false;
  world.selector.set_seeds({"b:1"}, start);
  world.run(unconfirmed_wait - 50ms);
  cr_expect(!world.is_ready);
  world.run(300ms);
  cr_expect(world.is_ready && world.how == ControlSourceSelector::Ready::unconfirmed);
  world.registries["c:1"].is_confirmed = true;
  cr_expect(world.until_confirmed(5s) <= follow + world.way * 4);
}

// The only contact answers late: what it tells of is tried before the broker goes by its word, but
// not for ever.
Test(selector, what_is_learnt_late_is_waited_for_once) {
  World world = three();
  world.registries["b:1"].is_confirmed = false;
  world.registries["b:1"].is_reachable = false;
  world.registries["c:1"].is_up = world.registries["a:1"].is_up = false;
  world.selector.set_seeds({"b:1"}, start);
  world.run(unconfirmed_wait - 100ms);
  world.registries["b:1"].is_reachable = true;
  world.run(1s);
  cr_expect(!world.is_ready && world.asked.contains("c:1"));
  world.run(1500ms);
  cr_expect(world.how == ControlSourceSelector::Ready::unconfirmed);
}

Test(selector, long_ways_do_not_make_it_change_to_and_fro) {
  World world = three();
  world.way = Duration(300);
  world.selector.set_seeds(all, start);
  world.run(10s);
  cr_assert(world.selector.chosen() == "a:1");
  const int before = world.changes;
  world.registries["a:1"].is_confirmed = false;
  world.run(20s);
  cr_expect(world.changes == before + 1, "%d changes", world.changes - before);
}
