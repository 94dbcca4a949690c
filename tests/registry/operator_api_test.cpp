// Operators' calls over loopback, answered by a stand-in for the control loop.
#include "registry/operator_api.h"

#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <string>

using namespace saddlewing;

namespace {

class OperatorApiFixture {
 public:
  OperatorApiFixture() : events(16, {}) {
    NodeSettings settings;
    settings.memory_bytes = 256u << 20;
    for (int port = 20000 + ::getpid() % 9000; !api && port < 60000; ++port) {
      settings.control = {"127.0.0.1", port};
      api = std::make_unique<OperatorApi>(settings, events);
      if (api->open())
        api.reset();
    }
    cr_assert(api != nullptr);
    api->start();
    client.connect(
        Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(settings.control.port)));
  }
  ~OperatorApiFixture() {
    api->stop();
  }
  // What a caller gets that ends its input behind its request, if the call is done that much later.
  std::string ask_and_end_input(const std::string& request, Duration done_after) {
    client.sendBytes(request.data(), static_cast<int>(request.size()));
    client.shutdownSend();
    std::vector<ControlEvent> calls;
    for (const TimePoint until = Clock::now() + 5s; calls.empty() && Clock::now() < until;)
      calls = events.take();
    cr_assert(calls.size() == 1);
    for (const TimePoint until = Clock::now() + done_after; Clock::now() < until;)
      ::usleep(1000);
    api->post_reply({std::get<OperatorCall>(calls[0]).token, true, "{}\n"});
    std::string answer;
    char bytes[4096];
    for (int got = 0; (got = client.receiveBytes(bytes, sizeof bytes)) > 0;)
      answer.append(bytes, static_cast<std::size_t>(got));
    return answer;
  }

  BoundedQueue<ControlEvent> events;
  std::unique_ptr<OperatorApi> api;
  Poco::Net::StreamSocket client;
};

// The caller's end of input is read by then.
constexpr Duration long_after{100};

}  // namespace

// Guards against an order that comes into force and is never acknowledged, since the operator ended
// its sending.
Test(operator_api, an_order_is_acknowledged_to_who_ended_its_input) {
  OperatorApiFixture fixture;
  const std::string body = R"({"version":1,"services":[],"routes":[]})";
  const std::string order =
      "PUT /settings HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  cr_expect(fixture.ask_and_end_input(order, long_after).starts_with("HTTP/1.1 200 "));
}

Test(operator_api, a_read_is_answered_to_who_ended_its_input) {
  OperatorApiFixture fixture;
  const std::string read = "GET /settings HTTP/1.1\r\nHost: a\r\n\r\n";
  cr_expect(fixture.ask_and_end_input(read, long_after).ends_with("\r\n\r\n{}\n"));
}
