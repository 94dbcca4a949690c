// The agree thread's care for the registry of backends and for the brokers.
#include <glog/logging.h>

#include <algorithm>

#include "registry/control_loop.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration full_sync_interval{5000};  // anti-entropy between registries
constexpr Duration oldest_sample{1400};
constexpr Duration broker_timeout{4000};  // then a broker no longer counts
constexpr Duration count_every{100};
constexpr Duration start_span{15000};  // after its start a registry has not heard of all yet
constexpr Duration settle_span{4000};  // a number of brokers that lasted so long is remembered
constexpr const char* broker_count_document = "fleet";
constexpr std::uint64_t fleet_token = ~0ull - 2;
constexpr std::size_t seats_told = 4;  // of each region

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
  if (endpoints.wants_full_list)
    peer.full_sync_due = {};
  if (!endpoints.is_complete && endpoints.base_revision > peer.received_revision)
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
  std::erase_if(peers_, [&](const auto& peer) { return !clients_.contains(peer.first); });
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
    up += line.entry.status == EndpointStatus::up;
  metrics().set(Metric::backends_up, up);
  metrics().set(Metric::brokers, static_cast<std::int64_t>(brokers_.size()));
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
    endpoints.wants_full_list = peer.is_missing;
    peer.sent_revision = registry_.revision();
    if (is_complete)
      peer.full_sync_due = now + full_sync_interval;
    send_to(address, encode(head(), endpoints));
  }
}

// Of each other region a few, from the place of the receiver's own hash on, so that every broker is
// some others' choice and one that comes or goes changes the choice of few.
void ControlLoop::choose_seats(const Broker& to, ControlHeartbeat& heartbeat) {
  if (are_seats_old_) {
    are_seats_old_ = false;
    seats_.clear();
    for (const auto& [from, broker] : brokers_)
      if (broker.is_ready && !broker.is_pooler)
        seats_[broker.region].push_back({std::hash<std::string>{}(from), from});
    for (auto& [region, seats] : seats_)
      std::sort(seats.begin(), seats.end());
  }
  const std::size_t own = std::hash<std::string>{}(to.from);
  for (const auto& [region, seats] : seats_) {
    if (region == to.region)
      continue;
    auto position = static_cast<std::size_t>(
        std::lower_bound(seats.begin(), seats.end(), std::pair(own, std::string())) -
        seats.begin());
    for (std::size_t count = 0; count < std::min(seats.size(), seats_told); ++count, ++position) {
      const auto& [hash, address] = seats[position % seats.size()];
      heartbeat.broker_endpoints.push_back({address, region});
      heartbeat.brokers_revision = heartbeat.brokers_revision * 31 + hash + 1;
    }
  }
}

void ControlLoop::send_heartbeat(Broker& to, bool is_granting, TimePoint now,
                                 ControlHeartbeat heartbeat) {
  heartbeat.term = led_in();
  heartbeat.requester = to.incarnation;
  heartbeat.token = to.token;
  heartbeat.is_leader = raft_.is_leased(now);
  heartbeat.zone = settings_.zone;
  heartbeat.region = settings_.region;
  if (raft_.committed())
    heartbeat.version = raft_.committed()->version;
  heartbeat.version_in_force = rollout_.in_force();
  heartbeat.is_confirmed = raft_.is_confirmed(now);
  heartbeat.is_filled = registry_.is_filled();
  heartbeat.broker_count =
      std::max<std::uint64_t>(brokers_.size(), now - born_ < start_span ? remembered_brokers_ : 0);
  heartbeat.registries = raft_.known_addresses();
  heartbeat.registries.push_back(address_);
  if (to.wants_endpoints && !to.is_pooler)
    choose_seats(to, heartbeat);
  if (is_granting && heartbeat.is_leader) {
    heartbeat.retry_grant = static_cast<std::uint64_t>(
        grants_.grant(to.from, to.incarnation, brokers_.size(), now) * 1000);
    heartbeat.retry_grant_validity = static_cast<std::uint64_t>(grants_.valid().count());
  }
  if (heartbeat.brokers_revision == to.brokers_revision)
    heartbeat.broker_endpoints.clear();
  if (settings_.has_edges && heartbeat.is_leader && heartbeat.is_confirmed && !to.is_pooler) {
    heartbeat.edge_view_in_force = static_cast<std::uint64_t>(edge_rollout_.in_force().value);
    if (to.edges_held < edge_aggregator_.view()->revision)
      heartbeat.edge_view = edges_text_;
  }
  heartbeat.leadership_revision = leaderships_.revision;
  if (to.is_pooler && heartbeat.is_leader && to.leadership_revision < leaderships_.revision)
    heartbeat.leaderships = leaderships_text_;
  if (to.is_pooler && to.wants_endpoints) {
    heartbeat.samples = samples_.tell(now, oldest_sample);
    heartbeat.serial = to.heartbeats.ask(now);
  }
  frame_server_.send(to.routing_id, encode(head(), heartbeat));
}

