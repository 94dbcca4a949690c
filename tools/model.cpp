// Explores a model of the control side: the project's own agreement, roll-out, grants and leases in
// a simulated world. See docs/model.md. Exit: 0 nothing broken, 1 a check is broken, 2 bad input.
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "model_explore.h"
#include "model_walk.h"
#include "state/invariants.h"

using namespace saddlewing::model;

namespace {

struct Wanted {
  Ranges ranges;
  std::uint64_t seed = 1, walks = 1000;
  int threads = 1, shrink = 2000;
  std::chrono::steady_clock::duration limit = std::chrono::hours(24 * 365);
  std::string trace, replay, planted;
};

int complain(const std::string& text) {
  std::cerr << "model: " << text << "\n";
  return 2;
}

// 90s, 30m, 2h.
bool read_span(const std::string& text, std::chrono::steady_clock::duration& span) {
  if (text.size() < 2 || text.size() > 6 || text.find_first_not_of("0123456789") != text.size() - 1)
    return false;
  const int unit = text.back() == 's' ? 1 : text.back() == 'm' ? 60 : text.back() == 'h' ? 3600 : 0;
  span = std::chrono::seconds(std::stol(text) * unit);
  return span.count() > 0;
}

struct Outcome {
  Tally tally;
  std::optional<std::uint64_t> seed;  // the least that breaks something
  Violation violation;
};

Outcome walk_all(const Wanted& wanted, bool should_stop) {
  std::atomic<std::uint64_t> next = 0;
  std::atomic<std::uint64_t> limit = wanted.walks;
  const auto end = std::chrono::steady_clock::now() + wanted.limit;
  Outcome outcome;
  std::mutex guard;
  const auto work = [&] {
    Tally tally;
    for (std::uint64_t number;
         (number = next++) < limit && std::chrono::steady_clock::now() < end;) {
      const std::uint64_t seed = wanted.seed + number;
      Walk walk = draw_walk(seed, wanted.ranges);
      const auto found = run_walk(walk, tally, nullptr);
      if (!found)
        continue;
      if (walk.setup.planted !=
          Planted::none) {  // it must be the planted fault that breaks the check
        const bool is_harm = is_found_by(walk.setup.planted, found->check);
        walk.setup.planted = Planted::none;
        Tally other;
        if (!is_harm || run_walk(walk, other, nullptr))
          continue;
      }
      const std::lock_guard lock(guard);
      std::printf("seed %llu: %s: %s\n", static_cast<unsigned long long>(seed),
                  found->check.c_str(), found->text.c_str());
      std::fflush(stdout);
      if (!outcome.seed || seed < *outcome.seed)
        outcome.seed = seed, outcome.violation = *found;
      if (should_stop)
        limit = std::min<std::uint64_t>(
            limit, number);  // lower ones go on, so that the verdict is the same each time
    }
    const std::lock_guard lock(guard);
    outcome.tally.add(tally);
  };
  std::vector<std::thread> threads;
  for (int number = 0; number < wanted.threads; ++number)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
  return outcome;
}

void tell(const Tally& tally, std::chrono::steady_clock::time_point begin) {
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::printf(
      "%llu walks, %.2f simulated days, %llu events, %llu calls, %llu terms, %llu commits in %.1f "
      "s\n",
      static_cast<unsigned long long>(tally.walks), static_cast<double>(tally.simulated) / 86.4e9,
      static_cast<unsigned long long>(tally.events), static_cast<unsigned long long>(tally.calls),
      static_cast<unsigned long long>(tally.terms), static_cast<unsigned long long>(tally.commits),
      seconds);
}

int report(const Wanted& wanted, const Outcome& outcome) {
  const Walk whole = draw_walk(*outcome.seed, wanted.ranges);
  const Walk walk = shrink_walk(whole, outcome.violation.check, wanted.shrink);
  Tally tally;
  const auto again = run_walk(walk, tally, nullptr);
  std::printf("broken: %s, seed %llu, shrunk from %zu to %zu steps\n",
              outcome.violation.check.c_str(), static_cast<unsigned long long>(*outcome.seed),
              whole.steps.size(), walk.steps.size());
  for (const Step& step : walk.steps)
    std::printf("%10.3f  %s\n", static_cast<double>(step.at) / 1e6, describe(step).c_str());
  if (again)
    std::printf("%10.3f  !! %s: %s\n", static_cast<double>(again->at) / 1e6, again->check.c_str(),
                again->text.c_str());
  if (!wanted.trace.empty() && again)
    if (const std::string error = write_trace(wanted.trace, walk, *again); !error.empty())
      return complain(error);
  return 1;
}

int replay(const std::string& path) {
  Walk walk;
  Violation expected;
  if (const std::string error = read_trace(path, walk, expected); !error.empty())
    return complain(error);
  Tally tally;
  const auto found = run_walk(walk, tally, &std::cout);
  if (!found)
    std::cout << "nothing broken; the file told of: " << expected.check << "\n";
  return found ? 1 : 0;
}

// Its verdict is the same each time.
int explore_all(const Bounds& bounds, std::chrono::steady_clock::time_point begin) {
  const Explored explored = explore(bounds);
  std::printf(
      "%d members, %d time-outs, %d crashes, %d overtakings, %d broken links, %d doublings, %d "
      "orders, %d reads: ",
      bounds.members, bounds.timeouts, bounds.crashes, bounds.overtakings, bounds.breaks,
      bounds.doublings, bounds.orders, bounds.reads);
  std::printf("%llu states, %llu moves, %llu merged states compared, depth %zu, %.1f s: ",
              static_cast<unsigned long long>(explored.states),
              static_cast<unsigned long long>(explored.moves),
              static_cast<unsigned long long>(explored.compared), explored.depth,
              std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count());
  if (explored.found) {
    std::printf("broken: %s: %s\n", explored.found->check.c_str(), explored.found->text.c_str());
    for (const std::string& move : explored.path)
      std::printf("  %s\n", move.c_str());
    return 1;
  }
  std::printf(
      explored.is_complete
          ? "all within the bounds, nothing broken\n"
          : "not all within the bounds: stopped at the most states; nothing broken in these\n");
  return 0;
}

// Every planted fault in turn must be found.
int check_checker(Wanted wanted) {
  int missed = 0;
  for (int number = 1; number < planted_count; ++number) {
    wanted.ranges.planted = static_cast<Planted>(number);
    wanted.ranges.is_beyond =
        true;  // closer upon each other: what the project's code bears, the fault need not
    const auto begin = std::chrono::steady_clock::now();
    if (wanted.ranges.planted ==
        Planted::vote_forgotten) {  // it takes a moment that walks hardly meet
      Bounds bounds{3, 2, 1, 0, 0, 0, 0, 0, 5'000'000, Planted::vote_forgotten};
      const Explored explored = explore(bounds);
      const bool is_found = explored.found && is_found_by(bounds.planted, explored.found->check);
      std::printf("%-24s %s explored, %llu states, %llu moves\n", name_of(bounds.planted),
                  is_found ? explored.found->check.c_str() : "NOT FOUND,",
                  static_cast<unsigned long long>(explored.states),
                  static_cast<unsigned long long>(explored.moves));
      missed += !is_found;
      continue;
    }
    const Outcome outcome = walk_all(wanted, true);
    std::printf("%-24s %s ", name_of(wanted.ranges.planted),
                outcome.seed ? outcome.violation.check.c_str() : "NOT FOUND,");
    tell(outcome.tally, begin);
    missed += !outcome.seed;
  }
  std::printf("%d of %d planted faults not found\n", missed, planted_count - 1);
  return missed ? 1 : 0;
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options("saddlewing_model",
                           "Explores a model of the control side. See docs/model.md.");
  Wanted wanted;
  Bounds bounds;
  std::string span;
  int members = 0;
  bool is_exploring = false;
  options.add_options()("walks", "random walks",
                        cxxopts::value(wanted.walks)->default_value("1000"))(
      "seed", "of the first; each next has the next",
      cxxopts::value(wanted.seed)->default_value("1"))(
      "for", "at most so long, as 90s, 30m, 2h; alone: walks without end", cxxopts::value(span))(
      "members", "founders, 1 to 9; 0: 3 to 7 by the seed",
      cxxopts::value(members)->default_value("0"))(
      "brokers", "most brokers", cxxopts::value(wanted.ranges.max_brokers)->default_value("4"))(
      "seconds", "simulated length of a walk",
      cxxopts::value(wanted.ranges.seconds)->default_value("60"))(
      "threads", "walks at a time", cxxopts::value(wanted.threads)->default_value("1"))(
      "shrink", "most runs to shrink a failing walk",
      cxxopts::value(wanted.shrink)->default_value("2000"))(
      "trace", "file for the shrunk walk that failed", cxxopts::value(wanted.trace))(
      "replay", "file of a walk to run again, step by step", cxxopts::value(wanted.replay))(
      "plant", "a fault that must be found; all: each in turn", cxxopts::value(wanted.planted))(
      "beyond", "walks with faults beyond the losses allowed",
      cxxopts::value(wanted.ranges.is_beyond))(
      "explore", "every order of events of a small core, instead of walks")(
      "timeouts", "explored: clocks that run on",
      cxxopts::value(bounds.timeouts)->default_value("3"))(
      "crashes", "explored: crashes", cxxopts::value(bounds.crashes)->default_value("1"))(
      "overtakings", "explored: messages that come before others of their link",
      cxxopts::value(bounds.overtakings)->default_value("0"))(
      "breaks", "explored: links that break", cxxopts::value(bounds.breaks)->default_value("0"))(
      "doublings", "explored: messages that come twice",
      cxxopts::value(bounds.doublings)->default_value("0"))(
      "orders", "explored: orders", cxxopts::value(bounds.orders)->default_value("2"))(
      "reads", "explored: reads", cxxopts::value(bounds.reads)->default_value("1"))(
      "states", "explored: most states",
      cxxopts::value(bounds.max_states)->default_value("5000000"))("h,help", "print this help");
  try {
    const auto parsed = options.parse(count, words);
    if (parsed.count("help")) {
      std::cout << options.help();
      return 0;
    }
    is_exploring = parsed.count("explore");
    if (!parsed.unmatched().empty())
      return complain("unknown word " + parsed.unmatched().front());
    if (parsed.count("for") && !parsed.count("walks"))
      wanted.walks = ~0ull >> 1;
  } catch (const cxxopts::exceptions::exception& thrown) {
    return complain(thrown.what());
  }
  if (!span.empty() && !read_span(span, wanted.limit))
    return complain("--for wants a span as 90s, 30m or 2h");
  if (members < 0 || members > 9)
    return complain("--members is out of 0 to 9");
  if (wanted.ranges.max_brokers < 0 || wanted.ranges.max_brokers > 100)
    return complain("--brokers is out of 0 to 100");
  if (wanted.ranges.seconds < 10 || wanted.ranges.seconds > 86400)
    return complain("--seconds is out of 10 to 86400");
  if (wanted.threads < 1 || wanted.threads > 256)
    return complain("--threads is out of 1 to 256");
  if (wanted.walks < 1 || wanted.shrink < 0)
    return complain("--walks and --shrink want a number above");
  if (members)
    wanted.ranges.min_members = wanted.ranges.max_members = members;
  if (!wanted.replay.empty())
    return replay(wanted.replay);
  if (wanted.planted == "all" && !is_exploring)
    return check_checker(wanted);
  if (is_exploring && wanted.planted == "all")
    return complain("--explore wants one planted fault at a time");
  if (!wanted.planted.empty()) {
    const auto planted = planted_of(wanted.planted);
    if (!planted)
      return complain("unknown fault to plant: " + wanted.planted);
    wanted.ranges.planted = *planted;
    wanted.ranges.is_beyond = true;
  }
  const auto begin = std::chrono::steady_clock::now();
  if (is_exploring) {
    if (members == 1 || members > 5)
      return complain("--members is out of 2 to 5 where every order is explored");
    for (const int bound : {bounds.timeouts, bounds.crashes, bounds.overtakings, bounds.breaks,
                            bounds.doublings, bounds.orders, bounds.reads})
      if (bound < 0 || bound > 20)
        return complain("a bound of what is explored is out of 0 to 20");
    if (bounds.max_states < 1)
      return complain("--states wants a number above");
    if (!can_explore(wanted.ranges.planted) && wanted.ranges.planted != Planted::none)
      return complain("this fault is planted in walks alone");
    if (members)
      bounds.members = members;
    bounds.planted = wanted.ranges.planted;
    return explore_all(bounds, begin);
  }
  const Outcome outcome = walk_all(wanted, wanted.ranges.planted != Planted::none);
  tell(outcome.tally, begin);
  if (outcome.seed)
    return report(wanted, outcome);
  // What the nodes check of themselves; where a fault is planted they are meant to find it.
  if (const auto violations = saddlewing::count_violations(); violations > 0) {
    std::printf("broken: %llu violations of invariants\n%s",
                static_cast<unsigned long long>(violations), saddlewing::violations_page().c_str());
    return 1;
  }
  std::printf("nothing broken\n");
  return 0;
}
