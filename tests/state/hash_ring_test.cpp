// The ring's file, its watch and its moves.
#include <criterion/criterion.h>

#include <algorithm>

#include "coordination/placement/ring_load_monitor.h"
#include "coordination/placement/ring_router.h"

using namespace saddlewing;

namespace {

std::string ring_file(const std::string& nodes, const std::string& more = "") {
  return "edition: 1\nrule: lookups\nvirtual_nodes: 64\nvirtual_node_memory_mb: "
         "10\nvirtual_node_disk_mb: 100\n" +
         more + "nodes:\n" + nodes;
}
const std::string four =
    "- {name: a, locality: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 400}\n"
    "- {name: b, locality: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 400}\n"
    "- {name: c, locality: y, region: s, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 20}\n"
    "- {name: d, locality: x, region: r, memory_mb: 30, disk_mb: 9000, disk_mb_per_s: 400}\n";

RingMap ring_for(const std::string& text) {
  RingMap ring;
  const Error found = read_ring(text, ring);
  cr_assert(!found, "%s", found.text().c_str());
  return ring;
}

// Even load, but for one node that carries more than its part.
std::vector<RingLoad> hot_loads(const RingMap& ring, const std::string& hot) {
  const auto owned =
      static_cast<double>(std::count(ring.owners.begin(), ring.owners.end(), ring.index_of(hot)));
  const double share = 1.6, times = share * (64 - owned) / (owned * (4 - share));
  std::vector<RingLoad> loads;
  for (VirtualNode one = 0; one < ring.owners.size(); ++one) {
    const double factor = ring.owner(one).name == hot ? times : 1;
    loads.push_back({100 * factor, 1000 * factor, 5000 * factor});
  }
  return loads;
}

}  // namespace

Test(ring, what_is_wrong_in_a_file_is_named_and_nothing_is_taken) {
  const std::string node = "- {name: a, locality: x, memory_mb: 9, disk_mb: 9}\n";
  const struct {
    std::string text, complaint;
  } rows[] = {
      {"[", "the ring file is not proper YAML"},
      {"edition: 0\nrule: l\nnodes:\n" + node, "edition is out of range"},
      {"edition: 1\nnodes:\n" + node, "rule is missing or not a text"},
      {"edition: 1\nrule: l\nnodes: []\n", "nodes is not a list"},
      {ring_file(node + node), "nodes[1] a: name appears twice"},
      {ring_file("- {name: a, locality: x, disk_mb: 9}\n"), "nodes[0] a: memory_mb is missing"},
      {ring_file("- {name: a, locality: x, memory_mb: 9, disk_mb: 9, weight: 0}\n"),
       "nodes[0] a: weight is out of range"},
      {ring_file("- {name: a, locality: x, memory_mb: 9, disk_mb: many}\n"),
       "nodes[0] a: disk_mb is not a number"},
      {"edition: 1\nrule: l\nvirtual_nodes: 70000\nnodes:\n" + node,
       "virtual_nodes is out of range"},
      {ring_file(node, "sizes: {99: {disk_mb: 5}}\n"), "sizes 99: there is no such virtual node"},
  };
  for (const auto& row : rows) {
    RingMap ring;
    const Error found = read_ring(row.text, ring);
    cr_expect(found.step == row.complaint, "%s, wanted %s", found.step.c_str(),
              row.complaint.c_str());
    cr_expect(ring.nodes.empty());
  }
}

