#pragma once
// A broker of a scenario and the requests that it has under way. Data only: the scenario moves
// them.
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "coordination/placement/scenario_recorder.h"
#include "coordination/placement/shard_node_fixture.h"
#include "coordination/routing/bulkhead.h"
#include "coordination/routing/fair_queue.h"

namespace saddlewing::tests {

// A request under way at its nodes, one leg for each.
struct Flight {
  Request request;
  RingSnapshot view;
  TimePoint began{};
  struct Leg {
    std::size_t node;
    TimePoint lands{}, back{};
    bool has_landed = false, is_back = false, is_turned_away = false;
    std::vector<int> seen;
  };
  std::vector<Leg> legs;
  std::vector<std::pair<std::string, std::vector<int>>> gathered;
};

// A broker with its view of the ring and of the nodes.
struct Broker {
  RingRouter gate;
  IncarnationId incarnation{1};
  TimePoint due{}, cut_until{}, dead_until{};
  std::vector<Request> parked;
  FairQueue<Request> waiting{256, 4};
  std::vector<Flight> flights;
  std::array<Backend, 4> backends;  // its view of the nodes
};

}  // namespace saddlewing::tests
