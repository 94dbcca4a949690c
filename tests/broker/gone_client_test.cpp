// What becomes of a request at work at a backend when its client leaves.
#include "broker/exchange_fixture.h"

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
