#include "registry/ring_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/ring_messages.h"
#include "registry/ring_json.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration moves_interval{200};
constexpr Duration load_check_interval{5000};
constexpr Duration counts_timeout{3000};  // a broker that sent no counts for longer is missing
constexpr Duration load_half_life{30000};
constexpr std::size_t max_accounts = 256;  // whose load is kept
constexpr Duration settle_margin{100};     // for clocks that run a little apart

// Moves pause while more than this part of the short lookups is late.
constexpr double max_late_lookups = 0.02;
constexpr double min_lookups = 50;    // fewer count as so many
constexpr double kept_lookups = 0.8;  // of the counts, from one advance of the moves to the next

constexpr std::size_t max_virtual_node_digits = 6;
constexpr std::size_t max_move_digits = 15;

struct MoveRequest {
  RingUnit unit;
  std::string receiver;
};

RingReply refuse(const std::string& reason) {
  return {false, {}, reason, {}};
}

RingReply accept(std::string text) {
  return {true, {}, {}, std::move(text)};
}

bool is_number(const std::string& text, std::size_t max_digits) {
  return !text.empty() && text.size() <= max_digits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// `17 shard-b`, or `account camper-7 shard-b`.
std::optional<MoveRequest> parse_move(const std::string& text) {
  std::istringstream words(text);
  MoveRequest request;
  std::string first;
  words >> first;
  if (first == "account") {
    words >> request.unit.account;
  } else {
    if (!is_number(first, max_virtual_node_digits))
      return std::nullopt;
    request.unit.virtual_node = static_cast<VirtualNode>(std::stoul(first));
  }
  words >> request.receiver;
  std::string rest;
  if (request.receiver.empty() || words >> rest)
    return std::nullopt;
  return request;
}

bool is_serving(const LeasedEndpoint& leased) {
  return leased.endpoint.phase == EndpointPhase::ready &&
         leased.endpoint.status == EndpointStatus::up;
}

}  // namespace

MoveOptions move_options(const NodeSettings& settings) {
  MoveOptions options;
  options.lease = settings.leadership_lease;
  options.settle = settings.leadership_lease + settings.election + settle_margin;
  return options;
}

RingService::RingService(const NodeSettings& settings, ControlContext& context,
                         const EndpointTable& backends, RingEnvironment& environment)
    : context_(context),
      backends_(backends),
      environment_(environment),
      migration_(move_options(settings)),
      loads_(load_half_life),
      account_loads_(load_half_life, max_accounts) {
}

RingReply RingService::answer(const RingCall& call, TimePoint now) {
  if (call.verb == "apply")
    return answer_apply(call, now);
  if (!document_.revision)
    return refuse("no ring is in force");
  if (call.verb == "report" || call.verb == "propose")
    return accept(ring_report_json(ring_, document_.revision, report_load(now),
                                   missing_brokers(now), call.verb == "propose"));
  if (call.verb == "move" || call.verb == "queue")
    return answer_move(call, now);
  if (call.verb == "undo")
    return answer_undo(call);
  if (call.verb == "status")
    return accept(ring_moves_json(migration_, ring_.placed.size()));
  return refuse("unknown call " + call.verb);
}

RingReply RingService::answer_apply(const RingCall& call, TimePoint now) {
  const ConfigurationSnapshot& configuration = environment_.configuration();
  if (!configuration)
    return refuse("no configuration was taken yet");
  RingMap ring;
  if (Error found = check_ring_file(call.text, *configuration, ring))
    return refuse(found.step);
  if (const std::string conflict = find_conflict(ring); !conflict.empty())
    return refuse(conflict);
  RingDocument next = document_;
  next.revision = document_.revision + 1;
  next.file = call.text;
  context_.propose_document(ring_document, encode_ring(next), ring_proposal_token, now);
  return accept("{\"edition\":" + std::to_string(ring.version.value) + "}");
}

// Why `ring` can't replace the ring in force at present; empty if it can.
std::string RingService::find_conflict(const RingMap& ring) const {
  if (ring.version <= ring_.version)
    return "edition: " + std::to_string(ring_.version.value) +
           " is in force, a higher one is needed";
  const auto& moves = migration_.moves();
  if (std::any_of(moves.begin(), moves.end(), [](const RingMove& move) { return move.is_open(); }))
    return "a move is under way";
  for (const auto& [account, node] : document_.placed)
    if (ring.index_of(node) == ring.nodes.size())
      return "nodes: " + node + " is missing, and account " + account + " is placed there";
  return {};
}

