#pragma once
// What a scenario of shard migration starts from: its options, the ring, four mixed nodes, two
// brokers and the accounts. Nothing happens here: shard_migration_scenario.h runs it.
#include <criterion/criterion.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/placement/scenario_broker.h"

namespace saddlewing::tests {

inline constexpr TimePoint dawn = TimePoint{} + 1000s;

struct ScenarioWorld {
  enum class Fault {
    none,
    kill_leader,
    kill_broker,
    cut_broker,
    kill_giver,
    kill_receiver
  };
  enum class Fate {
    none,
    lost,
    doubled,
    late
  };  // of one message

  // Options of a scenario, set before it runs.
  Duration length{16000};
  std::vector<std::pair<std::string, std::string>> moves_wanted = {  // unit and receiver
      {"camper-0", "quick-2"},
      {"camper-1", "quick-2"},
      {"camper-2", "far"},
      {"camper-3", "quick-2"}};
  bool has_heavy = true, has_bulkheads = true;
  bool has_leases = true, has_units = true, has_waits = true, is_pausing = true;  // protections
  Fault fault = Fault::none;
  RingMove::Step fault_step{};
  Fate fate = Fate::none;
  int fated = -1;  // the message that meets it, counted over orders and the brokers' follows
  MoveOptions options;

  Recorder recorder;
  RingDocument document;
  RingMap ring;
  std::vector<ShardNode> nodes;
  std::array<Broker, 2> brokers;
  std::unique_ptr<ShardMigration> moves;
  RingLoads loads{Duration(20000)};
  AccountLoads account_loads{Duration(20000), 256};
  RingReport report() const {
    RingLoadMonitor watch{WatchOptions{}};
    return watch.report(ring, loads.sums(ring.owners.size(), now), account_loads.sums(now));
  }
  std::vector<double> short_times, heavy_times;
  TimePoint now = dawn;
  int come_backs = 0, messages = 0, last_id = 0, restarts = 0;
  bool has_injected_fault = false;

  ScenarioWorld() {
    options.lease = Duration(1000);
    options.settle = Duration(1300);
    options.max_read_duration = options.max_gather_duration = Duration(700);
    std::string file =
        "edition: 1\nrule: lookups\nvirtual_nodes: 32\nvirtual_node_memory_mb: "
        "10\nvirtual_node_disk_mb: 120\naccount_disk_mb: 40\nnodes:\n";
    file +=
        "- {name: quick-1, zone: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: "
        "400}\n";
    file +=
        "- {name: quick-2, zone: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: "
        "400}\n";
    file +=
        "- {name: slow, zone: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 40}\n";
    file +=
        "- {name: far, zone: z, region: s, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 200}\n";
    document = {1, file, {}, {}, {}};
    cr_assert(!ring_of(document, ring));
    const double disks[] = {400, 400, 40, 200};
    const double round_trips_ms[] = {1, 1, 1, 24};
    const double works[] = {1, 1, 1.25, 1};
    for (std::size_t position = 0; position < 4; ++position) {
      ShardNode& node = nodes.emplace_back();
      node.name = ring.nodes[position].name;
      node.disk_mb_s = disks[position];
      node.round_trip_ms = round_trips_ms[position];
      node.work_times = works[position];
      node.ring = ring;
      free_[position].fill(dawn);
    }
    // The first few accounts, the hot one among them, start on one node.
    for (int number = 0, given = 0; given < 60; ++number) {
      const std::string found = "acct-" + std::to_string(number);
      const std::size_t owner = ring.owner_of(found);
      if (given < 12 && ring.nodes[owner].name != "quick-1")
        continue;
      accounts.push_back(found);
      nodes[owner].copies[found] = {{}, true, false, false};
      ++given;
    }
    for (Broker& broker : brokers) {
      broker.gate.take(view_ring(document));
      for (Backend& backend : broker.backends)
        backend.capacity = 2;
    }
  }
  std::string unit_name(const std::string& wanted) const {
    return wanted.starts_with("camper-") ? accounts[std::stoul(wanted.substr(7))] : wanted;
  }
  std::size_t node_of(const std::string& name) const {
    return ring.index_of(name);
  }
  // The next number of a generator with a fixed seed.
  unsigned next_random() {
    state_ = state_ * 1664525u + 1013904223u;
    return state_ >> 8;
  }
  std::vector<std::string> accounts;

 protected:
  std::array<std::array<TimePoint, 2>, 4> free_{};  // when each slot of a node comes free
  std::array<int, 4> load_{};
  std::vector<std::pair<TimePoint, Request>> later_;
  std::vector<std::pair<TimePoint, ShardMigration::Order>> delayed_;
  std::vector<Flight> orphans_;
  unsigned state_ = 7;
  int ticks_ = 0;
  double lookups_ = 0, late_ = 0;
};

}  // namespace saddlewing::tests
