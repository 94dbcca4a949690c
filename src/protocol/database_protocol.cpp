#include "protocol/database_protocol.h"

#include <charconv>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::pair<StatementError, std::string_view> statement_error_names[] = {
    {StatementError::busy, "BUSY"},
    {StatementError::rolled_back, "UNDONE"},
    {StatementError::lagging, "LAGGING"},
    {StatementError::readonly, "READONLY"},
    {StatementError::wrong_host, "WRONGHOST"},
    {StatementError::full, "FULL"},
    {StatementError::no_such_statement, "NOSUCH"},
    {StatementError::no_database, "NODB"},
    {StatementError::too_long, "TOOLONG"},
    {StatementError::malformed, "GARBLED"},
    {StatementError::failed, "FAILED"},
    {StatementError::timeout, "TIMEOUT"},
    {StatementError::unknown, "UNKNOWN"},
};

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

StatementVerb verb_if(bool is_proper, StatementVerb verb) {
  return is_proper ? verb : StatementVerb::none;
}

// A statement whose first argument is a name.
void read_named(std::string_view word, std::string_view rest, Statement& statement) {
  statement.first = take_word(rest);
  if (statement.first.empty())
    return;
  if (word == "FORGET") {
    statement.verb = verb_if(rest.empty(), StatementVerb::deallocate);
  } else if (word == "SET") {
    statement.verb = StatementVerb::set;
    statement.second = rest;
  } else if (word == "RUN") {
    statement.verb = verb_if(!rest.empty(), StatementVerb::execute);
    statement.rest = rest;
  } else {
    statement.second = take_word(rest);
    statement.rest = rest;
    const bool is_access = statement.second == "READ" || statement.second == "WRITE";
    statement.verb = verb_if(is_access && !rest.empty(), StatementVerb::prepare);
  }
}

}  // namespace

std::string_view name_of(StatementError error) {
  for (const auto& [value, name] : statement_error_names)
    if (value == error)
      return name;
  return "";
}

StatementError statement_error_of(std::string_view name) {
  for (const auto& [value, text] : statement_error_names)
    if (text == name)
      return value;
  return StatementError::unknown;
}

Statement read_statement(const std::string& text) {
  std::string_view rest = text;
  const std::string word = take_word(rest);
  Statement statement;
  if (word == "BEGIN" && rest == "READ")
    statement.verb = StatementVerb::begin_read_only;
  else if (word == "BEGIN")
    statement.verb = verb_if(rest.empty(), StatementVerb::begin);
  else if (word == "SAVE")
    statement.verb = verb_if(rest.empty(), StatementVerb::commit);
  else if (word == "UNDO")
    statement.verb = verb_if(rest.empty(), StatementVerb::rollback);
  else if (word == "READ")
    statement.verb = verb_if(!rest.empty(), StatementVerb::read);
  else if (word == "WRITE")
    statement.verb = verb_if(!rest.empty(), StatementVerb::write);
  else if (word == "SET" || word == "NAME" || word == "RUN" || word == "FORGET")
    read_named(word, rest, statement);
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

bool read_database_status(const std::string& row, DatabaseStatus& status) {
  std::string_view rest = row;
  const std::string role = take_word(rest);
  const std::string term = take_word(rest);
  const std::string position = take_word(rest);
  if (role != "leader" && role != "copy")
    return false;
  status.is_leader = role == "leader";
  return read_number(term, status.term) && read_log_position(position, status.position);
}

}  // namespace saddlewing
