#pragma once
// Every call of operators, of the system to the platform and to backends, in one table.
#include <string_view>

namespace saddlewing {

enum class Call {
  put_settings,
  get_settings,
  readiness,
  list_backends,
  probe_backend,
  metrics,
  heartbeat,
  leave,
  promote,
  move_step
};

struct CallRow {
  Call call;
  std::string_view method;
  std::string_view path;  // empty: each service names its own
};

inline constexpr CallRow calls[] = {
    {Call::put_settings, "PUT", "/settings"}, {Call::get_settings, "GET", "/settings"},
    {Call::readiness, "GET", "/readiness"},   {Call::list_backends, "GET", "/backends"},
    {Call::probe_backend, "GET", ""},         {Call::metrics, "GET", "/metrics"},
    {Call::heartbeat, "PUT", "/backends/"},  // and the backend's id
    {Call::leave, "DELETE", "/backends/"},    {Call::promote, "POST", "/raise"},
    {Call::move_step, "POST", "/ring/moves"},  // of this project, to nodes of the ring
};

constexpr const CallRow& row_of(Call call) {
  for (const CallRow& row : calls)
    if (row.call == call)
      return row;
  return calls[0];
}

// Names of header fields that both sides agree on.
namespace field {
inline constexpr const char* try_id = "Try-Id";
inline constexpr const char* time_left = "Time-Left";
inline constexpr const char* meant_server = "Meant-Server";
inline constexpr const char* server_id = "Server-Id";
inline constexpr const char* server_load = "Server-Load";
inline constexpr const char* not_run = "Not-Run";
inline constexpr const char* seal = "Answer-Seal";
inline constexpr const char* part_seals = "Part-Seals";
inline constexpr const char* duty_owner = "Duty-Owner";
inline constexpr const char* owner_number = "Owner-Number";
inline constexpr const char* ring_revision =
    "Ring-Mark";  // to nodes of the ring: the sheet that the request goes by
inline constexpr const char* ring_show =
    "Ring-Show";  // of the unit on the move there: it is part of this answer,
inline constexpr const char* ring_hide = "Ring-Hide";  // or not
inline constexpr const char* parts_missing = "Parts-Missing";
}  // namespace field

}  // namespace saddlewing
