#include "protocol/edge_messages.h"

#include "protocol/message_fields.h"

namespace saddlewing {

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<RegionCounts> region) {
  archive(region.region, region.counts);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<NetworkPath> path) {
  archive(path.region, path.zone);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<EdgeSums> sums) {
  archive(sums.term, sums.regions);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<EdgeViewFrame> frame) {
  archive(frame.term, frame.revision_in_force, frame.view, frame.latencies);
}

std::string encode(const FrameHead& head, const EdgeSums& sums) {
  return encode_frame(head, FrameKind::edge_sums, sums);
}

std::string encode(const FrameHead& head, const EdgeViewFrame& frame) {
  return encode_frame(head, FrameKind::edge_view, frame);
}

bool decode(ByteReader& reader, EdgeSums& sums) {
  return decode_fields(reader, sums);
}

bool decode(ByteReader& reader, EdgeViewFrame& frame) {
  return decode_fields(reader, frame);
}

}  // namespace saddlewing
