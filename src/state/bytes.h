#pragma once
// Numbers and texts as bytes: eight bytes a number, little end first; a text behind its length.
#include <cstdint>
#include <string>
#include <string_view>

#include "state/durable_store.h"

namespace saddlewing {

class Writer {
 public:
  Writer& number(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8)
      bytes_.push_back(static_cast<char>(value >> shift));
    return *this;
  }
  Writer& text(std::string_view value) {
    number(value.size());
    bytes_.append(value);
    return *this;
  }
  const std::string& bytes() const {
    return bytes_;
  }
  std::string take() {
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
};

// Invariant: after the first read beyond the end every read gives 0 or nothing, and is_complete
// stays false.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {
  }
  std::uint64_t number() {
    if (rest_.size() < 8)
      return fail(), 0;
    std::uint64_t value = 0;
    for (int position = 7; position >= 0; --position)
      value = value << 8 | static_cast<unsigned char>(rest_[position]);
    rest_.remove_prefix(8);
    return value;
  }
  std::string text() {
    const std::uint64_t size = number();
    if (size > rest_.size())
      return fail(), std::string();
    std::string value(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return value;
  }
  // A count of items that take at least `minimum` bytes each: never more than could be there.
  std::uint64_t count(std::uint64_t minimum) {
    const std::uint64_t value = number();
    if (value > rest_.size() / minimum)
      return fail(), 0;
    return value;
  }
  bool is_good() const {
    return is_good_;
  }
  bool is_complete() const {
    return is_good_ && rest_.empty();
  }

 private:
  void fail() {
    is_good_ = false;
    rest_ = {};
  }
  std::string_view rest_;
  bool is_good_ = true;
};

inline void write_members(Writer& writer, const std::vector<Member>& members) {
  writer.number(members.size());
  for (const Member& member : members)
    writer.number(member.id.value).text(member.address);
}

inline void read_members(ByteReader& reader, std::vector<Member>& members) {
  members.resize(reader.count(16));
  for (Member& member : members) {
    member.id.value = reader.number();
    member.address = reader.text();
  }
}

inline void write_entry(Writer& writer, const Entry& entry) {
  writer.number(entry.term.value)
      .number(entry.index.value)
      .number(entry.version.value)
      .text(entry.body);
  writer.number(entry.core_size);
  write_members(writer, entry.members);
  if (entry.documents.empty() && entry.outgoing.empty())
    return;  // as records of earlier versions end
  writer.number(entry.documents.size());
  for (const auto& [name, text] : entry.documents)
    writer.text(name).text(text);
  if (!entry.outgoing.empty())
    write_members(writer, entry.outgoing);
}

inline void read_entry(ByteReader& reader, Entry& entry) {
  entry.term.value = reader.number();
  entry.index.value = reader.number();
  entry.version.value = static_cast<std::int64_t>(reader.number());
  entry.body = reader.text();
  entry.core_size = static_cast<std::uint32_t>(reader.number());
  read_members(reader, entry.members);
  if (reader.is_complete())
    return;
  for (std::uint64_t left = reader.count(16); left > 0; --left) {
    std::string name = reader.text();
    entry.documents[std::move(name)] = reader.text();
  }
  if (!reader.is_complete())
    read_members(reader, entry.outgoing);
}

}  // namespace saddlewing
