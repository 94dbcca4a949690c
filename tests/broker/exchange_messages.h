#pragma once
// What the exchange fixture plays and records, and the messages that it exchanges.
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace saddlewing::tests {

enum class Trouble {
  none,
  reset,
  close,
  silence
};

// What befalls a request at the first backend that it reaches, or at each.
struct Plan {
  Trouble trouble = Trouble::none;
  bool is_in_answer = false;  // else while the request is read
  std::size_t point = 0;      // after so many bytes of it; beyond its end: after all of it
  bool is_everywhere = false;
  bool is_refused = false;   // answered as not run
  std::string surplus = {};  // follows the answer at once
  std::string late_surplus =
      {};  // goes out on this connection when the next request is there, before its answer
};

struct Run {
  std::string backend, head, body;
};

// What a plan did to a connection: a backend's port and its peer's name it, and the request that
// the plan was of.
struct Strike {
  bool is_complete = false;  // it came behind the whole answer and met whoever was asked next there
};
using StrikePlace = std::tuple<std::string, int, std::string>;  // backend, port of its peer, Try-Id

struct Exchange {  // of one client: its requests over one connection, and what came
  std::vector<std::string> requests;
  std::size_t leaves_after = SIZE_MAX;   // bytes sent, then the client resets its connection
  std::size_t reads_at_most = SIZE_MAX;  // bytes of the answer, then it resets
  bool keeps_open = false;               // more requests may follow
  bool ends_input = false;               // behind the last request it sends nothing more, and waits
  int socket = -1;
  std::size_t sent = 0;
  std::string out, in;
  bool is_over = false;
  std::vector<int> statuses;
  std::vector<std::string> bodies;
  int status() const {
    return statuses.empty() ? 0 : statuses[0];
  }
};

inline std::string value_of(const std::string& head, const std::string& name) {
  const auto position = head.find("\r\n" + name + ": ");
  if (position == std::string::npos)
    return {};
  const auto start = position + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

// Bytes of the first whole message, or 0.
inline std::size_t message_size(const std::string& bytes) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return 0;
  const std::string length = value_of(bytes.substr(0, end + 2), "Content-Length");
  const std::size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
  return bytes.size() >= size ? size : 0;
}

inline std::string request_of(const std::string& method, const std::string& path,
                              const std::string& try_id, const std::string& body = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\nTry-Id: " + try_id +
         "\r\nTime-Left: 20000\r\n" +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

inline std::string good_answer(const std::string& try_id, const std::string& backend) {
  const std::string body = "to " + try_id + " by " + backend;
  return "HTTP/1.1 200 OK\r\nTry-Id: " + try_id + "\r\nAnswer-Seal: seal-" + try_id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string not_run_answer(const std::string& try_id) {
  return "HTTP/1.1 503 Busy\r\n" + (try_id.empty() ? "" : "Try-Id: " + try_id + "\r\n") +
         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace saddlewing::tests
