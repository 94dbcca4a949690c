// The bytes of database sessions, against fixtures: clients and databases of other makers speak
// them too.
#include "coordination/databases/database_fixture.h"
#include "protocol/database_protocol.h"
#include "protocol/fixture_files.h"
#include "transport/database_message.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::string session_fixture(const std::string& name) {
  return "session/" + name + ".bin";
}

struct NamedMessage {
  const char* name;
  DatabaseMessageKind kind;
  std::vector<std::string> fields;
};

const NamedMessage messages[] = {
    {"startup", DatabaseMessageKind::connect, {"orders", "saddlewing", "b-1"}},
    {"query", DatabaseMessageKind::query, {"id 1", "READ tank"}},
    {"terminate", DatabaseMessageKind::terminate, {}},
    {"ready_idle", DatabaseMessageKind::ready, {"I", "3.12"}},
    {"ready_in_transaction", DatabaseMessageKind::ready, {"T", "-"}},
    {"ready_failed", DatabaseMessageKind::ready, {"E", "-"}},
    {"row", DatabaseMessageKind::row, {"leader 3 3.12 3 0 1 2"}},
    {"row_of_several_fields", DatabaseMessageKind::row, {"a", "", "b", std::string(300, 'c')}},
    {"complete", DatabaseMessageKind::complete, {"SAVE"}},
    {"error", DatabaseMessageKind::error, {"BUSY", "later"}},
    {"startup_empty", DatabaseMessageKind::connect, {}},
    {"query_empty", DatabaseMessageKind::query, {}},
    {"ready_empty", DatabaseMessageKind::ready, {}},
    {"row_empty", DatabaseMessageKind::row, {}},
    {"complete_empty", DatabaseMessageKind::complete, {}},
    {"error_empty", DatabaseMessageKind::error, {}},
    {"query_empty_fields", DatabaseMessageKind::query, {"", ""}},
};

std::string written(const NamedMessage& message) {
  const auto& fields = message.fields;
  switch (fields.size()) {
    case 0:
      return encode_database_message(message.kind, {});
    case 1:
      return encode_database_message(message.kind, {fields[0]});
    case 2:
      return encode_database_message(message.kind, {fields[0], fields[1]});
    case 3:
      return encode_database_message(message.kind, {fields[0], fields[1], fields[2]});
    default:
      return encode_database_message(message.kind, {fields[0], fields[1], fields[2], fields[3]});
  }
}

bool reads(const std::string& bytes) {
  std::string left = bytes;
  DatabaseMessage message;
  return read_database_message(left, message) == DatabaseReadResult::complete;
}

struct NamedVerdict {
  StatementError verdict;
  const char* text;
};

constexpr NamedVerdict verdicts[] = {
    {StatementError::busy, "BUSY"},
    {StatementError::rolled_back, "UNDONE"},
    {StatementError::lagging, "LAGGING"},
    {StatementError::readonly, "READONLY"},
    {StatementError::wrong_host, "WRONGHOST"},
    {StatementError::full, "FULL"},
    {StatementError::no_such_statement, "NOSUCH"},
    {StatementError::no_database, "NODB"},
    {StatementError::too_long, "TOOLONG"},
    {StatementError::malformed, "GARBLED"},
    {StatementError::failed, "FAILED"},
    {StatementError::timeout, "TIMEOUT"},
    {StatementError::unknown, "UNKNOWN"},
};

struct WrittenStatement {
  const char* text;
  StatementVerb verb;
  const char *first, *second, *rest;
};

constexpr WrittenStatement statements[] = {
    {"BEGIN", StatementVerb::begin, "", "", ""},
    {"BEGIN READ", StatementVerb::begin_read_only, "", "", ""},
    {"SAVE", StatementVerb::commit, "", "", ""},
    {"UNDO", StatementVerb::rollback, "", "", ""},
    {"READ tank 7", StatementVerb::read, "", "", ""},
    {"WRITE tank 7", StatementVerb::write, "", "", ""},
    {"SET colour dark red", StatementVerb::set, "colour", "dark red", ""},
    {"SET colour", StatementVerb::set, "colour", "", ""},
    {"NAME n READ q r", StatementVerb::prepare, "n", "READ", "q r"},
    {"NAME n WRITE q", StatementVerb::prepare, "n", "WRITE", "q"},
    {"RUN n tank full", StatementVerb::execute, "n", "", "tank full"},
    {"FORGET n", StatementVerb::deallocate, "n", "", ""},
    {"", StatementVerb::none, "", "", ""},
    {"begin", StatementVerb::none, "", "", ""},
    {"READ", StatementVerb::none, "", "", ""},
    {"COMMIT", StatementVerb::none, "", "", ""},
};

}  // namespace

Test(session_format, messages_of_every_kind) {
  for (const NamedMessage& row : messages) {
    const std::string file = session_fixture(row.name);
    expect_fixture(file, written(row));
    const std::string bytes = read_fixture(file);
    std::string left = bytes + "rest";
    DatabaseMessage message;
    cr_assert(read_database_message(left, message) == DatabaseReadResult::complete, "%s", row.name);
    cr_expect(message.kind == row.kind && message.fields == row.fields && left == "rest", "%s",
              row.name);
    expect_prefixes_refused(row.name, bytes, reads);
    decode_random_bytes(bytes.substr(0, 1), bytes, reads);
  }
  expect_fixture(session_fixture("query"), encode_query("id 1", "READ tank"));
  decode_random_bytes({}, {}, reads);
}

Test(session_format, errors_by_verdict) {
  for (const NamedVerdict& row : verdicts) {
    expect_fixture(
        session_fixture("error_" + std::string(row.text)),
        encode_database_message(DatabaseMessageKind::error, {name_of(row.verdict), "why"}));
    std::string bytes = read_fixture(session_fixture("error_" + std::string(row.text)));
    DatabaseMessage message;
    cr_assert(read_database_message(bytes, message) == DatabaseReadResult::complete);
    cr_expect(message.field(0) == row.text && statement_error_of(message.field(0)) == row.verdict &&
              message.field(1) == "why");
  }
  cr_expect(name_of(StatementError::none).empty() &&
            statement_error_of("what") == StatementError::unknown);
}

Test(session_format, statements) {
  for (const WrittenStatement& row : statements) {
    const Statement statement = read_statement(row.text);
    cr_expect(statement.verb == row.verb, "%s", row.text);
    if (row.verb == StatementVerb::none)
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
  DatabaseMessage message;
  DatabaseStatus status;
  cr_assert(read_database_message(bytes, message) == DatabaseReadResult::complete &&
            read_database_status(message.field(0), status));
  cr_expect(status.is_leader && status.term == 3 && status.position == leaders);
  cr_expect(read_database_status("copy 4 3.11", status) && !status.is_leader && status.term == 4 &&
            status.position == copys);
  for (const char* text : {"", "leader", "leader 3", "leader 3 3", "chief 3 3.12"})
    cr_expect(!read_database_status(text, status), "%s", text);
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
  stage.give(wrong, encode_query("a", "READ x"));
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
