// The agree thread's care for the hash ring: its watch, its moves, and the operator's calls for
// both.
#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include "registry/control_loop.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t ring_token = ~0ull - 1;  // of a proposed sheet
constexpr Duration ring_every{200}, watch_every{5000};
constexpr Duration counts_are_in{3000};  // a broker that told nothing for longer is missing
constexpr double max_late = 0.02;        // of short lookups; more, and moves pause
constexpr double kept_lookups = 0.8;     // of their counts, each turn

std::string write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value show(const RingLoad& load) {
  Json::Value value(Json::objectValue);
  value["askings"] = std::round(load.attempts);
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

MoveOptions move_options(const NodeSettings& settings) {
  MoveOptions options;
  options.lease = settings.leadership_lease;
  options.settle = settings.leadership_lease + settings.election + Duration(100);
  return options;
}

Error ControlLoop::check_ring(const std::string& file, RingMap& ring) const {
  if (!configuration_)
    return make_error(ErrorCode::no_leader, "no configuration was taken yet");
  return check_ring_file(file, *configuration_, ring);
}

// Nothing of the nodes is forgotten before the last request that may still come there.
void ControlLoop::bound_ring_reads() {
  if (!configuration_)
    return;
  Duration read{0}, gather{0};
  const auto is_node = [&](ServiceIndex service) {
    return ring_.index_of(configuration_->services[service.value].name) < ring_.nodes.size();
  };
  for (const Route& route : configuration_->routes) {
    if (std::any_of(route.shares.begin(), route.shares.end(),
                    [&](const Share& share) { return is_node(share.service); }))
      read = std::max(read, route.give_up);
    if (std::any_of(route.shards.begin(), route.shards.end(), is_node))
      gather = std::max(gather, route.give_up);
  }
  shard_migration_.set_max_read_duration(std::max(read, gather), gather);
}

std::string ControlLoop::show_ring(bool has_proposals, TimePoint now) {
  const RingReport report = ring_load_monitor_.report(
      ring_, ring_loads_.sums(ring_.owners.size(), now), account_loads_.sums(now));
  Json::Value root(Json::objectValue);
  root["edition"] = Json::Int64(ring_.version.value);
  root["mark"] = Json::UInt64(ring_document_.revision);
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
  constexpr std::size_t max_shown = 20;
  for (const auto& [account, load] : report.accounts) {
    if (root["accounts"].size() >= max_shown)
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

RingReply ControlLoop::answer_move(const RingCall& call, TimePoint now) {
  RingUnit unit;
  std::string to;
  if (!read_move(call.text, unit, to))
    return {
        false, {}, "a move needs a virtual node, or `account` and its name, and a receiver", {}};
  std::set<std::string> serving;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase == EndpointPhase::ready && line.entry.status == EndpointStatus::up)
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
      shard_migration_.request(unit, to, ring_, serving, call.verb == "queue", benefit);
  if (!reason.empty())
    return {false, {}, reason, {}};
  return {true, {}, {}, "{}"};
}

RingReply ControlLoop::answer_ring(const RingCall& call, TimePoint now) {
  const auto refuse = [](const std::string& reason) {
    return RingReply{false, {}, reason, {}};
  };
  if (!raft_.is_leader())
    return {false, raft_.leader_address(), "another registry leads", {}};
  if (!raft_.is_leased(now))
    return refuse("no majority of the core answers");
  if (call.verb == "edges")
    return settings_.has_edges ? RingReply{true, {}, {}, show_edges(now)}
                               : refuse("the view of edges is off (options.edges)");
  if (call.verb == "apply") {
    RingMap ring;
    if (Error found = check_ring(call.text, ring))
      return refuse(found.step);
    if (ring.version <= ring_.version)
      return refuse("edition: " + std::to_string(ring_.version.value) +
                    " is in force, a higher one is needed");
    if (std::any_of(shard_migration_.moves().begin(), shard_migration_.moves().end(),
                    [](const RingMove& move) { return move.is_open(); }))
      return refuse("a move is under way");
    for (const auto& [account, node] : ring_document_.placed)
      if (ring.index_of(node) == ring.nodes.size())
        return refuse("nodes: " + node + " is missing, and account " + account +
                      " is placed there");
    RingDocument next = ring_document_;
    next.revision = ring_document_.revision + 1;
    next.file = call.text;
    raft_.propose_document(ring_document, encode_ring(next), ring_token, now);
    return {true, {}, {}, "{\"edition\":" + std::to_string(ring.version.value) + "}"};
  }
  if (!ring_document_.revision)
    return refuse("no ring is in force");
  if (call.verb == "report" || call.verb == "propose")
    return {true, {}, {}, show_ring(call.verb == "propose", now)};
  if (call.verb == "move" || call.verb == "queue")
    return answer_move(call, now);
  if (call.verb == "undo") {
    if (call.text.empty() || call.text.size() > 15 ||
        call.text.find_first_not_of("0123456789") != std::string::npos)
      return refuse("undo needs a move's number");
    const std::string reason = shard_migration_.undo(std::stoull(call.text));
    return reason.empty() ? RingReply{true, {}, {}, "{}"} : refuse(reason);
  }
  if (call.verb != "status")
    return refuse("unknown call " + call.verb);
  Json::Value root(Json::objectValue);
  root["paused"] = shard_migration_.is_paused();
  root["placed"] = Json::UInt64(ring_.placed.size());
  for (const RingMove& move : shard_migration_.moves()) {
    Json::Value value(Json::objectValue);
    value["move"] = Json::UInt64(move.id);
    show_unit(value, move.unit);
    value["from"] = move.from;
    value["to"] = move.to;
    value["step"] = name_of(move.step);
    value["copied"] = shard_migration_.progress(move.id);
    value["benefit"] = move.benefit;
    value["why"] = shard_migration_.why(move.id);
    root["moves"].append(value);
  }
  return {true, {}, {}, write(root)};
}

void ControlLoop::handle_ring_call(const std::string& routing_id, const RingCall& call,
                                   TimePoint now) {
  frame_server_.send(routing_id, encode(head(), answer_ring(call, now)));
}

void ControlLoop::handle_ring_subscription(const FrameHead& from, const SubscribeRequest& follow,
                                           ControlHeartbeat& heartbeat, TimePoint now) {
  if (!ring_document_.revision)
    return;
  if (!raft_.is_leased(now))
    return;
  heartbeat.ring_revision = ring_document_.revision;
  if (follow.latest_ring_revision < ring_document_.revision)
    heartbeat.ring = ring_text_;
  if (should_leave_)
    return;
  shard_migration_.leases().note(from.from, from.incarnation, follow.ring_revision, now);
  heartbeat.lease = static_cast<std::uint64_t>(
      shard_migration_.leases().grant(from.from, from.incarnation, now).count());
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

void ControlLoop::update_ring(TimePoint now) {
  const EntrySnapshot& committed = raft_.committed();
  if (committed && committed != ring_seen_) {
    ring_seen_ = committed;
    const auto document = committed->documents.find(ring_document);
    RingDocument read;
    RingMap ring;
    if (document != committed->documents.end() && decode_ring(document->second, read) &&
        read.revision > ring_document_.revision && !ring_of(read, ring)) {
      ring_document_ = std::move(read);
      ring_ = std::move(ring);
      ring_text_ = document->second;
      for (auto& [from, broker] : brokers_) {
        if (broker.is_pooler || !raft_.is_leased(now))
          continue;
        ControlHeartbeat heartbeat;
        heartbeat.ring_revision = ring_document_.revision;
        heartbeat.ring = ring_text_;
        send_heartbeat(broker, false, now, std::move(heartbeat));
      }
    }
  }
  if (!ring_document_.revision || now < ring_due_)
    return;
  ring_due_ = now + ring_every;
  if (!raft_.is_leader())
    return shard_migration_.tick(false, ring_document_, ring_, true, now);
  if (!raft_.is_leased(now))
    return;
  const bool are_lookups_well = late_lookups_ <= max_late * std::max(50.0, lookups_);
  lookups_ *= kept_lookups;
  late_lookups_ *= kept_lookups;
  bound_ring_reads();
  shard_migration_.tick(true, ring_document_, ring_, are_lookups_well, now);
  ShardMigration::Output output = shard_migration_.take();
  for (const std::string& news : output.news)
    LOG(INFO) << "ring: " << news;
  for (const ShardMigration::Order& order : output.orders) {
    Json::Value value(Json::objectValue);
    value["interface"] = node_interface;
    value["move"] = Json::UInt64(order.move);
    value["mark"] = Json::UInt64(order.revision);
    value["what"] = order.what;
    show_unit(value, order.unit);
    if (order.what == "finish")
      value["position"] = Json::UInt64(order.position);
    value["mb_per_s"] = order.mb_s;
    value["placed"] = order.is_placed;
    const auto address_of = [&](const std::string& node) {
      for (const auto& [id, line] : registry_.lines())
        if (line.entry.service == node && line.entry.phase == EndpointPhase::ready &&
            line.entry.status == EndpointStatus::up)
          return line.entry;
      return Endpoint{};
    };
    value["other"] = address_of(order.other).address;
    const Endpoint entry = address_of(order.node);
    DispatchedCommand sent{order.token, order.node,   entry.id,           entry.address,
                           {},          write(value), raft_.term().value, raft_.lease_until()};
    if (!dispatcher_->order(std::move(sent)))
      shard_migration_.finish_order(order.token, {});
  }
  if (output.proposal)
    raft_.propose_document(ring_document, encode_ring(*output.proposal), ring_token, now);
  metrics().set(Metric::ring_moves,
                std::count_if(shard_migration_.moves().begin(), shard_migration_.moves().end(),
                              [](const RingMove& move) { return move.is_open(); }));
  if (now - ring_watched_ < watch_every)
    return;
  ring_watched_ = now;
  const RingReport report = ring_load_monitor_.report(
      ring_, ring_loads_.sums(ring_.owners.size(), now), account_loads_.sums(now));
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
