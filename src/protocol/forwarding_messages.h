#pragma once
// An operator's call that a registry hands to the leader, and the leader's reply.
// Threading: values without shared state.
#include <cstdint>
#include <string>

#include "protocol/frame.h"

namespace saddlewing {

struct ForwardedCall {
  std::uint64_t token = 0;  // counted anew in each incarnation of the sender, which the head names
  bool is_read = false;     // else a new configuration is proposed
  Version version;
  std::string body;
  Term term;  // as known to the sender
};

// Repeats the call that it answers; the requester accepts nothing else.
struct ForwardedReply {
  std::uint64_t token = 0;
  IncarnationId requester;  // the incarnation that sent the call
  bool is_read = false;
  Version version;           // as in the call
  std::uint64_t digest = 0;  // of the body sent with the call
  Term term;  // of the sender; for a read, the term in which a majority confirmed its leadership
  bool is_done = false;
  std::string body;  // what was read, or the acknowledgement
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const ForwardedCall& call);
std::string encode(const FrameHead& head, const ForwardedReply& reply);
bool decode(ByteReader& reader, ForwardedCall& call);
bool decode(ByteReader& reader, ForwardedReply& reply);

}  // namespace saddlewing
