#include "protocol/frames.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t protocol_number = 0x5357'0004;

void write_texts(Writer& writer, const std::vector<std::string>& texts) {
  writer.number(texts.size());
  for (const std::string& text : texts)
    writer.text(text);
}

void read_texts(ByteReader& reader, std::vector<std::string>& texts) {
  texts.resize(reader.count(8));
  for (std::string& text : texts)
    text = reader.text();
}

template <class Enum>
bool read_enum(ByteReader& reader, Enum& value, Enum last) {
  const std::uint64_t number = reader.number();
  if (number > static_cast<std::uint64_t>(last))
    return false;
  value = static_cast<Enum>(number);
  return true;
}

Version read_version(ByteReader& reader) {
  return Version{static_cast<std::int64_t>(reader.number())};
}

}  // namespace

Writer open_frame(const FrameHead& head, FrameKind kind) {
  Writer writer;
  writer.number(protocol_number)
      .number(static_cast<std::uint64_t>(kind))
      .number(head.incarnation.value)
      .text(head.from);
  return writer;
}

const char* name_of(EndpointStatus status) {
  switch (status) {
    case EndpointStatus::up:
      return "UP";
    case EndpointStatus::down:
      return "DOWN";
    case EndpointStatus::starting:
      return "STARTING";
    case EndpointStatus::out_of_service:
      return "OUT_OF_SERVICE";
    case EndpointStatus::unknown:
      break;
  }
  return "UNKNOWN";
}

std::string encode(const FrameHead& head, const ForwardedCall& value) {
  return open_frame(head, FrameKind::forwarded_call)
      .number(value.token)
      .number(value.is_read)
      .number(value.version.value)
      .text(value.body)
      .number(value.term.value)
      .take();
}

bool decode(ByteReader& reader, ForwardedCall& value) {
  value.token = reader.number();
  value.is_read = reader.number();
  value.version = read_version(reader);
  value.body = reader.text();
  value.term.value = reader.number();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const ForwardedReply& value) {
  return open_frame(head, FrameKind::forwarded_reply)
      .number(value.token)
      .number(value.requester.value)
      .number(value.is_read)
      .number(value.version.value)
      .number(value.digest)
      .number(value.term.value)
      .number(value.is_done)
      .text(value.body)
      .take();
}

bool decode(ByteReader& reader, ForwardedReply& value) {
  value.token = reader.number();
  value.requester.value = reader.number();
  value.is_read = reader.number();
  value.version = read_version(reader);
  value.digest = reader.number();
  value.term.value = reader.number();
  value.is_done = reader.number();
  value.body = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const SubscribeRequest& value) {
  Writer writer = open_frame(head, FrameKind::subscribe);
  writer.number(value.version.value)
      .number(value.endpoints_incarnation)
      .number(value.endpoints_revision)
      .number(value.wants_configuration)
      .number(value.wants_endpoints);
  writer.text(value.region)
      .number(value.is_ready)
      .number(value.brokers_revision)
      .number(value.token)
      .number(value.leadership_revision)
      .text(value.zone)
      .text(value.failing_leaderships)
      .text(value.healthy_leaderships)
      .text(value.samples);
  writer.number(value.samples_age)
      .number(value.ring_revision)
      .number(value.latest_ring_revision)
      .text(value.ring_loads)
      .text(value.account_loads)
      .number(value.lookups)
      .number(value.late_lookups);
  writer.text(value.edge_counts)
      .number(value.edge_view_revision)
      .number(value.echo_incarnation.value)
      .number(value.echo_serial)
      .number(value.echo_delay);
  return writer.take();
}

bool decode(ByteReader& reader, SubscribeRequest& value) {
  value.version = read_version(reader);
  value.endpoints_incarnation = reader.number();
  value.endpoints_revision = reader.number();
  value.wants_configuration = reader.number();
  value.wants_endpoints = reader.number();
  value.region = reader.text();
  value.is_ready = reader.number();
  value.brokers_revision = reader.number();
  value.token = reader.number();
  value.leadership_revision = reader.number();
  value.zone = reader.text();
  value.failing_leaderships = reader.text();
  value.healthy_leaderships = reader.text();
  value.samples = reader.text();
  value.samples_age = reader.number();
  value.ring_revision = reader.number();
  value.latest_ring_revision = reader.number();
  value.ring_loads = reader.text();
  value.account_loads = reader.text();
  value.lookups = reader.number();
  value.late_lookups = reader.number();
  value.edge_counts = reader.text();
  value.edge_view_revision = reader.number();
  value.echo_incarnation.value = reader.number();
  value.echo_serial = reader.number();
  value.echo_delay = reader.number();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const ControlHeartbeat& value) {
  Writer writer = open_frame(head, FrameKind::heartbeat);
  writer.number(value.term.value)
      .number(value.requester.value)
      .number(value.token)
      .number(value.version.value)
      .number(value.version_in_force.value)
      .number(value.is_confirmed)
      .number(value.is_filled)
      .number(value.is_leader);
  writer.text(value.zone)
      .text(value.region)
      .number(value.broker_count)
      .number(value.retry_grant)
      .number(value.retry_grant_validity);
  write_texts(writer, value.registries);
  writer.number(value.brokers_revision).number(value.broker_endpoints.size());
  for (const BrokerEndpoint& seat : value.broker_endpoints)
    writer.text(seat.address).text(seat.region);
  writer.number(value.lease)
      .number(value.leadership_revision)
      .text(value.leaderships)
      .text(value.samples)
      .number(value.serial)
      .number(value.ring_revision)
      .text(value.ring);
  writer.number(value.edge_view_in_force).text(value.edge_view);
  return writer.take();
}

