#pragma once
// Reads what a backend tells of itself.
#include <string>

#include "protocol/discovery_messages.h"
#include "state/error.h"

namespace saddlewing {

// The fault's step names the field. A leaving backend's body is not looked at.
Error read_backend_heartbeat(const std::string& id, const std::string& body, bool is_leaving,
                             Endpoint& entry);

}  // namespace saddlewing
