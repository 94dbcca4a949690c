#include "coordination/aid.h"

#include <random>
#include <set>

#include "stage.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(errand, a_frame_of_another_broker_brings_several_parts) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2};
  stage.errand->start(start);
  cr_assert(stage.asked.size() == 1 && stage.asked[0].part == 3);
  stage.take(3, Stage::good("d", record('m')));
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}}, {}, record('z') + record('k')),
                           Span(30), start + 30ms);
  cr_expect(stage.status() == 200 && stage.final.body == record('z') + record('m'));
  cr_expect(stage.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(errand, parts_that_failed_with_another_broker_are_asked_directly) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  cr_assert(stage.asked.empty());
  stage.errand->take_aided(
      frame({{0, "a"}, {1, "b"}, {2, "c"}},
            {{3, static_cast<std::uint64_t>(Kind::broke_off), true}}, record('z')),
      Span(30), start + 30ms);
  cr_assert(stage.asked.size() == 1 && stage.asked[0].part == 3);
  cr_expect(stage.asked[0].backend->region != "far", "not the one that may have failed");
  stage.take(3, Stage::good("d", record('y')));
  cr_expect(stage.final.body == record('z') + record('y'));
}

Test(errand,
     without_a_frame_in_time_every_part_is_asked_directly_and_late_frames_count_for_nothing) {
  Stage stage(gathered);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->on_due(start + 100ms);
  cr_assert(stage.asked.size() == 4 && stage.missed_aids == 1);
  stage.take(0, Stage::good("a", record('z')), start + 120ms);
  stage.errand->take_aided(
      frame({{0, "a2"}, {1, "b2"}, {2, "c2"}, {3, "d2"}}, {}, record('z') + record('y')), Span(125),
      start + 125ms);
  for (std::size_t part = 1; part < 4; ++part)
    stage.take(part, Stage::good("p" + std::to_string(part), record('c')), start + 130ms);
  cr_expect(stage.status() == 200 && stage.final.body == record('z') + record('c'),
            "no record twice, none of a part not named");
}

Test(errand, without_allowance_for_all_of_them_parts_stay_with_the_other_broker) {
  Stage stage(gathered);
  stage.extra_reserve = 0;
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->on_due(start + 100ms);
  cr_expect(stage.asked.empty() && stage.missed_aids == 0);
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, {}, record('z')),
                           Span(150), start + 150ms);
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
  explicit AidStage(std::size_t count = 3) {
    std::vector<AidWork::Candidates> parts(count);
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
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int, Moment now,
                  const PickWish& wish) override {
    return picker_.pick(backends, tried, 1000, now, wish);
  }
  void send_aided(AidWork&, Aided aided, Moment) override {
    frames.push_back(std::move(aided));
  }
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
    stage.work->take_outcome(
        part, Stage::good("s" + std::to_string(part), record(static_cast<char>('a' + part))),
        Span(9), start + 9ms);
  cr_assert(stage.frames.size() == 1 && !stage.work->is_open());
  cr_expect(stage.frames[0].token == 5 && stage.frames[0].done.size() == 3 &&
            stage.frames[0].records == record('c') + record('b'));
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

