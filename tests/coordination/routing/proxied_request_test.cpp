#include "coordination/routing/ended_input.h"
#include "coordination/routing/request_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(request, a_plain_response_is_passed_on_unchanged) {
  RequestFixture fixture(single);
  fixture.request->start(start);
  cr_assert(fixture.attempts.size() == 1);
  fixture.deliver_response(0, {201, false, "Created", "Answer-Seal: x\r\n", "x", "body"});
  cr_expect(fixture.status() == 201 && fixture.final.reason == "Created" &&
            fixture.final.body == "body" && fixture.final.fields == "Answer-Seal: x\r\n");
}

Test(request, a_harmless_one_goes_to_another_backend_after_a_failure) {
  RequestFixture fixture(single);
  fixture.request->start(start);
  fixture.request->handle_failure(0, ErrorCode::connection_lost, true, start + 20ms);
  cr_assert(fixture.attempts.size() == 2);
  cr_expect(fixture.attempts[0].backend != fixture.attempts[1].backend);
  fixture.deliver_response(0, RequestFixture::success_response("x"));
  cr_expect(fixture.status() == 200 && fixture.responses == 1);
}

Test(request, a_risky_one_that_may_have_run_goes_nowhere_else) {
  RequestFixture fixture(risky);
  fixture.request->start(start);
  fixture.request->handle_failure(0, ErrorCode::connection_lost, true, start + 20ms);
  cr_expect(fixture.attempts.size() == 1 && fixture.status() == 502);
}

Test(request, a_risky_one_that_was_turned_away_goes_on) {
  RequestFixture fixture(risky);
  fixture.request->start(start);
  fixture.deliver_response(0, RequestFixture::failure_response(503, true));
  cr_assert(fixture.attempts.size() == 2);
  fixture.deliver_response(0, RequestFixture::failure_response(503, true));
  cr_expect(fixture.status() == 503 && fixture.final.retry_after > Duration(0),
            "it has not run and will not");
}

Test(request, a_risky_one_is_never_attempted_twice_at_a_time) {
  RequestFixture fixture(risky);
  fixture.request->start(start);
  for (TimePoint now = start; now < start + 900ms; now += 10ms)
    fixture.request->on_due(now);
  cr_expect(fixture.attempts.size() == 1);
  fixture.request->on_due(fixture.request->deadline());
  cr_expect(fixture.status() == 504, "it may have run: no promise");
}

Test(request, a_failure_of_a_risky_one_is_passed_on) {
  RequestFixture fixture(risky);
  fixture.request->start(start);
  fixture.deliver_response(0, RequestFixture::failure_response(500, false));
  cr_expect(fixture.status() == 500 && fixture.final.body == "failure" &&
            fixture.attempts.size() == 1);
}

Test(request, a_straggler_is_hedged_and_the_first_response_wins) {
  RequestFixture fixture(single);
  fixture.request->start(start);
  fixture.request->on_due(fixture.request->next_due());
  cr_assert(fixture.attempts.size() == 2);
  fixture.deliver_response(0, RequestFixture::success_response("x"), start + 130ms);
  cr_expect(fixture.status() == 200);
  fixture.deliver_response(0, RequestFixture::success_response("y"), start + 140ms);
  cr_expect(fixture.responses == 1);
}

Test(request, without_budget_nothing_is_retried) {
  RequestFixture fixture(single);
  fixture.reserve = 0;
  fixture.request->start(start);
  fixture.request->on_due(fixture.request->next_due());
  cr_expect(fixture.attempts.size() == 1);
  fixture.request->handle_failure(0, ErrorCode::connection_lost, true, start + 120ms);
  cr_expect(fixture.attempts.size() == 1 && fixture.status() == 502);
}

Test(request, an_attempt_that_reached_nobody_costs_no_budget) {
  RequestFixture fixture(single);
  fixture.reserve = 0;
  fixture.request->start(start);
  fixture.request->handle_failure(0, ErrorCode::refused_connection, false, start + 2ms);
  cr_assert(fixture.attempts.size() == 2);
  fixture.deliver_response(0, RequestFixture::success_response("x"));
  cr_expect(fixture.status() == 200);
}

