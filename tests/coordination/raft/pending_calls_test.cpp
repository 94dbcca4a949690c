// Operators' calls on their way between registries, and what the operator is told.
#include <criterion/criterion.h>
#include <json/json.h>

#include "coordination/raft/pending_calls.h"
#include "coordination/raft/raft_cluster_fixture.h"
#include "protocol/control_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "state/address.h"
#include "state/json_document.h"
#include "transport/http_client_connection.h"
#include "transport/http_server.h"

using namespace saddlewing;
using tests::Cluster;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

Json::Value told(const Entry& committed, std::int64_t version, const std::string& body) {
  Json::Value value;
  std::string reason;
  cr_assert(
      read_json(make_acknowledgement(committed, Version{version}, digest_of(body)), value, reason),
      "%s", reason.c_str());
  return value;
}

// What the leader would answer to a call just as it was sent.
ForwardedReply answer_to(PendingCalls& leader, const ForwardedCall& forward,
                         IncarnationId requester, Term term, const std::string& body) {
  const std::uint64_t token = leader.add(forward, "asker:1", requester, start + 1s);
  return PendingCalls::make_reply(*leader.remove(token), true, term, body);
}

}  // namespace

Test(calls, an_answer_is_believed_only_if_it_names_what_was_asked) {
  PendingCalls requester(IncarnationId{11}), leader(IncarnationId{22});
  const std::uint64_t change = requester.add(false, Version{7}, "seven", 1, start + 1s);
  const std::uint64_t read = requester.add(true, {}, {}, 2, start + 1s);
  const ForwardedReply good = answer_to(leader, requester.send(change, "leader:1", Term{4}),
                                        IncarnationId{11}, Term{4}, "{}");
  const ForwardedReply good_read = answer_to(leader, requester.send(read, "leader:1", Term{4}),
                                             IncarnationId{11}, Term{4}, "seven");
  const auto is_passed_over = [&](ForwardedReply answer, const std::string& from = "leader:1") {
    return requester.handle_reply(answer, from) == 0 && requester.find(change) &&
           requester.find(read) && !requester.find(change)->sent_to.empty() &&
           !requester.find(read)->sent_to.empty();
  };
  cr_expect(is_passed_over(good, "other:1"), "another registry");
  ForwardedReply wrong = good;
  wrong.requester = IncarnationId{10};
  cr_expect(is_passed_over(wrong), "another life of this one");
  wrong = good, wrong.token = 99;
  cr_expect(is_passed_over(wrong), "a call that isn't there");
  wrong = good, wrong.is_read = true;
  cr_expect(is_passed_over(wrong), "another kind");
  wrong = good_read, wrong.token = change;
  cr_expect(is_passed_over(wrong), "a read's answer for a change");
  wrong = good, wrong.version = Version{8};
  cr_expect(is_passed_over(wrong), "another version");
  wrong = good, wrong.digest ^= 1;
  cr_expect(is_passed_over(wrong), "another body under that version");
  wrong = good, wrong.is_done = false, wrong.requester = IncarnationId{10};
  cr_expect(is_passed_over(wrong), "a refusal of another life does not send it again either");
  wrong = good_read, wrong.term = Term{3};
  cr_expect(is_passed_over(wrong),
            "a read confirmed in a lower term than was known when it was asked");
  cr_expect(requester.handle_reply(good, "leader:1") == change &&
            requester.handle_reply(good_read, "leader:1") == read);
}

// Tokens begin at 1 in each life: the order of the former one is answered at the same address.
Test(calls, the_answer_to_a_former_life_confirms_nothing) {
  PendingCalls outgoing(IncarnationId{11}), leader(IncarnationId{22}), present(IncarnationId{12});
  const ForwardedCall order =
      outgoing.send(outgoing.add(false, Version{7}, "seven", 1, start + 1s), "leader:1", Term{4});
  const ForwardedCall same =
      present.send(present.add(false, Version{7}, "seven", 1, start + 1s), "leader:1", Term{4});
  cr_assert(order.token == same.token);
  cr_expect(present.handle_reply(answer_to(leader, order, IncarnationId{11}, Term{4}, "{}"),
                                 "leader:1") == 0);
  cr_expect(present.handle_reply(answer_to(leader, same, IncarnationId{12}, Term{4}, "{}"),
                                 "leader:1") == same.token);
}

