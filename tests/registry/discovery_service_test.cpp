// Discovery, its replication between registries and the changes for brokers, without sockets.
#include <criterion/criterion.h>

#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "registry/control_context_fakes.h"
#include "registry/discovery_service.h"
#include "registry/endpoint_publisher.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
const std::string peer_address = "10.0.0.2:7000";
const FrameHead peer_head{FrameKind::endpoint_list, IncarnationId{12}, peer_address};

class FakeDiscoveryEnvironment final : public DiscoveryEnvironment {
 public:
  const ConfigurationSnapshot& configuration() const override {
    return current;
  }
  void set_monitor_targets(MonitorTargetsSnapshot order) override {
    orders.push_back(std::move(order));
  }
  ConfigurationSnapshot current;
  std::vector<MonitorTargetsSnapshot> orders;
};

class RecordingReplySender final : public ReplySender {
 public:
  bool send(const std::string& routing_id, const std::string& bytes) override {
    if (is_blocked)
      return false;
    sent.push_back({routing_id, bytes});
    return true;
  }
  std::vector<std::pair<std::string, std::string>> sent;
  bool is_blocked = false;
};

Endpoint backend(const std::string& id, EndpointPhase phase = EndpointPhase::ready) {
  Endpoint entry;
  entry.id = id;
  entry.service = "index";
  entry.address = "10.0.1.1:80";
  entry.zone = "north-a";
  entry.phase = phase;
  return entry;
}

struct Fixture {
  explicit Fixture(bool is_signing_up = false) : settings(make_settings(is_signing_up)) {
  }
  static NodeSettings make_settings(bool is_signing_up) {
    NodeSettings settings;
    settings.is_signing_up = is_signing_up;
    settings.zone = "own";
    settings.control.port = 9000;
    return settings;
  }
  // Lists sent to the peer since the last call.
  std::vector<EndpointList> take_lists() {
    std::vector<EndpointList> lists;
    for (const auto& sent : peers.sent)
      if (sent.address == peer_address && sent.kind == FrameKind::endpoint_list)
        lists.push_back(decode_body<EndpointList>(sent.bytes));
    peers.sent.clear();
    return lists;
  }
  const NodeSettings settings;
  FakeControlContext context;
  RecordingPeerSender peers;
  FakeDiscoveryEnvironment environment;
  DiscoveryService service{settings, context, peers, environment};
};

}  // namespace

Test(discovery_service, a_follower_observes_only_while_nobody_else_does) {
  Fixture fixture;
  EndpointList observed;
  observed.is_observed = true;
  fixture.service.handle_endpoints(peer_head, observed, start);
  fixture.service.tick(start);
  cr_assert(fixture.environment.orders.size() == 1);
  cr_expect(!fixture.environment.orders[0]->is_observing);
  const TimePoint later = start + fixture.settings.listing * 3;
  fixture.service.tick(later - 1ms);
  cr_expect(fixture.environment.orders.size() == 1, "unchanged orders are not repeated");
  fixture.service.tick(later + 100ms);
  cr_assert(fixture.environment.orders.size() == 2);
  cr_expect(fixture.environment.orders[1]->is_observing);
}

Test(discovery_service, a_listing_is_ignored_unless_this_registry_observes) {
  Fixture fixture;
  fixture.service.handle_listing({backend("i-1")}, start);
  cr_expect(fixture.service.registry().endpoints().empty());
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.service.tick(start);
  fixture.service.handle_listing({backend("i-1")}, start);
  cr_expect(fixture.service.registry().endpoints().contains("i-1"));
}

Test(discovery_service, a_cancel_is_refused_without_a_quorum) {
  Fixture fixture(true);
  fixture.context.has_quorum = false;
  cr_expect(fixture.service.handle_backend_call(backend("i-1"), start) == "{}\n");
  cr_expect(!fixture.service.handle_backend_call(backend("i-1", EndpointPhase::gone), start));
  fixture.context.has_quorum = true;
  cr_expect(
      fixture.service.handle_backend_call(backend("i-1", EndpointPhase::gone), start).has_value());
  Fixture without_calls;
  cr_expect(!without_calls.service.handle_backend_call(backend("i-1"), start));
}

Test(discovery_service, a_backend_is_told_of_a_registry_in_its_own_zone) {
  Fixture fixture(true);
  EndpointList list;
  list.zone = "north-a";
  fixture.service.handle_endpoints(peer_head, list, start);
  cr_expect(fixture.service.handle_backend_call(backend("i-1"), start + 2500ms) ==
            "{\"next_beat_to\":\"10.0.0.2:9000\"}\n");
  cr_expect(fixture.service.handle_backend_call(backend("i-1"), start + 2501ms) == "{}\n",
            "not heard of for too long");
}

