#include "transport/http_message.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>

#include <algorithm>

namespace saddlewing {
namespace {

bool is_token_letter(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

char lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool holds_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (is_same_name(trimmed(list.substr(0, comma)), token))
      return true;
    if (comma == std::string_view::npos)
      break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

bool parse_length(std::string_view text, std::size_t& length) {
  if (text.empty() || text.size() > 15)
    return false;
  length = 0;
  for (char digit : text) {
    if (digit < '0' || digit > '9')
      return false;
    length = length * 10 + static_cast<std::size_t>(digit - '0');
  }
  return true;
}

bool check_start(std::string_view line, bool is_request, HeadFacts& facts) {
  std::string_view protocol;
  if (is_request) {
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == 0 || first == last || last == first + 1)
      return false;
    if (!std::all_of(line.begin(), line.begin() + first, is_token_letter))
      return false;
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (target.front() != '/' && target != "*")
      return false;
    for (char letter : target)
      if (static_cast<unsigned char>(letter) <= 0x20 || letter == 0x7f)
        return false;
    protocol = line.substr(last + 1);
  } else {
    if (line.size() < 12 || line[8] != ' ')
      return false;
    if (!std::all_of(line.begin() + 9, line.begin() + 12,
                     [](char digit) { return digit >= '0' && digit <= '9'; }))
      return false;
    if (line.size() > 12 && line[12] != ' ')
      return false;
    protocol = line.substr(0, 8);
  }
  if (protocol == "HTTP/1.0")
    facts.is_old = true;
  else if (protocol != "HTTP/1.1")
    return false;
  facts.is_persistent = !facts.is_old;
  return true;
}

}  // namespace

bool is_same_name(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

bool is_hop_field(std::string_view name) {
  for (std::string_view hop :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
        "Trailer", "Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization"})
    if (is_same_name(name, hop))
      return true;
  return false;
}

ErrorCode check_head(std::string_view head, bool is_request, HeadFacts& facts) {
  facts = {};
  bool is_first = true;
  bool has_length = false;
  bool has_coding = false;
  int hosts = 0;
  while (!head.empty()) {
    const auto end = head.find("\r\n");
    if (end == std::string_view::npos)
      return ErrorCode::malformed;
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    for (char letter : line)
      if (letter == '\r' || letter == '\n' || letter == '\0')
        return ErrorCode::malformed;
    if (is_first) {
      if (!check_start(line, is_request, facts))
        return ErrorCode::malformed;
      is_first = false;
      continue;
    }
    if (line.empty())
      break;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 ||
        !std::all_of(line.begin(), line.begin() + colon, is_token_letter))
      return ErrorCode::malformed;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (is_same_name(name, "Content-Length")) {
      std::size_t length = 0;
      if (!parse_length(value, length) || (has_length && length != facts.length))
        return ErrorCode::conflicting_framing;
      if (has_length && is_request)
        return ErrorCode::conflicting_framing;
      facts.length = length;
      has_length = true;
    } else if (is_same_name(name, "Transfer-Encoding")) {
      if (has_coding)
        return ErrorCode::conflicting_framing;
      if (!is_same_name(value, "chunked"))
        return ErrorCode::unsupported_coding;
      has_coding = true;
    } else if (is_same_name(name, "Connection")) {
      if (holds_token(value, "close"))
        facts.is_persistent = false;
      else if (facts.is_old && holds_token(value, "keep-alive"))
        facts.is_persistent = true;
    } else if (is_same_name(name, "Host")) {
      ++hosts;
    } else if (is_request && is_same_name(name, "Expect")) {
      if (!is_same_name(value, "100-continue"))
        return ErrorCode::expectation;
      facts.is_waiting = !facts.is_old;
    }
  }
  if (has_length && has_coding)
    return ErrorCode::conflicting_framing;
  if (has_coding && facts.is_old)
    return ErrorCode::conflicting_framing;
  if (is_request && (hosts > 1 || (hosts == 0 && !facts.is_old)))
    return ErrorCode::malformed;
  if (has_coding)
    facts.framing = Framing::chunked;
  else if (has_length)
    facts.framing = facts.length ? Framing::length : Framing::none;
  else
    facts.framing = is_request ? Framing::none : Framing::until_close;
  return ErrorCode::none;
}

void MessageReader::reset() {
  phase_ = Phase::head;
  why_ = ErrorCode::none;
  facts_ = {};
  body_.clear();
  is_bodiless_ = false;
  chunk_left_ = trailer_bytes_ = 0;
}

MessageReader::Step MessageReader::fail(ErrorCode why) {
  why_ = why;
  return Step::failed;
}

