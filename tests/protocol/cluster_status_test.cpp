#include <criterion/criterion.h>

#include "coordination/raft/raft_cluster_fixture.h"
#include "protocol/cluster_status.h"
#include "protocol/frame.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

ClusterStatus status_line_of(Cluster& cluster, const std::string& address) {
  return cluster.at(address).raft->status(cluster.now());
}

const ClusterStatus::Peer* peer_at(const ClusterStatus& status, const std::string& address) {
  const auto found =
      std::find_if(status.peers.begin(), status.peers.end(),
                   [&](const ClusterStatus::Peer& peer) { return peer.address == address; });
  return found == status.peers.end() ? nullptr : &*found;
}

std::string other_than(Cluster& cluster, const std::string& address) {
  return cluster.founders()[cluster.founders()[0] == address ? 1 : 0];
}

}  // namespace

Test(cluster_status, a_leader_tells_who_is_behind_and_who_learns) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader(), away = other_than(cluster, leader),
                    learner = "10.0.0.9:7";
  const std::uint64_t first = cluster.propose(1, "one");
  cr_assert(cluster.run_until([&] { return cluster.is_done(leader, first); }));
  cluster.start(learner);
  cluster.run(500ms);
  cluster.cut(away);
  for (std::int64_t version = 2; version <= 4; ++version) {
    const std::uint64_t token = cluster.propose(version, std::to_string(version));
    cr_assert(cluster.run_until([&] { return cluster.is_done(leader, token); }));
  }
  cluster.run(400ms);
  const ClusterStatus status = status_line_of(cluster, leader);
  cr_expect(status.role == ClusterStatus::Role::leader && status.is_confirmed && status.is_voter &&
            status.leader == leader);
  cr_expect(status.has_committed && status.version == Version{4} &&
            status.committed == status.last && status.committed_term == status.term);
  cr_expect_eq(status.core_size, 3u);
  cr_assert_eq(status.peers.size(), 4u);
  const ClusterStatus::Peer *self = peer_at(status, leader), *behind = peer_at(status, away),
                            *learning = peer_at(status, learner);
  cr_assert(self && behind && learning);
  cr_expect(self->id == status.self && self->is_voter && self->is_matched);
  cr_expect(behind->is_voter && behind->is_known && !behind->is_matched &&
            behind->last_contact >= 400);
  cr_expect_eq(behind->behind, 3u);
  cr_expect(!learning->is_voter && learning->is_matched && learning->last_contact < 200 &&
            learning->behind == 0);
}

Test(cluster_status, one_cut_off_says_so_and_the_rest_stand_confirmed) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string outgoing = cluster.leader();
  const std::uint64_t token = cluster.propose(1, "one");
  cr_assert(cluster.run_until([&] { return cluster.is_done(outgoing, token); }));
  cluster.cut(outgoing);
  cluster.run(3000ms);
  const ClusterStatus alone = status_line_of(cluster, outgoing);
  cr_expect(!alone.is_confirmed && alone.role != ClusterStatus::Role::leader &&
            alone.leader.empty());
  cr_expect(alone.has_committed && alone.version == Version{1});
  for (const std::string& address : cluster.founders()) {
    if (address == outgoing)
      continue;
    const ClusterStatus status = status_line_of(cluster, address);
    cr_expect(status.is_confirmed && status.leader == cluster.leader() && status.term > alone.term);
  }
}

Test(cluster_status, a_follower_tells_its_leader_and_nothing_of_how_others_fare) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader();
  cluster.run(500ms);
  const ClusterStatus status = status_line_of(cluster, other_than(cluster, leader));
  cr_expect(status.role == ClusterStatus::Role::follower && status.leader == leader &&
            status.leader_last_contact < 200);
  cr_expect(status.last == status.leader_last);
  for (const ClusterStatus::Peer& peer : status.peers)
    cr_expect(peer.is_voter && peer.is_known == (peer.id == status.self));
}

Test(cluster_status, a_disk_that_fails_or_is_stuck_is_told) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader(), slow = other_than(cluster, leader);
  Cluster::Node& node = cluster.at(slow);
  node.is_stuck = true;
  cluster.propose(1, "one");
  cluster.run(1500ms);
  ClusterStatus status = status_line_of(cluster, slow);
  cr_expect(status.is_save_stuck && status.saving > 700 && !status.is_save_failing);
  cr_assert(node.pending.has_value());
  const std::uint64_t serial = node.pending->serial;
  node.pending.reset();
  node.raft->handle_save_result(serial, false, cluster.now());
  status = status_line_of(cluster, slow);
  cr_expect(status.is_save_failing && !status.is_save_stuck && status.saving == 0);
  node.is_stuck = false;
  cluster.run(1000ms);
  status = status_line_of(cluster, slow);
  cr_expect(!status.is_save_failing && !status.is_save_stuck && status.version == Version{1});
}

Test(cluster_status, a_frame_cut_short_or_of_an_unknown_role_is_dropped) {
  ClusterStatus status;
  status.node = "registry-1";
  status.role = ClusterStatus::Role::leader;
  status.leader = "10.0.0.1:7";
  status.version = Version{9};
  status.core_size = 3;
  status.is_confirmed = true;
  status.saving = 12;
  status.peers = {{MemberId{1}, "10.0.0.1:7", true, true, true, 0, 0},
                  {MemberId{2}, "10.0.0.2:7", false, true, false, 40, 5}};
  const FrameHead from{FrameKind::cluster_status, IncarnationId{9}, "10.0.0.1:7"};
  const std::string bytes = encode(from, status);
  const auto is_read = [](std::string_view frame) {
    ByteReader reader(frame);
    FrameHead head;
    ClusterStatus read;
    return decode_head(reader, head) && head.kind == FrameKind::cluster_status &&
           decode(reader, read) && read.node == "registry-1" && read.version == Version{9} &&
           read.is_confirmed && read.saving == 12 && read.peers.size() == 2 &&
           read.peers[1].behind == 5 && !read.peers[1].is_voter;
  };
  cr_expect(is_read(bytes));
  cr_expect(!is_read(bytes + "x"));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    cr_expect(!is_read(std::string_view(bytes).substr(0, size)));
  status.role = static_cast<ClusterStatus::Role>(4);
  cr_expect(!is_read(encode(from, status)));
}
