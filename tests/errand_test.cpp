#include <criterion/criterion.h>

#include <map>

#include "coordination/errand.h"

using namespace saddlewing;

namespace {

constexpr Moment start = Moment{} + 1000s;

// Stands where an errand acts: notes what it asks, and what it answers.
class Stage final : public Errand::Ground {
 public:
  struct Asked {
    std::size_t part;
    Backend* backend;
  };
  explicit Stage(const std::string& rule, int copies = 2) {
    const std::string body = R"({"version":1,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}],"routes":[{"host":"h",)"
                             R"("path_start":"/a/","give_up_ms":1000,"target_ms":200,"tries":2,)" + rule + "}]}";
    ConfigurationCapture capture;
    const Fault found = read_configuration(body, capture);
    cr_assert(!found, "%s", found.text().c_str());
    auto table = std::make_shared<Table>();
    table->configuration = capture;
    table->by_service.resize(capture->services.size());
    for (std::size_t service = 0; service < table->by_service.size(); ++service)
      for (int copy = 0; copy < copies; ++copy) {
        auto backend = std::make_shared<Backend>();
        backend->id = "s" + std::to_string(service) + "-" + std::to_string(copy);
        backend->status = Status::up;
        table->by_service[service].push_back(backend);
      }
    table_ = table;
    errand = std::make_unique<Errand>(*this, table_, capture->rules[0], start, Span(1000));
  }
  bool ask(Errand&, std::size_t part, Backend& backend, Moment) override {
    asked.push_back({part, &backend});
    return true;
  }
  void answer(Errand&, FinalAnswer answer, Moment) override {
    ++answers;
    final = std::move(answer);
  }
  Budget& budget(const std::string& service) override { return budgets_.try_emplace(service, Span(10000), 0.2).first->second; }
  double reserve(Moment) override { return extra_reserve; }
  PickResult pick(const std::vector<BackendPointer>& backends, const std::vector<const Backend*>& tried, int, Moment now) override {
    return picker_.pick(backends, tried, 1000, now);
  }
  Pace& pace(const Rule&) override { return pace_; }
  double draw() override { return 0.5; }

  static BackendOutcome good(const std::string& seal, const std::string& body = "") { return {200, false, "OK", "", seal, body}; }
  static BackendOutcome failed(int status, bool is_not_run) { return {status, is_not_run, "Bad", "X: y\r\n", "q", "failure"}; }
  void take(std::size_t part, BackendOutcome outcome, Moment now = start + 20ms) { errand->take_outcome(part, std::move(outcome), Span(20), now); }
  int status() const { return final.kind == Kind::none ? final.status : status_of(final.kind).status; }
  void cancel_service(std::size_t service) {
    for (const BackendPointer& backend : table_->by_service[service]) backend->is_cancelled = true;
  }

  std::vector<Asked> asked;
  FinalAnswer final;
  int answers = 0;
  double extra_reserve = 10;
  std::unique_ptr<Errand> errand;

 private:
  TableCapture table_;
  std::map<std::string, Budget> budgets_;
  Picker picker_{{"", ""}, 1};
  Pace pace_;
};

const char single[] = R"("sort":"harmless","service":"s0")";
const char risky[] = R"("sort":"risky","service":"s0")";
const char gathered[] = R"("sort":"harmless","ask_all":["s0","s1","s2","s3"],"best_count":2,"fewest_parts":0.75)";

std::string record(char letter) { return std::string(16, letter); }

}  // namespace

Test(errand, a_plain_outcome_is_passed_on_unchanged) {
  Stage stage(single);
  stage.errand->start(start);
  cr_assert(stage.asked.size() == 1);
  stage.take(0, {201, false, "Created", "Answer-Seal: x\r\n", "x", "body"});
  cr_expect(stage.status() == 201 && stage.final.reason == "Created" && stage.final.body == "body" && stage.final.fields == "Answer-Seal: x\r\n");
}

