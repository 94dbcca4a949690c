// Leaders of former terms are not obeyed, whether they were cut off, or suspended and resumed with
// everything that arrived meanwhile still to be read.
#include <criterion/criterion.h>

#include <optional>

#include "coordination/discovery/control_source_selector.h"
#include "coordination/leases/handle_each.h"
#include "coordination/leases/lease_table.h"
#include "coordination/leases/request_clock.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/leases/retry_quota_allocator.h"
#include "coordination/leases/term_fence.h"
#include "coordination/raft/raft_cluster_fixture.h"
#include "coordination/rollout/version_rollout.h"
#include "protocol/control_messages.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration lease{3000};          // of a holder on a replicated table
constexpr Duration takeover_wait{3800};  // a new leader's takeover wait
constexpr Duration valid{2000};          // of a retry grant
constexpr Duration window{10000};

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
  cr_expect(!fence.admits(Term{4}, false), "a follower of a later term gives no orders");
  cr_expect(!fence.admits(Term{3}, true), "but it ends the admission of the earlier leader");
  cr_expect(fence.admits(Term{4}, true) && fence.highest_term() == Term{4});
}

Test(term_fence, a_reply_counts_from_its_request_and_only_in_the_same_incarnation) {
  RequestClock clock(IncarnationId{7});
  const std::uint64_t first = clock.record_request(start),
                      second = clock.record_request(start + 400ms);
  cr_expect(clock.sent_at(IncarnationId{7}, first) == start &&
            clock.sent_at(IncarnationId{7}, second) == start + 400ms);
  cr_expect(!clock.sent_at(IncarnationId{6}, first),
            "a former incarnation counted its tokens anew");
  cr_expect(!clock.sent_at(IncarnationId{7}, second + 1) && !clock.sent_at(IncarnationId{7}, 0));
  for (int count = 0; count < 200; ++count)
    clock.record_request(start + 1s);
  cr_expect(!clock.sent_at(IncarnationId{7}, first), "only the newest requests are remembered");
}

Test(term_fence, a_broker_that_knows_a_new_term_rejects_the_former_leader) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1", "new:1", "other:1"}, start);
  std::uint64_t token = selector.begin_requests(start);
  cr_expect(
      selector
          .handle_heartbeat("old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 10ms)
          .is_authoritative);
  // One more reply of the former leader stays in a buffer for twenty seconds.
  const ControlHeartbeat late = heartbeat_of(1, true, IncarnationId{7}, token);
  token = selector.begin_requests(start + 20s);
  cr_expect(!selector
                 .handle_heartbeat("other:1", heartbeat_of(2, false, IncarnationId{7}, token),
                                   start + 20010ms)
                 .is_authoritative,
            "a follower announces the new term");
  const ControlSourceSelector::HeartbeatResult thawed =
      selector.handle_heartbeat("old:1", late, start + 20020ms);
  cr_expect(!thawed.is_authoritative && !thawed.request_sent_at);
  // It also answers the newest request, before it learns that it does not lead any more.
  cr_expect(!selector
                 .handle_heartbeat("old:1", heartbeat_of(1, true, IncarnationId{7}, token),
                                   start + 20030ms)
                 .is_authoritative);
  cr_expect(selector
                .handle_heartbeat("new:1", heartbeat_of(2, true, IncarnationId{7}, token),
                                  start + 20040ms)
                .is_authoritative);
  for (const auto& [address, source] : selector.sources())
    cr_expect(selector.is_leader(source) == (address == "new:1"));
}

// A broker that hears nobody but the former leader: a reply is as old as its request.
Test(term_fence, a_reply_delayed_in_a_buffer_neither_confirms_nor_steers) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.begin_requests(start);
  selector.begin_requests(start + 20s);
  const ControlSourceSelector::HeartbeatResult reply = selector.handle_heartbeat(
      "old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 20s);
  cr_expect(!reply.is_authoritative && !reply.request_sent_at &&
            !selector.is_confirmed("old:1", start + 20s));
  cr_expect(!selector
                 .handle_heartbeat("old:1", heartbeat_of(1, true, IncarnationId{6}, token + 1),
                                   start + 20s)
                 .request_sent_at,
            "addressed to a former incarnation");
  cr_expect(selector
                .handle_heartbeat("old:1", heartbeat_of(1, true, IncarnationId{7}, token + 1),
                                  start + 20s)
                .request_sent_at == start + 20s);
}

Test(term_fence, a_retry_grant_counts_from_the_request_it_answers) {
  ControlSourceSelector selector({"here", "north", Duration(400), Duration(2000)}, IncarnationId{7},
                                 start);
  selector.set_seeds({"old:1"}, start);
  const std::uint64_t token = selector.begin_requests(start);
  selector.begin_requests(start + 1900ms);  // the reply below does not answer this newest request
  const ControlSourceSelector::HeartbeatResult reply = selector.handle_heartbeat(
      "old:1", heartbeat_of(1, true, IncarnationId{7}, token), start + 1950ms);
  cr_assert(reply.is_authoritative && reply.request_sent_at);
  RetryQuota quota;
  quota.update(7, valid, *reply.request_sent_at);
  cr_expect(quota.available(start + 1999ms) == 7 && quota.available(start + 2001ms) == 0);
}

