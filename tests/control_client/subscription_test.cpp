// The parts of the control-plane client that need neither sockets nor a thread.
#include <criterion/criterion.h>

#include <optional>
#include <vector>

#include "control_client/configuration_fetcher.h"
#include "control_client/pooler_subscription.h"
#include "control_client/remote_brokers.h"
#include "control_client/ring_subscription.h"
#include "protocol/control_messages.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr IncarnationId incarnation{7};

// Two registries that hold these versions; the first is the source.
ControlSourceSelector selector_with(Version of_source, Version of_other) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, incarnation,
                                 start);
  selector.set_seeds({"a:1", "b:1"}, start);
  ControlHeartbeat heartbeat;
  heartbeat.requester = incarnation;
  heartbeat.token = selector.begin_requests(start);
  heartbeat.is_confirmed = true;
  heartbeat.registries = {"a:1", "b:1"};
  heartbeat.zone = "here";
  heartbeat.version = of_source;
  selector.handle_heartbeat("a:1", heartbeat, start);
  heartbeat.zone = "there";
  heartbeat.version = of_other;
  selector.handle_heartbeat("b:1", heartbeat, start);
  cr_assert(selector.select(start) == "a:1");
  return selector;
}

}  // namespace

Test(configuration_fetcher, prefers_the_source_and_retries_at_growing_intervals) {
  const ControlSourceSelector selector = selector_with(Version{5}, Version{5});
  ConfigurationFetcher fetcher;
  cr_expect(!fetcher.next(selector, Version{5}, true, start), "nothing newer is known");
  cr_expect(fetcher.next(selector, Version{4}, true, start) == "a:1");
  cr_expect(fetcher.is_waiting(Version{4}) && !fetcher.is_waiting(Version{5}));
  cr_expect(!fetcher.next(selector, Version{4}, true, start + 599ms));
  cr_expect(fetcher.next(selector, Version{4}, true, start + 600ms) == "a:1");
  cr_expect(!fetcher.next(selector, Version{4}, true, start + 1799ms));
  cr_expect(fetcher.next(selector, Version{4}, true, start + 1800ms) == "a:1");
}

Test(configuration_fetcher, waits_briefly_for_the_source_when_another_has_the_newer_version) {
  const ControlSourceSelector selector = selector_with(Version{4}, Version{5});
  ConfigurationFetcher fetcher;
  cr_expect(!fetcher.next(selector, Version{4}, true, start));
  cr_expect(fetcher.due() == start + 120ms);
  cr_expect(fetcher.next(selector, Version{4}, true, start + 120ms) == "b:1");
  ConfigurationFetcher at_startup;
  cr_expect(at_startup.next(selector, Version{0}, false, start) == "b:1", "no wait before ready");
}

Test(remote_brokers, a_few_of_each_other_region_are_chosen) {
  RemoteBrokers brokers("10.0.0.1:7400", "north");
  ControlHeartbeat heartbeat;
  heartbeat.brokers_revision = 3;
  for (int number = 0; number < 8; ++number)
    heartbeat.broker_endpoints.push_back({"10.0.1." + std::to_string(number) + ":7400", "south"});
  heartbeat.broker_endpoints.push_back({"10.0.0.2:7400", "north"});
  cr_expect(brokers.update(heartbeat));
  cr_expect(brokers.revision() == 3 && brokers.chosen().size() == 4);
  for (const BrokerEndpoint& broker : brokers.chosen())
    cr_expect(broker.region == "south");
  cr_expect(!brokers.update(heartbeat), "the same list again");
  heartbeat.broker_endpoints.clear();
  heartbeat.brokers_revision = 4;
  cr_expect(!brokers.update(heartbeat) && brokers.revision() == 3, "a revision without a list");
}

Test(pooler_subscription, a_lease_counts_from_its_request_and_never_shrinks) {
  std::vector<LeadershipUpdate> updates;
  PoolerSubscription pooler;
  pooler.set_listeners([&](LeadershipUpdate update) { updates.push_back(std::move(update)); },
                       [](SampleUpdate) {});
  ControlHeartbeat heartbeat;
  pooler.handle_leaderships(heartbeat, start);
  cr_expect(updates.empty(), "neither table nor lease");
  LeadershipTable table;
  table.revision = 2;
  heartbeat.leaderships = encode_leaderships(table);
  heartbeat.leadership_revision = 2;
  heartbeat.lease = 3000;
  pooler.handle_leaderships(heartbeat, start);
  pooler.handle_leaderships(heartbeat, start - 1s);
  cr_assert(updates.size() == 2);
  cr_expect(updates[0].leaderships && updates[0].until == start + 3s);
  cr_expect(!updates[1].leaderships && updates[1].until == start + 3s);
}

Test(pooler_subscription, evidence_of_another_revision_is_not_sent) {
  PoolerSubscription pooler;
  pooler.set_listeners([](LeadershipUpdate) {}, [](SampleUpdate) {});
  LeadershipEvidence evidence;
  evidence.revision = 2;
  evidence.failing = "\1";
  pooler.report(evidence);
  pooler.update_evidence();
  pooler.confirm(3);
  cr_expect(pooler.take_confirmation() && !pooler.take_confirmation());
  SubscribeRequest request;
  pooler.add_to(request, "here", {}, true, true);
  cr_expect(request.leadership_revision == 3 && request.failing_leaderships.empty() &&
            request.zone == "here");
  pooler.confirm(2);
  pooler.add_to(request, "here", {}, true, true);
  cr_expect(request.failing_leaderships == "\1");
  SubscribeRequest to_follower;
  pooler.add_to(to_follower, "here", {}, false, false);
  cr_expect(to_follower.failing_leaderships.empty());
}

Test(ring_subscription, each_change_of_the_confirmed_revision_is_taken_once) {
  RingSubscription ring;
  cr_expect(!ring.take_confirmation());
  cr_expect(ring.confirm(4) && !ring.confirm(4));
  cr_expect(ring.take_confirmation() && !ring.take_confirmation());
  SubscribeRequest request;
  ring.add_to(request, true);
  cr_expect(request.ring_revision == 4 && request.latest_ring_revision == 0 &&
            request.ring_loads.empty());
}
