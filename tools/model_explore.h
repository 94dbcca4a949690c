#pragma once
// Every order of events of a small core within bounds: each link brings its messages in order and
// as late as can be, some overtake others or are lost, saves end late or never, each clock runs on
// by itself. Invariants are looked at in every state.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model_walk.h"

namespace saddlewing::model {

struct Bounds {
  int members = 3;
  int timeouts = 3;     // of all nodes together: a clock runs on until its node has something to do
  int crashes = 1;      // with a restart; what was being saved is kept or lost
  int overtakings = 0;  // messages that come before others of their link
  int breaks = 0;       // of a link, by which all that is on it is lost
  int doublings = 0;    // messages that come twice
  int orders = 2, reads = 1;
  std::uint64_t max_states = 5'000'000;
  Planted planted = Planted::none;
};

struct Explored {
  std::uint64_t states = 0, moves = 0;
  std::size_t depth = 0;
  std::uint64_t compared =
      0;                     // merged states of the sample, all of whose next states were compared
  bool is_complete = false;  // all within the bounds were seen
  std::optional<Violation> found;
  std::vector<std::string> path;  // to it
};

bool can_explore(Planted planted);
Explored explore(const Bounds& bounds);

}  // namespace saddlewing::model
