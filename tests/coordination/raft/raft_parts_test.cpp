// The parts of a Raft node, each by itself: quorums, the outbox, progress, elections, requests.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>

#include "coordination/raft/election.h"
#include "coordination/raft/heartbeat_rounds.h"
#include "coordination/raft/pending_requests.h"
#include "coordination/raft/persistent_outbox.h"
#include "coordination/raft/quorum.h"
#include "coordination/raft/replication_progress.h"
#include "protocol/raft_messages.h"

using namespace saddlewing;

namespace {

constexpr Duration heartbeat_interval{150};
constexpr Duration election_timeout{700};
const TimePoint start = TimePoint{} + 1000s;

std::vector<Member> members_of(std::initializer_list<std::uint64_t> ids) {
  std::vector<Member> members;
  for (const std::uint64_t id : ids)
    members.push_back({MemberId{id}, "10.0.0." + std::to_string(id) + ":7"});
  return members;
}

RaftMessage message_in(Term term) {
  RaftMessage message;
  message.term = term;
  return message;
}

// A reply that names its sender's last entry, on disk or not.
RaftMessage reply_naming(Term term, Index index, std::uint64_t heartbeat_round, bool is_on_disk) {
  RaftMessage reply = message_in(term);
  reply.type = RaftMessage::Type::append_entries_reply;
  reply.last_log_term = term;
  reply.last_log_index = index;
  reply.heartbeat_round = heartbeat_round;
  reply.is_granted = is_on_disk;
  return reply;
}

EntryDeltaSnapshot delta_of(Index index, std::size_t chunk_count) {
  auto delta = std::make_shared<EntryDelta>();
  delta->header.index = index;
  delta->bytes.assign(chunk_count * chunk_bytes, 'x');
  delta->header.total = delta->bytes.size();
  return delta;
}

std::size_t send_all(ReplicationProgress& progress, TimePoint now) {
  std::size_t sent = 0;
  for (; progress.has_chunk_to_send(); ++sent)
    progress.take_chunk(now);
  return sent;
}

}  // namespace

Test(raft_quorum, a_joint_configuration_needs_a_majority_of_both_lists) {
  Entry entry;
  entry.members = members_of({3, 4, 5});
  const auto has = [](std::initializer_list<std::uint64_t> ids) {
    return [ids = std::vector<std::uint64_t>(ids)](MemberId id) {
      return std::find(ids.begin(), ids.end(), id.value) != ids.end();
    };
  };
  cr_expect(is_quorum(entry, has({3, 4})));
  cr_expect(!is_quorum(entry, has({3})));
  entry.outgoing = members_of({1, 2, 3});
  cr_expect(!is_quorum(entry, has({3, 4})), "one of the outgoing members alone");
  cr_expect(!is_quorum(entry, has({1, 2, 3})), "one of the new members alone");
  cr_expect(is_quorum(entry, has({2, 3, 4})));
}

Test(raft_quorum, the_time_of_a_quorum_is_the_latest_that_a_majority_reached) {
  std::map<std::uint64_t, TimePoint> times{{1, start + 30ms}, {2, start + 10ms}};
  const auto time_of = [&](MemberId id) {
    return times[id.value];
  };
  Entry entry;
  entry.members = members_of({1, 2, 3});
  cr_expect(latest_quorum_time(entry, time_of) == start + 10ms);
  times[3] = start + 20ms;
  cr_expect(latest_quorum_time(entry, time_of) == start + 20ms);
  entry.outgoing = members_of({2, 4, 5});
  cr_expect(latest_quorum_time(entry, time_of) == TimePoint{}, "no majority of the outgoing");
  times[4] = start + 5ms;
  cr_expect(latest_quorum_time(entry, time_of) == start + 5ms, "the earlier of both lists");
}

