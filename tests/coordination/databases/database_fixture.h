#pragma once
// Stand-in databases and the context of sessions, without sockets, disk or sleep. Faults strike at
// numbered messages.
#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <ranges>
#include <set>
#include <string>
#include <vector>

#include "coordination/databases/database_session.h"
#include "protocol/database_protocol.h"
#include "transport/database_message.h"

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
  // Before the message is read, after it was, its answer; a surplus READY before it; its answer's
  // end left out.
  enum class InjectedFault {
    none,
    cut_before,
    cut_after,
    lose_answer,
    surplus_ready,
    no_end
  };

  bool is_leader = true;
  std::uint64_t term = 1, number = 0;
  std::vector<std::string> log;  // things written, committed in this order
  std::vector<std::pair<std::string, Values>>
      reads;  // things read, with the values of the connection
  int messages = 0, strike_at = 0;
  InjectedFault injected_fault = InjectedFault::none;

  // What it answers; sets `is_cut` when the connection ends.
  std::string take(Connection& connection, const std::string& bytes, bool& is_cut) {
    connection.in += bytes;
    std::string out;
    for (DatabaseMessage message;
         !connection.is_gone &&
         read_database_message(connection.in, message) == DatabaseReadResult::complete;) {
      const bool is_struck = ++messages == strike_at;
      if (is_struck && injected_fault == InjectedFault::cut_before)
        return is_cut = connection.is_gone = true, out;
      const std::string answer = handle(connection, message);
      if (is_struck && injected_fault == InjectedFault::cut_after)
        return is_cut = connection.is_gone = true, out;
      if (is_struck && injected_fault == InjectedFault::lose_answer)
        return is_cut = connection.is_gone = true, out + answer.substr(0, answer.size() / 2);
      if (is_struck && injected_fault == InjectedFault::surplus_ready)
        out += ready(connection);
      out += is_struck && injected_fault == InjectedFault::no_end ? without_end(answer) : answer;
    }
    return out;
  }
  static std::string without_end(std::string answer) {
    std::string kept;
    for (DatabaseMessage message;
         read_database_message(answer, message) == DatabaseReadResult::complete;)
      if (message.kind == DatabaseMessageKind::ready)
        kept += encode_database_message(DatabaseMessageKind::ready,
                                        {message.field(0), message.field(1)});
      else if (message.kind == DatabaseMessageKind::row)
        kept += encode_database_message(DatabaseMessageKind::row, {message.field(0)});
    return kept;
  }
  std::string ready(const Connection& connection) const {
    return encode_database_message(DatabaseMessageKind::ready,
                                   {connection.has_failed   ? "E"
                                    : connection.has_change ? "T"
                                                            : "I",
                                    std::to_string(term) + "." + std::to_string(number)});
  }
  std::string handle(Connection& connection, const DatabaseMessage& message) {
    if (!connection.is_greeted)
      return connection.is_greeted = true, ready(connection);
    std::string text = message.field(1);
    const auto refuse = [&](const char* code) {
      if (connection.has_change)
        connection.has_failed = true;
      return encode_database_message(DatabaseMessageKind::error, {code, "stand-in"}) +
             ready(connection);
    };
    if (text.starts_with("AFTER ")) {
      LogPosition wanted;
      const auto space = text.find(' ', 6);
      read_log_position(text.substr(6, space - 6), wanted);
      if (wanted > LogPosition{term, number})
        return refuse("LAGGING");
      text = text.substr(space + 1);
    }
    if (text == "CLEAR")
      connection.values.clear(), connection.names.clear();
    Statement statement = read_statement(text);
    if (connection.has_failed && statement.verb != StatementVerb::rollback)
      return refuse("GARBLED");
    switch (statement.verb) {
      case StatementVerb::set:
        connection.values[statement.first] = statement.second;
        break;
      case StatementVerb::prepare:
        connection.names[statement.first] = statement.second;
        break;
      case StatementVerb::begin:
        if (!is_leader)
          return refuse("READONLY");
        [[fallthrough]];
      case StatementVerb::begin_read_only:
        connection.has_change = true;
        break;
      case StatementVerb::rollback:
        connection.has_change = connection.has_failed = false, connection.writes.clear();
        break;
      case StatementVerb::commit:
        for (const std::string& thing : connection.writes)
          log.push_back(thing);
        number += !connection.writes.empty();
        connection.writes.clear();
        connection.has_change = false;
        return encode_database_message(DatabaseMessageKind::complete,
                                       {"stamp " + message.field(0)}) +
               ready(connection);
      case StatementVerb::execute:
        if (!connection.names.contains(statement.first))
          return refuse("NOSUCH");
        text = connection.names[statement.first] + " " + statement.rest;
        [[fallthrough]];
      case StatementVerb::read:
      case StatementVerb::write: {
        if (text.starts_with("WRITE ")) {
          if (!is_leader)
            return refuse("READONLY");
          const std::string thing = message.field(0) + " " + text.substr(6);
          if (connection.has_change)
            connection.writes.push_back(thing);
          else
            log.push_back(thing), ++number;
        } else {
          reads.emplace_back(text.substr(5), connection.values);
        }
        return encode_database_message(DatabaseMessageKind::row, {"row of " + text}) +
               encode_database_message(DatabaseMessageKind::complete,
                                       {"stamp " + message.field(0)}) +
               ready(connection);
      }
      default:
        break;
    }
    return encode_database_message(DatabaseMessageKind::complete, {"-"}) + ready(connection);
  }
};

