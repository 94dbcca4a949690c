#include "coordination/routing/delegated_gather.h"

#include <random>
#include <set>

#include "coordination/routing/request_fixture.h"
#include "protocol/discovery_messages.h"
#include "protocol/gather_messages.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(request, a_frame_of_another_broker_brings_several_parts) {
  RequestFixture fixture(gathered);
  fixture.delegated_parts = {0, 1, 2};
  fixture.request->start(start);
  cr_assert(fixture.attempts.size() == 1 && fixture.attempts[0].part == 3);
  fixture.deliver_response(3, RequestFixture::success_response("d", record('m')));
  fixture.request->handle_gather_result(
      frame({{0, "a"}, {1, "b"}, {2, "c"}}, {}, record('z') + record('k')), Duration(30),
      start + 30ms);
  cr_expect(fixture.status() == 200 && fixture.final.body == record('z') + record('m'));
  cr_expect(fixture.final.fields == "Part-Seals: a, b, c, d\r\nParts-Missing: 0\r\n");
}

Test(request, parts_that_failed_with_another_broker_are_attempted_directly) {
  RequestFixture fixture(gathered);
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  cr_assert(fixture.attempts.empty());
  fixture.request->handle_gather_result(
      frame({{0, "a"}, {1, "b"}, {2, "c"}},
            {{3, static_cast<std::uint64_t>(ErrorCode::connection_lost), true}}, record('z')),
      Duration(30), start + 30ms);
  cr_assert(fixture.attempts.size() == 1 && fixture.attempts[0].part == 3);
  cr_expect(fixture.attempts[0].backend->region != "far", "not the one that may have failed");
  fixture.deliver_response(3, RequestFixture::success_response("d", record('y')));
  cr_expect(fixture.final.body == record('z') + record('y'));
}

Test(request,
     without_a_frame_in_time_every_part_is_asked_directly_and_late_frames_count_for_nothing) {
  RequestFixture fixture(gathered);
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  fixture.request->on_due(start + 100ms);
  cr_assert(fixture.attempts.size() == 4 && fixture.delegation_timeouts == 1);
  fixture.deliver_response(0, RequestFixture::success_response("a", record('z')), start + 120ms);
  fixture.request->handle_gather_result(
      frame({{0, "a2"}, {1, "b2"}, {2, "c2"}, {3, "d2"}}, {}, record('z') + record('y')),
      Duration(125), start + 125ms);
  for (std::size_t part = 1; part < 4; ++part)
    fixture.deliver_response(
        part, RequestFixture::success_response("p" + std::to_string(part), record('c')),
        start + 130ms);
  cr_expect(fixture.status() == 200 && fixture.final.body == record('z') + record('c'),
            "no record twice, none of a part not named");
}

