// Nobody obeys an old leader: cut off, or frozen and thawed with everything that came meanwhile
// still to be read.
#include <criterion/criterion.h>

#include <optional>

#include "coordination/raft/raft_cluster_fixture.h"
#include "coordination/discovery/control_source_selector.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/leases/lease_table.h"
#include "coordination/rollout/version_rollout.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration lease{3000}, settle{3800}, valid{2000}, window{10000};

ControlHeartbeat heartbeat_of(std::uint64_t term, bool is_leader, IncarnationId requester,
                              std::uint64_t token) {
  ControlHeartbeat heartbeat;
  heartbeat.term = Term{term};
  heartbeat.is_leader = heartbeat.is_confirmed = is_leader;
  heartbeat.requester = requester;
  heartbeat.token = token;
  return heartbeat;
}

}  // namespace

Test(fence, only_who_leads_in_the_highest_term_heard_of_is_obeyed) {
  TermFence fence;
  cr_expect(!fence.admits(Term{0}, true), "without a term nobody leads");
  cr_expect(fence.admits(Term{3}, true) && !fence.admits(Term{3}, false));
  cr_expect(!fence.admits(Term{4}, false), "a follower's word of a later term does not steer");
  cr_expect(!fence.admits(Term{3}, true), "but it ends the earlier leader's");
  cr_expect(fence.admits(Term{4}, true) && fence.highest() == Term{4});
}

Test(fence, an_answer_counts_from_its_asking_and_only_in_the_life_that_asked) {
  RequestClock attempts(IncarnationId{7});
  const std::uint64_t first = attempts.ask(start), second = attempts.ask(start + 400ms);
  cr_expect(attempts.find(IncarnationId{7}, first) == start &&
            attempts.find(IncarnationId{7}, second) == start + 400ms);
  cr_expect(!attempts.find(IncarnationId{6}, first), "a former life counted its tokens anew");
  cr_expect(!attempts.find(IncarnationId{7}, second + 1) && !attempts.find(IncarnationId{7}, 0));
  for (int count = 0; count < 200; ++count)
    attempts.ask(start + 1s);
  cr_expect(!attempts.find(IncarnationId{7}, first),
            "one that isn't known any more counts for nothing");
}

Test(fence, a_broker_that_heard_of_a_new_leader_takes_nothing_from_the_old_one) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1", "new:1", "other:1"}, start);
  std::uint64_t token = selector.turn(start);
  cr_expect(selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 10ms)
                .is_steering);
  // One more answer of the old leader stays in its buffers for twenty seconds.
  const ControlHeartbeat late = heartbeat_of(1, true, IncarnationId{7}, token);
  token = selector.turn(start + 20s);
  cr_expect(
      !selector.take("other:1", heartbeat_of(2, false, IncarnationId{7}, token), start + 20010ms)
           .is_steering,
      "a follower tells of the new term");
  const ControlSourceSelector::Heard thawed = selector.take("old:1", late, start + 20020ms);
  cr_expect(!thawed.is_steering && !thawed.asked);
  // It also answers what it was asked just now, before it hears that it does not lead any more.
  cr_expect(!selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 20030ms)
                 .is_steering);
  cr_expect(selector.take("new:1", heartbeat_of(2, true, IncarnationId{7}, token), start + 20040ms)
                .is_steering);
  for (const auto& [address, source] : selector.sources())
    cr_expect(selector.is_leader(source) == (address == "new:1"));
}

// Also one that hears nobody but the old leader: an answer is as old as its asking.
Test(fence, what_lay_in_buffers_confirms_and_steers_nothing) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.turn(start);
  selector.turn(start + 20s);
  const ControlSourceSelector::Heard last_contact =
      selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 20s);
  cr_expect(!last_contact.is_steering && !last_contact.asked &&
            !selector.is_confirmed("old:1", start + 20s));
  cr_expect(!selector.take("old:1", heartbeat_of(1, true, IncarnationId{6}, token + 1), start + 20s)
                 .asked,
            "meant for a former life");
  cr_expect(selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token + 1), start + 20s)
                .asked == start + 20s);
}

Test(fence, a_grant_of_tries_counts_from_the_asking_that_it_answers) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.turn(start);
  selector.turn(start + 1900ms);  // the newest asking is not what this one answers
  const ControlSourceSelector::Heard last_contact =
      selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 1950ms);
  cr_assert(last_contact.is_steering && last_contact.asked);
  RetryQuota reserve;
  reserve.take(7, valid, *last_contact.asked);
  cr_expect(reserve.part(start + 1999ms) == 7 && reserve.part(start + 2001ms) == 0);
}

