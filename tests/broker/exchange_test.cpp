// Every answer to its caller, every call once: exchanges that break at each of their bytes.
#include <pthread.h>

#include "broker/attempt_log.h"
#include "broker/exchange_fixture.h"
#include "state/metrics.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

struct Case {
  std::string try_id, request, body;
  bool is_once = false;
};

Case case_of(const std::string& try_id, bool is_once) {
  Case made{try_id, {}, is_once ? "what " + try_id + " wants" : "", is_once};
  made.request = request_of(is_once ? "POST" : "GET",
                            (is_once ? "/once/" : "/free/") + try_id + "?q=1", try_id, made.body);
  return made;
}

// None to the wrong caller, none that may not be repeated twice, none changed, none on more
// backends than its tries.
void check(ExchangeFixture& stage, const Case& played, const Exchange& came) {
  const char* name = played.try_id.c_str();
  const auto& runs = stage.runs(played.try_id);
  for (const Run& run : runs) {
    const std::string line =
        (played.is_once ? "POST /once/" : "GET /free/") + played.try_id + "?q=1 HTTP/1.1\r\n";
    cr_expect(
        run.head.starts_with(line) && value_of(run.head, "Host") == "h" && run.body == played.body,
        "%s was changed", name);
  }
  cr_expect(!played.is_once || runs.size() <= 1, "%s ran %zu times", name, runs.size());
  cr_expect(stage.backends_of(played.try_id) <= 2, "%s ran on %zu backends", name,
            stage.backends_of(played.try_id));
  for (std::size_t index = 0; index < came.statuses.size(); ++index) {
    const int status = came.statuses[index];
    if (status == 200)
      cr_expect(came.bodies[index].starts_with("to " + played.try_id + " by "), "%s got %s", name,
                came.bodies[index].c_str());
    else if (played.is_once && (status == 503 || status == 429 || status == 408 || status == 421))
      cr_expect(runs.empty(), "%s was promised not to have run", name);
  }
  cr_expect(came.in.empty(), "%s got bytes that are no answer", name);
}

void play_cases(ExchangeFixture& stage, const std::vector<Case>& cases,
                std::vector<Exchange>& exchanges) {
  exchanges.assign(cases.size(), {});
  for (std::size_t index = 0; index < cases.size(); ++index)
    exchanges[index].requests = {cases[index].request};
  stage.play(exchanges);
  stage.settle();
  for (std::size_t index = 0; index < cases.size(); ++index)
    check(stage, cases[index], exchanges[index]);
}

// Why an asking brought no answer, by what the stage did: struck itself, or over a connection that
// had ended behind the answer before. Empty: for no reason that is known.
std::string reason_of(const ExchangeFixture& stage, const AttemptLog::Attempt& attempting) {
  const Strike* own = stage.strike_at({attempting.backend, attempting.port, attempting.try_id});
  if (own && !own->is_complete && attempting.has_sent)
    return "struck";
  const Strike* before = stage.strike_at({attempting.backend, attempting.port, attempting.before});
  if (before && before->is_complete && attempting.is_reused && attempting.has_sent &&
      attempting.has_broken_down)
    return "ended before";
  return "";
}

// Each try of a request that was not served has to be accounted for. Which connection comes next is
// chance, and an end that is on its way while a request leaves cannot be known: such a try may be
// lost, and with it the request.
void check_unserved(const ExchangeFixture& stage, const AttemptLog& log, const std::string& try_id,
                    int status) {
  const auto attempts = log.of(try_id);
  std::string told;
  bool is_accounted_for = attempts.size() == ExchangeFixture::tries;
  for (const AttemptLog::Attempt& attempting : attempts) {
    const std::string reason = reason_of(stage, attempting);
    is_accounted_for &= !reason.empty();
    told += "\n  " + attempting.text() + ": " + (reason.empty() ? "for no reason" : reason);
  }
  cr_expect(is_accounted_for, "%s got %d after%s", try_id.c_str(), status, told.c_str());
}

constexpr std::size_t max_points = 230;  // beyond the size of each request and answer

}  // namespace

