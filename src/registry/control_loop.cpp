#include "registry/control_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "state/compression.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration call_wait{850};  // a little less than the desk waits
constexpr Duration max_wait{100};
constexpr std::size_t max_steps = 128;

std::vector<std::string> inner_addresses(const std::vector<Address>& contacts, int port) {
  std::vector<std::string> addresses;
  for (const Address& contact : contacts)
    addresses.push_back(Address{contact.host, port}.text());
  return addresses;
}

RaftOptions raft_options(const NodeSettings& settings, IncarnationId incarnation,
                         const std::string& address) {
  RaftOptions options;
  options.address = address;
  options.heartbeat = settings.heartbeat;
  options.election = settings.election;
  options.draw = incarnation.value;
  options.voters = static_cast<std::uint32_t>(settings.can_lose) * 2 + 1;
  options.silent = replacement_timeout(settings.catch_up, settings.election);
  options.leave_wait = std::min(settings.catch_up / 2, settings.grace / 3);
  return options;
}

ServiceRegistryOptions service_registry_options(const NodeSettings& settings) {
  ServiceRegistryOptions options;
  options.renewal = settings.renewal;
  options.lease = settings.lease;
  options.sweep = settings.sweep;
  options.renewal_threshold = settings.renewal_threshold;
  options.is_preserving = settings.is_preserving;
  options.tombstone = registry_tombstone(settings);
  options.is_signing_up = settings.is_signing_up;
  return options;
}

}  // namespace

ControlLoop::ControlLoop(const NodeSettings& settings, PersistentState persistent,
                         IncarnationId incarnation)
    : settings_(settings),
      incarnation_(incarnation),
      address_(Address{settings.ip_address, settings.inner_port}.text()),
      events_(4096, [this] { waker_.wake(); }),
      contacts_(4, [this] { waker_.wake(); }),
      raft_(std::move(persistent), raft_options(settings, incarnation, address_),
            inner_addresses(settings.contacts, settings.inner_port), Clock::now()),
      registry_(service_registry_options(settings)),
      failover_(failover_options(settings)),
      shard_migration_(move_options(settings)),
      edge_aggregator_(edge_options(settings)),
      edge_rollout_(settings.rollout_wait),
      rollout_(settings.rollout_wait),
      grants_(settings.extra_tries, settings.follow * 5, settings.retry_span),
      calls_(incarnation),
      steps_(max_steps) {
  born_ = Clock::now();
}

Error ControlLoop::open() {
  return frame_server_.open(context_, Address{settings_.ip_address, settings_.inner_port});
}

void ControlLoop::start(OperatorApi& operator_api, BackendMonitor& monitor, StorageThread& storage,
                        CommandDispatcher& dispatcher) {
  dispatcher_ = &dispatcher;
  operator_api_ = &operator_api;
  backend_monitor_ = &monitor;
  storage_ = &storage;
  thread_ = std::thread([this] { run(); });
}

void ControlLoop::set_contacts(const std::vector<Address>& contacts) {
  contacts_.replace(inner_addresses(contacts, settings_.inner_port));
}

void ControlLoop::reach(const std::string& address) {
  if (address == address_ || clients_.contains(address))
    return;
  Address parsed;
  if (parse_address(address, parsed))
    clients_[address] = std::make_unique<FrameClient>(context_, parsed);
}

void ControlLoop::send_to(const std::string& address, const std::string& bytes) {
  reach(address);
  if (const auto found = clients_.find(address); found != clients_.end())
    found->second->send(bytes);
}

void ControlLoop::run() {
  TimePoint leave_by = TimePoint::max();
  std::vector<void*> handles;
  while (Clock::now() < leave_by) {
    const auto addresses = raft_.known_addresses();
    for (const std::string& address : addresses)
      reach(address);
    std::erase_if(clients_, [&](const auto& client) {
      return std::find(addresses.begin(), addresses.end(), client.first) == addresses.end() &&
             !peers_.contains(client.first);
    });
    handles.assign({frame_server_.handle()});
    for (const auto& [address, client] : clients_)
      handles.push_back(client->handle());
    const Duration wait = std::clamp(
        std::chrono::ceil<Duration>(std::min(raft_.next_due(), registry_due_) - Clock::now()),
        Duration(0), max_wait);
    wait_links(handles, waker_, wait);
    for (ControlEvent& event : events_.take())
      handle_event(event, Clock::now());
    for (auto& contacts : contacts_.take())
      raft_.set_contacts(std::move(contacts));
    take_each(
        512, [&] { return frame_server_.receive(); }, Clock::now,
        [&](const ReceivedFrame& frame, TimePoint came) { handle_frame(frame, came); });
    const TimePoint now = Clock::now();
    for (const auto& [address, client] : clients_)
      while (client->receive()) {
      }  // nothing is said on this way back
    raft_.tick(now);
    route_calls(now);
    handle_output(now);
    on_commit(now);
    update_registry(now);
    update_databases(now);
    update_ring(now);
    update_edges(now);
    grants_.lead(raft_.is_leader() && raft_.is_confirmed(now), now);
    dispatcher_->set_lease(raft_.term(), raft_.lease_until());
    update_brokers(now);
    advance_rollout(now);
    handle_output(now);
    if (should_leave_ && leave_by == TimePoint::max()) {
      if (!std::exchange(is_leaving_, true))
        LOG(INFO) << "agree: leaving";
      raft_.leave(now);
      handle_output(now);
      if (raft_.has_left())
        leave_by = now + call_wait;
    }
    // Calls at work are answered first, by whoever leads now.
    if (leave_by != TimePoint::max() && calls_.is_empty() && now > leave_by - call_wait + 200ms)
      break;
  }
  has_left_ = true;
}