bool decode(ByteReader& reader, ControlHeartbeat& value) {
  value.term.value = reader.number(), value.requester.value = reader.number(),
  value.token = reader.number();
  value.version = read_version(reader);
  value.version_in_force = read_version(reader);
  value.is_confirmed = reader.number();
  value.is_filled = reader.number();
  value.is_leader = reader.number();
  value.zone = reader.text();
  value.region = reader.text();
  value.broker_count = reader.number();
  value.retry_grant = reader.number();
  value.retry_grant_validity = reader.number();
  read_texts(reader, value.registries);
  value.brokers_revision = reader.number();
  value.broker_endpoints.resize(reader.count(16));
  for (BrokerEndpoint& seat : value.broker_endpoints) {
    seat.address = reader.text();
    seat.region = reader.text();
  }
  value.lease = reader.number();
  value.leadership_revision = reader.number();
  value.leaderships = reader.text();
  value.samples = reader.text();
  value.serial = reader.number();
  value.ring_revision = reader.number();
  value.ring = reader.text();
  value.edge_view_in_force = reader.number();
  value.edge_view = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const ConfigurationPayload& value) {
  return open_frame(head, FrameKind::configuration)
      .number(value.version.value)
      .text(value.body)
      .take();
}

bool decode(ByteReader& reader, ConfigurationPayload& value) {
  value.version = read_version(reader);
  value.body = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const EndpointList& value) {
  Writer writer = open_frame(head, FrameKind::endpoint_list);
  writer.number(value.is_complete)
      .number(value.is_observed)
      .number(value.is_filled)
      .number(value.wants_full_list)
      .text(value.zone)
      .number(value.base_revision)
      .number(value.revision);
  writer.number(value.entries.size());
  for (const Endpoint& entry : value.entries) {
    writer.text(entry.id)
        .text(entry.service)
        .text(entry.address)
        .text(entry.zone)
        .text(entry.software);
    writer.number(entry.capacity)
        .number(static_cast<std::uint64_t>(entry.phase))
        .number(static_cast<std::uint64_t>(entry.status));
    writer.number(entry.status_revision)
        .number(entry.warmup_left)
        .number(entry.lease_left)
        .number(entry.is_leader)
        .number(entry.call_count);
  }
  return writer.take();
}

bool decode(ByteReader& reader, EndpointList& value) {
  value.is_complete = reader.number();
  value.is_observed = reader.number();
  value.is_filled = reader.number();
  value.wants_full_list = reader.number();
  value.zone = reader.text();
  value.base_revision = reader.number();
  value.revision = reader.number();
  value.entries.resize(reader.count(104));
  for (Endpoint& entry : value.entries) {
    entry.id = reader.text();
    entry.service = reader.text();
    entry.address = reader.text();
    entry.zone = reader.text();
    entry.software = reader.text();
    entry.capacity = reader.number();
    if (!read_enum(reader, entry.phase, EndpointPhase::gone) ||
        !read_enum(reader, entry.status, EndpointStatus::unknown))
      return false;
    entry.status_revision = reader.number();
    entry.warmup_left = reader.number();
    entry.lease_left = reader.number();
    entry.is_leader = reader.number();
    entry.call_count = reader.number();
  }
  return reader.is_complete();
}

std::string encode_trace(const FrameHead& head) {
  return open_frame(head, FrameKind::trace_request).take();
}

std::string encode(const FrameHead& head, const TraceReply& value) {
  Writer writer = open_frame(head, FrameKind::trace_reply);
  writer.text(value.node)
      .text(value.role)
      .number(value.version.value)
      .number(value.is_leader)
      .number(value.events.size());
  for (const VersionEvent& step : value.events)
    writer.number(step.version.value).text(step.what).number(step.age);
  write_texts(writer, value.registries);
  write_texts(writer, value.brokers);
  return writer.take();
}

