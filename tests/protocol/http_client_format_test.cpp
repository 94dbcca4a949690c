// The bytes of HTTP requests that the system writes, to backends, nodes of the ring and the
// platform, and what a broker answers its clients, against fixtures.
#include "broker/broker_loop.h"
#include "protocol/discovery_messages.h"
#include "protocol/fixture_files.h"
#include "protocol/http_calls.h"
#include "protocol/http_format_fixture.h"
#include "registry/backend_monitor.h"
#include "registry/command_dispatcher.h"
#include "transport/header_names.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::string http(const std::string& name) {
  return "http/" + name + ".txt";
}

std::string answer_of(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const char* const routes =
    R"({"version":1,"services":[{"name":"s","most_connections":100},{"name":"t","most_connections":100},{"name":"down"}],"routes":[)"
    R"({"host":"h","path_start":"/read/","sort":"harmless","target_ms":2000,"give_up_ms":9000,"service":"s","tries":1},)"
    R"({"host":"h","path_start":"/write/","sort":"risky","give_up_ms":9000,"service":"s","tries":1},)"
    R"({"host":"h","path_start":"/down/","sort":"harmless","target_ms":100,"give_up_ms":200,"service":"down","tries":1},)"
    R"({"host":"h","path_start":"/all/","sort":"harmless","target_ms":2000,"give_up_ms":9000,"ask_all":["s","t"],"best_count":2,"fewest_parts":1,"tries":1},)"
    R"({"name":"lookups","host":"h","path_start":"/ring/","sort":"harmless","target_ms":2000,"give_up_ms":9000,)"
    R"("shares":[{"service":"s","weight":1},{"service":"t","weight":1}],"tries":1}]})";

const std::string try_fields = "Try-Id: try-1\r\nAnswer-Seal: seal-1\r\n";

// A broker with a backend for each of the services s and t.
class TrafficStage {
 public:
  TrafficStage(const std::string& answer_of_s, const std::string& answer_of_t)
      : s({answer_of_s}), t({answer_of_t}) {
    open_somewhere([this](const Address& address) { return opens(address); }, 46000);
    traffic_->set_sender([](DelegationMessage) { return false; });
    traffic_->start();
  }
  ~TrafficStage() {
    traffic_->leave();
    traffic_->join();
  }
  // Serves by the routes above from now on.
  void show() {
    auto view = std::make_shared<View>();
    const Error found = read_configuration(routes, view->configuration);
    cr_assert(!found, "%s", found.text().c_str());
    view->is_ready = true;
    view->backends = {entry_of("b-s", "s", s.address()), entry_of("b-t", "t", t.address())};
    traffic_->show(view);
    const std::string probe = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    cr_assert(turn_until([&] { return ask(probe).starts_with("HTTP/1.1 404"); }, [] {}));
  }
  void turn_ring(RingSnapshot view, TimePoint until) {
    traffic_->turn_ring({std::move(view), until});
  }
  std::string ask(const std::string& request, bool is_head_alone = false) {
    return ask_at(front_, request, is_head_alone);
  }
  std::string ask_ready(const std::string& target) {
    return ask_at(ready_check_, "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", false);
  }

  RawBackend s, t;

 private:
  static Endpoint entry_of(const std::string& id, const std::string& service,
                           const Address& address) {
    Endpoint entry{id, service, address.text(), "z", ""};
    entry.capacity = 100;
    entry.status = EndpointStatus::up;
    return entry;
  }
  bool opens(const Address& address) {
    front_ = address;
    ready_check_ = {address.host, address.port + 1};
    NodeSettings settings;
    settings.front = front_;
    settings.ready_check = ready_check_;
    settings.ip_address = address.host;
    settings.zone = "z";
    settings.region = "r";
    settings.zones = {{"z", "r"}};
    settings.grace = Duration(750);
    traffic_ = std::make_unique<BrokerLoop>(settings, IncarnationId{7});
    return !traffic_->open();
  }
  std::string ask_at(const Address& address, const std::string& request, bool is_head_alone) {
    return ask_raw(
        address, request,
        [&](const std::string& answer) { return is_whole_message(answer, is_head_alone); },
        [this] {
          s.turn();
          t.turn();
        });
  }

  std::unique_ptr<BrokerLoop> traffic_;
  Address front_, ready_check_;
};

std::string request_of(const std::string& method, const std::string& path,
                       const std::string& fields = {}, const std::string& body = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\nTry-Id: try-1\r\nTime-Left: 5000\r\n" +
         fields + "\r\n" + body;
}

// A unit is being copied from s to t; where every key lives is agreed.
RingSnapshot ring_while_copying() {
  RingDocument document;
  document.revision = 17;
  document.file =
      "edition: 1\nrule: lookups\nvirtual_nodes: 1\nnodes:\n"
      "- {name: s, zone: z, memory_mb: 100, disk_mb: 100}\n- {name: t, zone: z, memory_mb: 100, "
      "disk_mb: 100}\n";
  document.moved = {{0, "s"}};
  RingMove move;
  move.id = 1;
  move.from = "s";
  move.to = "t";
  move.step = RingMove::Step::copying;
  document.moves = encode_moves({move});
  const RingSnapshot view = view_ring(document);
  cr_assert(view != nullptr);
  return view;
}

}  // namespace

