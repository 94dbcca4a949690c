// What a broker tells afterwards of the requests that failed.
#include "broker/failure_log.h"

#include "broker/exchange_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

FailedRequest failed_request(const std::string& try_id, const std::string& reason) {
  FailedRequest failed;
  failed.try_id = try_id;
  failed.route = "carts";
  failed.version = Version{7};
  failed.reason = reason;
  failed.stop = StopReason::tries_used;
  failed.status = 502;
  failed.began = start;
  failed.ended = start + 30ms;
  failed.deadline = start + 1000ms;
  failed.parts = 1;
  return failed;
}

std::size_t lines_of(const std::string& text) {
  return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

}  // namespace

Test(failure_log, a_line_tells_each_attempt_and_why_there_was_no_further_one) {
  auto backend = std::make_shared<Backend>();
  backend->id = "i-1";
  backend->service = "s";
  FailedRequest failed = failed_request("try-1", "backend broke off");
  failed.attempts.push_back(
      {backend, 0, start + 5ms, start + 25ms, AttemptEnd::broken_off_there, 0, true});
  cr_expect(failed.text() ==
                "try_id=try-1 route=carts version=7 status=502 reason=\"backend broke off\" "
                "stop=tries_used took_ms=30 deadline_left_ms=970 parts=0/1 "
                "retry_reserve=0.000000 queued_ms=5 [backend=i-1 service=s part=0 at_ms=5 "
                "took_ms=20 end=broken_off_there may_have_run=yes]",
            "%s", failed.text().c_str());
}

Test(failure_log, the_last_ones_are_kept_all_are_counted_and_lines_are_bounded) {
  FailureLog log;
  for (int number = 0; number < 1000; ++number)
    log.record(failed_request("try-" + std::to_string(number), "cut"));
  const std::string page = log.page();
  cr_expect(lines_of(page) == 256 && page.find("try_id=try-999 ") != std::string::npos &&
            page.find("try_id=try-743 ") == std::string::npos);
  const std::string metrics = log.metrics_page();
  cr_expect(
      metrics.find("saddlewing_failed_requests_total{reason=\"cut\",route=\"carts\"} 1000\n") !=
      std::string::npos);
  cr_expect(metrics.find("saddlewing_failure_lines_dropped_total 990\n") != std::string::npos);
}

Test(failure_log, counters_are_bounded) {
  FailureLog log;
  for (int number = 0; number < 600; ++number)
    log.record(failed_request("try", "reason " + std::to_string(number)));
  cr_expect(log.metrics_page().find(
                "saddlewing_failed_requests_total{reason=\"other\",route=\"\"} 88\n") !=
            std::string::npos);
}

Test(failure_log, a_broker_explains_a_request_that_its_backend_broke_off) {
  ExchangeFixture stage(1);
  stage.plans["fails"] = {Trouble::reset, true, 10, true};
  cr_assert(stage.ask(request_of("POST", "/once/fails", "fails", "pay")).status() == 502);
  const Exchange page = stage.ask_ready("/failures");
  cr_assert(page.status() == 200);
  const std::string& text = page.bodies[0];
  cr_expect(text.find("try_id=fails ") != std::string::npos, "%s", text.c_str());
  cr_expect(text.find("status=502 ") != std::string::npos &&
                text.find("stop=may_have_run ") != std::string::npos &&
                text.find("end=broken_off_there may_have_run=yes]") != std::string::npos,
            "%s", text.c_str());
}
