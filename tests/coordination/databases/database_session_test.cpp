// Sessions and the pool, against stand-in databases.
#include "coordination/databases/database_fixture.h"
#include "coordination/routing/ended_input.h"
#include "protocol/database_protocol.h"
#include "transport/database_message.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(encode_database_message, a_message_cut_anywhere_reads_the_same) {
  const std::string whole = encode_database_message(DatabaseMessageKind::query, {"id", "READ a"}) +
                            encode_database_message(DatabaseMessageKind::ready, {"I", "3.12"});
  for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
    std::string bytes = whole.substr(0, cut);
    std::vector<DatabaseMessage> read;
    for (const std::string& more : {std::string(), whole.substr(cut)}) {
      bytes += more;
      for (DatabaseMessage message;
           read_database_message(bytes, message) == DatabaseReadResult::complete;)
        read.push_back(message);
    }
    cr_assert(read.size() == 2 && read[0].field(1) == "READ a" && read[1].field(1) == "3.12",
              "cut at %zu", cut);
  }
}

Test(encode_database_message, what_is_no_message_is_told_apart) {
  DatabaseMessage message;
  std::string unknown = "Jabcdef";
  std::string torn("Q\0\0\0\3abc", 8);
  std::string large("Q\0\x10\0\1", 5);
  cr_expect(read_database_message(unknown, message) == DatabaseReadResult::malformed);
  cr_expect(read_database_message(torn, message) == DatabaseReadResult::malformed,
            "a field without its end");
  cr_expect(read_database_message(large, message) == DatabaseReadResult::too_long);
  cr_expect(read_statement("NAME n SELECT x").verb == StatementVerb::none);
  cr_expect(read_statement("BEGIN WORK").verb == StatementVerb::none);
  cr_expect(read_statement("RUN n").verb == StatementVerb::none);
}

Test(session, unknown_databases_and_wrong_order_end_it_by_name) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client stranger(stage);
  DatabaseSessionFixture::Client hasty(stage);
  DatabaseSessionFixture::Client proper(stage);
  stage.start(stranger, "nobody");
  cr_expect(stranger.verdict() == "NODB" && stranger.is_closed);
  stage.give(hasty, encode_query("a", "READ x"));
  cr_expect(hasty.verdict() == "GARBLED" && hasty.is_closed);
  stage.start(proper);
  for (const char* text : {"SAVE", "UNDO", "AFTER 3.1 READ x", "CLEAR", "STATUS", "what"}) {
    stage.say(proper, text);
    cr_expect(proper.verdict() == "GARBLED" && proper.last().field(0) == "I", "%s", text);
  }
  cr_expect(stage.databases["leader"].messages == 0, "none of it reached the database");
}

Test(session, values_and_names_are_those_of_its_client) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client first(stage);
  DatabaseSessionFixture::Client second(stage);
  stage.start(first);
  stage.start(second);
  stage.say(first, "SET colour red");
  stage.say(first, "NAME s1 READ q");
  stage.say(second, "SET size 5");
  stage.say(second, "NAME s1 WRITE q");
  for (int round = 0; round < 3; ++round) {
    stage.say(first, "RUN s1 tank");
    cr_assert(first.verdict().empty());
    cr_expect(stage.databases["leader"].reads.back().second == Values({{"colour", "red"}}));
    stage.say(second, "RUN s1 tank full");
    cr_assert(second.verdict().empty());
    stage.say(second, "READ other");
    cr_expect(stage.databases["leader"].reads.back().second == Values({{"size", "5"}}));
  }
  cr_expect(stage.databases["leader"].log.size() == 3);
  cr_expect(stage.opened == 1, "one connection serves both");
}

Test(session, a_transaction_keeps_its_connection_and_others_wait) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client first(stage);
  DatabaseSessionFixture::Client second(stage);
  stage.start(first);
  stage.start(second);
  stage.say(first, "BEGIN");
  cr_expect(stage.opened == 0, "nothing is taken before the first statement");
  stage.say(first, "WRITE a 1");
  cr_expect(first.last().field(0) == "T");
  stage.say(second, "WRITE b 1");
  cr_expect(second.last_contact.empty() && second.session->state() == Session::State::seeking);
  stage.say(first, "SAVE");
  cr_expect(first.verdict().empty() && first.last().field(0) == "I");
  cr_expect(second.verdict().empty(), "it came next");
  cr_expect(stage.databases["leader"].log.size() == 2 && stage.opened == 1);
}

Test(session, a_client_that_leaves_or_rests_too_long_is_rolled_back) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client resting(stage);
  DatabaseSessionFixture::Client leaving(stage);
  DatabaseSessionFixture::Client next(stage);
  for (auto* client : {&resting, &leaving, &next})
    stage.start(*client);
  stage.say(resting, "BEGIN");
  stage.say(resting, "WRITE a 1");
  cr_assert(resting.due != TimePoint::max());
  resting.session->on_due(resting.due);
  stage.pump();
  stage.say(leaving, "BEGIN");
  stage.say(leaving, "WRITE b 1");
  leaving.session->handle_client_left(Clock::now());
  stage.pump();
  stage.say(next, "WRITE c 1");
  cr_expect(next.verdict().empty());
  stage.say(resting, "WRITE a 2");
  cr_expect(resting.verdict() == "UNDONE" && resting.last().field(0) == "E");
  stage.say(resting, "SAVE");
  cr_expect(resting.verdict() == "UNDONE" && resting.last().field(0) == "I");
  cr_expect(stage.databases["leader"].log.size() == 1 && stage.opened == 1);
}

