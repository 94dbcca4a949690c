// The agree thread's care for the hash ring: its watch, its moves, and the operator's calls for
// both.
#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include "programs/core.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t ring_token = ~0ull - 1;  // of a proposed sheet
constexpr Span ring_every{200}, watch_every{5000};
constexpr Span counts_are_in{3000};   // a broker that told nothing for longer is missing
constexpr double most_late = 0.02;    // of short lookups; more, and moves pause
constexpr double kept_lookups = 0.8;  // of their counts, each turn

std::string write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value show(const RingLoad& load) {
  Json::Value value(Json::objectValue);
  value["askings"] = std::round(load.askings);
  value["busy_ms"] = std::round(load.busy_ms);
  value["bytes"] = std::round(load.bytes);
  return value;
}

void show_unit(Json::Value& value, const RingUnit& unit) {
  if (unit.is_account())
    value["account"] = unit.account;
  else
    value["virtual_node"] = unit.virtual_node;
}

// `17 shard-b`, or `account camper-7 shard-b`.
bool read_move(const std::string& text, RingUnit& unit, std::string& to) {
  std::istringstream words(text);
  std::string first;
  words >> first;
  if (first == "account") {
    words >> unit.account;
  } else {
    if (first.empty() || first.size() > 6 ||
        first.find_first_not_of("0123456789") != std::string::npos)
      return false;
    unit.virtual_node = static_cast<VirtualNode>(std::stoul(first));
  }
  words >> to;
  std::string more;
  return !to.empty() && !(words >> more);
}

}  // namespace

MoveOptions move_options(const Startup& startup) {
  MoveOptions options;
  options.lease = startup.lead_hold;
  options.settle = startup.lead_hold + startup.election + Span(100);
  return options;
}

Fault Core::check_ring(const std::string& file, RingMap& ring) const {
  if (!configuration_)
    return fault(Kind::no_leader, "no configuration was taken yet");
  return check_ring_file(file, *configuration_, ring);
}

// Nothing of the nodes is forgotten before the last request that may still come there.
void Core::bound_ring_reads() {
  if (!configuration_)
    return;
  Span read{0}, gather{0};
  const auto is_node = [&](ServiceIndex service) {
    return ring_.index_of(configuration_->services[service.value].name) < ring_.nodes.size();
  };
  for (const Rule& rule : configuration_->rules) {
    if (std::any_of(rule.shares.begin(), rule.shares.end(),
                    [&](const Share& share) { return is_node(share.service); }))
      read = std::max(read, rule.give_up);
    if (std::any_of(rule.shards.begin(), rule.shards.end(), is_node))
      gather = std::max(gather, rule.give_up);
  }
  ring_moves_.set_longest(std::max(read, gather), gather);
}

std::string Core::show_ring(bool has_proposals, Moment now) {
  const RingReport report = ring_watch_.report(ring_, ring_loads_.sums(ring_.owners.size(), now),
                                               account_loads_.sums(now));
  Json::Value root(Json::objectValue);
  root["edition"] = Json::Int64(ring_.version.value);
  root["mark"] = Json::UInt64(ring_sheet_.mark);
  root["balanced"] = report.is_balanced();
  root["enough"] = report.is_enough;
  for (const NodeReport& node : report.nodes) {
    Json::Value value = show(node.load);
    value["node"] = node.name;
    value["share"] = node.share;
    value["over"] = node.is_over;
    value["memory_mb"] = node.memory_mb;
    value["disk_mb"] = node.disk_mb;
    root["nodes"].append(value);
  }
  for (VirtualNode virtual_node = 0; virtual_node < ring_.owners.size(); ++virtual_node) {
    Json::Value value = show(report.virtual_nodes[virtual_node]);
    value["virtual_node"] = virtual_node;
    value["node"] = ring_.owner(virtual_node).name;
    root["virtual_nodes"].append(value);
  }
  constexpr std::size_t most_shown = 20;
  for (const auto& [account, load] : report.accounts) {
    if (root["accounts"].size() >= most_shown)
      break;
    Json::Value value = show(load);
    value["account"] = account;
    value["node"] = ring_.nodes[ring_.owner_of(account)].name;
    value["placed"] = ring_.placed.contains(account);
    root["accounts"].append(value);
  }
  for (const auto& [from, broker] : brokers_) {
    const auto told = ring_told_.find(from);
    if (!broker.is_pooler && (told == ring_told_.end() || now - told->second > counts_are_in))
      root["missing"].append(from);
  }
  if (has_proposals)
    for (const MoveProposal& proposal : report.proposals) {
      Json::Value value = show(proposal.load);
      show_unit(value, proposal.unit);
      value["from"] = proposal.from;
      value["to"] = proposal.to;
      value["memory_mb"] = proposal.memory_mb;
      value["disk_mb"] = proposal.disk_mb;
      value["share_from"] = proposal.share_from;
      value["share_to"] = proposal.share_to;
      value["cost"] = proposal.cost;
      root["proposals"].append(value);
    }
  for (const std::string& remark : report.remarks)
    root["remarks"].append(remark);
  return write(root);
}

