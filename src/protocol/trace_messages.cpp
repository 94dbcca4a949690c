#include "protocol/trace_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<VersionEvent> event) {
  archive(event.version, event.what, event.age);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<TraceReply> reply) {
  archive(reply.node, reply.role, reply.version, reply.is_leader);
  archive(reply.events, reply.registries, reply.brokers);
}

std::string encode_trace_request(const FrameHead& head) {
  return open_frame(head, FrameKind::trace_request).take();
}

std::string encode(const FrameHead& head, const TraceReply& reply) {
  return encode_frame(head, FrameKind::trace_reply, reply);
}

bool decode(ByteReader& reader, TraceReply& reply) {
  return decode_fields(reader, reply);
}

}  // namespace saddlewing
