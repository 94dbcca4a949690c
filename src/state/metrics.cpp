#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr MetricRow rows[] = {
    {Metric::requests, "saddlewing_requests_total", "Requests that matched a rule.", true},
    {Metric::own_5xx_responses, "saddlewing_own_5xx_total", "Answers of our own with a 5xx status.",
     true},
    {Metric::refusals, "saddlewing_refusals_total",
     "Of these, answers that promise that nothing ran.", true},
    {Metric::partial_responses, "saddlewing_partial_answers_total",
     "Gathered answers with parts left out.", true},
    {Metric::attempts, "saddlewing_askings_total", "Askings of backends.", true},
    {Metric::further_attempts, "saddlewing_further_askings_total",
     "Askings beyond the first of a part.", true},
    {Metric::failed_attempts, "saddlewing_breakdowns_total",
     "Askings that ended without a proper answer.", true},
    {Metric::delegated_gathers, "saddlewing_aids_total", "Gathers for other brokers.", true},
    {Metric::client_connections, "saddlewing_visits", "Open connections of clients.", false},
    {Metric::proxied_requests, "saddlewing_errands", "Requests under way.", false},
    {Metric::is_ready, "saddlewing_ready", "Whether the broker calls itself ready.", false},
    {Metric::database_connections, "saddlewing_lanes", "Open connections to databases.", false},
    {Metric::database_connections_opened, "saddlewing_lanes_opened_total",
     "Connections opened to databases.", true},
    {Metric::waiting_sessions, "saddlewing_waiting",
     "Sessions that wait for a leader or a connection.", false},
    {Metric::statements, "saddlewing_statements_total",
     "Statements for a database, tries of our own not counted.", true},
    {Metric::unknown_responses, "saddlewing_unknown_outcomes_total", "Statements answered UNKNOWN.",
     true},
    {Metric::overloaded_ring_nodes, "saddlewing_ring_nodes_over",
     "Nodes of the ring that carry too much.", false},
    {Metric::open_migrations, "saddlewing_ring_moves_open", "Moves of virtual nodes under way.",
     false},
    {Metric::avoided_edges, "saddlewing_edges_avoided", "Edges that some region avoids.", false},
    {Metric::dropped_edge_frames, "saddlewing_edge_frames_dropped_total",
     "Counts or views of edges that were impossible, too many, or old.", true},
    {Metric::known_brokers, "saddlewing_brokers", "Brokers heard of late.", false},
    {Metric::backends_up, "saddlewing_backends_up", "Backends that are UP.", false},
    {Metric::evictions, "saddlewing_evictions_total", "Holds evicted by the sweep.", true},
    {Metric::failed_saves, "saddlewing_saves_failed_total", "Saves to disk that failed.", true},
    {Metric::is_leader, "saddlewing_leads", "Whether the registry leads.", false},
    {Metric::operator_calls, "saddlewing_operator_calls_total", "Operators' calls.", true},
    {Metric::failed_operator_calls, "saddlewing_operator_calls_failed_total",
     "Operators' calls answered 503.", true},
    {Metric::edges_revision, "saddlewing_edges_view",
     "Changes of the view of edges in this leader's term, as in force here.", false},
    {Metric::configuration_version, "saddlewing_edition", "Edition in force here.", false},
};

}  // namespace

const MetricRow& row_of(Metric metric) {
  for (const MetricRow& row : rows)
    if (row.metric == metric)
      return row;
  return rows[0];
}

bool find_metric(std::string_view name, Metric& metric) {
  for (const MetricRow& row : rows)
    if (row.name == name)
      return metric = row.metric, true;
  return false;
}

std::string Metrics::page() const {
  std::string page;
  for (const MetricRow& row : rows) {
    const std::string name(row.name);
    page += "# HELP " + name + " " + std::string(row.help) + "\n# TYPE " + name +
            (row.is_counter ? " counter\n" : " gauge\n");
    page += name + " " + std::to_string(get(row.metric)) + "\n";
  }
  return page;
}

Metrics& metrics() {
  static Metrics instance;
  return instance;
}

}  // namespace saddlewing
