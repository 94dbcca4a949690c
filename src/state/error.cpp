#include "state/error.h"

namespace saddlewing {
namespace {

struct Row {
  Kind kind;
  const char* text;
  int status;
  const char* reason;
};

constexpr Row rows[] = {
    {Kind::none, "no error", 200, "OK"},
    {Kind::malformed, "malformed message", 400, "Bad Request"},
    {Kind::length_required_conflict, "conflicting framing", 400, "Bad Request"},
    {Kind::unsupported_coding, "transfer coding not supported", 501, "Not Implemented"},
    {Kind::head_too_large, "head too large", 431, "Request Header Fields Too Large"},
    {Kind::body_too_large, "body too large", 413, "Payload Too Large"},
    {Kind::too_slow, "sent too slowly", 408, "Request Timeout"},
    {Kind::wrong_method, "method not allowed", 405, "Method Not Allowed"},
    {Kind::no_rule, "nothing here", 404, "Not Found"},
    {Kind::wrong_content, "content type not supported", 415, "Unsupported Media Type"},
    {Kind::expectation, "expectation not met", 417, "Expectation Failed"},
    {Kind::not_ready, "not ready", 503, "Service Unavailable"},
    {Kind::overloaded, "overloaded", 503, "Service Unavailable"},
    {Kind::nobody_up, "no backend is up", 503, "Service Unavailable"},
    {Kind::no_leader, "no leader reached", 503, "Service Unavailable"},
    {Kind::draining, "leaving", 503, "Service Unavailable"},
    {Kind::turned_away, "turned away by the backends", 503, "Service Unavailable"},
    {Kind::refused_connection, "connection refused", 503, "Service Unavailable"},
    {Kind::silent, "backend silent", 504, "Gateway Timeout"},
    {Kind::broke_off, "backend broke off", 502, "Bad Gateway"},
    {Kind::garbled, "backend sent no proper answer", 502, "Bad Gateway"},
    {Kind::deadline_reached, "cutoff reached", 504, "Gateway Timeout"},
    {Kind::invalid, "invalid", 400, "Bad Request"},
    {Kind::unreadable, "cannot be read", 400, "Bad Request"},
    {Kind::disk, "disk failed", 503, "Service Unavailable"},
    {Kind::damaged, "record damaged", 500, "Internal Server Error"},
    {Kind::link, "link failed", 503, "Service Unavailable"},
    {Kind::closed, "connection closed", 502, "Bad Gateway"},
};

const Row& row_of(Kind kind) {
  for (const Row& row : rows)
    if (row.kind == kind)
      return row;
  return rows[1];
}

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override {
    return "saddlewing";
  }
  std::string message(int value) const override {
    return row_of(static_cast<Kind>(value)).text;
  }
};

}  // namespace

const std::error_category& category() {
  static const Category instance;
  return instance;
}

StatusLine status_of(Kind kind) {
  const Row& row = row_of(kind);
  return {row.status, row.reason};
}

std::string Fault::text() const {
  std::string text = step.empty() ? code.message() : step + ": " + code.message();
  if (!peer.empty())
    text += " (" + peer + ")";
  return text;
}

}  // namespace saddlewing
