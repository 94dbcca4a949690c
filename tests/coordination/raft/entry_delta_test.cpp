// Entries on their way: chunks, bases, digests; members that catch up while large changes follow
// each other.
#include <criterion/criterion.h>

#include "coordination/raft/raft_cluster_fixture.h"
#include "protocol/raft_messages.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

EntrySnapshot entry_of(std::uint64_t index, const std::string& body,
                       const std::string& document = {}) {
  auto entry = std::make_shared<Entry>();
  entry->term = {4};
  entry->index = {index};
  entry->version = {static_cast<std::int64_t>(index)};
  entry->body = body;
  if (!document.empty())
    entry->documents["ring"] = document;
  entry->members = {{MemberId{5}, "10.0.0.1:7"}};
  entry->outgoing = {{MemberId{6}, "10.0.0.2:7"}};
  entry->core_size = 3;
  return entry;
}

// Does not pack.
std::string noise(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 draw(seed);
  std::string text(size, ' ');
  for (char& letter : text)
    letter = static_cast<char>('!' + draw() % 90);
  return text;
}

// A configuration of so many bytes in which one route differs by its version, in the middle.
std::string large_body(std::size_t size, std::int64_t version) {
  static std::map<std::size_t, std::string> made;
  std::string& body = made[size];
  if (body.empty())
    body = noise(size, size);
  std::string changed = body;
  const std::string number = "route-" + std::to_string(version) + ";";
  changed.replace(size / 2, number.size(), number);
  return changed;
}

bool is_same(const Entry& left, const Entry& right) {
  return left.term == right.term && left.index == right.index && left.version == right.version &&
         left.body == right.body && left.documents == right.documents &&
         left.members == right.members && left.outgoing == right.outgoing &&
         left.core_size == right.core_size;
}

}  // namespace

Test(entry_change, only_what_differs_travels) {
  const auto before = make_entry_content(entry_of(7, large_body(300000, 7), "sheet")),
             after = make_entry_content(entry_of(8, large_body(300000, 8), "other sheet"));
  const auto delta = make_delta(*after, before.get());
  cr_expect(delta->bytes.size() < 64,
            "two places, in the configuration and in a sheet: what differs travels, no more");
  const auto document_alone =
      make_delta(*make_entry_content(entry_of(8, large_body(300000, 7), "other")), before.get());
  cr_expect(document_alone->bytes.size() < 64);
  ChunkAssembler assembler;
  EntrySnapshot entry;
  auto result = ChunkAssembler::Result::incomplete;
  for (std::uint64_t offset = 0; offset < delta->bytes.size(); offset += chunk_bytes) {
    cr_assert(result == ChunkAssembler::Result::incomplete);
    result = assembler.add(delta->chunk(offset), before->entry, entry);
  }
  cr_assert(result == ChunkAssembler::Result::complete);
  cr_expect(is_same(*entry, *after->entry));
}

// Each chunk lost, doubled, late or damaged in turn: never a wrong entry.
Test(entry_change, a_piece_that_is_lost_doubled_or_damaged_brings_no_wrong_entry) {
  const auto next = make_entry_content(entry_of(8, noise(70000, 3)));
  const auto delta = make_delta(*next, nullptr);
  const std::size_t count = (delta->bytes.size() + chunk_bytes - 1) / chunk_bytes;
  for (std::size_t position = 0; position < count; ++position)
    for (int fault = 0; fault < 5; ++fault) {
      ChunkAssembler assembler;
      EntrySnapshot entry;
      auto last = ChunkAssembler::Result::incomplete;
      bool is_complete = false;
      for (std::size_t at = 0; at < count; ++at) {
        EntryChunk chunk = delta->chunk(at * chunk_bytes);
        if (at == position && fault == 0)
          continue;  // lost
        if (at == position && fault == 1)
          last = assembler.add(chunk, next->entry, entry);  // doubled
        if (at == position && fault == 2)
          chunk.bytes[chunk.bytes.size() / 2] ^= 1;  // damaged
        if (at == position && fault == 3)
          chunk.bytes.pop_back();  // ends early
        if (at == position && fault == 4)
          chunk.offset += 1;
        last = assembler.add(chunk, next->entry, entry);
        if (!entry)
          continue;
        is_complete = true;
        cr_expect(is_same(*entry, *next->entry));
      }
      cr_expect(is_complete == (fault == 1), "piece %zu, strike %d", position, fault);
      if (fault == 2)
        cr_expect(last == ChunkAssembler::Result::unusable && assembler.digest_mismatches() == 1);
    }
}