Test(ring, a_node_more_moves_little_and_a_moved_owner_outlives_a_new_file) {
  const RingMap before = ring_for(ring_file(four));
  const RingMap after =
      ring_for(ring_file(four + "- {name: e, zone: x, memory_mb: 900, disk_mb: 9000}\n"));
  std::size_t moved = 0;
  for (VirtualNode one = 0; one < before.owners.size(); ++one) {
    moved += before.owner(one).name != after.owner(one).name;
    cr_expect(before.owner(one).name == after.owner(one).name || after.owner(one).name == "e");
  }
  cr_expect(moved > 0 && moved < 28, "%zu of 64", moved);
  RingDocument document{
      4, ring_file(four), {{7, "d"}, {8, "gone"}}, {}, {{"camper-7", "c"}, {"camper-8", "gone"}}},
      read;
  RingMap ring;
  cr_assert(decode_ring(encode_ring(document), read) && !ring_of(read, ring));
  cr_expect(ring.owner(7).name == "d" && ring.owner(8).name == before.owner(8).name);
  cr_expect(ring.nodes[ring.owner_of("camper-7")].name == "c" &&
            ring.owner_of("camper-8") == ring.owners[ring.find("camper-8")]);
  std::string_view key;
  cr_expect(ring.key_of("/l/park-9/2f?x=1", "/l/", key) && key == "park-9");
  cr_expect(!ring.key_of("/l/", "/l/", key));
  cr_expect(!decode_ring(encode_ring(document).substr(0, 30), read));
}

Test(ring, a_proposal_that_is_followed_makes_none_in_return) {
  std::string roomy = four;
  roomy.replace(roomy.find("memory_mb: 30"), 13, "memory_mb: 900");
  RingMap ring = ring_for(ring_file(roomy));
  const std::vector<RingLoad> loads = hot_loads(ring, "a");
  RingLoadMonitor watch{WatchOptions{}};
  RingReport report = watch.report(ring, loads);
  cr_assert(!report.is_balanced() && !report.proposals.empty());
  for (int round = 0; round < 40 && !report.proposals.empty(); ++round) {
    std::map<std::string, double> expected;
    for (const MoveProposal& proposal : report.proposals) {
      ring.owners[proposal.unit.virtual_node] =
          static_cast<std::uint32_t>(ring.index_of(proposal.to));
      expected[proposal.from] = proposal.share_from;
      expected[proposal.to] = proposal.share_to;
    }
    report = watch.report(ring, loads);
    for (const NodeReport& node : report.nodes)
      if (expected.contains(node.name))
        cr_expect(std::abs(node.share - expected[node.name]) < 0.01, "%s", node.name.c_str());
  }
  cr_expect(report.proposals.empty());
  cr_expect(report.nodes[0].share < 1.25, "%.2f", report.nodes[0].share);
  cr_expect(!report.remarks.empty(), "why the rest stays");
}

Test(ring, noise_and_few_askings_propose_nothing) {
  const RingMap ring = ring_for(ring_file(four));
  RingLoadMonitor watch{WatchOptions{}};
  std::vector<RingLoad> loads(64);
  for (RingLoad& load : loads)
    load = {1, 10, 50};
  cr_expect(!watch.report(ring, loads).is_enough);
  // Each node at its part, give or take a fifth.
  std::vector<double> owned(4);
  for (const std::uint32_t owner : ring.owners)
    ++owned[owner];
  for (int round = 0; round < 50; ++round) {
    for (VirtualNode one = 0; one < 64; ++one) {
      const double noise = ((one * 7919 + round * 104729) % 41) / 100.0 - 0.2;
      loads[one] = {200 * (1 + noise), 4000 * (1 + noise) / owned[ring.owners[one]], 50};
    }
    const RingReport report = watch.report(ring, loads);
    cr_expect(report.is_balanced() && report.proposals.empty());
  }
}

Test(ring, far_and_slow_nodes_get_what_is_left) {
  const RingMap ring = ring_for(ring_file(four));
  cr_expect(move_cost(ring, RingUnit{}, 0, 2, {}) > 20 * move_cost(ring, RingUnit{}, 0, 1, {}));
  RingLoadMonitor watch{WatchOptions{}};
  const RingReport report = watch.report(ring, hot_loads(ring, "a"));
  cr_assert(!report.proposals.empty());
  cr_expect(report.proposals[0].to == "b");
  for (const MoveProposal& proposal : report.proposals)
    cr_expect(proposal.to != "d", "it has no memory for more");
  for (const auto& again = watch.report(ring, hot_loads(ring, "a"));
       const MoveProposal& proposal : again.proposals)
    cr_expect(
        proposal.unit ==
            report.proposals[static_cast<std::size_t>(&proposal - again.proposals.data())].unit,
        "the same each time");
}

