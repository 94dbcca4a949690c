#include "registry/edge_latency_service.h"

#include <glog/logging.h>
#include <json/json.h>

#include <cmath>
#include <memory>
#include <utility>

#include "protocol/control_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/frame.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration sums_interval{400};
constexpr Duration view_interval{2000};  // between two sends of an unchanged view to peers
constexpr std::size_t max_cells_per_region = 20000;

// The count within a view's revision; the upper half is the leader's term.
std::int64_t revision_count(const EdgeView& view) {
  return static_cast<std::int64_t>(view.revision & 0xffffffff);
}

Version version_of(const EdgeView& view) {
  return Version{static_cast<std::int64_t>(view.revision)};
}

std::string describe_edge(const EdgeState& state) {
  return state.region + " to " + state.service + " in " + state.zone;
}

Json::Value to_json(const EdgeLatencyAggregator::Row& row) {
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
  return value;
}

}  // namespace

EdgeLatencyService::EdgeLatencyService(const NodeSettings& settings, ControlContext& context,
                                       PeerSender& peers, EdgeEnvironment& environment)
    : is_enabled_(settings.has_edges),
      context_(context),
      peers_(peers),
      environment_(environment),
      aggregator_(edge_options(settings)),
      rollout_(settings.rollout_wait) {
}

void EdgeLatencyService::record_counts(const std::string& region, const std::string& edge_counts) {
  if (!is_enabled_ || edge_counts.empty())
    return;
  const auto [position, is_new] = counts_.try_emplace(region, max_cells_per_region);
  if (!position->second.merge(edge_counts))
    metrics().add(Metric::dropped_edge_frames);
}

void EdgeLatencyService::handle_view(const FrameHead& from, const EdgeViewFrame& frame,
                                     TimePoint now) {
  fence_.admits(context_.led_term(), false);
  const bool is_from_leader = from.from == context_.leader_address();
  if (!fence_.admits(frame.term, is_from_leader) || context_.is_leader())
    return metrics().add(Metric::dropped_edge_frames);
  aggregator_.take_ways(frame.latencies);
  if (frame.view.empty())
    return;
  auto view = std::make_shared<EdgeView>();
  if (!decode_view(frame.view, *view) || view->revision < aggregator_.view()->revision)
    return metrics().add(Metric::dropped_edge_frames);
  if (!aggregator_.take(std::move(view), now))
    return;
  encoded_view_ = frame.view;
  rollout_.commit(version_of(*aggregator_.view()), now);
}

void EdgeLatencyService::handle_sums(const EdgeSums& sums, TimePoint now) {
  if (!context_.is_leader() || sums.term != context_.term())
    return metrics().add(Metric::dropped_edge_frames);
  for (const auto& [region, counts] : sums.regions)
    if (!aggregator_.add(region, counts, now))
      metrics().add(Metric::dropped_edge_frames);
}

void EdgeLatencyService::tick(TimePoint now) {
  if (!is_enabled_)
    return;
  const bool is_leading = context_.is_leased(now);
  if (is_leading)
    advance_rollout(now);
  if (now < sums_due_)
    return;
  sums_due_ = now + sums_interval;
  const EdgeSums sums = take_sums();
  if (!is_leading) {
    if (!sums.regions.empty() && !context_.leader_address().empty())
      peers_.send_to(context_.leader_address(), encode(context_.frame_head(), sums));
    return;
  }
  const EdgeSnapshot view = judge(sums, now);
  if (view)
    environment_.notify_brokers(now);
  if (!view && now - view_sent_ < view_interval)
    return;
  view_sent_ = now;
  send_view_to_peers();
}

void EdgeLatencyService::advance_rollout(TimePoint now) {
  const VersionRollout::Activation activation =
      rollout_.advance(environment_.held_edge_views(), now);
  if (activation == VersionRollout::Activation::none)
    return;
  const std::int64_t count = revision_count(*aggregator_.view());
  LOG(INFO) << "edges: view " << count << " in force, " << name_of(activation);
  metrics().set(Metric::edges_revision, count);
  environment_.notify_brokers(now);
}

EdgeSums EdgeLatencyService::take_sums() {
  EdgeSums sums{context_.term(), {}};
  for (auto& [region, counts] : counts_)
    if (!counts.is_empty())
      sums.regions.push_back({region, counts.take()});
  return sums;
}

// Null: the view stays as it is.
EdgeSnapshot EdgeLatencyService::judge(const EdgeSums& sums, TimePoint now) {
  for (const auto& [region, counts] : sums.regions)
    aggregator_.add(region, counts, now);
  const EdgeSnapshot before = aggregator_.view();
  const EdgeSnapshot view =
      aggregator_.judge(context_.term().value, environment_.edge_capacities(), now);
  if (!view)
    return view;
  encoded_view_ = encode_view(*view);
  rollout_.commit(version_of(*view), now);
  log_changes(*before, *view);
  std::int64_t avoided_count = 0;
  for (const EdgeState& state : view->states)
    avoided_count += state.verdict == EdgeState::Verdict::avoided;
  metrics().set(Metric::avoided_edges, avoided_count);
  return view;
}

void EdgeLatencyService::log_changes(const EdgeView& before, const EdgeView& after) const {
  for (const EdgeState& state : after.states) {
    const EdgeState* previous = before.find(state.service, state.zone, state.region);
    if (!previous || previous->verdict != state.verdict ||
        previous->percent_kept != state.percent_kept)
      LOG(WARNING) << "edges: " << describe_edge(state) << ": " << name_of(state.verdict)
                   << ", keeps " << state.percent_kept << " %, " << state.reason;
  }
  for (const EdgeState& previous : before.states)
    if (!after.find(previous.service, previous.zone, previous.region))
      LOG(WARNING) << "edges: " << describe_edge(previous) << ": allowed again";
}

void EdgeLatencyService::send_view_to_peers() {
  const auto in_force = static_cast<std::uint64_t>(rollout_.in_force().value);
  const EdgeViewFrame view{context_.term(), in_force, encoded_view_, aggregator_.ways()};
  const std::string frame = encode(context_.frame_head(), view);
  for (const std::string& address : context_.known_addresses())
    peers_.send_to(address, frame);
}

void EdgeLatencyService::fill_heartbeat(std::uint64_t held_revision,
                                        ControlHeartbeat& heartbeat) const {
  if (!is_enabled_)
    return;
  heartbeat.edge_view_in_force = static_cast<std::uint64_t>(rollout_.in_force().value);
  if (held_revision < aggregator_.view()->revision)
    heartbeat.edge_view = encoded_view_;
}

std::string EdgeLatencyService::report(TimePoint now) const {
  Json::Value root(Json::objectValue);
  root["view"] = Json::UInt64(aggregator_.view()->revision);
  root["in_force"] = Json::Int64(rollout_.in_force().value);
  root["avoided"] = 0;
  root["cells"] = Json::Value(Json::arrayValue);
  for (const EdgeLatencyAggregator::Row& row : aggregator_.rows(now)) {
    root["cells"].append(to_json(row));
    if (row.verdict == EdgeState::Verdict::avoided)
      root["avoided"] = root["avoided"].asInt() + 1;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

}  // namespace saddlewing
