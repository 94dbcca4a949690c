// Evenings with moves of virtual nodes and of accounts, beside heavy pulls; see evening.h.
#include "evening.h"

#include <cstdio>

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

using MoveStep = RingMove::Step;
const std::vector<std::pair<std::string, std::string>> no_moves;

void show(const char* name, const Evening& evening) {
  std::printf(
      "evening %-28s short p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; heavy p50 %.1f ms, p99 %.1f "
      "ms; %d told to come back, %d started anew; %s\n",
      name, Evening::percentile(evening.short_times, 0.5),
      Evening::percentile(evening.short_times, 0.99),
      Evening::percentile(evening.short_times, 0.999),
      Evening::percentile(evening.heavy_times, 0.5), Evening::percentile(evening.heavy_times, 0.99),
      evening.come_backs, evening.restarts, evening.recorder.text().c_str());
}

// A virtual node of the hot node, with what it holds.
std::string hot_virtual_node(const Evening& evening) {
  return std::to_string(evening.ring.find(evening.accounts[0]));
}

}  // namespace

Test(evening, accounts_move_and_nothing_is_lost_doubled_or_stale) {
  Evening still, moved, light, naive;
  still.moves_wanted = no_moves;
  light.has_heavy = false;
  naive.has_bulkheads = false;
  for (auto [name, evening] : {std::pair("without moves", &still),
                               {"with moves", &moved},
                               {"without heavy pulls", &light},
                               {"with a single queue", &naive}}) {
    evening->run();
    show(name, *evening);
    cr_expect(evening->recorder.wrongs() == 0, "%s: %s", name, evening->recorder.text().c_str());
  }
  cr_expect(moved.are_settled(4));
  cr_expect(moved.ring.placed.size() +
                static_cast<std::size_t>(
                    moved.ring.nodes[moved.ring.owner_of(moved.accounts[1])].name == "far") >=
            4);
  const auto p99 = [](const Evening& evening) {
    return Evening::percentile(evening.short_times, 0.99);
  };
  cr_expect(p99(moved) < p99(still) * 1.25 + 2, "short lookups stay quick while accounts move");
  cr_expect(p99(moved) < p99(light) + 60,
            "and beside heavy pulls: they wait for less than one of them");
  cr_expect(p99(naive) > p99(moved) * 1.3, "a single queue makes them wait");
  cr_expect(moved.heavy_times.size() > 0 && Evening::percentile(moved.heavy_times, 1.0) < 3000,
            "heavy pulls are not starved");
}

Test(evening, a_virtual_node_moves_as_proposed_and_naive_moves_are_slower) {
  Evening moved, naive;
  moved.has_heavy = naive.has_heavy = false;
  moved.moves_wanted = {{hot_virtual_node(moved), "quick-2"}};
  naive.moves_wanted = {
      {hot_virtual_node(naive),
       "slow"}};  // whatever the machines are, as fast as it goes, without a pause
  naive.options.pace_share = 1;
  naive.is_pausing = false;
  moved.run(), naive.run();
  show("a virtual node moves", moved);
  show("naively", naive);
  cr_expect(moved.are_settled(1) && moved.recorder.wrongs() == 0, "%s",
            moved.recorder.text().c_str());
  cr_expect(naive.recorder.wrongs() == 0);
  cr_expect(
      Evening::percentile(naive.short_times, 0.99) > Evening::percentile(moved.short_times, 0.99),
      "weighing the machines is worth something");
}

