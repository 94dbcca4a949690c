#pragma once
// Errors are std::error_code of one category; a Fault adds the step and the peer at which it arose.
#include <string>
#include <system_error>
#include <utility>

namespace saddlewing {

enum class ErrorCode {
  none = 0,
  // what a client sent
  malformed,
  conflicting_framing,
  unsupported_coding,
  head_too_large,
  body_too_large,
  too_slow,
  wrong_method,
  no_route,
  wrong_content,
  expectation,
  // what this system could not do, with nothing run
  not_ready,
  overloaded,
  no_backend_up,
  no_leader,
  draining,
  // what a backend did, possibly after running
  refused_by_backends,
  refused_connection,
  no_response,
  connection_lost,
  invalid_response,
  deadline_reached,
  // configuration and startup
  invalid,
  unreadable,
  // disk and links
  disk,
  damaged,
  link,
  closed
};

const std::error_category& category();
inline std::error_code make_error_code(ErrorCode kind) {
  return {static_cast<int>(kind), category()};
}

struct Error {
  std::error_code code;
  std::string step;  // where it arose; for a file, the field
  std::string peer;  // with whom; empty when there is none
  explicit operator bool() const {
    return static_cast<bool>(code);
  }
  std::string text() const;
};

inline Error make_error(ErrorCode kind, std::string step, std::string peer = {}) {
  return {make_error_code(kind), std::move(step), std::move(peer)};
}

// Status and reason of an answer follow from the kind alone. 408, 421, 429 and 503 promise that
// nothing ran.
struct StatusLine {
  int status;
  const char* reason;
};
StatusLine status_line_of(ErrorCode kind);

}  // namespace saddlewing

template <>
struct std::is_error_code_enum<saddlewing::ErrorCode> : std::true_type {};
