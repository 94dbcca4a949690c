// The shared view of edges, replayed with a clock of its own: many brokers in three regions, an
// edge that gets slow for one.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

#include "coordination/routing/edge_latency.h"

using namespace saddlewing;

namespace {

constexpr TimePoint morning = TimePoint{} + 1000s;
const std::vector<std::string> regions = {"north", "middle", "south"};
const std::vector<std::string> zones = {"north-a", "middle-a", "south-a"};

struct Day {
  enum class Fate {
    none,
    lost,
    doubled,
    late
  };
  struct Broker {
    std::string region;
    EdgeSelector gate;
    EdgeCounts counts{256};
    TimePoint due{}, cut_until{};
    double own_ms[3] = {0, 0, 0};
    TimePoint stopped{}, first_back{};
  };
  // Options.
  EdgeOptions options;
  double slow_ms = 120;  // what north-a takes for the south beyond the usual, while it is slow
  TimePoint slow_from = morning + 10s, slow_until = morning + 30s;
  Duration length{45000};
  bool has_view = true, has_common_turn = true, is_noisy = false, has_heavy = false,
       is_slow_in_turns = false;
  Fate fate = Fate::none;
  int fated = -1;
  TimePoint leader_dies{};
  bool does_new_leader_know = true;

  std::vector<Broker> brokers;
  std::unique_ptr<EdgeLatencyAggregator> judge;
  std::unique_ptr<VersionRollout> rollout;
  std::vector<std::uint64_t> held;
  std::string view_text;
  std::uint64_t term = 1;
  TimePoint now = morning, decided{}, judged{}, leaderless_until{};
  int messages = 0, turns = 0, late_elsewhere = 0, asked_elsewhere = 0, next_id = 0;
  std::map<int, int> ran;  // requests by how often a backend ran them
  std::map<std::string, int> load;
  unsigned state = 3;