Test(entry_change, one_that_builds_on_another_entry_is_asked_for_whole) {
  const auto base = make_entry_content(entry_of(7, "seven, seven")),
             next = make_entry_content(entry_of(8, "seven, eight"));
  ChunkAssembler assembler;
  EntrySnapshot entry;
  cr_expect(assembler.add(make_delta(*next, base.get())->chunk(0), entry_of(6, "six"), entry) ==
            ChunkAssembler::Result::unusable);
  // The same term and index, and yet another content: the digest tells.
  cr_expect(assembler.add(make_delta(*next, base.get())->chunk(0), entry_of(7, "never, seven"),
                          entry) == ChunkAssembler::Result::unusable);
  cr_expect(assembler.add(make_delta(*next, nullptr)->chunk(0), entry_of(6, "six"), entry) ==
            ChunkAssembler::Result::complete);
}

// A follower says that it holds an entry before its disk has it, and its process ends there: the
// leader sends it again.
Test(entry_change, an_entry_that_ended_with_the_process_before_its_sync_is_sent_again) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.run(500ms);
  const std::string leader = cluster.leader();
  std::vector<std::string> others;
  for (const std::string& founder : cluster.founders())
    if (founder != leader)
      others.push_back(founder);
  cluster.at(others[0]).is_stuck = true;
  cluster.stop(others[1]);
  const std::uint64_t token = cluster.propose(7, "seven");
  cluster.run(40ms);
  cluster.stop(others[0]);
  cluster.at(others[0]).is_stuck = false;
  cluster.start(others[0]);
  cr_expect(cluster.run_until(
      [&] { return cluster.is_done(leader, token) && cluster.body_at(others[0]) == "seven"; },
      1000ms));
}

// What a follower holds has rotted under the same term and index: a difference never matches there,
// so it gets the whole.
Test(entry_change, a_base_that_does_not_match_is_followed_by_the_whole) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  const std::string leader = cluster.leader();
  cluster.propose(7, "seven, seven");
  cluster.run(500ms);
  std::string rotten;
  for (const std::string& founder : cluster.founders())
    if (founder != leader)
      rotten = founder;
  cluster.stop(rotten);
  auto entry = std::make_shared<Entry>(*cluster.at(rotten).disk.entry);
  entry->body = "never, seven";
  cluster.at(rotten).disk.entry = entry;
  cluster.start(rotten);
  cluster.run(300ms);
  cluster.propose(8, "seven, eight");
  cr_expect(cluster.run_until([&] { return cluster.body_at(rotten) == "seven, eight"; }, 1000ms));
}

// The receiver's process ends while an entry is on its way to it, at each of several places: it
// gets the whole all the same.
Test(entry_change, an_entry_on_its_way_is_sent_anew_to_a_receiver_that_began_anew) {
  for (Duration after(20); after <= Duration(320); after += Duration(60)) {
    Cluster cluster(3);
    cluster.bytes_per_ms = 1000;
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(500ms);
    const std::string leader = cluster.leader();
    cluster.propose(7, noise(400000, 7));
    cluster.run(after);
    std::string away;
    for (const std::string& founder : cluster.founders())
      if (founder != leader)
        away = founder;
    cluster.stop(away);
    cluster.start(away);
    cr_expect(cluster.run_until([&] { return cluster.body_at(away) == noise(400000, 7); }, 3000ms),
              "after %d ms", static_cast<int>(after.count()));
  }
}

