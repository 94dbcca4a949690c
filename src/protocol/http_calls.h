#pragma once
// Every HTTP call of operators, and of the system to the platform and to backends, in one table.
// The names of header fields are in transport/header_names.h. Threading: constants.
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

// The method and path of a call.
constexpr const HttpCallRow& row_of(HttpCall call) {
  for (const HttpCallRow& row : http_calls)
    if (row.call == call)
      return row;
  return http_calls[0];
}

}  // namespace saddlewing
