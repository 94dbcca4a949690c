// The bytes of HTTP heads that the serving side writes, against fixtures.
#include "protocol/fixture_files.h"
#include "protocol/http_format_fixture.h"
#include "registry/operator_api.h"
#include "transport/http_server.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

struct NamedKind {
  ErrorCode kind;
  const char* name;
};

constexpr NamedKind kinds[] = {
    {ErrorCode::none, "none"},
    {ErrorCode::malformed, "malformed"},
    {ErrorCode::conflicting_framing, "length_conflict"},
    {ErrorCode::unsupported_coding, "unsupported_coding"},
    {ErrorCode::head_too_large, "head_too_large"},
    {ErrorCode::body_too_large, "body_too_large"},
    {ErrorCode::too_slow, "too_slow"},
    {ErrorCode::wrong_method, "wrong_method"},
    {ErrorCode::no_route, "no_route"},
    {ErrorCode::wrong_content, "wrong_content"},
    {ErrorCode::expectation, "expectation"},
    {ErrorCode::not_ready, "not_ready"},
    {ErrorCode::overloaded, "overloaded"},
    {ErrorCode::no_backend_up, "no_backend_up"},
    {ErrorCode::no_leader, "no_leader"},
    {ErrorCode::draining, "draining"},
    {ErrorCode::refused_by_backends, "turned_away"},
    {ErrorCode::refused_connection, "refused_connection"},
    {ErrorCode::no_response, "backend_silent"},
    {ErrorCode::connection_lost, "broke_off"},
    {ErrorCode::invalid_response, "garbled"},
    {ErrorCode::deadline_reached, "deadline_reached"},
    {ErrorCode::invalid, "invalid"},
    {ErrorCode::unreadable, "unreadable"},
    {ErrorCode::disk, "disk"},
    {ErrorCode::damaged, "damaged"},
    {ErrorCode::link, "link"},
    {ErrorCode::closed, "closed"},
};

// Answers each request as it is told to.
class OneReply final : public HttpServer::Handler {
 public:
  OneReply() : server_(poller_, timers_, *this, 16, 1 << 20) {
    address_ =
        open_somewhere([this](const Address& address) { return !server_.open(address); }, 36000);
    server_.set_limits({1024, 64, Duration(3000), Duration(15000)});
  }
  void on_request(ServerExchange& exchange, TimePoint now) override {
    exchange.answer(reply, now);
  }
  void on_gone(ServerExchange&) override {
  }
  std::string ask(const std::string& request, bool is_head_alone = false) {
    return ask_raw(
        address_, request,
        [&](const std::string& answer) { return is_whole_message(answer, is_head_alone); },
        [this] { turn(); });
  }
  // What comes until the server ends the connection.
  std::string ask_to_end(const std::string& request) {
    return ask_raw(
        address_, request, [](const std::string&) { return false; }, [this] { turn(); });
  }
  void leave() {
    server_.set_leaving();
  }
  Reply reply;

 private:
  void turn() {
    poller_.poll(Duration(1));
    server_.reap();
  }
  Poller poller_;
  TimerQueue timers_;
  HttpServer server_;
  Address address_;
};

std::string http(const std::string& name) {
  return "http/" + name + ".txt";
}

const std::string plain_get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

Test(http_format, an_answer_for_each_kind_of_refusal) {
  OneReply server;
  for (const NamedKind& row : kinds) {
    server.reply = reply_of(row.kind);
    expect_fixture(http("refusal_" + std::string(row.name)), server.ask(plain_get));
  }
  server.reply = reply_of(ErrorCode::malformed, "a text of its own");
  expect_fixture(http("refusal_with_text"), server.ask(plain_get));
}

