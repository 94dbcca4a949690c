// The edge latency service without a loop, sockets or a clock of its own.
#include <criterion/criterion.h>

#include "protocol/control_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/frame.h"
#include "registry/control_context_fakes.h"
#include "registry/edge_latency_service.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

class FakeEdgeEnvironment final : public EdgeEnvironment {
 public:
  std::vector<Version> held_edge_views() const override {
    return held;
  }
  Capacities edge_capacities() const override {
    return {{{"index", "north-a"}, 100}, {{"index", "south-a"}, 100}};
  }
  void notify_brokers(TimePoint) override {
    ++notifications;
  }
  std::vector<Version> held;
  int notifications = 0;
};

NodeSettings edge_settings() {
  NodeSettings settings;
  settings.has_edges = true;
  return settings;
}

std::string encoded_counts(const std::string& zone, double milliseconds, int requests) {
  EdgeCounts counts(100);
  for (int number = 0; number < requests; ++number)
    counts.add({"index", zone, EdgeClass::light}, milliseconds, false);
  return counts.take();
}

struct Fixture {
  FakeControlContext context;
  RecordingPeerSender peers;
  FakeEdgeEnvironment environment;
  EdgeLatencyService service{edge_settings(), context, peers, environment};
  TimePoint now = start;

  // Brokers of the south measure a slow and a fast zone until the leader avoids the slow one.
  void run_with_slow_edge(Duration span) {
    for (const TimePoint until = now + span; now < until; now += 100ms) {
      service.record_counts("south", encoded_counts("north-a", 900, 10));
      service.record_counts("south", encoded_counts("south-a", 10, 10));
      service.tick(now);
    }
  }
  ControlHeartbeat heartbeat(std::uint64_t held_revision) const {
    ControlHeartbeat filled;
    service.fill_heartbeat(held_revision, filled);
    return filled;
  }
};

}  // namespace

Test(edge_latency_service, a_follower_forwards_its_sums_to_the_leader_alone) {
  Fixture fixture;
  fixture.context.follow(Term{3}, "10.0.0.2:7000");
  fixture.service.tick(start);
  cr_expect(fixture.peers.sent.empty(), "no counts, no frame");
  fixture.service.record_counts("south", encoded_counts("north-a", 900, 10));
  fixture.service.tick(start + 399ms);
  cr_expect(fixture.peers.sent.empty(), "sums leave every 400 ms");
  fixture.service.tick(start + 400ms);
  cr_assert(fixture.peers.sent.size() == 1);
  const auto& sent = fixture.peers.sent[0];
  cr_expect(sent.address == "10.0.0.2:7000" && sent.kind == FrameKind::edge_sums);
  const EdgeSums sums = decode_body<EdgeSums>(sent.bytes);
  cr_expect(sums.term == Term{3} && sums.regions.size() == 1 && sums.regions[0].region == "south");
  cr_expect(sums.regions[0].counts == encoded_counts("north-a", 900, 10));
  fixture.service.tick(start + 800ms);
  cr_expect(fixture.peers.sent.size() == 1, "what was forwarded is not forwarded again");
}

Test(edge_latency_service, without_a_leader_sums_are_dropped_not_kept) {
  Fixture fixture;
  fixture.context.follow(Term{3}, "");
  fixture.service.record_counts("south", encoded_counts("north-a", 900, 10));
  fixture.service.tick(start);
  fixture.context.follow(Term{4}, "10.0.0.2:7000");
  fixture.service.tick(start + 1s);
  cr_expect(fixture.peers.sent.empty());
}

