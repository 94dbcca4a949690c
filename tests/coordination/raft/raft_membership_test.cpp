// Losses around a repair or a replacement, and who belongs to the core after them.
#include <criterion/criterion.h>

#include "coordination/raft/raft_cluster_fixture.h"
#include "protocol/raft_messages.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

const std::string spare = "10.0.0.9:7";

bool is_member_address(Cluster& cluster, const std::string& address) {
  if (!cluster.has_leader())
    return false;
  const auto& committed = cluster.at(cluster.leader()).raft->committed();
  return committed && committed->outgoing.empty() &&
         std::any_of(committed->members.begin(), committed->members.end(),
                     [&](const Member& member) { return member.address == address; });
}

// The members that run, the leader last.
std::vector<std::string> running(Cluster& cluster, const std::string& but = {}) {
  std::vector<std::string> found;
  const std::string leader = cluster.leader();
  for (const std::string& address : cluster.founders())
    if (address != but && address != leader && cluster.at(address).raft)
      found.push_back(address);
  if (leader != but && leader != spare)
    found.push_back(leader);
  return found;
}

bool acknowledges(Cluster& cluster, std::int64_t version, const std::string& body) {
  if (!cluster.run_until([&] { return cluster.has_leader(); }))
    return false;
  const std::string leader = cluster.leader();
  const std::uint64_t token = cluster.propose(version, body);
  return cluster.run_until([&] { return cluster.is_done(leader, token); }, 3000ms);
}

// Once a leader of before that lost its majority has given up.
bool has_it(Cluster& cluster, const std::string& body, Duration limit = Duration(10000)) {
  cluster.run(1500ms);
  return cluster.run_until(
      [&] { return cluster.has_leader() && cluster.body_at(cluster.leader()) == body; }, limit);
}

void start_core(Cluster& cluster) {
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.start(spare);
  cluster.run(2000ms);
}

}  // namespace

// Of a silent member's loss, and the next one's disk from then on: each moment in turn.
Test(membership, a_silent_member_is_replaced_before_its_loss_may_count_as_made_good) {
  for (const std::size_t count : {std::size_t{3}, std::size_t{5}})
    for (const bool is_leader_lost : {false, true})
      for (Duration between(1500); between <= Duration(4000); between += Duration(250)) {
        Cluster cluster(count);
        start_core(cluster);
        const std::string lost = is_leader_lost ? cluster.leader() : running(cluster).front();
        cluster.stop(lost);
        cluster.run(1200ms);
        cr_assert(acknowledges(cluster, 5, "five"));
        cluster.run(between - 1300ms);
        std::vector<std::string> next = running(cluster, lost);
        for (std::size_t wiped = 0; wiped < count / 2; ++wiped)
          cluster.wipe(next[wiped]);
        cr_expect(has_it(cluster, "five"), "of %zu, leader %d, %d ms", count, is_leader_lost,
                  static_cast<int>(between.count()));
      }
}

// How long it takes, told in docs/design/control.md.
Test(membership, a_silent_member_is_replaced_inside_catch_up) {
  for (const std::size_t count : {std::size_t{3}, std::size_t{5}})
    for (const bool is_leader_lost : {false, true}) {
      Cluster cluster(count);
      start_core(cluster);
      const std::string lost = is_leader_lost ? cluster.leader() : running(cluster).front();
      cluster.stop(lost);
      const TimePoint from = cluster.now();
      cr_assert(cluster.run_until(
          [&] { return is_member_address(cluster, spare) && !is_member_address(cluster, lost); }));
      const Duration took = elapsed(from, cluster.now());
      cr_log_info("of %zu, %s: replaced %d ms after its loss", count,
                  is_leader_lost ? "the leader" : "a follower", static_cast<int>(took.count()));
      cr_expect(took < Duration(1500), "%d", static_cast<int>(took.count()));
    }
  cr_expect(replacement_timeout(Duration(4000), Duration(700)) == Duration(1050) &&
            replacement_timeout(Duration(6000), Duration(700)) == Duration(1500) &&
            replacement_timeout(Duration(60000), Duration(700)) == Duration(3000));
}

