// The bytes of database sessions, against fixtures: clients and databases of other makers speak
// them too.
#include "coordination/databases/database_fixture.h"
#include "protocol/database_protocol.h"
#include "protocol/fixture_files.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::string session_fixture(const std::string& name) {
  return "session/" + name + ".bin";
}

struct NamedMessage {
  const char* name;
  WireKind kind;
  std::vector<std::string> fields;
};

const NamedMessage messages[] = {
    {"startup", WireKind::connect, {"orders", "saddlewing", "b-1"}},
    {"query", WireKind::ask, {"id 1", "READ tank"}},
    {"terminate", WireKind::bye, {}},
    {"ready_idle", WireKind::ready, {"I", "3.12"}},
    {"ready_in_transaction", WireKind::ready, {"T", "-"}},
    {"ready_failed", WireKind::ready, {"E", "-"}},
    {"row", WireKind::row, {"leader 3 3.12 3 0 1 2"}},
    {"row_of_several_fields", WireKind::row, {"a", "", "b", std::string(300, 'c')}},
    {"complete", WireKind::done, {"SAVE"}},
    {"error", WireKind::error, {"BUSY", "later"}},
    {"startup_empty", WireKind::connect, {}},
    {"query_empty", WireKind::ask, {}},
    {"ready_empty", WireKind::ready, {}},
    {"row_empty", WireKind::row, {}},
    {"complete_empty", WireKind::done, {}},
    {"error_empty", WireKind::error, {}},
    {"query_empty_fields", WireKind::ask, {"", ""}},
};

std::string written(const NamedMessage& message) {
  const auto& fields = message.fields;
  switch (fields.size()) {
    case 0:
      return encode_message(message.kind, {});
    case 1:
      return encode_message(message.kind, {fields[0]});
    case 2:
      return encode_message(message.kind, {fields[0], fields[1]});
    case 3:
      return encode_message(message.kind, {fields[0], fields[1], fields[2]});
    default:
      return encode_message(message.kind, {fields[0], fields[1], fields[2], fields[3]});
  }
}

bool reads(const std::string& bytes) {
  std::string left = bytes;
  WireMessage message;
  return read_wire(left, message) == WireStep::done;
}

struct NamedVerdict {
  Verdict verdict;
  const char* text;
};

constexpr NamedVerdict verdicts[] = {
    {Verdict::busy, "BUSY"},
    {Verdict::undone, "UNDONE"},
    {Verdict::lagging, "LAGGING"},
    {Verdict::readonly, "READONLY"},
    {Verdict::wrong_host, "WRONGHOST"},
    {Verdict::full, "FULL"},
    {Verdict::no_such, "NOSUCH"},
    {Verdict::no_database, "NODB"},
    {Verdict::too_long, "TOOLONG"},
    {Verdict::garbled, "GARBLED"},
    {Verdict::failed, "FAILED"},
    {Verdict::timeout, "TIMEOUT"},
    {Verdict::unknown, "UNKNOWN"},
};

struct WrittenStatement {
  const char* text;
  Verb verb;
  const char *first, *second, *rest;
};

constexpr WrittenStatement statements[] = {
    {"BEGIN", Verb::begin, "", "", ""},
    {"BEGIN READ", Verb::begin_read, "", "", ""},
    {"SAVE", Verb::save, "", "", ""},
    {"UNDO", Verb::undo, "", "", ""},
    {"READ tank 7", Verb::read, "", "", ""},
    {"WRITE tank 7", Verb::write, "", "", ""},
    {"SET colour dark red", Verb::set, "colour", "dark red", ""},
    {"SET colour", Verb::set, "colour", "", ""},
    {"NAME n READ q r", Verb::name, "n", "READ", "q r"},
    {"NAME n WRITE q", Verb::name, "n", "WRITE", "q"},
    {"RUN n tank full", Verb::run, "n", "", "tank full"},
    {"FORGET n", Verb::forget, "n", "", ""},
    {"", Verb::none, "", "", ""},
    {"begin", Verb::none, "", "", ""},
    {"READ", Verb::none, "", "", ""},
    {"COMMIT", Verb::none, "", "", ""},
};

}  // namespace