  unsigned draw() {
    return state = state * 1664525u + 1013904223u, state >> 8;
  }
  void start(int per_region) {
    options.is_on = true;
    for (const std::string& region : regions)
      for (int number = 0; number < per_region; ++number)
        brokers.push_back({region,
                           EdgeSelector(region, draw(), options),
                           EdgeCounts(256),
                           morning + Duration(draw() % 400),
                           {},
                           {0, 0, 0},
                           {},
                           {}});
    held.resize(brokers.size());
    judge = std::make_unique<EdgeLatencyAggregator>(options);
    rollout = std::make_unique<VersionRollout>(options.max_wait);
  }
  bool is_slow(std::size_t zone, const std::string& region) const {
    if (is_slow_in_turns)
      return zone == static_cast<std::size_t>((now - morning) / 700ms) % 3;
    return zone == 0 && region == "south" && now >= slow_from && now < slow_until;
  }
  // A broker's own pick: near first; the view orders, and its own view of the edges when there is
  // no other.
  void ask(Broker& broker) {
    const std::size_t own = static_cast<std::size_t>(
        std::find(regions.begin(), regions.end(), broker.region) - regions.begin());
    std::size_t best = 0;
    double best_cost = 1e12;
    bool is_trial = false;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
      // The south's own edge is busy, so that it is served from the north as well.
      double cost = (zone == own ? 10 : 14) + draw() % 12;
      if (broker.region == "south" && zone == 0)
        cost -= 6;
      if (has_view) {
        const auto standing = broker.gate.standing("index", zones[zone], brokers.size() / 3);
        if (standing.verdict == EdgeState::Verdict::avoided) {
          const bool tries = standing.is_trying && draw() % 8 == 0;
          cost += tries ? -100 : 5000 * broker.gate.influence(now);
          is_trial = is_trial || tries;
        } else if (draw() % 100 >= standing.percent_kept) {
          cost += 5000;
        }
      } else if (broker.own_ms[zone] > 60) {
        cost += 5000;
      }
      if (cost < best_cost)
        best_cost = cost, best = zone;
    }
    const int id = ++next_id;
    ++ran[id];
    ++load[zones[best]];
    const bool is_heavy = has_heavy && id % 5 == 0;
    double took = 6 + draw() % 10 + (best == own ? 0 : 8);
    if (is_heavy)
      took += 150;
    if (is_noisy)
      took += draw() % 100 < 8 ? 60 : draw() % 12;
    if (is_slow(best, broker.region))
      took += slow_ms;
    if (broker.region == "south" && best == 0 && !is_trial) {
      if (broker.first_back == TimePoint{} && now > slow_until)
        broker.first_back = now;
    }
    if (best != 0 && now > slow_from + 4s && now < slow_until)
      ++asked_elsewhere, late_elsewhere += took > 60;
    broker.own_ms[best] = broker.own_ms[best] == 0 ? took : broker.own_ms[best] * 0.9 + took * 0.1;
    broker.counts.add({"index", zones[best], is_heavy ? EdgeClass::heavy : EdgeClass::light}, took,
                      false);
  }
  Fate meet() {
    return messages++ == fated ? fate : Fate::none;
  }
  void follow(std::size_t position) {
    Broker& broker = brokers[position];
    broker.due = now + 400ms;
    std::string counts = broker.counts.take();
    const Fate met = meet();
    if (met == Fate::lost || now < leaderless_until)
      return;
    for (int times = met == Fate::doubled ? 2 : 1; times > 0; --times)
      if (!counts.empty())
        judge->add(broker.region, counts, now);
    held[position] = broker.gate.held();
    if (met != Fate::late)
      tell(broker);  // a late beat is an old one: it brings nothing new
  }
  void tell(Broker& broker) {
    if (now < broker.cut_until)
      return;
    if (broker.gate.held() < judge->view()->revision) {
      auto view = std::make_shared<EdgeView>();
      cr_assert(decode_view(encode_view(*judge->view()), *view));
      broker.gate.take(view);
      held[static_cast<std::size_t>(&broker - brokers.data())] = broker.gate.held();
    }
    broker.gate.see_in_force(has_common_turn ? static_cast<std::uint64_t>(rollout->in_force().value)
                                             : broker.gate.held(),
                             now);
  }
  void lead() {
    if (now < leaderless_until)
      return;
    std::vector<Version> holds;
    for (const std::uint64_t revision : held)
      holds.push_back(Version{static_cast<std::int64_t>(revision)});
    if (rollout->advance(holds, now) != VersionRollout::Activation::none)
      for (Broker& broker : brokers)
        tell(broker);
    if (now - judged < 400ms)
      return;
    judged = now;
    std::map<EdgeLatencyAggregator::Edge, double> capacity;
    for (const std::string& zone : zones)
      capacity[{"index", zone}] = 40;
    const EdgeSnapshot view = judge->judge(term, capacity, now);
    if (!view)
      return;
    ++turns;
    if (decided == TimePoint{} && now >= slow_from)
      decided = now;
    rollout->commit(Version{static_cast<std::int64_t>(view->revision)}, now);
    // The view goes out at once; half of the brokers get it with their next follow alone.
    for (std::size_t position = 0; position < brokers.size(); position += 2) {
      if (has_common_turn)
        tell(brokers[position]);
      else
        brokers[position].gate.take(view), brokers[position].gate.see_in_force(view->revision, now);
    }
  }
  void die() {
    const EdgeSnapshot known = judge->view();
    const EdgeLatencyAggregator::Ways ways = judge->ways();
    judge = std::make_unique<EdgeLatencyAggregator>(options);
    rollout = std::make_unique<VersionRollout>(options.max_wait);
    ++term;
    leaderless_until = now + 1s;
    if (!does_new_leader_know)
      return;
    judge->take(known, now);
    judge->take_ways(ways);
    if (known->revision)
      rollout->commit(Version{static_cast<std::int64_t>(known->revision)}, now);
  }
  void run() {
    while (now < morning + length) {
      now += 5ms;
      if (leader_dies != TimePoint{} && now >= leader_dies)
        leader_dies = TimePoint{}, die();
      lead();
      for (std::size_t position = 0; position < brokers.size(); ++position) {
        if (now >= brokers[position].due)
          follow(position);
        if (draw() % 24 == 0)
          ask(brokers[position]);
        note_stop(brokers[position]);
      }
    }
  }
  // Whether a broker has turned away from the slow edge, and when.
  void note_stop(Broker& broker) const {
    if (broker.region != "south" || now < slow_from || broker.stopped != TimePoint{})
      return;
    const bool has_stopped =
        has_view ? broker.gate.standing("index", zones[0], 1).verdict == EdgeState::Verdict::avoided
                 : broker.own_ms[0] > 60;
    if (has_stopped)
      broker.stopped = now;
  }
  // Between the first and the last broker of the south that stops sending there.
  Duration spread() const {
    TimePoint first = TimePoint::max();
    TimePoint last{};
    for (const Broker& broker : brokers)
      if (broker.region == "south")
        first = std::min(first, broker.stopped),
        last = std::max(last, broker.stopped == TimePoint{} ? now : broker.stopped);
    return elapsed(first, last);
  }
  void run_until_slow_ends() {
    length = elapsed(morning, slow_until);
    run();
  }
};

}  // namespace

