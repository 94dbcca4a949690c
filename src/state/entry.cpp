#include "state/entry.h"

#include <utility>

namespace saddlewing {
namespace {

constexpr std::uint64_t min_member_bytes = 16;    // an id and the length of an address
constexpr std::uint64_t min_document_bytes = 16;  // the lengths of a name and of a text

}  // namespace

void write_members(Writer& writer, const std::vector<Member>& members) {
  writer.number(members.size());
  for (const Member& member : members)
    writer.number(member.id.value).text(member.address);
}

void read_members(ByteReader& reader, std::vector<Member>& members) {
  members.resize(reader.count(min_member_bytes));
  for (Member& member : members) {
    member.id.value = reader.number();
    member.address = reader.text();
  }
}

void write_entry(Writer& writer, const Entry& entry) {
  writer.number(entry.term.value)
      .number(entry.index.value)
      .number(entry.version.value)
      .text(entry.body)
      .number(entry.core_size);
  write_members(writer, entry.members);
  if (entry.documents.empty() && entry.outgoing.empty())
    return;  // as records of earlier versions end
  writer.number(entry.documents.size());
  for (const auto& [name, text] : entry.documents)
    writer.text(name).text(text);
  if (!entry.outgoing.empty())
    write_members(writer, entry.outgoing);
}

void read_entry(ByteReader& reader, Entry& entry) {
  entry.term.value = reader.number();
  entry.index.value = reader.number();
  entry.version.value = static_cast<std::int64_t>(reader.number());
  entry.body = reader.text();
  entry.core_size = static_cast<std::uint32_t>(reader.number());
  read_members(reader, entry.members);
  if (reader.is_complete())
    return;
  for (std::uint64_t left = reader.count(min_document_bytes); left > 0; --left) {
    std::string name = reader.text();
    entry.documents[std::move(name)] = reader.text();
  }
  if (!reader.is_complete())
    read_members(reader, entry.outgoing);
}

}  // namespace saddlewing
