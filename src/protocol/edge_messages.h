#pragma once
// Latencies of edges, that is of a service's backends in one zone: what brokers counted, from each
// registry to the leader, and the view that the leader made of it, to its peers.
// Threading: values without shared state.
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

struct EdgeSums {
  Term term;  // of the leader that the counts are meant for
  std::vector<std::pair<std::string, std::string>>
      regions;  // by region of the asking brokers: counts as they travel
};

struct EdgeViewFrame {
  Term term;                            // in which the sender leads
  std::uint64_t revision_in_force = 0;  // the view that every broker holds
  std::string view;                     // the newest one, encoded; empty: there is none yet
  std::map<std::pair<std::string, std::string>, double> latencies;  // see EdgeLatencyAggregator
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const EdgeSums& sums);
std::string encode(const FrameHead& head, const EdgeViewFrame& frame);
bool decode(ByteReader& reader, EdgeSums& sums);
bool decode(ByteReader& reader, EdgeViewFrame& frame);

}  // namespace saddlewing
