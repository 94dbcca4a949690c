#pragma once
// A receive loop that reads the clock once for each message.
//
// Source: Gray and Cheriton, "Leases" (1989), on processes that are paused between reading the
// clock and using it.
#include <cstddef>

namespace saddlewing {

// Receives up to `limit` messages and handles each with the time read after its receipt. A process
// that was suspended between two messages must not judge the later one by the earlier time: it
// would give, or rely on, a lease that has already expired.
// `receive`: returns an optional message; an empty one ends the loop.
// `read_clock`: returns the present time.
// `handle`: called with the message and that time.
template <class Receive, class ReadClock, class Handle>
void handle_each(std::size_t limit, Receive&& receive, ReadClock&& read_clock, Handle&& handle) {
  for (; limit > 0; --limit) {
    auto received = receive();
    if (!received)
      return;
    handle(*received, read_clock());
  }
}

}  // namespace saddlewing
