// Orders to nodes of the ring over real sockets: what is not understood is not believed.
#include <criterion/criterion.h>

#include "registry/command_dispatcher.h"
#include "transport/http_server.h"

using namespace saddlewing;

namespace {

class NodeServer final : public HttpServer::Handler {
 public:
  NodeServer() : server_(poller, timers, *this, 16, 1 << 20) {
    for (int port = 30000; port < 60000 && !address.port; ++port)
      if (!server_.open({"127.0.0.1", port}))
        address = {"127.0.0.1", port};
    server_.set_limits({16384, 1 << 20, Duration(3000), Duration(15000)});
  }
  void on_request(ServerExchange& exchange, TimePoint now) override {
    path = exchange.request().getURI();
    meant = exchange.request().get("Meant-Server", "");
    body = exchange.body();
    exchange.answer({status, "OK", "Content-Type: application/json\r\n", answer}, now);
  }
  void on_gone(ServerExchange&) override {
  }
  // Serves until the envoy has told what came of it.
  NodeAnswer ask(CommandDispatcher& dispatcher, BoundedQueue<ControlEvent>& events, int with_status,
                 const std::string& with_answer) {
    status = with_status, answer = with_answer;
    dispatcher.order({5,
                      "shard-a",
                      "i-1",
                      address.text(),
                      {},
                      R"({"interface":2,"what":"close"})",
                      0,
                      Clock::now() + 5s});
    for (const TimePoint until = Clock::now() + 5s; Clock::now() < until;) {
      poller.poll(Duration(5));
      server_.reap();
      for (ControlEvent& event : events.take())
        if (auto* told = std::get_if<NodeReply>(&event))
          return told->answer;
    }
    return {};
  }
  Poller poller;
  TimerQueue timers;
  Address address;
  int status = 200;
  std::string answer, path, meant, body;

 private:
  HttpServer server_;
};

}  // namespace

Test(dispatcher, a_node_s_answer_is_read_strictly) {
  NodeServer node;
  BoundedQueue<ControlEvent> events(64, {});
  CommandDispatcher dispatcher(NodeSettings{}, events);
  dispatcher.start();
  using Type = NodeAnswer::Type;
  const NodeAnswer done = node.ask(dispatcher, events, 200,
                                   R"({"interface":2,"is_done":true,"share":1,"position":41})");
  cr_expect(done.type == Type::told && done.is_done && done.interface == 2 && done.position == 41u);
  cr_expect(node.path == "/ring/moves" && node.meant == "i-1" &&
            node.body.find("close") != std::string::npos);
  const NodeAnswer old = node.ask(dispatcher, events, 200, R"({"is_done":true,"share":1})");
  cr_expect(old.type == Type::told && old.interface == 1 && !old.position);
  for (const char* garbage :
       {"", "done", "[]", R"({"is_done":"yes"})", R"({"is_done":true,"position":-1})",
        R"({"is_done":true,"share":7})", R"({"is_done":true,"interface":"2"})"})
    cr_expect(node.ask(dispatcher, events, 200, garbage).type == Type::garbled, "%s", garbage);
  cr_expect(node.ask(dispatcher, events, 421, "{}").type == Type::refused);
  dispatcher.order({6, "shard-a", "i-1", "127.0.0.1:1", {}, "{}", 0, Clock::now() + 5s});
  bool is_silent = false;
  for (const TimePoint until = Clock::now() + 5s; Clock::now() < until && !is_silent;)
    for (ControlEvent& event : events.take())
      if (auto* told = std::get_if<NodeReply>(&event))
        is_silent = told->answer.type == Type::silent;
  cr_expect(is_silent);
  dispatcher.stop();
}

// Decided under a lease that is over: it is begun only if the lease of its own term was extended.
Test(dispatcher, nothing_begins_after_the_lease_under_which_it_was_decided) {
  NodeServer node;
  BoundedQueue<ControlEvent> events(64, {});
  CommandDispatcher dispatcher(NodeSettings{}, events);
  dispatcher.start();
  const auto order = [&](std::uint64_t term) {
    node.path.clear();
    dispatcher.order({5,
                      "shard-a",
                      "i-1",
                      node.address.text(),
                      {},
                      R"({"interface":2,"what":"close"})",
                      term,
                      Clock::now() - 1ms});
    for (const TimePoint until = Clock::now() + 5s; Clock::now() < until;) {
      node.poller.poll(Duration(5));
      for (ControlEvent& event : events.take())
        if (std::get_if<NodeReply>(&event))
          return !node.path.empty();
    }
    return false;
  };
  node.answer = R"({"interface":2,"is_done":true,"share":1})";
  cr_expect(!order(3), "no lease");
  dispatcher.set_lease(Term{4}, Clock::now() + 60s);
  cr_expect(!order(3), "another term's lease");
  cr_expect(order(4), "its own, extended");
  dispatcher.set_lease(Term{4}, Clock::now() - 1ms);
  cr_expect(!order(4), "over");
  dispatcher.stop();
}