Test(calls, a_call_that_was_not_done_is_asked_again) {
  PendingCalls requester(IncarnationId{11}), leader(IncarnationId{22});
  const std::uint64_t token = requester.add(false, Version{7}, "seven", 1, start + 1s);
  ForwardedReply refusal =
      answer_to(leader, requester.send(token, "leader:1", Term{4}), IncarnationId{11}, Term{4}, "");
  refusal.is_done = false;
  cr_expect(requester.handle_reply(refusal, "leader:1") == token &&
            requester.find(token)->sent_to.empty());
  requester.send(token, "next:1", Term{5});
  cr_expect(requester.handle_reply(refusal, "leader:1") == 0 &&
                requester.find(token)->sent_to == "next:1",
            "late, it takes nothing from the next");
}

Test(calls, frames_carry_all_of_it) {
  const FrameHead head{FrameKind::raft, IncarnationId{11}, "a:1"};
  ForwardedReply answer{5, IncarnationId{11}, true, Version{7}, 99, Term{4}, true, "body"}, read;
  const std::string bytes = encode(head, answer);
  ByteReader reader(bytes);
  FrameHead seen;
  cr_assert(decode_head(reader, seen) && seen.kind == FrameKind::forwarded_reply &&
            decode(reader, read));
  cr_expect(read.token == 5 && read.requester == IncarnationId{11} && read.is_read &&
            read.version == Version{7} && read.digest == 99 && read.term == Term{4} &&
            read.is_done && read.body == "body");
  ControlHeartbeat heartbeat, last_contact;
  heartbeat.term = Term{4};
  heartbeat.requester = IncarnationId{11};
  heartbeat.token = 6;
  heartbeat.lease = 3000;
  const std::string heartbeat_bytes = encode(head, heartbeat);
  ByteReader heartbeat_reader(heartbeat_bytes);
  cr_assert(decode_head(heartbeat_reader, seen) && decode(heartbeat_reader, last_contact));
  cr_expect(last_contact.term == Term{4} && last_contact.requester == IncarnationId{11} &&
            last_contact.token == 6 && last_contact.lease == 3000);
  SubscribeRequest follow, followed;
  follow.token = 8;
  follow.echo_incarnation = IncarnationId{12};
  follow.echo_serial = 9;
  follow.echo_delay = 10;
  const std::string follow_bytes = encode(head, follow);
  ByteReader follow_reader(follow_bytes);
  cr_assert(decode_head(follow_reader, seen) && decode(follow_reader, followed));
  cr_expect(followed.token == 8 && followed.echo_incarnation == IncarnationId{12} &&
            followed.echo_serial == 9 && followed.echo_delay == 10);
  EdgeSums sums{Term{4}, {{"north", "counts"}}}, summed;
  const std::string sums_bytes = encode(head, sums);
  ByteReader sums_reader(sums_bytes);
  cr_expect(decode_head(sums_reader, seen) && decode(sums_reader, summed) &&
            summed.term == Term{4} && summed.regions == sums.regions);
  EdgeViewFrame view, viewed;
  view.term = Term{4};
  view.revision_in_force = 3;
  const std::string view_bytes = encode(head, view);
  ByteReader view_reader(view_bytes);
  cr_expect(decode_head(view_reader, seen) && decode(view_reader, viewed) &&
            viewed.term == Term{4} && viewed.revision_in_force == 3);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ByteReader cut(std::string_view(bytes).substr(0, size));
    cr_expect(!decode_head(cut, seen) || !decode(cut, read), "cut after %zu bytes", size);
  }
  std::string other = bytes;
  other[0] ^= 1;
  ByteReader foreign(other);
  cr_expect(!decode_head(foreign, seen), "a frame of another protocol number");
}

Test(calls, the_operator_is_told_what_became_of_an_order) {
  Entry entry;
  entry.version = Version{7};
  entry.body = "seven";
  std::string orders = record_accepted("", Version{5}, digest_of("five"));
  orders = record_accepted(orders, Version{5}, digest_of("other five"));  // the first stays
  orders = record_accepted(orders, Version{7}, digest_of("seven"));
  entry.documents[accepted_document] = orders;
  Json::Value value = told(entry, 7, "seven");
  cr_expect(value["version"] == 7 && value["changed"] == true && value["taken"] == true &&
            value["superseded"] == false);
  cr_expect(value["digest"].asString().size() == 16);
  cr_expect(told(entry, 7, "seven") == value, "sent again, it is told the same");
  value = told(entry, 7, "other seven");
  cr_expect(value["changed"] == false && value["taken"] == false && value["superseded"] == false);
  value = told(entry, 5, "five");
  cr_expect(value["changed"] == false && value["taken"] == true && value["superseded"] == true &&
            value["version"] == 7);
  cr_expect(told(entry, 5, "other five")["taken"] == false);
  cr_expect(told(entry, 6, "six")["taken"] == false && told(entry, 6, "six")["superseded"] == true,
            "passed over");
  cr_expect(told(entry, 3, "three")["taken"].isNull(), "before anybody kept it");
  entry.documents.clear();  // of a store written before there was such a sheet
  cr_expect(told(entry, 7, "seven")["taken"] == true &&
            told(entry, 7, "other seven")["taken"] == false &&
            told(entry, 5, "five")["taken"].isNull());
  for (std::int64_t version = 8; version < 2000; ++version)
    orders = record_accepted(orders, Version{version}, digest_of(std::to_string(version)));
  cr_expect(orders.size() < 5000 &&
            find_accepted(orders, Version{1999}, digest_of("1999")) == Acceptance::accepted &&
            find_accepted(orders, Version{7}, digest_of("seven")) == Acceptance::unknown);
  cr_expect(find_accepted("garbage", Version{7}, 0) == Acceptance::unknown);
}