RingAnswer Core::answer_move(const RingCall& call, Moment now) {
  RingUnit unit;
  std::string to;
  if (!read_move(call.text, unit, to))
    return {
        false, {}, "a move needs a virtual node, or `account` and its name, and a receiver", {}};
  std::set<std::string> serving;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase == Phase::ready && line.entry.status == Status::up)
      serving.insert(line.entry.service);
  // What it takes off its node, against what it costs.
  double benefit = 0;
  const std::size_t taker = ring_.index_of(to);
  if (taker < ring_.nodes.size() &&
      (unit.is_account() || unit.virtual_node < ring_.owners.size())) {
    if (!unit.is_account())
      benefit = ring_loads_.sums(ring_.owners.size(), now)[unit.virtual_node].busy_ms;
    for (const auto& [account, load] : account_loads_.sums(now))
      if (account == unit.account)
        benefit = load.busy_ms;
    benefit /= 1 + move_cost(ring_, unit, ring_.owner_of(unit), taker, {});
  }
  const std::string reason =
      ring_moves_.request(unit, to, ring_, serving, call.verb == "queue", benefit);
  if (!reason.empty())
    return {false, {}, reason, {}};
  return {true, {}, {}, "{}"};
}

RingAnswer Core::answer_ring(const RingCall& call, Moment now) {
  const auto refuse = [](const std::string& reason) {
    return RingAnswer{false, {}, reason, {}};
  };
  if (!agreement_.is_leader())
    return {false, agreement_.leader_address(), "another registry leads", {}};
  if (!agreement_.is_leased(now))
    return refuse("no majority of the core answers");
  if (call.verb == "edges")
    return startup_.has_edges ? RingAnswer{true, {}, {}, show_edges(now)}
                              : refuse("the view of edges is off (options.edges)");
  if (call.verb == "apply") {
    RingMap ring;
    if (Fault found = check_ring(call.text, ring))
      return refuse(found.step);
    if (ring.version <= ring_.version)
      return refuse("edition: " + std::to_string(ring_.version.value) +
                    " is in force, a higher one is needed");
    if (std::any_of(ring_moves_.moves().begin(), ring_moves_.moves().end(),
                    [](const RingMove& move) { return move.is_open(); }))
      return refuse("a move is under way");
    for (const auto& [account, node] : ring_sheet_.placed)
      if (ring.index_of(node) == ring.nodes.size())
        return refuse("nodes: " + node + " is missing, and account " + account +
                      " is placed there");
    RingSheet next = ring_sheet_;
    next.mark = ring_sheet_.mark + 1;
    next.file = call.text;
    agreement_.propose_sheet(ring_sheet, encode_ring(next), ring_token, now);
    return {true, {}, {}, "{\"edition\":" + std::to_string(ring.version.value) + "}"};
  }
  if (!ring_sheet_.mark)
    return refuse("no ring is in force");
  if (call.verb == "report" || call.verb == "propose")
    return {true, {}, {}, show_ring(call.verb == "propose", now)};
  if (call.verb == "move" || call.verb == "queue")
    return answer_move(call, now);
  if (call.verb == "undo") {
    if (call.text.empty() || call.text.size() > 15 ||
        call.text.find_first_not_of("0123456789") != std::string::npos)
      return refuse("undo needs a move's number");
    const std::string reason = ring_moves_.undo(std::stoull(call.text));
    return reason.empty() ? RingAnswer{true, {}, {}, "{}"} : refuse(reason);
  }
  if (call.verb != "status")
    return refuse("unknown call " + call.verb);
  Json::Value root(Json::objectValue);
  root["paused"] = ring_moves_.is_paused();
  root["placed"] = Json::UInt64(ring_.placed.size());
  for (const RingMove& move : ring_moves_.moves()) {
    Json::Value value(Json::objectValue);
    value["move"] = Json::UInt64(move.id);
    show_unit(value, move.unit);
    value["from"] = move.from;
    value["to"] = move.to;
    value["step"] = name_of(move.step);
    value["copied"] = ring_moves_.progress(move.id);
    value["benefit"] = move.benefit;
    value["why"] = ring_moves_.why(move.id);
    root["moves"].append(value);
  }
  return {true, {}, {}, write(root)};
}

void Core::take_ring_call(const std::string& route, const RingCall& call, Moment now) {
  hub_.send(route, encode(head(), answer_ring(call, now)));
}