// A member is away, comes back (with its disk, or wiped, or with a slow one) while changes go on
// and on: it catches up, no beat waits behind what it gets, and it neither leads nor tells old
// state meanwhile.
Test(entry_change, whoever_was_away_catches_up_while_changes_go_on) {
  struct Row {
    std::size_t size;
    int changes;
    std::size_t bytes_per_ms;  // of a way; 1000 is 8 Mbit/s
  };
  for (const Row& row : {Row{4000, 300, 125}, Row{300000, 300, 1000}, Row{4000000, 300, 12500},
                         Row{4000000, 1000, 12500}})
    for (const bool is_wiped : {false, true}) {
      if (row.size == 4000000 && is_wiped == (row.changes == 1000))
        continue;  // one of each is enough
      Cluster cluster(3);
      cluster.bytes_per_ms = row.bytes_per_ms;
      cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
      const std::string leader = cluster.leader();
      std::int64_t version = 1;
      std::uint64_t token = cluster.propose(version, large_body(row.size, version));
      cr_assert(cluster.run_until([&] { return cluster.is_done(leader, token); }, 20000ms));
      std::string away;
      for (const std::string& founder : cluster.founders())
        if (founder != leader)
          away = founder;
      cluster.run(2000ms);
      if (is_wiped)
        cluster.wipe(away);
      else
        cluster.stop(away);
      const Term term = cluster.at(leader).raft->term();
      const auto change = [&] {
        ++version;
        token = cluster.propose(version, large_body(row.size, version));
        cr_assert(cluster.run_until([&] { return cluster.is_done(leader, token); }, 3000ms));
      };
      for (int count = 0; count < row.changes; ++count)
        change();
      const std::uint64_t sent = cluster.chunk_bytes_sent();
      cluster.start(away);
      const TimePoint back = cluster.now();
      TimePoint last_leader_contact = back;
      Duration max_silence{0}, caught_up{0};
      const std::string back_at_version = large_body(row.size, version);
      while (cluster.now() - back < Duration(4000)) {
        change();
        const auto& raft = *cluster.at(away).raft;
        if (raft.leader_address() == leader)
          last_leader_contact = cluster.now();
        max_silence = std::max(max_silence, elapsed(last_leader_contact, cluster.now()));
        cr_assert(raft.role() == RaftNode::Role::follower ||
                  raft.role() == RaftNode::Role::pre_candidate);
        if (caught_up == Duration(0) && raft.committed() &&
            raft.committed()->version.value + 20 > version &&
            std::any_of(cluster.at(leader).raft->committed()->members.begin(),
                        cluster.at(leader).raft->committed()->members.end(),
                        [&](const Member& member) { return member.id == raft.self(); }))
          caught_up = elapsed(back, cluster.now());
      }
      cr_log_info(
          "%zu bytes, %d changes, %zu bytes/ms, %s: caught up after %d ms, %d KB sent meanwhile",
          row.size, row.changes, row.bytes_per_ms, is_wiped ? "wiped" : "with its disk",
          static_cast<int>(caught_up.count()),
          static_cast<int>((cluster.chunk_bytes_sent() - sent) / 1000));
      // The whole travels once, and beyond that what changes.
      cr_expect(cluster.chunk_bytes_sent() - sent < row.size * 3 / 2 + 400000, "%d KB",
                static_cast<int>((cluster.chunk_bytes_sent() - sent) / 1000));
      cr_expect(caught_up > Duration(0), "%zu bytes, %d changes, wiped %d", row.size, row.changes,
                is_wiped);
      cr_expect(max_silence < Duration(700), "%d ms without a leader",
                static_cast<int>(max_silence.count()));
      cr_expect(cluster.leader() == leader && cluster.at(leader).raft->term() == term);
    }
}

// A member whose disk is slow, or stalls for two seconds, while changes follow each other: it holds
// nobody up, is never counted for what it has not synced, and catches up while they go on.
Test(entry_change, a_slow_or_stalled_disk_holds_nobody_up) {
  for (const Duration save_time : {Duration(30), Duration(300), Duration(600), Duration(2000)}) {
    Cluster cluster(3);
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    const std::string leader = cluster.leader();
    std::string slow;
    for (const std::string& founder : cluster.founders())
      if (founder != leader)
        slow = founder;
    auto& node = cluster.at(slow);
    node.save_time = save_time;
    std::int64_t version = 0;
    const TimePoint from = cluster.now();
    while (cluster.now() - from < Duration(5000)) {
      if (cluster.now() - from > Duration(2000) && save_time == Duration(2000))
        node.save_time = Duration(0);  // it stalls no more
      const TimePoint asked = cluster.now();
      const std::uint64_t token = cluster.propose(++version, large_body(300000, version));
      cr_assert(cluster.run_until([&] { return cluster.is_done(leader, token); }, 1000ms));
      cr_expect(cluster.now() - asked < Duration(200), "the other two are a majority");
      cr_assert(node.raft->role() != RaftNode::Role::leader);
      cr_expect(node.disk.entry->index <= node.raft->status(cluster.now()).last,
                "what is on disk is what was held");
    }
    cr_expect(cluster.leader() == leader);
    const std::int64_t behind = version - node.disk.entry->version.value;
    cr_log_info("a save takes %d ms: %d changes, %d behind on disk",
                static_cast<int>(save_time.count()), static_cast<int>(version),
                static_cast<int>(behind));
    cr_expect(behind * 25 < save_time.count() * 2 + 500, "two saves' time behind at most");
    cr_expect(cluster.run_until([&] { return node.disk.entry->version.value == version; },
                                save_time * 2 + 200ms),
              "and level soon after the last");
  }
}
