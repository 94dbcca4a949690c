#include "protocol/database_protocol.h"

#include <charconv>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::pair<Verdict, std::string_view> verdicts[] = {
    {Verdict::busy, "BUSY"},
    {Verdict::undone, "UNDONE"},
    {Verdict::lagging, "LAGGING"},
    {Verdict::readonly, "READONLY"},
    {Verdict::wrong_host, "WRONGHOST"},
    {Verdict::full, "FULL"},
    {Verdict::no_such, "NOSUCH"},
    {Verdict::no_database, "NODB"},
    {Verdict::too_long, "TOOLONG"},
    {Verdict::garbled, "GARBLED"},
    {Verdict::failed, "FAILED"},
    {Verdict::timeout, "TIMEOUT"},
    {Verdict::unknown, "UNKNOWN"},
};

constexpr std::size_t max_fields = 16;

// Takes the word before the next space off the text.
std::string take_word(std::string_view& text) {
  const auto space = text.find(' ');
  std::string word(text.substr(0, space));
  text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
  return word;
}

bool read_number(std::string_view text, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

const std::string& WireMessage::field(std::size_t position) const {
  static const std::string none;
  return position < fields.size() ? fields[position] : none;
}

std::string_view name_of(Verdict verdict) {
  for (const auto& [value, name] : verdicts)
    if (value == verdict)
      return name;
  return "";
}

Verdict verdict_of(std::string_view name) {
  for (const auto& [value, text] : verdicts)
    if (text == name)
      return value;
  return Verdict::unknown;
}

std::string encode_message(WireKind kind, std::initializer_list<std::string_view> fields) {
  std::size_t size = 0;
  for (const auto field : fields)
    size += field.size() + 1;
  std::string bytes;
  bytes.reserve(size + 5);
  bytes += static_cast<char>(kind);
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(size >> shift);
  for (const auto field : fields)
    (bytes += field) += '\0';
  return bytes;
}

WireStep read_wire(std::string& bytes, WireMessage& message) {
  if (bytes.empty())
    return WireStep::more;
  constexpr std::string_view kinds = "SQXZDCE";
  if (kinds.find(bytes[0]) == std::string_view::npos)
    return WireStep::garbled;
  if (bytes.size() < 5)
    return WireStep::more;
  std::size_t size = 0;
  for (int position = 1; position < 5; ++position)
    size = size << 8 | static_cast<unsigned char>(bytes[position]);
  if (size > max_message_bytes)
    return WireStep::too_long;
  if (bytes.size() < size + 5)
    return WireStep::more;
  if (size && bytes[size + 4] != '\0')
    return WireStep::garbled;
  message.kind = static_cast<WireKind>(bytes[0]);
  message.fields.clear();
  std::string_view rest = std::string_view(bytes).substr(5, size);
  while (!rest.empty()) {
    if (message.fields.size() >= max_fields)
      return WireStep::garbled;
    const auto end = rest.find('\0');
    message.fields.emplace_back(rest.substr(0, end));
    rest.remove_prefix(end + 1);
  }
  bytes.erase(0, size + 5);
  return WireStep::done;
}

Statement read_statement(const std::string& text) {
  std::string_view rest = text;
  const std::string verb = take_word(rest);
  Statement statement;
  const auto is = [&](std::string_view name) {
    return verb == name;
  };
  if (is("BEGIN"))
    statement.verb = rest.empty() ? Verb::begin : rest == "READ" ? Verb::begin_read : Verb::none;
  else if (is("SAVE"))
    statement.verb = rest.empty() ? Verb::save : Verb::none;
  else if (is("UNDO"))
    statement.verb = rest.empty() ? Verb::undo : Verb::none;
  else if (is("READ"))
    statement.verb = rest.empty() ? Verb::none : Verb::read;
  else if (is("WRITE"))
    statement.verb = rest.empty() ? Verb::none : Verb::write;
  else if (is("SET") || is("NAME") || is("RUN") || is("FORGET")) {
    statement.first = take_word(rest);
    if (statement.first.empty())
      return statement;
    if (is("FORGET"))
      statement.verb = rest.empty() ? Verb::forget : Verb::none;
    if (is("SET"))
      statement.verb = Verb::set, statement.second = rest;
    if (is("RUN"))
      statement.verb = rest.empty() ? Verb::none : Verb::run, statement.rest = rest;
    if (is("NAME")) {
      statement.second = take_word(rest);
      statement.rest = rest;
      const bool is_proper =
          (statement.second == "READ" || statement.second == "WRITE") && !rest.empty();
      statement.verb = is_proper ? Verb::name : Verb::none;
    }
  }
  return statement;
}

bool read_log_position(std::string_view text, LogPosition& position) {
  const auto dot = text.find('.');
  LogPosition read;
  if (dot == std::string_view::npos || !read_number(text.substr(0, dot), read.term) ||
      !read_number(text.substr(dot + 1), read.number))
    return false;
  position = read;
  return true;
}

bool read_status(const std::string& row, DatabaseStatus& status) {
  std::string_view rest = row;
  const std::string role = take_word(rest), term = take_word(rest), position = take_word(rest);
  if (role != "leader" && role != "copy")
    return false;
  status.is_leader = role == "leader";
  return read_number(term, status.term) && read_log_position(position, status.position);
}

}  // namespace saddlewing
