#pragma once
// Reads what a backend tells of itself.
#include <string>

#include "protocol/frames.h"
#include "state/error.h"

namespace saddlewing {

// The fault's step names the field. A leaving backend's body is not looked at.
Fault read_beat(const std::string& id, const std::string& body, bool is_leaving,
                RosterEntry& entry);

}  // namespace saddlewing