void ControlLoop::handle_subscribe(const std::string& routing_id, const FrameHead& from,
                                   const SubscribeRequest& follow, TimePoint now) {
  const auto [position, is_new] = brokers_.try_emplace(from.from);
  Broker& broker = position->second;
  if (is_new)
    broker.heartbeats = RequestClock(incarnation_);
  are_seats_old_ =
      are_seats_old_ || broker.is_ready != follow.is_ready || broker.region != follow.region;
  if (broker.held < follow.version)
    LOG(INFO) << "registry: broker " << from.from << " holds edition " << follow.version.value;
  broker.routing_id = routing_id;
  broker.from = from.from;
  broker.region = follow.region;
  broker.incarnation = from.incarnation;
  broker.is_ready = follow.is_ready;
  broker.brokers_revision = follow.brokers_revision;
  broker.held = follow.version;
  broker.last_contact = now;
  broker.sent_revision =
      follow.endpoints_incarnation == incarnation_.value ? follow.endpoints_revision : 0;
  broker.wants_endpoints = follow.wants_endpoints;
  broker.leadership_revision = follow.leadership_revision;
  broker.token = follow.token;
  if (broker.wants_endpoints && broker.sent_revision < registry_.revision())
    notified_revision_ = ~0ull;
  ControlHeartbeat heartbeat;
  if (!follow.zone.empty())
    handle_pooler(from, follow, broker, heartbeat, now);
  else
    handle_ring_subscription(from, follow, heartbeat, now);
  if (settings_.has_edges && !broker.is_pooler)
    handle_edge_subscription(follow, broker);
  send_heartbeat(broker, true, now, std::move(heartbeat));
  if (follow.wants_configuration && configuration_ && configuration_->version > follow.version)
    frame_server_.send(routing_id,
                       encode(head(), ConfigurationPayload{configuration_->version, packed_}));
  if (follow.wants_endpoints && broker.sent_revision == 0 && registry_.revision() == 0)
    frame_server_.send(routing_id, encode(head(), registry_.since(0, now)));
}

// Changes go out at once; whoever missed some says so with its next follow.
void ControlLoop::update_brokers(TimePoint now) {
  if (now >= counted_) {
    counted_ = now + count_every;
    if (std::erase_if(brokers_, [&](const auto& broker) {
          return now - broker.second.last_contact > broker_timeout;
        }))
      are_seats_old_ = true;
    remember_brokers(now);
  }
  if (notified_revision_ == registry_.revision())
    return;
  bool has_all = true;
  for (auto& [from, broker] : brokers_) {
    if (!broker.wants_endpoints || broker.sent_revision >= registry_.revision())
      continue;
    if (delta_.base != broker.sent_revision || delta_.revision != registry_.revision() ||
        delta_.bytes.empty())
      delta_ = {broker.sent_revision, registry_.revision(),
                encode(head(), registry_.since(broker.sent_revision, now))};
    if (frame_server_.send(broker.routing_id, delta_.bytes))
      broker.sent_revision = registry_.revision();
    else
      has_all = false;
  }
  if (has_all)
    notified_revision_ = registry_.revision();
}

// After a loss of all power every broker is the first one heard. What each may open is by the
// number that there was.
void ControlLoop::remember_brokers(TimePoint now) {
  if (const EntrySnapshot& committed = raft_.committed()) {
    const auto document = committed->documents.find(broker_count_document);
    ByteReader reader(document != committed->documents.end() ? std::string_view(document->second)
                                                             : std::string_view());
    if (const std::uint64_t count = reader.number(); reader.is_complete())
      remembered_brokers_ = count;
  }
  const std::uint64_t count = brokers_.size();
  const std::uint64_t off =
      count > remembered_brokers_ ? count - remembered_brokers_ : remembered_brokers_ - count;
  const bool differs = raft_.is_leader() && raft_.is_leased(now) && now - born_ > start_span &&
                       count > 0 && off * 4 > remembered_brokers_;
  if (!differs)
    count_differs_since_ = now;
  if (now - count_differs_since_ < settle_span)
    return;
  count_differs_since_ = now;
  raft_.propose_document(broker_count_document, Writer().number(count).take(), fleet_token, now);
}

void ControlLoop::advance_rollout(TimePoint now) {
  if (!rollout_.is_pending() || (raft_.is_leader() && !raft_.is_leased(now)))
    return;
  std::vector<Version> held;
  for (const auto& [from, broker] : brokers_)
    held.push_back(broker.held);
  const VersionRollout::Turn turn = rollout_.advance(held, now);
  if (turn == VersionRollout::Turn::none)
    return;
  steps_.record(rollout_.in_force(),
                turn == VersionRollout::Turn::held_by_all ? "held by all" : "waited enough", now);
  for (auto& [from, broker] : brokers_)
    send_heartbeat(broker, false, now);
}

void ControlLoop::handle_trace(const std::string& routing_id, TimePoint now) {
  TraceReply traced;
  traced.node = settings_.node_name;
  traced.role = "registry";
  if (raft_.committed())
    traced.version = raft_.committed()->version;
  traced.is_leader = raft_.is_leader();
  traced.events = steps_.events(now);
  traced.registries = raft_.known_addresses();
  traced.registries.push_back(address_);
  for (const auto& [from, broker] : brokers_)
    traced.brokers.push_back(from);
  frame_server_.send(routing_id, encode(head(), traced));
}

}  // namespace saddlewing
