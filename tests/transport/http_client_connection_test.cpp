// One connection to a backend, its far end in hand.
#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

#include "broker/exchange_fixture.h"
#include "transport/http_client_connection.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

// A caller alone, with the far end of its connection in hand.
class ClientConnectionFixture : public HttpCallObserver {
 public:
  ClientConnectionFixture() {
    for (int port = 45000 + ::getpid() % 4000; !listener_.is_open() && port < 60000; ++port)
      if (!listener_.open({"127.0.0.1", port}))
        address_ = {"127.0.0.1", port};
    caller = std::make_unique<HttpClientConnection>(poller, *this, address_, 65536, 1 << 20);
  }
  void on_response(HttpClientConnection&, TimePoint) override {
    ++outcomes;
  }
  void on_failure(HttpClientConnection&, ErrorCode kind, TimePoint) override {
    failure = kind;
  }
  void on_idle_end(HttpClientConnection&) override {
    ++idle_ends;
  }
  void admit() {
    while (!far)
      far = listener_.admit();
  }
  void poll() {
    poller.poll(Duration(50));
  }  // sooner, as soon as there is something
  void say(const std::string& bytes) {
    cr_assert(far->send(bytes.data(), bytes.size()).count == bytes.size());
    poll();
  }
  template <class Reached>
  bool reaches(Reached reached) {
    for (const TimePoint until = Clock::now() + 5s; !reached() && Clock::now() < until;)
      poll();
    return reached();
  }
  std::string last_contact() {
    char bytes[4096];
    const Transfer got = far->receive(bytes, sizeof bytes);
    return std::string(bytes, got.count);
  }
  // One exchange, so that the connection rests.
  void greet() {
    caller->ask("GET /1 HTTP/1.1\r\n\r\n", false, "1");
    admit();
    while (caller->state() == HttpClientConnection::State::connecting || last_contact().empty())
      poll();
    say(good_answer("1", "b"));
    cr_assert(outcomes == 1 && caller->state() == HttpClientConnection::State::idle);
  }

  Poller poller;
  std::unique_ptr<HttpClientConnection> caller;
  std::optional<TcpConnection> far;
  int outcomes = 0, idle_ends = 0;
  ErrorCode failure = ErrorCode::none;

 private:
  Listener listener_;
  Address address_;
};

}  // namespace

Test(caller, its_own_answer_is_found_behind_surplus_ones_in_whichever_pieces_they_come) {
  const std::string surplus = good_answer("1", "b") + good_answer("0", "b");
  const std::string all = surplus + good_answer("2", "b");
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    ClientConnectionFixture stage;
    stage.greet();
    stage.caller->ask("GET /2 HTTP/1.1\r\n\r\n", false, "2");
    if (cut)
      stage.say(all.substr(0, cut));
    cr_expect(stage.failure == ErrorCode::none, "cut at %zu", cut);
    if (cut < all.size())
      stage.say(all.substr(cut));
    cr_assert(stage.reaches([&] { return stage.outcomes == 2; }), "cut at %zu", cut);
    cr_expect(stage.outcomes == 2 && stage.caller->reader().response().get("Try-Id") == "2" &&
                  stage.caller->reader().body() == "to 2 by b",
              "cut at %zu", cut);
    cr_expect(stage.caller->state() == HttpClientConnection::State::ended, "it is not used again");
  }
}

Test(caller, an_answer_to_head_has_no_body_behind_a_surplus_one_either) {
  ClientConnectionFixture stage;
  stage.greet();
  stage.caller->ask("HEAD /2 HTTP/1.1\r\n\r\n", true, "2");
  stage.say(
      "HTTP/1.1 200 OK\r\nTry-Id: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTry-Id: "
      "2\r\nContent-Length: 500\r\n\r\n");
  cr_expect(stage.reaches([&] { return stage.outcomes == 2; }) && stage.failure == ErrorCode::none);
}

// A cut answer and the next one run together: it is nobody's, and nothing more is waited for.
Test(caller, an_answer_that_bears_two_ids_is_none) {
  for (const char* first : {"1", "2"}) {
    ClientConnectionFixture stage;
    stage.greet();
    stage.caller->ask("GET /2 HTTP/1.1\r\n\r\n", false, "2");
    stage.say("HTTP/1.1 200 OK\r\nTry-Id: " + std::string(first) + "\r\n" +
              good_answer("2", "b").substr(17));
    cr_expect(stage.reaches([&] { return stage.failure == ErrorCode::invalid_response; }) &&
              stage.outcomes == 1);
  }
}

// A process that stood still finds an end or stray bytes only when it looks.
Test(caller, a_resting_connection_that_ended_or_spoke_is_not_quiet) {
  for (const int kind : {0, 1, 2}) {
    ClientConnectionFixture stage;
    stage.greet();
    cr_expect(stage.caller->is_quiet());
    if (kind == 0)
      stage.far->finish_sending();
    if (kind == 1)
      cr_assert(stage.far->send("x", 1).count == 1);
    if (kind == 2) {
      stage.far->reset_at_close();
      stage.far.reset();
    }
    bool is_quiet = true;
    for (const TimePoint until = Clock::now() + 5s; is_quiet && Clock::now() < until;)
      is_quiet = stage.caller->is_quiet();
    cr_expect(!is_quiet, "kind %d", kind);
  }
}

// Held up while connecting, by a lost packet or by standing still: what may leave only until then
// does not leave later.
Test(caller, nothing_leaves_after_its_latest_moment) {
  ClientConnectionFixture stage;
  cr_assert(stage.caller->ask("POST /raise HTTP/1.1\r\n\r\n", false, {}, Clock::now() - 1ms));
  stage.admit();
  cr_assert(stage.reaches([&] { return stage.failure != ErrorCode::none; }));
  cr_expect(stage.failure == ErrorCode::deadline_reached && !stage.caller->has_sent() &&
            stage.last_contact().empty());
}