// A member that leaves goes only after its place is taken; whoever is lost in that moment costs
// nothing.
Test(membership, whoever_leaves_in_order_goes_after_its_place_is_taken) {
  for (const std::size_t count : {std::size_t{3}, std::size_t{5}})
    for (const bool is_leader : {false, true})
      for (int other = 0; other < 2; ++other) {
        Cluster cluster(count);
        start_core(cluster);
        cr_assert(acknowledges(cluster, 5, "five"));
        const std::string leaver = is_leader ? cluster.leader() : running(cluster).front();
        const TimePoint from = cluster.now();
        cluster.leave(leaver);
        cr_assert(cluster.run_until([&] { return !cluster.at(leaver).raft; }, 3000ms));
        const Duration took = elapsed(from, cluster.now());
        cr_log_info("of %zu, %s: left after %d ms", count, is_leader ? "the leader" : "a follower",
                    static_cast<int>(took.count()));
        cr_expect(took < Duration(500));
        const std::vector<std::string> next = running(cluster, leaver);
        cluster.wipe(other ? next.back() : next.front());
        if (count == 5)
          cluster.wipe(other ? next.front() : next.back());
        cr_expect(has_it(cluster, "five"), "of %zu, leader %d, other %d", count, is_leader, other);
        cr_expect(acknowledges(cluster, 6, "six"));
      }
}

Test(membership, without_a_learner_nobody_is_waited_for) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  for (const std::string& leaver : {running(cluster).front(), cluster.leader()}) {
    cluster.leave(leaver);
    cluster.run(150ms);
    cr_expect(!cluster.at(leaver).raft);
    cluster.start(leaver);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(1000ms);
  }
}

// An acknowledged change that only the leaver and a member lost meanwhile held: the leaver stays
// until a majority has it.
Test(membership, the_only_holder_of_a_change_does_not_leave_with_it) {
  Cluster cluster(3);
  start_core(cluster);
  const std::string leader = cluster.leader();
  std::vector<std::string> others = running(cluster, leader);
  cluster.cut(others[0]);
  cluster.cut(spare);
  cr_assert(acknowledges(cluster, 7, "seven"));
  cluster.wipe(others[1]);
  cluster.heal();
  cluster.start(others[1]);
  cluster.leave(leader);
  cluster.run_until([&] { return !cluster.at(leader).raft; }, 3000ms);
  cr_expect(has_it(cluster, "seven"));
}

Test(membership, both_may_leave_one_after_the_other_and_founders_may_all_go) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cr_assert(acknowledges(cluster, 3, "three"));
  int position = 20;
  for (const std::string& founder : cluster.founders()) {
    cluster.start("10.0.0." + std::to_string(++position) + ":7");
    cluster.run(600ms);
    cluster.leave(founder);
    cr_assert(cluster.run_until([&] { return !cluster.at(founder).raft; }, 3000ms));
  }
  cr_expect(has_it(cluster, "three"));
  // All first contacts are dead from here on: whoever comes back knows the members from its own
  // disk.
  std::vector<std::string> all;
  for (position = 21; position <= 23; ++position)
    all.push_back("10.0.0." + std::to_string(position) + ":7");
  for (const std::string& address : all)
    cluster.stop(address);
  cluster.run(3000ms);
  for (const std::string& address : all)
    cluster.start(address);
  cr_expect(has_it(cluster, "three"));
  cr_expect(acknowledges(cluster, 4, "four"));
}

Test(membership, a_member_that_moves_with_its_disk_is_found_again) {
  for (const bool is_leader : {false, true}) {
    Cluster cluster(3);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cr_assert(acknowledges(cluster, 3, "three"));
    const std::string mover = is_leader ? cluster.leader() : running(cluster).front();
    const MemberId id = cluster.at(mover).disk.self;
    cluster.move(mover, "10.0.0.30:7");
    cr_assert(cluster.run_until([&] { return is_member_address(cluster, "10.0.0.30:7"); }));
    cr_expect(cluster.at("10.0.0.30:7").disk.self == id);
    cluster.stop(running(cluster, mover).front());
    cr_expect(acknowledges(cluster, 4, "four"));
  }
}

