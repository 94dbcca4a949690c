// Clients that end their sending side behind whole requests, and wait for the answers.
#include "coordination/routing/ended_input.h"
#include "broker/exchange_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

// Every backend reads the whole request and never answers.
const Plan never_answers{Trouble::silence, false, 100000, true};

// What a client gets that ends its input behind these requests of one connection.
Exchange ask_and_end_input(ExchangeFixture& stage, const std::vector<std::string>& requests) {
  std::vector<Exchange> one(1);
  one[0].requests = requests;
  one[0].ends_input = true;
  stage.play(one);
  return one[0];
}

}  // namespace

// Guards against a connection that is closed without an answer, since its client ended its sending.
Test(ended_input, requests_that_came_whole_are_answered) {
  ExchangeFixture stage(2);
  cr_expect(ask_and_end_input(stage, {request_of("GET", "/free/a", "a")}).status() == 200);
  cr_expect(ask_and_end_input(stage, {request_of("POST", "/once/b", "b", "pay")}).status() == 200);
  const Exchange pipelined = ask_and_end_input(
      stage, {request_of("GET", "/free/c", "c"), request_of("GET", "/free/d", "d"),
              request_of("POST", "/once/e", "e", "pay")});
  cr_expect((pipelined.statuses == std::vector<int>{200, 200, 200}));
  cr_expect(stage.runs("e").size() == 1);
}

Test(ended_input, a_request_that_did_not_come_whole_is_none) {
  ExchangeFixture stage(1);
  const std::string whole = request_of("POST", "/once/a", "a", "pay");
  const Exchange cut = ask_and_end_input(
      stage, {request_of("GET", "/free/b", "b"), whole.substr(0, whole.size() - 1)});
  stage.settle();
  cr_expect(cut.statuses == std::vector<int>{200} && stage.runs("a").empty());
}

// The client may be gone, and no backend may be at work half a second for it.
Test(ended_input, what_may_be_repeated_is_given_up_soon_with_an_error) {
  ExchangeFixture stage(2);
  stage.plans["a"] = never_answers;
  const TimePoint began = Clock::now();
  const Exchange given_up = ask_and_end_input(stage, {request_of("GET", "/free/a", "a")});
  cr_expect(given_up.status() == 504);
  cr_expect(elapsed(began, Clock::now()) >= max_work_after_input_end);
  cr_expect(stage.is_let_go_of("a", Duration(50)));
  cr_expect(stage.ask_ready("/failures").bodies.at(0).find("stop=input_ended") !=
            std::string::npos);
}

// To break it off could stop it midway, and a second run is not allowed.
Test(ended_input, what_runs_once_has_its_whole_time) {
  ExchangeFixture stage(1);
  stage.plans["a"] = never_answers;
  const TimePoint began = Clock::now();
  cr_expect(ask_and_end_input(stage, {request_of("POST", "/once/a", "a", "pay")}).status() == 504);
  cr_expect(elapsed(began, Clock::now()) > 2 * max_work_after_input_end - Duration(50),
            "the route gives 800 ms");
}
