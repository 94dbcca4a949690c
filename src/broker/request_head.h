#pragma once
// The head of a request as backends receive it: the client's fields without those that concern one
// connection only. Free functions without state; they may be called on any thread.
#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <string>

#include "coordination/placement/ring_router.h"
#include "state/types.h"

namespace saddlewing {

// The value of `Time-Left` in milliseconds; `fallback` where `text` is empty, longer than nine
// digits or no number.
Duration parse_time_left(const std::string& text, Duration fallback);

// The part of the head that is the same for every backend: request line, the client's end-to-end
// fields, and `Content-Length` where a body of `body_size` bytes or the method asks for it. The
// blank line is left out.
std::string make_common_head(const Poco::Net::HTTPRequest& request, std::size_t body_size);

// The fields that tell node `node` of the hash ring by which revision of the ring the request was
// routed, and whether the answer shows the unit that is being moved. Empty where the node is not on
// the ring.
std::string make_ring_fields(const RingView& view, const std::string& node);

}  // namespace saddlewing