// The context of sessions over one stand-in that leads and, if wanted, a copy.
class DatabaseSessionFixture final : public SessionContext {
 public:
  DatabaseSessionFixture() : pool_(make_callbacks()) {
    const std::string body =
        R"({"version":1,"services":[{"name":"db","most_connections":9}],"routes":[)"
        R"({"host":"books","path_start":"/","sort":"leader","give_up_ms":1000,"target_ms":800,"service":"db","tries":2},)"
        R"({"host":"reports","path_start":"/","sort":"bounded","read_age_ms":1500,"give_up_ms":1000,"service":"db","tries":2}]})";
    const Error found = read_configuration(body, configuration_);
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
    explicit Client(DatabaseSessionFixture& stage) : session(std::make_unique<Session>(stage)) {
      stage.clients_[session.get()] = this;
    }
    std::unique_ptr<Session> session;
    std::vector<DatabaseMessage> last_contact;
    std::string bytes;
    std::string told;  // all bytes since its start
    bool is_closed = false;
    TimePoint due = TimePoint::max();
    const DatabaseMessage& last() const {
      return last_contact.back();
    }
    // The verdict of the last statement: empty for done.
    std::string verdict() const {
      for (const auto& message : std::ranges::reverse_view(last_contact)) {
        if (message.kind == DatabaseMessageKind::complete)
          return "";
        if (message.kind == DatabaseMessageKind::error)
          return message.field(0);
      }
      return "nothing";
    }
  };
  void start(Client& client, const std::string& database = "books") {
    give(client, encode_database_message(DatabaseMessageKind::connect, {database, "who"}));
  }
  // Gives one statement and carries all messages until nothing moves.
  void say(Client& client, const std::string& text) {
    give(client, encode_query("try" + std::to_string(++last_try), text));
  }
  void give(Client& client, std::string bytes) {
    give_alone(client, std::move(bytes));
    pump();
  }
  // Gives one message; what it causes is under way until `pump`.
  void give_alone(Client& client, std::string bytes) {
    DatabaseMessage message;
    cr_assert(read_database_message(bytes, message) == DatabaseReadResult::complete);
    client.last_contact.clear();
    client.session->handle_message(std::move(message), Clock::now());
  }
  void pump() {
    for (bool has_moved = true; has_moved;) {
      has_moved = false;
      // NOLINTNEXTLINE(modernize-loop-convert): links_ may grow while a message is taken.
      for (std::size_t index = 0; index < links_.size(); ++index) {
        Link* link = links_[index];
        if (!link || (link->out.empty() && !link->is_cut))
          continue;
        has_moved = true;
        std::string bytes = std::exchange(link->out, {});
        const bool is_cut = std::exchange(link->is_cut, false);
        link->in += bytes;
        for (DatabaseMessage message; links_[index] && read_database_message(link->in, message) ==
                                                           DatabaseReadResult::complete;)
          link->database_connection.take_message(std::move(message), Clock::now());
        if (is_cut && links_[index])
          link->database_connection.take_end();
      }
    }
    closed_connections_.clear();
  }

