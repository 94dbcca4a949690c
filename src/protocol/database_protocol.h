#pragma once
// The wire of database sessions, for clients and backends alike: a kind, the length of what follows
// in four bytes (great end first), and text fields, each with a zero behind it.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

enum class WireKind : char {
  connect = 'S',
  ask = 'Q',
  bye = 'X',
  ready = 'Z',
  row = 'D',
  done = 'C',
  error = 'E'
};

struct WireMessage {
  WireKind kind{};
  std::vector<std::string> fields;
  const std::string& field(std::size_t position) const;
};

// What is told of a try that did not succeed. Promises come first: nothing of the try is kept.
enum class Verdict {
  none,
  busy,
  undone,
  lagging,
  readonly,
  wrong_host,
  full,
  no_such,
  no_database,
  too_long,
  garbled,
  failed,
  timeout,
  unknown
};
std::string_view name_of(Verdict verdict);
Verdict verdict_of(std::string_view name);  // `unknown` for what is not known
// A backend that says so did not run the statement.
constexpr bool is_not_run(Verdict verdict) {
  return verdict == Verdict::busy || verdict == Verdict::lagging || verdict == Verdict::readonly ||
         verdict == Verdict::wrong_host || verdict == Verdict::full || verdict == Verdict::no_such;
}

inline constexpr std::size_t max_message_bytes = 1 << 20;

std::string encode_message(WireKind kind, std::initializer_list<std::string_view> fields);
inline std::string wire_ask(std::string_view id, std::string_view text) {
  return encode_message(WireKind::ask, {id, text});
}

// Takes one message off the front of the bytes.
enum class WireStep {
  more,
  done,
  too_long,
  garbled
};
WireStep read_wire(std::string& bytes, WireMessage& message);

// A statement as a client writes it.
enum class Verb {
  begin,
  begin_read,
  save,
  undo,
  read,
  write,
  set,
  name,
  run,
  forget,
  none
};
struct Statement {
  Verb verb = Verb::none;
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
bool read_status(const std::string& row, DatabaseStatus& status);

}  // namespace saddlewing
