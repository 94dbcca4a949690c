// Moves of virtual nodes and accounts beside heavy reads; see shard_migration_scenario.h.
#include "coordination/placement/shard_migration_scenario.h"

#include <cstdio>

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

using MoveStep = RingMove::Step;
const std::vector<std::pair<std::string, std::string>> no_moves;

void show(const char* name, const ShardMigrationScenario& scenario) {
  std::printf(
      "evening %-28s short p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; heavy p50 %.1f ms, p99 %.1f "
      "ms; %d told to come back, %d started anew; %s\n",
      name, ShardMigrationScenario::percentile(scenario.short_times, 0.5),
      ShardMigrationScenario::percentile(scenario.short_times, 0.99),
      ShardMigrationScenario::percentile(scenario.short_times, 0.999),
      ShardMigrationScenario::percentile(scenario.heavy_times, 0.5),
      ShardMigrationScenario::percentile(scenario.heavy_times, 0.99), scenario.come_backs,
      scenario.restarts, scenario.recorder.text().c_str());
}

// A virtual node of the hot node, with what it holds.
std::string hot_virtual_node(const ShardMigrationScenario& scenario) {
  return std::to_string(scenario.ring.find(scenario.accounts[0]));
}

}  // namespace

Test(scenario, accounts_move_and_nothing_is_lost_doubled_or_stale) {
  ShardMigrationScenario still;
  ShardMigrationScenario moved;
  ShardMigrationScenario light;
  ShardMigrationScenario naive;
  still.moves_wanted = no_moves;
  light.has_heavy = false;
  naive.has_bulkheads = false;
  for (auto [name, scenario] : {std::pair("without moves", &still),
                                {"with moves", &moved},
                                {"without heavy pulls", &light},
                                {"with a single queue", &naive}}) {
    scenario->run();
    show(name, *scenario);
    cr_expect(scenario->recorder.wrongs() == 0, "%s: %s", name, scenario->recorder.text().c_str());
  }
  cr_expect(moved.are_settled(4));
  cr_expect(moved.ring.placed.size() +
                static_cast<std::size_t>(
                    moved.ring.nodes[moved.ring.owner_of(moved.accounts[1])].name == "far") >=
            4);
  const auto p99 = [](const ShardMigrationScenario& scenario) {
    return ShardMigrationScenario::percentile(scenario.short_times, 0.99);
  };
  cr_expect(p99(moved) < p99(still) * 1.25 + 2, "short lookups stay quick while accounts move");
  cr_expect(p99(moved) < p99(light) + 60,
            "and beside heavy pulls: they wait for less than one of them");
  cr_expect(p99(naive) > p99(moved) * 1.3, "a single queue makes them wait");
  cr_expect(!moved.heavy_times.empty() &&
                ShardMigrationScenario::percentile(moved.heavy_times, 1.0) < 3000,
            "heavy pulls are not starved");
}

Test(scenario, a_virtual_node_moves_as_proposed_and_naive_moves_are_slower) {
  ShardMigrationScenario moved;
  ShardMigrationScenario naive;
  moved.has_heavy = naive.has_heavy = false;
  moved.moves_wanted = {{hot_virtual_node(moved), "quick-2"}};
  naive.moves_wanted = {
      {hot_virtual_node(naive),
       "slow"}};  // whatever the machines are, as fast as it goes, without a pause
  naive.options.pace_share = 1;
  naive.is_pausing = false;
  moved.run();
  naive.run();
  show("a virtual node moves", moved);
  show("naively", naive);
  cr_expect(moved.are_settled(1) && moved.recorder.wrongs() == 0, "%s",
            moved.recorder.text().c_str());
  cr_expect(naive.recorder.wrongs() == 0);
  cr_expect(ShardMigrationScenario::percentile(naive.short_times, 0.99) >
                ShardMigrationScenario::percentile(moved.short_times, 0.99),
            "weighing the machines is worth something");
}