Test(ring, a_move_that_cannot_be_is_refused_with_the_reason) {
  const RingMap ring = ring_for(ring_file(four));
  const std::set<std::string> serving = {"a", "b", "d"};
  ShardMigration moves{MoveOptions{}};
  VirtualNode of_a = 0;
  while (ring.owner(of_a).name != "a")
    ++of_a;
  cr_expect(moves.request(RingUnit{99, {}}, "b", ring, serving) == "there is no such virtual node");
  cr_expect(moves.request(RingUnit{of_a, {}}, "z", ring, serving) == "z is no node of the ring");
  cr_expect(moves.request(RingUnit{of_a, {}}, "a", ring, serving) == "a owns it already");
  cr_expect(moves.request(RingUnit{of_a, {}}, "c", ring, serving) == "c is emptying or silent");
  cr_expect(moves.request(RingUnit{of_a, {}}, "d", ring, serving) == "d has no memory for it");
  cr_expect(moves.request(RingUnit{of_a, {}}, "b", ring, serving).empty());
  cr_expect(moves.request(RingUnit{of_a, {}}, "b", ring, serving) == "it is on the move already");
  VirtualNode other = of_a + 1;
  while (ring.owner(other).name != "a")
    ++other;
  cr_expect(moves.request(RingUnit{other, {}}, "b", ring, serving) ==
            "another move is under way on one of its nodes; `ring queue` waits for it");
  cr_expect(moves.request(RingUnit{other, {}}, "b", ring, serving, true).empty());
  cr_expect(moves.request(RingUnit{0, "a/b"}, "b", ring, serving) == "that is no account");
  cr_expect(moves.request(RingUnit{0, ""}, "b", ring, serving) != "");
  cr_expect(moves.undo(5) == "there is no such move");
}

Test(ring, counts_fade_and_travel_whole_or_not_at_all) {
  const TimePoint start = TimePoint{} + 1000s;
  RingLoads loads(Duration(30000));
  loads.add(3, {100, 1000, 10}, start);
  cr_expect(std::abs(loads.sums(64, start + 30s)[3].attempts - 50) < 0.01);
  std::vector<std::pair<VirtualNode, RingLoad>> read;
  const std::string bytes = encode_loads({{3, {5, 1.5, 70}}});
  cr_expect(decode_loads(bytes, read) && read[0].second.busy_ms == 1.5);
  cr_expect(!decode_loads(bytes.substr(0, 20), read));
}

Test(ring, a_file_that_no_route_allows_is_refused_whole) {
  ConfigurationSnapshot configuration;
  const std::string body =
      R"({"version":1,"services":[{"name":"a"},{"name":"b"},{"name":"c"}],"routes":[)"
      R"({"name":"lookups","host":"h","path_start":"/l/","sort":"harmless","give_up_ms":1000,"target_ms":200,"shares":[{"service":"a","weight":1},{"service":"b","weight":0}]},)"
      R"({"name":"all","host":"h","path_start":"/g/","sort":"harmless","give_up_ms":1000,"target_ms":200,"ask_all":["a","b"],"best_count":1,"fewest_parts":1}]})";
  const Error read = read_configuration(body, configuration);
  cr_assert(!read, "%s", read.text().c_str());
  const auto check = [&](const std::string& route, const std::string& node) {
    RingMap ring;
    const Error found =
        check_ring_file("edition: 1\nrule: " + route + "\nnodes:\n- {name: " + node +
                            ", zone: x, memory_mb: 9, disk_mb: 9}\n",
                        *configuration, ring);
    cr_expect(ring.nodes.empty() == static_cast<bool>(found));
    return found.step;
  };
  cr_expect(check("lookups", "a").empty());
  cr_expect(check("lookups", "b") == "nodes b: rule lookups does not allow it",
            "a weight of 0 sends nothing there");
  cr_expect(check("lookups", "c") == "nodes c: rule lookups does not allow it");
  cr_expect(check("all", "a") == "rule all is no rule with a service or shares");
  cr_expect(check("none", "a") == "rule none is no rule with a service or shares");
}
