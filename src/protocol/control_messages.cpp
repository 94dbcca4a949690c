#include "protocol/control_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<SubscribeRequest> request) {
  archive(request.version, request.endpoints_incarnation, request.endpoints_revision);
  archive(request.wants_configuration, request.wants_endpoints);
  archive(request.region, request.is_ready, request.brokers_revision, request.token);
  archive(request.leadership_revision, request.zone);
  archive(request.failing_leaderships, request.healthy_leaderships);
  archive(request.samples, request.samples_age);
  archive(request.ring_revision, request.latest_ring_revision);
  archive(request.ring_loads, request.account_loads, request.lookups, request.late_lookups);
  archive(request.edge_counts, request.edge_view_revision);
  archive(request.echo_incarnation, request.echo_serial, request.echo_delay);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<BrokerEndpoint> broker) {
  archive(broker.address, broker.region);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<ControlHeartbeat> heartbeat) {
  archive(heartbeat.term, heartbeat.requester, heartbeat.token);
  archive(heartbeat.version, heartbeat.version_in_force);
  archive(heartbeat.is_confirmed, heartbeat.is_filled, heartbeat.is_leader);
  archive(heartbeat.zone, heartbeat.region, heartbeat.broker_count);
  archive(heartbeat.retry_grant, heartbeat.retry_grant_validity, heartbeat.registries);
  archive(heartbeat.brokers_revision, heartbeat.broker_endpoints);
  archive(heartbeat.lease, heartbeat.leadership_revision, heartbeat.leaderships);
  archive(heartbeat.samples, heartbeat.serial);
  archive(heartbeat.ring_revision, heartbeat.ring);
  archive(heartbeat.edge_view_in_force, heartbeat.edge_view);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<ConfigurationPayload> payload) {
  archive(payload.version, payload.body);
}

std::string encode(const FrameHead& head, const SubscribeRequest& request) {
  return encode_frame(head, FrameKind::subscribe, request);
}

std::string encode(const FrameHead& head, const ControlHeartbeat& heartbeat) {
  return encode_frame(head, FrameKind::heartbeat, heartbeat);
}

std::string encode(const FrameHead& head, const ConfigurationPayload& payload) {
  return encode_frame(head, FrameKind::configuration, payload);
}

bool decode(ByteReader& reader, SubscribeRequest& request) {
  return decode_fields(reader, request);
}

bool decode(ByteReader& reader, ControlHeartbeat& heartbeat) {
  return decode_fields(reader, heartbeat);
}

bool decode(ByteReader& reader, ConfigurationPayload& payload) {
  return decode_fields(reader, payload);
}

}  // namespace saddlewing
