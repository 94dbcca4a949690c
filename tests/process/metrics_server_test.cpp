// Metrics over loopback, at an address of their own.
#include "process/metrics_server.h"

#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include <string>

using namespace saddlewing;

namespace {

const std::string host = "127.0.0.1";

class MetricsServerFixture {
 public:
  MetricsServerFixture() : server(poller, timers, [] { return "metric 1\n"; }) {
    port = 20000 + ::getpid() % 30000;
    server.open(host, port);
  }

  std::string ask(const std::string& target) {
    Poco::Net::StreamSocket client(Poco::Net::SocketAddress(host, static_cast<Poco::UInt16>(port)));
    const std::string request =
        "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    client.sendBytes(request.data(), static_cast<int>(request.size()));
    client.setBlocking(false);
    std::string answer;
    char bytes[4096];
    for (const TimePoint until = Clock::now() + 5s; Clock::now() < until;) {
      poller.poll(Duration(10));
      const int got = client.receiveBytes(bytes, sizeof bytes);
      if (got == 0)
        break;
      if (got > 0)
        answer.append(bytes, static_cast<std::size_t>(got));
    }
    server.reap();
    return answer;
  }

  Poller poller;
  TimerQueue timers;
  MetricsServer server;
  int port = 0;
};

}  // namespace

Test(metrics_server, metrics_are_answered_and_nothing_else) {
  MetricsServerFixture fixture;
  const std::string answer = fixture.ask("/metrics");
  cr_expect(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nmetric 1\n"));
  cr_expect(fixture.ask("/settings").starts_with("HTTP/1.1 404 "));
}

Test(metrics_server, a_port_that_is_taken_is_left_alone) {
  MetricsServerFixture fixture;
  Poller poller;
  TimerQueue timers;
  MetricsServer second(poller, timers, [] { return "other 1\n"; });
  second.open(host, fixture.port);
  cr_expect(fixture.ask("/metrics").ends_with("metric 1\n"));
}