Test(edge_latency_service, a_view_is_in_force_once_every_broker_holds_it) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.environment.held = {Version{0}, Version{0}};
  // Until the first view there is; the rollout waits for the brokers as long as it may.
  while (fixture.heartbeat(0).edge_view.empty() && fixture.now < start + 20s)
    fixture.run_with_slow_edge(100ms);
  const ControlHeartbeat first = fixture.heartbeat(0);
  EdgeView view;
  cr_assert(decode_view(first.edge_view, view));
  cr_expect(view.revision >> 32 == 2, "the term is the upper half");
  cr_expect(first.edge_view_in_force < view.revision, "no broker holds it yet");
  cr_expect(fixture.environment.notifications == 1);
  cr_expect(fixture.heartbeat(view.revision).edge_view.empty(), "sent to whoever lacks it only");

  const Version held{static_cast<std::int64_t>(view.revision)};
  fixture.environment.held = {held, Version{0}};
  fixture.service.tick(fixture.now);
  cr_expect(fixture.heartbeat(0).edge_view_in_force < view.revision, "one broker lacks it");
  fixture.environment.held = {held, held};
  fixture.service.tick(fixture.now);
  cr_expect(fixture.heartbeat(0).edge_view_in_force == view.revision);
  cr_expect(fixture.environment.notifications == 2);
}

Test(edge_latency_service, the_leader_sends_its_view_to_all_peers) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.run_with_slow_edge(15000ms);
  const EdgeViewFrame frame = decode_body<EdgeViewFrame>(fixture.peers.sent.back().bytes);
  cr_expect(frame.term == Term{2} && !frame.view.empty());
  std::size_t views = 0;
  for (const auto& sent : fixture.peers.sent)
    views += sent.kind == FrameKind::edge_view;
  cr_expect(views == fixture.peers.sent.size() && views % 2 == 0, "each frame to both peers");
  const std::string report = fixture.service.report(fixture.now);
  cr_expect(report.find("\"avoided\":1") != std::string::npos, "%s", report.c_str());
}

Test(edge_latency_service, a_follower_keeps_the_view_of_the_leader_of_its_term) {
  Fixture leader;
  leader.context.lead(Term{2}, TimePoint::max());
  leader.run_with_slow_edge(15000ms);
  const EdgeViewFrame frame = decode_body<EdgeViewFrame>(leader.peers.sent.back().bytes);
  const FrameHead from{FrameKind::edge_view, IncarnationId{12}, "10.0.0.2:7000"};

  Fixture follower;
  follower.context.follow(Term{2}, "10.0.0.3:7000");
  follower.service.handle_view(from, frame, start);
  cr_expect(follower.heartbeat(0).edge_view.empty(), "not from the leader");
  follower.context.follow(Term{3}, "10.0.0.2:7000");
  follower.service.handle_view(from, frame, start);
  cr_expect(follower.heartbeat(0).edge_view.empty(), "of an earlier term");
  EdgeViewFrame current = frame;
  current.term = Term{3};
  follower.service.handle_view(from, current, start);
  cr_expect(follower.heartbeat(0).edge_view == frame.view);
}

Test(edge_latency_service, sums_of_another_term_are_not_counted) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  const EdgeSums sums{Term{1}, {{"south", encoded_counts("north-a", 900, 10)}}};
  fixture.service.handle_sums(sums, start);
  cr_expect(fixture.service.report(start).find("\"cells\":[]") != std::string::npos);
  fixture.service.handle_sums({Term{2}, sums.regions}, start);
  cr_expect(fixture.service.report(start).find("north-a") != std::string::npos);
}

Test(edge_latency_service, is_silent_while_the_option_is_off) {
  FakeControlContext context;
  RecordingPeerSender peers;
  FakeEdgeEnvironment environment;
  EdgeLatencyService service(NodeSettings{}, context, peers, environment);
  context.lead(Term{2}, TimePoint::max());
  service.record_counts("south", encoded_counts("north-a", 900, 10));
  service.tick(start);
  ControlHeartbeat heartbeat;
  service.fill_heartbeat(0, heartbeat);
  cr_expect(peers.sent.empty() && environment.notifications == 0);
  cr_expect(heartbeat.edge_view.empty() && heartbeat.edge_view_in_force == 0);
}