Test(exchange, whatever_breaks_at_whichever_byte_of_a_request_or_answer_none_goes_astray) {
  AttemptLog log;
  ExchangeFixture stage(3);
  std::vector<Case> cases;
  std::vector<Exchange> exchanges;
  const auto play = [&] {
    play_cases(stage, cases, exchanges);
    for (std::size_t index = 0; index < cases.size(); ++index)
      if (const std::string& try_id = cases[index].try_id; !cases[index].is_once) {
        if (exchanges[index].status() != 200)
          check_unserved(stage, log, try_id, exchanges[index].status());
        else
          cr_expect(stage.has_met(try_id), "%s was served without having met its plan",
                    try_id.c_str());
      }
    cases.clear();
  };
  for (const Trouble trouble : {Trouble::reset, Trouble::close, Trouble::silence})
    for (const bool is_in_answer : {false, true})
      for (std::size_t point = 0; point < max_points; ++point)
        for (const bool is_once : {false, true}) {
          const std::string try_id = std::to_string(static_cast<int>(trouble)) +
                                     (is_in_answer ? "a" : "r") + (is_once ? "o" : "f") +
                                     std::to_string(point);
          cases.push_back(case_of(try_id, is_once));
          stage.plans[try_id] = {trouble, is_in_answer, point};
          if (cases.size() == 230)
            play();
        }
  if (!cases.empty())
    play();
  for (const auto& [try_id, runs] : stage.all_runs())
    cr_expect(stage.plans.contains(try_id) || try_id.starts_with("warm-"), "nobody sent %s",
              try_id.c_str());
}

Test(exchange, no_try_runs_on_more_backends_than_its_route_allows) {
  ExchangeFixture stage(4, 1500);
  std::vector<Case> cases;
  std::vector<Exchange> exchanges;
  for (const Trouble trouble : {Trouble::reset, Trouble::close, Trouble::silence})
    for (const std::size_t point : {0ul, 1ul, 40ul, 1000ul})
      for (const bool is_once : {false, true}) {
        const std::string try_id = "all" + std::to_string(cases.size());
        cases.push_back(case_of(try_id, is_once));
        stage.plans[try_id] = {trouble, true, point, true};
      }
  play_cases(stage, cases, exchanges);
  for (const auto& played : cases)
    cr_expect(!played.is_once || !stage.runs(played.try_id).empty(), "it reached somebody");
}

// Bodies that a socket does not take at once: part of them has left when the connection ends.
Test(exchange, a_request_that_left_in_part_is_not_sent_again_if_it_may_run_once) {
  ExchangeFixture stage(3);
  std::vector<Case> cases;
  std::vector<Exchange> exchanges;
  for (const Trouble trouble : {Trouble::reset, Trouble::close, Trouble::silence})
    for (const std::size_t point : {0ul, 1ul, 300ul, 70000ul, 199000ul})
      for (const bool is_once : {false, true}) {
        Case large = case_of("large" + std::to_string(cases.size()), is_once);
        large.body = std::string(200000, 'x') + large.try_id;
        large.request = request_of(is_once ? "POST" : "GET",
                                   (is_once ? "/once/" : "/free/") + large.try_id + "?q=1",
                                   large.try_id, large.body);
        stage.plans[large.try_id] = {trouble, false, point};
        cases.push_back(large);
      }
  play_cases(stage, cases, exchanges);
  for (std::size_t index = 0; index < cases.size(); ++index) {
    cr_expect(!cases[index].is_once || stage.runs(cases[index].try_id).empty(),
              "it came to its first backend in part only");
    cr_expect(exchanges[index].status() == 200 || cases[index].is_once, "%s got %d",
              cases[index].try_id.c_str(), exchanges[index].status());
  }
}

// A second answer, one to another request, one of nobody's: none of them is taken for the next
// one's, nor for its own.
Test(exchange, surplus_answers_reach_nobody) {
  ExchangeFixture stage(2);
  std::vector<Case> cases;
  std::vector<Exchange> exchanges;
  for (int round = 0; round < 6; ++round) {
    for (int number = 0; number < 40; ++number) {
      const std::string try_id = "s" + std::to_string(round) + "-" + std::to_string(number);
      cases.push_back(case_of(try_id, number % 2));
      const std::vector<std::string> kinds{
          good_answer(try_id, "twice"),
          good_answer("other", "twice"),
          not_run_answer(try_id),
          not_run_answer({}),
          "HTTP/1.1 200 OK\r\nAnswer-Seal: x\r\nContent-Length: 2\r\n\r\nno",
          "no answer at all\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTry-Id: cut"};
      Plan& plan = stage.plans[try_id];
      (round % 2 ? plan.surplus : plan.late_surplus) =
          kinds[static_cast<std::size_t>(number) % kinds.size()];
    }
    play_cases(stage, cases, exchanges);
    cases.clear();
  }
}

