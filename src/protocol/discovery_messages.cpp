#include "protocol/discovery_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

constexpr EndpointPhase last_enumerator(EndpointPhase) {
  return EndpointPhase::gone;
}

constexpr EndpointStatus last_enumerator(EndpointStatus) {
  return EndpointStatus::unknown;
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<Endpoint> endpoint) {
  archive(endpoint.id, endpoint.service, endpoint.address, endpoint.zone, endpoint.software);
  archive(endpoint.capacity, endpoint.phase, endpoint.status, endpoint.status_revision);
  archive(endpoint.warmup_left, endpoint.lease_left, endpoint.is_leader, endpoint.call_count);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<EndpointList> list) {
  archive(list.is_complete, list.is_observed, list.is_filled, list.wants_full_list);
  archive(list.zone, list.base_revision, list.revision, list.entries);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<RenewedIds::Item> item) {
  archive(item.id, item.call_count, item.age, item.is_leader);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<RenewedIds> renewed) {
  archive(renewed.items);
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

std::string encode(const FrameHead& head, const EndpointList& list) {
  return encode_frame(head, FrameKind::endpoint_list, list);
}

std::string encode(const FrameHead& head, const RenewedIds& renewed) {
  return encode_frame(head, FrameKind::renewed_ids, renewed);
}

bool decode(ByteReader& reader, EndpointList& list) {
  return decode_fields(reader, list);
}

bool decode(ByteReader& reader, RenewedIds& renewed) {
  return decode_fields(reader, renewed);
}

}  // namespace saddlewing
