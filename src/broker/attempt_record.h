#pragma once
// What a broker keeps of each attempt at a backend while its request is under way.
#include <string_view>
#include <vector>

#include "coordination/routing/backend.h"
#include "state/types.h"

namespace saddlewing {

enum class AttemptEnd {
  at_work,           // it has not ended
  answered,          // with `status`
  refused,           // the backend vouches that it did not run, with `status`
  not_connected,     // no connection stood in time, nothing was sent
  broken_off_there,  // the connection ended, or what came is no answer to this request
  no_answer,         // nothing came until the deadline
  broken_off_here,   // nobody waited for it any more
};

constexpr std::string_view name_of(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::at_work:
      return "at_work";
    case AttemptEnd::answered:
      return "answered";
    case AttemptEnd::refused:
      return "refused";
    case AttemptEnd::not_connected:
      return "not_connected";
    case AttemptEnd::broken_off_there:
      return "broken_off_there";
    case AttemptEnd::no_answer:
      return "no_answer";
    case AttemptEnd::broken_off_here:
      return "broken_off_here";
  }
  return "at_work";
}

struct AttemptRecord {
  BackendPointer backend;  // an incarnation: its id names it
  std::size_t part = 0;    // of a gathered request: which shard
  TimePoint began{};
  TimePoint ended{};  // TimePoint{}: not yet
  AttemptEnd end = AttemptEnd::at_work;
  int status = 0;             // of the answer; 0: none came
  bool may_have_run = false;  // bytes of it left, and the backend did not vouch for the contrary
};

}  // namespace saddlewing