// The refusal says not whose it is, and came where the next one's answer was due.
Test(exchange, a_refusal_without_an_id_on_a_connection_used_before_is_not_believed) {
  ExchangeFixture stage(1);
  stage.plans["first"].late_surplus = not_run_answer({});
  cr_assert(stage.ask(case_of("first", false).request).status() == 200);
  const Case once = case_of("second", true);
  const Exchange came = stage.ask(once.request);
  stage.settle();
  check(stage, once, came);
  cr_expect(came.status() == 502 && stage.runs("second").size() == 1);
}

// Turned away and asked again at the only backend: the refusal's second copy must not be taken for
// the new asking's answer.
Test(exchange, a_request_is_never_asked_twice_over_one_connection) {
  ExchangeFixture stage(1);
  const Case once = case_of("again", true);
  stage.plans["again"].is_refused = true;
  stage.plans["again"].late_surplus = not_run_answer("again");
  const Exchange came = stage.ask(once.request);
  stage.settle();
  check(stage, once, came);
  cr_expect(came.status() == 200 && stage.runs("again").size() == 1, "%d", came.status());
}

// A surplus answer that was cut runs together with its own, and its copy looks like a refusal
// behind a surplus one.
Test(exchange, behind_a_surplus_answer_no_refusal_is_believed) {
  ExchangeFixture stage(1);
  for (const char* surplus : {"HTTP/1.1 200 OK\r\nTry-Id: cut",
                              "HTTP/1.1 200 OK\r\nTry-Id: other\r\nContent-Length: 0\r\n\r\n"}) {
    const std::string name = std::string(surplus).size() < 40 ? "cut" : "whole";
    stage.plans["before-" + name].late_surplus =
        surplus + (name == "whole" ? not_run_answer(name) : "");
    stage.plans[name].surplus = not_run_answer(name);
    cr_assert(stage.ask(case_of("before-" + name, false).request).status() == 200);
    const Case once = case_of(name, true);
    const Exchange came = stage.ask(once.request);
    stage.settle();
    check(stage, once, came);
    cr_expect(came.status() == 502 && stage.runs(name).size() == 1, "%s: %d", name.c_str(),
              came.status());
  }
}

// While the broker stood still its connections to the backends ended, and requests came. They are
// served over new ones, whichever of the two is seen first; `check_round`: whether the breakdowns
// counted meanwhile are as they may be.
template <class CheckRound>
void wake_to_ended_connections(int backends, bool is_once, const CheckRound& check_round) {
  ExchangeFixture stage(backends);
  for (int round = 0; round < 12; ++round) {
    std::vector<Exchange> clients(8);
    for (std::size_t number = 0; number < clients.size(); ++number) {
      clients[number].keeps_open = true;
      clients[number].requests = {
          case_of("w" + std::to_string(round * 8 + static_cast<int>(number)), false).request};
    }
    stage.play(clients);
    stage.freeze();
    stage.end_lines();
    for (std::size_t number = 0; number < clients.size(); ++number)
      stage.add(
          clients[number],
          case_of("z" + std::to_string(round * 8 + static_cast<int>(number)), is_once).request);
    const auto breakdowns = metrics().get(Metric::failed_attempts);
    stage.resume();
    stage.play(clients);
    check_round(round, metrics().get(Metric::failed_attempts) - breakdowns);
    for (Exchange& client : clients) {
      cr_expect(client.statuses.back() == 200, "round %d: %d", round, client.statuses.back());
      ::close(client.socket);
    }
  }
}

Test(exchange, a_frozen_broker_that_wakes_loses_no_request_on_an_ended_connection) {
  wake_to_ended_connections(1, true, [](int, auto) {});
}

// The same for what may be repeated: an end that could be known costs none of its tries, and its
// allowance nothing.
Test(exchange, ended_connections_cost_no_request_a_try) {
  wake_to_ended_connections(
      2, false, [](int round, auto breakdowns) { cr_expect(breakdowns == 0, "round %d", round); });
}

