#pragma once
// Latencies of edges, that is of a service's backends in one zone: what brokers counted, from each
// registry to the leader, and the view that the leader made of it, to its peers.
// Threading: values without shared state.
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

// What the brokers of one region counted.
struct RegionCounts {
  std::string region;
  std::string counts;  // encoded, see EdgeCounts
  auto operator<=>(const RegionCounts&) const = default;
};

struct EdgeSums {
  Term term;  // of the leader that the counts are meant for
  std::vector<RegionCounts> regions;
};

// From the brokers of a region to the backends of a zone.
struct NetworkPath {
  std::string region;
  std::string zone;
  auto operator<=>(const NetworkPath&) const = default;
};

// The least time that each path ever took, in milliseconds.
using NetworkLatencies = std::map<NetworkPath, double>;

struct EdgeViewFrame {
  Term term;                            // in which the sender leads
  std::uint64_t revision_in_force = 0;  // of the view that every broker holds
  std::string view;                     // the newest one, encoded; empty: there is none yet
  NetworkLatencies latencies;           // travel as microseconds
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const EdgeSums& sums);
std::string encode(const FrameHead& head, const EdgeViewFrame& frame);
bool decode(ByteReader& reader, EdgeSums& sums);
bool decode(ByteReader& reader, EdgeViewFrame& frame);

}  // namespace saddlewing
