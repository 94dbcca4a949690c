// Subscriptions and heartbeats: what brokers and poolers are told, put together from the parts.
#include <algorithm>
#include <utility>

#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "registry/control_loop.h"
#include "registry/sent_bytes.h"

namespace saddlewing {
namespace {

constexpr Duration broker_check_interval{100};
constexpr double delegations_per_broker = 8;     // at once
constexpr double retry_quota_resolution = 1000;  // quotas travel in thousandths of a retry

}  // namespace

void ControlLoop::handle_subscribe(const std::string& routing_id, const FrameHead& from,
                                   const SubscribeRequest& request, TimePoint now) {
  ConnectedBroker& broker = broker_directory_.subscribe(routing_id, from, request, now);
  endpoint_publisher_.handle_subscription(broker);
  ControlHeartbeat heartbeat;
  if (request.zone.empty()) {
    ring_service_.handle_subscription(from, request, heartbeat, now);
  } else {
    const auto echoed_at = broker.heartbeats.sent_at(request.echo_incarnation, request.echo_serial);
    failover_service_.handle_subscription(from, request, echoed_at, heartbeat, now);
  }
  if (!broker.is_pooler)
    edge_latency_service_.record_counts(request.region, request.edge_counts);
  add_retry_quota(broker, heartbeat, now);
  send_heartbeat(broker, now, std::move(heartbeat));
  if (request.wants_configuration)
    if (const auto payload = configuration_service_.payload_after(request.version))
      reply_sender_.send(routing_id, encode(head(), *payload));
  endpoint_publisher_.send_empty_list(broker, now);
}

void ControlLoop::add_retry_quota(const ConnectedBroker& to, ControlHeartbeat& heartbeat,
                                  TimePoint now) {
  if (!raft_.is_leased(now))
    return;
  heartbeat.retry_grant = static_cast<std::uint64_t>(
      retry_quotas_.grant(to.address, to.incarnation, broker_directory_.size(), now) *
      retry_quota_resolution);
  heartbeat.retry_grant_validity =
      static_cast<std::uint64_t>(retry_quotas_.grant_duration().count());
}

// `heartbeat`: what goes to this receiver alone; the rest is filled in.
void ControlLoop::send_heartbeat(ConnectedBroker& to, TimePoint now, ControlHeartbeat heartbeat) {
  add_own_state(heartbeat, now);
  heartbeat.requester = to.incarnation;
  heartbeat.token = to.subscription_token;
  if (to.is_pooler)
    add_pooler_state(to, heartbeat, now);
  else
    add_broker_state(to, heartbeat);
  const std::string frame = encode(head(), heartbeat);
  if (!frame_server_.send(to.routing_id, frame))
    return;
  const std::size_t leaderships = heartbeat.leaderships.size();
  const std::size_t samples = heartbeat.samples.size();
  sent_bytes().record(SentKind::leaderships, Receiver::subscriber, leaderships);
  sent_bytes().record(SentKind::samples, Receiver::subscriber, samples);
  sent_bytes().record(SentKind::heartbeat, Receiver::subscriber,
                      frame.size() - leaderships - samples);
}

void ControlLoop::add_own_state(ControlHeartbeat& heartbeat, TimePoint now) const {
  heartbeat.term = raft_context_.led_term();
  heartbeat.is_leader = raft_.is_leased(now);
  heartbeat.zone = settings_.zone;
  heartbeat.region = settings_.region;
  if (raft_.committed())
    heartbeat.version = raft_.committed()->version;
  heartbeat.version_in_force = configuration_service_.in_force();
  heartbeat.is_confirmed = raft_.is_confirmed(now);
  heartbeat.is_filled = discovery_service_.registry().is_filled();
  heartbeat.broker_count = broker_count_memory_.estimate(broker_directory_.size(), now);
  heartbeat.registries = raft_.known_addresses();
  heartbeat.registries.push_back(address_);
  heartbeat.leadership_revision = failover_service_.revision();
}

void ControlLoop::add_broker_state(const ConnectedBroker& to, ControlHeartbeat& heartbeat) {
  if (to.wants_endpoints) {
    BrokerChoice delegates = broker_directory_.choose_delegates(to);
    heartbeat.brokers_revision = delegates.revision;
    if (delegates.revision != to.brokers_revision)
      heartbeat.broker_endpoints = std::move(delegates.endpoints);
  }
  if (heartbeat.is_leader && heartbeat.is_confirmed)
    edge_latency_service_.fill_heartbeat(to.edges_revision, heartbeat);
}

void ControlLoop::add_pooler_state(ConnectedBroker& to, ControlHeartbeat& heartbeat,
                                   TimePoint now) {
  if (heartbeat.is_leader && to.leadership_revision < failover_service_.revision())
    heartbeat.leaderships = failover_service_.encoded_leaderships();
  if (!to.wants_endpoints)
    return;
  heartbeat.samples = failover_service_.encode_samples(now);
  heartbeat.serial = to.heartbeats.record_request(now);
}

void ControlLoop::maintain_brokers(TimePoint now) {
  if (now < broker_check_due_)
    return;
  broker_check_due_ = now + broker_check_interval;
  broker_directory_.remove_silent(now);
  broker_count_memory_.tick(broker_directory_.size(), now);
}

void ControlLoop::notify_brokers(TimePoint now) {
  for (auto& [address, broker] : broker_directory_.brokers())
    send_heartbeat(broker, now);
}

void ControlLoop::notify_poolers(TimePoint now) {
  for (auto& [address, broker] : broker_directory_.brokers())
    if (broker.is_pooler)
      send_heartbeat(broker, now);
}

void ControlLoop::send_ring(std::uint64_t revision, const std::string& encoded_ring,
                            TimePoint now) {
  for (auto& [address, broker] : broker_directory_.brokers()) {
    if (broker.is_pooler)
      continue;
    ControlHeartbeat heartbeat;
    heartbeat.ring_revision = revision;
    heartbeat.ring = encoded_ring;
    send_heartbeat(broker, now, std::move(heartbeat));
  }
}

EdgeEnvironment::Capacities ControlLoop::edge_capacities() const {
  Capacities capacities;
  for (const auto& [id, leased] : discovery_service_.registry().endpoints())
    if (leased.endpoint.phase == EndpointPhase::ready &&
        leased.endpoint.status == EndpointStatus::up)
      capacities[{leased.endpoint.service, leased.endpoint.zone}] +=
          static_cast<double>(std::max<std::uint64_t>(1, leased.endpoint.capacity));
  for (const auto& [address, broker] : broker_directory_.brokers())
    if (broker.is_ready)
      capacities[{"", broker.region}] += delegations_per_broker;
  return capacities;
}

}  // namespace saddlewing