// Clients that leave at each byte of their request or of the answer, beside others that take their
// places.
Test(exchange, a_client_that_left_costs_no_other_its_answer) {
  ExchangeFixture stage(2);
  const std::size_t size = case_of("l-000", true).request.size();
  for (const bool is_once : {false, true})
    for (std::size_t from = 0; from <= size; from += 40) {
      std::vector<Case> cases;
      std::vector<Exchange> exchanges;
      for (std::size_t point = from; point < from + 40; ++point) {
        const std::string number = std::to_string(1000 + point).substr(1);
        for (const char* kind :
             {"l-", "k-", "n-"}) {  // leaves while sending, while reading, not at all
          cases.push_back(case_of((is_once ? "o" : "f") + std::string(kind) + number, is_once));
          Exchange& exchange = exchanges.emplace_back();
          exchange.requests = {cases.back().request};
          if (kind[0] == 'l')
            exchange.leaves_after = point;
          if (kind[0] == 'k')
            exchange.reads_at_most = point + 1;
        }
      }
      stage.play(exchanges);
      stage.settle();
      for (std::size_t index = 0; index < cases.size(); ++index) {
        const bool stayed = cases[index].try_id[1] == 'n';
        if (!stayed)
          exchanges[index].in.clear();
        check(stage, cases[index], exchanges[index]);
        cr_expect(!stayed || exchanges[index].status() == 200, "%s got %d",
                  cases[index].try_id.c_str(), exchanges[index].status());
        const bool sent_whole = exchanges[index].leaves_after >= cases[index].request.size();
        cr_expect(sent_whole || stage.runs(cases[index].try_id).empty(),
                  "%s ran without having come whole", cases[index].try_id.c_str());
      }
    }
}

Test(exchange, pipelined_requests_get_their_own_answers_in_their_order) {
  AttemptLog log;
  ExchangeFixture stage(2);
  std::vector<Exchange> exchanges(30);
  std::vector<std::vector<Case>> cases(exchanges.size());
  for (std::size_t line = 0; line < exchanges.size(); ++line)
    for (std::size_t number = 0; number < 8; ++number) {
      cases[line].push_back(
          case_of("p" + std::to_string(line) + "-" + std::to_string(number), number % 3 == 1));
      exchanges[line].requests.push_back(cases[line].back().request);
      if (number == 2)
        stage.plans[cases[line].back().try_id] = {Trouble::reset, line % 2 == 0, line * 5};
    }
  stage.play(exchanges);
  stage.settle();
  for (std::size_t line = 0; line < exchanges.size(); ++line) {
    cr_assert(exchanges[line].statuses.size() == 8, "line %zu: %zu answers", line,
              exchanges[line].statuses.size());
    for (std::size_t number = 0; number < 8; ++number) {
      Exchange one;
      one.statuses = {exchanges[line].statuses[number]};
      one.bodies = {exchanges[line].bodies[number]};
      check(stage, cases[line][number], one);
      std::string told;
      for (const AttemptLog::Attempt& attempting : log.of(cases[line][number].try_id))
        told += "; " + attempting.text() + ": " + reason_of(stage, attempting);
      cr_expect(one.status() == 200, "%s got %d%s", cases[line][number].try_id.c_str(),
                one.status(), told.c_str());
    }
  }
}

// As many as wait behind one at work, each answered at once when its turn comes, on a stack that
// holds but a few of them.
Test(exchange, thousands_of_pipelined_requests_wait_behind_one_at_work) {
  pthread_attr_t small;
  cr_assert(::pthread_attr_init(&small) == 0 &&
            ::pthread_attr_setstacksize(&small, 512 << 10) == 0 &&
            ::pthread_setattr_default_np(&small) == 0);
  ExchangeFixture stage(2);
  std::vector<Exchange> exchanges(1);
  exchanges[0].requests = {case_of("slow", false).request};
  stage.plans["slow"] = {Trouble::silence, true, 0};
  for (int count = 0; count < 2500; ++count)
    exchanges[0].requests.emplace_back("GET / HTTP/1.1\r\nHost:h\r\n\r\n");
  stage.play(exchanges);
  cr_assert(exchanges[0].statuses.size() == 2501, "%zu", exchanges[0].statuses.size());
  cr_expect(exchanges[0].status() == 200 &&
            std::count(exchanges[0].statuses.begin(), exchanges[0].statuses.end(), 404) == 2500);
}
