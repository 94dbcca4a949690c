// Who is subscribed, and which brokers each one is told of; no sockets, no clock of its own.
#include <criterion/criterion.h>

#include <map>
#include <set>

#include "protocol/control_messages.h"
#include "protocol/frame.h"
#include "registry/broker_count_memory.h"
#include "registry/broker_directory.h"
#include "registry/control_context_fakes.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr IncarnationId own_incarnation{11};

FrameHead head_of(const std::string& address) {
  return {FrameKind::subscribe, IncarnationId{5}, address};
}

SubscribeRequest request_of(const std::string& region) {
  SubscribeRequest request;
  request.region = region;
  request.is_ready = true;
  request.wants_endpoints = true;
  return request;
}

std::set<std::string> delegates_of(BrokerDirectory& directory, const std::string& address) {
  std::set<std::string> chosen;
  for (const auto& endpoint : directory.choose_delegates(directory.brokers().at(address)).endpoints)
    chosen.insert(endpoint.address);
  return chosen;
}

// Ten brokers in each of two regions: n0 to n9 and s0 to s9.
BrokerDirectory two_regions() {
  BrokerDirectory directory(own_incarnation);
  for (int number = 0; number < 10; ++number) {
    const std::string suffix = std::to_string(number);
    directory.subscribe("n" + suffix, head_of("n" + suffix), request_of("north"), start);
    directory.subscribe("s" + suffix, head_of("s" + suffix), request_of("south"), start);
  }
  return directory;
}

}  // namespace

Test(broker_directory, whoever_is_silent_for_more_than_four_seconds_is_removed) {
  BrokerDirectory directory(own_incarnation);
  directory.subscribe("r1", head_of("b1"), request_of("north"), start);
  directory.subscribe("r2", head_of("b2"), request_of("north"), start + 1ms);
  directory.remove_silent(start + 4000ms);
  cr_expect(directory.size() == 2);
  directory.remove_silent(start + 4001ms);
  cr_expect(directory.addresses() == std::vector<std::string>{"b2"});
}

Test(broker_directory, revisions_of_an_earlier_incarnation_do_not_count) {
  BrokerDirectory directory(own_incarnation);
  SubscribeRequest request = request_of("north");
  request.endpoints_revision = 7;
  request.endpoints_incarnation = 10;
  cr_expect(directory.subscribe("r", head_of("b"), request, start).endpoints_revision == 0);
  request.endpoints_incarnation = own_incarnation.value;
  cr_expect(directory.subscribe("r", head_of("b"), request, start).endpoints_revision == 7);
}

Test(broker_directory, poolers_count_as_subscribed_but_are_no_brokers) {
  BrokerDirectory directory(own_incarnation);
  directory.subscribe("r1", head_of("b1"), request_of("north"), start);
  SubscribeRequest request = request_of("north");
  request.zone = "north-a";
  request.version = Version{3};
  cr_expect(directory.subscribe("r2", head_of("p1"), request, start).is_pooler);
  cr_expect(directory.size() == 2 && directory.addresses().size() == 2);
  cr_expect(directory.broker_addresses() == std::vector<std::string>{"b1"});
  cr_expect(directory.held_edge_views().size() == 1);
  const std::vector<Version> held = {Version{0}, Version{3}};
  cr_expect(directory.held_versions() == held);
}

Test(broker_directory, delegates_are_four_ready_brokers_of_each_other_region) {
  BrokerDirectory directory = two_regions();
  std::set<std::string> chosen_by_any;
  for (int number = 0; number < 10; ++number) {
    const auto chosen = delegates_of(directory, "n" + std::to_string(number));
    cr_expect(chosen.size() == 4);
    for (const std::string& address : chosen)
      cr_expect(address[0] == 's', "%s", address.c_str());
    chosen_by_any.insert(chosen.begin(), chosen.end());
  }
  SubscribeRequest request = request_of("south");
  const std::string leaving = *chosen_by_any.begin();
  request.is_ready = false;
  directory.subscribe(leaving, head_of(leaving), request, start);
  for (int number = 0; number < 10; ++number)
    cr_expect(!delegates_of(directory, "n" + std::to_string(number)).contains(leaving));
}

Test(broker_directory, a_broker_that_leaves_replaces_one_delegate_of_those_who_had_it) {
  BrokerDirectory directory = two_regions();
  std::map<std::string, std::set<std::string>> before;
  for (int number = 0; number < 10; ++number) {
    const std::string address = "n" + std::to_string(number);
    before[address] = delegates_of(directory, address);
  }
  for (int number = 0; number < 10; ++number)
    if (const std::string address = "s" + std::to_string(number); address != "s3")
      directory.subscribe(address, head_of(address), request_of("south"), start + 4s);
  for (const auto& [address, chosen] : before)
    directory.subscribe(address, head_of(address), request_of("north"), start + 4s);
  directory.remove_silent(start + 5s);
  cr_assert(directory.size() == 19);
  for (const auto& [address, chosen] : before) {
    const auto now_chosen = delegates_of(directory, address);
    cr_expect(now_chosen.size() == 4 && !now_chosen.contains("s3"));
    for (const std::string& kept : chosen)
      cr_expect(kept == "s3" || now_chosen.contains(kept));
  }
}

Test(broker_directory, the_revision_of_a_choice_changes_with_the_choice) {
  BrokerDirectory directory = two_regions();
  const ConnectedBroker& receiver = directory.brokers().at("n1");
  const BrokerChoice choice = directory.choose_delegates(receiver);
  cr_expect(directory.choose_delegates(receiver).revision == choice.revision);
  const std::string chosen = choice.endpoints[0].address;
  SubscribeRequest request = request_of("south");
  request.is_ready = false;
  directory.subscribe(chosen, head_of(chosen), request, start);
  cr_expect(directory.choose_delegates(receiver).revision != choice.revision);
}

Test(broker_count_memory, a_lasting_change_by_more_than_a_quarter_is_proposed) {
  FakeControlContext context;
  context.lead(Term{1}, TimePoint::max());
  BrokerCountMemory memory(context, start);
  TimePoint now = start;
  const auto run = [&](std::size_t connected, Duration span) {
    for (const TimePoint until = now + span; now < until; now += 100ms)
      memory.tick(connected, now);
  };
  run(8, 15000ms);
  cr_expect(context.proposals.empty(), "within 15 s of the start not all brokers were heard of");
  run(8, 5000ms);
  cr_assert(context.proposals.size() == 1);
  cr_expect(context.proposals[0].token == broker_count_proposal_token);
  context.commit_document(context.proposals[0].name, context.proposals[0].text);
  run(10, 10000ms);
  cr_expect(context.proposals.size() == 1, "8 to 10 is no more than a quarter");
  run(11, 3900ms);
  cr_expect(context.proposals.size() == 1, "did not last yet");
  run(11, 500ms);
  cr_expect(context.proposals.size() == 2);
}

Test(broker_count_memory, a_registry_that_starts_tells_the_number_that_there_was) {
  FakeControlContext context;
  context.commit_document("fleet", Writer().number(40).take());
  BrokerCountMemory memory(context, start);
  cr_expect(memory.estimate(1, start) == 1, "not read yet");
  memory.tick(1, start);
  cr_expect(memory.estimate(1, start + 14s) == 40);
  cr_expect(memory.estimate(50, start + 14s) == 50);
  cr_expect(memory.estimate(1, start + 15s) == 1);
  cr_expect(context.proposals.empty(), "a follower proposes nothing");
}