void Core::take_ring_follow(const FrameHead& from, const Follow& follow, Beat& beat, Moment now) {
  if (!ring_sheet_.mark)
    return;
  if (!agreement_.is_leased(now))
    return;
  beat.ring_mark = ring_sheet_.mark;
  if (follow.ring_held < ring_sheet_.mark)
    beat.ring = ring_text_;
  if (should_leave_)
    return;
  ring_moves_.holders().note(from.from, from.life, follow.ring_mark, now);
  beat.hold =
      static_cast<std::uint64_t>(ring_moves_.holders().grant(from.from, from.life, now).count());
  std::vector<std::pair<VirtualNode, RingLoad>> loads;
  if (decode_loads(follow.ring_loads, loads))
    for (const auto& [virtual_node, load] : loads)
      if (virtual_node < ring_.owners.size())
        ring_loads_.add(virtual_node, load, now);
  std::vector<std::pair<std::string, RingLoad>> accounts;
  if (decode_account_loads(follow.account_loads, accounts))
    for (const auto& [account, load] : accounts)
      account_loads_.add(account, load, now);
  ring_told_[from.from] = now;
  lookups_ += static_cast<double>(follow.lookups);
  late_lookups_ += static_cast<double>(follow.late_lookups);
}

void Core::tend_ring(Moment now) {
  const EntrySnapshot& committed = agreement_.committed();
  if (committed && committed != ring_seen_) {
    ring_seen_ = committed;
    const auto sheet = committed->sheets.find(ring_sheet);
    RingSheet read;
    RingMap ring;
    if (sheet != committed->sheets.end() && decode_ring(sheet->second, read) &&
        read.mark > ring_sheet_.mark && !ring_of(read, ring)) {
      ring_sheet_ = std::move(read);
      ring_ = std::move(ring);
      ring_text_ = sheet->second;
      for (auto& [from, broker] : brokers_) {
        if (broker.is_pooler || !agreement_.is_leased(now))
          continue;
        Beat beat;
        beat.ring_mark = ring_sheet_.mark;
        beat.ring = ring_text_;
        send_beat(broker, false, now, std::move(beat));
      }
    }
  }
  if (!ring_sheet_.mark || now < ring_due_)
    return;
  ring_due_ = now + ring_every;
  if (!agreement_.is_leader())
    return ring_moves_.tick(false, ring_sheet_, ring_, true, now);
  if (!agreement_.is_leased(now))
    return;
  const bool are_lookups_well = late_lookups_ <= most_late * std::max(50.0, lookups_);
  lookups_ *= kept_lookups;
  late_lookups_ *= kept_lookups;
  bound_ring_reads();
  ring_moves_.tick(true, ring_sheet_, ring_, are_lookups_well, now);
  RingMoves::Output output = ring_moves_.take();
  for (const std::string& news : output.news)
    LOG(INFO) << "ring: " << news;
  for (const RingMoves::Order& order : output.orders) {
    Json::Value value(Json::objectValue);
    value["interface"] = node_interface;
    value["move"] = Json::UInt64(order.move);
    value["mark"] = Json::UInt64(order.mark);
    value["what"] = order.what;
    show_unit(value, order.unit);
    if (order.what == "finish")
      value["position"] = Json::UInt64(order.position);
    value["mb_per_s"] = order.mb_s;
    value["placed"] = order.is_placed;
    const auto address_of = [&](const std::string& node) {
      for (const auto& [id, line] : registry_.lines())
        if (line.entry.service == node && line.entry.phase == Phase::ready &&
            line.entry.status == Status::up)
          return line.entry;
      return RosterEntry{};
    };
    value["other"] = address_of(order.other).address;
    const RosterEntry entry = address_of(order.node);
    EnvoyOrder sent{order.token,
                    order.node,
                    entry.id,
                    entry.address,
                    {},
                    write(value),
                    agreement_.term().value,
                    agreement_.lease_until()};
    if (!envoy_->order(std::move(sent)))
      ring_moves_.finish_order(order.token, {});
  }
  if (output.proposal)
    agreement_.propose_sheet(ring_sheet, encode_ring(*output.proposal), ring_token, now);
  metrics().set(Metric::ring_moves,
                std::count_if(ring_moves_.moves().begin(), ring_moves_.moves().end(),
                              [](const RingMove& move) { return move.is_open(); }));
  if (now - ring_watched_ < watch_every)
    return;
  ring_watched_ = now;
  const RingReport report = ring_watch_.report(ring_, ring_loads_.sums(ring_.owners.size(), now),
                                               account_loads_.sums(now));
  std::string over;
  for (const NodeReport& node : report.nodes)
    if (node.is_over)
      over += (over.empty() ? "" : ", ") + node.name;
  metrics().set(Metric::ring_over,
                std::count_if(report.nodes.begin(), report.nodes.end(),
                              [](const NodeReport& node) { return node.is_over; }));
  if (over.empty() == is_ring_over_)
    LOG(WARNING) << "ring: "
                 << (over.empty() ? "no node carries too much any more"
                                  : "too much is carried by " + over);
  is_ring_over_ = !over.empty();
}

}  // namespace saddlewing
