#pragma once
// Every HTTP call of operators, and of the system to the platform and to backends, in one table.
// The names of header fields are in transport/header_names.h. Threading: constants.
#include <string_view>

namespace saddlewing {

enum class HttpCall {
  put_settings,   // operator to a registry: a new configuration
  get_settings,   // operator to a registry: the committed configuration
  readiness,      // platform to a broker or pooler
  list_backends,  // registry to the platform
  probe_backend,  // registry to a backend, at the path that its service names
  metrics,        // operator to any node
  failures,       // operator to a broker: the last requests that failed, at its ready_check address
  heartbeat,      // backend to a registry: renews its lease
  deregister,     // backend to a registry: it leaves
  promote,        // registry to the platform: make a database the leader
  move_step,      // registry to a node of the ring: a step of a migration
};

struct HttpCallRow {
  HttpCall call;
  std::string_view method;
  std::string_view path;  // empty: each service names its own
};

inline constexpr HttpCallRow http_calls[] = {
    {HttpCall::put_settings, "PUT", "/settings"},
    {HttpCall::get_settings, "GET", "/settings"},
    {HttpCall::readiness, "GET", "/readiness"},
    {HttpCall::list_backends, "GET", "/backends"},
    {HttpCall::probe_backend, "GET", ""},
    {HttpCall::metrics, "GET", "/metrics"},
    {HttpCall::failures, "GET", "/failures"},
    {HttpCall::heartbeat, "PUT", "/backends/"},  // and the backend's id
    {HttpCall::deregister, "DELETE", "/backends/"},
    {HttpCall::promote, "POST", "/raise"},
    {HttpCall::move_step, "POST", "/ring/moves"},  // of this project, to nodes of the ring
};

// The method and path of a call.
constexpr const HttpCallRow& row_of(HttpCall call) {
  for (const HttpCallRow& row : http_calls)
    if (row.call == call)
      return row;
  return http_calls[0];
}

}  // namespace saddlewing
