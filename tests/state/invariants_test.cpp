// Every invariant fires where a fault is planted, and its reaction keeps the promise.
#include <criterion/criterion.h>

#include <set>

#include "broker/broker_loop.h"
#include "coordination/databases/failover.h"
#include "coordination/raft/raft_cluster_fixture.h"
#include "coordination/routing/request_fixture.h"
#include "protocol/raft_messages.h"
#include "registry/configuration_service.h"
#include "registry/control_context_fakes.h"
#include "state/violation_recorder.h"
#include "transport/bounded_queue.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace saddlewing {

// Plants states that the code never reaches by itself.
struct InvariantProbe {
  static void mark_executed(ProxiedRequest& request) {
    request.has_executed_ = true;
  }
  static void use_all_tries(ProxiedRequest& request) {
    request.parts_[0].attempts_sent = 2;
    request.parts_[0].attempts_active = 0;
  }
  static void start_attempt(ProxiedRequest& request) {
    request.start_attempt(0, false, tests::start);
  }
  static void finish(ProxiedRequest& request, ErrorCode kind) {
    FinalResponse response;
    response.kind = kind;
    request.finish(std::move(response), tests::start);
  }
  static void propose_leader(Failover& failover, const DatabaseLeadership& leadership,
                             const DatabaseStatus& status) {
    failover.propose_leader(leadership, "b", status, "");
  }
  static bool is_proposing(const Failover& failover) {
    return failover.proposal_.has_value();
  }
  static PersistentState& persistent(RaftNode& node) {
    return node.persistent_;
  }
  static void mark_state_changed(RaftNode& node) {
    node.outbox_.mark_state_changed();
  }
  static void set_committed(RaftNode& node, const Entry& entry) {
    node.set_committed(std::make_shared<Entry>(entry));
  }
  static void take_view(BrokerLoop& loop, std::int64_t version) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = Version{version};
    auto view = std::make_shared<View>();
    view->configuration = std::move(configuration);
    loop.take_view(std::move(view), Clock::now());
  }
  static std::int64_t version(const BrokerLoop& loop) {
    return loop.view_->configuration->version.value;
  }
  static void forget_request(BrokerLoop& loop) {
    loop.by_exchange_[ExchangeId{7}] = nullptr;
    loop.check_tables();
  }
};

}  // namespace saddlewing

namespace {

// From here on a violation that no test expects ends its test.
const bool is_installed = (set_violation_handler(end_at_violation), true);

class FakeRequester final : public Requester {
 public:
  void handle_response(std::size_t, BackendResponse, Duration, TimePoint) override {
  }
  void handle_failure(std::size_t, ErrorCode, bool, TimePoint) override {
  }
  TimePoint deadline() const override {
    return TimePoint::max();
  }
  bool is_gathering() const override {
    return false;
  }
  void on_due(TimePoint) override {
  }
  void abandon() override {
    is_open_ = false;
  }
  bool is_repeatable() const override {
    return true;
  }
  bool is_open() const override {
    return is_open_;
  }
  TimePoint next_due() const override {
    return TimePoint::max();
  }

 private:
  bool is_open_ = true;
};

NodeSettings broker_settings() {
  NodeSettings settings;
  settings.ip_address = "127.0.0.1";
  settings.inner_port = 7000;
  return settings;
}

RaftMessage append_entries_from(std::uint64_t member) {
  RaftMessage message;
  message.type = RaftMessage::Type::append_entries;
  message.from = MemberId{member};
  message.address = "10.0.0." + std::to_string(member) + ":7";
  message.term = Term{5};
  return message;
}

RaftNode make_node() {
  auto entry = std::make_shared<Entry>();
  entry->members = {{MemberId{1}, "10.0.0.1:7"}, {MemberId{2}, "10.0.0.2:7"}};
  entry->term = Term{3};
  entry->index = Index{4};
  entry->version = Version{9};
  RaftOptions options;
  options.address = "10.0.0.1:7";
  return RaftNode({MemberId{1}, Term{3}, MemberId{2}, entry}, options, {}, start);
}

}  // namespace

Test(invariants, each_has_a_name_of_its_own_and_is_shown) {
  std::set<std::string_view> names;
  const std::string page = violations_page();
  for (std::size_t index = 0; index < static_cast<std::size_t>(Invariant::count); ++index) {
    const InvariantRow& row = row_of(static_cast<Invariant>(index));
    cr_expect(row.invariant == static_cast<Invariant>(index));
    cr_expect(names.insert(row.name).second && !row.statement.empty() && !row.reaction.empty());
    cr_expect(page.find("{invariant=\"" + std::string(row.name) + "\"} 0\n") != std::string::npos);
  }
}

