#include "state/error.h"

#include <cstddef>

namespace saddlewing {
namespace {

struct ErrorCodeRow {
  ErrorCode code;
  const char* message;
  int status;
  const char* reason;
};

constexpr ErrorCodeRow rows[] = {
    {ErrorCode::none, "no error", 200, "OK"},
    {ErrorCode::malformed, "malformed message", 400, "Bad Request"},
    {ErrorCode::conflicting_framing, "conflicting framing", 400, "Bad Request"},
    {ErrorCode::unsupported_coding, "transfer coding not supported", 501, "Not Implemented"},
    {ErrorCode::head_too_large, "head too large", 431, "Request Header Fields Too Large"},
    {ErrorCode::body_too_large, "body too large", 413, "Payload Too Large"},
    {ErrorCode::too_slow, "sent too slowly", 408, "Request Timeout"},
    {ErrorCode::wrong_method, "method not allowed", 405, "Method Not Allowed"},
    {ErrorCode::no_route, "nothing here", 404, "Not Found"},
    {ErrorCode::wrong_content, "content type not supported", 415, "Unsupported Media Type"},
    {ErrorCode::expectation, "expectation not met", 417, "Expectation Failed"},
    {ErrorCode::not_ready, "not ready", 503, "Service Unavailable"},
    {ErrorCode::overloaded, "overloaded", 503, "Service Unavailable"},
    {ErrorCode::no_backend_up, "no backend is up", 503, "Service Unavailable"},
    {ErrorCode::no_leader, "no leader reached", 503, "Service Unavailable"},
    {ErrorCode::draining, "leaving", 503, "Service Unavailable"},
    {ErrorCode::refused_by_backends, "turned away by the backends", 503, "Service Unavailable"},
    {ErrorCode::refused_connection, "connection refused", 503, "Service Unavailable"},
    {ErrorCode::no_response, "backend silent", 504, "Gateway Timeout"},
    {ErrorCode::connection_lost, "backend broke off", 502, "Bad Gateway"},
    {ErrorCode::invalid_response, "backend sent no proper answer", 502, "Bad Gateway"},
    {ErrorCode::deadline_reached, "cutoff reached", 504, "Gateway Timeout"},
    {ErrorCode::invalid, "invalid", 400, "Bad Request"},
    {ErrorCode::unreadable, "cannot be read", 400, "Bad Request"},
    {ErrorCode::disk, "disk failed", 503, "Service Unavailable"},
    {ErrorCode::damaged, "record damaged", 500, "Internal Server Error"},
    {ErrorCode::link, "link failed", 503, "Service Unavailable"},
    {ErrorCode::closed, "connection closed", 502, "Bad Gateway"},
};

/** A number that no row has came from a later version; it is taken for a malformed message. */
const ErrorCodeRow& row_of(ErrorCode code) {
  constexpr std::size_t malformed_row = 1;
  static_assert(rows[malformed_row].code == ErrorCode::malformed);
  for (const ErrorCodeRow& row : rows)
    if (row.code == code)
      return row;
  return rows[malformed_row];
}

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override {
    return "saddlewing";
  }
  std::string message(int value) const override {
    return row_of(static_cast<ErrorCode>(value)).message;
  }
};

}  // namespace

const std::error_category& category() {
  static const Category instance;
  return instance;
}

StatusLine status_line_of(ErrorCode code) {
  const ErrorCodeRow& row = row_of(code);
  return {row.status, row.reason};
}

std::string Error::text() const {
  std::string text = step.empty() ? code.message() : step + ": " + code.message();
  if (!peer.empty())
    text += " (" + peer + ")";
  return text;
}

}  // namespace saddlewing
