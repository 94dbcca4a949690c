// Nobody obeys an old leader: cut off, or frozen and thawed with everything that came meanwhile
// still to be read.
#include <criterion/criterion.h>

#include <optional>

#include "coordination/discovery/control_source_selector.h"
#include "coordination/leases/lease_table.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/raft/raft_cluster_fixture.h"
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

Test(term_fence, only_the_leader_of_the_highest_known_term_is_admitted) {
  TermFence fence;
  cr_expect(!fence.admits(Term{0}, true), "without a term nobody leads");
  cr_expect(fence.admits(Term{3}, true) && !fence.admits(Term{3}, false));
  cr_expect(!fence.admits(Term{4}, false), "a follower's word of a later term does not steer");
  cr_expect(!fence.admits(Term{3}, true), "but it ends the earlier leader's");
  cr_expect(fence.admits(Term{4}, true) && fence.highest_term() == Term{4});
}

Test(term_fence, a_reply_counts_from_its_request_and_only_in_the_same_incarnation) {
  RequestClock clock(IncarnationId{7});
  const std::uint64_t first = clock.record_request(start),
                      second = clock.record_request(start + 400ms);
  cr_expect(clock.sent_at(IncarnationId{7}, first) == start &&
            clock.sent_at(IncarnationId{7}, second) == start + 400ms);
  cr_expect(!clock.sent_at(IncarnationId{6}, first), "a former life counted its tokens anew");
  cr_expect(!clock.sent_at(IncarnationId{7}, second + 1) && !clock.sent_at(IncarnationId{7}, 0));
  for (int count = 0; count < 200; ++count)
    clock.record_request(start + 1s);
  cr_expect(!clock.sent_at(IncarnationId{7}, first),
            "one that isn't known any more counts for nothing");
}

Test(term_fence, a_broker_that_knows_a_new_term_rejects_the_former_leader) {
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
Test(term_fence, a_reply_delayed_in_a_buffer_neither_confirms_nor_steers) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.turn(start);
  selector.turn(start + 20s);
  const ControlSourceSelector::Heard reply =
      selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 20s);
  cr_expect(!reply.is_steering && !reply.asked && !selector.is_confirmed("old:1", start + 20s));
  cr_expect(!selector.take("old:1", heartbeat_of(1, true, IncarnationId{6}, token + 1), start + 20s)
                 .asked,
            "meant for a former life");
  cr_expect(selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token + 1), start + 20s)
                .asked == start + 20s);
}

Test(term_fence, a_retry_grant_counts_from_the_request_it_answers) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.turn(start);
  selector.turn(start + 1900ms);  // the newest asking is not what this one answers
  const ControlSourceSelector::Heard reply =
      selector.take("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 1950ms);
  cr_assert(reply.is_steering && reply.asked);
  RetryQuota quota;
  quota.update(7, valid, *reply.asked);
  cr_expect(quota.available(start + 1999ms) == 7 && quota.available(start + 2001ms) == 0);
}

// A leader of a real core is frozen for twenty seconds at each point of its beat; meanwhile follows
// of a broker that reaches nobody else pile up, and the core elects another. Whatever it then gives
// must be over before the new leader acts.
Test(term_fence, no_grant_of_a_frozen_leader_outlasts_the_next_leaders_takeover) {
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
    RetryQuotaAllocator allocator(56, valid, window), next_allocator(56, valid, window);
    leases.start_term(frozen_at - 60s);
    allocator.set_leading(true, frozen_at - 60s);
    next.start_term(*led_since);
    next_allocator.set_leading(true, *led_since);
    TimePoint until{};
    RetryQuota quota;
    // The first was read just before the freeze, all others after it: the clock stood still for the
    // process in between.
    std::size_t at = 0;
    TimePoint clock = frozen_at;
    handle_each(
        100,
        [&]() -> std::optional<std::size_t> {
          return at < asked.size() ? std::optional(at++) : std::nullopt;
        },
        [&] { return std::exchange(clock, cluster.now()); },
        [&](std::size_t which, TimePoint came) {
          if (!frozen.is_leased(came))
            return;
          ++given;
          leases.record("broker", IncarnationId{7}, 1, came);
          until = std::max(until, asked_at[which] + leases.grant("broker", IncarnationId{7}, came));
          quota.update(allocator.grant("broker", IncarnationId{7}, 1, came), valid,
                       asked_at[which]);
        });
    cr_expect(frozen.is_leader(), "it does not know better yet");
    for (TimePoint now = *led_since; now < *led_since + 30s; now += 50ms) {
      if (!next.has_lease_before(2, now))
        cr_assert(now >= until, "point %d: the new leader acts while a hold lasts", point);
      if (next_allocator.grant("other", IncarnationId{8}, 1, now) > 0)
        cr_assert(quota.available(now) == 0, "point %d: tries are granted twice", point);
    }
  }
  cr_expect(given == 24, "what was read before the freeze is answered, nothing after it: %d",
            given);
}

// Frames of a holder's former life come late, in between those of the new one: they end no hold of
// its.
Test(term_fence, a_late_frame_of_a_former_incarnation_ends_no_lease) {
  LeaseTable leases(lease, settle);
  leases.start_term(start - 60s);
  leases.record("pooler", IncarnationId{1}, 5, start);
  leases.grant("pooler", IncarnationId{1}, start);
  leases.record("pooler", IncarnationId{2}, 4, start + 100ms);
  cr_expect(leases.grant("pooler", IncarnationId{2}, start + 100ms) == lease);
  leases.record("pooler", IncarnationId{1}, 5, start + 200ms);
  leases.grant("pooler", IncarnationId{1}, start + 200ms);
  cr_expect(leases.has_lease_before(5, start + 300ms), "the new life acts by table 4");
  leases.record("pooler", IncarnationId{2}, 5, start + 400ms);
  cr_expect(!leases.has_lease_before(5, start + 500ms));
  leases.record("other", IncarnationId{1}, 4, start);
  leases.grant("other", IncarnationId{1}, start);
  leases.record("other", IncarnationId{2}, 5, start + 500ms);
  cr_expect(!leases.has_lease_before(5, start + 600ms), "a life that is over holds nothing");
}

Test(term_fence, the_leader_lease_ends_at_lease_until) {
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