// Guards against a leader that is known by its former address without end: it moved with its disk,
// and was elected before anybody had its new address agreed.
Test(membership, a_member_that_moved_and_leads_has_its_own_address_agreed) {
  int led_count = 0;
  for (int moment = 0; moment < 20; ++moment) {
    Cluster cluster(3);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(Duration(moment * 35));
    cluster.move(cluster.leader(), "10.0.0.30:7");
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    led_count += cluster.leader() == "10.0.0.30:7";
    cr_expect(cluster.run_until([&] { return is_member_address(cluster, "10.0.0.30:7"); }, 3000ms),
              "moment %d", moment);
  }
  cr_expect(led_count > 0);
}

// Changes follow each other without a pause, and yet the members change.
Test(membership, changes_without_a_pause_do_not_hold_up_a_replacement) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader(), lost = running(cluster).front();
  std::int64_t version = 10;
  const auto storm = [&](Duration span) {
    for (const TimePoint end = cluster.now() + span; cluster.now() < end; cluster.run(5ms))
      for (int order = 0; order < 2; ++order)
        cluster.propose(++version, "body " + std::to_string(version));
  };
  cluster.stop(lost);
  storm(500ms);
  cluster.start(spare);
  storm(1500ms);
  cr_expect(cluster.leader() == leader);
  cr_expect(is_member_address(cluster, spare) ||
            cluster.at(leader).raft->committed()->outgoing.size() > 0);
  storm(500ms);
  cr_expect(cluster.run_until(
      [&] { return is_member_address(cluster, spare) && !is_member_address(cluster, lost); },
      100ms));
}

// A follower hears a leader that no majority answers any more: nobody may rely on either.
Test(membership, a_leader_that_is_not_answered_confirms_nothing_through_its_followers) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.run(500ms);
  const std::string leader = cluster.leader();
  for (const std::string& address : cluster.founders())
    cluster.cut_link(address, leader);
  const TimePoint from = cluster.now();
  bool is_relied_on = true;
  while (is_relied_on && cluster.now() - from < Duration(4000)) {
    cluster.run(5ms);
    is_relied_on = false;
    for (const std::string& address : cluster.founders()) {
      const RaftNode& raft = *cluster.at(address).raft;
      is_relied_on =
          is_relied_on || (raft.leader_address() == leader && raft.is_confirmed(cluster.now()));
    }
  }
  cr_expect(cluster.now() - from <= Duration(1450), "%d",
            static_cast<int>(elapsed(from, cluster.now()).count()));
}

// A wiped member hears the leader, but holds nothing yet: it can't know who is a member, and says
// so of nobody.
Test(membership, a_learner_that_holds_nothing_takes_nobody_for_removed) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.run(500ms);
  const std::string leader = cluster.leader();
  const std::vector<std::string> others = running(cluster, leader);
  cluster.wipe(others[0]);
  cluster.should_drop = [](std::uint64_t, const RaftMessage& message) {
    return message.chunk.has_value();
  };
  cluster.start(others[0]);
  cluster.run(300ms);
  cluster.cut_link(leader, others[1]);
  for (const TimePoint end = cluster.now() + 2500ms; cluster.now() < end; cluster.run(5ms))
    cr_assert(!cluster.at(others[1]).raft->status(cluster.now()).is_removed);
}

// Told that it was removed, and then nobody leads: it does not wait for ever.
Test(membership, one_that_was_told_that_it_is_removed_tries_again_when_nobody_leads) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.run(500ms);
  const std::string leader = cluster.leader(), removed = running(cluster).front(),
                    other = running(cluster)[1];
  cluster.stop(leader);
  cluster.stop(other);
  RaftMessage message;
  message.type = RaftMessage::Type::pre_vote_reply;
  message.from = cluster.at(other).disk.self;
  message.address = other;
  message.term = cluster.at(removed).raft->term();
  message.is_removed = true;
  cluster.at(removed).raft->receive(message, cluster.now());
  cr_assert(cluster.at(removed).raft->status(cluster.now()).is_removed);
  cluster.run(4000ms);
  cr_expect(!cluster.at(removed).raft->status(cluster.now()).is_removed);
}
