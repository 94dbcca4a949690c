#pragma once
// Reads the heartbeats of backends that register themselves.
//
// Job: checks the JSON body of `PUT /backends/ID` and turns it into an entry of the registry. It
// changes no registry.
// Threading: pure function.
// Source: Eureka's InstanceInfo, see docs/discovery.md.
#include <string>

#include "protocol/discovery_messages.h"
#include "state/error.h"

namespace saddlewing {

// Reads one heartbeat into `entry`, which stays as it is on an error.
// `id`: the backend's id, from the path. `body`: JSON; not read when the backend leaves.
// `is_leaving`: the call was a DELETE; the entry's phase is then gone.
// Errors: ErrorCode::invalid, whose step names the field that is wrong.
Error read_backend_heartbeat(const std::string& id, const std::string& body, bool is_leaving,
                             Endpoint& entry);

}  // namespace saddlewing
