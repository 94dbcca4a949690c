// Operators' calls and the rollout of versions, without Raft, sockets or a clock of its own.
#include <criterion/criterion.h>

#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "registry/configuration_service.h"
#include "registry/control_context_fakes.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
const std::string own_address = "10.0.0.1:7000";
const std::string leader_address = "10.0.0.2:7000";
const FrameHead leader_head{FrameKind::forwarded_reply, IncarnationId{12}, leader_address};
const FrameHead follower_head{FrameKind::forwarded_call, IncarnationId{13}, "10.0.0.3:7000"};

class FakeConfigurationEnvironment final : public ConfigurationEnvironment {
 public:
  struct Proposal {
    Version version;
    std::string body;
    std::uint64_t token;
  };
  void propose_configuration(Version version, const std::string& body, std::uint64_t token,
                             TimePoint) override {
    proposals.push_back({version, body, token});
  }
  void read_committed(std::uint64_t token, TimePoint) override {
    reads.push_back(token);
  }
  void reply_to_operator(OperatorReply reply) override {
    replies.push_back(std::move(reply));
  }
  void apply_configuration(const Configuration& configuration) override {
    applied.push_back(configuration.version);
  }
  std::vector<Version> held_versions() const override {
    return held;
  }
  void notify_brokers(TimePoint) override {
    ++notifications;
  }
  std::vector<Proposal> proposals;
  std::vector<std::uint64_t> reads;
  std::vector<OperatorReply> replies;
  std::vector<Version> applied, held;
  int notifications = 0;
};

struct Fixture {
  FakeControlContext context;
  RecordingPeerSender peers;
  FakeConfigurationEnvironment environment;
  ConfigurationService service{NodeSettings{}, context, peers, environment};

  void put(std::uint64_t token, std::int64_t version, TimePoint now) {
    service.handle_operator_call({token, false, Version{version}, "body"}, now);
  }
  void commit(std::int64_t version, const std::string& body) {
    auto entry = std::make_shared<Entry>();
    entry->version = Version{version};
    entry->body = body;
    context.entry = std::move(entry);
  }
};

// The least that is a configuration of this version.
std::string minimal_configuration(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"services":[],"routes":[]})";
}

}  // namespace

Test(configuration_service, the_leader_proposes_a_change_and_acknowledges_it_once_committed) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.put(41, 3, start);
  fixture.service.route_calls(start);
  fixture.service.route_calls(start + 1ms);
  cr_assert(fixture.environment.proposals.size() == 1, "proposed once");
  cr_expect(fixture.environment.proposals[0].version == Version{3});
  cr_expect(fixture.environment.proposals[0].body == "body");
  cr_expect(fixture.environment.replies.empty() && fixture.service.has_waiting_calls());
  fixture.commit(3, "body");
  fixture.service.route_calls(start + 2ms);
  cr_assert(fixture.environment.replies.size() == 1);
  cr_expect(fixture.environment.replies[0].token == 41 && fixture.environment.replies[0].is_done);
  cr_expect(!fixture.service.has_waiting_calls() && fixture.peers.sent.empty());
}

Test(configuration_service, a_failed_proposal_is_tried_again_until_the_call_times_out) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.put(41, 3, start);
  fixture.service.route_calls(start);
  const std::uint64_t token = fixture.environment.proposals.at(0).token;
  fixture.service.handle_result({token, RaftNode::Outcome::failed, nullptr});
  fixture.service.route_calls(start + operator_call_timeout);
  cr_expect(fixture.environment.proposals.size() == 2 && fixture.environment.replies.empty());
  fixture.service.route_calls(start + operator_call_timeout + 1ms);
  cr_assert(fixture.environment.replies.size() == 1);
  cr_expect(fixture.environment.replies[0].token == 41 && !fixture.environment.replies[0].is_done);
}

Test(configuration_service, a_follower_forwards_to_the_leader_and_to_the_next_one) {
  Fixture fixture;
  fixture.put(41, 3, start);
  fixture.service.route_calls(start);
  cr_expect(fixture.peers.sent.empty(), "no leader is known");
  fixture.context.follow(Term{2}, leader_address);
  fixture.service.route_calls(start);
  fixture.service.route_calls(start + 1ms);
  cr_assert(fixture.peers.sent.size() == 1, "forwarded once");
  cr_expect(fixture.peers.sent[0].address == leader_address);
  cr_expect(fixture.peers.sent[0].kind == FrameKind::forwarded_call);
  const auto forwarded = decode_body<ForwardedCall>(fixture.peers.sent[0].bytes);
  cr_expect(!forwarded.is_read && forwarded.version == Version{3} && forwarded.body == "body");
  cr_expect(forwarded.term == Term{2});
  fixture.context.follow(Term{3}, "10.0.0.3:7000");
  fixture.service.route_calls(start + 2ms);
  cr_assert(fixture.peers.sent.size() == 2);
  cr_expect(fixture.peers.sent[1].address == "10.0.0.3:7000");
}