RingReply RingService::answer_move(const RingCall& call, TimePoint now) {
  const std::optional<MoveRequest> request = parse_move(call.text);
  if (!request)
    return refuse("a move needs a virtual node, or `account` and its name, and a receiver");
  const double benefit = move_benefit(request->unit, request->receiver, now);
  const bool may_wait = call.verb == "queue";
  const std::string reason = migration_.request(request->unit, request->receiver, ring_,
                                                serving_services(), may_wait, benefit);
  return reason.empty() ? accept("{}") : refuse(reason);
}

RingReply RingService::answer_undo(const RingCall& call) {
  if (!is_number(call.text, max_move_digits))
    return refuse("undo needs a move's number");
  const std::string reason = migration_.undo(std::stoull(call.text));
  return reason.empty() ? accept("{}") : refuse(reason);
}

RingReport RingService::report_load(TimePoint now) {
  return load_monitor_.report(ring_, loads_.sums(ring_.owners.size(), now),
                              account_loads_.sums(now));
}

std::vector<std::string> RingService::missing_brokers(TimePoint now) const {
  std::vector<std::string> missing;
  for (const std::string& address : environment_.broker_addresses()) {
    const auto received = counts_received_.find(address);
    if (received == counts_received_.end() || now - received->second > counts_timeout)
      missing.push_back(address);
  }
  return missing;
}

// The busy time that the move takes off its node, against what the move costs.
double RingService::move_benefit(const RingUnit& unit, const std::string& receiver,
                                 TimePoint now) const {
  const std::size_t receiver_index = ring_.index_of(receiver);
  if (receiver_index >= ring_.nodes.size())
    return 0;
  if (!unit.is_account() && unit.virtual_node >= ring_.owners.size())
    return 0;
  double busy_ms = 0;
  if (!unit.is_account())
    busy_ms = loads_.sums(ring_.owners.size(), now)[unit.virtual_node].busy_ms;
  for (const auto& [account, load] : account_loads_.sums(now))
    if (account == unit.account)
      busy_ms = load.busy_ms;
  return busy_ms / (1 + move_cost(ring_, unit, ring_.owner_of(unit), receiver_index, {}));
}

std::set<std::string> RingService::serving_services() const {
  std::set<std::string> services;
  for (const auto& [id, leased] : backends_.endpoints())
    if (is_serving(leased))
      services.insert(leased.endpoint.service);
  return services;
}

// An empty endpoint if the service has no backend that is ready and UP.
Endpoint RingService::find_serving(const std::string& service) const {
  for (const auto& [id, leased] : backends_.endpoints())
    if (leased.endpoint.service == service && is_serving(leased))
      return leased.endpoint;
  return {};
}

void RingService::handle_subscription(const FrameHead& from, const SubscribeRequest& request,
                                      ControlHeartbeat& heartbeat, TimePoint now) {
  if (!document_.revision || !context_.is_leased(now))
    return;
  heartbeat.ring_revision = document_.revision;
  if (request.latest_ring_revision < document_.revision)
    heartbeat.ring = encoded_document_;
  if (context_.is_shutting_down())
    return;
  LeaseTable& leases = migration_.leases();
  leases.record(from.from, from.incarnation, request.ring_revision, now);
  heartbeat.lease =
      static_cast<std::uint64_t>(leases.grant(from.from, from.incarnation, now).count());
  record_load(from, request, now);
}

void RingService::record_load(const FrameHead& from, const SubscribeRequest& request,
                              TimePoint now) {
  std::vector<std::pair<VirtualNode, RingLoad>> loads;
  if (decode_loads(request.ring_loads, loads))
    for (const auto& [virtual_node, load] : loads)
      if (virtual_node < ring_.owners.size())
        loads_.add(virtual_node, load, now);
  std::vector<std::pair<std::string, RingLoad>> accounts;
  if (decode_account_loads(request.account_loads, accounts))
    for (const auto& [account, load] : accounts)
      account_loads_.add(account, load, now);
  counts_received_[from.from] = now;
  lookups_ += static_cast<double>(request.lookups);
  late_lookups_ += static_cast<double>(request.late_lookups);
}

