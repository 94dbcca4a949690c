// Messages of the agreement as they travel.
#include "protocol/raft_messages.h"

namespace saddlewing {

std::string encode(const FrameHead& head, const RaftMessage& value) {
  Writer writer = open_frame(head, FrameKind::raft);
  writer.number(static_cast<std::uint64_t>(value.type))
      .number(value.from.value)
      .text(value.address)
      .number(value.term.value);
  writer.number(value.entry_term.value)
      .number(value.entry_index.value)
      .number(value.commit.value)
      .number(value.round);
  writer.number(value.is_granted)
      .number(value.is_transfer)
      .number(value.is_removed)
      .number(value.is_confirmed)
      .text(value.leader);
  write_members(writer, value.members);
  writer.number(value.piece_index.value)
      .number(value.piece_end)
      .number(value.wants_whole)
      .number(value.piece.has_value());
  if (!value.piece)
    return writer.take();
  const EntryChunk& piece = *value.piece;
  writer.number(piece.term.value)
      .number(piece.index.value)
      .number(piece.version.value)
      .number(piece.core_size);
  write_members(writer, piece.members);
  write_members(writer, piece.outgoing);
  writer.number(piece.base_term.value).number(piece.base_index.value);
  for (const EntryChunk::Kept& kept : {piece.body, piece.documents})
    writer.number(kept.prefix).number(kept.suffix).number(kept.changed);
  writer.number(piece.digest).number(piece.total).number(piece.offset).text(piece.bytes);
  return writer.take();
}

bool decode(ByteReader& reader, RaftMessage& value) {
  const std::uint64_t type = reader.number();
  if (type > static_cast<std::uint64_t>(RaftMessage::Type::left))
    return false;
  value.type = static_cast<RaftMessage::Type>(type);
  value.from.value = reader.number();
  value.address = reader.text();
  value.term.value = reader.number();
  value.entry_term.value = reader.number();
  value.entry_index.value = reader.number();
  value.commit.value = reader.number();
  value.round = reader.number();
  value.is_granted = reader.number();
  value.is_transfer = reader.number();
  value.is_removed = reader.number();
  value.is_confirmed = reader.number();
  value.leader = reader.text();
  read_members(reader, value.members);
  value.piece_index.value = reader.number();
  value.piece_end = reader.number();
  value.wants_whole = reader.number();
  if (!reader.number())
    return reader.is_complete();
  EntryChunk& piece = value.piece.emplace();
  piece.term.value = reader.number();
  piece.index.value = reader.number();
  piece.version.value = static_cast<std::int64_t>(reader.number());
  piece.core_size = static_cast<std::uint32_t>(reader.number());
  read_members(reader, piece.members);
  read_members(reader, piece.outgoing);
  piece.base_term.value = reader.number();
  piece.base_index.value = reader.number();
  for (EntryChunk::Kept* kept : {&piece.body, &piece.documents})
    kept->prefix = reader.number(), kept->suffix = reader.number(), kept->changed = reader.number();
  piece.digest = reader.number();
  piece.total = reader.number();
  piece.offset = reader.number();
  piece.bytes = reader.text();
  return reader.is_complete();
}

}  // namespace saddlewing
