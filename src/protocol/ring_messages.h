#pragma once
// An operator's call concerning the hash ring, from the command line to a registry, and its reply.
// Threading: values without shared state.
#include <string>

#include "protocol/frame.h"

namespace saddlewing {

struct RingCall {
  std::string verb;
  std::string text;  // apply: the file; move: virtual node and receiver; undo: the move
};

struct RingReply {
  bool is_done = false;
  std::string leader;  // not done, and another registry leads: its address, to ask there
  std::string reason;  // not done: why
  std::string text;    // JSON
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const RingCall& call);
std::string encode(const FrameHead& head, const RingReply& reply);
bool decode(ByteReader& reader, RingCall& call);
bool decode(ByteReader& reader, RingReply& reply);

}  // namespace saddlewing