Test(http_format, requests_to_a_backend_and_its_answers_to_the_client) {
  TrafficStage stage(answer_of(try_fields + "X-Own: 1\r\nKeep-Alive: timeout=9\r\n", "a body"),
                     answer_of("", ""));
  stage.show();
  const std::string hop_fields =
      "Connection: X-Nominated\r\nX-Nominated: 1\r\nTE: trailers\r\nMeant-Server: "
      "other\r\nRing-Mark: 9\r\nx-own: 2\r\n";
  expect_fixture(http("client_get_answer"),
                 stage.ask(request_of("GET", "/read/a?q=1", hop_fields)));
  expect_fixture(http("client_post_answer"),
                 stage.ask(request_of("POST", "/write/a", "Content-Length: 6\r\n", "a text")));
  expect_fixture(http("client_post_empty_answer"),
                 stage.ask(request_of("POST", "/write/b", "Content-Length: 0\r\n")));
  cr_assert_eq(stage.s.requests().size(), 3u);
  expect_fixture(http("backend_get"), without_chance(stage.s.requests()[0]));
  expect_fixture(http("backend_post"), without_chance(stage.s.requests()[1]));
  expect_fixture(http("backend_post_empty"), without_chance(stage.s.requests()[2]));
}

Test(http_format, a_head_request_passes_as_such) {
  TrafficStage stage("HTTP/1.1 200 OK\r\n" + try_fields + "Content-Length: 500\r\n\r\n",
                     answer_of("", ""));
  stage.show();
  expect_fixture(http("client_head_answer"), stage.ask(request_of("HEAD", "/read/a"), true));
  expect_fixture(http("backend_head"), without_chance(stage.s.requests().at(0)));
}

Test(http_format, refusals_of_a_broker) {
  TrafficStage stage(answer_of("", ""), answer_of("", ""));
  expect_fixture(http("client_not_ready"), stage.ask(request_of("GET", "/read/a")));
  expect_fixture(http("readiness_not_ready"), stage.ask_ready("/readiness"));
  stage.show();
  expect_fixture(http("client_no_route"), stage.ask(request_of("GET", "/nowhere")));
  expect_fixture(http("client_no_try_id"), stage.ask("GET /read/a HTTP/1.1\r\nHost: h\r\n\r\n"));
  expect_fixture(http("client_no_backend_up"), stage.ask(request_of("GET", "/down/a")));
  expect_fixture(http("client_backend_garbled"), stage.ask(request_of("GET", "/read/a")));
  expect_fixture(http("readiness_ready"), stage.ask_ready("/readiness?x=1"));
  expect_fixture(http("readiness_wrong_path"), stage.ask_ready("/other"));
  const std::string metrics_head = head_of(stage.ask_ready("/metrics"));
  expect_fixture(http("readiness_metrics"),
                 std::regex_replace(metrics_head, std::regex("Content-Length: [0-9]+"),
                                    "Content-Length: <bytes>"));
}

Test(http_format, a_gather) {
  TrafficStage stage(answer_of("Try-Id: try-1\r\nAnswer-Seal: seal-s\r\n", "0000000000000001"),
                     answer_of("Try-Id: try-1\r\nAnswer-Seal: seal-t\r\n", "0000000000000002"));
  stage.show();
  expect_fixture(http("client_gather_answer"), stage.ask(request_of("GET", "/all/a")));
  expect_fixture(http("backend_gather_part_1"), without_chance(stage.s.requests().at(0)));
  expect_fixture(http("backend_gather_part_2"), without_chance(stage.t.requests().at(0)));
}

