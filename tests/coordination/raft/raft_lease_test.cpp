// Leases of leaders: no two at one moment, whatever restarts.
#include <criterion/criterion.h>

#include "coordination/raft/raft_cluster_fixture.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

std::size_t leased_nodes(Cluster& cluster) {
  std::size_t count = 0;
  for (const std::string& address : cluster.founders()) {
    const auto& raft = cluster.at(address).raft;
    count += raft && raft->is_leased(cluster.now());
  }
  return count;
}

// Runs on and expects one leased leader at most, at each step.
void expect_no_overlap(Cluster& cluster, Duration span, int moment) {
  for (const TimePoint end = cluster.now() + span; cluster.now() < end; cluster.run(5ms))
    cr_assert(leased_nodes(cluster) <= 1, "two leaders under a lease, moment %d", moment);
}

}  // namespace

// Of three, one voter is cut off from the leader and the other one restarts. It forgot when it
// heard the leader, and votes for the one that is cut off.
Test(raft_lease, a_voter_that_restarts_lets_no_two_leases_overlap) {
  for (int moment = 0; moment < 100; ++moment) {
    Cluster cluster(3);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(1s);
    const std::string leader = cluster.leader();
    std::vector<std::string> others;
    for (const std::string& address : cluster.founders())
      if (address != leader)
        others.push_back(address);
    cluster.cut_link(leader, others[0]);
    cluster.cut_link(others[0], leader);
    expect_no_overlap(cluster, Duration(300 + moment * 13), moment);
    cluster.stop(others[1]);
    cluster.start(others[1]);
    expect_no_overlap(cluster, Duration(2500), moment);
  }
}
