// One connection of the session wire over loopback, whose peer ends its sending side.
#include "transport/database_transport.h"

#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace saddlewing;

namespace {

constexpr int max_rounds = 2000;

// A transport that was admitted, and its peer's socket.
class Pair {
 public:
  explicit Pair(bool is_peer_a_client) {
    Listener listener;
    int port = 20000;
    while (port < 60000 && listener.open({"127.0.0.1", port}))
      ++port;
    peer.connect(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
    auto channel = listener.admit();
    cr_assert(channel.has_value());
    DatabaseTransport::Owner owner = {[this](DatabaseMessage&& message) {
                                        texts.push_back(message.field(1));
                                        return false;  // as long as it is at work
                                      },
                                      [this](DatabaseReadResult) {
                                        has_ended = true;
                                      }};
    if (is_peer_a_client)
      owner.on_input_end = [this] {
        ++input_ends;
      };
    transport = std::make_unique<DatabaseTransport>(poller, owner);
    transport->accept(std::move(*channel));
  }
  void send(const std::string& bytes) {
    peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  template <class Condition>
  bool turn_until(const Condition& is_reached) {
    for (int round = 0; round < max_rounds && !is_reached(); ++round)
      poller.poll(Duration(20));
    return is_reached();
  }
  // Everything that reaches the peer until the end of the connection.
  std::string read_all() {
    std::string bytes;
    char buffer[256];
    for (int got = 0; (got = peer.receiveBytes(buffer, sizeof buffer)) > 0;)
      bytes.append(buffer, static_cast<std::size_t>(got));
    return bytes;
  }

  Poller poller;
  Poco::Net::StreamSocket peer;
  std::unique_ptr<DatabaseTransport> transport;
  std::vector<std::string> texts;
  bool has_ended = false;
  int input_ends = 0;
};

const std::string query = encode_query("a", "WRITE x 1");

}  // namespace

// Guards against a statement that runs and is never answered, since its client ended its sending.
Test(database_transport, who_ended_its_sending_is_still_answered) {
  Pair pair(true);
  const std::string second = encode_query("b", "WRITE y 1");
  pair.send(query + second + second.substr(0, 5));
  pair.peer.shutdownSend();
  cr_assert(pair.turn_until([&] { return pair.input_ends == 1; }));
  cr_expect(pair.texts == std::vector<std::string>{"WRITE x 1"}, "told before the end");
  const std::string answer = encode_database_message(DatabaseMessageKind::ready, {"I", "1.1"});
  cr_expect(pair.transport->send(answer));
  pair.transport->resume();
  cr_assert(pair.texts.size() == 2 && !pair.has_ended);
  cr_expect(pair.transport->send(answer));
  pair.transport->resume();
  cr_expect(pair.has_ended && pair.read_all() == answer + answer);
  cr_expect(pair.texts.size() == 2, "what did not come whole is none");
}

// Guards against a statement that runs and is never answered, since readiness behind the end of
// input was taken for a broken connection.
Test(database_transport, readiness_behind_the_end_of_input_is_no_break) {
  Pair pair(true);
  pair.send(query);
  pair.peer.shutdownSend();
  cr_assert(pair.turn_until([&] { return pair.input_ends == 1; }));
  for (const bool is_writable : {false, true, false, true})
    pair.transport->on_ready(true, is_writable);
  cr_assert(!pair.has_ended, "the socket itself has no error");
  const std::string answer = encode_database_message(DatabaseMessageKind::ready, {"I", "1.1"});
  cr_expect(pair.transport->send(answer));
  pair.transport->resume();
  cr_expect(pair.has_ended && pair.read_all() == answer);
}

Test(database_transport, a_server_that_ends_its_sending_is_gone) {
  Pair pair(false);
  pair.send(query);
  pair.peer.shutdownSend();
  cr_expect(pair.turn_until([&] { return pair.has_ended; }));
  cr_expect(pair.texts.size() == 1 && pair.transport->is_ended());
}

Test(database_transport, a_reset_ends_it_before_and_after_the_end_of_sending) {
  for (const bool has_ended_sending : {false, true}) {
    Pair pair(true);
    pair.send(query);
    if (has_ended_sending)
      pair.peer.shutdownSend();
    cr_assert(pair.turn_until([&] {
      return !pair.texts.empty() && pair.transport->has_input_ended() == has_ended_sending;
    }));
    pair.peer.setLinger(true, 0);
    pair.peer.close();
    cr_expect(pair.turn_until([&] { return pair.has_ended; }), "reset, ended before: %d",
              has_ended_sending);
  }
}
