#include "protocol/ring_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<RingCall> call) {
  archive(call.verb, call.text);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<RingReply> reply) {
  archive(reply.is_done, reply.leader, reply.reason, reply.text);
}

std::string encode(const FrameHead& head, const RingCall& call) {
  return encode_frame(head, FrameKind::ring_call, call);
}

std::string encode(const FrameHead& head, const RingReply& reply) {
  return encode_frame(head, FrameKind::ring_reply, reply);
}

bool decode(ByteReader& reader, RingCall& call) {
  return decode_fields(reader, call);
}

bool decode(ByteReader& reader, RingReply& reply) {
  return decode_fields(reader, reply);
}

}  // namespace saddlewing