void ControlLoop::handle_event(ControlEvent& event, TimePoint now) {
  if (auto* call = std::get_if<OperatorCall>(&event)) {
    if (!call->is_read)
      steps_.record(call->version, "taken", now);
    calls_.add(call->is_read, call->version, std::move(call->body), call->token, now + call_wait);
  } else if (const auto* saved = std::get_if<Saved>(&event)) {
    raft_.finish_save(saved->serial, saved->is_saved, now);
  } else if (const auto* listed = std::get_if<Listed>(&event)) {
    if (is_observing_)
      registry_.observe(listed->entries, now);
  } else if (const auto* renewed = std::get_if<Renewed>(&event)) {
    if (is_observing_ && !renewed->id.empty())
      registry_.renew(renewed->id, now);
  } else if (auto* backend = std::get_if<BackendCall>(&event)) {
    handle_backend_call(*backend, now);
  } else if (const auto* examined = std::get_if<Examined>(&event)) {
    failover_.finish_order(examined->token, examined->status, now);
  } else if (const auto* told = std::get_if<NodeTold>(&event)) {
    shard_migration_.finish_order(told->token, told->answer);
  } else if (const auto* promoted = std::get_if<PromotionResult>(&event)) {
    failover_.finish_promotion(promoted->token, promoted->status, now);
  }
}

void ControlLoop::handle_frame(const ReceivedFrame& frame, TimePoint now) {
  ByteReader reader(frame.bytes);
  FrameHead head;
  bool is_good = decode_head(reader, head);
  if (is_good) {
    switch (head.kind) {
      case FrameKind::raft: {
        RaftMessage message;
        if ((is_good = decode(reader, message) && message.address == head.from))
          raft_.receive(message, now);
        break;
      }
      case FrameKind::forwarded_call: {
        ForwardedCall forward;
        if (!(is_good = decode(reader, forward)))
          break;
        if (!forward.is_read)
          steps_.record(forward.version, "passed on", now);
        calls_.add(std::move(forward), head.from, head.incarnation, now + call_wait);
        break;
      }
      case FrameKind::forwarded_reply: {
        ForwardedReply forwarded;
        if (!(is_good = decode(reader, forwarded)))
          break;
        // Not done: it leads no more, and whoever does is asked next.
        if (const std::uint64_t token = calls_.take(forwarded, head.from);
            token && forwarded.is_done)
          finish_call(token, true, std::move(forwarded.body));
        break;
      }
      case FrameKind::subscribe: {
        SubscribeRequest follow;
        if ((is_good = decode(reader, follow)))
          handle_subscribe(frame.routing_id, head, follow, now);
        break;
      }
      case FrameKind::endpoint_list: {
        EndpointList endpoints;
        if ((is_good = decode(reader, endpoints)))
          handle_endpoints(head, endpoints, now);
        break;
      }
      case FrameKind::ring_call: {
        RingCall call;
        if ((is_good = decode(reader, call)))
          handle_ring_call(frame.routing_id, call, now);
        break;
      }
      case FrameKind::edge_sums: {
        EdgeSums sums;
        if ((is_good = decode(reader, sums)))
          handle_edge_sums(sums, now);
        break;
      }
      case FrameKind::edge_view: {
        EdgeViewFrame frame;
        if ((is_good = decode(reader, frame)))
          handle_edge_view(head, frame, now);
        break;
      }
      case FrameKind::renewed_ids: {
        RenewedIds renewed;
        if ((is_good = decode(reader, renewed)))
          for (const RenewedIds::Item& item : renewed.items)
            registry_.renew_signed(item, now);
        break;
      }
      case FrameKind::trace_request:
        handle_trace(frame.routing_id, now);
        break;
      case FrameKind::cluster_status_request:
        send_status(frame.routing_id, now);
        break;
      default:
        is_good = false;
    }
  }
  if (is_good)
    return;
  ++foreign_;
  if (now - foreign_logged_ < 1s)
    return;
  foreign_logged_ = now;
  LOG(WARNING) << "agree: frame dropped, foreign or damaged; " << foreign_ << " so far";
}