  const ConfigurationSnapshot& configuration() const override {
    return configuration_;
  }
  DatabaseChoice choose(const Session&, const std::string&, const Route& route, bool must_lead,
                        TimePoint, TimePoint) override {
    if (!must_lead && route.read_consistency == ReadConsistency::bounded && after.is_known())
      return {backends["copy"], false, after};
    return {has_lease ? backends["leader"] : nullptr, true, {}};
  }
  bool holds_leadership(const Backend& backend, TimePoint) const override {
    return has_lease && backend.id == "leader";
  }
  bool may_wait(Session& session) override {
    return waiting.insert(&session).second;
  }
  void stop_waiting(Session& session) override {
    waiting.erase(&session);
  }
  void record_refusal(Backend&, StatementError, TimePoint) override {
  }
  void send_to_client(Session& session, std::string bytes) override {
    Client& client = *clients_[&session];
    client.bytes += bytes;
    client.told += bytes;
    for (DatabaseMessage message;
         read_database_message(client.bytes, message) == DatabaseReadResult::complete;)
      client.last_contact.push_back(message);
  }
  void close(Session& session) override {
    clients_[&session]->is_closed = true;
  }
  void set_due(Session& session, TimePoint due) override {
    clients_[&session]->due = due;
  }
  DatabaseConnectionPool& pool() override {
    return pool_;
  }
  int max_connections(const Service&) const override {
    return limit;
  }

  std::map<std::string, BackendPointer> backends;
  std::map<std::string, StandIn> databases;
  std::set<Session*> waiting;
  LogPosition after;
  bool has_lease = true;
  int limit = 1, last_try = 0, opened = 0;
  std::string asked;  // all bytes to databases, in their order

 private:
  struct Link final : DatabaseConnectionLink {
    Link(DatabaseSessionFixture& stage, DatabaseConnection& database_connection)
        : stage(stage), database_connection(database_connection), position(stage.links_.size()) {
      stage.links_.push_back(this);
    }
    ~Link() override {
      stage.links_[position] = nullptr;
    }
    bool send(const std::string& bytes) override {
      if (connection.is_gone)
        return false;
      stage.asked += bytes;
      out += stage.databases[database_connection.backend().id].take(connection, bytes, is_cut);
      return true;
    }
    void close() override {
      connection.is_gone = true;  // what was not saved is rolled back with it
      stage.links_[position] = nullptr;
    }
    DatabaseSessionFixture& stage;
    DatabaseConnection& database_connection;
    std::size_t position;
    StandIn::Connection connection;
    std::string in, out;
    bool is_cut = false;
  };
  DatabaseConnectionPool::Callbacks make_callbacks() {
    return {
        [this](DatabaseConnection& database_connection) -> std::unique_ptr<DatabaseConnectionLink> {
          ++opened;
          return std::make_unique<Link>(*this, database_connection);
        },
        [](Backend&, const LogPosition&, TimePoint) {}, [](Backend&, bool) {},
        [] { return Clock::now(); },
        [this](std::unique_ptr<DatabaseConnection> database_connection) {
          closed_connections_.push_back(std::move(database_connection));
        }};
  }
  ConfigurationSnapshot configuration_;
  std::map<const Session*, Client*> clients_;
  std::vector<Link*> links_;
  std::vector<std::unique_ptr<DatabaseConnection>> closed_connections_;
  DatabaseConnectionPool pool_;
};

}  // namespace saddlewing::tests