Test(session_format, messages_of_every_kind) {
  for (const NamedMessage& row : messages) {
    const std::string file = session_fixture(row.name);
    expect_fixture(file, written(row));
    const std::string bytes = read_fixture(file);
    std::string left = bytes + "rest";
    WireMessage message;
    cr_assert(read_wire(left, message) == WireStep::done, "%s", row.name);
    cr_expect(message.kind == row.kind && message.fields == row.fields && left == "rest", "%s",
              row.name);
    expect_prefixes_refused(row.name, bytes, reads);
    decode_random_bytes(bytes.substr(0, 1), bytes, reads);
  }
  expect_fixture(session_fixture("query"), wire_ask("id 1", "READ tank"));
  decode_random_bytes({}, {}, reads);
}

Test(session_format, errors_by_verdict) {
  for (const NamedVerdict& row : verdicts) {
    expect_fixture(session_fixture("error_" + std::string(row.text)),
                   encode_message(WireKind::error, {name_of(row.verdict), "why"}));
    std::string bytes = read_fixture(session_fixture("error_" + std::string(row.text)));
    WireMessage message;
    cr_assert(read_wire(bytes, message) == WireStep::done);
    cr_expect(message.field(0) == row.text && verdict_of(message.field(0)) == row.verdict &&
              message.field(1) == "why");
  }
  cr_expect(name_of(Verdict::none).empty() && verdict_of("what") == Verdict::unknown);
}

Test(session_format, statements) {
  for (const WrittenStatement& row : statements) {
    const Statement statement = read_statement(row.text);
    cr_expect(statement.verb == row.verb, "%s", row.text);
    if (row.verb == Verb::none)
      continue;
    cr_expect(statement.first == row.first && statement.second == row.second &&
                  statement.rest == row.rest,
              "%s", row.text);
  }
}

Test(session_format, log_positions_and_status_rows) {
  LogPosition position;
  const LogPosition leaders{3, 12}, copys{3, 11};
  cr_expect(read_log_position("3.12", position) && position == leaders &&
            position.text() == "3.12");
  for (const char* text : {"", ".", "3", "3.", ".12", "3.12.1", "a.b", "-1.2", " 3.12"})
    cr_expect(!read_log_position(text, position), "%s", text);
  std::string bytes = read_fixture(session_fixture("row"));
  WireMessage message;
  DatabaseStatus status;
  cr_assert(read_wire(bytes, message) == WireStep::done && read_status(message.field(0), status));
  cr_expect(status.is_leader && status.term == 3 && status.position == leaders);
  cr_expect(read_status("copy 4 3.11", status) && !status.is_leader && status.term == 4 &&
            status.position == copys);
  for (const char* text : {"", "leader", "leader 3", "leader 3 3", "chief 3 3.12"})
    cr_expect(!read_status(text, status), "%s", text);
}

// What a session tells its client and asks of databases, over a whole dialogue.
Test(session_format, a_dialogue) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client client(stage), stranger(stage), wrong(stage), reader(stage);
  stage.start(client);
  for (const char* text : {"SET colour red", "NAME n READ q", "READ tank", "WRITE tank 7",
                           "RUN n tank", "BEGIN", "WRITE tank 8", "SAVE", "BEGIN READ", "READ tank",
                           "UNDO", "FORGET n", "RUN n tank", "SAVE", "what"})
    stage.say(client, text);
  stage.start(reader, "reports");
  stage.after = {1, 1};
  stage.say(reader, "READ tank");
  stage.start(stranger, "nobody");
  stage.give(wrong, wire_ask("a", "READ x"));
  expect_fixture(session_fixture("dialogue_to_client"), client.told);
  expect_fixture(session_fixture("dialogue_to_reader"), reader.told);
  expect_fixture(session_fixture("dialogue_to_stranger"), stranger.told);
  expect_fixture(session_fixture("dialogue_out_of_order"), wrong.told);
  expect_fixture(session_fixture("dialogue_to_databases"), stage.asked);
}

// A connection that served another session is cleared before the next one's statement.
Test(session_format, a_dialogue_over_a_used_connection) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client first(stage), second(stage);
  stage.start(first);
  stage.start(second);
  for (const char* text : {"SET colour red", "NAME n READ q", "RUN n tank"})
    stage.say(first, text);
  for (const char* text : {"SET size 5", "READ tank"})
    stage.say(second, text);
  expect_fixture(session_fixture("dialogue_over_a_used_connection"), stage.asked);
}
