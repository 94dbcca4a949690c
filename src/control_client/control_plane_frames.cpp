// What the control-plane client does with the frames that arrive.
#include <glog/logging.h>

#include <algorithm>

#include "control_client/control_plane_client.h"
#include "control_client/lease_duration.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/trace_messages.h"
#include "state/compression.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr int max_server_frames = 512;  // in one turn of the loop
constexpr double grant_unit = 1000;     // a grant travels in thousandths of a retry

}  // namespace

void ControlPlaneClient::handle_frame(const ReceivedFrame& frame, TimePoint now) {
  ByteReader reader(frame.bytes);
  FrameHead head;
  if (!decode_head(reader, head)) {
    metrics().add(Metric::dropped_frames);
    return;
  }
  const auto found = links_.find(head.from);
  if (found == links_.end())
    return;
  if (!decode_and_handle(head, reader, found->second, now)) {
    metrics().add(Metric::dropped_frames);
    LOG_EVERY_N(WARNING, 100) << "follow: frame dropped, foreign or damaged, from " << head.from;
  }
}

// False: the frame is of no kind that a registry sends here, or does not decode.
bool ControlPlaneClient::decode_and_handle(const FrameHead& head, ByteReader& reader,
                                           RegistryLink& link, TimePoint now) {
  if (head.kind == FrameKind::heartbeat) {
    ControlHeartbeat heartbeat;
    if (!decode(reader, heartbeat))
      return false;
    handle_heartbeat(head, link, heartbeat, now);
    return true;
  }
  if (head.kind == FrameKind::configuration) {
    ConfigurationPayload payload;
    if (!decode(reader, payload))
      return false;
    handle_configuration(payload, now);
    return true;
  }
  if (head.kind == FrameKind::endpoint_list) {
    EndpointList endpoints;
    if (!decode(reader, endpoints))
      return false;
    handle_endpoints(link, head, endpoints, now);
    return true;
  }
  return false;
}

void ControlPlaneClient::handle_heartbeat(const FrameHead& head, RegistryLink& link,
                                          ControlHeartbeat& heartbeat, TimePoint now) {
  const bool was_confirmed = control_source_.is_confirmed(control_source_.selected(), now);
  const ControlSourceSelector::HeartbeatResult result =
      control_source_.handle_heartbeat(head.from, heartbeat, now);
  if (result.is_authoritative)
    handle_orders(heartbeat, *result.request_sent_at, now);
  if (result.request_sent_at)
    pooler_.handle_samples(link.echo, head.incarnation, heartbeat, *result.request_sent_at, now);
  if (!is_ready_ || !was_confirmed)
    select_source(now);
  if (result.request_sent_at && heartbeat.is_confirmed)
    handle_brokers(heartbeat, head.from == control_source_.selected());
  if (heartbeat.version > version_switch_.version_held())
    fetch_configuration(now);
  activate_version(now);
}

// What the leader alone says: versions in force, tables, leases and grants.
void ControlPlaneClient::handle_orders(const ControlHeartbeat& heartbeat, TimePoint requested_at,
                                       TimePoint now) {
  version_switch_.observe_in_force(heartbeat.version_in_force);
  pooler_.handle_leaderships(heartbeat, requested_at);
  ring_.handle_heartbeat(heartbeat, requested_at);
  edges_.handle_heartbeat(heartbeat);
  if (!heartbeat.retry_grant_validity)
    return;
  retry_quota_.update(static_cast<double>(heartbeat.retry_grant) / grant_unit,
                      limited_duration(heartbeat.retry_grant_validity), requested_at);
  // Well before the published one expires.
  if (now - quota_published_at_ < settings_.follow * 2)
    return;
  quota_published_at_ = now;
  is_view_outdated_ = true;
}

void ControlPlaneClient::handle_brokers(const ControlHeartbeat& heartbeat, bool is_selected) {
  if (is_selected && remote_brokers_.update(heartbeat)) {
    is_view_outdated_ = true;
    delegations_.retain(remote_brokers_.chosen());
  }
  if (heartbeat.broker_count == broker_count_)
    return;
  broker_count_ = std::max<std::uint64_t>(1, heartbeat.broker_count);
  is_view_outdated_ = true;
}

void ControlPlaneClient::handle_configuration(const ConfigurationPayload& payload, TimePoint now) {
  if (payload.version <= version_switch_.version_held())
    return;  // a version never falls within an incarnation
  std::string text;
  if (!unpack(payload.body, max_configuration, text)) {
    LOG(ERROR) << "follow: configuration damaged on its way";
    return;
  }
  ConfigurationSnapshot snapshot;
  if (Error found = read_configuration(text, snapshot)) {
    LOG(ERROR) << "follow: configuration unreadable: " << found.text();
    return;
  }
  version_switch_.prepare(std::move(snapshot), now);
  fetcher_.finish();
  trace_.record(payload.version, "held", now);
  LOG(INFO) << "follow: edition " << payload.version.value << " held";
  activate_version(now);
  request_due_ = now;
}

// Of another incarnation of the registry only a complete list counts. After a gap nothing is taken:
// the next request tells what is held, and the rest is sent again.
void ControlPlaneClient::handle_endpoints(RegistryLink& link, const FrameHead& head,
                                          const EndpointList& endpoints, TimePoint now) {
  if (link.incarnation != head.incarnation.value) {
    if (!endpoints.is_complete)
      return;
    link.incarnation = head.incarnation.value;
  } else if (endpoints.base_revision > link.revision) {
    return;
  }
  for (const Endpoint& entry : endpoints.entries)
    is_view_outdated_ |= endpoint_table_.merge(entry, now);
  link.revision =
      endpoints.is_complete ? endpoints.revision : std::max(link.revision, endpoints.revision);
  control_source_.handle_endpoints(head.from);
}

void ControlPlaneClient::handle_server_frames(TimePoint now) {
  for (int count = 0; count < max_server_frames; ++count) {
    auto frame = frame_server_.receive();
    if (!frame)
      return;
    ByteReader reader(frame->bytes);
    FrameHead head;
    if (!decode_head(reader, head) ||
        !handle_server_frame(std::move(frame->routing_id), head, reader, now))
      metrics().add(Metric::dropped_frames);
  }
}

// False: the frame is of no kind that is sent to a broker, or does not decode.
bool ControlPlaneClient::handle_server_frame(std::string routing_id, const FrameHead& head,
                                             ByteReader& reader, TimePoint now) {
  switch (head.kind) {
    case FrameKind::gather_request:
      return delegations_.handle_request(std::move(routing_id), reader);
    case FrameKind::gather_cancel:
      return delegations_.handle_cancel(std::move(routing_id), reader);
    case FrameKind::trace_request:
      send_trace(routing_id, now);
      return true;
    default:
      return false;
  }
}

void ControlPlaneClient::send_trace(const std::string& routing_id, TimePoint now) {
  TraceReply traced;
  traced.node = settings_.node_name;
  traced.role = "broker";
  traced.version = version_switch_.version_held();
  traced.events = trace_.events(now);
  traced.registries = control_source_.registries();
  frame_server_.send(routing_id, encode({FrameKind::trace_reply, incarnation_, address_}, traced));
}

}  // namespace saddlewing
