// A broker among registries of which some are partitioned away: its source stays a confirmed one as
// long as there is any.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <set>

#include "coordination/discovery/control_source_selector.h"
#include "protocol/control_messages.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration request_interval{400};
constexpr Duration startup_request_interval{50};  // until the broker is ready
constexpr Duration unconfirmed_wait{2000};
constexpr IncarnationId incarnation{7};

struct SimulatedRegistry {
  bool is_confirmed = true;
  bool is_up = true;
  bool is_leader = false;
  bool is_receiving = true;  // frames from the broker arrive
  bool is_reachable = true;  // frames to the broker arrive
  std::string zone = "there";
  std::string region = "south";
  std::vector<std::string> registries;
  Version version{5};
  std::uint64_t token = 0;  // of the last request that arrived
};

// One broker and its registries, by a simulated clock in steps of 10 ms.
struct World {
  struct FrameInFlight {
    TimePoint due;
    std::string address;  // of the registry
    std::uint64_t token;
    bool is_answer;
    ControlHeartbeat heartbeat;  // of an answer
  };

  std::map<std::string, SimulatedRegistry> registries;  // by address
  ControlSourceSelector selector{
      {"here", "north", request_interval, unconfirmed_wait}, incarnation, start};
  TimePoint now = start;
  TimePoint requests_due = start;
  Duration latency{40};  // one way
  bool is_ready = false;
  ControlSourceSelector::Readiness readiness = ControlSourceSelector::Readiness::no;
  Version serving;
  std::set<std::string> requested;  // every address that ever got a request
  std::string last_selected;
  int changes = 0;  // of the source
  std::vector<FrameInFlight> in_flight;

  void request(const std::string& address) {
    requested.insert(address);
    const auto found = registries.find(address);
    if (found != registries.end() && found->second.is_up && found->second.is_receiving)
      in_flight.push_back({now + latency, address, selector.last_token(), false, {}});
  }

  void select() {
    if (const auto selected = selector.select(now))
      request(*selected);
    if (selector.selected() == last_selected)
      return;
    ++changes;
    last_selected = selector.selected();
  }

  void answer(const std::string& address) {
    SimulatedRegistry& registry = registries[address];
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
    in_flight.push_back({now + latency, address, 0, true, heartbeat});
  }

  void deliver(const FrameInFlight& frame) {
    if (!registries[frame.address].is_up)
      return;
    if (!frame.is_answer) {
      registries[frame.address].token = frame.token;
      answer(frame.address);
      return;
    }
    const bool was_confirmed = selector.is_confirmed(selector.selected(), now);
    selector.handle_heartbeat(frame.address, frame.heartbeat, now);
    selector.handle_endpoints(frame.address);
    serving = std::max(serving, frame.heartbeat.version);
    if (!is_ready || !was_confirmed)
      select();
  }

  void deliver_due_frames() {
    const auto is_due = [&](const FrameInFlight& frame) {
      return frame.due <= now;
    };
    std::vector<FrameInFlight> arrived;
    std::copy_if(in_flight.begin(), in_flight.end(), std::back_inserter(arrived), is_due);
    std::erase_if(in_flight, is_due);
    for (const FrameInFlight& frame : arrived)
      deliver(frame);
  }

  void send_requests() {
    selector.begin_requests(now);
    requests_due = now + (is_ready ? request_interval : startup_request_interval);
    std::size_t position = 0;
    std::vector<std::string> addresses;
    for (const auto& [address, source] : selector.sources())
      if (selector.should_request(address, ++position, is_ready, now))
        addresses.push_back(address);
    for (const std::string& address : addresses)
      request(address);
    select();
  }

  void run(Duration duration) {
    for (const TimePoint end = now + duration; now < end; now += 10ms) {
      deliver_due_frames();
      if (now >= requests_due)
        send_requests();
      if (is_ready || !serving.value)
        continue;
      readiness = selector.readiness(serving, now);
      is_ready = readiness != ControlSourceSelector::Readiness::no;
    }
  }

