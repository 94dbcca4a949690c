#include <criterion/criterion.h>

#include "coordination/raft/raft_cluster_fixture.h"
#include "protocol/raft_messages.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

bool is_member(Cluster& cluster, MemberId id) {
  const auto& members = cluster.at(cluster.leader()).raft->committed()->members;
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.id == id; });
}

std::string other_than(Cluster& cluster, const std::string& address) {
  for (const std::string& founder : cluster.founders())
    if (founder != address)
      return founder;
  return {};
}

}  // namespace

Test(raft, elects_one_leader_and_commits_everywhere) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader();
  const std::uint64_t token = cluster.propose(7, "seven");
  cr_assert(cluster.run_until([&] { return cluster.is_done(leader, token); }));
  cluster.run(500ms);
  for (const std::string& address : cluster.founders())
    cr_expect(cluster.body_at(address) == "seven");
}

Test(raft, an_older_version_is_acknowledged_and_changes_nothing) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  cluster.propose(7, "seven");
  const std::uint64_t same = cluster.propose(7, "other seven"), older = cluster.propose(3, "three");
  cr_assert(cluster.run_until(
      [&] { return cluster.is_done(leader, same) && cluster.is_done(leader, older); }));
  cluster.run(500ms);
  for (const std::string& address : cluster.founders())
    cr_expect(cluster.body_at(address) == "seven");
}

Test(raft, nothing_is_acknowledged_before_a_majority_synced_it) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  for (const std::string& address : cluster.founders())
    if (address != leader)
      cluster.at(address).is_stuck = true;
  const std::uint64_t token = cluster.propose(2, "two");
  cluster.run(3000ms);
  cr_expect(!cluster.is_done(leader, token));
  for (const std::string& address : cluster.founders())
    cluster.at(address).is_stuck = false;
  cr_expect(cluster.run_until(
      [&] { return cluster.has_leader() && cluster.body_at(cluster.leader()) == "two"; }));
}

Test(raft, what_was_acknowledged_survives_the_leader_and_its_disk) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  const std::uint64_t token = cluster.propose(9, "nine");
  cluster.run_until([&] { return cluster.is_done(leader, token); });
  cluster.wipe(leader);
  cluster.start(leader);
  cr_assert(cluster.run_until(
      [&] { return cluster.has_leader() && cluster.body_at(cluster.leader()) == "nine"; }));
}

Test(raft, a_wiped_member_comes_back_under_a_fresh_id) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string wiped = other_than(cluster, cluster.leader());
  const MemberId outgoing = cluster.at(wiped).disk.self;
  cluster.wipe(wiped);
  cluster.run(3500ms);
  cluster.start(wiped);
  cr_assert(cluster.run_until(
      [&] {
        return is_member(cluster, cluster.at(wiped).disk.self) && !is_member(cluster, outgoing);
      },
      3000ms));
  // The third may now be lost as well.
  const std::string third = [&] {
    for (const std::string& address : cluster.founders())
      if (address != wiped && address != cluster.leader())
        return address;
    return std::string();
  }();
  cluster.stop(third);
  const std::string leader = cluster.leader();
  const std::uint64_t token = cluster.propose(4, "four");
  cr_expect(cluster.run_until([&] { return cluster.is_done(leader, token); }));
}

Test(raft, a_wiped_member_comes_back_though_its_asking_to_join_is_lost) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string wiped = other_than(cluster, cluster.leader());
  cluster.wipe(wiped);
  cluster.should_drop = [](std::uint64_t, const RaftMessage& message) {
    return message.type == RaftMessage::Type::join;
  };
  cluster.start(wiped);
  cr_expect(
      cluster.run_until([&] { return is_member(cluster, cluster.at(wiped).disk.self); }, 3000ms));
}

Test(raft, a_machine_elsewhere_takes_the_place_of_a_silent_one) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string lost = cluster.leader();
  const MemberId outgoing = cluster.at(lost).disk.self;
  cluster.stop(lost);
  cluster.run_until([&] { return cluster.has_leader(); });
  cluster.start("10.0.0.9:7");
  cr_assert(cluster.run_until([&] {
    return cluster.has_leader() && is_member(cluster, cluster.at("10.0.0.9:7").disk.self) &&
           !is_member(cluster, outgoing);
  }));
}

Test(raft, a_member_that_was_replaced_while_cut_off_does_not_disturb) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string away = other_than(cluster, cluster.leader());
  const MemberId outgoing = cluster.at(away).disk.self;
  cluster.cut(away);
  cluster.run(4000ms);
  cluster.start("10.0.0.9:7");
  cr_assert(
      cluster.run_until([&] { return cluster.has_leader() && !is_member(cluster, outgoing); }));
  const Term term = cluster.at(cluster.leader()).raft->term();
  cluster.heal();
  cluster.run(5000ms);
  cr_expect(cluster.at(cluster.leader()).raft->term() == term);
}

Test(raft, a_leader_with_a_stuck_disk_gives_the_lead_away) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  cluster.at(leader).is_stuck = true;
  cluster.propose(5, "five");
  cr_assert(cluster.run_until([&] { return cluster.has_leader() && cluster.leader() != leader; },
                              3000ms));
  const std::string next = cluster.leader();
  const std::uint64_t token = cluster.propose(6, "six");
  cr_expect(cluster.run_until([&] { return cluster.is_done(next, token); }));
}

