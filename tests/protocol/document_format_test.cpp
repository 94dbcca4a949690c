// The bytes of the documents in the replicated log, against fixtures: they outlive every process
// and every build.
#include "coordination/placement/shard_migration.h"
#include "coordination/raft/pending_calls.h"
#include "protocol/fixture_files.h"
#include "state/hash_ring.h"
#include "state/leadership_table.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::string document_fixture(const std::string& name) {
  return "documents/" + name + ".bin";
}

auto fields_of(const DatabaseLeadership& lead) {
  return std::tie(lead.service, lead.id, lead.target, lead.phase, lead.is_planned, lead.number,
                  lead.revision, lead.term);
}

void check_leads(const std::string& name, const LeadershipTable& table) {
  expect_fixture(document_fixture(name), encode_leaderships(table));
  const std::string bytes = read_fixture(document_fixture(name));
  LeadershipTable decoded;
  cr_assert(decode_leaderships(bytes, decoded), "%s", name.c_str());
  cr_assert(
      decoded.revision == table.revision && decoded.leaderships.size() == table.leaderships.size(),
      "%s", name.c_str());
  for (std::size_t position = 0; position < table.leaderships.size(); ++position)
    cr_expect(fields_of(decoded.leaderships[position]) == fields_of(table.leaderships[position]),
              "%s: lead %zu", name.c_str(), position);
  const auto decodes = [](const std::string& some) {
    LeadershipTable read;
    return decode_leaderships(some, read);
  };
  expect_prefixes_refused(name, bytes, decodes);
  cr_expect(!decodes(bytes + '\0'), "%s with a byte more", name.c_str());
  decode_random_bytes({}, bytes, decodes);
}

auto fields_of(const RingDocument& document) {
  return std::tie(document.revision, document.file, document.moved, document.moves,
                  document.placed);
}

void check_ring(const std::string& name, const RingDocument& document,
                const std::set<std::size_t>& whole_lengths) {
  const std::string bytes = read_fixture(document_fixture(name));
  RingDocument decoded;
  cr_assert(decode_ring(bytes, decoded), "%s", name.c_str());
  cr_expect(fields_of(decoded) == fields_of(document), "%s", name.c_str());
  const auto decodes = [](const std::string& some) {
    RingDocument read;
    return decode_ring(some, read);
  };
  expect_prefixes_refused(name, bytes, decodes, whole_lengths);
  cr_expect(!decodes(bytes + '\0'), "%s with a byte more", name.c_str());
  decode_random_bytes({}, bytes, decodes);
}

RingDocument full_ring() {
  RingDocument document;
  document.revision = 301;
  document.file = "edition: 1\nrule: accounts\n";
  document.moved = {{302, "shard-a"}, {303, "shard-b"}};
  document.moves = "moves";
  document.placed = {{"alice", "shard-c"}, {"bob", "shard-d"}};
  return document;
}

auto fields_of(const RingMove& move) {
  return std::tie(move.id, move.unit.virtual_node, move.unit.account, move.from, move.to, move.step,
                  move.revision, move.benefit);
}

// The record's lengths are given, for a list may end behind each of them.
void check_moves(const std::string& name, const std::vector<RingMove>& moves,
                 const std::set<std::size_t>& whole_lengths) {
  const std::string bytes = read_fixture(document_fixture(name));
  std::vector<RingMove> decoded;
  cr_assert(decode_moves(bytes, decoded), "%s", name.c_str());
  cr_assert_eq(decoded.size(), moves.size());
  for (std::size_t position = 0; position < moves.size(); ++position)
    cr_expect(fields_of(decoded[position]) == fields_of(moves[position]), "%s: move %zu",
              name.c_str(), position);
  const auto decodes = [](const std::string& some) {
    std::vector<RingMove> read;
    return decode_moves(some, read);
  };
  expect_prefixes_refused(name, bytes, decodes, whole_lengths);
  decode_random_bytes({}, bytes, decodes);
}

RingMove move_of(std::uint64_t id, RingMove::Step step) {
  RingMove move;
  move.id = id;
  move.unit.virtual_node = static_cast<VirtualNode>(400 + id);
  move.from = "shard-a";
  move.to = "shard-b";
  move.step = step;
  move.revision = 500 + id;
  return move;
}

std::vector<RingMove> moves_of_every_step() {
  using Step = RingMove::Step;
  std::vector<RingMove> moves;
  for (const Step step : {Step::planned, Step::copying, Step::closing, Step::switched,
                          Step::settled, Step::undone, Step::opened})
    moves.push_back(move_of(moves.size() + 1, step));
  moves[1].unit.account = "alice";
  moves[2].benefit = 2.125;
  return moves;
}

}  // namespace