  bool has_confirmed_source() const {
    const auto found = registries.find(selector.selected());
    return found != registries.end() && found->second.is_confirmed &&
           selector.is_confirmed(selector.selected(), now);
  }

  // How long until the source is one with a majority behind it.
  Duration until_confirmed(Duration limit) {
    const TimePoint began = now;
    while (now - began < limit && !has_confirmed_source())
      run(10ms);
    return elapsed(began, now);
  }
};

const std::vector<std::string> all{"a:1", "b:1", "c:1"};

World world_of_three() {
  World world;
  for (const std::string& address : all)
    world.registries[address].registries = all;
  world.registries["a:1"].zone = "here";
  world.registries["a:1"].region = "north";
  return world;
}

}  // namespace

Test(control_source_selector, selects_the_nearest_confirmed_registry) {
  World world = world_of_three();
  world.selector.set_seeds({"b:1"}, start);
  world.run(3s);
  cr_expect(world.readiness == ControlSourceSelector::Readiness::confirmed &&
                world.selector.selected() == "a:1",
            "it learnt the address of the near one from another");
  const int before = world.changes;
  world.run(20s);
  cr_expect(world.changes == before, "and stays with it");
}

Test(control_source_selector, a_source_that_lost_its_majority_is_left_at_once) {
  for (int point = 0; point < 40; ++point) {
    World world = world_of_three();
    world.selector.set_seeds(all, start);
    world.run(3s + Duration(point * 20));
    cr_assert(world.selector.selected() == "a:1");
    world.registries["a:1"].is_confirmed = false;  // it has noticed
    cr_expect(world.until_confirmed(5s) <= request_interval + world.latency * 4, "point %d", point);
  }
}

// Its heartbeats go on, but they answer no new request: to be heard is not enough.
Test(control_source_selector, a_source_that_does_not_receive_is_left) {
  for (const bool has_majority : {true, false})
    for (const bool is_deaf : {true, false}) {
      World world = world_of_three();
      for (auto& [address, registry] : world.registries)
        registry.is_confirmed = has_majority;
      world.selector.set_seeds(all, start);
      world.run(4s);
      cr_assert(world.selector.selected() == "a:1");
      (is_deaf ? world.registries["a:1"].is_receiving : world.registries["a:1"].is_reachable) =
          false;
      const TimePoint cut = world.now;
      while (world.selector.selected() == "a:1" && world.now - cut < 10s) {
        world.answer("a:1");
        world.run(100ms);
      }
      cr_expect(elapsed(cut, world.now) <= request_interval * 5, "majority %d, deaf %d",
                has_majority, is_deaf);
    }
}

// All its seeds are in the minority: the addresses that they name are tried, and no seed is dropped
// for them.
Test(control_source_selector, a_broker_started_in_a_minority_partition_finds_the_majority) {
  World world;
  const std::vector<std::string> core{"a:1", "b:1", "c:1", "d:1", "e:1"};
  for (const std::string& address : core)
    world.registries[address].registries = core;
  for (const char* cut : {"a:1", "b:1"}) {
    world.registries[cut].is_confirmed = false;
    world.registries[cut].version = Version{4};
  }
  world.selector.set_seeds({"a:1", "b:1"}, start);
  world.run(1s);
  cr_expect(world.is_ready && world.readiness == ControlSourceSelector::Readiness::confirmed &&
            world.serving == Version{5});
  cr_expect(world.registries[world.selector.selected()].is_confirmed);
  cr_expect(world.selector.sources().contains("a:1") && world.selector.sources().contains("b:1"),
            "seeds are kept");
}