Test(raft, a_minority_neither_commits_nor_confirms) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  cluster.cut(leader);
  const std::uint64_t token = cluster.propose(5, "five");
  cluster.run(4000ms);
  cr_expect(!cluster.is_done(leader, token));
  cr_expect(!cluster.at(leader).raft->is_confirmed(cluster.now()));
  cr_expect(cluster.has_leader() && cluster.leader() != leader);
}

Test(raft, a_read_is_confirmed_by_a_majority_or_fails) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  cluster.propose(5, "five");
  cluster.run(200ms);
  cluster.at(leader).raft->read_index(900, cluster.now());
  cr_assert(cluster.run_until([&] { return cluster.is_done(leader, 900); }));
  cr_expect(cluster.at(leader).results[900].state->body == "five");
  cluster.cut(leader);
  cluster.at(leader).raft->read_index(901, cluster.now());
  cluster.run(4000ms);
  cr_expect(cluster.at(leader).results[901].outcome == RaftNode::Outcome::failed);
}

Test(raft, handing_over_takes_less_than_an_election) {
  Cluster cluster(3);
  cluster.run_until([&] { return cluster.has_leader(); });
  const std::string leader = cluster.leader();
  cluster.at(leader).raft->transfer_leadership(cluster.now());
  cluster.flush(cluster.at(leader));
  cr_expect(
      cluster.run_until([&] { return cluster.has_leader() && cluster.leader() != leader; }, 300ms));
}

Test(raft, a_core_of_one_and_a_core_of_five_agree_as_well) {
  for (const std::size_t count : {std::size_t{1}, std::size_t{5}}) {
    Cluster cluster(count);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    const std::string leader = cluster.leader();
    for (std::size_t stopped = 0; stopped < count / 2; ++stopped)
      for (const std::string& address : cluster.founders())
        if (address != leader && cluster.at(address).raft) {
          cluster.stop(address);
          break;
        }
    const std::uint64_t token = cluster.propose(2, "two");
    cr_expect(cluster.run_until([&] { return cluster.is_done(leader, token); }), "of %zu", count);
  }
}

// All processes end at once, wherever a change stands; whatever was acknowledged is there when they
// are back.
Test(raft, an_acknowledged_change_survives_the_end_of_all_at_any_moment) {
  for (int moment = 0; moment < 40; ++moment) {
    Cluster cluster(3);
    cluster.run_until([&] { return cluster.has_leader(); });
    const std::string leader = cluster.leader();
    const std::uint64_t token = cluster.propose(6, "six");
    cluster.run(Duration(5 * moment));
    const bool was_done = cluster.is_done(leader, token);
    for (const std::string& address : cluster.founders())
      cluster.stop(address);
    for (const std::string& address : cluster.founders())
      cluster.start(address);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }, 3000ms));
    const std::string body = cluster.body_at(cluster.leader());
    cr_expect(body == "six" || (!was_done && body.empty()), "moment %d", moment);
  }
}

Test(raft, a_leader_is_found_over_long_ways) {
  Cluster cluster(3);
  cluster.latency = Duration(150);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }, 20000ms));
  const Term term = cluster.at(cluster.leader()).raft->term();
  cluster.run(5000ms);
  cr_expect(cluster.at(cluster.leader()).raft->term() == term, "and it stays");
}

// Every outgoing of a change is lost once, each in turn: the change still comes through, and
// everywhere the same.
Test(raft, any_one_letter_may_be_lost) {
  for (std::uint64_t lost = 1; lost <= 40; ++lost) {
    Cluster cluster(3);
    cluster.run_until([&] { return cluster.has_leader(); });
    const std::string leader = cluster.leader();
    const std::uint64_t from = cluster.sent();
    cluster.should_drop = [&](std::uint64_t number, const RaftMessage&) {
      return number == from + lost;
    };
    cluster.propose(8, "eight");
    cr_assert(cluster.run_until([&] {
      for (const std::string& address : cluster.founders())
        if (cluster.body_at(address) != "eight")
          return false;
      return true;
    }),
              "letter %d", static_cast<int>(lost));
  }
}

// Guards against elections that never settle, and leaders that step down, while saves take long on
// all disks.
Test(raft, with_slow_disks_everywhere_orders_are_done_also_after_a_lost_leader) {
  const Duration order_limit(8000);
  for (const int save_ms : {300, 600, 1000})
    for (int moment = 0; moment < 40; ++moment) {
      Cluster cluster(3);
      cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
      cluster.run(Duration(moment * 35));
      for (const std::string& address : cluster.founders())
        cluster.at(address).save_time = Duration(save_ms);
      const std::string leader = cluster.leader();
      const Term term = cluster.at(leader).raft->term();
      const std::uint64_t first = cluster.propose(2, "two");
      cr_expect(cluster.run_until([&] { return cluster.is_done(leader, first); }, order_limit),
                "saves of %d ms, moment %d", save_ms, moment);
      cr_expect(cluster.at(leader).raft->term() == term, "it stays");
      cluster.stop(leader);
      cluster.start(leader);
      const TimePoint end = cluster.now() + order_limit;
      const auto has_taken = [&](const std::string& body) {
        return !cluster.leader().empty() && cluster.body_at(cluster.leader()) == body;
      };
      bool is_taken = false;
      while (!is_taken && cluster.now() < end) {
        if (!cluster.leader().empty())
          cluster.propose(3, "three");
        is_taken = cluster.run_until([&] { return has_taken("three"); }, 300ms);
      }
      cr_expect(is_taken, "after the leader's loss: saves of %d ms, moment %d", save_ms, moment);
    }
}
