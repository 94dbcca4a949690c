#include <criterion/criterion.h>

#include <map>

#include "coordination/aid.h"
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
        if (copy == 0) backend->region = "far";
        table->by_service[service].push_back(backend);
      }
    table_ = table;
    errand = std::make_unique<Errand>(*this, table_, capture->rules[0], start, Span(1000));
  }
  bool ask(Asker&, std::size_t part, Backend& backend, Moment) override {
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
  AidTaken call_aid(Errand&, Span, Moment) override { return {aided_parts, "far"}; }
  void miss_aid(Errand&, Moment) override { ++missed_aids; }
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
  int answers = 0, missed_aids = 0;
  std::vector<std::size_t> aided_parts;
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

Aided frame(std::vector<Aided::Done> done, std::vector<Aided::Failed> failed, std::string records) {
  Aided aided;
  aided.done = std::move(done);
  aided.failed = std::move(failed);
  aided.records = std::move(records);
  return aided;
}

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

Test(errand, a_frame_of_another_broker_brings_several_parts) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2};
  stage.errand->start(start);
  cr_assert(stage.asked.size() == 1 && stage.asked[0].part == 3);
  stage.take(3, Stage::good("d", record('m')));
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}}, {}, record('z') + record('k')), Span(30), start + 30ms);
  cr_expect(stage.status() == 200 && stage.final.body == record('z') + record('m'));
  cr_expect(stage.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(errand, parts_that_failed_with_another_broker_are_asked_directly) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  cr_assert(stage.asked.empty());
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}}, {{3, static_cast<std::uint64_t>(Kind::broke_off), true}}, record('z')), Span(30), start + 30ms);
  cr_assert(stage.asked.size() == 1 && stage.asked[0].part == 3);
  cr_expect(stage.asked[0].backend->region != "far", "not the one that may have failed");
  stage.take(3, Stage::good("d", record('y')));
  cr_expect(stage.final.body == record('z') + record('y'));
}

Test(errand, without_a_frame_in_time_every_part_is_asked_directly_and_late_frames_count_for_nothing) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->on_due(start + 100ms);
  cr_assert(stage.asked.size() == 4 && stage.missed_aids == 1);
  stage.take(0, Stage::good("a", record('z')), start + 120ms);
  stage.errand->take_aided(frame({{0, "a2"}, {1, "b2"}, {2, "c2"}, {3, "d2"}}, {}, record('z') + record('y')), Span(125), start + 125ms);
  for (std::size_t part = 1; part < 4; ++part) stage.take(part, Stage::good("p" + std::to_string(part), record('c')), start + 130ms);
  cr_expect(stage.status() == 200 && stage.final.body == record('z') + record('c'), "no record twice, none of a part not named");
}

Test(errand, without_allowance_for_all_of_them_parts_stay_with_the_other_broker) {
  Stage stage(gathered);
  stage.extra_reserve = 0;
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->on_due(start + 100ms);
  cr_expect(stage.asked.empty() && stage.missed_aids == 0);
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, {}, record('z')), Span(150), start + 150ms);
  cr_expect(stage.status() == 200);
}

Test(errand, an_aid_that_did_not_leave_costs_no_allowance) {
  Stage stage(gathered);
  stage.extra_reserve = 0;
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->lose_aid(false, start + 1ms);
  cr_expect(stage.asked.size() == 4);
}

// A straggler's part, sent alone after the first frame, is dropped when a direct asking was faster.
Test(errand, of_a_straggler_asked_directly_only_one_part_counts) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}}, {}, record('m')), Span(30), start + 30ms);
  stage.errand->on_due(start + 110ms);
  cr_assert(stage.asked.size() == 2);
  stage.take(2, Stage::good("c", record('z')), start + 130ms);
  stage.errand->take_aided(frame({{2, "c2"}}, {}, record('z')), Span(140), start + 140ms);
  stage.errand->take_aided(frame({{3, "d2"}}, {}, record('y')), Span(150), start + 150ms);
  cr_expect(stage.final.body == record('z') + record('y'));
  cr_expect(stage.final.fields == "Part-Seals: a, b, c, d2\r\nParts-Missing: 0\r\n");
}

namespace {

class AidStage final : public AidWork::Ground {
 public:
  AidStage() {
    std::vector<AidWork::Candidates> parts(3);
    for (auto& part : parts)
      for (int copy = 0; copy < 2; ++copy) {
        part.backends.push_back(std::make_shared<Backend>());
        part.backends.back()->status = Status::up;
        part.most_connections = 10;
      }
    work = std::make_unique<AidWork>(*this, 5, parts, 2, Span(40), Span(900), start);
    work->start(start);
  }
  bool ask(Asker&, std::size_t part, Backend&, Moment) override {
    asked.push_back(part);
    return true;
  }
  PickResult pick(const std::vector<BackendPointer>& backends, const std::vector<const Backend*>& tried, int, Moment now) override {
    return picker_.pick(backends, tried, 1000, now);
  }
  void send_aided(AidWork&, Aided aided, Moment) override { frames.push_back(std::move(aided)); }
  std::vector<std::size_t> asked;
  std::vector<Aided> frames;
  std::unique_ptr<AidWork> work;

 private:
  Picker picker_{{"", ""}, 1};
};

}  // namespace

Test(aid, all_parts_go_back_in_one_frame_with_the_greatest_records) {
  AidStage stage;
  for (std::size_t part = 0; part < 3; ++part)
    stage.work->take_outcome(part, Stage::good("s" + std::to_string(part), record(static_cast<char>('a' + part))), Span(9), start + 9ms);
  cr_assert(stage.frames.size() == 1 && !stage.work->is_open());
  cr_expect(stage.frames[0].token == 5 && stage.frames[0].done.size() == 3 && stage.frames[0].records == record('c') + record('b'));
}

Test(aid, stragglers_follow_one_by_one) {
  AidStage stage;
  stage.work->take_outcome(1, Stage::good("s1", record('b')), Span(9), start + 9ms);
  stage.work->on_due(stage.work->next_due());
  cr_assert(stage.frames.size() == 1 && stage.frames[0].done.size() == 1);
  stage.work->take_outcome(0, Stage::good("s0", record('a')), Span(50), start + 50ms);
  stage.work->take_outcome(2, Stage::good("s2", record('c')), Span(60), start + 60ms);
  cr_assert(stage.frames.size() == 3);
  cr_expect(stage.frames[1].done.size() == 1 && stage.frames[1].records == record('a'));
  cr_expect(stage.frames[2].done[0].seal == "s2" && stage.frames[2].records == record('c'));
}

Test(aid, nothing_that_may_have_run_is_asked_again) {
  AidStage stage;
  stage.work->take_breakdown(0, Kind::refused_connection, false, start + 2ms);
  cr_expect(stage.asked.size() == 4, "nobody was reached");
  stage.work->take_breakdown(0, Kind::broke_off, true, start + 9ms);
  stage.work->take_outcome(1, Stage::failed(503, true), Span(9), start + 9ms);
  stage.work->take_outcome(2, Stage::good("s2", ""), Span(9), start + 9ms);
  cr_expect(stage.asked.size() == 4);
  cr_assert(stage.frames.size() == 1);
  cr_expect(stage.frames[0].failed.size() == 2 && stage.frames[0].failed[0].may_have_run);
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
