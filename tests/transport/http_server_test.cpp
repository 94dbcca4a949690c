#include <criterion/criterion.h>

#include <Poco/Net/StreamSocket.h>

#include <thread>

#include "transport/http_client_connection.h"
#include "transport/http_server.h"

using namespace saddlewing;

namespace {

// A server and a caller on one poller, over loopback, on a port found free.
class Pair : public HttpServer::Handler, public HttpCallObserver {
 public:
  Pair() : server_(poller, timers, *this, 16, 1 << 20) {
    for (int port = 20000; port < 60000 && !address.port; ++port)
      if (!server_.open({"127.0.0.1", port}))
        address = {"127.0.0.1", port};
    server_.set_limits({16384, 4 << 20, Duration(3000), Duration(15000)});
    caller = std::make_unique<HttpClientConnection>(poller, *this, address, 65536, 64u << 20);
  }
  void on_request(ServerExchange& exchange, TimePoint now) override {
    paths.push_back(exchange.request().getURI());
    exchange.answer({200, "OK", "Try-Id: " + exchange.request().get("Try-Id", "") + "\r\n", body},
                    now);
  }
  void on_gone(ServerExchange&) override {
  }
  void on_response(HttpClientConnection&, TimePoint) override {
    is_over = true;
  }
  void on_failure(HttpClientConnection&, ErrorCode kind, TimePoint) override {
    is_over = true, failure = kind;
  }
  void on_idle_end(HttpClientConnection&) override {
  }
  // Rounds of the loop until a request was read, or none is left to read.
  void turn(int rounds) {
    for (int round = 0; round < rounds; ++round)
      poller.poll(Duration(20));
  }
  void run() {
    for (int round = 0; round < 20000 && !is_over; ++round) {
      poller.poll(Duration(50));
      server_.reap();
    }
  }

  Poller poller;
  TimerQueue timers;
  Address address;
  std::unique_ptr<HttpClientConnection> caller;
  std::string body;
  std::vector<std::string> paths;
  bool is_over = false;
  ErrorCode failure = ErrorCode::none;

 private:
  HttpServer server_;
};

}  // namespace

// POCO throws when a non-blocking socket has no room; that was once taken for the end of the
// connection.
Test(server, an_answer_beyond_the_send_buffer_arrives_whole) {
  Pair pair;
  pair.body.assign(32u << 20, 'x');
  cr_assert(pair.caller->ask("GET /big HTTP/1.1\r\nHost: a\r\n\r\n", false));
  pair.run();
  cr_expect(pair.failure == ErrorCode::none);
  cr_expect(pair.caller->reader().body().size() == pair.body.size());
}

Test(server, a_pipelined_request_is_answered_in_its_turn) {
  Pair pair;
  cr_assert(
      pair.caller->ask("GET /1 HTTP/1.1\r\nHost: a\r\nTry-Id: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: "
                       "a\r\nTry-Id: 2\r\n\r\n",
                       false));
  pair.run();
  const std::vector<std::string> both{"/1", "/2"};
  cr_expect(pair.paths == both);
}

// POCO's plain bind also shares the port; two processes then took turns at each other's
// connections.
Test(server, a_port_in_use_is_refused) {
  Pair pair;
  Listener second;
  cr_expect(second.open(pair.address).code == ErrorCode::link);
}

namespace {

// A client sends the first bytes; then the process stands still for the span, and meanwhile the
// rest comes. Returns what was served.
std::vector<std::string> served_after_stand_still(const std::string& first, const std::string& rest,
                                                  Duration span) {
  Pair pair;
  Poco::Net::StreamSocket client(
      Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(pair.address.port)));
  if (!first.empty())
    client.sendBytes(first.data(), static_cast<int>(first.size()));
  pair.turn(5);
  client.sendBytes(rest.data(), static_cast<int>(rest.size()));
  pair.timers.run(Clock::now() + span);
  return pair.paths;
}

}  // namespace

Test(server, a_request_that_came_while_the_process_stood_still_is_not_refused_as_slow) {
  const std::vector<std::string> one{"/1"};
  cr_expect(served_after_stand_still("GET /1 HTTP/1.1\r\nHost", ": a\r\n\r\n", 3100ms) == one);
}

// Likewise a request on a connection that rested until then.
Test(server, a_request_that_came_while_the_process_stood_still_finds_its_connection_open) {
  const std::vector<std::string> one{"/1"};
  cr_expect(served_after_stand_still("", "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", 15100ms) == one);
}

// Bodies that together pass the bound are refused before they are read.
Test(server, beyond_its_memory_a_request_is_refused_with_a_promise) {
  Pair pair;
  cr_assert(pair.caller->ask(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n" + std::string(1500000, 'x'),
      false));
  pair.run();
  cr_expect(pair.paths.empty());
  cr_expect(pair.caller->reader().response().getStatus() == 503 ||
            pair.failure == ErrorCode::connection_lost);
}

// A surplus answer in the place of the next one is told by its id, and the connection is not used
// again.
Test(caller, an_answer_to_another_request_is_passed_over) {
  Pair pair;
  cr_assert(
      pair.caller->ask("GET /1 HTTP/1.1\r\nHost: a\r\nTry-Id: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: "
                       "a\r\nTry-Id: 2\r\n\r\n",
                       false, "2"));
  pair.run();
  cr_expect(pair.failure == ErrorCode::none);
  cr_expect(pair.caller->reader().response().get("Try-Id") == "2");
  cr_expect(pair.caller->state() == HttpClientConnection::State::ended);
}
