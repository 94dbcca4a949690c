#pragma once
// Every call of operators, of the system to the platform and to backends, in one table.
#include <string_view>

namespace saddlewing {

enum class HttpCall {
  put_settings,
  get_settings,
  readiness,
  list_backends,
  probe_backend,
  metrics,
  heartbeat,
  deregister,
  promote,
  move_step
};

struct HttpCallRow {
  HttpCall call;
  std::string_view method;
  std::string_view path;  // empty: each service names its own
};

inline constexpr HttpCallRow http_calls[] = {
    {HttpCall::put_settings, "PUT", "/settings"},   {HttpCall::get_settings, "GET", "/settings"},
    {HttpCall::readiness, "GET", "/readiness"},     {HttpCall::list_backends, "GET", "/backends"},
    {HttpCall::probe_backend, "GET", ""},           {HttpCall::metrics, "GET", "/metrics"},
    {HttpCall::heartbeat, "PUT", "/backends/"},  // and the backend's id
    {HttpCall::deregister, "DELETE", "/backends/"}, {HttpCall::promote, "POST", "/raise"},
    {HttpCall::move_step, "POST", "/ring/moves"},  // of this project, to nodes of the ring
};

constexpr const HttpCallRow& row_of(HttpCall call) {
  for (const HttpCallRow& row : http_calls)
    if (row.call == call)
      return row;
  return http_calls[0];
}

// Names of header fields that both sides agree on.
namespace header_name {
inline constexpr const char* try_id = "Try-Id";
inline constexpr const char* time_left = "Time-Left";
inline constexpr const char* target_server = "Meant-Server";
inline constexpr const char* server_id = "Server-Id";
inline constexpr const char* server_load = "Server-Load";
inline constexpr const char* not_run = "Not-Run";
inline constexpr const char* answer_checksum = "Answer-Seal";
inline constexpr const char* part_checksums = "Part-Seals";
inline constexpr const char* duty_owner = "Duty-Owner";
inline constexpr const char* owner_number = "Owner-Number";
inline constexpr const char* ring_revision =
    "Ring-Mark";  // to nodes of the ring: the sheet that the request goes by
inline constexpr const char* ring_show =
    "Ring-Show";  // of the unit on the move there: it is part of this answer,
inline constexpr const char* ring_hide = "Ring-Hide";  // or not
inline constexpr const char* parts_missing = "Parts-Missing";
}  // namespace header_name

}  // namespace saddlewing