Test(edges, all_brokers_leave_a_slow_edge_at_the_same_time_and_come_back) {
  Day shared;
  Day alone;
  shared.start(20), alone.start(20);
  alone.has_view = false;
  shared.run_until_slow_ends(), alone.run_until_slow_ends();
  const Duration decision = elapsed(shared.slow_from, shared.decided);
  std::printf(
      "edges: decided %lld ms after the slowdown; last stop of the south's brokers %lld ms apart, "
      "each by itself %lld ms apart; %d of %d late elsewhere\n",
      static_cast<long long>(decision.count()), static_cast<long long>(shared.spread().count()),
      static_cast<long long>(alone.spread().count()), shared.late_elsewhere,
      shared.asked_elsewhere);
  cr_expect(shared.decided != TimePoint{} && decision < 4s);
  cr_expect(shared.spread() <= 10ms, "%lld", static_cast<long long>(shared.spread().count()));
  cr_expect(alone.spread() > 500ms);
  for (const auto& [id, times] : shared.ran)
    cr_assert(times == 1, "none lost, none sent twice");
  cr_expect(shared.late_elsewhere * 50 < shared.asked_elsewhere,
            "those that take the load stay within their aim");
  cr_expect(shared.turns <= 3, "%d", shared.turns);
  shared.length = Duration(45000);
  shared.run();
  cr_expect(shared.judge->view()->states.empty() ||
                shared.judge->view()->find("index", "north-a", "south") == nullptr,
            "it serves the south again");
  for (const Day::Broker& broker : shared.brokers)
    cr_expect(broker.region != "south" || broker.first_back > shared.slow_until);
  cr_expect(shared.turns <= 6, "%d", shared.turns);
}

Test(edges, without_the_common_turn_brokers_stop_far_apart) {
  Day day;
  day.has_common_turn = false;
  day.start(20);
  day.run_until_slow_ends();
  cr_expect(day.spread() > 200ms, "the check above can fail: %lld",
            static_cast<long long>(day.spread().count()));
}

Test(edges, noise_heavy_requests_and_an_edge_slow_in_turns_change_little) {
  for (const int kind : {0, 1, 2}) {
    Day day;
    day.slow_from = day.slow_until = morning + 100s;
    day.is_noisy = kind == 0, day.has_heavy = kind == 1, day.is_slow_in_turns = kind == 2;
    day.start(10);
    day.run();
    cr_expect(day.turns <= (kind == 2 ? 27 : 1), "kind %d: %d turns", kind, day.turns);
    for (const auto& [zone, count] : day.load)
      cr_expect(count > 0);
  }
  Day nervous;  // without the hysteresis
  nervous.options.min_stay = Duration(0);
  nervous.options.avoid_times = 1.05, nervous.options.return_times = 1.04,
  nervous.options.min_samples = 2, nervous.options.min_trials = 1;
  nervous.options.half_life = Duration(300);
  nervous.is_slow_in_turns = true;
  nervous.start(10);
  nervous.run();
  cr_expect(nervous.turns > 54, "the check above can fail: %d", nervous.turns);
}

Test(edges, any_message_may_be_lost_doubled_or_late_and_the_leader_may_die) {
  for (const auto fate : {Day::Fate::lost, Day::Fate::doubled, Day::Fate::late})
    for (int fated = 200; fated < 320; fated += 5) {
      Day day;
      day.fate = fate, day.fated = fated;
      day.start(4);
      day.run_until_slow_ends();
      cr_expect(day.decided != TimePoint{} && day.spread() <= Duration(1200), "message %d: %lld",
                fated, static_cast<long long>(day.spread().count()));
    }
  for (const bool does_know : {true, false})
    for (const Duration after :
         {Duration(500), Duration(1500), Duration(2500), Duration(4000), Duration(8000)}) {
      Day day;
      day.leader_dies = day.slow_from + after;
      day.does_new_leader_know = does_know;
      day.start(10);
      day.run_until_slow_ends();
      cr_expect(day.judge->view()->find("index", "north-a", "south") != nullptr, "dies after %lld",
                static_cast<long long>(after.count()));
      for (const auto& [id, times] : day.ran)
        cr_assert(times == 1);
    }
}