Test(errand, a_harmless_one_goes_to_another_backend_after_a_breakdown) {
  Stage stage(single);
  stage.errand->start(start);
  stage.errand->take_breakdown(0, Kind::broke_off, true, start + 20ms);
  cr_assert(stage.asked.size() == 2);
  cr_expect(stage.asked[0].backend != stage.asked[1].backend);
  stage.take(0, Stage::good("x"));
  cr_expect(stage.status() == 200 && stage.answers == 1);
}

Test(errand, a_risky_one_that_may_have_run_goes_nowhere_else) {
  Stage stage(risky);
  stage.errand->start(start);
  stage.errand->take_breakdown(0, Kind::broke_off, true, start + 20ms);
  cr_expect(stage.asked.size() == 1 && stage.status() == 502);
}

Test(errand, a_risky_one_that_was_turned_away_goes_on) {
  Stage stage(risky);
  stage.errand->start(start);
  stage.take(0, Stage::failed(503, true));
  cr_assert(stage.asked.size() == 2);
  stage.take(0, Stage::failed(503, true));
  cr_expect(stage.status() == 503 && stage.final.retry_after > Span(0), "it has not run and will not");
}

Test(errand, a_risky_one_is_never_asked_twice_at_a_time) {
  Stage stage(risky);
  stage.errand->start(start);
  for (Moment now = start; now < start + 900ms; now += 10ms) stage.errand->on_due(now);
  cr_expect(stage.asked.size() == 1);
  stage.errand->on_due(stage.errand->cutoff());
  cr_expect(stage.status() == 504, "it may have run: no promise");
}

Test(errand, a_failure_of_a_risky_one_is_passed_on) {
  Stage stage(risky);
  stage.errand->start(start);
  stage.take(0, Stage::failed(500, false));
  cr_expect(stage.status() == 500 && stage.final.body == "failure" && stage.asked.size() == 1);
}

Test(errand, a_straggler_is_asked_elsewhere_and_the_first_outcome_wins) {
  Stage stage(single);
  stage.errand->start(start);
  stage.errand->on_due(stage.errand->next_due());
  cr_assert(stage.asked.size() == 2);
  stage.take(0, Stage::good("x"), start + 130ms);
  cr_expect(stage.status() == 200);
  stage.take(0, Stage::good("y"), start + 140ms);
  cr_expect(stage.answers == 1);
}

Test(errand, without_allowance_nothing_is_asked_twice) {
  Stage stage(single);
  stage.extra_reserve = 0;
  stage.errand->start(start);
  stage.errand->on_due(stage.errand->next_due());
  cr_expect(stage.asked.size() == 1);
  stage.errand->take_breakdown(0, Kind::broke_off, true, start + 120ms);
  cr_expect(stage.asked.size() == 1 && stage.status() == 502);
}

Test(errand, an_asking_that_reached_nobody_costs_no_allowance) {
  Stage stage(single);
  stage.extra_reserve = 0;
  stage.errand->start(start);
  stage.errand->take_breakdown(0, Kind::refused_connection, false, start + 2ms);
  cr_assert(stage.asked.size() == 2);
  stage.take(0, Stage::good("x"));
  cr_expect(stage.status() == 200);
}

