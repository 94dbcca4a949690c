#include <criterion/criterion.h>

#include <Poco/Net/StreamSocket.h>

#include <functional>
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

namespace {

// A server that answers when the test says so, and a client's socket.
class LateAnswers : public HttpServer::Handler {
 public:
  LateAnswers() : server_(poller, timers, *this, 16, 1 << 20) {
    Poco::UInt16 port = 20000;
    while (port < 60000 && server_.open({"127.0.0.1", port}))
      ++port;
    client.connect(Poco::Net::SocketAddress("127.0.0.1", port));
  }
  void on_request(ServerExchange& exchange, TimePoint) override {
    waiting.push_back(exchange.id());
  }
  void on_gone(ServerExchange&) override {
    ++gone;
  }
  void on_input_end(ServerExchange&, TimePoint) override {
    ++input_ends;
  }
  void send(const std::string& bytes) {
    client.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  void turn_until(const std::function<bool()>& is_reached) {
    for (int round = 0; round < 2000 && !is_reached(); ++round)
      poller.poll(Duration(20));
    cr_assert(is_reached());
  }
  ServerExchange* last() {
    return server_.find(waiting.back());
  }
  std::size_t connections() {
    server_.reap();
    return server_.count();
  }

  Poller poller;
  TimerQueue timers;
  Poco::Net::StreamSocket client;
  std::vector<ExchangeId> waiting;
  int gone = 0, input_ends = 0;

 private:
  HttpServer server_;
};

const std::string request = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

// Guards against requests that are served and never answered, since the client ended its sending.
Test(server, who_ended_its_input_gets_an_answer_to_each_request_that_came_whole) {
  LateAnswers stage;
  stage.send(request + request + request.substr(0, 9));
  stage.client.shutdownSend();
  stage.turn_until([&] { return stage.input_ends == 1; });
  stage.last()->answer({200, "OK", "", "one"}, Clock::now());
  stage.turn_until([&] { return stage.waiting.size() == 2; });
  cr_expect(stage.last()->has_input_ended());
  stage.last()->answer({200, "OK", "", "two"}, Clock::now());
  cr_expect(stage.connections() == 0 && stage.gone == 0);
  std::string answers;
  char bytes[4096];
  for (int got = 0; (got = stage.client.receiveBytes(bytes, sizeof bytes)) > 0;)
    answers.append(bytes, static_cast<std::size_t>(got));
  cr_expect(answers.find("one") < answers.find("two") && answers.ends_with("two"));
}

Test(server, readiness_behind_the_end_of_input_is_no_break_and_a_reset_is_one) {
  LateAnswers stage;
  stage.send(request);
  stage.client.shutdownSend();
  stage.turn_until([&] { return stage.input_ends == 1; });
  for (const bool is_writable : {false, true, false, true})
    stage.last()->on_ready(true, is_writable);
  cr_assert(stage.gone == 0 && stage.connections() == 1);
  stage.client.setLinger(true, 0);
  stage.client.close();
  stage.turn_until([&] { return stage.gone == 1; });
  cr_expect(stage.connections() == 0);
}