Test(invariants, a_violation_is_counted) {
  ViolationRecorder recorder;
  cr_expect(!check_invariant(Invariant::pending_tables_agree, false,
                             [] { return std::string("evidence"); }));
  cr_expect(check_invariant(Invariant::pending_tables_agree, true, [] { return std::string(); }));
  cr_expect(recorder.has_only(Invariant::pending_tables_agree) && count_violations() == 1 &&
            violations_of(Invariant::pending_tables_agree) == 1);
}

Test(invariants, a_second_response_is_dropped) {
  ViolationRecorder recorder;
  RequestFixture fixture(single);
  fixture.request->start(start);
  fixture.deliver_response(0, RequestFixture::success_response("seal"));
  InvariantProbe::finish(*fixture.request, ErrorCode::deadline_reached);
  cr_expect(recorder.has_only(Invariant::one_response_per_request) && fixture.responses == 1);
}

Test(invariants, what_may_have_run_is_not_sent_again) {
  ViolationRecorder recorder;
  RequestFixture fixture(risky);
  fixture.request->start(start);
  InvariantProbe::start_attempt(*fixture.request);
  cr_expect(recorder.has_only(Invariant::unsafe_request_runs_once));
  cr_expect(fixture.attempts.size() == 1);
}

Test(invariants, no_attempt_beyond_the_tries) {
  ViolationRecorder recorder;
  RequestFixture fixture(single, 3);
  fixture.request->start(start);
  InvariantProbe::use_all_tries(*fixture.request);
  InvariantProbe::start_attempt(*fixture.request);
  cr_expect(recorder.has_only(Invariant::attempts_within_tries) && fixture.attempts.size() == 1);
}

Test(invariants, a_promise_that_nothing_ran_is_not_given_for_what_may_have_run) {
  ViolationRecorder recorder;
  RequestFixture fixture(risky);
  fixture.request->start(start);
  InvariantProbe::mark_executed(*fixture.request);
  InvariantProbe::finish(*fixture.request, ErrorCode::overloaded);
  cr_expect(recorder.has_only(Invariant::refusal_means_nothing_ran) && fixture.status() == 502);
}

Test(invariants, no_attempt_for_a_closed_request_or_at_a_draining_backend) {
  BrokerLoop loop(broker_settings(), IncarnationId{1});
  FakeRequester requester;
  Backend backend;
  {
    ViolationRecorder recorder;
    backend.is_draining = true;
    cr_expect(!loop.send_attempt(requester, 0, backend, start));
    cr_expect(recorder.has_only(Invariant::no_attempt_to_draining_backend));
  }
  ViolationRecorder recorder;
  backend.is_draining = false;
  requester.abandon();
  cr_expect(!loop.send_attempt(requester, 0, backend, start));
  cr_expect(recorder.has_only(Invariant::no_attempt_after_close));
}

Test(invariants, a_connection_at_work_takes_no_second_attempt) {
  ViolationRecorder recorder;
  BrokerLoop loop(broker_settings(), IncarnationId{1});
  auto backend = std::make_shared<Backend>();
  backend->address = {"127.0.0.1", 1};
  BackendConnection connection(loop, backend);
  const auto make_context = [&] {
    auto context = std::make_shared<RequestContext>(loop, ExchangeId{});
    context->requester = std::make_unique<FakeRequester>();
    return context;
  };
  const RequestContextPointer first = make_context();
  cr_assert(connection.ask(first, 0, start));
  cr_expect(!connection.ask(make_context(), 0, start));
  cr_expect(recorder.has_only(Invariant::one_attempt_per_connection));
  cr_expect(first->attempts.size() == 1);
}

Test(invariants, a_broker_takes_no_older_version) {
  ViolationRecorder recorder;
  BrokerLoop loop(broker_settings(), IncarnationId{1});
  InvariantProbe::take_view(loop, 7);
  InvariantProbe::take_view(loop, 6);
  cr_expect(recorder.has_only(Invariant::version_in_force_never_falls));
  cr_expect(InvariantProbe::version(loop) == 7);
}

Test(invariants, an_exchange_without_its_request_is_told) {
  ViolationRecorder recorder;
  BrokerLoop loop(broker_settings(), IncarnationId{1});
  InvariantProbe::forget_request(loop);
  cr_expect(recorder.has_only(Invariant::pending_tables_agree));
}

