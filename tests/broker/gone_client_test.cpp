// What becomes of a request at work at a backend when its client leaves.
#include "broker/exchange_fixture.h"
#include "protocol/frame.h"
#include "protocol/gather_messages.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

// The rules give half a second.
constexpr Duration let_go_bound{450};

// The backend reads the whole request and never answers.
const Plan never_answers{Trouble::silence, false, 100000, true};

}  // namespace

Test(gone_client, a_backend_at_work_on_a_repeatable_request_is_let_go_of_soon) {
  ExchangeFixture stage(2);
  stage.plans["leaver"] = never_answers;
  stage.leave_at_work(request_of("GET", "/free/leaver", "leaver"), "leaver");
  cr_expect(stage.is_let_go_of("leaver", let_go_bound));
}

// To break it off could stop it midway, and a second run is not allowed.
Test(gone_client, a_backend_at_work_on_a_request_that_runs_once_may_finish_it) {
  ExchangeFixture stage(2);
  stage.plans["leaver"] = never_answers;
  stage.leave_at_work(request_of("POST", "/once/leaver", "leaver", "pay"), "leaver");
  cr_expect(!stage.is_let_go_of("leaver", let_go_bound));
}

Test(gone_client, a_gather_for_another_broker_ends_when_that_one_cancels_it) {
  ExchangeFixture stage(2);
  stage.plans["gather"] = never_answers;
  stage.delegate("broker-2", 7, "gather");
  stage.cancel_delegation("broker-3", 7);  // whose gather it is not
  cr_expect(!stage.is_let_go_of("gather", let_go_bound));
  stage.cancel_delegation("broker-2", 7);
  cr_expect(stage.is_let_go_of("gather", let_go_bound));
}

Test(gone_client, the_broker_that_gathers_is_told_that_nobody_waits) {
  ExchangeFixture stage(1);
  stage.leave_delegated(request_of("GET", "/all/leaver", "leaver"));
  const std::vector<DelegationMessage> sent = stage.delegations(2);
  ByteReader reader(sent[1].bytes);
  FrameHead head;
  GatherCancel cancel;
  cr_assert(decode_head(reader, head) && head.kind == FrameKind::gather_cancel);
  cr_expect(decode(reader, cancel) && cancel.token == sent[0].token && sent[1].to == sent[0].to);
}
