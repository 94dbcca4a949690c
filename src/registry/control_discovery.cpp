// The agree thread's care for the registry of backends and for what brokers know of it.
#include <glog/logging.h>

#include <algorithm>

#include "registry/control_loop.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration full_sync_interval{5000};  // anti-entropy between registries

}  // namespace

void ControlLoop::handle_endpoints(const FrameHead& from, const EndpointList& endpoints,
                                   TimePoint now) {
  if (from.from.empty())
    return;
  Peer& peer = peers_[from.from];
  if (peer.incarnation != from.incarnation) {  // a new life there: it is to get everything
    peer = {};
    peer.incarnation = from.incarnation;
  }
  if (endpoints.is_observed)
    peer.observed = now;
  peer.last_contact = now;
  peer.zone = endpoints.zone;
  if (endpoints.wants_whole)
    peer.full_sync_due = {};
  if (!endpoints.is_complete && endpoints.base > peer.received_revision)
    peer.is_missing = true;
  else
    peer.received_revision = endpoints.revision,
    peer.is_missing = peer.is_missing && !endpoints.is_complete;
  registry_.take(endpoints, now);
}

// The leader observes the platform and the backends; others do so only while nobody is heard to.
void ControlLoop::update_registry(TimePoint now) {
  if (now < registry_due_)
    return;
  registry_due_ = now + Duration(100);
  std::erase_if(peers_, [&](const auto& peer) { return !links_.is_connected_to(peer.first); });
  const bool is_seen_elsewhere = std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return peer.second.observed != TimePoint{} &&
           now - peer.second.observed < settings_.listing * 3;
  });
  const bool should_observe = raft_.is_leader() || (!is_seen_elsewhere && !settings_.is_signing_up);
  if (should_observe && !is_observing_) {
    registry_.set_stamp_base(raft_.term().value << 32);
    LOG(INFO) << "registry: observes the platform";
  }
  std::int64_t up = 0;
  for (const auto& [id, line] : registry_.lines())
    up += line.entry.status == Status::up;
  metrics().set(Metric::backends_up, up);
  metrics().set(Metric::brokers, static_cast<std::int64_t>(broker_directory_.size()));
  metrics().set(Metric::evictions, static_cast<std::int64_t>(registry_.evicted()));
  metrics().set(Metric::leaderships, raft_.is_leader());
  const bool has_turned = should_observe != is_observing_;
  is_observing_ = should_observe;
  if (is_observing_) {
    const bool was_evicting = registry_.is_evicting();
    registry_.sweep(now);
    if (was_evicting != registry_.is_evicting())
      LOG(WARNING) << "registry: "
                   << (registry_.is_evicting() ? "evicts again"
                                               : "preserves itself, too few renewals");
  } else {
    registry_.forget_gone(now, registry_tombstone(settings_));
  }
  if (has_turned || ordered_revision_ != registry_.revision()) {
    ordered_revision_ = registry_.revision();
    auto order = std::make_shared<WatchOrder>();
    order->is_observing =
        is_observing_ && !settings_.is_signing_up;  // who tells of itself need not be looked for
    if (configuration_ && order->is_observing) {
      std::map<std::string, std::string> paths;
      for (const Service& service : configuration_->services)
        paths[service.name] = service.health_path;
      for (const ProbeTarget& target : registry_.targets())
        if (const auto found = paths.find(target.service); found != paths.end())
          order->targets.push_back({target.id, target.address, found->second, target.is_awaited});
    }
    backend_monitor_->order(std::move(order));
  }
  for (const std::string& address : raft_.known_addresses()) {
    Peer& peer = peers_[address];
    const bool is_complete = now >= peer.full_sync_due;
    const bool has_news = registry_.revision() > peer.sent_revision;
    const bool is_sign_due =
        now - peer.sent >= (is_observing_ ? settings_.listing : settings_.listing * 4);
    if (!is_complete && !has_news && !is_sign_due && !peer.is_missing)
      continue;
    peer.sent = now;
    EndpointList endpoints = registry_.since(is_complete ? 0 : peer.sent_revision, now);
    endpoints.is_observed = is_observing_;
    endpoints.zone = settings_.zone;
    endpoints.wants_whole = peer.is_missing;
    peer.sent_revision = registry_.revision();
    if (is_complete)
      peer.full_sync_due = now + full_sync_interval;
    links_.send_to(address, encode(head(), endpoints));
  }
}

// Changes go out at once; whoever missed some says so with its next follow.
void ControlLoop::send_endpoint_changes(TimePoint now) {
  if (notified_revision_ == registry_.revision())
    return;
  bool has_all = true;
  for (auto& [address, broker] : broker_directory_.brokers()) {
    if (!broker.wants_endpoints || broker.endpoints_revision >= registry_.revision())
      continue;
    if (delta_.base != broker.endpoints_revision || delta_.revision != registry_.revision() ||
        delta_.bytes.empty())
      delta_ = {broker.endpoints_revision, registry_.revision(),
                encode(head(), registry_.since(broker.endpoints_revision, now))};
    if (frame_server_.send(broker.routing_id, delta_.bytes))
      broker.endpoints_revision = registry_.revision();
    else
      has_all = false;
  }
  if (has_all)
    notified_revision_ = registry_.revision();
}

void ControlLoop::advance_rollout(TimePoint now) {
  if (!rollout_.is_pending() || (raft_.is_leader() && !raft_.is_leased(now)))
    return;
  const VersionRollout::Turn turn = rollout_.advance(broker_directory_.held_versions(), now);
  if (turn == VersionRollout::Turn::none)
    return;
  steps_.note(rollout_.in_force(),
              turn == VersionRollout::Turn::held_by_all ? "held by all" : "waited enough", now);
  notify_brokers(now);
}

void ControlLoop::handle_trace(const std::string& routing_id, TimePoint now) {
  Traced traced;
  traced.node = settings_.node_name;
  traced.role = "registry";
  if (raft_.committed())
    traced.held = raft_.committed()->version;
  traced.is_leader = raft_.is_leader();
  traced.steps = steps_.tell(now);
  traced.registries = raft_.known_addresses();
  traced.registries.push_back(address_);
  traced.brokers = broker_directory_.addresses();
  frame_server_.send(routing_id, encode(head(), traced));
}

}  // namespace saddlewing
