// The bytes of what frames carry as text of its own, against fixtures: edges, loads of the ring,
// places in logs, entries.
#include "coordination/databases/log_position_samples.h"
#include "coordination/placement/ring_load_monitor.h"
#include "coordination/raft/entry_delta.h"
#include "coordination/routing/edge_latency.h"
#include "coordination/routing/record_merge.h"
#include "protocol/database_protocol.h"
#include "protocol/fixture_files.h"
#include "protocol/raft_messages.h"
#include "state/compression.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::string carried(const std::string& name) {
  return "carried/" + name + ".bin";
}

using EdgeRows = std::map<EdgeName, EdgeCount>;

bool is_same(const EdgeRows& left, const EdgeRows& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const auto& one, const auto& other) {
                      const EdgeCount &count = one.second, &second = other.second;
                      return one.first == other.first && count.times == second.times &&
                             count.failures == second.failures && count.busy_ms == second.busy_ms;
                    });
}

EdgeRows edge_rows() {
  EdgeRows rows;
  EdgeCount& light = rows[{"search", "zone 1", EdgeClass::light}];
  light.times[0] = 1;
  light.times[5] = 127;
  light.times[23] = 128;
  light.failures = 3;
  light.busy_ms = 70000;
  EdgeCount& heavy = rows[{"search", "zone 2", EdgeClass::heavy}];
  heavy.times[7] = 20000;
  heavy.busy_ms = 1;
  rows[{"", "north", EdgeClass::light}].times[2] = 9;
  return rows;
}

bool is_same(const EdgeView& left, const EdgeView& right) {
  return left.revision == right.revision && left.trial_brokers == right.trial_brokers &&
         std::equal(left.states.begin(), left.states.end(), right.states.begin(),
                    right.states.end(), [](const EdgeState& one, const EdgeState& other) {
                      return one.service == other.service && one.zone == other.zone &&
                             one.region == other.region && one.verdict == other.verdict &&
                             one.percent_kept == other.percent_kept && one.reason == other.reason;
                    });
}

bool is_same(const RingLoad& left, const RingLoad& right) {
  return left.attempts == right.attempts && left.busy_ms == right.busy_ms &&
         left.bytes == right.bytes;
}

Entry entry_of(std::uint64_t index, std::string body) {
  Entry entry;
  entry.term = {601};
  entry.index = {index};
  entry.version = {602};
  entry.body = std::move(body);
  entry.members = {{MemberId{603}, "10.0.0.1:7400"}, {MemberId{604}, "10.0.0.2:7400"}};
  entry.outgoing = {{MemberId{605}, "10.0.0.3:7400"}};
  entry.core_size = 3;
  entry.documents = {{"fleet", "12345678"}, {"leads", "a table"}};
  return entry;
}

bool is_same(const Entry& left, const Entry& right) {
  return left.term == right.term && left.index == right.index && left.version == right.version &&
         left.body == right.body && left.members == right.members &&
         left.outgoing == right.outgoing && left.core_size == right.core_size &&
         left.documents == right.documents;
}

// The chunk as a receiver takes it whole, on what it holds.
ChunkAssembler::Result assemble(EntryChunk chunk, std::string bytes,
                                const EntrySnapshot& last_entry, EntrySnapshot& entry) {
  chunk.bytes = std::move(bytes);
  chunk.total = chunk.bytes.size();
  ChunkAssembler assembler;
  return assembler.add(chunk, last_entry, entry);
}

void check_assembly(const std::string& name, const EntryChunk& head,
                    const EntrySnapshot& last_entry, const Entry& expected) {
  const std::string bytes = read_fixture(carried(name));
  EntrySnapshot read;
  cr_assert(assemble(head, bytes, last_entry, read) == ChunkAssembler::Result::complete, "%s",
            name.c_str());
  cr_expect(is_same(*read, expected), "%s", name.c_str());
  const auto decodes = [&](const std::string& some) {
    EntrySnapshot entry;
    return assemble(head, some, last_entry, entry) == ChunkAssembler::Result::complete;
  };
  expect_prefixes_refused(name, bytes, decodes);
  decode_random_bytes({}, bytes, decodes);
}

}  // namespace

Test(carried_format, edge_counts) {
  const EdgeRows rows = edge_rows();
  expect_fixture(carried("edge_counts_full"), encode_edges(rows));
  expect_fixture(carried("edge_counts_empty"), encode_edges({}));
  const std::string bytes = read_fixture(carried("edge_counts_full"));
  EdgeRows decoded, none;
  cr_expect(decode_edges(bytes, 100, decoded) && is_same(decoded, rows));
  cr_expect(decode_edges(read_fixture(carried("edge_counts_empty")), 100, none) && none.empty());
  const auto decodes = [](const std::string& some) {
    EdgeRows read;
    return decode_edges(some, 100, read);
  };
  expect_prefixes_refused("edge_counts_full", bytes, decodes);
  decode_random_bytes({}, bytes, decodes);
}

Test(carried_format, edge_view) {
  using Verdict = EdgeState::Verdict;
  EdgeView view;
  view.revision = 611;
  view.trial_brokers = 612;
  view.states = {{"search", "zone 1", "north", Verdict::allowed, 100, ""},
                 {"search", "zone 2", "south", Verdict::preferred, 0, "near"},
                 {"", "south", "north", Verdict::avoided, 61, "slow"}};
  expect_fixture(carried("edge_view_full"), encode_view(view));
  expect_fixture(carried("edge_view_empty"), encode_view(EdgeView{}));
  const std::string bytes = read_fixture(carried("edge_view_full"));
  EdgeView decoded, none;
  cr_expect(decode_view(bytes, decoded) && is_same(decoded, view));
  cr_expect(decode_view(read_fixture(carried("edge_view_empty")), none) &&
            is_same(none, EdgeView{}));
  const auto decodes = [](const std::string& some) {
    EdgeView read;
    return decode_view(some, read);
  };
  expect_prefixes_refused("edge_view_full", bytes, decodes);
  decode_random_bytes({}, bytes, decodes);
}

