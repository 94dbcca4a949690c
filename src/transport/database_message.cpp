#include "transport/database_message.h"

namespace saddlewing {
namespace {

constexpr std::size_t header_bytes = 5;  // kind and length
constexpr std::size_t max_fields = 16;
constexpr std::string_view message_kinds = "SQXZDCE";

}  // namespace

const std::string& DatabaseMessage::field(std::size_t position) const {
  static const std::string none;
  return position < fields.size() ? fields[position] : none;
}

std::string encode_database_message(DatabaseMessageKind kind,
                                    std::initializer_list<std::string_view> fields) {
  std::size_t size = 0;
  for (const auto field : fields)
    size += field.size() + 1;
  std::string bytes;
  bytes.reserve(size + header_bytes);
  bytes += static_cast<char>(kind);
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(size >> shift);
  for (const auto field : fields)
    bytes.append(field).push_back('\0');
  return bytes;
}

DatabaseReadResult read_database_message(std::string& bytes, DatabaseMessage& message) {
  if (bytes.empty())
    return DatabaseReadResult::incomplete;
  if (message_kinds.find(bytes[0]) == std::string_view::npos)
    return DatabaseReadResult::malformed;
  if (bytes.size() < header_bytes)
    return DatabaseReadResult::incomplete;
  std::size_t size = 0;
  for (std::size_t position = 1; position < header_bytes; ++position)
    size = size << 8 | static_cast<unsigned char>(bytes[position]);
  if (size > max_database_message_bytes)
    return DatabaseReadResult::too_long;
  if (bytes.size() < size + header_bytes)
    return DatabaseReadResult::incomplete;
  if (size && bytes[header_bytes + size - 1] != '\0')
    return DatabaseReadResult::malformed;
  message.kind = static_cast<DatabaseMessageKind>(bytes[0]);
  message.fields.clear();
  std::string_view rest = std::string_view(bytes).substr(header_bytes, size);
  while (!rest.empty()) {
    if (message.fields.size() >= max_fields)
      return DatabaseReadResult::malformed;
    const auto end = rest.find('\0');
    message.fields.emplace_back(rest.substr(0, end));
    rest.remove_prefix(end + 1);
  }
  bytes.erase(0, size + header_bytes);
  return DatabaseReadResult::complete;
}

}  // namespace saddlewing