bool decode(ByteReader& reader, TraceReply& value) {
  value.node = reader.text();
  value.role = reader.text();
  value.version = read_version(reader);
  value.is_leader = reader.number();
  value.events.resize(reader.count(24));
  for (VersionEvent& step : value.events) {
    step.version = read_version(reader);
    step.what = reader.text();
    step.age = reader.number();
  }
  read_texts(reader, value.registries);
  read_texts(reader, value.brokers);
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const GatherRequest& value) {
  Writer writer = open_frame(head, FrameKind::gather_request);
  writer.number(value.token)
      .text(value.method)
      .text(value.try_id)
      .text(value.request_head)
      .text(value.body);
  write_texts(writer, value.services);
  writer.number(value.best_count).number(value.time_left).number(value.flush_after);
  return writer.take();
}

bool decode(ByteReader& reader, GatherRequest& value) {
  value.token = reader.number();
  value.method = reader.text();
  value.try_id = reader.text();
  value.request_head = reader.text();
  value.body = reader.text();
  read_texts(reader, value.services);
  value.best_count = reader.number();
  value.time_left = reader.number();
  value.flush_after = reader.number();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const GatherResult& value) {
  Writer writer = open_frame(head, FrameKind::gather_result);
  writer.number(value.token).number(value.done.size());
  for (const GatherResult::CompletedPart& done : value.done)
    writer.number(done.part).text(done.checksum);
  writer.number(value.failed.size());
  for (const GatherResult::FailedPart& failed : value.failed)
    writer.number(failed.part).number(failed.kind).number(failed.may_have_run);
  writer.number(value.processing_time).text(value.records);
  return writer.take();
}

bool decode(ByteReader& reader, GatherResult& value) {
  value.token = reader.number();
  value.done.resize(reader.count(16));
  for (GatherResult::CompletedPart& done : value.done) {
    done.part = reader.number();
    done.checksum = reader.text();
  }
  value.failed.resize(reader.count(24));
  for (GatherResult::FailedPart& failed : value.failed) {
    failed.part = reader.number();
    failed.kind = reader.number();
    failed.may_have_run = reader.number();
  }
  value.processing_time = reader.number();
  value.records = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const RenewedIds& value) {
  Writer writer = open_frame(head, FrameKind::renewed_ids);
  writer.number(value.items.size());
  for (const RenewedIds::Item& item : value.items)
    writer.text(item.id).number(item.call_count).number(item.age).number(item.is_leader);
  return writer.take();
}

bool decode(ByteReader& reader, RenewedIds& value) {
  value.items.resize(reader.count(32));
  for (RenewedIds::Item& item : value.items) {
    item.id = reader.text();
    item.call_count = reader.number();
    item.age = reader.number();
    item.is_leader = reader.number();
  }
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const RingCall& value) {
  return open_frame(head, FrameKind::ring_call).text(value.verb).text(value.text).take();
}

bool decode(ByteReader& reader, RingCall& value) {
  value.verb = reader.text(), value.text = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const RingReply& value) {
  return open_frame(head, FrameKind::ring_reply)
      .number(value.is_done)
      .text(value.leader)
      .text(value.reason)
      .text(value.text)
      .take();
}

bool decode(ByteReader& reader, RingReply& value) {
  value.is_done = reader.number();
  value.leader = reader.text();
  value.reason = reader.text();
  value.text = reader.text();
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const EdgeSums& value) {
  Writer writer = open_frame(head, FrameKind::edge_sums);
  writer.number(value.term.value).number(value.regions.size());
  for (const auto& [region, counts] : value.regions)
    writer.text(region).text(counts);
  return writer.take();
}

bool decode(ByteReader& reader, EdgeSums& value) {
  value.term.value = reader.number();
  value.regions.resize(reader.count(16));
  for (auto& [region, counts] : value.regions) {
    region = reader.text();
    counts = reader.text();
  }
  return reader.is_complete();
}

std::string encode(const FrameHead& head, const EdgeViewFrame& value) {
  Writer writer = open_frame(head, FrameKind::edge_view);
  writer.number(value.term.value)
      .number(value.revision_in_force)
      .text(value.view)
      .number(value.latencies.size());
  for (const auto& [way, minimum] : value.latencies)
    writer.text(way.first).text(way.second).number(static_cast<std::uint64_t>(minimum * 1000));
  return writer.take();
}

bool decode(ByteReader& reader, EdgeViewFrame& value) {
  value.term.value = reader.number();
  value.revision_in_force = reader.number();
  value.view = reader.text();
  for (std::uint64_t left = reader.count(24); left > 0; --left) {
    std::string region = reader.text(), zone = reader.text();
    value.latencies[{std::move(region), std::move(zone)}] =
        static_cast<double>(reader.number()) / 1000;
  }
  return reader.is_complete();
}

bool decode_head(ByteReader& reader, FrameHead& head) {
  if (reader.number() != protocol_number)
    return false;
  const std::uint64_t kind = reader.number();
  if (kind < static_cast<std::uint64_t>(FrameKind::raft) ||
      kind > static_cast<std::uint64_t>(FrameKind::cluster_status))
    return false;
  head.kind = static_cast<FrameKind>(kind);
  head.incarnation.value = reader.number();
  head.from = reader.text();
  return reader.is_good();
}

}  // namespace saddlewing