// With a single try nobody else may be asked, so the frame is waited for.
Test(errand, with_a_single_try_parts_stay_with_the_other_broker) {
  Stage stage(gathered, 2, 1);
  stage.aided_parts = {0, 1, 2, 3};
  stage.errand->start(start);
  stage.errand->on_due(start + 150ms);
  cr_expect(stage.asked.empty() && stage.missed_aids == 0 && stage.answers == 0);
  stage.errand->take_aided(frame({{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, {}, record('z')),
                           Span(180), start + 180ms);
  cr_expect(stage.status() == 200);
}

// An aid and its asker, each asking by its own clock, frames late or lost, parts that succeed, are
// turned away, break off, reach nobody or stay silent: what may have run of a part is never more
// than its tries, and no record stands for two.
Test(aid, summed_over_the_aid_and_its_asker_no_part_is_on_more_backends_than_its_tries) {
  enum Fate {
    good,
    turned_away,
    broke_off,
    missed,
    silent
  };
  struct Flight {
    Moment due;
    bool is_aide;
    std::size_t part;
    Fate fate;
    std::string name;
  };
  std::minstd_rand luck(7);
  std::size_t served = 0, given_up = 0, most = 0;
  for (int day = 0; day < 3000; ++day) {
    const int tries = 1 + day % 3;
    Stage asker(gathered, 4, tries);
    asker.extra_reserve = day % 7 ? 10 : 0;
    asker.aided_parts =
        day % 2 ? std::vector<std::size_t>{0, 1, 2, 3} : std::vector<std::size_t>{0, 1, 2};
    asker.errand->start(start);
    AidStage aide(asker.aided_parts.size());
    std::vector<Flight> flights;
    std::vector<std::pair<Moment, Aided>> frames;
    std::size_t seen_by_asker = 0, seen_by_aide = 0, seen_frames = 0, number = 0;
    std::map<std::size_t, std::size_t> may_have_run;
    const bool loses_frames = day % 5 == 0;
    const auto fly = [&](bool is_aide, std::size_t part, Moment now) {
      const auto fate = static_cast<Fate>(std::max(0, static_cast<int>(luck() % 8) - 3));
      const Span took(fate == missed ? 2 : 5 + static_cast<int>(luck() % 300));
      if (fate != missed && fate != turned_away)
        most = std::max(most, ++may_have_run[part]);
      flights.push_back({fate == silent ? Moment::max() : now + took, is_aide, part, fate,
                         "n" + std::to_string(100 + number++)});
    };
    for (Moment now = start; now < start + 1000ms; now += 1ms) {
      for (; seen_by_asker < asker.asked.size(); ++seen_by_asker)
        fly(false, asker.asked[seen_by_asker].part, now);
      for (; seen_by_aide < aide.asked.size(); ++seen_by_aide)
        fly(true, aide.asked[seen_by_aide], now);
      for (; seen_frames < aide.frames.size(); ++seen_frames)
        if (!loses_frames || luck() % 2)
          frames.push_back(
              {now + Span(20 + static_cast<int>(luck() % 60)), aide.frames[seen_frames]});
      for (std::size_t index = 0; index < flights.size(); ++index) {
        const Flight flight = flights[index];
        if (flight.due != now)
          continue;
        Asker& whose = flight.is_aide ? static_cast<Asker&>(*aide.work) : *asker.errand;
        if (flight.fate == good)
          whose.take_outcome(flight.part,
                             Stage::good(flight.name, flight.name + std::string(12, '.')), Span(30),
                             now);
        else if (flight.fate == turned_away)
          whose.take_outcome(flight.part, Stage::failed(503, true), Span(30), now);
        else
          whose.take_breakdown(flight.part,
                               flight.fate == missed ? Kind::refused_connection : Kind::broke_off,
                               flight.fate != missed, now);
      }
      for (auto& [due, frame] : frames)
        if (due == now)
          asker.errand->take_aided(frame, Span(40), now);
      for (Asker* whose :
           {static_cast<Asker*>(aide.work.get()), static_cast<Asker*>(asker.errand.get())})
        if (whose->is_open() && whose->next_due() <= now)
          whose->on_due(now);
    }
    for (const auto& [part, count] : may_have_run)
      cr_expect(count <= static_cast<std::size_t>(tries),
                "day %d: part %zu on %zu backends, tries %d", day, part, count, tries);
    given_up += static_cast<std::size_t>(asker.missed_aids);
    if (asker.status() != 200)
      continue;
    ++served;
    std::set<std::string> records;
    for (std::size_t place = 0; place < asker.final.body.size(); place += 16) {
      const std::string name = asker.final.body.substr(place, 4);
      cr_expect(records.insert(name).second && asker.final.fields.find(name) != std::string::npos,
                "day %d: %s", day, name.c_str());
    }
  }
  cr_expect(served > 1000 && given_up > 300 && most == 3,
            "%zu served, %zu aids given up, %zu at most", served, given_up, most);
}
