#include "protocol/forwarding_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<ForwardedCall> call) {
  archive(call.token, call.is_read, call.version, call.body, call.term);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<ForwardedReply> reply) {
  archive(reply.token, reply.requester, reply.is_read, reply.version);
  archive(reply.digest, reply.term, reply.is_done, reply.body);
}

std::string encode(const FrameHead& head, const ForwardedCall& call) {
  return encode_frame(head, FrameKind::forwarded_call, call);
}

std::string encode(const FrameHead& head, const ForwardedReply& reply) {
  return encode_frame(head, FrameKind::forwarded_reply, reply);
}

bool decode(ByteReader& reader, ForwardedCall& call) {
  return decode_fields(reader, call);
}

bool decode(ByteReader& reader, ForwardedReply& reply) {
  return decode_fields(reader, reply);
}

}  // namespace saddlewing
