#include "coordination/routing/request_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(request, a_plain_outcome_is_passed_on_unchanged) {
  RequestFixture stage(single);
  stage.request->start(start);
  cr_assert(stage.asked.size() == 1);
  stage.take(0, {201, false, "Created", "Answer-Seal: x\r\n", "x", "body"});
  cr_expect(stage.status() == 201 && stage.final.reason == "Created" &&
            stage.final.body == "body" && stage.final.fields == "Answer-Seal: x\r\n");
}

Test(request, a_harmless_one_goes_to_another_backend_after_a_breakdown) {
  RequestFixture stage(single);
  stage.request->start(start);
  stage.request->handle_failure(0, ErrorCode::broke_off, true, start + 20ms);
  cr_assert(stage.asked.size() == 2);
  cr_expect(stage.asked[0].backend != stage.asked[1].backend);
  stage.take(0, RequestFixture::good("x"));
  cr_expect(stage.status() == 200 && stage.answers == 1);
}

Test(request, a_risky_one_that_may_have_run_goes_nowhere_else) {
  RequestFixture stage(risky);
  stage.request->start(start);
  stage.request->handle_failure(0, ErrorCode::broke_off, true, start + 20ms);
  cr_expect(stage.asked.size() == 1 && stage.status() == 502);
}

Test(request, a_risky_one_that_was_turned_away_goes_on) {
  RequestFixture stage(risky);
  stage.request->start(start);
  stage.take(0, RequestFixture::failed(503, true));
  cr_assert(stage.asked.size() == 2);
  stage.take(0, RequestFixture::failed(503, true));
  cr_expect(stage.status() == 503 && stage.final.retry_after > Duration(0),
            "it has not run and will not");
}

Test(request, a_risky_one_is_never_asked_twice_at_a_time) {
  RequestFixture stage(risky);
  stage.request->start(start);
  for (TimePoint now = start; now < start + 900ms; now += 10ms)
    stage.request->on_due(now);
  cr_expect(stage.asked.size() == 1);
  stage.request->on_due(stage.request->deadline());
  cr_expect(stage.status() == 504, "it may have run: no promise");
}

Test(request, a_failure_of_a_risky_one_is_passed_on) {
  RequestFixture stage(risky);
  stage.request->start(start);
  stage.take(0, RequestFixture::failed(500, false));
  cr_expect(stage.status() == 500 && stage.final.body == "failure" && stage.asked.size() == 1);
}

Test(request, a_straggler_is_asked_elsewhere_and_the_first_outcome_wins) {
  RequestFixture stage(single);
  stage.request->start(start);
  stage.request->on_due(stage.request->next_due());
  cr_assert(stage.asked.size() == 2);
  stage.take(0, RequestFixture::good("x"), start + 130ms);
  cr_expect(stage.status() == 200);
  stage.take(0, RequestFixture::good("y"), start + 140ms);
  cr_expect(stage.answers == 1);
}

Test(request, without_allowance_nothing_is_asked_twice) {
  RequestFixture stage(single);
  stage.extra_reserve = 0;
  stage.request->start(start);
  stage.request->on_due(stage.request->next_due());
  cr_expect(stage.asked.size() == 1);
  stage.request->handle_failure(0, ErrorCode::broke_off, true, start + 120ms);
  cr_expect(stage.asked.size() == 1 && stage.status() == 502);
}

Test(request, an_asking_that_reached_nobody_costs_no_allowance) {
  RequestFixture stage(single);
  stage.extra_reserve = 0;
  stage.request->start(start);
  stage.request->handle_failure(0, ErrorCode::refused_connection, false, start + 2ms);
  cr_assert(stage.asked.size() == 2);
  stage.take(0, RequestFixture::good("x"));
  cr_expect(stage.status() == 200);
}

