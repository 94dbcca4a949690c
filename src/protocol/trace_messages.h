#pragma once
// The trace of versions of the configuration: the command line asks every node what it did with
// them. A request has no fields. Threading: values without shared state.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

// One event in the life of a version at a node.
struct VersionEvent {
  Version version;
  std::string what;       // taken, committed, sent, held, in force
  std::uint64_t age = 0;  // milliseconds before the reply
};

struct TraceReply {
  std::string node;  // its name
  std::string role;  // registry or broker
  Version version;   // the newest that it holds
  bool is_leader = false;
  std::vector<VersionEvent> events;     // oldest first
  std::vector<std::string> registries;  // inner addresses that it knows
  std::vector<std::string> brokers;     // inner addresses that it knows
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode_trace_request(const FrameHead& head);
std::string encode(const FrameHead& head, const TraceReply& reply);
bool decode(ByteReader& reader, TraceReply& reply);

}  // namespace saddlewing