Test(discovery_service, peers_get_everything_first_and_then_what_changed) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.service.tick(start);
  auto lists = fixture.take_lists();
  cr_assert(lists.size() == 1);
  cr_expect(lists[0].is_complete && lists[0].is_observed && lists[0].zone == "own");
  fixture.service.handle_listing({backend("i-1")}, start + 10ms);
  fixture.service.tick(start + 99ms);
  cr_expect(fixture.take_lists().empty(), "a turn every 100 ms");
  fixture.service.tick(start + 100ms);
  fixture.take_lists();
  fixture.service.handle_listing({backend("i-1"), backend("i-2")}, start + 110ms);
  fixture.service.tick(start + 200ms);
  lists = fixture.take_lists();
  cr_assert(lists.size() == 1);
  cr_expect(!lists[0].is_complete && lists[0].entries.size() == 1);
  cr_expect(lists[0].entries.at(0).id == "i-2");
  fixture.service.tick(start + 300ms);
  cr_expect(fixture.take_lists().empty(), "nothing changed");
  fixture.service.tick(start + 5000ms);
  lists = fixture.take_lists();
  cr_expect(lists.size() == 1 && lists[0].is_complete, "everything again after five seconds");
}

Test(discovery_service, a_peer_that_started_anew_gets_everything) {
  Fixture fixture;
  fixture.service.tick(start);
  fixture.take_lists();
  fixture.service.handle_endpoints(peer_head, {}, start);
  fixture.service.tick(start + 100ms);
  const auto lists = fixture.take_lists();
  cr_expect(lists.size() == 1 && lists[0].is_complete);
}

Test(discovery_service, a_gap_in_a_peer_s_changes_is_reported_until_it_is_filled) {
  Fixture fixture;
  EndpointList change;
  change.base_revision = 5;
  change.revision = 6;
  fixture.service.handle_endpoints(peer_head, change, start);
  fixture.service.tick(start);
  auto lists = fixture.take_lists();
  cr_expect(lists.size() == 1 && lists[0].wants_full_list);
  EndpointList complete;
  complete.is_complete = true;
  complete.revision = 6;
  fixture.service.handle_endpoints(peer_head, complete, start + 50ms);
  fixture.service.handle_endpoints(peer_head, change, start + 60ms);
  fixture.service.tick(start + 5000ms);
  lists = fixture.take_lists();
  cr_expect(lists.size() == 1 && !lists[0].wants_full_list);
}

// The publisher of a leader's registry, with the directory of brokers that it publishes to.
struct PublisherFixture : Fixture {
  PublisherFixture() {
    context.lead(Term{2}, TimePoint::max());
    service.tick(start);
    request.wants_endpoints = true;
  }

  BrokerDirectory brokers{IncarnationId{11}};
  RecordingReplySender sender;
  EndpointPublisher publisher{context, service.registry(), brokers, sender};
  SubscribeRequest request;  // of a broker that wants endpoints
};

Test(endpoint_publisher, a_change_goes_once_to_each_broker_that_wants_it) {
  PublisherFixture fixture;
  const auto& fed =
      fixture.brokers.subscribe("r1", {FrameKind::subscribe, {}, "b1"}, fixture.request, start);
  fixture.publisher.send_empty_list(fed, start);
  cr_expect(fixture.sender.sent.size() == 1, "it is told that there is nothing yet");
  fixture.brokers.subscribe("r2", {FrameKind::subscribe, {}, "b2"}, {}, start);
  fixture.service.handle_listing({backend("i-1")}, start);
  fixture.publisher.tick(start);
  fixture.publisher.tick(start + 1ms);
  cr_assert(fixture.sender.sent.size() == 2);
  cr_expect(fixture.sender.sent[1].first == "r1");
  cr_expect(decode_body<EndpointList>(fixture.sender.sent[1].second).entries.size() == 1);
}

Test(endpoint_publisher, what_a_broker_could_not_take_is_sent_again) {
  PublisherFixture fixture;
  fixture.brokers.subscribe("r1", {FrameKind::subscribe, {}, "b1"}, fixture.request, start);
  fixture.service.handle_listing({backend("i-1")}, start);
  fixture.sender.is_blocked = true;
  fixture.publisher.tick(start);
  fixture.sender.is_blocked = false;
  fixture.publisher.tick(start + 1ms);
  cr_expect(fixture.sender.sent.size() == 1);
  // The subscription says that the broker holds nothing: the change was lost on its way.
  fixture.publisher.handle_subscription(fixture.brokers.subscribe(
      "r1", {FrameKind::subscribe, {}, "b1"}, fixture.request, start + 1s));
  fixture.publisher.tick(start + 1s);
  cr_expect(fixture.sender.sent.size() == 2);
}