// From the report's own proposal to the load that shifted.
Test(scenario, what_the_report_proposes_shifts_what_it_says) {
  ShardMigrationScenario scenario;
  scenario.moves_wanted = no_moves;
  scenario.length = Duration(110000);
  scenario.restart_core();
  const auto run_until = [&](TimePoint until) {
    while (scenario.now < until)
      scenario.step();
  };
  run_until(dawn + 40s);
  const RingReport before = scenario.report();
  cr_assert(!before.is_balanced() && !before.proposals.empty());
  const MoveProposal proposal = before.proposals[0];
  cr_expect(proposal.from == "quick-1", "%s", proposal.from.c_str());
  scenario.moves_wanted = {{proposal.unit.is_account() ? proposal.unit.account
                                                       : std::to_string(proposal.unit.virtual_node),
                            proposal.to}};
  run_until(dawn + 110s);
  cr_assert(scenario.are_settled(1));
  const RingReport after = scenario.report();
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
  scenario.recorder.close(scenario.ring, scenario.nodes, scenario.last_id);
  cr_expect(scenario.recorder.wrongs() == 0, "%s", scenario.recorder.text().c_str());
}

Test(scenario, whoever_is_killed_or_cut_at_any_step_the_recorder_finds_nothing) {
  using Fault = ShardMigrationScenario::Fault;
  for (const bool is_account : {true, false})
    for (const auto fault : {Fault::kill_leader, Fault::kill_broker, Fault::cut_broker,
                             Fault::kill_giver, Fault::kill_receiver})
      for (const MoveStep step : {MoveStep::planned, MoveStep::copying, MoveStep::closing,
                                  MoveStep::switched, MoveStep::opened, MoveStep::settled}) {
        ShardMigrationScenario scenario;
        scenario.length = Duration(12000);
        if (is_account)
          scenario.moves_wanted.resize(2);
        else
          scenario.moves_wanted = {{hot_virtual_node(scenario), "quick-2"}};
        const std::size_t wanted = scenario.moves_wanted.size();
        scenario.fault = fault;
        scenario.fault_step = step;
        scenario.run();
        cr_expect(scenario.has_injected_fault && scenario.recorder.wrongs() == 0,
                  "strike %d at %s: %s", static_cast<int>(fault), name_of(step),
                  scenario.recorder.text().c_str());
        cr_expect(scenario.are_settled(wanted), "strike %d at %s: not settled",
                  static_cast<int>(fault), name_of(step));
      }
}

Test(scenario, any_one_message_lost_doubled_or_late_changes_nothing) {
  using Fate = ShardMigrationScenario::Fate;
  ShardMigrationScenario probe;
  probe.length = Duration(8000);
  probe.moves_wanted.resize(1);
  probe.run();
  for (const auto fate : {Fate::lost, Fate::doubled, Fate::late})
    for (int fated = 28; fated < std::min(probe.messages, 140); fated += 1) {
      ShardMigrationScenario scenario;
      scenario.length = Duration(7000);
      scenario.moves_wanted.resize(1);
      scenario.has_heavy = false;
      scenario.fate = fate;
      scenario.fated = fated;
      scenario.run();
      cr_expect(scenario.recorder.wrongs() == 0, "message %d, fate %d: %s", fated,
                static_cast<int>(fate), scenario.recorder.text().c_str());
      cr_expect(scenario.are_settled(1), "message %d, fate %d: not settled", fated,
                static_cast<int>(fate));
    }
}

Test(scenario, with_any_protection_taken_out_the_recorder_finds_it) {
  const auto run = [](auto change) {
    ShardMigrationScenario scenario;
    scenario.fault = ShardMigrationScenario::Fault::cut_broker;
    scenario.fault_step = MoveStep::closing;
    change(scenario);
    scenario.run();
    return scenario.recorder;
  };
  cr_expect(run([](ShardMigrationScenario&) {}).wrongs() == 0);
  const Recorder unleased =
      run([](ShardMigrationScenario& scenario) { scenario.has_leases = false; });
  cr_expect(unleased.stale > 0, "reads without a lease: %s", unleased.text().c_str());
  const Recorder unwaited =
      run([](ShardMigrationScenario& scenario) { scenario.has_waits = false; });
  cr_expect(unwaited.wrongs() > 0, "not waiting for leases: %s", unwaited.text().c_str());
  const Recorder untold = run([](ShardMigrationScenario& scenario) { scenario.has_units = false; });
  cr_expect(untold.lacking + untold.doubling > 0, "nodes not told who shows the account: %s",
            untold.text().c_str());
  const Recorder unclosed = run([](ShardMigrationScenario& scenario) {
    scenario.has_waits = false;
    for (ShardNode& node : scenario.nodes)
      node.is_closing = false;
  });
  cr_expect(unclosed.missing > 0, "writes not closed: %s", unclosed.text().c_str());
}
