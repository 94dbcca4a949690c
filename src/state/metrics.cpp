#include "state/metrics.h"

#include <iterator>

#include "state/build_info.h"

namespace saddlewing {
namespace {

enum class MetricKind {
  counter,
  gauge
};

/** How a metric is shown. */
struct MetricRow {
  Metric metric;
  std::string_view name;
  MetricKind kind;
  std::string_view help;
};

/** In the order in which they are shown. */
constexpr MetricRow rows[] = {
    {Metric::requests, "saddlewing_requests_total", MetricKind::counter,
     "Requests that matched a rule."},
    {Metric::own_5xx_responses, "saddlewing_own_5xx_total", MetricKind::counter,
     "Answers of our own with a 5xx status."},
    {Metric::refusals, "saddlewing_refusals_total", MetricKind::counter,
     "Of these, answers that promise that nothing ran."},
    {Metric::partial_responses, "saddlewing_partial_answers_total", MetricKind::counter,
     "Gathered answers with parts left out."},
    {Metric::attempts, "saddlewing_askings_total", MetricKind::counter, "Askings of backends."},
    {Metric::further_attempts, "saddlewing_further_askings_total", MetricKind::counter,
     "Askings beyond the first of a part."},
    {Metric::failed_attempts, "saddlewing_breakdowns_total", MetricKind::counter,
     "Askings that ended without a proper answer."},
    {Metric::abandoned_attempts, "saddlewing_abandoned_attempts_total", MetricKind::counter,
     "Attempts broken off because nobody waited for them any more."},
    {Metric::delegated_gathers, "saddlewing_aids_total", MetricKind::counter,
     "Gathers for other brokers."},
    {Metric::client_connections, "saddlewing_visits", MetricKind::gauge,
     "Open connections of clients."},
    {Metric::proxied_requests, "saddlewing_errands", MetricKind::gauge, "Requests under way."},
    {Metric::is_ready, "saddlewing_ready", MetricKind::gauge,
     "Whether the broker calls itself ready."},
    {Metric::database_connections, "saddlewing_lanes", MetricKind::gauge,
     "Open connections to databases."},
    {Metric::database_connections_opened, "saddlewing_lanes_opened_total", MetricKind::counter,
     "Connections opened to databases."},
    {Metric::waiting_sessions, "saddlewing_waiting", MetricKind::gauge,
     "Sessions that wait for a leader or a connection."},
    {Metric::statements, "saddlewing_statements_total", MetricKind::counter,
     "Statements for a database, tries of our own not counted."},
    {Metric::unknown_responses, "saddlewing_unknown_outcomes_total", MetricKind::counter,
     "Statements answered UNKNOWN."},
    {Metric::overloaded_ring_nodes, "saddlewing_ring_nodes_over", MetricKind::gauge,
     "Nodes of the ring that carry too much."},
    {Metric::open_migrations, "saddlewing_ring_moves_open", MetricKind::gauge,
     "Moves of virtual nodes under way."},
    {Metric::avoided_edges, "saddlewing_edges_avoided", MetricKind::gauge,
     "Edges that some region avoids."},
    {Metric::dropped_edge_frames, "saddlewing_edge_frames_dropped_total", MetricKind::counter,
     "Counts or views of edges that were impossible, too many, or old."},
    {Metric::known_brokers, "saddlewing_brokers", MetricKind::gauge, "Brokers heard of late."},
    {Metric::backends_up, "saddlewing_backends_up", MetricKind::gauge, "Backends that are UP."},
    {Metric::evictions, "saddlewing_evictions_total", MetricKind::counter,
     "Holds evicted by the sweep."},
    {Metric::failed_saves, "saddlewing_saves_failed_total", MetricKind::counter,
     "Saves to disk that failed."},
    {Metric::is_leader, "saddlewing_leads", MetricKind::gauge, "Whether the registry leads."},
    {Metric::operator_calls, "saddlewing_operator_calls_total", MetricKind::counter,
     "Operators' calls."},
    {Metric::failed_operator_calls, "saddlewing_operator_calls_failed_total", MetricKind::counter,
     "Operators' calls answered 503."},
    {Metric::client_input_ends, "saddlewing_client_input_ends_total", MetricKind::counter,
     "Clients that ended their sending while something of theirs was under way."},
    {Metric::client_breaks, "saddlewing_client_breaks_total", MetricKind::counter,
     "Connections of clients that broke while something of theirs was under way."},
    {Metric::dropped_frames, "saddlewing_frames_dropped_total", MetricKind::counter,
     "Frames of other nodes that this build does not know, or that were damaged."},
    {Metric::edges_revision, "saddlewing_edges_view", MetricKind::gauge,
     "Changes of the view of edges in this leader's term, as in force here."},
    {Metric::configuration_version, "saddlewing_edition", MetricKind::gauge,
     "Edition in force here."},
};
static_assert(std::size(rows) == static_cast<std::size_t>(Metric::count));

std::string render(const MetricRow& row, std::int64_t value) {
  const std::string name(row.name);
  const char* kind = row.kind == MetricKind::counter ? "counter" : "gauge";
  std::string lines;
  lines += "# HELP " + name + " " + std::string(row.help) + "\n";
  lines += "# TYPE " + name + " " + kind + "\n";
  lines += name + " " + std::to_string(value) + "\n";
  return lines;
}

}  // namespace

bool find_metric(std::string_view name, Metric& metric) {
  for (const MetricRow& row : rows) {
    if (row.name != name)
      continue;
    metric = row.metric;
    return true;
  }
  return false;
}

std::string Metrics::page() const {
  std::string page = build_metric();
  for (const MetricRow& row : rows)
    page += render(row, get(row.metric));
  return page;
}

Metrics& metrics() {
  static Metrics instance;
  return instance;
}

}  // namespace saddlewing