Test(configuration_service, the_leader_answers_a_forwarded_read_by_a_frame) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  ForwardedCall call;
  call.token = 7;
  call.is_read = true;
  fixture.service.handle_forwarded_call(follower_head, call, start);
  fixture.service.route_calls(start);
  cr_assert(fixture.environment.reads.size() == 1);
  auto state = std::make_shared<Entry>();
  state->body = "read";
  fixture.service.handle_result(
      {fixture.environment.reads[0], RaftNode::Outcome::done, std::move(state)});
  cr_assert(fixture.peers.sent.size() == 1 && fixture.environment.replies.empty());
  cr_expect(fixture.peers.sent[0].address == follower_head.from);
  const auto reply = decode_body<ForwardedReply>(fixture.peers.sent[0].bytes);
  cr_expect(reply.token == 7 && reply.is_done && reply.is_read && reply.body == "read");
  cr_expect(reply.requester == follower_head.incarnation && reply.term == Term{2});
}

Test(configuration_service, a_call_forwarded_to_a_registry_that_does_not_lead_is_sent_back) {
  Fixture fixture;
  fixture.context.follow(Term{2}, leader_address);
  ForwardedCall call;
  call.token = 7;
  call.version = Version{3};
  fixture.service.handle_forwarded_call(follower_head, call, start);
  fixture.service.route_calls(start);
  cr_assert(fixture.peers.sent.size() == 1);
  cr_expect(fixture.peers.sent[0].address == follower_head.from, "not to the leader");
  cr_expect(!decode_body<ForwardedReply>(fixture.peers.sent[0].bytes).is_done);
}

// It has just restarted, say, and whoever asks it still takes it for the leader: without a pause
// the two would send the call to and fro as fast as the network carries it.
Test(configuration_service, a_registry_that_does_not_lead_is_not_asked_again_at_once) {
  Fixture fixture;
  fixture.context.follow(Term{2}, leader_address);
  fixture.put(41, 3, start);
  fixture.service.route_calls(start);
  const auto refuse = [&] {
    const auto call = decode_body<ForwardedCall>(fixture.peers.sent.back().bytes);
    ForwardedReply reply;
    reply.token = call.token;
    reply.requester = IncarnationId{11};
    reply.version = call.version;
    reply.digest = digest_of(call.body);
    fixture.service.handle_forwarded_reply(leader_head, reply);
  };
  refuse();
  fixture.service.route_calls(start + 1ms);
  fixture.service.route_calls(start + 49ms);
  cr_expect(fixture.peers.sent.size() == 1, "sent %zu times", fixture.peers.sent.size());
  fixture.service.route_calls(start + 50ms);
  cr_assert(fixture.peers.sent.size() == 2);
  refuse();
  fixture.context.follow(Term{3}, "10.0.0.3:7000");
  fixture.service.route_calls(start + 51ms);
  cr_assert(fixture.peers.sent.size() == 3, "another leader is asked at once");
  cr_expect(fixture.peers.sent[2].address == "10.0.0.3:7000");
}

Test(configuration_service, only_the_answer_to_its_own_call_is_believed) {
  Fixture fixture;
  fixture.context.follow(Term{2}, leader_address);
  fixture.service.handle_operator_call({41, true, {}, {}}, start);
  fixture.service.route_calls(start);
  ForwardedReply reply;
  reply.token = decode_body<ForwardedCall>(fixture.peers.sent.at(0).bytes).token;
  reply.requester = IncarnationId{11};
  reply.is_read = true;
  reply.term = Term{2};
  reply.is_done = true;
  reply.body = "read";
  fixture.service.handle_forwarded_reply(follower_head, reply);
  cr_expect(fixture.environment.replies.empty(), "not from whom was asked");
  fixture.service.handle_forwarded_reply(leader_head, reply);
  cr_assert(fixture.environment.replies.size() == 1);
  cr_expect(fixture.environment.replies[0].is_done &&
            fixture.environment.replies[0].body == "read");
}

Test(configuration_service, a_committed_version_is_in_force_once_every_broker_holds_it) {
  Fixture fixture;
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.environment.held = {Version{0}, Version{0}};
  fixture.commit(3, minimal_configuration(3));
  fixture.service.take_committed(start);
  cr_assert(fixture.service.configuration(), "readable");
  cr_expect(fixture.environment.applied.size() == 1 && fixture.environment.notifications == 1);
  cr_expect(!fixture.service.payload_after(Version{3}));
  cr_expect(fixture.service.payload_after(Version{2})->version == Version{3});
  fixture.environment.held = {Version{3}, Version{0}};
  fixture.service.advance_rollout(start);
  cr_expect(fixture.service.in_force() == Version{0});
  fixture.environment.held = {Version{3}, Version{3}};
  fixture.service.advance_rollout(start);
  cr_expect(fixture.service.in_force() == Version{3} && fixture.environment.notifications == 2);
  const std::vector<VersionEvent> trace = fixture.service.trace(start);
  cr_assert(trace.size() == 3);
  cr_expect(trace[0].what == "committed" && trace[1].what == "sent");
  cr_expect(trace[2].what == "held by all");
}

Test(configuration_service, a_leader_without_a_lease_puts_nothing_into_force) {
  Fixture fixture;
  fixture.context.lead(Term{2}, start);
  fixture.commit(3, minimal_configuration(3));
  fixture.service.take_committed(start);
  fixture.service.advance_rollout(start + 1s);
  cr_expect(fixture.service.in_force() == Version{0});
  fixture.context.lead(Term{2}, TimePoint::max());
  fixture.service.advance_rollout(start + 1s);
  cr_expect(fixture.service.in_force() == Version{3});
}
