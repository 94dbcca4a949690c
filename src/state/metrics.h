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
  answers_own_5xx,
  refusals,
  answers_partial,
  attempts,
  further_attempts,
  breakdowns,
  aids,
  visits,
  proxied_requests,
  ready,
  // pooler
  connections,
  connections_opened,
  waiting,
  statements,
  unknown_responses,
  // registry
  ring_over,
  ring_moves,
  edges_avoided,
  edge_frames_dropped,
  brokers,
  backends_up,
  evictions,
  saves_failed,
  leaderships,
  calls_taken,
  calls_failed,
  // both
  version,
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
