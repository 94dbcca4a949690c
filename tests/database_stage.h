#pragma once
// Stand-in databases and the ground of sessions, without sockets, disk or sleep. Faults strike at numbered messages.
#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/session.h"

namespace saddlewing::tests {

// One database: a log, sessions with values and names, and transactions. Speaks the session wire.
struct StandIn {
  struct Connection {
    bool is_greeted = false, has_change = false, has_failed = false, is_gone = false;
    Values values;
    std::map<std::string, std::string> names;
    std::vector<std::string> writes;  // of the transaction
    std::string in;
  };
  // Before the message is read, after it was, its answer; a surplus READY before it; its answer's end left out.
  enum class Fault { none, cut_before, cut_after, lose_answer, surplus_ready, no_end };

  bool is_leader = true;
  std::uint64_t term = 1, number = 0;
  std::vector<std::string> log;                       // things written, committed in this order
  std::vector<std::pair<std::string, Values>> reads;  // things read, with the values of the connection
  int messages = 0, strike_at = 0;
  Fault fault = Fault::none;

  // What it answers; sets `is_cut` when the connection ends.
  std::string take(Connection& connection, const std::string& bytes, bool& is_cut) {
    connection.in += bytes;
    std::string out;
    for (WireMessage message; !connection.is_gone && read_wire(connection.in, message) == WireStep::done;) {
      const bool is_struck = ++messages == strike_at;
      if (is_struck && fault == Fault::cut_before) return is_cut = connection.is_gone = true, out;
      const std::string answer = handle(connection, message);
      if (is_struck && fault == Fault::cut_after) return is_cut = connection.is_gone = true, out;
      if (is_struck && fault == Fault::lose_answer) return is_cut = connection.is_gone = true, out + answer.substr(0, answer.size() / 2);
      if (is_struck && fault == Fault::surplus_ready) out += ready(connection);
      out += is_struck && fault == Fault::no_end ? without_end(answer) : answer;
    }
    return out;
  }
  static std::string without_end(std::string answer) {
    std::string kept;
    for (WireMessage message; read_wire(answer, message) == WireStep::done;)
      if (message.kind == WireKind::ready) kept += wire(WireKind::ready, {message.field(0), message.field(1)});
      else if (message.kind == WireKind::row) kept += wire(WireKind::row, {message.field(0)});
    return kept;
  }
  std::string ready(const Connection& connection) const {
    return wire(WireKind::ready, {connection.has_failed ? "E" : connection.has_change ? "T" : "I", std::to_string(term) + "." + std::to_string(number)});
  }
  std::string handle(Connection& connection, const WireMessage& message) {
    if (!connection.is_greeted) return connection.is_greeted = true, ready(connection);
    std::string text = message.field(1);
    const auto refuse = [&](const char* code) {
      if (connection.has_change) connection.has_failed = true;
      return wire(WireKind::error, {code, "stand-in"}) + ready(connection);
    };
    if (text.starts_with("AFTER ")) {
      LogPlace wanted;
      const auto space = text.find(' ', 6);
      read_place(text.substr(6, space - 6), wanted);
      if (wanted > LogPlace{term, number}) return refuse("LAGGING");
      text = text.substr(space + 1);
    }
    if (text == "CLEAR") connection.values.clear(), connection.names.clear();
    Statement statement = read_statement(text);
    if (connection.has_failed && statement.verb != Verb::undo) return refuse("GARBLED");
    switch (statement.verb) {
      case Verb::set: connection.values[statement.first] = statement.second; break;
      case Verb::name: connection.names[statement.first] = statement.second; break;
      case Verb::begin:
        if (!is_leader) return refuse("READONLY");
        [[fallthrough]];
      case Verb::begin_read: connection.has_change = true; break;
      case Verb::undo: connection.has_change = connection.has_failed = false, connection.writes.clear(); break;
      case Verb::save:
        for (const std::string& thing : connection.writes) log.push_back(thing);
        number += !connection.writes.empty();
        connection.writes.clear();
        connection.has_change = false;
        return wire(WireKind::done, {"stamp " + message.field(0)}) + ready(connection);
      case Verb::run:
        if (!connection.names.contains(statement.first)) return refuse("NOSUCH");
        text = connection.names[statement.first] + " " + statement.rest;
        [[fallthrough]];
      case Verb::read:
      case Verb::write: {
        if (text.starts_with("WRITE ")) {
          if (!is_leader) return refuse("READONLY");
          const std::string thing = message.field(0) + " " + text.substr(6);
          if (connection.has_change) connection.writes.push_back(thing);
          else log.push_back(thing), ++number;
        } else {
          reads.push_back({text.substr(5), connection.values});
        }
        return wire(WireKind::row, {"row of " + text}) + wire(WireKind::done, {"stamp " + message.field(0)}) + ready(connection);
      }
      default: break;
    }
    return wire(WireKind::done, {"-"}) + ready(connection);
  }
};

// The ground of sessions over one stand-in that leads and, if wanted, a copy.
class SessionStage final : public SessionGround {
 public:
  SessionStage() : pool_(make_ground()) {
    const std::string body = R"({"version":1,"services":[{"name":"db","most_connections":9}],"routes":[)"
                             R"({"host":"books","path_start":"/","sort":"leader","give_up_ms":1000,"target_ms":800,"service":"db","tries":2},)"
                             R"({"host":"reports","path_start":"/","sort":"bounded","read_age_ms":1500,"give_up_ms":1000,"service":"db","tries":2}]})";
    const Fault found = read_configuration(body, configuration_);
    cr_assert(!found, "%s", found.text().c_str());
    for (const char* id : {"leader", "copy"}) {
      auto backend = std::make_shared<Backend>();
      backend->id = id;
      backend->service = "db";
      backends[id] = backend;
      databases[id].is_leader = std::string(id) == "leader";
    }
  }
  // A client: what it is answered, message by message.
  struct Client {
    explicit Client(SessionStage& stage) : session(std::make_unique<Session>(stage)) { stage.clients_[session.get()] = this; }
    std::unique_ptr<Session> session;
    std::vector<WireMessage> heard;
    std::string bytes;
    std::string told;  // all bytes since its start
    bool is_closed = false;
    Moment due = Moment::max();
    const WireMessage& last() const { return heard.back(); }
    // The verdict of the last statement: empty for done.
    std::string verdict() const {
      for (auto message = heard.rbegin(); message != heard.rend(); ++message) {
        if (message->kind == WireKind::done) return "";
        if (message->kind == WireKind::error) return message->field(0);
      }
      return "nothing";
    }
  };
  void start(Client& client, const std::string& database = "books") { give(client, wire(WireKind::connect, {database, "who"})); }
  // Gives one statement and carries all messages until nothing moves.
  void say(Client& client, const std::string& text) { give(client, wire_ask("try" + std::to_string(++last_try), text)); }
  void give(Client& client, std::string bytes) {
    WireMessage message;
    cr_assert(read_wire(bytes, message) == WireStep::done);
    client.heard.clear();
    client.session->take(std::move(message), Clock::now());
    pump();
  }
  void pump() {
    for (bool has_moved = true; has_moved;) {
      has_moved = false;
      for (std::size_t place = 0; place < links_.size(); ++place) {
        Link* link = links_[place];
        if (!link || (link->out.empty() && !link->is_cut)) continue;
        has_moved = true;
        std::string bytes = std::exchange(link->out, {});
        const bool is_cut = std::exchange(link->is_cut, false);
        link->in += bytes;
        for (WireMessage message; links_[place] && read_wire(link->in, message) == WireStep::done;) link->lane.take_message(std::move(message), Clock::now());
        if (is_cut && links_[place]) link->lane.take_end();
      }
    }
    graves_.clear();
  }

