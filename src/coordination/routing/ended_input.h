#pragma once
// How long work goes on for a client that has ended its input. It may be gone or wait for its
// answer; which of both shows only once something is sent to it.
#include "state/types.h"

namespace saddlewing {

/**
 * From the end of input: nothing is begun later, and what may be repeated is worked on no longer,
 * since no backend may be at work for half a second for a client that left. What has begun and must
 * not be repeated has its whole time.
 */
constexpr Duration max_work_after_input_end{400};

}  // namespace saddlewing