MessageReader::Step MessageReader::read_head(std::string& buffer) {
  if (is_request_)  // empty lines before a request are skipped
    while (buffer.starts_with("\r\n"))
      buffer.erase(0, 2);
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string::npos || end + 4 > max_head_) {
    if (buffer.size() > max_head_ || end != std::string::npos)
      return fail(ErrorCode::head_too_large);
    // A line that can never become proper is refused before its end is waited for.
    if (const auto bare = buffer.find('\n');
        bare != std::string::npos && (bare == 0 || buffer[bare - 1] != '\r'))
      return fail(ErrorCode::malformed);
    return Step::more;
  }
  const std::string_view head(buffer.data(), end + 4);
  if (const ErrorCode kind = check_head(head, is_request_, facts_); kind != ErrorCode::none)
    return fail(kind);
  try {
    Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
    if (is_request_) {
      request_.clear();
      request_.read(stream);
    } else {
      response_.clear();
      response_.read(stream);
    }
  } catch (const Poco::Exception&) {
    return fail(ErrorCode::malformed);
  }
  buffer.erase(0, end + 4);
  if (!is_request_) {
    const int status = response_.getStatus();
    if (status >= 100 && status < 200) {
      if (status == 101)
        return fail(ErrorCode::invalid_response);
      return read_head(buffer);
    }
    if (is_bodiless_ || status == 204 || status == 304)
      facts_.framing = Framing::none;
    if (facts_.framing == Framing::until_close)
      return fail(ErrorCode::invalid_response);  // its end could not be told from a break
  }
  if (facts_.framing == Framing::length && facts_.length > max_body_)
    return fail(ErrorCode::body_too_large);
  phase_ = facts_.framing == Framing::none     ? Phase::done
           : facts_.framing == Framing::length ? Phase::body
                                               : Phase::chunk_size;
  if (phase_ == Phase::body)
    body_.reserve(facts_.length);
  return Step::done;
}

MessageReader::Step MessageReader::read_chunks(std::string& buffer) {
  std::size_t used = 0;
  Step step = Step::more;
  while (phase_ != Phase::done) {
    const std::string_view rest = std::string_view(buffer).substr(used);
    if (phase_ == Phase::chunk_data) {
      const std::size_t count = std::min(chunk_left_, rest.size());
      body_.append(rest.substr(0, count));
      used += count;
      chunk_left_ -= count;
      if (chunk_left_)
        break;
      phase_ = Phase::chunk_end;
      continue;
    }
    const auto end = rest.find("\r\n");
    if (end == std::string_view::npos) {
      if (rest.size() > 1024)
        step = fail(ErrorCode::malformed);
      break;
    }
    const std::string_view line = rest.substr(0, end);
    used += end + 2;
    if (line.find_first_of("\r\n") != std::string_view::npos) {
      step = fail(ErrorCode::malformed);
      break;
    }
    if (phase_ == Phase::chunk_end) {
      if (!line.empty()) {
        step = fail(ErrorCode::malformed);
        break;
      }
      phase_ = Phase::chunk_size;
    } else if (phase_ == Phase::trailer) {
      if ((trailer_bytes_ += line.size() + 2) > max_head_) {
        step = fail(ErrorCode::head_too_large);
        break;
      }
      if (line.empty())
        phase_ = Phase::done;
    } else {
      const std::string_view digits = trimmed(line.substr(0, line.find(';')));
      if (digits.empty() || digits.size() > 8) {
        step = fail(ErrorCode::malformed);
        break;
      }
      chunk_left_ = 0;
      bool is_hex = true;
      for (char digit : digits) {
        const int value = digit >= '0' && digit <= '9'                 ? digit - '0'
                          : lower(digit) >= 'a' && lower(digit) <= 'f' ? lower(digit) - 'a' + 10
                                                                       : -1;
        is_hex = is_hex && value >= 0;
        chunk_left_ = chunk_left_ * 16 + static_cast<std::size_t>(std::max(value, 0));
      }
      if (!is_hex || line.front() == ' ' || line.front() == '\t') {
        step = fail(ErrorCode::malformed);
        break;
      }
      if (body_.size() + chunk_left_ > max_body_) {
        step = fail(ErrorCode::body_too_large);
        break;
      }
      phase_ = chunk_left_ ? Phase::chunk_data : Phase::trailer;
    }
  }
  buffer.erase(0, used);
  return step == Step::failed ? step : phase_ == Phase::done ? Step::done : Step::more;
}

MessageReader::Step MessageReader::advance(std::string& buffer) {
  if (phase_ == Phase::head)
    if (const Step step = read_head(buffer); step != Step::done)
      return step;
  if (phase_ == Phase::done)
    return Step::done;
  if (phase_ != Phase::body)
    return read_chunks(buffer);
  const std::size_t count = std::min(facts_.length - body_.size(), buffer.size());
  if (body_.empty() && count == buffer.size() && count == facts_.length)
    body_.swap(buffer), buffer.clear();
  else
    body_.append(buffer, 0, count), buffer.erase(0, count);
  if (body_.size() < facts_.length)
    return Step::more;
  phase_ = Phase::done;
  return Step::done;
}

}  // namespace saddlewing
