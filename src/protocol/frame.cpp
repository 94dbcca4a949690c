#include "protocol/frame.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t protocol_number = 0x5357'0004;

}  // namespace

Writer open_frame(const FrameHead& head, FrameKind kind) {
  Writer writer;
  writer.number(protocol_number)
      .number(static_cast<std::uint64_t>(kind))
      .number(head.incarnation.value)
      .text(head.from);
  return writer;
}

bool decode_head(ByteReader& reader, FrameHead& head) {
  if (reader.number() != protocol_number)
    return false;
  const std::uint64_t kind = reader.number();
  if (kind < static_cast<std::uint64_t>(FrameKind::raft) ||
      kind > static_cast<std::uint64_t>(FrameKind::gather_cancel))
    return false;
  head.kind = static_cast<FrameKind>(kind);
  head.incarnation.value = reader.number();
  head.from = reader.text();
  return reader.is_good();
}

}  // namespace saddlewing
