#pragma once
// The duration of a lease or grant as it travels.
#include <algorithm>
#include <cstdint>

#include "protocol/control_messages.h"
#include "state/types.h"

namespace saddlewing {

// A longer one, from whatever registry, is taken for this.
inline constexpr std::uint64_t max_lease_ms = 60000;

inline Duration limited_duration(std::uint64_t milliseconds) {
  return Duration(static_cast<std::int64_t>(std::min(milliseconds, max_lease_ms)));
}

// Of the lease that a heartbeat grants; 0: none.
inline Duration lease_duration(const ControlHeartbeat& heartbeat) {
  return limited_duration(heartbeat.lease);
}

}  // namespace saddlewing