Test(request, without_budget_for_all_of_them_parts_stay_with_the_other_broker) {
  RequestFixture fixture(gathered);
  fixture.reserve = 0;
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  fixture.request->on_due(start + 100ms);
  cr_expect(fixture.attempts.empty() && fixture.delegation_timeouts == 0);
  fixture.request->handle_gather_result(
      frame({{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, {}, record('z')), Duration(150),
      start + 150ms);
  cr_expect(fixture.status() == 200);
}

Test(request, a_delegation_that_was_not_sent_costs_no_budget) {
  RequestFixture fixture(gathered);
  fixture.reserve = 0;
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  fixture.request->lose_delegation(false, start + 1ms);
  cr_expect(fixture.attempts.size() == 4);
}

// A straggler's part, sent alone after the first frame, is dropped when a direct attempt was
// faster.
Test(request, of_a_straggler_attempted_directly_only_one_part_counts) {
  RequestFixture fixture(gathered);
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  fixture.request->handle_gather_result(frame({{0, "a"}, {1, "b"}}, {}, record('m')), Duration(30),
                                        start + 30ms);
  fixture.request->on_due(start + 110ms);
  cr_assert(fixture.attempts.size() == 2);
  fixture.deliver_response(2, RequestFixture::success_response("c", record('z')), start + 130ms);
  fixture.request->handle_gather_result(frame({{2, "c2"}}, {}, record('z')), Duration(140),
                                        start + 140ms);
  fixture.request->handle_gather_result(frame({{3, "d2"}}, {}, record('y')), Duration(150),
                                        start + 150ms);
  cr_expect(fixture.final.body == record('z') + record('y'));
  cr_expect(fixture.final.fields == "Part-Seals: a, b, c, d2\r\nParts-Missing: 0\r\n");
}

namespace {

class DelegationFixture final : public DelegatedGatherWork::Callbacks {
 public:
  explicit DelegationFixture(std::size_t count = 3) {
    std::vector<DelegatedGatherWork::Candidates> parts(count);
    for (auto& part : parts)
      for (int copy = 0; copy < 2; ++copy) {
        part.backends.push_back(std::make_shared<Backend>());
        part.backends.back()->status = EndpointStatus::up;
        part.max_connections = 10;
      }
    work = std::make_unique<DelegatedGatherWork>(*this, 5, parts, 2, Duration(40), Duration(900),
                                                 start);
    work->start(start);
  }
  bool send_attempt(Requester&, std::size_t part, Backend&, TimePoint) override {
    attempts.push_back(part);
    return true;
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int, TimePoint now,
                  const PickConstraints& constraints) override {
    return load_balancer_.pick(backends, tried, 1000, now, constraints);
  }
  void send_gather_result(DelegatedGatherWork&, GatherResult aided, TimePoint) override {
    frames.push_back(std::move(aided));
  }
  std::vector<std::size_t> attempts;
  std::vector<GatherResult> frames;
  std::unique_ptr<DelegatedGatherWork> work;

 private:
  LoadBalancer load_balancer_{{"", ""}, 1};
};

}  // namespace

Test(delegated_gather, all_parts_go_back_in_one_frame_with_the_greatest_records) {
  DelegationFixture fixture;
  for (std::size_t part = 0; part < 3; ++part)
    fixture.work->handle_response(
        part,
        RequestFixture::success_response("s" + std::to_string(part),
                                         record(static_cast<char>('a' + part))),
        Duration(9), start + 9ms);
  cr_assert(fixture.frames.size() == 1 && !fixture.work->is_open());
  cr_expect(fixture.frames[0].token == 5 && fixture.frames[0].done.size() == 3 &&
            fixture.frames[0].records == record('c') + record('b'));
}

Test(delegated_gather, stragglers_follow_one_by_one) {
  DelegationFixture fixture;
  fixture.work->handle_response(1, RequestFixture::success_response("s1", record('b')), Duration(9),
                                start + 9ms);
  fixture.work->on_due(fixture.work->next_due());
  cr_assert(fixture.frames.size() == 1 && fixture.frames[0].done.size() == 1);
  fixture.work->handle_response(0, RequestFixture::success_response("s0", record('a')),
                                Duration(50), start + 50ms);
  fixture.work->handle_response(2, RequestFixture::success_response("s2", record('c')),
                                Duration(60), start + 60ms);
  cr_assert(fixture.frames.size() == 3);
  cr_expect(fixture.frames[1].done.size() == 1 && fixture.frames[1].records == record('a'));
  cr_expect(fixture.frames[2].done[0].checksum == "s2" && fixture.frames[2].records == record('c'));
}

Test(delegated_gather, nothing_that_may_have_run_is_retried) {
  DelegationFixture fixture;
  fixture.work->handle_failure(0, ErrorCode::refused_connection, false, start + 2ms);
  cr_expect(fixture.attempts.size() == 4, "nobody was reached");
  fixture.work->handle_failure(0, ErrorCode::connection_lost, true, start + 9ms);
  fixture.work->handle_response(1, RequestFixture::failure_response(503, true), Duration(9),
                                start + 9ms);
  fixture.work->handle_response(2, RequestFixture::success_response("s2", ""), Duration(9),
                                start + 9ms);
  cr_expect(fixture.attempts.size() == 4);
  cr_assert(fixture.frames.size() == 1);
  cr_expect(fixture.frames[0].failed.size() == 2 && fixture.frames[0].failed[0].may_have_run);
}

// With a single try nobody else may be asked, so the frame is waited for.
Test(request, with_a_single_try_parts_stay_with_the_other_broker) {
  RequestFixture fixture(gathered, 2, 1);
  fixture.delegated_parts = {0, 1, 2, 3};
  fixture.request->start(start);
  fixture.request->on_due(start + 150ms);
  cr_expect(fixture.attempts.empty() && fixture.delegation_timeouts == 0 && fixture.responses == 0);
  fixture.request->handle_gather_result(
      frame({{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, {}, record('z')), Duration(180),
      start + 180ms);
  cr_expect(fixture.status() == 200);
}

// Two brokers of a delegated gather, each by its own clock, frames late or lost, parts that
// succeed, are turned away, break off, reach nobody or stay silent: what may have run of a part is
// never more than its tries, and no record stands for two.
Test(delegated_gather, summed_over_both_brokers_no_part_is_on_more_backends_than_its_tries) {
  enum Fate {
    success_response,
    turned_away,
    broke_off,
    missed,
    silent
  };
  struct Flight {
    TimePoint due;
    bool is_delegate;
    std::size_t part;
    Fate fate;
    std::string name;
  };
  std::minstd_rand luck(7);
  std::size_t served = 0;
  std::size_t given_up = 0;
  std::size_t limit = 0;
  for (int day = 0; day < 3000; ++day) {
    const int tries = 1 + day % 3;
    RequestFixture requester(gathered, 4, tries);
    requester.reserve = day % 7 ? 10 : 0;
    requester.delegated_parts =
        day % 2 ? std::vector<std::size_t>{0, 1, 2, 3} : std::vector<std::size_t>{0, 1, 2};
    requester.request->start(start);
    DelegationFixture delegate(requester.delegated_parts.size());
    std::vector<Flight> flights;
    std::vector<std::pair<TimePoint, GatherResult>> frames;
    std::size_t seen_by_requester = 0;
    std::size_t seen_by_delegate = 0;
    std::size_t seen_frames = 0;
    std::size_t number = 0;
    std::map<std::size_t, std::size_t> may_have_run;
    const bool loses_frames = day % 5 == 0;
    const auto send = [&](bool is_delegate, std::size_t part, TimePoint now) {
      const auto fate = static_cast<Fate>(std::max(0, static_cast<int>(luck() % 8) - 3));
      const Duration took(fate == missed ? 2 : 5 + static_cast<int>(luck() % 300));
      if (fate != missed && fate != turned_away)
        limit = std::max(limit, ++may_have_run[part]);
      flights.push_back({fate == silent ? TimePoint::max() : now + took, is_delegate, part, fate,
                         "n" + std::to_string(100 + number++)});
    };
    for (TimePoint now = start; now < start + 1000ms; now += 1ms) {
      for (; seen_by_requester < requester.attempts.size(); ++seen_by_requester)
        send(false, requester.attempts[seen_by_requester].part, now);
      for (; seen_by_delegate < delegate.attempts.size(); ++seen_by_delegate)
        send(true, delegate.attempts[seen_by_delegate], now);
      for (; seen_frames < delegate.frames.size(); ++seen_frames)
        if (!loses_frames || luck() % 2)
          frames.emplace_back(now + Duration(20 + static_cast<int>(luck() % 60)),
                              delegate.frames[seen_frames]);
      for (auto flight : flights) {
        if (flight.due != now)
          continue;
        Requester& whose =
            flight.is_delegate ? static_cast<Requester&>(*delegate.work) : *requester.request;
        if (flight.fate == success_response)
          whose.handle_response(
              flight.part,
              RequestFixture::success_response(flight.name, flight.name + std::string(12, '.')),
              Duration(30), now);
        else if (flight.fate == turned_away)
          whose.handle_response(flight.part, RequestFixture::failure_response(503, true),
                                Duration(30), now);
        else
          whose.handle_failure(
              flight.part,
              flight.fate == missed ? ErrorCode::refused_connection : ErrorCode::connection_lost,
              flight.fate != missed, now);
      }
      for (auto& [due, frame] : frames)
        if (due == now)
          requester.request->handle_gather_result(frame, Duration(40), now);
      for (Requester* whose : {static_cast<Requester*>(delegate.work.get()),
                               static_cast<Requester*>(requester.request.get())})
        if (whose->is_open() && whose->next_due() <= now)
          whose->on_due(now);
    }
    for (const auto& [part, count] : may_have_run)
      cr_expect(count <= static_cast<std::size_t>(tries),
                "day %d: part %zu on %zu backends, tries %d", day, part, count, tries);
    given_up += static_cast<std::size_t>(requester.delegation_timeouts);
    if (requester.status() != 200)
      continue;
    ++served;
    std::set<std::string> records;
    for (std::size_t position = 0; position < requester.final.body.size(); position += 16) {
      const std::string name = requester.final.body.substr(position, 4);
      cr_expect(
          records.insert(name).second && requester.final.fields.find(name) != std::string::npos,
          "day %d: %s", day, name.c_str());
    }
  }
  cr_expect(served > 1000 && given_up > 300 && limit == 3,
            "%zu served, %zu aids given up, %zu at most", served, given_up, limit);
}
