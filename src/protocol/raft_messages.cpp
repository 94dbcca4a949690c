#include "protocol/raft_messages.h"

#include <iterator>

namespace saddlewing {
namespace {

void write_kept(Writer& writer, const EntryChunk::Kept& kept) {
  writer.number(kept.prefix).number(kept.suffix).number(kept.changed);
}

void read_kept(ByteReader& reader, EntryChunk::Kept& kept) {
  kept.prefix = reader.number();
  kept.suffix = reader.number();
  kept.changed = reader.number();
}

void write_chunk(Writer& writer, const EntryChunk& chunk) {
  writer.number(chunk.term.value)
      .number(chunk.index.value)
      .number(chunk.version.value)
      .number(chunk.core_size);
  write_members(writer, chunk.members);
  write_members(writer, chunk.outgoing);
  writer.number(chunk.base_term.value).number(chunk.base_index.value);
  write_kept(writer, chunk.body);
  write_kept(writer, chunk.documents);
  writer.number(chunk.digest).number(chunk.total).number(chunk.offset).text(chunk.bytes);
}

void read_chunk(ByteReader& reader, EntryChunk& chunk) {
  chunk.term.value = reader.number();
  chunk.index.value = reader.number();
  chunk.version.value = static_cast<std::int64_t>(reader.number());
  chunk.core_size = static_cast<std::uint32_t>(reader.number());
  read_members(reader, chunk.members);
  read_members(reader, chunk.outgoing);
  chunk.base_term.value = reader.number();
  chunk.base_index.value = reader.number();
  read_kept(reader, chunk.body);
  read_kept(reader, chunk.documents);
  chunk.digest = reader.number();
  chunk.total = reader.number();
  chunk.offset = reader.number();
  chunk.bytes = reader.text();
}

}  // namespace

const char* name_of(RaftMessage::Type type) {
  static constexpr const char* names[] = {"pre_vote",       "pre_vote_reply",
                                          "request_vote",   "request_vote_reply",
                                          "append_entries", "append_entries_reply",
                                          "timeout_now",    "join",
                                          "join_reply",     "leave",
                                          "leave_reply"};
  const auto position = static_cast<std::size_t>(type);
  return position < std::size(names) ? names[position] : "unknown";
}

std::string encode(const FrameHead& head, const RaftMessage& value) {
  Writer writer = open_frame(head, FrameKind::raft);
  writer.number(static_cast<std::uint64_t>(value.type))
      .number(value.from.value)
      .text(value.address)
      .number(value.term.value);
  writer.number(value.last_log_term.value)
      .number(value.last_log_index.value)
      .number(value.commit_index.value)
      .number(value.heartbeat_round);
  writer.number(value.is_granted)
      .number(value.is_leadership_transfer)
      .number(value.is_removed)
      .number(value.is_confirmed)
      .text(value.leader_address);
  write_members(writer, value.members);
  writer.number(value.chunk_entry_index.value)
      .number(value.chunk_end_offset)
      .number(value.wants_full_entry)
      .number(value.chunk.has_value());
  if (value.chunk)
    write_chunk(writer, *value.chunk);
  return writer.take();
}

bool decode(ByteReader& reader, RaftMessage& value) {
  const std::uint64_t type = reader.number();
  if (type > static_cast<std::uint64_t>(RaftMessage::Type::leave_reply))
    return false;
  value.type = static_cast<RaftMessage::Type>(type);
  value.from.value = reader.number();
  value.address = reader.text();
  value.term.value = reader.number();
  value.last_log_term.value = reader.number();
  value.last_log_index.value = reader.number();
  value.commit_index.value = reader.number();
  value.heartbeat_round = reader.number();
  value.is_granted = reader.number();
  value.is_leadership_transfer = reader.number();
  value.is_removed = reader.number();
  value.is_confirmed = reader.number();
  value.leader_address = reader.text();
  read_members(reader, value.members);
  value.chunk_entry_index.value = reader.number();
  value.chunk_end_offset = reader.number();
  value.wants_full_entry = reader.number();
  const bool has_chunk = reader.number();
  if (has_chunk)
    read_chunk(reader, value.chunk.emplace());
  return reader.is_complete();
}

}  // namespace saddlewing
