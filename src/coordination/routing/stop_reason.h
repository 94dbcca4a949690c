#pragma once
// Why a request got no further attempt, for whoever asks afterwards.
#include <string_view>

namespace saddlewing {

enum class StopReason {
  none,                // it went on to its response
  no_backend_left,     // no backend of the service may be asked
  backends_full,       // all have as many requests as they may, and the wait for one is over
  tries_used,          // as many backends were asked as the route allows
  retry_budget_empty,  // the retry budget of the service allows no further attempt
  may_have_run,        // it must not run twice
  unreachable,         // no connection to a backend could be set up
  deadline,            // the route's give_up_ms or the client's Time-Left
  input_ended,         // the client ended its input, and may be gone
};

constexpr std::string_view name_of(StopReason reason) {
  switch (reason) {
    case StopReason::none:
      return "none";
    case StopReason::no_backend_left:
      return "no_backend_left";
    case StopReason::backends_full:
      return "backends_full";
    case StopReason::tries_used:
      return "tries_used";
    case StopReason::retry_budget_empty:
      return "retry_budget_empty";
    case StopReason::may_have_run:
      return "may_have_run";
    case StopReason::unreachable:
      return "unreachable";
    case StopReason::deadline:
      return "deadline";
    case StopReason::input_ended:
      return "input_ended";
  }
  return "none";
}

}  // namespace saddlewing
