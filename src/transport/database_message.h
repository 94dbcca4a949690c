#pragma once
// The messages of database sessions as they travel between clients, poolers and databases: a kind,
// the length of what follows in four bytes (most significant first), and text fields, each with a
// zero byte behind it. What the fields mean is in protocol/database_protocol.h.
// Threading: free functions without state.
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

enum class DatabaseMessageKind : char {
  connect = 'S',    // client: database, user, ...
  query = 'Q',      // client: id, statement
  terminate = 'X',  // client: ends the session
  ready = 'Z',      // database: state of the transaction, log position
  row = 'D',        // database
  complete = 'C',   // database
  error = 'E',      // database: name of a StatementError, text
};

struct DatabaseMessage {
  DatabaseMessageKind kind{};
  std::vector<std::string> fields;
  // The field at `position`, counted from 0; empty beyond the last.
  const std::string& field(std::size_t position) const;
};

// Of what follows the length.
inline constexpr std::size_t max_database_message_bytes = 1 << 20;

std::string encode_database_message(DatabaseMessageKind kind,
                                    std::initializer_list<std::string_view> fields);

// A query whose answer names `id`.
inline std::string encode_query(std::string_view id, std::string_view text) {
  return encode_database_message(DatabaseMessageKind::query, {id, text});
}

enum class DatabaseReadResult {
  incomplete,  // the bytes end within a message
  complete,
  too_long,   // beyond max_database_message_bytes
  malformed,  // an unknown kind, too many fields, or no zero byte at the end
};

// Takes one message off the front of `bytes`. Unless the result is `complete` nothing is taken and
// `message` is not to be used.
DatabaseReadResult read_database_message(std::string& bytes, DatabaseMessage& message);

}  // namespace saddlewing
