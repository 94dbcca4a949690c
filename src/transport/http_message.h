#pragma once
// HTTP/1.1 messages: an own strict check of the framing, then POCO's message classes for the
// fields.
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "state/error.h"

namespace saddlewing {

enum class Framing {
  none,
  length,
  chunked,
  until_close
};

struct HeadFacts {
  Framing framing = Framing::none;
  std::size_t length = 0;
  bool is_old = false;        // HTTP/1.0
  bool is_persistent = true;  // the connection may carry a further message
  bool is_waiting = false;    // Expect: 100-continue
};

// Refuses whatever could be read in two ways: bare CR or LF, folded lines, blanks before a colon,
// several or odd lengths, a length beside a transfer coding, no or several hosts.
ErrorCode check_head(std::string_view head, bool is_request, HeadFacts& facts);

// Reads one message out of a growing buffer.
// Invariant: bytes behind the message stay in the buffer untouched.
class MessageReader {
 public:
  enum class Step {
    more,
    done,
    failed
  };
  MessageReader(bool is_request, std::size_t max_head, std::size_t max_body)
      : is_request_(is_request), max_head_(max_head), max_body_(max_body) {
  }

  Step advance(std::string& buffer);
  void expect_no_body() {
    is_bodiless_ = true;
  }  // the answer to HEAD
  void reset();

  bool has_head() const {
    return phase_ != Phase::head;
  }
  ErrorCode why() const {
    return why_;
  }
  const HeadFacts& facts() const {
    return facts_;
  }
  const Poco::Net::HTTPRequest& request() const {
    return request_;
  }
  const Poco::Net::HTTPResponse& response() const {
    return response_;
  }
  std::string& body() {
    return body_;
  }

 private:
  enum class Phase {
    head,
    body,
    chunk_size,
    chunk_data,
    chunk_end,
    trailer,
    done
  };
  Step read_head(std::string& buffer);
  Step read_chunks(std::string& buffer);
  Step fail(ErrorCode why);

  bool is_request_, is_bodiless_ = false;
  std::size_t max_head_, max_body_, chunk_left_ = 0, trailer_bytes_ = 0;
  Phase phase_ = Phase::head;
  ErrorCode why_ = ErrorCode::none;
  HeadFacts facts_;
  Poco::Net::HTTPRequest request_;
  Poco::Net::HTTPResponse response_;
  std::string body_;
};

bool is_same_name(std::string_view left, std::string_view right);
// Fields that concern one connection only and are never passed along.
bool is_hop_field(std::string_view name);

}  // namespace saddlewing
