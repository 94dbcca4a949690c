#pragma once
// How long work goes on for a client that has ended its input. It may be gone or wait for its
// answer; which of both shows only once something is sent to it. No backend may get anything for
// half a second, or be at work so long, for a client that left.
#include "state/types.h"

namespace saddlewing {

/** From the end of input: nothing is begun later, since it takes a while to arrive. */
constexpr Duration max_begin_after_input_end{250};

/** What may be repeated is worked on no longer. What must not be repeated has its whole time. */
constexpr Duration max_work_after_input_end{400};

}  // namespace saddlewing