namespace {

// A leader is suspended for twenty seconds at some point of its heartbeat interval. Meanwhile the
// requests of a broker that reaches nobody else pile up at it, and the others elect a new leader.
struct SuspendedLeader {
  explicit SuspendedLeader(int point) {
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(Duration(1000 + point * 13));
    address = cluster.leader();
    term = cluster.at(address).raft->term();
    suspended.emplace(*cluster.at(address).raft);
    suspended_at = cluster.now();
    cluster.stop(address);
  }

  // Sends fifty requests and notes when another leader was elected.
  void pile_up_requests() {
    for (int request = 0; request < 50; ++request) {
      tokens.push_back(requests.record_request(cluster.now()));
      for (int step = 0; step < 80; ++step) {
        cluster.run(5ms);
        if (!elected_at && cluster.has_leader() && cluster.leader() != address)
          elected_at = cluster.now();
      }
    }
    cr_assert(elected_at && cluster.at(cluster.leader()).raft->term() > term);
  }

  // The resumed leader answers them all. It read the clock for the first one just before it was
  // suspended, for the others after it. Returns how many it granted a lease.
  int answer_requests() {
    LeaseTable leases(lease, takeover_wait);
    RetryQuotaAllocator allocator(56, valid, window);
    leases.start_term(suspended_at - 60s);
    allocator.set_leading(true, suspended_at - 60s);
    int granted = 0;
    std::size_t next = 0;
    TimePoint clock = suspended_at;
    const auto receive = [&]() -> std::optional<std::size_t> {
      return next < tokens.size() ? std::optional(next++) : std::nullopt;
    };
    const auto read_clock = [&] {
      return std::exchange(clock, cluster.now());
    };
    const auto handle = [&](std::size_t which, TimePoint now) {
      if (!suspended->is_leased(now))
        return;
      ++granted;
      leases.record("broker", IncarnationId{7}, 1, now);
      const Duration duration = leases.grant("broker", IncarnationId{7}, now);
      const TimePoint requested_at = *requests.sent_at(IncarnationId{7}, tokens[which]);
      lease_until = std::max(lease_until, requested_at + duration);
      quota.update(allocator.grant("broker", IncarnationId{7}, 1, now), valid, requested_at);
    };
    handle_each(100, receive, read_clock, handle);
    return granted;
  }

  Cluster cluster{3};
  std::string address;
  Term term;
  std::optional<RaftNode> suspended;  // its state as of `suspended_at`
  TimePoint suspended_at{};
  RequestClock requests{IncarnationId{7}};  // of the broker
  std::vector<std::uint64_t> tokens;        // of its requests, none of them answered yet
  std::optional<TimePoint> elected_at;      // the new leader
  TimePoint lease_until{};                  // as the broker counts it
  RetryQuota quota;                         // of that broker
};

}  // namespace

Test(term_fence, no_grant_of_a_frozen_leader_outlasts_the_next_leaders_takeover) {
  int granted = 0;
  for (int point = 0; point < 24; ++point) {
    SuspendedLeader former(point);
    former.pile_up_requests();
    LeaseTable leases(lease, takeover_wait);
    RetryQuotaAllocator allocator(56, valid, window);
    leases.start_term(*former.elected_at);
    allocator.set_leading(true, *former.elected_at);
    granted += former.answer_requests();
    cr_expect(former.suspended->is_leader(), "it does not know of the new term yet");
    for (TimePoint now = *former.elected_at; now < *former.elected_at + 30s; now += 50ms) {
      if (!leases.has_lease_before(2, now))
        cr_assert(now >= former.lease_until, "point %d: the new leader acts during a former lease",
                  point);
      if (allocator.grant("other", IncarnationId{8}, 1, now) > 0)
        cr_assert(former.quota.available(now) == 0, "point %d: retries are granted twice", point);
    }
  }
  cr_expect(granted == 24, "only what was read before the suspension is granted: %d", granted);
}

// Frames of a holder's former incarnation arrive between those of its successor.
Test(term_fence, a_late_frame_of_a_former_incarnation_ends_no_lease) {
  LeaseTable leases(lease, takeover_wait);
  leases.start_term(start - 60s);
  leases.record("pooler", IncarnationId{1}, 5, start);
  leases.grant("pooler", IncarnationId{1}, start);
  leases.record("pooler", IncarnationId{2}, 4, start + 100ms);
  cr_expect(leases.grant("pooler", IncarnationId{2}, start + 100ms) == lease);
  leases.record("pooler", IncarnationId{1}, 5, start + 200ms);
  leases.grant("pooler", IncarnationId{1}, start + 200ms);
  cr_expect(leases.has_lease_before(5, start + 300ms), "the new incarnation acts by revision 4");
  leases.record("pooler", IncarnationId{2}, 5, start + 400ms);
  cr_expect(!leases.has_lease_before(5, start + 500ms));
  leases.record("other", IncarnationId{1}, 4, start);
  leases.grant("other", IncarnationId{1}, start);
  leases.record("other", IncarnationId{2}, 5, start + 500ms);
  cr_expect(!leases.has_lease_before(5, start + 600ms), "a former incarnation has no lease");
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