// The leader is gone as well, and still counts as heard for a moment.
Test(control_source_selector,
     a_broker_whose_registries_are_all_cut_off_tries_the_addresses_they_announce) {
  for (int point = 0; point < 16; ++point) {
    World world;
    for (const char* address : {"a:1", "b:1"})
      world.registries[address].registries = {"a:1", "b:1"};
    world.registries["a:1"].zone = "here";
    world.registries["b:1"].is_leader = true;
    world.selector.set_seeds({"a:1", "b:1"}, start);
    world.run(3s + Duration(point * 100));
    cr_assert(world.readiness == ControlSourceSelector::Readiness::confirmed &&
              world.selector.selected() == "a:1");
    world.registries["b:1"].is_up = false;
    world.registries["a:1"].is_confirmed = false;
    world.registries["a:1"].registries = {"a:1", "c:1"};
    world.registries["c:1"].registries = {"c:1"};
    const TimePoint cut = world.now;
    while (world.selector.selected() != "c:1" && world.now - cut < 10s)
      world.run(10ms);
    cr_expect(world.now - cut <= request_interval * 5 + world.latency * 4, "point %d: %d ms", point,
              static_cast<int>(elapsed(cut, world.now).count()));
    cr_expect(world.selector.selected() == "c:1" && world.selector.sources().contains("a:1"));
  }
}

Test(control_source_selector, known_addresses_outlive_the_seeds) {
  World world = world_of_three();
  world.selector.set_seeds({"a:1"}, start);
  world.run(3s);
  world.registries["a:1"].is_up = false;
  world.selector.set_seeds({}, world.now);
  world.run(4s);
  cr_expect(world.selector.selected() == "b:1" || world.selector.selected() == "c:1", "%s",
            world.selector.selected().c_str());
  cr_expect(world.selector.is_confirmed(world.selector.selected(), world.now));
  // Registries without a majority name nobody: nothing is forgotten.
  world.registries["b:1"].is_confirmed = world.registries["c:1"].is_confirmed = false;
  world.registries["b:1"].registries = world.registries["c:1"].registries = {};
  world.run(5s);
  cr_expect(world.selector.sources().size() >= 2);
  world.registries["c:1"].is_confirmed = true;
  cr_expect(world.until_confirmed(5s) <= request_interval * 2);
}

Test(control_source_selector, without_a_majority_a_broker_is_ready_unconfirmed_after_the_wait) {
  World world = world_of_three();
  for (auto& [address, registry] : world.registries)
    registry.is_confirmed = false;
  world.selector.set_seeds({"b:1"}, start);
  world.run(unconfirmed_wait - 50ms);
  cr_expect(!world.is_ready);
  world.run(300ms);
  cr_expect(world.is_ready && world.readiness == ControlSourceSelector::Readiness::unconfirmed);
  world.registries["c:1"].is_confirmed = true;
  cr_expect(world.until_confirmed(5s) <= request_interval + world.latency * 4);
}

// The only seed answers late: the addresses that it names are tried before the broker serves by its
// version, but not for ever.
Test(control_source_selector, a_late_announced_address_extends_the_wait_only_once) {
  World world = world_of_three();
  world.registries["b:1"].is_confirmed = false;
  world.registries["b:1"].is_reachable = false;
  world.registries["c:1"].is_up = world.registries["a:1"].is_up = false;
  world.selector.set_seeds({"b:1"}, start);
  world.run(unconfirmed_wait - 100ms);
  world.registries["b:1"].is_reachable = true;
  world.run(1s);
  cr_expect(!world.is_ready && world.requested.contains("c:1"));
  world.run(1500ms);
  cr_expect(world.readiness == ControlSourceSelector::Readiness::unconfirmed);
}

Test(control_source_selector, high_latency_causes_no_oscillation) {
  World world = world_of_three();
  world.latency = Duration(300);
  world.selector.set_seeds(all, start);
  world.run(10s);
  cr_assert(world.selector.selected() == "a:1");
  const int before = world.changes;
  world.registries["a:1"].is_confirmed = false;
  world.run(20s);
  cr_expect(world.changes == before + 1, "%d changes", world.changes - before);
}
