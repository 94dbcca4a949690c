// The agree thread's care for the shared view of edges: sums to the leader, its judgement, and the
// turn of all brokers.
#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>

#include "registry/control_loop.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration edges_every{400}, tell_peers_every{2000};
constexpr std::size_t max_cells_here = 20000;

}  // namespace

void ControlLoop::handle_edge_subscription(const SubscribeRequest& follow, Broker& broker) {
  broker.edges_held = follow.edge_view_revision;
  if (follow.edge_counts.empty())
    return;
  const auto [position, is_new] = edge_counts_.try_emplace(follow.region, max_cells_here);
  if (!position->second.merge(follow.edge_counts))
    metrics().add(Metric::edge_frames_dropped);
}

// A peer's, kept for the case that this one leads next.
void ControlLoop::handle_edge_view(const FrameHead& from, const EdgeViewFrame& frame,
                                   TimePoint now) {
  fence_.admits(led_in(), false);
  if (!fence_.admits(frame.term, from.from == raft_.leader_address()) || raft_.is_leader())
    return metrics().add(Metric::edge_frames_dropped);
  edge_aggregator_.take_ways(frame.latencies);
  if (frame.view.empty())
    return;
  auto view = std::make_shared<EdgeView>();
  if (!decode_view(frame.view, *view) || view->revision < edge_aggregator_.view()->revision)
    return metrics().add(Metric::edge_frames_dropped);
  if (!edge_aggregator_.take(std::move(view), now))
    return;
  edges_text_ = frame.view;
  edge_rollout_.commit(Version{static_cast<std::int64_t>(edge_aggregator_.view()->revision)}, now);
}

// Counts told to a leader of another term are not counted in this one.
void ControlLoop::handle_edge_sums(const EdgeSums& sums, TimePoint now) {
  if (!raft_.is_leader() || sums.term != raft_.term())
    return metrics().add(Metric::edge_frames_dropped);
  for (const auto& [region, counts] : sums.regions)
    if (!edge_aggregator_.add(region, counts, now))
      metrics().add(Metric::edge_frames_dropped);
}

void ControlLoop::update_edges(TimePoint now) {
  if (!settings_.has_edges)
    return;
  const bool is_leading = raft_.is_leased(now);
  if (is_leading) {
    std::vector<Version> held;
    for (const auto& [from, broker] : brokers_)
      if (!broker.is_pooler)
        held.push_back(Version{static_cast<std::int64_t>(broker.edges_held)});
    const VersionRollout::Turn turn = edge_rollout_.advance(held, now);
    if (turn != VersionRollout::Turn::none) {
      LOG(INFO) << "edges: view " << (edge_aggregator_.view()->revision & 0xffffffff)
                << " in force, "
                << (turn == VersionRollout::Turn::held_by_all ? "held by all" : "waited enough");
      metrics().set(Metric::edges_revision,
                    static_cast<std::int64_t>(edge_aggregator_.view()->revision & 0xffffffff));
      for (auto& [from, broker] : brokers_)
        send_heartbeat(broker, false, now);
    }
  }
  if (now < edges_due_)
    return;
  edges_due_ = now + edges_every;
  EdgeSums sums{raft_.term(), {}};
  for (auto& [region, counts] : edge_counts_)
    if (!counts.is_empty())
      sums.regions.push_back({region, counts.take()});
  if (!is_leading) {
    if (!sums.regions.empty() && !raft_.leader_address().empty())
      send_to(raft_.leader_address(), encode(head(), sums));
    return;
  }
  for (const auto& [region, counts] : sums.regions)
    edge_aggregator_.add(region, counts, now);
  std::map<EdgeLatencyAggregator::Edge, double> capacity;
  std::map<std::string, double> helpers;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase == EndpointPhase::ready && line.entry.status == EndpointStatus::up)
      capacity[{line.entry.service, line.entry.zone}] +=
          static_cast<double>(std::max<std::uint64_t>(1, line.entry.capacity));
  constexpr double helps_at_once = 8;
  for (const auto& [from, broker] : brokers_)
    if (broker.is_ready)
      capacity[{"", broker.region}] += helps_at_once;
  const EdgeSnapshot before = edge_aggregator_.view();
  const EdgeSnapshot view = edge_aggregator_.judge(raft_.term().value, capacity, now);
  if (view) {
    edges_text_ = encode_view(*view);
    edge_rollout_.commit(Version{static_cast<std::int64_t>(view->revision)}, now);
    std::int64_t avoided = 0;
    for (const EdgeState& state : view->states) {
      avoided += state.verdict == EdgeState::Verdict::avoided;
      const EdgeState* was = before->find(state.service, state.zone, state.region);
      if (!was || was->verdict != state.verdict || was->percent_kept != state.percent_kept)
        LOG(WARNING) << "edges: " << state.region << " to " << state.service << " in " << state.zone
                     << ": " << name_of(state.verdict) << ", keeps " << state.percent_kept << " %, "
                     << state.reason;
    }
    for (const EdgeState& was : before->states)
      if (!view->find(was.service, was.zone, was.region))
        LOG(WARNING) << "edges: " << was.region << " to " << was.service << " in " << was.zone
                     << ": allowed again";
    metrics().set(Metric::edges_avoided, avoided);
    for (auto& [from, broker] : brokers_)
      send_heartbeat(broker, false, now);
  }
  if (!view && now - edges_told_ < tell_peers_every)
    return;
  edges_told_ = now;
  const std::string frame =
      encode(head(),
             EdgeViewFrame{raft_.term(), static_cast<std::uint64_t>(edge_rollout_.in_force().value),
                           edges_text_, edge_aggregator_.ways()});
  for (const std::string& address : raft_.known_addresses())
    send_to(address, frame);
}

std::string ControlLoop::show_edges(TimePoint now) const {
  Json::Value root(Json::objectValue);
  root["view"] = Json::UInt64(edge_aggregator_.view()->revision);
  root["in_force"] = Json::Int64(edge_rollout_.in_force().value);
  root["avoided"] = 0;
  root["cells"] = Json::Value(Json::arrayValue);
  for (const EdgeLatencyAggregator::Row& row : edge_aggregator_.rows(now)) {
    Json::Value value(Json::objectValue);
    value["service"] = row.service;
    value["zone"] = row.zone;
    value["region"] = row.region;
    value["state"] = name_of(row.verdict);
    value["samples"] = std::round(row.samples);
    value["time_ms"] = std::round(row.time_ms * 10) / 10;
    value["failures"] = std::round(row.failures * 1000) / 1000;
    value["age_ms"] = Json::Int64(row.age.count());
    value["reason"] = row.reason;
    root["cells"].append(value);
    if (row.verdict == EdgeState::Verdict::avoided)
      root["avoided"] = root["avoided"].asInt() + 1;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

}  // namespace saddlewing