Test(errand, gathered_parts_are_merged_greatest_first) {
  Stage stage(gathered);
  stage.errand->start(start);
  cr_assert(stage.asked.size() == 4);
  stage.take(0, Stage::good("a", record('b') + record('q') + "short"));
  stage.take(1, Stage::good("b", record('z')));
  stage.take(2, Stage::good("c", record('q')));
  cr_expect(stage.answers == 0);
  stage.take(3, Stage::good("d", ""));
  cr_expect(stage.status() == 200);
  cr_expect(stage.final.body == record('z') + record('q'));
  cr_expect(stage.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(errand, near_the_aim_enough_parts_are_enough) {
  Stage stage(gathered);
  stage.errand->start(start);
  for (std::size_t part = 0; part < 3; ++part) stage.take(part, Stage::good("p" + std::to_string(part)));
  cr_expect(stage.answers == 0);
  stage.errand->on_due(start + 190ms);
  cr_expect(stage.status() == 200 && stage.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(errand, too_few_parts_are_no_success) {
  Stage stage(gathered);
  stage.errand->start(start);
  for (std::size_t part = 0; part < 2; ++part) stage.take(part, Stage::good("p" + std::to_string(part)));
  stage.errand->on_due(start + 190ms);
  cr_expect(stage.answers == 0);
  stage.errand->on_due(stage.errand->cutoff());
  cr_expect(stage.status() == 504);
}

Test(errand, when_shards_without_backends_leave_too_few_nothing_is_asked) {
  Stage stage(gathered);
  stage.cancel_service(0);
  stage.cancel_service(1);
  stage.errand->start(start);
  cr_expect(stage.asked.empty() && stage.status() == 503 && stage.final.retry_after > Span(0));
}

Test(errand, one_shard_without_backends_is_left_out) {
  Stage stage(gathered);
  stage.cancel_service(2);
  stage.errand->start(start);
  cr_assert(stage.asked.size() == 3);
  for (const std::size_t part : {0, 1, 3}) stage.take(part, Stage::good("p" + std::to_string(part)));
  cr_expect(stage.status() == 200 && stage.final.fields.ends_with("Parts-Missing: 1\r\n"));
}

Test(errand, the_answer_comes_before_the_clients_cutoff) {
  Stage stage(single);
  stage.errand->start(start);
  cr_expect(stage.errand->cutoff() < start + 1000ms);
  stage.errand->on_due(stage.errand->cutoff());
  cr_expect(stage.answers == 1 && stage.status() == 504);
}

Test(errand, a_client_that_left_is_answered_nothing) {
  Stage stage(single);
  stage.errand->start(start);
  stage.errand->abandon();
  stage.take(0, Stage::good("x"));
  cr_expect(stage.answers == 0);
}

// Whatever the load and however the moments fall, extras of any span stay within the share of its requests.
Test(budget, extras_never_exceed_the_share_in_any_span) {
  Budget budget(Span(10000), 0.2);
  std::vector<Moment> requests, extras;
  std::uint64_t noise = 88172645463325252ull;
  const auto draw = [&] { return noise ^= noise << 13, noise ^= noise >> 7, noise ^= noise << 17; };
  for (Moment now = start; now < start + 60s; now += 10ms) {
    const bool is_busy = (now - start) % 20s < 8s;
    for (std::uint64_t count = draw() % (is_busy ? 5 : 2); count; --count) {
      budget.count_request(now);
      requests.push_back(now);
    }
    while (budget.allows_extra(now, 0)) {
      budget.count_extra(now);
      extras.push_back(now);
    }
  }
  cr_assert(!extras.empty());
  const auto within = [](const std::vector<Moment>& events, Moment from, Moment to) {
    return std::count_if(events.begin(), events.end(), [&](Moment event) { return event >= from && event < to; });
  };
  for (Moment from = start; from < start + 50s; from += 250ms) {
    const auto most = std::max({within(requests, from, from + 10s), within(requests, from - 5s, from + 5s), within(requests, from - 10s, from)});
    cr_expect(static_cast<double>(within(extras, from, from + 10s)) <= 0.2 * static_cast<double>(most) + 1);
  }
}

Test(breaker, opens_after_breakdowns_and_lets_one_trial_through) {
  Breaker breaker;
  breaker.fail(start, false);
  breaker.fail(start, false);
  cr_expect(!breaker.is_open(start));
  breaker.fail(start, false);
  cr_expect(breaker.is_open(start) && breaker.is_on_trial(start + 500ms));
  breaker.start_trial(start + 500ms);
  cr_expect(breaker.is_open(start + 510ms));
  breaker.succeed();
  cr_expect(!breaker.is_open(start + 510ms));
}

Test(picker, breakers_alone_never_empty_a_shard) {
  Picker picker({"", ""}, 1);
  std::vector<BackendPointer> backends;
  for (int at = 0; at < 2; ++at) {
    backends.push_back(std::make_shared<Backend>());
    backends.back()->status = Status::up;
    backends.back()->breaker.fail(start, true);
  }
  cr_expect(picker.pick(backends, {}, 10, start).backend != nullptr);
  backends[0]->is_cancelled = backends[1]->is_cancelled = true;
  cr_expect(picker.pick(backends, {}, 10, start).backend == nullptr);
}
