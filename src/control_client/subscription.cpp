// What the follow thread tells registries and takes from their beats: the feed, holds, samples, the
// ring.
#include <glog/logging.h>

#include <algorithm>

#include "control_client/control_plane_client.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration max_sample_age{1500};

}  // namespace

void ControlPlaneClient::send_request(const std::string& address, bool wants_body) {
  const auto found = links_.find(address);
  const auto known = control_source_.sources().find(address);
  if (found == links_.end() || known == control_source_.sources().end())
    return;
  const RegistryLink& link = found->second;
  const bool is_selected = address == control_source_.selected(),
             is_leader = control_source_.is_leader(known->second);
  SubscribeRequest request;
  request.version = version_switch_.version_held();
  request.endpoints_incarnation = link.incarnation;
  request.endpoints_revision = link.revision;
  request.wants_body = wants_body;
  request.wants_endpoints = is_selected;
  request.region = settings_.region;
  request.is_ready = is_ready_ && !is_leaving_;
  request.brokers_revision = brokers_revision_;
  request.token = control_source_.last_token();
  request.leadership_revision = confirmed_revision_;
  if (notify_leadership_)
    request.zone = settings_.zone;
  request.ring_revision = ring_confirmed_;
  request.ring_held = ring_revision_;
  if (ring_revision_ && is_leader)
    add_ring_counts(request);
  if (notify_edges_) {
    request.edges_held = edge_revision_;
    for (const std::string& counts : edge_counts_.take())
      edge_sums_.merge(counts);
    if (is_selected)
      request.edge_counts = edge_sums_.take();
  }
  if (notify_leadership_ && (is_leader || is_selected)) {
    request.failing = leadership_evidence_.failing;
    request.fine = leadership_evidence_.fine;
    if (is_selected && link.serial && Clock::now() - leadership_evidence_.built < max_sample_age) {
      const TimePoint now = Clock::now();
      request.samples = leadership_evidence_.samples;
      request.samples_age = static_cast<std::uint64_t>(
          std::chrono::ceil<Duration>(now - leadership_evidence_.built).count());
      request.echo_incarnation = link.heartbeat_incarnation;
      request.echo = link.serial;
      request.gap = static_cast<std::uint64_t>(elapsed(link.last_heartbeat, now).count());
    }
    if (leadership_evidence_.revision != request.leadership_revision)
      request.failing.clear(), request.fine.clear();
  }
  link.client->send(encode({FrameKind::follow, incarnation_, address_}, request));
}

void ControlPlaneClient::add_ring_counts(SubscribeRequest& request) {
  std::map<VirtualNode, RingLoad> sums;
  std::map<std::string, RingLoad> account_sums;
  for (const RingCounts& counts : ring_counts_.take()) {
    for (const auto& [virtual_node, load] : counts.loads)
      sums[virtual_node] += load;
    for (const auto& [account, load] : counts.accounts)
      account_sums[account] += load;
    request.lookups += counts.lookups;
    request.late_lookups += counts.late;
  }
  std::vector<std::pair<VirtualNode, RingLoad>> loads(sums.begin(), sums.end());
  std::vector<std::pair<std::string, RingLoad>> accounts(account_sums.begin(), account_sums.end());
  const auto is_busier = [](const auto& left, const auto& right) {
    return left.second.busy_ms > right.second.busy_ms;
  };
  std::sort(loads.begin(), loads.end(), is_busier);
  std::sort(accounts.begin(), accounts.end(), is_busier);
  request.ring_loads = encode_loads(loads);
  request.account_loads = encode_account_loads(accounts);
}

// A view that does not read, or that is older than the one held, changes nothing.
void ControlPlaneClient::handle_edges(const ControlHeartbeat& heartbeat) {
  if (!heartbeat.edges_in_force && heartbeat.edges.empty())
    return;
  EdgeUpdate update{nullptr, heartbeat.edges_in_force};
  auto view = std::make_shared<EdgeView>();
  if (!heartbeat.edges.empty()) {
    if (decode_view(heartbeat.edges, *view) && view->revision >= edge_revision_) {
      if (view->revision > edge_revision_)
        update.view = view;
      edge_revision_ = view->revision;
    } else {
      metrics().add(Metric::edge_frames_dropped);
    }
  }
  notify_edges_(std::move(update));
}

void ControlPlaneClient::handle_ring(const ControlHeartbeat& heartbeat, TimePoint requested_at) {
  RingUpdate update;
  if (!heartbeat.ring.empty() && heartbeat.ring_revision > ring_revision_) {
    RingDocument document;
    if (decode_ring(heartbeat.ring, document) && document.revision == heartbeat.ring_revision &&
        (update.view = view_ring(document))) {
      ring_revision_ = document.revision;
      LOG(INFO) << "follow: ring " << ring_revision_ << " held";
    }
  }
  if (heartbeat.lease)
    update.until =
        requested_at +
        Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(heartbeat.lease, 60000)));
  if (update.view || (ring_revision_ && heartbeat.lease))
    notify_ring_(std::move(update));
}

// Invariant: a hold counts from the moment of asking, and a table is handed on before a hold that
// covers it.
void ControlPlaneClient::handle_leadership_lease(ControlHeartbeat& heartbeat,
                                                 TimePoint requested_at) {
  LeadershipUpdate update;
  if (!heartbeat.leaderships.empty() && heartbeat.leadership_revision > leadership_revision_) {
    auto table = std::make_shared<LeadershipTable>();
    if (decode_leaderships(heartbeat.leaderships, *table) &&
        table->revision == heartbeat.leadership_revision) {
      leadership_revision_ = table->revision;
      update.leaderships = std::move(table);
    }
  }
  if (heartbeat.lease)
    lease_until_ = std::max(lease_until_,
                            requested_at + Duration(static_cast<std::int64_t>(
                                               std::min<std::uint64_t>(heartbeat.lease, 60000))));
  update.until = lease_until_;
  if (update.leaderships || heartbeat.lease)
    notify_leadership_(std::move(update));
}

// The beat answers that follow, so its ages were counted after it left.
void ControlPlaneClient::handle_samples(RegistryLink& link, IncarnationId incarnation,
                                        ControlHeartbeat& heartbeat, TimePoint requested_at,
                                        TimePoint now) {
  link.heartbeat_incarnation = incarnation;
  link.serial = heartbeat.serial;
  link.last_heartbeat = now;
  if (!heartbeat.samples.empty())
    notify_samples_({std::move(heartbeat.samples), requested_at});
}

}  // namespace saddlewing
