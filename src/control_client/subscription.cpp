// What the follow thread tells registries and takes from their beats: the feed, holds, samples, the
// ring.
#include <glog/logging.h>

#include <algorithm>

#include "control_client/control_plane_client.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration oldest_sample{1500};

}  // namespace

void ControlPlaneClient::follow_one(const std::string& address, bool wants_body) {
  const auto found = lines_.find(address);
  const auto known = control_source_.sources().find(address);
  if (found == lines_.end() || known == control_source_.sources().end())
    return;
  const Line& line = found->second;
  const bool is_feed = address == control_source_.chosen(),
             is_leader = control_source_.is_leader(known->second);
  SubscribeRequest follow;
  follow.version = version_switch_.held();
  follow.endpoints_incarnation = line.incarnation;
  follow.endpoints_revision = line.revision;
  follow.wants_configuration = wants_body;
  follow.wants_endpoints = is_feed;
  follow.region = settings_.region;
  follow.is_ready = is_ready_ && !is_leaving_;
  follow.brokers_revision = brokers_revision_;
  follow.token = control_source_.token();
  follow.leadership_revision = confirmed_revision_;
  if (lease_)
    follow.zone = settings_.zone;
  follow.ring_revision = ring_confirmed_;
  follow.latest_ring_revision = ring_revision_;
  if (ring_revision_ && is_leader)
    count_ring(follow);
  if (edges_) {
    follow.edge_view_revision = edges_held_;
    for (const std::string& counts : edge_counts_.take())
      edge_sums_.merge(counts);
    if (is_feed)
      follow.edge_counts = edge_sums_.take();
  }
  if (lease_ && (is_leader || is_feed)) {
    follow.failing_leaderships = seen_.failing;
    follow.healthy_leaderships = seen_.fine;
    if (is_feed && line.serial && Clock::now() - seen_.built < oldest_sample) {
      const TimePoint now = Clock::now();
      follow.samples = seen_.samples;
      follow.samples_age =
          static_cast<std::uint64_t>(std::chrono::ceil<Duration>(now - seen_.built).count());
      follow.echo_incarnation = line.heartbeat_incarnation;
      follow.echo_serial = line.serial;
      follow.echo_delay = static_cast<std::uint64_t>(elapsed(line.last_heartbeat, now).count());
    }
    if (seen_.revision != follow.leadership_revision)
      follow.failing_leaderships.clear(), follow.healthy_leaderships.clear();
  }
  line.client->send(encode({FrameKind::subscribe, incarnation_, address_}, follow));
}

void ControlPlaneClient::count_ring(SubscribeRequest& follow) {
  std::map<VirtualNode, RingLoad> sums;
  std::map<std::string, RingLoad> account_sums;
  for (const RingCounts& counts : ring_counts_.take()) {
    for (const auto& [virtual_node, load] : counts.loads)
      sums[virtual_node] += load;
    for (const auto& [account, load] : counts.accounts)
      account_sums[account] += load;
    follow.lookups += counts.lookups;
    follow.late_lookups += counts.late;
  }
  std::vector<std::pair<VirtualNode, RingLoad>> loads(sums.begin(), sums.end());
  std::vector<std::pair<std::string, RingLoad>> accounts(account_sums.begin(), account_sums.end());
  const auto is_busier = [](const auto& left, const auto& right) {
    return left.second.busy_ms > right.second.busy_ms;
  };
  std::sort(loads.begin(), loads.end(), is_busier);
  std::sort(accounts.begin(), accounts.end(), is_busier);
  follow.ring_loads = encode_loads(loads);
  follow.account_loads = encode_account_loads(accounts);
}

// A view that does not read, or that is older than the one held, changes nothing.
void ControlPlaneClient::take_edges(const ControlHeartbeat& heartbeat) {
  if (!heartbeat.edge_view_in_force && heartbeat.edge_view.empty())
    return;
  EdgeNews news{nullptr, heartbeat.edge_view_in_force};
  auto view = std::make_shared<EdgeView>();
  if (!heartbeat.edge_view.empty()) {
    if (decode_view(heartbeat.edge_view, *view) && view->revision >= edges_held_) {
      if (view->revision > edges_held_)
        news.view = view;
      edges_held_ = view->revision;
    } else {
      metrics().add(Metric::edge_frames_dropped);
    }
  }
  edges_(std::move(news));
}

void ControlPlaneClient::take_ring(const ControlHeartbeat& heartbeat, TimePoint asked) {
  RingNews news;
  if (!heartbeat.ring.empty() && heartbeat.ring_revision > ring_revision_) {
    RingDocument document;
    if (decode_ring(heartbeat.ring, document) && document.revision == heartbeat.ring_revision &&
        (news.view = view_ring(document))) {
      ring_revision_ = document.revision;
      LOG(INFO) << "follow: ring " << ring_revision_ << " held";
    }
  }
  if (heartbeat.lease)
    news.until =
        asked +
        Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(heartbeat.lease, 60000)));
  if (news.view || (ring_revision_ && heartbeat.lease))
    ring_(std::move(news));
}

// Invariant: a hold counts from the moment of asking, and a table is handed on before a hold that
// covers it.
void ControlPlaneClient::handle_leadership_lease(ControlHeartbeat& heartbeat, TimePoint asked) {
  LeadershipUpdate news;
  if (!heartbeat.leaderships.empty() && heartbeat.leadership_revision > leadership_revision_) {
    auto table = std::make_shared<LeadershipTable>();
    if (decode_leaderships(heartbeat.leaderships, *table) &&
        table->revision == heartbeat.leadership_revision) {
      leadership_revision_ = table->revision;
      news.leaderships = std::move(table);
    }
  }
  if (heartbeat.lease)
    lease_until_ =
        std::max(lease_until_, asked + Duration(static_cast<std::int64_t>(
                                           std::min<std::uint64_t>(heartbeat.lease, 60000))));
  news.until = lease_until_;
  if (news.leaderships || heartbeat.lease)
    lease_(std::move(news));
}

// The beat answers that follow, so its ages were counted after it left.
void ControlPlaneClient::take_samples(Line& line, IncarnationId incarnation,
                                      ControlHeartbeat& heartbeat, TimePoint asked, TimePoint now) {
  line.heartbeat_incarnation = incarnation;
  line.serial = heartbeat.serial;
  line.last_heartbeat = now;
  if (!heartbeat.samples.empty())
    sample_({std::move(heartbeat.samples), asked});
}

}  // namespace saddlewing
