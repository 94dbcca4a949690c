#pragma once
// Counters and gauges of a process, shown in the Prometheus text format. Any thread may add.
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace saddlewing {

enum class Metric {
  // broker
  requests,
  own_5xx_responses,
  refusals,
  partial_responses,
  attempts,
  further_attempts,
  failed_attempts,
  delegated_gathers,
  client_connections,
  proxied_requests,
  is_ready,
  // pooler
  database_connections,
  database_connections_opened,
  waiting_sessions,
  statements,
  unknown_responses,
  // registry
  overloaded_ring_nodes,
  open_migrations,
  avoided_edges,
  dropped_edge_frames,
  known_brokers,
  backends_up,
  evictions,
  failed_saves,
  is_leader,
  operator_calls,
  failed_operator_calls,
  // both
  configuration_version,
  edges_revision,
  count
};

struct MetricRow {
  Metric metric;
  std::string_view name, help;
  bool is_counter;
};
const MetricRow& row_of(Metric metric);
// False: there is no metric of that name.
bool find_metric(std::string_view name, Metric& metric);

class Metrics {
 public:
  void add(Metric metric, std::int64_t count = 1) {
    at(metric).fetch_add(count, std::memory_order_relaxed);
  }
  void set(Metric metric, std::int64_t value) {
    at(metric).store(value, std::memory_order_relaxed);
  }
  std::int64_t get(Metric metric) const {
    return values_[static_cast<int>(metric)].load(std::memory_order_relaxed);
  }
  std::string page() const;

 private:
  std::atomic<std::int64_t>& at(Metric metric) {
    return values_[static_cast<int>(metric)];
  }
  std::atomic<std::int64_t> values_[static_cast<int>(Metric::count)] = {};
};

// Of this process.
Metrics& metrics();

}  // namespace saddlewing