Test(raft_outbox, a_durable_message_waits_for_the_save_of_its_own_time) {
  PersistentOutbox outbox;
  outbox.push("a", message_in({1}), true);
  const auto first = outbox.begin_save(start);
  cr_assert(first.has_value());
  cr_expect(!outbox.begin_save(start), "one save runs at a time");
  outbox.mark_state_changed();
  outbox.push("b", message_in({1}), true);
  outbox.push("c", message_in({1}), false);
  auto sendable = outbox.take_sendable({1});
  cr_assert(sendable.size() == 1);
  cr_expect(sendable[0].to == "c");
  outbox.finish_save(*first, true, start);
  sendable = outbox.take_sendable({1});
  cr_assert(sendable.size() == 1);
  cr_expect(sendable[0].to == "a", "b relies on a change after that save began");
  cr_expect(!outbox.is_state_saved());
  const auto second = outbox.begin_save(start);
  cr_assert(second.has_value());
  outbox.finish_save(*second, true, start);
  sendable = outbox.take_sendable({1});
  cr_assert(sendable.size() == 1);
  cr_expect(sendable[0].to == "b");
  cr_expect(outbox.is_state_saved() && !outbox.begin_save(start));
}

Test(raft_outbox, a_waiting_message_of_an_older_term_is_dropped) {
  PersistentOutbox outbox;
  outbox.push("a", message_in({1}), true);
  outbox.push("b", message_in({2}), true);
  cr_expect(outbox.take_sendable({2}).empty());
  outbox.finish_save(*outbox.begin_save(start), true, start);
  const auto sendable = outbox.take_sendable({2});
  cr_assert(sendable.size() == 1);
  cr_expect(sendable[0].to == "b");
}

Test(raft_outbox, a_failed_save_is_tried_again_after_a_while) {
  PersistentOutbox outbox;
  const auto serial = outbox.begin_save(start);
  cr_assert(serial.has_value());
  cr_expect(!outbox.is_stalled(700ms, start + 700ms) && outbox.is_stalled(700ms, start + 701ms));
  outbox.finish_save(*serial, false, start);
  cr_expect(outbox.is_save_failing() && !outbox.is_entry_saved());
  cr_expect(!outbox.begin_save(start + 299ms));
  cr_expect(outbox.begin_save(start + 300ms).has_value());
}

Test(raft_progress, only_what_is_on_disk_counts_as_matched) {
  ReplicationProgress progress;
  progress.handle_reply(reply_naming({4}, {9}, 1, false), {4}, heartbeat_interval, start);
  cr_expect(progress.has_acknowledged_entry({4}, {9}) && progress.match_index == Index{0});
  progress.handle_reply(reply_naming({4}, {9}, 1, true), {4}, heartbeat_interval, start);
  cr_expect(progress.match_index == Index{9});
  progress.handle_reply(reply_naming({3}, {12}, 2, true), {4}, heartbeat_interval, start);
  cr_expect(progress.match_index == Index{9}, "an entry of another term counts for nothing");
}

Test(raft_progress, a_reply_to_a_newer_heartbeat_may_name_an_older_entry) {
  ReplicationProgress progress;
  progress.handle_reply(reply_naming({4}, {9}, 5, false), {4}, heartbeat_interval, start);
  progress.handle_reply(reply_naming({4}, {8}, 5, false), {4}, heartbeat_interval, start);
  cr_expect(progress.acknowledged_index() == Index{9}, "of the same round: it came late");
  progress.handle_reply(reply_naming({4}, {8}, 6, false), {4}, heartbeat_interval, start);
  cr_expect(progress.acknowledged_index() == Index{8}, "it restarted before its save ended");
}

Test(raft_progress, the_window_grows_with_quick_replies_and_shrinks_when_chunks_are_lost) {
  ReplicationProgress progress;
  progress.start_delta(delta_of({9}, 100));
  cr_expect(send_all(progress, start) == 4);
  RaftMessage reply = reply_naming({4}, {8}, 1, false);
  reply.chunk_entry_index = {9};
  reply.chunk_end_offset = chunk_bytes;
  progress.handle_reply(reply, {4}, heartbeat_interval, start + 10ms);
  cr_expect(send_all(progress, start + 10ms) == 2, "one acknowledged, and one more in flight");
  progress.resend_if_stalled(heartbeat_interval, start + 460ms);
  cr_expect(!progress.has_chunk_to_send(), "three heartbeats are not over");
  progress.resend_if_stalled(heartbeat_interval, start + 461ms);
  cr_assert(progress.has_chunk_to_send());
  cr_expect(progress.take_chunk(start + 461ms).offset == chunk_bytes, "from what was reported");
  cr_expect(send_all(progress, start + 461ms) == 2, "half of five chunks, rounded up");
}