// Two operators under one number, at the same moment; then newer ones, a change of leader, all
// members started again.
Test(calls, one_body_under_a_number_whatever_comes_later) {
  Cluster cluster(3);
  cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
  cluster.propose(5, "five");
  cluster.propose(5, "other five");
  cluster.propose(7, "seven");
  cluster.run(500ms);
  const auto check = [&] {
    cr_assert(cluster.run_until([&] { return cluster.has_leader(); }));
    cluster.run(500ms);
    for (const std::string& address : cluster.founders()) {
      if (!cluster.at(address).raft)
        continue;
      const Entry& committed = *cluster.at(address).raft->committed();
      cr_expect(told(committed, 5, "five")["taken"] == true &&
                told(committed, 5, "other five")["taken"] == false);
      cr_expect(told(committed, 7, "seven")["changed"] == true);
    }
  };
  check();
  const std::string first = cluster.leader();
  cluster.stop(first);
  check();
  cr_assert(cluster.leader() != first);
  for (const std::string& address : cluster.founders())
    cluster.stop(address);
  for (const std::string& address : cluster.founders())
    cluster.start(address);
  check();
  const std::uint64_t again = cluster.propose(5, "five");
  const std::string leader = cluster.leader();
  cr_expect(cluster.run_until([&] { return cluster.is_done(leader, again); }),
            "it is never refused");
  check();
}

namespace {

class Quiet final : public HttpServer::Handler {
 public:
  Quiet() : server(poller, timers, *this, 16, 1 << 20) {
    for (int port = 30000; port < 60000 && !address.port; ++port)
      if (!server.open({"127.0.0.1", port}))
        address = {"127.0.0.1", port};
    server.set_limits({16384, 1 << 20, Duration(3000), Duration(15000)});
  }
  void on_request(ServerExchange&, TimePoint) override {
    ++requests;
  }
  void on_gone(ServerExchange&) override {
  }
  Poller poller;
  TimerQueue timers;
  HttpServer server;
  Address address;
  int requests = 0;
};

struct Doubter final : HttpCallObserver {
  bool may = false;
  int asked = 0;
  std::optional<ErrorCode> broke;
  bool may_send(HttpClientConnection&, TimePoint) override {
    return ++asked, may;
  }
  void on_response(HttpClientConnection&, TimePoint) override {
  }
  void on_failure(HttpClientConnection&, ErrorCode kind, TimePoint) override {
    broke = kind;
  }
  void on_idle_end(HttpClientConnection&) override {
  }
};

}  // namespace

// The connection stands only after the lease ended: not a byte leaves.
Test(calls, nothing_is_sent_once_the_owner_may_not) {
  Quiet quiet;
  Doubter owner;
  HttpClientConnection caller(quiet.poller, owner, quiet.address, 16384, 65536);
  cr_assert(caller.ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false));
  for (const TimePoint until = Clock::now() + 5s; Clock::now() < until && !owner.broke;)
    quiet.poller.poll(Duration(5));
  cr_expect(owner.broke == ErrorCode::deadline_reached && !caller.has_sent() && owner.asked == 1);
  for (int turn = 0; turn < 20; ++turn)
    quiet.poller.poll(Duration(1));
  cr_expect(quiet.requests == 0);
  owner.may = true;
  HttpClientConnection allowed(quiet.poller, owner, quiet.address, 16384, 65536);
  cr_assert(allowed.ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false));
  for (const TimePoint until = Clock::now() + 5s; Clock::now() < until && !quiet.requests;)
    quiet.poller.poll(Duration(5));
  cr_expect(quiet.requests == 1);
}
