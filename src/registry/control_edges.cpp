// How the edge latency service sees brokers and backends.
#include <algorithm>

#include "registry/control_loop.h"

namespace saddlewing {
namespace {

constexpr double delegations_per_broker = 8;  // at once

}  // namespace

std::vector<Version> ControlLoop::held_edge_views() const {
  std::vector<Version> held;
  for (const auto& [from, broker] : brokers_)
    if (!broker.is_pooler)
      held.push_back(Version{static_cast<std::int64_t>(broker.edges_held)});
  return held;
}

EdgeEnvironment::Capacities ControlLoop::edge_capacities() const {
  Capacities capacities;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase == Phase::ready && line.entry.status == Status::up)
      capacities[{line.entry.service, line.entry.zone}] +=
          static_cast<double>(std::max<std::uint64_t>(1, line.entry.capacity));
  for (const auto& [from, broker] : brokers_)
    if (broker.is_ready)
      capacities[{"", broker.region}] += delegations_per_broker;
  return capacities;
}

void ControlLoop::notify_brokers(TimePoint now) {
  for (auto& [from, broker] : brokers_)
    send_heartbeat(broker, false, now);
}

}  // namespace saddlewing