Test(http_format, answers) {
  OneReply server;
  server.reply = {200, "OK", "Content-Type: text/plain\r\nX-Own: 1\r\n", "a body"};
  expect_fixture(http("answer_with_body"), server.ask(plain_get));
  expect_fixture(http("answer_to_head"), server.ask("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", true));
  expect_fixture(http("answer_to_http_1_0"), server.ask("GET / HTTP/1.0\r\n\r\n"));
  expect_fixture(http("answer_to_close"),
                 server.ask("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  server.reply.should_close = true;
  expect_fixture(http("answer_that_closes"), server.ask(plain_get));
  server.reply = {200, "OK", "Content-Length: 500\r\n", ""};
  server.reply.is_bodiless = true;
  expect_fixture(http("answer_bodiless"), server.ask("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", true));
  server.reply = {204, "No Content", "", ""};
  expect_fixture(http("answer_no_content"), server.ask(plain_get, true));
  server.reply = {304, "Not Modified", "", ""};
  expect_fixture(http("answer_not_modified"), server.ask(plain_get, true));
  server.reply = {};
  expect_fixture(http("answer_empty"), server.ask(plain_get));
  server.leave();
  expect_fixture(http("answer_while_leaving"), server.ask(plain_get));
}

Test(http_format, a_client_that_waits_is_told_to_go_on) {
  OneReply server;
  server.reply = {200, "OK", "", "done"};
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
  expect_fixture(http("continue"), server.ask(head, true));
}

// Their framing is in doubt, so the connection ends.
Test(http_format, requests_that_are_not_read_on) {
  OneReply server;
  const struct {
    const char *name, *request;
  } rows[] = {
      {"unread_malformed", "GET / HTTP/2.0\r\nHost: h\r\n\r\n"},
      {"unread_length_conflict",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"},
      {"unread_unsupported_coding",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"},
      {"unread_body_too_large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"},
      {"unread_expectation", "GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n"},
  };
  for (const auto& row : rows)
    expect_fixture(http(row.name), server.ask_to_end(row.request));
  const std::string large =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1100, 'x') + "\r\n\r\n";
  expect_fixture(http("unread_head_too_large"), server.ask_to_end(large));
}

namespace {

// The operators' side of a registry, and a core behind it that answers as told.
class DeskStage {
 public:
  DeskStage() : events_(64, {}) {
    NodeSettings settings;
    settings.control =
        open_somewhere([this](const Address& address) { return opens(address); }, 37000);
    address_ = settings.control;
    operator_api_->start();
  }
  ~DeskStage() {
    operator_api_->stop();
  }
  std::string ask(const std::string& method, const std::string& target,
                  const std::string& body = {}, const std::string& type = {}) {
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: h\r\n";
    if (!type.empty())
      request += "Content-Type: " + type + "\r\n";
    if (!body.empty())
      request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return ask_raw(
        address_, request + "\r\n" + body,
        [](const std::string& answer) { return is_whole_message(answer); },
        [this] { answer_calls(); });
  }
  bool is_done = true;
  std::string outcome;

 private:
  bool opens(const Address& address) {
    NodeSettings settings;
    settings.control = address;
    operator_api_ = std::make_unique<OperatorApi>(settings, events_);
    return !operator_api_->open();
  }
  void answer_calls() {
    for (const ControlEvent& event : events_.take()) {
      if (const auto* call = std::get_if<OperatorCall>(&event))
        operator_api_->post_reply({call->token, is_done, outcome});
      if (const auto* call = std::get_if<BackendCall>(&event))
        operator_api_->post_reply({call->token, is_done, outcome});
    }
  }
  BoundedQueue<ControlEvent> events_;
  std::unique_ptr<OperatorApi> operator_api_;
  Address address_;
};

const std::string configuration = R"({"version":1,"services":[{"name":"s"}],"routes":[]})";
const std::string backend_state =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","call_count":1,"capacity":2,"store_role":"copy"})";

}  // namespace

Test(http_format, answers_to_operators) {
  DeskStage stage;
  expect_fixture(http("control_write_done"), stage.ask("PUT", "/settings", configuration));
  stage.outcome = R"({"version":1})";
  expect_fixture(http("control_write_acknowledged"),
                 stage.ask("PUT", "/settings", configuration, "application/json; charset=utf-8"));
  expect_fixture(http("control_read"), stage.ask("GET", "/settings?x=1"));
  stage.outcome.clear();
  expect_fixture(http("control_read_nothing"), stage.ask("GET", "/settings"));
  stage.is_done = false;
  expect_fixture(http("control_no_leader"), stage.ask("GET", "/settings"));
  expect_fixture(http("control_wrong_path"), stage.ask("GET", "/other"));
  expect_fixture(http("control_wrong_method"), stage.ask("POST", "/settings", configuration));
  expect_fixture(http("control_wrong_content"),
                 stage.ask("PUT", "/settings", configuration, "text/plain"));
  expect_fixture(http("control_invalid"), stage.ask("PUT", "/settings", R"({"version":1})"));
}

Test(http_format, answers_to_backends) {
  DeskStage stage;
  expect_fixture(http("heartbeat_done"), stage.ask("PUT", "/backends/b-1", backend_state));
  expect_fixture(http("heartbeat_leaving"), stage.ask("DELETE", "/backends/b-1"));
  expect_fixture(http("heartbeat_invalid"), stage.ask("PUT", "/backends/b-1", "{}"));
  expect_fixture(http("heartbeat_wrong_method"), stage.ask("POST", "/backends/b-1", backend_state));
  stage.is_done = false;
  expect_fixture(http("heartbeat_no_leader"), stage.ask("PUT", "/backends/b-1", backend_state));
}

Test(http_format, the_head_of_metrics) {
  DeskStage stage;
  const std::string head = head_of(stage.ask("GET", "/metrics"));
  expect_fixture(
      http("control_metrics"),
      std::regex_replace(head, std::regex("Content-Length: [0-9]+"), "Content-Length: <bytes>"));
}

// Every head kept here is read whole by this system's own reader, and by no proper prefix.
Test(http_format, what_is_written_is_read) {
  const auto check = [](const std::string& name, bool is_request) {
    const std::string bytes = read_fixture(http(name));
    const auto decodes = [&](const std::string& some) {
      MessageReader reader(is_request, 16384, 65536);
      std::string buffer = some;
      return reader.advance(buffer) == MessageReader::Step::done && buffer.empty();
    };
    cr_expect(decodes(bytes), "%s", name.c_str());
    expect_prefixes_refused(name, bytes, decodes);
    decode_random_bytes(bytes.substr(0, bytes.find("\r\n") + 2), bytes, decodes);
  };
  for (const char* name : {"backend_get", "backend_head", "backend_post", "backend_post_empty",
                           "backend_gather_part_1", "backend_ring_lookup", "backend_ring_shows",
                           "backend_ring_hides", "backend_health_check", "platform_list",
                           "platform_list_next_page", "platform_promote", "ring_node_order"})
    check(name, true);
  for (const char* name :
       {"client_get_answer", "client_gather_answer", "client_not_ready", "client_no_backend_up",
        "client_ring_not_leased", "control_read", "control_wrong_method", "control_no_leader",
        "heartbeat_done", "heartbeat_invalid", "answer_with_body", "answer_that_closes",
        "answer_empty", "readiness_ready", "unread_malformed"})
    check(name, false);
  for (const NamedKind& row : kinds)
    check("refusal_" + std::string(row.name), false);
}