// Guards against a statement that runs and is never answered, since its client ended its sending.
Test(session, a_statement_at_a_database_is_answered_after_the_end_of_its_clients_input) {
  for (const bool is_in_transaction : {false, true})
    for (const std::string text : {"WRITE a 1", "READ a"}) {
      DatabaseSessionFixture stage;
      DatabaseSessionFixture::Client client(stage);
      stage.start(client);
      stage.say(client, "WRITE first 1");
      if (is_in_transaction) {
        stage.say(client, "BEGIN");
        stage.say(client, "READ first");
      }
      stage.give_alone(client, encode_query("last", text));
      client.session->end_input(Clock::now());
      stage.pump();
      cr_expect(client.verdict().empty() &&
                client.last().field(0) == (is_in_transaction ? "T" : "I"));
      client.session->handle_client_left(Clock::now());
      stage.pump();
      const bool lasts = text == "WRITE a 1" && !is_in_transaction;
      cr_expect(stage.databases["leader"].log.size() == (lasts ? 2 : 1));
    }
}

namespace {

// A client whose write waits, since nobody leads, and that ends its input then.
struct WaitingWrite {
  explicit WaitingWrite(bool is_in_transaction) : client(fixture) {
    fixture.start(client);
    if (is_in_transaction)
      fixture.say(client, "BEGIN");
    fixture.has_lease = false;
    fixture.give_alone(client, encode_query("last", "WRITE a 1"));
    client.session->end_input(ended_at);
  }
  std::size_t commits() {
    return fixture.databases["leader"].log.size();
  }

  const TimePoint ended_at = Clock::now();
  DatabaseSessionFixture fixture;
  DatabaseSessionFixture::Client client;
};

}  // namespace

// Guards against a statement that is dropped, since its client ended its sending while it waited
// for a database or was the first of its transaction.
Test(session, after_the_end_of_input_a_statement_that_waits_is_begun_within_the_bound) {
  for (const bool is_in_transaction : {false, true}) {
    WaitingWrite waiting(is_in_transaction);
    Session& session = *waiting.client.session;
    cr_expect(session.is_busy() &&
              waiting.client.due <= waiting.ended_at + max_begin_after_input_end);
    waiting.fixture.has_lease = true;
    session.proceed(waiting.ended_at + 1ms);
    waiting.fixture.pump();
    cr_expect(waiting.client.verdict().empty() &&
              waiting.client.last().field(0) == (is_in_transaction ? "T" : "I"));
    cr_expect(waiting.commits() == (is_in_transaction ? 0 : 1));
  }
}

Test(session, after_the_end_of_input_a_statement_without_a_database_is_refused_in_time) {
  for (const bool is_in_transaction : {false, true}) {
    WaitingWrite waiting(is_in_transaction);
    waiting.client.session->on_due(waiting.ended_at + max_begin_after_input_end);
    cr_expect(waiting.client.verdict() == (is_in_transaction ? "UNDONE" : "BUSY"));
    cr_expect(waiting.commits() == 0, "as promised");
  }
}

Test(session, after_the_end_of_input_each_statement_that_came_whole_has_the_bound_of_its_own) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client client(stage);
  stage.start(client);
  client.session->end_input(Clock::now());
  stage.say(client, "BEGIN");
  stage.say(client, "WRITE a 1");
  stage.say(client, "SAVE");
  cr_expect(client.verdict().empty() && stage.databases["leader"].log.size() == 1);
}

// What was read may be read again within the bound; a write whose bytes left never is.
Test(session, after_the_end_of_input_what_lost_its_answer_is_sent_again_as_always) {
  for (const std::string text : {"WRITE a 1", "READ a"}) {
    DatabaseSessionFixture stage;
    DatabaseSessionFixture::Client client(stage);
    stage.start(client);
    stage.say(client, "READ first");
    StandIn& leader = stage.databases["leader"];
    leader.strike_at = leader.messages + 1;
    leader.injected_fault = StandIn::InjectedFault::cut_after;
    stage.give_alone(client, encode_query("last", text));
    client.session->end_input(Clock::now());
    stage.pump();
    const bool is_write = text == "WRITE a 1";
    cr_expect(client.verdict() == (is_write ? "UNKNOWN" : ""));
    cr_expect(leader.log.size() == (is_write ? 1 : 0) && leader.reads.size() == (is_write ? 1 : 3));
  }
}