void RingService::tick(TimePoint now) {
  take_committed(now);
  if (!document_.revision || now < moves_due_)
    return;
  moves_due_ = now + moves_interval;
  if (!context_.is_leader())
    return migration_.tick(false, document_, ring_, true, now);
  if (!context_.is_leased(now))
    return;
  advance_moves(now);
  if (now - load_checked_ < load_check_interval)
    return;
  load_checked_ = now;
  check_load(now);
}

void RingService::take_committed(TimePoint now) {
  const EntrySnapshot& committed = context_.committed();
  if (!committed || committed == seen_entry_)
    return;
  seen_entry_ = committed;
  const auto found = committed->documents.find(ring_document);
  if (found == committed->documents.end())
    return;
  RingDocument document;
  RingMap ring;
  if (!decode_ring(found->second, document) || document.revision <= document_.revision ||
      ring_of(document, ring))
    return;
  document_ = std::move(document);
  ring_ = std::move(ring);
  encoded_document_ = found->second;
  if (context_.is_leased(now))
    environment_.send_ring(document_.revision, encoded_document_, now);
}

void RingService::advance_moves(TimePoint now) {
  const bool are_lookups_well = take_lookup_health();
  bound_read_durations();
  migration_.tick(true, document_, ring_, are_lookups_well, now);
  ShardMigration::Output output = migration_.take();
  for (const std::string& news : output.news)
    LOG(INFO) << "ring: " << news;
  for (const ShardMigration::Order& order : output.orders)
    send_order(order);
  if (output.proposal)
    context_.propose_document(ring_document, encode_ring(*output.proposal), ring_proposal_token,
                              now);
  const auto& moves = migration_.moves();
  metrics().set(Metric::open_migrations,
                std::count_if(moves.begin(), moves.end(),
                              [](const RingMove& move) { return move.is_open(); }));
}

// Whether short lookups meet their aims. Lets the counts fade.
bool RingService::take_lookup_health() {
  const bool are_well = late_lookups_ <= max_late_lookups * std::max(min_lookups, lookups_);
  lookups_ *= kept_lookups;
  late_lookups_ *= kept_lookups;
  return are_well;
}

// Nothing of the nodes is forgotten before the last request that may still come there.
void RingService::bound_read_durations() {
  const ConfigurationSnapshot& configuration = environment_.configuration();
  if (!configuration)
    return;
  Duration read{0};
  Duration gather{0};
  const auto is_node = [&](ServiceIndex service) {
    return ring_.index_of(configuration->services[service.value].name) < ring_.nodes.size();
  };
  for (const Route& route : configuration->routes) {
    if (std::any_of(route.shares.begin(), route.shares.end(),
                    [&](const Share& share) { return is_node(share.service); }))
      read = std::max(read, route.give_up);
    if (std::any_of(route.shards.begin(), route.shards.end(), is_node))
      gather = std::max(gather, route.give_up);
  }
  migration_.set_max_read_duration(std::max(read, gather), gather);
}

void RingService::send_order(const ShardMigration::Order& order) {
  const std::string other_address = find_serving(order.other).address;
  const Endpoint node = find_serving(order.node);
  DispatchedCommand command;
  command.token = order.token;
  command.service = order.node;
  command.id = node.id;
  command.address = node.address;
  command.node_order = node_order_json(order, other_address);
  command.owner_number = context_.term().value;
  command.until = context_.lease_until();
  if (!environment_.dispatch(std::move(command)))
    migration_.finish_order(order.token, {});
}

void RingService::check_load(TimePoint now) {
  const RingReport report = report_load(now);
  std::string overloaded;
  std::int64_t overloaded_count = 0;
  for (const NodeReport& node : report.nodes) {
    if (!node.is_over)
      continue;
    overloaded += (overloaded.empty() ? "" : ", ") + node.name;
    ++overloaded_count;
  }
  metrics().set(Metric::overloaded_ring_nodes, overloaded_count);
  if (overloaded.empty() == is_overloaded_)
    LOG(WARNING) << "ring: "
                 << (overloaded.empty() ? "no node carries too much any more"
                                        : "too much is carried by " + overloaded);
  is_overloaded_ = !overloaded.empty();
}

}  // namespace saddlewing