// Guards against a registry that crashes once it loses its lease with commands for databases
// waiting.
Test(dispatcher, a_database_is_not_asked_after_the_lease_and_that_is_told) {
  BoundedQueue<ControlEvent> events(64, {});
  CommandDispatcher dispatcher(NodeSettings{}, events);
  dispatcher.start();
  dispatcher.order({5, "db", "i-1", "127.0.0.1:1", "STATUS", {}, 3, Clock::now() - 1ms});
  std::optional<DatabaseReply> reply;
  for (const TimePoint until = Clock::now() + 5s; Clock::now() < until && !reply;)
    for (ControlEvent& event : events.take())
      if (auto* told = std::get_if<DatabaseReply>(&event))
        reply = *told;
  dispatcher.stop();
  cr_assert(reply.has_value());
  cr_expect(reply->token == 5 && !reply->status);
}

// The move itself: what a node says without saying it whole moves nothing.
Test(ring, a_node_that_is_not_understood_moves_nothing_and_the_reason_is_shown) {
  RingDocument document{
      1,
      "edition: 1\nrule: l\nvirtual_nodes: 4\nnodes:\n- {name: a, zone: x, memory_mb: "
      "900, disk_mb: 9000}\n- {name: b, zone: x, memory_mb: 900, disk_mb: 9000}\n",
      {},
      {},
      {}};
  RingMap ring;
  cr_assert(!ring_of(document, ring));
  MoveOptions options;
  options.settle = options.max_read_duration = Duration(0);
  ShardMigration moves(options);
  TimePoint now = TimePoint{} + 1000s;
  std::string account = "camper-1";
  for (int number = 2; ring.nodes[ring.owner_of(account)].name != "a"; ++number)
    account = "camper-" + std::to_string(number);
  NodeAnswer good;
  good.type = NodeAnswer::Type::told, good.is_done = true, good.interface = 2, good.share = 1,
  good.position = 7;
  std::string faulty_at;
  NodeAnswer faulty;
  const auto run = [&](int rounds) {
    for (; rounds > 0; --rounds) {
      now += 500ms;
      moves.tick(true, document, ring, true, now);
      ShardMigration::Output output = moves.take();
      for (const auto& order : output.orders)
        moves.finish_order(order.token, order.what == faulty_at ? faulty : good);
      if (!output.proposal)
        continue;
      document = *output.proposal;
      cr_assert(!ring_of(document, ring));
      moves.finish_proposal();
    }
  };
  run(2);
  cr_assert(moves.request(RingUnit{0, account}, "b", ring, {"a", "b"}).empty());
  faulty_at = "close", faulty = good, faulty.position.reset();
  run(8);
  cr_expect(moves.moves()[0].step == RingMove::Step::closing &&
                moves.why(1) == "a says closed without its position",
            "%s", moves.why(1).c_str());
  faulty = {}, faulty.type = NodeAnswer::Type::garbled;
  run(2);
  cr_expect(moves.why(1) == "a answers with garbage to close", "%s", moves.why(1).c_str());
  faulty_at = "finish", faulty = good, faulty.position = 6;
  run(4);
  cr_expect(ring.nodes[ring.owner_of(account)].name == "a" &&
                moves.why(1) == "b says finished without the giver's position",
            "%s", moves.why(1).c_str());
  cr_expect(moves.request(RingUnit{0, account}, "b", ring, {"a", "b"}, true) ==
            "it is on the move already");
  faulty_at.clear();
  run(30);
  cr_expect(moves.moves()[0].step == RingMove::Step::settled &&
            ring.placed.at(account) == ring.index_of("b"));
  cr_expect(moves.undo(1) == "it is over");
  // Back again, and a node of an older version.
  cr_assert(moves.request(RingUnit{0, account}, "a", ring, {"a", "b"}).empty());
  faulty_at = "describe", faulty = good, faulty.interface = 1;
  run(6);
  cr_expect(moves.moves()[1].step == RingMove::Step::undone && ring.placed.contains(account));
  cr_expect(moves.why(2) == "b speaks version 1 of the interface, 2 is needed", "%s",
            moves.why(2).c_str());
  faulty_at.clear();
  cr_assert(moves.request(RingUnit{0, account}, "a", ring, {"a", "b"}).empty());
  run(30);
  cr_expect(ring.placed.empty(), "at home it needs no place in the table");
  // The table is bounded, and what is written is read again, also as it was before accounts moved.
  std::vector<RingMove> read;
  cr_expect(decode_moves(encode_moves(moves.moves()), read) && read.size() == 3 &&
            read[0].unit.account == account);
  const std::string first_form =
      Writer().number(9).number(3).text("a").text("b").number(4).number(12).take();
  cr_expect(decode_moves(first_form, read) && read[0].id == 9 && read[0].unit.virtual_node == 3 &&
            !read[0].unit.is_account());
  for (std::size_t number = 0; number < max_placed; ++number)
    ring.placed["full-" + std::to_string(number)] = 1;
  cr_expect(moves.request(RingUnit{0, account}, "b", ring, {"a", "b"}) ==
            "the table of placed accounts is full");
}