Test(document_format, database_leaders) {
  using Phase = DatabaseLeadership::Phase;
  LeadershipTable table;
  table.revision = 311;
  table.leaderships = {{"orders", "b-1", "", Phase::led, false, 312, 313},
                       {"prices", "b-2", "b-3", Phase::closing, true, 314, 315},
                       {"stock", "", "b-4", Phase::raising, false, 316, 317},
                       {"users", "b-5", "", Phase::closing, false, 318, 319}};
  check_leads("database_leaders_full", table);  // as a build writes it that knows no terms
  table.leaderships[0].term = 1;
  table.leaderships[1].term = 0x00fedcba98765432;
  table.leaderships[2].term = 300;
  check_leads("database_leaders_terms", table);
  check_leads("database_leaders_empty", LeadershipTable{});
  LeadershipTable blank;
  blank.leaderships.resize(1);
  check_leads("database_leaders_blank_entry", blank);
}

Test(document_format, ring) {
  const RingDocument full = full_ring();
  RingDocument without_accounts = full;
  without_accounts.placed.clear();
  const std::size_t accounts_begin =
      read_fixture(document_fixture("ring_without_accounts_old")).size();
  expect_fixture(document_fixture("ring_full"), encode_ring(full));
  check_ring("ring_full", full, {accounts_begin});
  expect_fixture(document_fixture("ring_without_accounts"), encode_ring(without_accounts));
  check_ring("ring_without_accounts", without_accounts, {accounts_begin});
  expect_fixture(document_fixture("ring_empty"), encode_ring(RingDocument{}));
  check_ring("ring_empty", RingDocument{}, {4 * 8});
}

// As builds wrote it that knew no accounts: what this one writes, without the part that came with
// them.
Test(document_format, a_ring_of_before_accounts_is_read) {
  RingDocument document = full_ring();
  document.placed.clear();
  check_ring("ring_without_accounts_old", document, {});
}

Test(document_format, ring_moves) {
  const std::vector<RingMove> moves = moves_of_every_step();
  std::set<std::size_t> whole_lengths{0};  // of a ring that never moved anything
  for (std::size_t count = 0; count < moves.size(); ++count)
    whole_lengths.insert(
        encode_moves({moves.begin(), moves.begin() + static_cast<std::ptrdiff_t>(count)}).size());
  expect_fixture(document_fixture("ring_moves_full"), encode_moves(moves));
  check_moves("ring_moves_full", moves, whole_lengths);
  expect_fixture(document_fixture("ring_moves_empty"), encode_moves({}));
  check_moves("ring_moves_empty", {}, {0});
}

// As builds wrote it that knew no accounts: neither form, nor account, nor benefit.
Test(document_format, ring_moves_of_before_accounts_are_read) {
  const std::vector<RingMove> moves{move_of(1, RingMove::Step::copying),
                                    move_of(2, RingMove::Step::settled)};
  const std::size_t size = read_fixture(document_fixture("ring_moves_old")).size();
  check_moves("ring_moves_old", moves, {0, size / 2});
}

Test(document_format, accepted_orders) {
  std::string document;
  expect_fixture(document_fixture("orders_one"),
                 document = record_accepted(document, Version{321}, 0x1112131415161718));
  expect_fixture(document_fixture("orders_two"),
                 document = record_accepted(document, Version{322}, 0x2122232425262728));
  expect_fixture(document_fixture("orders_two"), record_accepted(document, Version{321}, 7));
  const std::string bytes = read_fixture(document_fixture("orders_two"));
  cr_expect(find_accepted(bytes, Version{321}, 0x1112131415161718) == Acceptance::accepted);
  cr_expect(find_accepted(bytes, Version{322}, 0x2122232425262728) == Acceptance::accepted);
  cr_expect(find_accepted(bytes, Version{321}, 7) == Acceptance::rejected);
  const auto decodes = [](const std::string& some) {
    return find_accepted(some, Version{321}, 0x1112131415161718) == Acceptance::accepted;
  };
  expect_prefixes_refused("orders_two", bytes, decodes, {16});
  decode_random_bytes({}, bytes, decodes);
}

Test(document_format, a_digest_of_a_body_stays_the_same) {
  Writer writer;
  writer.number(digest_of(""))
      .number(digest_of("a body"))
      .number(digest_of(std::string(5000, 'x')));
  expect_fixture(document_fixture("digests"), writer.bytes());
}

// The count of brokers: one number.
Test(document_format, broker_count) {
  expect_fixture(document_fixture("broker_count"), Writer().number(0x0102030405060708).take());
  const std::string bytes = read_fixture(document_fixture("broker_count"));
  ByteReader reader(bytes);
  cr_expect(reader.number() == 0x0102030405060708 && reader.is_complete());
}

// The names under which the documents are kept.
Test(document_format, names) {
  expect_fixture("documents/names.txt", std::string(leadership_document) + "\n" + ring_document +
                                            "\n" + accepted_document + "\n");
}