Test(session, after_the_end_of_input_only_what_lasts_has_the_whole_time) {
  for (const std::string text : {"WRITE a 1", "READ a"}) {
    DatabaseSessionFixture stage;
    DatabaseSessionFixture::Client client(stage);
    stage.start(client);
    stage.say(client, "READ first");
    stage.give_alone(client, encode_query("last", text));
    const TimePoint now = Clock::now();
    const TimePoint deadline = client.due;
    client.session->end_input(now);
    const bool is_write = text == "WRITE a 1";
    cr_expect(client.due <= now + max_begin_after_input_end);
    client.session->on_due(client.due);
    cr_expect(client.session->is_busy() &&
              client.due == (is_write ? deadline : now + max_work_after_input_end));
    client.session->on_due(client.due);
    cr_expect(client.verdict() == (is_write ? "UNKNOWN" : "TIMEOUT"));
  }
}

// Every message to the database in turn: the connection ends before it, after it, or within its
// answer.
Test(session, with_any_message_lost_promises_hold_and_nothing_lands_twice) {
  const std::vector<std::string> script = {"SET colour red", "NAME w WRITE q", "RUN w a 1",
                                           "BEGIN",          "RUN w b 1",      "READ b",
                                           "SAVE",           "READ c",         "WRITE d 1"};
  for (const auto injected_fault :
       {StandIn::InjectedFault::cut_before, StandIn::InjectedFault::cut_after,
        StandIn::InjectedFault::lose_answer, StandIn::InjectedFault::surplus_ready,
        StandIn::InjectedFault::no_end})
    for (int strike = 1; strike < 24; ++strike) {
      DatabaseSessionFixture stage;
      DatabaseSessionFixture::Client client(stage);
      stage.databases["leader"].strike_at = strike;
      stage.databases["leader"].injected_fault = injected_fault;
      stage.start(client);
      std::map<std::string, std::string> told;  // by thing: what the client was told of its commit
      for (const std::string& text : script) {
        stage.say(client, text);
        cr_assert(client.last().kind == DatabaseMessageKind::ready, "%s unanswered, strike %d",
                  text.c_str(), strike);
        const std::string verdict = client.verdict();
        const std::string stamp = "stamp try" + std::to_string(stage.last_try);
        const bool is_asked = text.starts_with("R") || text.starts_with("W") || text == "SAVE";
        if (verdict.empty())
          cr_expect(client.last_contact[client.last_contact.size() - 2].field(0) ==
                        (is_asked ? stamp : "-"),
                    "%s without its stamp, strike %d", text.c_str(), strike);
        if (verdict.empty() && text == "READ c")
          cr_expect(client.last_contact[0].field(0) == "row of READ c", "strike %d", strike);
        if (text == "RUN w a 1")
          told["a 1"] = verdict;
        if (text == "SAVE")
          told["b 1"] = verdict;
        if (text == "WRITE d 1")
          told["d 1"] = verdict;
      }
      for (const auto& [thing, verdict] : told) {
        int landed = 0;
        for (const std::string& line : stage.databases["leader"].log)
          landed += line.ends_with(" " + thing);
        cr_expect(landed <= 1, "%s landed %d times, strike %d", thing.c_str(), landed, strike);
        if (verdict.empty())
          cr_expect(landed == 1, "%s was acknowledged and is not there, strike %d", thing.c_str(),
                    strike);
        if (verdict == "UNDONE" || verdict == "BUSY")
          cr_expect(landed == 0, "%s was promised away and is there, strike %d", thing.c_str(),
                    strike);
      }
      for (const auto& [thing, values] : stage.databases["leader"].reads)
        cr_expect(values == Values({{"colour", "red"}}));
      cr_expect(client.last().field(0) == "I");
    }
}

Test(session, without_a_hold_nothing_is_sent_and_no_outcome_is_told) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client client(stage);
  stage.start(client);
  stage.has_lease = false;
  stage.say(client, "WRITE a 1");
  cr_expect(client.last_contact.empty() && stage.waiting.size() == 1 && stage.opened == 0);
  client.session->on_due(client.due);
  cr_expect(client.verdict() == "BUSY", "a promise, as nothing left");
  // The hold ends while the outcome is on its way.
  stage.has_lease = true;
  stage.give_alone(client, encode_query("t", "WRITE b 1"));
  for (int round = 0; round < 2 && stage.databases["leader"].log.empty(); ++round)
    stage.pump();
  cr_expect(stage.databases["leader"].log.size() == 1 && client.verdict().empty());
  stage.give_alone(client, encode_query("u", "WRITE c 1"));
  stage.has_lease = false;
  stage.pump();
  cr_expect(client.verdict() == "UNKNOWN");
}

Test(session, a_read_that_may_be_old_goes_to_a_copy_that_has_enough) {
  DatabaseSessionFixture stage;
  DatabaseSessionFixture::Client client(stage);
  stage.start(client, "reports");
  stage.databases["copy"].number = 7;
  stage.after = {1, 7};
  stage.say(client, "READ a");
  cr_expect(client.verdict().empty() && stage.databases["copy"].reads.size() == 1);
  stage.after = {1, 8};
  stage.say(client, "READ a");
  cr_expect(client.verdict() == "LAGGING" && stage.databases["copy"].reads.size() == 1);
  stage.say(client, "WRITE a 1");
  cr_expect(client.verdict().empty() && stage.databases["leader"].log.size() == 1,
            "writes go to the leader");
}