Test(edges, a_broker_that_hears_nothing_more_fades_to_neutral) {
  EdgeOptions options;
  EdgeSelector gate("south", 1, options);
  auto view = std::make_shared<EdgeView>();
  view->revision = 5;
  view->states.push_back({"index", "north-a", "south", EdgeState::Verdict::avoided, 0, ""});
  cr_expect(gate.take(view) && gate.serving()->revision == 0, "it waits for its turn");
  gate.see_in_force(5, morning);
  cr_expect(gate.serving()->revision == 5 &&
            gate.standing("index", "north-a", 100).verdict == EdgeState::Verdict::avoided);
  cr_expect(gate.influence(morning + options.fade / 2) == 1 &&
            gate.influence(morning + options.fade) == 0);
  cr_expect(!gate.take(std::make_shared<EdgeView>()), "an older view changes nothing");
  gate.see_in_force(3, morning + 9s);
  cr_expect(gate.influence(morning + options.fade) == 0, "nor does a word of an older one");
}

Test(edges, a_shard_never_loses_its_last_edge_and_load_moves_only_where_it_can_be_carried) {
  const auto judge = [](double slots, std::size_t count) {
    EdgeOptions options;
    EdgeLatencyAggregator judge(options);
    EdgeSnapshot view;
    std::map<EdgeLatencyAggregator::Edge, double> capacity;
    for (TimePoint now = morning; now < morning + 8s; now += 200ms) {
      EdgeCounts counts(16);
      for (std::size_t zone = 0; zone < count; ++zone) {
        capacity[{"index", zones[zone]}] = slots;
        for (int times = 0; times < 20; ++times)
          counts.add({"index", zones[zone], EdgeClass::light}, zone + 1 < count ? 400 : 12, false);
      }
      judge.add("south", counts.take(), now);
      if (auto next = judge.judge(1, capacity, now))
        view = next;
    }
    return view;
  };
  const EdgeSnapshot roomy = judge(40, 3);
  const EdgeSnapshot narrow = judge(2.5, 2);
  cr_assert(roomy && narrow);
  const auto avoided = std::count_if(
      roomy->states.begin(), roomy->states.end(),
      [](const EdgeState& state) { return state.verdict == EdgeState::Verdict::avoided; });
  cr_expect(avoided == 2, "the one that is well stays");
  const EdgeState* part = narrow->find("index", zones[0], "south");
  cr_assert(part);
  cr_expect(part->verdict == EdgeState::Verdict::allowed && part->percent_kept > 0 &&
                part->percent_kept < 100,
            "%d", static_cast<int>(part->percent_kept));
}

Test(edges, frames_that_cannot_be_are_dropped_whole) {
  EdgeCounts counts(4);
  counts.add({"index", "north-a", EdgeClass::light}, 12, false);
  counts.add({"index", "south-a", EdgeClass::heavy}, 900, true);
  const std::string bytes = counts.take();
  std::map<EdgeName, EdgeCount> rows;
  cr_assert(decode_edges(bytes, 4, rows) && rows.size() == 2);
  cr_expect(rows.at({"index", "south-a", EdgeClass::heavy}).failures == 1);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    rows.clear();
    cr_expect(!decode_edges(bytes.substr(0, size), 4, rows));
  }
  rows.clear();
  cr_expect(!decode_edges(bytes, 1, rows), "more cells than are taken");
  EdgeCount impossible;
  impossible.times[3] = 1;
  impossible.failures = 2;
  EdgeLatencyAggregator judge{EdgeOptions{}};
  cr_expect(!judge.add("south",
                       encode_edges({{EdgeName{"index", "north-a", EdgeClass::light}, impossible}}),
                       morning));
  EdgeCounts full(1);
  full.add({"a", "x", EdgeClass::light}, 1, false);
  full.add({"b", "x", EdgeClass::light}, 1, false);
  cr_expect(full.rows().size() == 1 && full.dropped() == 1);
  EdgeView view;
  EdgeView read;
  view.revision = 7;
  view.states.push_back({"index", "north-a", "south", EdgeState::Verdict::avoided, 0, "slow"});
  const std::string text = encode_view(view);
  cr_expect(decode_view(text, read) && read.find("index", "north-a", "south"));
  for (std::size_t size = 0; size < text.size(); ++size)
    cr_expect(!decode_view(text.substr(0, size), read));
}