Test(raft_progress, a_follower_that_cannot_use_its_base_gets_the_full_entry) {
  ReplicationProgress progress;
  progress.handle_reply(reply_naming({4}, {8}, 1, true), {4}, heartbeat_interval, start);
  progress.start_delta(delta_of({9}, 1));
  RaftMessage refusal = reply_naming({4}, {8}, 2, true);
  refusal.wants_full_entry = true;
  progress.handle_reply(refusal, {4}, heartbeat_interval, start);
  cr_expect(progress.should_send_full_entry() && !progress.delta());
  progress.handle_reply(reply_naming({4}, {9}, 3, true), {4}, heartbeat_interval, start);
  cr_expect(!progress.should_send_full_entry());
}

Test(raft_election, timeouts_lie_between_the_minimum_and_its_double) {
  Election election(election_timeout, heartbeat_interval, 1);
  for (int count = 0; count < 1000; ++count) {
    election.reset_timer(true, start);
    cr_assert(election.deadline() >= start + 700ms && election.deadline() < start + 1400ms);
  }
  for (int count = 0; count < 1000; ++count) {
    election.reset_timer(false, start);
    cr_assert(election.deadline() >= start + 75ms && election.deadline() < start + 375ms,
              "without a leader: half a heartbeat, and two heartbeats at most on top");
  }
  for (int count = 0; count < 10; ++count)
    election.count_attempt();
  election.reset_timer(false, start);
  cr_expect(election.deadline() >= start + 700ms, "attempts that led nowhere wait longer");
}

Test(raft_requests, a_proposal_is_done_with_its_entry_and_fails_with_the_leadership) {
  PendingRequests requests;
  Entry entry;
  entry.version = {5};
  requests.add_configuration({5}, "same", 1);
  cr_expect(!requests.has_change_to(entry.version));
  requests.add_configuration({6}, "six", 2);
  requests.add_document("ring", "text", 3);
  cr_expect(requests.has_change_to(entry.version));
  requests.apply_to(entry);
  cr_expect(entry.version == Version{6} && entry.body == "six");
  cr_expect(entry.documents["ring"] == "text" && !requests.has_proposals());
  requests.finish_in_flight();
  auto results = requests.take_results();
  cr_assert(results.size() == 3);
  cr_expect(results[0].token == 1 && results[2].outcome == RequestOutcome::done);
  requests.add_document("ring", "other", 4);
  requests.add_read(5, 7);
  requests.fail_all();
  results = requests.take_results();
  cr_assert(results.size() == 2);
  cr_expect(results[0].token == 4 && results[1].token == 5);
  cr_expect(results[1].outcome == RequestOutcome::failed && requests.take_results().empty());
}

Test(raft_requests, a_read_waits_for_its_own_heartbeat_round) {
  PendingRequests requests;
  requests.add_read(1, 7);
  requests.add_read(2, 8);
  const auto state = std::make_shared<const Entry>();
  requests.finish_reads([](std::uint64_t round) { return round <= 7; }, state);
  const auto results = requests.take_results();
  cr_assert(results.size() == 1);
  cr_expect(results[0].token == 1 && results[0].state == state);
}

Test(raft_heartbeats, a_round_too_old_to_be_remembered_has_no_time) {
  HeartbeatRounds rounds;
  for (int count = 0; count < 65; ++count)
    rounds.begin(heartbeat_interval, start + Duration(count));
  cr_expect(rounds.current() == 65 && rounds.next_due() == start + 64ms + heartbeat_interval);
  cr_expect(!rounds.sent_at(1));
  cr_assert(rounds.sent_at(2));
  cr_expect(*rounds.sent_at(2) == start + 1ms);
}