Test(invariants, a_term_or_vote_that_went_back_is_not_saved) {
  for (const bool is_term : {true, false}) {
    ViolationRecorder recorder;
    RaftNode node = make_node();
    PersistentState& persistent = InvariantProbe::persistent(node);
    if (is_term)
      persistent.current_term = Term{2};
    else
      persistent.voted_for = MemberId{1};
    InvariantProbe::mark_state_changed(node);
    cr_expect(!node.take_output(start).save);
    cr_expect(recorder.has_only(Invariant::term_and_vote_never_go_back));
  }
}

Test(invariants, an_entry_that_went_back_is_not_saved) {
  ViolationRecorder recorder;
  RaftNode node = make_node();
  auto older = std::make_shared<Entry>(*InvariantProbe::persistent(node).entry);
  older->index = Index{3};
  InvariantProbe::persistent(node).entry = older;
  InvariantProbe::mark_state_changed(node);
  cr_expect(!node.take_output(start).save);
  cr_expect(recorder.has_only(Invariant::entry_never_goes_back));
}

Test(invariants, what_is_committed_stays) {
  ViolationRecorder recorder;
  RaftNode node = make_node();
  Entry entry = *InvariantProbe::persistent(node).entry;
  InvariantProbe::set_committed(node, entry);
  entry.version = Version{8};
  InvariantProbe::set_committed(node, entry);
  cr_expect(recorder.has_only(Invariant::commit_never_goes_back));
  cr_expect(node.committed()->version == Version{9});
}

Test(invariants, a_second_leader_of_a_term_is_not_followed) {
  ViolationRecorder recorder;
  RaftNode node = make_node();
  node.receive(append_entries_from(2), start);
  node.receive(append_entries_from(3), start);
  cr_expect(recorder.has_only(Invariant::one_leader_per_term));
  cr_expect(node.leader_address() == "10.0.0.2:7");
}

namespace {

class RecordingEnvironment final : public ConfigurationEnvironment {
 public:
  void propose_configuration(Version, const std::string&, std::uint64_t token, TimePoint) override {
    last_token = token;
  }
  void read_committed(std::uint64_t token, TimePoint) override {
    last_token = token;
  }
  void reply_to_operator(OperatorReply reply) override {
    replies.push_back(std::move(reply));
  }
  void apply_configuration(const Configuration&) override {
  }
  std::vector<Version> held_versions() const override {
    return {};
  }
  void notify_brokers(TimePoint) override {
  }
  std::uint64_t last_token = 0;
  std::vector<OperatorReply> replies;
};

EntrySnapshot entry_of(std::int64_t version) {
  auto entry = std::make_shared<Entry>();
  entry->version = Version{version};
  return entry;
}

}  // namespace

Test(invariants, what_is_not_committed_is_not_acknowledged_and_no_older_version_is_read) {
  FakeControlContext context;
  RecordingPeerSender peers;
  RecordingEnvironment environment;
  ConfigurationService service{NodeSettings{}, context, peers, environment};
  context.lead(Term{3}, start + 60s);
  context.entry = entry_of(5);
  {
    ViolationRecorder recorder;
    service.handle_operator_call({1, false, Version{6}, "body"}, start);
    service.route_calls(start);
    service.handle_result({environment.last_token, RequestOutcome::done, nullptr});
    cr_expect(recorder.has_only(Invariant::acknowledged_is_committed));
  }
  ViolationRecorder recorder;
  service.handle_operator_call({2, true, Version{}, {}}, start);
  service.route_calls(start);
  service.handle_result({environment.last_token, RequestOutcome::done, entry_of(4)});
  cr_expect(recorder.has_only(Invariant::read_is_newest_known));
  cr_assert(environment.replies.size() == 2);
  cr_expect(!environment.replies[0].is_done && !environment.replies[1].is_done);
}

Test(invariants, what_a_full_queue_refuses_is_told) {
  ViolationRecorder recorder;
  BoundedQueue<int> queue(1, {});
  hand_over(queue, 1, "a number");
  hand_over(queue, 2, "a number");
  cr_expect(recorder.has_only(Invariant::hand_over_is_accepted));
}

Test(invariants, a_database_of_an_older_term_is_not_agreed_to_lead) {
  Failover failover{FailoverOptions{}};
  DatabaseLeadership leadership;
  leadership.service = "db";
  leadership.id = "a";
  leadership.term = 3;
  ViolationRecorder violations;
  InvariantProbe::propose_leader(failover, leadership, {true, 2, {2, 90}});
  cr_expect(violations.has_only(Invariant::leader_has_newest_term));
  cr_expect(!InvariantProbe::is_proposing(failover));
  InvariantProbe::propose_leader(failover, leadership, {true, 3, {3, 10}});
  cr_expect(violations.has_only(Invariant::leader_has_newest_term));
  cr_expect(InvariantProbe::is_proposing(failover));
}
