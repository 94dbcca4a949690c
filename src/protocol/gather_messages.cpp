#include "protocol/gather_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<GatherRequest> request) {
  archive(request.token, request.method, request.try_id, request.request_head, request.body);
  archive(request.services, request.best_count, request.time_left, request.flush_after);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<GatherResult::CompletedPart> part) {
  archive(part.part, part.checksum);
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<GatherResult::FailedPart> part) {
  archive(part.part, part.kind, part.may_have_run);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<GatherResult> result) {
  archive(result.token, result.done, result.failed, result.processing_time, result.records);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<GatherCancel> cancel) {
  archive(cancel.token);
}

std::string encode(const FrameHead& head, const GatherRequest& request) {
  return encode_frame(head, FrameKind::gather_request, request);
}

std::string encode(const FrameHead& head, const GatherResult& result) {
  return encode_frame(head, FrameKind::gather_result, result);
}

std::string encode(const FrameHead& head, const GatherCancel& cancel) {
  return encode_frame(head, FrameKind::gather_cancel, cancel);
}

bool decode(ByteReader& reader, GatherRequest& request) {
  return decode_fields(reader, request);
}

bool decode(ByteReader& reader, GatherResult& result) {
  return decode_fields(reader, result);
}

bool decode(ByteReader& reader, GatherCancel& cancel) {
  return decode_fields(reader, cancel);
}

}  // namespace saddlewing
