#pragma once
// How long before its grace is over a process that was asked to end lets go of what it still has.
#include <algorithm>

#include "state/types.h"

namespace saddlewing {

// An eighth of the grace, 700 ms at most: for the end itself. Invariant: less than the sixth of the
// grace in which work at a backend may lose its answer, however short the grace is.
constexpr Duration end_margin(Duration grace) {
  constexpr int share = 8;
  constexpr Duration longest{700};
  return std::min(longest, grace / share);
}

}  // namespace saddlewing