// A leader of a real core is frozen for twenty seconds at each point of its beat; meanwhile follows
// of a broker that reaches nobody else pile up, and the core elects another. Whatever it then gives
// must be over before the new leader acts.
Test(fence, a_frozen_leader_gives_nothing_that_lasts_into_the_next_one_s_time) {
  int given = 0;
  for (int point = 0; point < 24; ++point) {
    Cluster cluster(3);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(Duration(1000 + point * 13));
    const std::string old = cluster.leader();
    const Term old_term = cluster.at(old).raft->term();
    const RaftNode frozen = *cluster.at(old).raft;
    const TimePoint frozen_at = cluster.now();
    ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)},
                                   IncarnationId{7}, frozen_at);
    selector.set_seeds({old}, frozen_at);
    std::vector<std::uint64_t> asked;
    std::vector<TimePoint> asked_at;
    cluster.stop(old);
    std::optional<TimePoint> led_since;
    for (int turn = 0; turn < 50; ++turn) {
      asked_at.push_back(cluster.now());
      asked.push_back(selector.turn(cluster.now()));
      for (int step = 0; step < 80; ++step) {
        cluster.run(5ms);
        if (!led_since && cluster.has_leader() && cluster.leader() != old)
          led_since = cluster.now();
      }
    }
    cr_assert(led_since && cluster.at(cluster.leader()).raft->term() > old_term);
    LeaseTable leases(lease, settle), next(lease, settle);
    RetryQuotaAllocator grants(56, valid, window), next_grants(56, valid, window);
    leases.reset(frozen_at - 60s);
    grants.lead(true, frozen_at - 60s);
    next.reset(*led_since);
    next_grants.lead(true, *led_since);
    TimePoint until{};
    RetryQuota reserve;
    // The first was read just before the freeze, all others after it: the clock stood still for the
    // process in between.
    std::size_t at = 0;
    TimePoint clock = frozen_at;
    take_each(
        100,
        [&]() -> std::optional<std::size_t> {
          return at < asked.size() ? std::optional(at++) : std::nullopt;
        },
        [&] { return std::exchange(clock, cluster.now()); },
        [&](std::size_t which, TimePoint came) {
          if (!frozen.is_leased(came))
            return;
          ++given;
          leases.note("broker", IncarnationId{7}, 1, came);
          until = std::max(until, asked_at[which] + leases.grant("broker", IncarnationId{7}, came));
          reserve.take(grants.grant("broker", IncarnationId{7}, 1, came), valid, asked_at[which]);
        });
    cr_expect(frozen.is_leader(), "it does not know better yet");
    for (TimePoint now = *led_since; now < *led_since + 30s; now += 50ms) {
      if (!next.is_held(2, now))
        cr_assert(now >= until, "point %d: the new leader acts while a hold lasts", point);
      if (next_grants.grant("other", IncarnationId{8}, 1, now) > 0)
        cr_assert(reserve.part(now) == 0, "point %d: tries are granted twice", point);
    }
  }
  cr_expect(given == 24, "what was read before the freeze is answered, nothing after it: %d",
            given);
}

// Frames of a holder's former life come late, in between those of the new one: they end no hold of
// its.
Test(fence, a_late_word_of_a_former_life_ends_no_hold) {
  LeaseTable leases(lease, settle);
  leases.reset(start - 60s);
  leases.note("pooler", IncarnationId{1}, 5, start);
  leases.grant("pooler", IncarnationId{1}, start);
  leases.note("pooler", IncarnationId{2}, 4, start + 100ms);
  cr_expect(leases.grant("pooler", IncarnationId{2}, start + 100ms) == lease);
  leases.note("pooler", IncarnationId{1}, 5, start + 200ms);
  leases.grant("pooler", IncarnationId{1}, start + 200ms);
  cr_expect(leases.is_held(5, start + 300ms), "the new life acts by table 4");
  leases.note("pooler", IncarnationId{2}, 5, start + 400ms);
  cr_expect(!leases.is_held(5, start + 500ms));
  leases.note("other", IncarnationId{1}, 4, start);
  leases.grant("other", IncarnationId{1}, start);
  leases.note("other", IncarnationId{2}, 5, start + 500ms);
  cr_expect(!leases.is_held(5, start + 600ms), "a life that is over holds nothing");
}

Test(fence, the_lease_ends_when_it_says) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.run(1s);
  const RaftNode& leader = *cluster.at(cluster.leader()).raft;
  const TimePoint until = leader.lease_until();
  cr_expect(until > cluster.now() && until <= cluster.now() + Duration(700));
  cr_expect(leader.is_leased(until - 1ms) && !leader.is_leased(until));
  for (const std::string& address : cluster.founders())
    if (address != cluster.leader())
      cr_expect(cluster.at(address).raft->lease_until() == TimePoint{});
}