// Gives each waiting call to the leader of the moment.
void ControlLoop::route_calls(TimePoint now) {
  std::vector<std::uint64_t> ended, settled;
  for (auto& [token, call] : calls_.calls()) {
    const EntrySnapshot& committed = raft_.committed();
    const std::string& leader = raft_.leader_address();
    if (!call.is_read && committed && committed->version >= call.version) {
      settled.push_back(token);
      continue;
    }
    if (now > call.deadline) {
      ended.push_back(token);
      continue;
    }
    if (!call.sent_to.empty() && call.sent_to != leader && !leader.empty())
      call.sent_to.clear();
    if (!call.sent_to.empty())
      continue;
    if (raft_.is_leader()) {
      call.sent_to = address_;
      if (call.is_read)
        raft_.read_index(token, now);
      else
        raft_.propose(call.version, call.body, token, now);
    } else if (!leader.empty() && call.origin.empty()) {
      const ForwardedCall forward = calls_.send(token, leader, raft_.term());
      send_to(leader, encode(head(), forward));
    } else if (!call.origin.empty()) {
      ended.push_back(token);  // passed on to one that does not lead
    }
  }
  for (const std::uint64_t token : settled)
    finish_call(token, true, {});
  for (const std::uint64_t token : ended)
    finish_call(token, false, {});
}

// A change that is done is told what became of it by what is committed here; `body`: what another
// registry told, or read.
void ControlLoop::finish_call(std::uint64_t token, bool is_done, std::string body) {
  const auto call = calls_.remove(token);
  if (!call)
    return;
  if (is_done && !call->is_read && body.empty() && raft_.committed())
    body = acknowledge(*raft_.committed(), call->version, call->digest);
  if (call->origin.empty())
    operator_api_->tell({call->origin_token, is_done, std::move(body)});
  else
    send_to(call->origin,
            encode(head(), PendingCalls::answer(*call, is_done, raft_.term(), std::move(body))));
}

void ControlLoop::handle_output(TimePoint now) {
  RaftNode::Output output = raft_.take(now);
  if (output.save && !storage_->save(std::move(*output.save)))
    LOG(ERROR) << "agree: disk thread is behind";
  for (const auto& outgoing : output.messages)
    send_to(outgoing.to, encode(head(), outgoing.message));
  for (const auto& result : output.results) {
    if (result.token == ~0ull)
      failover_.finish_proposal();
    if (result.token == ~0ull - 1)
      shard_migration_.finish_proposal();
    PendingCalls::Call* call = calls_.find(result.token);
    if (!call)
      continue;
    if (result.verdict == RaftNode::Verdict::done)
      finish_call(result.token, true, result.state ? result.state->body : "");
    else if (call->sent_to == address_)
      call->sent_to.clear();
  }
}

void ControlLoop::on_commit(TimePoint now) {
  if (raft_.is_leader() != was_leader_) {
    was_leader_ = raft_.is_leader();
    LOG(INFO) << "agree: " << (was_leader_ ? "leads" : "follows") << " in term "
              << raft_.term().value;
  }
  if (!raft_.committed() || raft_.committed() == noted_)
    return;
  const bool is_new_version = !noted_ || noted_->version != raft_.committed()->version;
  if (!noted_ || noted_->members != raft_.committed()->members ||
      noted_->outgoing != raft_.committed()->outgoing) {
    std::string members;
    for (const Member& member : raft_.committed()->members)
      members += " " + member.address;
    LOG(INFO) << "agree: members" << members
              << (raft_.committed()->outgoing.empty() ? "" : ", joint with the former ones");
  }
  noted_ = raft_.committed();
  if (!is_new_version || noted_->version.value == 0)
    return;
  steps_.record(noted_->version, "committed", now);
  rollout_.commit(noted_->version, now);
  metrics().set(Metric::version, noted_->version.value);
  LOG(INFO) << "agree: edition " << noted_->version.value << " committed";
  ConfigurationSnapshot snapshot;
  if (Error found = read_configuration(noted_->body, snapshot)) {
    LOG(ERROR) << "agree: committed configuration unreadable: " << found.text();
    return;
  }
  configuration_ = std::move(snapshot);
  packed_ = pack(noted_->body);
  std::set<std::string> services;
  for (const Service& service : configuration_->services)
    services.insert(service.name);
  registry_.name_services(std::move(services));
  ordered_revision_ = ~0ull;
  for (auto& [from, broker] : brokers_)
    send_heartbeat(broker, false, now);
  if (!brokers_.empty())
    steps_.record(noted_->version, "sent", now);
}

}  // namespace saddlewing
