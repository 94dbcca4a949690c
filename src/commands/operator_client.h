#pragma once
// An operator's call to whichever registry leads, from the command line.
#include <string>
#include <vector>

#include "protocol/ring_messages.h"

namespace saddlewing {

// Asks one contact after the other, and whoever is said to lead, until one has answered or the time
// is over.
bool ask_leader(const std::vector<std::string>& contacts, const RingCall& call, Duration limit,
                RingReply& answer);

}  // namespace saddlewing