Test(carried_format, ring_loads) {
  const std::vector<std::pair<VirtualNode, RingLoad>> loads{{621, {622, 623.5, 624}},
                                                            {625, {626, 627, 628}}};
  expect_fixture(carried("ring_loads_full"), encode_loads(loads));
  expect_fixture(carried("ring_loads_empty"), encode_loads({}));
  const std::string bytes = read_fixture(carried("ring_loads_full"));
  std::vector<std::pair<VirtualNode, RingLoad>> decoded;
  cr_assert(decode_loads(bytes, decoded) && decoded.size() == 2);
  for (std::size_t position = 0; position < 2; ++position)
    cr_expect(decoded[position].first == loads[position].first &&
              is_same(decoded[position].second, loads[position].second));
  const auto decodes = [](const std::string& some) {
    std::vector<std::pair<VirtualNode, RingLoad>> read;
    return decode_loads(some, read);
  };
  expect_prefixes_refused("ring_loads_full", bytes, decodes, {0, 32});
  decode_random_bytes({}, bytes, decodes);
}

Test(carried_format, account_loads) {
  const std::vector<std::pair<std::string, RingLoad>> loads{{"alice", {632, 633.5, 634}},
                                                            {"bob", {636, 637, 638}}};
  expect_fixture(carried("account_loads_full"), encode_account_loads(loads));
  expect_fixture(carried("account_loads_empty"), encode_account_loads({}));
  const std::string bytes = read_fixture(carried("account_loads_full"));
  std::vector<std::pair<std::string, RingLoad>> decoded;
  cr_assert(decode_account_loads(bytes, decoded) && decoded.size() == 2);
  for (std::size_t position = 0; position < 2; ++position)
    cr_expect(decoded[position].first == loads[position].first &&
              is_same(decoded[position].second, loads[position].second));
  const auto decodes = [](const std::string& some) {
    std::vector<std::pair<std::string, RingLoad>> read;
    return decode_account_loads(some, read);
  };
  expect_prefixes_refused("account_loads_full", bytes, decodes, {0, 8 + 5 + 24});
  decode_random_bytes({}, bytes, decodes);
}

Test(carried_format, log_positions) {
  const TimePoint now{3600s};
  LogPositionSamples samples;
  samples.record("orders", 641, {642, 643}, now - 300ms);
  samples.record("users", 644, {645, 646}, now - 50ms);
  expect_fixture(carried("log_positions_full"), samples.encode(now, 10s));
  expect_fixture(carried("log_positions_empty"), LogPositionSamples{}.encode(now, 10s));
  const std::string bytes = read_fixture(carried("log_positions_full"));
  LogPositionSamples read;
  cr_assert(read.merge(bytes, now));
  const LogPosition place_of_orders{642, 643}, place_of_users{645, 646};
  cr_expect(read.find("orders", 641, now - 301ms) == place_of_orders &&
            !read.find("orders", 641, now - 300ms).is_known());
  cr_expect(read.find("users", 644, now - 51ms) == place_of_users &&
            !read.find("users", 644, now - 50ms).is_known());
  const auto decodes = [&](const std::string& some) {
    LogPositionSamples taken;
    return taken.merge(some, now);
  };
  expect_prefixes_refused("log_positions_full", bytes, decodes, {0, 8 + 6 + 32});
  decode_random_bytes({}, bytes, decodes);
}

Test(carried_format, entries_whole_and_as_changes) {
  const auto base = std::make_shared<const Entry>(entry_of(651, "body of the first entry"));
  const auto next = std::make_shared<const Entry>(entry_of(652, "body of the second entry"));
  const EntryContentSnapshot base_content = make_entry_content(base),
                             next_content = make_entry_content(next);
  expect_fixture(carried("entry_documents"), next_content->documents);
  const EntryDeltaSnapshot whole = make_delta(*next_content, nullptr);
  expect_fixture(carried("entry_whole"), whole->bytes);
  check_assembly("entry_whole", whole->header, std::make_shared<const Entry>(), *next);
  const EntryDeltaSnapshot change = make_delta(*next_content, base_content.get());
  expect_fixture(carried("entry_change"), change->bytes);
  check_assembly("entry_change", change->header, base, *next);
}

// Packed bytes are the library's, which may pack otherwise in another release; all that counts is
// what is unpacked.
Test(carried_format, packed_entries_and_texts) {
  const Entry large = entry_of(653, std::string(2000, 'x') + "end");
  const EntryDeltaSnapshot whole =
      make_delta(*make_entry_content(std::make_shared<const Entry>(large)), nullptr);
  check_assembly("entry_packed", whole->header, std::make_shared<const Entry>(), large);
  const std::string packed = read_fixture(carried("packed_text"));
  std::string text;
  cr_expect(unpack(packed, 4096, text) && text == std::string(3000, 'y') + "end");
  const auto decodes = [](const std::string& some) {
    std::string unpacked;
    return unpack(some, 4096, unpacked);
  };
  decode_random_bytes({}, packed, decodes);
}

// Records of a gather: each its sixteen bytes, the greatest first.
Test(carried_format, gathered_records) {
  TopRecords best(2);
  best.add(
      "0000000000000001"
      "0000000000000003"
      "0000000000000002"
      "rest");
  expect_fixture(carried("gathered_records"), best.take());
}
