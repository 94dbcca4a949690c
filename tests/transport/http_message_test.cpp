#include <criterion/criterion.h>

#include "transport/http_message.h"

using namespace saddlewing;
using Step = MessageReader::Step;

namespace {

ErrorCode refusal(std::string bytes) {
  MessageReader reader(true, 1024, 64);
  return reader.advance(bytes) == Step::failed ? reader.why() : ErrorCode::none;
}

}  // namespace

// Whatever could be read in two ways is refused.
Test(http, requests_with_doubtful_framing_are_refused) {
  const struct {
    const char* bytes;
    ErrorCode kind;
  } rows[] = {
      {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       ErrorCode::conflicting_framing},
      {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
       ErrorCode::conflicting_framing},
      {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", ErrorCode::conflicting_framing},
      {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", ErrorCode::conflicting_framing},
      {"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       ErrorCode::unsupported_coding},
      {"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       ErrorCode::conflicting_framing},
      {"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrorCode::conflicting_framing},
      {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\nHost: a\n\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", ErrorCode::malformed},
      {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", ErrorCode::malformed},
      {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", ErrorCode::malformed},
      {"GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", ErrorCode::malformed},
      {"GET / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", ErrorCode::expectation},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", ErrorCode::body_too_large},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n",
       ErrorCode::body_too_large},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1g\r\n",
       ErrorCode::malformed},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
       ErrorCode::malformed},
  };
  for (const auto& row : rows)
    cr_expect(refusal(row.bytes) == row.kind, "%s", row.bytes);
  cr_expect(refusal("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(1100, 'x') + "\r\n\r\n") ==
            ErrorCode::head_too_large);
}

// However the bytes are cut, the same messages come out, and what follows stays in the buffer.
Test(http, a_request_cut_anywhere_reads_the_same) {
  const std::string bytes =
      "\r\nPOST /a%20b?x=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\nGET /next";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    MessageReader reader(true, 1024, 64);
    std::string buffer = bytes.substr(0, cut);
    Step step = reader.advance(buffer);
    if (step == Step::more) {
      buffer += bytes.substr(cut);
      step = reader.advance(buffer);
    } else {
      buffer += bytes.substr(cut);
    }
    cr_assert(step == Step::done);
    cr_expect(reader.request().getURI() == "/a%20b?x=1");
    cr_expect(reader.body() == "abcde");
    cr_expect(buffer == "GET /next");
  }
}

Test(http, an_answer_without_an_end_of_its_own_is_no_answer) {
  MessageReader reader(false, 1024, 64);
  std::string buffer = "HTTP/1.1 200 OK\r\n\r\nabc";
  cr_expect(reader.advance(buffer) == Step::failed);
  cr_expect(reader.why() == ErrorCode::invalid_response);
}

Test(http, an_interim_answer_is_passed_over) {
  MessageReader reader(false, 1024, 64);
  std::string buffer =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokX";
  cr_expect(reader.advance(buffer) == Step::done);
  cr_expect(reader.response().getStatus() == 200);
  cr_expect(reader.body() == "ok");
  cr_expect(buffer == "X");
}