Test(request, gathered_parts_are_merged_greatest_first) {
  RequestFixture fixture(gathered);
  fixture.request->start(start);
  cr_assert(fixture.attempts.size() == 4);
  fixture.deliver_response(
      0, RequestFixture::success_response("a", record('b') + record('q') + "short"));
  fixture.deliver_response(1, RequestFixture::success_response("b", record('z')));
  fixture.deliver_response(2, RequestFixture::success_response("c", record('q')));
  cr_expect(fixture.responses == 0);
  fixture.deliver_response(3, RequestFixture::success_response("d", ""));
  cr_expect(fixture.status() == 200);
  cr_expect(fixture.final.body == record('z') + record('q'));
  cr_expect(fixture.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(request, near_the_target_enough_parts_are_enough) {
  RequestFixture fixture(gathered);
  fixture.request->start(start);
  for (std::size_t part = 0; part < 3; ++part)
    fixture.deliver_response(part, RequestFixture::success_response("p" + std::to_string(part)));
  cr_expect(fixture.responses == 0);
  fixture.request->on_due(start + 190ms);
  cr_expect(fixture.status() == 200 && fixture.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(request, too_few_parts_are_no_success) {
  RequestFixture fixture(gathered);
  fixture.request->start(start);
  for (std::size_t part = 0; part < 2; ++part)
    fixture.deliver_response(part, RequestFixture::success_response("p" + std::to_string(part)));
  fixture.request->on_due(start + 190ms);
  cr_expect(fixture.responses == 0);
  fixture.request->on_due(fixture.request->deadline());
  cr_expect(fixture.status() == 504);
}

Test(request, when_shards_without_backends_leave_too_few_nothing_is_attempted) {
  RequestFixture fixture(gathered);
  fixture.drain_service(0);
  fixture.drain_service(1);
  fixture.request->start(start);
  cr_expect(fixture.attempts.empty() && fixture.status() == 503 &&
            fixture.final.retry_after > Duration(0));
}

Test(request, one_shard_without_backends_is_left_out) {
  RequestFixture fixture(gathered);
  fixture.drain_service(2);
  fixture.request->start(start);
  cr_assert(fixture.attempts.size() == 3);
  for (const std::size_t part : {0, 1, 3})
    fixture.deliver_response(part, RequestFixture::success_response("p" + std::to_string(part)));
  cr_expect(fixture.status() == 200 && fixture.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(request, the_response_comes_before_the_clients_deadline) {
  RequestFixture fixture(single);
  fixture.request->start(start);
  cr_expect(fixture.request->deadline() < start + 1000ms);
  fixture.request->on_due(fixture.request->deadline());
  cr_expect(fixture.responses == 1 && fixture.status() == 504);
}

Test(request, a_client_that_left_gets_no_response) {
  RequestFixture fixture(single);
  fixture.request->start(start);
  fixture.request->abandon();
  fixture.deliver_response(0, RequestFixture::success_response("x"));
  cr_expect(fixture.responses == 0);
}

// Restarted as often as it may be, its attempts that may have run are never more than its tries;
// refused ones don't count.
Test(request, restarted_it_keeps_to_the_tries_of_all_its_rounds) {
  for (const char* route : {single, gathered}) {
    RequestFixture fixture(route, 4, 3);
    fixture.request->start(start);
    fixture.request->on_due(start + 150ms);
    const std::size_t attempts = fixture.attempts.size();
    cr_assert(attempts == (route == single ? 2 : 8), "each part was asked a second time");
    cr_assert(fixture.request->may_restart(0, start + 151ms));
    fixture.request->close_for_restart(0);
    RequestFixture again(route, 4, 3);
    again.request->restart_from(*fixture.request, start + 152ms);
    for (TimePoint now = start + 160ms; now < start + 900ms; now += 100ms)
      again.request->on_due(now);
    std::map<std::size_t, int> per_part;
    for (const auto& item : fixture.attempts)
      ++per_part[item.part];
    for (const auto& item : again.attempts)
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
    once.deliver_response(0, RequestFixture::failure_response(status, false));
    cr_expect(once.status() == 502 && once.attempts.size() == 1, "%d", status);
    free.request->start(start);
    free.deliver_response(0, RequestFixture::failure_response(status, false));
    if (free.attempts.size() == 2)
      free.deliver_response(0, RequestFixture::failure_response(status, false));
    cr_expect(free.status() == status, "what may be repeated needs no promise");
  }
}

namespace {

// The client of a request ends its input at `start`; this is when the work for it is over.
constexpr TimePoint work_ends = start + max_work_after_input_end;
constexpr TimePoint begin_ends = start + max_begin_after_input_end;

}  // namespace

Test(request, behind_the_end_of_input_a_gather_is_answered_with_what_is_in) {
  RequestFixture fixture(gathered);
  fixture.request->start(start);
  for (std::size_t part = 0; part < 3; ++part)
    fixture.deliver_response(part, RequestFixture::success_response("p" + std::to_string(part)));
  fixture.request->end_input(start - 300ms);
  cr_expect(fixture.request->next_due() <= work_ends - 300ms);
  fixture.request->on_due(work_ends - 300ms);
  cr_expect(fixture.status() == 200 && fixture.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(request, behind_the_end_of_input_no_attempt_begins_later_than_the_bound) {
  for (const char* route : {single, risky}) {
    RequestFixture fixture(route);
    fixture.request->start(start);
    fixture.request->end_input(start);
    fixture.request->handle_failure(0, ErrorCode::refused_connection, false, begin_ends - 1ms);
    cr_expect(fixture.attempts.size() == 2 && fixture.responses == 0);
    fixture.request->handle_failure(0, ErrorCode::refused_connection, false, begin_ends);
    cr_expect(fixture.attempts.size() == 2 && fixture.status() == 503, "nothing ran");
    cr_expect(fixture.request->stop_reason() == StopReason::input_ended);
  }
}

Test(request, behind_the_end_of_input_a_risky_one_at_work_has_its_whole_time) {
  RequestFixture fixture(risky);
  fixture.request->start(start);
  const TimePoint deadline = fixture.request->deadline();
  fixture.request->end_input(start);
  for (TimePoint now = start; now < deadline; now += 10ms)
    fixture.request->on_due(now);
  cr_expect(fixture.responses == 0 && fixture.request->deadline() == deadline);
  fixture.deliver_response(0, RequestFixture::success_response("x"), deadline - 1ms);
  cr_expect(fixture.status() == 200);
}

Test(request, behind_the_end_of_input_a_risky_one_that_waits_for_a_backend_is_refused_in_time) {
  RequestFixture fixture(risky);
  fixture.limit_connections(0);
  fixture.request->start(start);
  fixture.request->end_input(start - 230ms);
  cr_expect(fixture.responses == 0 && fixture.request->next_due() <= begin_ends - 230ms);
  fixture.request->on_due(begin_ends - 230ms);
  cr_expect(fixture.status() == 503 && fixture.attempts.empty());
}
