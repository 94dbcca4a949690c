#pragma once
// What the messages of database sessions say: errors, statements, positions in a database's log and
// a database's status. How the messages travel is in transport/database_message.h.
// Threading: free functions and values without shared state.
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/database_message.h"

namespace saddlewing {

// Why an attempt at a statement did not succeed.
enum class StatementError {
  none,               // it succeeded
  busy,               // not run: too much to do; may be tried again
  rolled_back,        // the transaction is undone; nothing of it is kept
  lagging,            // not run: the replica is behind the position that was asked for
  readonly,           // not run: a write sent to a replica
  wrong_host,         // not run: meant for another host
  full,               // not run: no room for it
  no_such_statement,  // not run: no prepared statement of that name
  no_database,        // no database of that name
  too_long,           // the message, or more values or names than a session may have
  malformed,          // not in the protocol, or not allowed now
  failed,             // the statement itself
  timeout,
  unknown,  // it may have run or not
};

// "BUSY", "UNDONE", ...: as it travels; empty for `none`.
std::string_view name_of(StatementError error);
// `unknown` for a name that does not exist.
StatementError statement_error_of(std::string_view name);
// A database that answers so did not run the statement.
constexpr bool is_not_run(StatementError error) {
  return error == StatementError::busy || error == StatementError::lagging ||
         error == StatementError::readonly || error == StatementError::wrong_host ||
         error == StatementError::full || error == StatementError::no_such_statement;
}

// The first word of a statement, with its word on the wire.
enum class StatementVerb {
  begin,            // BEGIN
  begin_read_only,  // BEGIN READ
  commit,           // SAVE
  rollback,         // UNDO
  read,             // READ ...
  write,            // WRITE ...
  set,              // SET name value
  prepare,          // NAME name READ|WRITE shape
  execute,          // RUN name data
  deallocate,       // FORGET name
  none,             // anything else
};

struct Statement {
  StatementVerb verb = StatementVerb::none;
  std::string first;   // set, prepare, execute, deallocate: the name
  std::string second;  // set: the value; prepare: READ or WRITE
  std::string rest;    // prepare: the shape; execute: the data
};
// The verb is `none` for what is not understood.
Statement read_statement(const std::string& text);

// A position in a database's log. Invariant: greater is later, within one history.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const LogPosition&) const = default;
  bool is_known() const {
    return term > 0;
  }
  // "term.number": as it travels.
  std::string text() const {
    return std::to_string(term) + "." + std::to_string(number);
  }
};
// False, and `position` unchanged, unless the text is two decimal numbers with a dot between.
bool read_log_position(std::string_view text, LogPosition& position);

// What a database answers to STATUS.
struct DatabaseStatus {
  bool is_leader = false;
  std::uint64_t term = 0;
  LogPosition position;  // received
};
// Reads a row of words: role, term, position received, and others that are not looked at. False
// unless the first three are well formed.
bool read_database_status(const std::string& row, DatabaseStatus& status);

}  // namespace saddlewing
