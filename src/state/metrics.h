#pragma once
// Counters and gauges of a process, shown in the Prometheus text format. The names that Prometheus
// sees are in the table of metrics.cpp. Any thread may change or read any metric at any time;
// values of different metrics are not consistent with each other.
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace saddlewing {

/** What is counted; a metric that a process never touches stays 0. */
enum class Metric {
  // Counted by a broker.

  /** Requests that matched a route. */
  requests,
  /** Responses of our own with a 5xx status. */
  own_5xx_responses,
  /** Of these, responses that promise that nothing ran. */
  refusals,
  /** Merged responses that lack shards. */
  partial_responses,
  /** Attempts at backends. */
  attempts,
  /** Attempts beyond the first at the same part of a request. */
  further_attempts,
  /** Attempts that ended without a proper response. */
  failed_attempts,
  /** Attempts broken off because nobody waited for them any more. */
  abandoned_attempts,
  /** Gathers run for other brokers. */
  delegated_gathers,
  /** Open connections of clients. */
  client_connections,
  /** Requests under way. */
  proxied_requests,
  /** 1 while the process calls itself ready. */
  is_ready,

  // Counted by a pooler.

  /** Open connections to databases. */
  database_connections,
  /** Connections opened to databases. */
  database_connections_opened,
  /** Sessions that wait for a leader or a connection. */
  waiting_sessions,
  /** Statements for a database, retries of our own not counted. */
  statements,
  /** Statements answered UNKNOWN. */
  unknown_responses,

  // Counted by a registry.

  /** Nodes of the ring that carry too much. */
  overloaded_ring_nodes,
  /** Migrations under way. */
  open_migrations,
  /** Edges that some region avoids. */
  avoided_edges,
  /** Frames about edges that were impossible, too many, or old. */
  dropped_edge_frames,
  /** Brokers whose heartbeats come. */
  known_brokers,
  /** Backends that are up. */
  backends_up,
  /** Leases that ran out. */
  evictions,
  /** Saves to disk that failed. */
  failed_saves,
  /** 1 while the registry is the Raft leader. */
  is_leader,
  /** Operators' calls. */
  operator_calls,
  /** Operators' calls answered 503. */
  failed_operator_calls,

  // Counted by several.

  /** Clients that ended their sending while something of theirs was under way. */
  client_input_ends,
  /** Connections of clients that broke while something of theirs was under way. */
  client_breaks,
  /** Frames of other nodes that this build does not know, or that were damaged. */
  dropped_frames,
  /** Version of the configuration in force here. */
  configuration_version,
  /** Revision of the view of edges in force here, in this leader's term. */
  edges_revision,

  /** Number of metrics; no metric itself. */
  count
};

/**
 * Finds a metric by the name that Prometheus sees.
 * @param metric is set only where there is one.
 * @return false: there is none.
 */
bool find_metric(std::string_view name, Metric& metric);

/** The values of all metrics. */
class Metrics {
 public:
  /** Raises a counter or gauge; a negative count lowers a gauge. */
  void add(Metric metric, std::int64_t count = 1) {
    values_[index_of(metric)].fetch_add(count, std::memory_order_relaxed);
  }

  void set(Metric metric, std::int64_t value) {
    values_[index_of(metric)].store(value, std::memory_order_relaxed);
  }

  std::int64_t get(Metric metric) const {
    return values_[index_of(metric)].load(std::memory_order_relaxed);
  }

  /** All metrics in the Prometheus text format. */
  std::string page() const;

 private:
  static constexpr std::size_t index_of(Metric metric) {
    return static_cast<std::size_t>(metric);
  }

  std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(Metric::count)> values_{};
};

/** The metrics of this process. */
Metrics& metrics();

}  // namespace saddlewing