// From the report's own proposal to the load that shifted.
Test(evening, what_the_report_proposes_shifts_what_it_says) {
  Evening evening;
  evening.moves_wanted = no_moves;
  evening.length = Span(110000);
  evening.restart_core();
  const auto run_until = [&](Moment until) {
    while (evening.now < until)
      evening.step();
  };
  run_until(dawn + 40s);
  const RingReport before = evening.report();
  cr_assert(!before.is_balanced() && !before.proposals.empty());
  const MoveProposal proposal = before.proposals[0];
  cr_expect(proposal.from == "quick-1", "%s", proposal.from.c_str());
  evening.moves_wanted = {{proposal.unit.is_account() ? proposal.unit.account
                                                      : std::to_string(proposal.unit.virtual_node),
                           proposal.to}};
  run_until(dawn + 110s);
  cr_assert(evening.are_settled(1));
  const RingReport after = evening.report();
  std::printf("proposed: %s from %s to %s, %.2f to %.2f\n", proposal.unit.text().c_str(),
              proposal.from.c_str(), proposal.to.c_str(), proposal.share_from, proposal.share_to);
  for (const NodeReport& node : after.nodes) {
    const double expected = node.name == proposal.from ? proposal.share_from
                            : node.name == proposal.to ? proposal.share_to
                                                       : -1;
    if (expected >= 0)
      cr_expect(std::abs(node.share - expected) < 0.2, "%s carries %.2f, %.2f was foretold",
                node.name.c_str(), node.share, expected);
  }
  run_until(dawn + 120s);
  evening.recorder.close(evening.ring, evening.nodes, evening.last_id);
  cr_expect(evening.recorder.wrongs() == 0, "%s", evening.recorder.text().c_str());
}

Test(evening, whoever_is_killed_or_cut_at_any_step_the_recorder_finds_nothing) {
  using Strike = Evening::Strike;
  for (const bool is_account : {true, false})
    for (const auto strike : {Strike::kill_leader, Strike::kill_broker, Strike::cut_broker,
                              Strike::kill_giver, Strike::kill_receiver})
      for (const MoveStep step : {MoveStep::planned, MoveStep::copying, MoveStep::closing,
                                  MoveStep::switched, MoveStep::opened, MoveStep::settled}) {
        Evening evening;
        evening.length = Span(12000);
        if (is_account)
          evening.moves_wanted.resize(2);
        else
          evening.moves_wanted = {{hot_virtual_node(evening), "quick-2"}};
        const std::size_t wanted = evening.moves_wanted.size();
        evening.strike = strike;
        evening.strike_at = step;
        evening.run();
        cr_expect(evening.has_struck && evening.recorder.wrongs() == 0, "strike %d at %s: %s",
                  static_cast<int>(strike), name_of(step), evening.recorder.text().c_str());
        cr_expect(evening.are_settled(wanted), "strike %d at %s: not settled",
                  static_cast<int>(strike), name_of(step));
      }
}

Test(evening, any_one_message_lost_doubled_or_late_changes_nothing) {
  using Fate = Evening::Fate;
  Evening probe;
  probe.length = Span(8000);
  probe.moves_wanted.resize(1);
  probe.run();
  for (const auto fate : {Fate::lost, Fate::doubled, Fate::late})
    for (int fated = 28; fated < std::min(probe.messages, 140); fated += 1) {
      Evening evening;
      evening.length = Span(7000);
      evening.moves_wanted.resize(1);
      evening.has_heavy = false;
      evening.fate = fate;
      evening.fated = fated;
      evening.run();
      cr_expect(evening.recorder.wrongs() == 0, "message %d, fate %d: %s", fated,
                static_cast<int>(fate), evening.recorder.text().c_str());
      cr_expect(evening.are_settled(1), "message %d, fate %d: not settled", fated,
                static_cast<int>(fate));
    }
}

Test(evening, with_any_protection_taken_out_the_recorder_finds_it) {
  const auto run = [](auto change) {
    Evening evening;
    evening.strike = Evening::Strike::cut_broker;
    evening.strike_at = MoveStep::closing;
    change(evening);
    evening.run();
    return evening.recorder;
  };
  cr_expect(run([](Evening&) {}).wrongs() == 0);
  const Recorder unleased = run([](Evening& evening) { evening.has_leases = false; });
  cr_expect(unleased.stale > 0, "reads without a lease: %s", unleased.text().c_str());
  const Recorder unwaited = run([](Evening& evening) { evening.has_waits = false; });
  cr_expect(unwaited.wrongs() > 0, "not waiting for leases: %s", unwaited.text().c_str());
  const Recorder untold = run([](Evening& evening) { evening.has_units = false; });
  cr_expect(untold.lacking + untold.doubling > 0, "nodes not told who shows the account: %s",
            untold.text().c_str());
  const Recorder unclosed = run([](Evening& evening) {
    evening.has_waits = false;
    for (ShardNode& node : evening.nodes)
      node.is_closing = false;
  });
  cr_expect(unclosed.missing > 0, "writes not closed: %s", unclosed.text().c_str());
}