  const ConfigurationSnapshot& configuration() const override { return configuration_; }
  DatabaseChoice choose(const Session&, const std::string&, const Rule& rule, bool must_lead, Moment, Moment) override {
    if (!must_lead && rule.sight == Sight::bounded && after.is_known()) return {backends["copy"], false, after};
    return {has_hold ? backends["leader"] : nullptr, true, {}};
  }
  bool holds_lead(const Backend& backend, Moment) const override { return has_hold && backend.id == "leader"; }
  bool may_wait(Session& session) override { return waiting.insert(&session).second; }
  void stop_waiting(Session& session) override { waiting.erase(&session); }
  void see_refusal(Backend&, Verdict, Moment) override {}
  void say(Session& session, std::string bytes) override {
    Client& client = *clients_[&session];
    client.bytes += bytes;
    client.told += bytes;
    for (WireMessage message; read_wire(client.bytes, message) == WireStep::done;) client.heard.push_back(message);
  }
  void close(Session& session) override { clients_[&session]->is_closed = true; }
  void set_due(Session& session, Moment due) override { clients_[&session]->due = due; }
  Pool& pool() override { return pool_; }
  int most_lanes(const Service&) const override { return most; }

  std::map<std::string, BackendPointer> backends;
  std::map<std::string, StandIn> databases;
  std::set<Session*> waiting;
  LogPlace after;
  bool has_hold = true;
  int most = 1, last_try = 0, opened = 0;
  std::string asked;  // all bytes to databases, in their order

 private:
  struct Link final : LaneLink {
    Link(SessionStage& stage, Lane& lane) : stage(stage), lane(lane), place(stage.links_.size()) { stage.links_.push_back(this); }
    ~Link() override { stage.links_[place] = nullptr; }
    bool send(const std::string& bytes) override {
      if (connection.is_gone) return false;
      stage.asked += bytes;
      out += stage.databases[lane.backend().id].take(connection, bytes, is_cut);
      return true;
    }
    void close() override {
      connection.is_gone = true;  // what was not saved is rolled back with it
      stage.links_[place] = nullptr;
    }
    SessionStage& stage;
    Lane& lane;
    std::size_t place;
    StandIn::Connection connection;
    std::string in, out;
    bool is_cut = false;
  };
  Pool::Ground make_ground() {
    return {[this](Lane& lane) -> std::unique_ptr<LaneLink> {
              ++opened;
              return std::make_unique<Link>(*this, lane);
            },
            [](Backend&, const LogPlace&, Moment) {}, [](Backend&, bool) {}, [] { return Clock::now(); },
            [this](std::unique_ptr<Lane> lane) { graves_.push_back(std::move(lane)); }};
  }
  ConfigurationSnapshot configuration_;
  std::map<const Session*, Client*> clients_;
  std::vector<Link*> links_;
  std::vector<std::unique_ptr<Lane>> graves_;
  Pool pool_;
};

}  // namespace saddlewing::tests
