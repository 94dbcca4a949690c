#pragma once
// Raw bytes of HTTP over loopback: a client and a backend that do not interpret what they are sent.
#include <criterion/criterion.h>

#include <functional>
#include <list>
#include <regex>
#include <string>
#include <vector>

#include "transport/tcp_connection.h"

namespace saddlewing::tests {

inline constexpr Duration max_wait{10000};

// Whether head and body are there; an answer to HEAD is its head alone.
inline bool is_whole_message(const std::string& bytes, bool is_head_alone = false) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  if (is_head_alone)
    return true;
  static const std::string length_field = "\r\nContent-Length: ";
  const auto field = bytes.find(length_field);
  const std::size_t length =
      field < end ? std::stoul(bytes.substr(field + length_field.size())) : 0;
  return bytes.size() >= end + 4 + length;
}

inline std::string body_of(const std::string& message) {
  return message.substr(message.find("\r\n\r\n") + 4);
}
inline std::string head_of(const std::string& message) {
  return message.substr(0, message.find("\r\n\r\n") + 4);
}

// What differs from run to run, ports and the time that is left, stands as a word.
inline std::string without_chance(const std::string& bytes) {
  const std::string named =
      std::regex_replace(bytes, std::regex("127\\.0\\.0\\.1:[0-9]+"), "127.0.0.1:<port>");
  return std::regex_replace(named, std::regex("Time-Left: [0-9]+"), "Time-Left: <ms>");
}

// Opens at the first port from `first` on that is free.
inline Address open_somewhere(const std::function<bool(const Address&)>& opens, int first) {
  for (int port = first; port < 60000; ++port)
    if (const Address address{"127.0.0.1", port}; opens(address))
      return address;
  cr_assert_fail("no port is free");
  return {};
}

// Takes requests one after another on each connection, keeps their bytes and gives each the next
// answer, at last the same.
class RawBackend {
 public:
  explicit RawBackend(std::vector<std::string> answers) : answers_(std::move(answers)) {
    address_ =
        open_somewhere([this](const Address& address) { return !listener_.open(address); }, 50000);
  }
  const Address& address() const {
    return address_;
  }
  const std::vector<std::string>& requests() const {
    return requests_;
  }

  void turn() {
    while (auto channel = listener_.admit())
      connections_.push_back({std::move(*channel), {}});
    for (Connection& connection : connections_)
      serve(connection);
  }

 private:
  struct Connection {
    TcpConnection channel;
    std::string in;
  };
  void serve(Connection& connection) {
    char bytes[4096];
    for (;;) {
      const Transfer got = connection.channel.receive(bytes, sizeof bytes);
      if (!got.count)
        break;
      connection.in.append(bytes, got.count);
    }
    if (!is_whole_message(connection.in))
      return;
    requests_.push_back(std::exchange(connection.in, {}));
    const std::string& answer = answers_[std::min(requests_.size(), answers_.size()) - 1];
    cr_assert_eq(connection.channel.send(answer.data(), answer.size()).count, answer.size());
  }

  Listener listener_;
  Address address_;
  std::vector<std::string> answers_, requests_;
  std::list<Connection> connections_;
};

// Turns until something is so, within a bounded time.
template <class Reached, class Turn>
bool turn_until(Reached reached, Turn turn) {
  for (const TimePoint until = Clock::now() + max_wait; !reached() && Clock::now() < until;)
    turn();
  return reached();
}

// Sends one request over a connection of its own and takes what comes, until `is_complete` or the
// connection's end.
template <class Whole, class Turn>
std::string ask_raw(const Address& address, const std::string& request, Whole is_complete,
                    Turn turn) {
  auto channel = TcpConnection::connect(address);
  cr_assert(channel.has_value());
  cr_assert(channel->socket().poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_WRITE));
  std::string answer;
  std::size_t sent = 0;
  bool is_closed = false;
  turn_until([&] { return is_closed || is_complete(answer); },
             [&] {
               turn();
               if (sent < request.size())
                 sent += channel->send(request.data() + sent, request.size() - sent).count;
               if (!channel->socket().poll(Poco::Timespan(0, 2000), Poco::Net::Socket::SELECT_READ))
                 return;
               char bytes[65536];
               const Transfer got = channel->receive(bytes, sizeof bytes);
               is_closed = got.is_closed;
               answer.append(bytes, got.count);
             });
  return answer;
}

}  // namespace saddlewing::tests
