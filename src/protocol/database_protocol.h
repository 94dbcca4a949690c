#pragma once
// The wire of database sessions, for clients and backends alike: a kind, the length of what follows
// in four bytes (great end first), and text fields, each with a zero behind it.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

enum class DatabaseMessageKind : char {
  connect = 'S',
  query = 'Q',
  terminate = 'X',
  ready = 'Z',
  row = 'D',
  complete = 'C',
  error = 'E'
};

struct DatabaseMessage {
  DatabaseMessageKind kind{};
  std::vector<std::string> fields;
  const std::string& field(std::size_t position) const;
};

// What is told of a try that did not succeed. Promises come first: nothing of the try is kept.
enum class StatementError {
  none,
  busy,
  rolled_back,
  lagging,
  readonly,
  wrong_host,
  full,
  no_such_statement,
  no_database,
  too_long,
  malformed,
  failed,
  timeout,
  unknown
};
std::string_view name_of(StatementError verdict);
StatementError statement_error_of(std::string_view name);  // `unknown` for what is not known
// A backend that says so did not run the statement.
constexpr bool is_not_run(StatementError verdict) {
  return verdict == StatementError::busy || verdict == StatementError::lagging ||
         verdict == StatementError::readonly || verdict == StatementError::wrong_host ||
         verdict == StatementError::full || verdict == StatementError::no_such_statement;
}

inline constexpr std::size_t max_database_message_bytes = 1 << 20;

std::string encode_database_message(DatabaseMessageKind kind,
                                    std::initializer_list<std::string_view> fields);
inline std::string encode_query(std::string_view id, std::string_view text) {
  return encode_database_message(DatabaseMessageKind::query, {id, text});
}

// Takes one message off the front of the bytes.
enum class DatabaseReadResult {
  incomplete,
  complete,
  too_long,
  malformed
};
DatabaseReadResult read_database_message(std::string& bytes, DatabaseMessage& message);

// A statement as a client writes it.
enum class StatementVerb {
  begin,
  begin_read_only,
  commit,
  rollback,
  read,
  write,
  set,
  prepare,
  execute,
  deallocate,
  none
};
struct Statement {
  StatementVerb verb = StatementVerb::none;
  std::string first, second,
      rest;  // SET: name, value; NAME: name, READ or WRITE, shape; RUN: name, -, thing and data
};
Statement read_statement(const std::string& text);

// A place in a database's log. Invariant: greater is later, within one history.
struct LogPosition {
  std::uint64_t term = 0, number = 0;
  auto operator<=>(const LogPosition&) const = default;
  bool is_known() const {
    return term > 0;
  }
  std::string text() const {
    return std::to_string(term) + "." + std::to_string(number);
  }
};
bool read_log_position(std::string_view text, LogPosition& position);

// A backend's row of STATUS: role, term, place received, term held, lag, busy, connections.
struct DatabaseStatus {
  bool is_leader = false;
  std::uint64_t term = 0;
  LogPosition position;
};
bool read_database_status(const std::string& row, DatabaseStatus& status);

}  // namespace saddlewing