Test(request, gathered_parts_are_merged_greatest_first) {
  RequestFixture stage(gathered);
  stage.request->start(start);
  cr_assert(stage.asked.size() == 4);
  stage.take(0, RequestFixture::good("a", record('b') + record('q') + "short"));
  stage.take(1, RequestFixture::good("b", record('z')));
  stage.take(2, RequestFixture::good("c", record('q')));
  cr_expect(stage.answers == 0);
  stage.take(3, RequestFixture::good("d", ""));
  cr_expect(stage.status() == 200);
  cr_expect(stage.final.body == record('z') + record('q'));
  cr_expect(stage.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(request, near_the_aim_enough_parts_are_enough) {
  RequestFixture stage(gathered);
  stage.request->start(start);
  for (std::size_t part = 0; part < 3; ++part)
    stage.take(part, RequestFixture::good("p" + std::to_string(part)));
  cr_expect(stage.answers == 0);
  stage.request->on_due(start + 190ms);
  cr_expect(stage.status() == 200 && stage.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(request, too_few_parts_are_no_success) {
  RequestFixture stage(gathered);
  stage.request->start(start);
  for (std::size_t part = 0; part < 2; ++part)
    stage.take(part, RequestFixture::good("p" + std::to_string(part)));
  stage.request->on_due(start + 190ms);
  cr_expect(stage.answers == 0);
  stage.request->on_due(stage.request->deadline());
  cr_expect(stage.status() == 504);
}

Test(request, when_shards_without_backends_leave_too_few_nothing_is_asked) {
  RequestFixture stage(gathered);
  stage.cancel_service(0);
  stage.cancel_service(1);
  stage.request->start(start);
  cr_expect(stage.asked.empty() && stage.status() == 503 && stage.final.retry_after > Duration(0));
}

Test(request, one_shard_without_backends_is_left_out) {
  RequestFixture stage(gathered);
  stage.cancel_service(2);
  stage.request->start(start);
  cr_assert(stage.asked.size() == 3);
  for (const std::size_t part : {0, 1, 3})
    stage.take(part, RequestFixture::good("p" + std::to_string(part)));
  cr_expect(stage.status() == 200 && stage.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(request, the_answer_comes_before_the_clients_deadline) {
  RequestFixture stage(single);
  stage.request->start(start);
  cr_expect(stage.request->deadline() < start + 1000ms);
  stage.request->on_due(stage.request->deadline());
  cr_expect(stage.answers == 1 && stage.status() == 504);
}

Test(request, a_client_that_left_is_answered_nothing) {
  RequestFixture stage(single);
  stage.request->start(start);
  stage.request->abandon();
  stage.take(0, RequestFixture::good("x"));
  cr_expect(stage.answers == 0);
}

// Begun anew as often as it may be, its askings that may have run are never more than its tries;
// refused ones don't count.
Test(request, begun_anew_it_keeps_to_the_tries_of_all_its_rounds) {
  for (const char* route : {single, gathered}) {
    RequestFixture stage(route, 4, 3);
    stage.request->start(start);
    stage.request->on_due(start + 150ms);
    const std::size_t asked = stage.asked.size();
    cr_assert(asked == (route == single ? 2 : 8), "each part was asked a second time");
    cr_assert(stage.request->may_restart(0, start + 151ms));
    stage.request->close_for_restart(0);
    RequestFixture again(route, 4, 3);
    again.request->restart_from(*stage.request, start + 152ms);
    for (TimePoint now = start + 160ms; now < start + 900ms; now += 100ms)
      again.request->on_due(now);
    std::map<std::size_t, int> per_part;
    for (const auto& item : stage.asked)
      ++per_part[item.part];
    for (const auto& item : again.asked)
      ++per_part[item.part];
    for (const auto& [part, count] : per_part)
      cr_expect(count - (part == 0) == 3, "part %zu: %d", part, count);
    cr_expect(!again.request->may_restart(1 % per_part.size(), start + 900ms) || route == single,
              "its tries are used up");
  }
}

// The backend's own 503 promises nothing unless it says that it has not run.
Test(request, a_status_that_would_promise_is_not_passed_on_for_a_risky_one_that_may_have_run) {
  for (const int status : {408, 429, 503}) {
    RequestFixture once(risky);
    RequestFixture free(single);
    once.request->start(start);
    once.take(0, RequestFixture::failed(status, false));
    cr_expect(once.status() == 502 && once.asked.size() == 1, "%d", status);
    free.request->start(start);
    free.take(0, RequestFixture::failed(status, false));
    if (free.asked.size() == 2)
      free.take(0, RequestFixture::failed(status, false));
    cr_expect(free.status() == status, "what may be repeated needs no promise");
  }
}