Test(http_format, requests_by_the_ring) {
  TrafficStage stage(answer_of("Try-Id: try-1\r\nAnswer-Seal: seal-s\r\n", "0000000000000001"),
                     answer_of("Try-Id: try-1\r\nAnswer-Seal: seal-t\r\n", "0000000000000002"));
  stage.show();
  stage.turn_ring(ring_while_copying(), TimePoint{});
  const std::string lookup = request_of("GET", "/ring/alice");
  cr_assert(turn_until([&] { return stage.ask(lookup).starts_with("HTTP/1.1 503"); }, [] {}));
  expect_fixture(http("client_ring_not_leased"), stage.ask(lookup));
  const std::size_t before = stage.s.requests().size();
  stage.turn_ring(nullptr, Clock::now() + 60s);
  cr_assert(turn_until([&] { return stage.ask(lookup).starts_with("HTTP/1.1 200"); }, [] {}));
  expect_fixture(http("backend_ring_lookup"), without_chance(stage.s.requests().at(before)));
  expect_fixture(http("client_ring_gather_answer"), stage.ask(request_of("GET", "/all/a")));
  expect_fixture(http("backend_ring_shows"), without_chance(stage.s.requests().back()));
  expect_fixture(http("backend_ring_hides"), without_chance(stage.t.requests().back()));
}

Test(http_format, orders_to_ring_nodes_and_the_platform) {
  RawBackend node({answer_of("", R"({"interface":2,"is_done":true,"share":1})")}),
      platform({answer_of("", "{}")});
  NodeSettings settings;
  settings.node_name = "node a";
  settings.platform = platform.address();
  BoundedQueue<ControlEvent> events(64, {});
  CommandDispatcher dispatcher(settings, events);
  dispatcher.start();
  dispatcher.order({5,
                    "shard-a",
                    "i-1",
                    node.address().text(),
                    {},
                    R"({"interface":2,"what":"close"})",
                    0,
                    Clock::now() + 60s});
  dispatcher.order({6, "orders", "b-1", {}, {}, {}, 41, Clock::now() + 60s});
  std::size_t told = 0;
  cr_assert(turn_until([&] { return told == 2; },
                       [&] {
                         node.turn();
                         platform.turn();
                         told += events.take().size();
                       }));
  dispatcher.stop();
  expect_fixture(http("ring_node_order"), without_chance(node.requests().at(0)));
  expect_fixture(http("platform_promote"), without_chance(platform.requests().at(0)));
}

Test(http_format, listings_and_health_checks) {
  RawBackend backend({answer_of("Server-Id: b-1\r\n", "")});
  RawBackend platform({answer_of("", R"({"backends":[],"next_token":"a b/1"})"),
                       answer_of("", R"({"backends":[]})")});
  NodeSettings settings;
  settings.platform = platform.address();
  BoundedQueue<ControlEvent> events(64, {});
  BackendMonitor monitor(settings, events);
  monitor.start();
  auto order = std::make_shared<MonitorTargets>();
  order->is_observing = true;
  order->targets = {{"b-1", backend.address().text(), "/health?x=1", true}};
  monitor.set_targets(order);
  const auto turn = [&] {
    backend.turn();
    platform.turn();
  };
  cr_assert(turn_until(
      [&] { return platform.requests().size() >= 2 && !backend.requests().empty(); }, turn));
  monitor.stop();
  expect_fixture(http("platform_list"), without_chance(platform.requests()[0]));
  expect_fixture(http("platform_list_next_page"), without_chance(platform.requests()[1]));
  expect_fixture(http("backend_health_check"), without_chance(backend.requests()[0]));
}

// What both sides of a call agree on.
Test(http_format, calls_and_fields) {
  std::string table;
  for (const HttpCallRow& row : http_calls)
    table += std::string(row.method) + " " + std::string(row.path) + "\n";
  for (const char* name :
       {header_name::try_id, header_name::time_left, header_name::target_server,
        header_name::server_id, header_name::server_load, header_name::not_run,
        header_name::answer_checksum, header_name::part_checksums, header_name::duty_owner,
        header_name::owner_number, header_name::ring_revision, header_name::ring_show,
        header_name::ring_hide, header_name::parts_missing})
    table += std::string(name) + "\n";
  expect_fixture(http("calls_and_fields"), table);
}
