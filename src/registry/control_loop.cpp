#include "registry/control_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration max_wait{100};

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

}  // namespace

ControlLoop::ControlLoop(const NodeSettings& settings, PersistentState persistent,
                         IncarnationId incarnation)
    : settings_(settings),
      incarnation_(incarnation),
      address_(Address{settings.ip_address, settings.inner_port}.text()),
      links_(context_, address_),
      events_(4096, [this] { waker_.wake(); }),
      contacts_(4, [this] { waker_.wake(); }),
      raft_(std::move(persistent), raft_options(settings, incarnation, address_),
            inner_addresses(settings.contacts, settings.inner_port), Clock::now()),
      raft_context_(raft_, incarnation, address_, should_leave_),
      discovery_service_(settings_, raft_context_, links_, *this),
      failover_service_(settings_, raft_context_, discovery_service_.registry(), *this),
      ring_service_(settings_, raft_context_, discovery_service_.registry(), *this),
      broker_directory_(incarnation),
      broker_count_memory_(raft_context_, Clock::now()),
      configuration_service_(settings_, raft_context_, links_, *this),
      endpoint_publisher_(raft_context_, discovery_service_.registry(), broker_directory_,
                          reply_sender_),
      edge_latency_service_(settings_, raft_context_, links_, *this),
      grants_(settings.extra_tries, settings.follow * 5, settings.retry_span) {
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

void ControlLoop::run() {
  TimePoint leave_by = TimePoint::max();
  std::vector<void*> handles;
  while (Clock::now() < leave_by) {
    const auto addresses = raft_.known_addresses();
    for (const std::string& address : addresses)
      links_.connect(address);
    links_.retain([&](const std::string& address) {
      return std::find(addresses.begin(), addresses.end(), address) != addresses.end() ||
             discovery_service_.knows_peer(address);
    });
    handles.assign({frame_server_.handle()});
    links_.append_handles(handles);
    const Duration wait =
        std::clamp(std::chrono::ceil<Duration>(
                       std::min(raft_.next_due(), discovery_service_.next_due()) - Clock::now()),
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
    links_.discard_received();
    raft_.tick(now);
    configuration_service_.route_calls(now);
    handle_output(now);
    log_raft_changes();
    configuration_service_.take_committed(now);
    if (discovery_service_.tick(now))
      update_metrics();
    discovery_service_.send_renewals(now);
    failover_service_.tick(now);
    ring_service_.tick(now);
    edge_latency_service_.tick(now);
    grants_.lead(raft_.is_leader() && raft_.is_confirmed(now), now);
    dispatcher_->set_lease(raft_.term(), raft_.lease_until());
    maintain_brokers(now);
    endpoint_publisher_.tick(now);
    configuration_service_.advance_rollout(now);
    handle_output(now);
    if (should_leave_ && leave_by == TimePoint::max()) {
      if (!std::exchange(is_leaving_, true))
        LOG(INFO) << "agree: leaving";
      raft_.leave(now);
      handle_output(now);
      if (raft_.has_left())
        leave_by = now + operator_call_timeout;
    }
    // Calls at work are answered first, by whoever leads now.
    if (leave_by != TimePoint::max() && !configuration_service_.has_waiting_calls() &&
        now > leave_by - operator_call_timeout + 200ms)
      break;
  }
  has_left_ = true;
}

void ControlLoop::handle_event(ControlEvent& event, TimePoint now) {
  if (auto* call = std::get_if<OperatorCall>(&event)) {
    configuration_service_.handle_operator_call(std::move(*call), now);
  } else if (const auto* saved = std::get_if<Saved>(&event)) {
    raft_.finish_save(saved->serial, saved->is_saved, now);
  } else if (const auto* listed = std::get_if<Listed>(&event)) {
    discovery_service_.handle_listing(listed->entries, now);
  } else if (const auto* renewed = std::get_if<Renewed>(&event)) {
    if (!renewed->id.empty())
      discovery_service_.handle_probe_reply(renewed->id, now);
  } else if (auto* backend = std::get_if<BackendCall>(&event)) {
    handle_backend_call(*backend, now);
  } else if (const auto* examined = std::get_if<Examined>(&event)) {
    failover_service_.finish_order(examined->token, examined->status, now);
  } else if (const auto* told = std::get_if<NodeTold>(&event)) {
    ring_service_.finish_order(told->token, told->answer);
  } else if (const auto* promoted = std::get_if<PromotionResult>(&event)) {
    failover_service_.finish_promotion(promoted->token, promoted->status, now);
  }
}

void ControlLoop::handle_backend_call(const BackendCall& call, TimePoint now) {
  std::optional<std::string> reply = discovery_service_.handle_backend_call(call.entry, now);
  const bool is_done = reply.has_value();
  operator_api_->tell({call.token, is_done, std::move(reply).value_or(std::string())});
}

void ControlLoop::update_metrics() const {
  metrics().set(Metric::brokers, static_cast<std::int64_t>(broker_directory_.size()));
  metrics().set(Metric::leaderships, raft_.is_leader());
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
      case FrameKind::forward: {
        ForwardedCall forward;
        if ((is_good = decode(reader, forward)))
          configuration_service_.handle_forwarded_call(head, std::move(forward), now);
        break;
      }
      case FrameKind::forwarded: {
        ForwardedReply forwarded;
        if ((is_good = decode(reader, forwarded)))
          configuration_service_.handle_forwarded_reply(head, std::move(forwarded));
        break;
      }
      case FrameKind::follow: {
        SubscribeRequest follow;
        if ((is_good = decode(reader, follow)))
          handle_subscribe(frame.routing_id, head, follow, now);
        break;
      }
      case FrameKind::endpoints: {
        EndpointList endpoints;
        if ((is_good = decode(reader, endpoints)))
          discovery_service_.handle_endpoints(head, endpoints, now);
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
          edge_latency_service_.handle_sums(sums, now);
        break;
      }
      case FrameKind::edge_view: {
        EdgeViewFrame frame;
        if ((is_good = decode(reader, frame)))
          edge_latency_service_.handle_view(head, frame, now);
        break;
      }
      case FrameKind::renewed: {
        RenewedIds renewed;
        if ((is_good = decode(reader, renewed)))
          discovery_service_.handle_renewals(renewed, now);
        break;
      }
      case FrameKind::trace:
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

void ControlLoop::handle_output(TimePoint now) {
  RaftNode::Output output = raft_.take(now);
  if (output.save && !storage_->save(std::move(*output.save)))
    LOG(ERROR) << "agree: disk thread is behind";
  for (const auto& outgoing : output.messages)
    links_.send_to(outgoing.to, encode(head(), outgoing.message));
  for (const auto& result : output.results) {
    if (result.token == leadership_proposal_token)
      failover_service_.finish_proposal();
    if (result.token == ring_proposal_token)
      ring_service_.finish_proposal();
    configuration_service_.handle_result(result);
  }
}

void ControlLoop::log_raft_changes() {
  if (raft_.is_leader() != was_leader_) {
    was_leader_ = raft_.is_leader();
    LOG(INFO) << "agree: " << (was_leader_ ? "leads" : "follows") << " in term "
              << raft_.term().value;
  }
  const EntrySnapshot& committed = raft_.committed();
  if (!committed || committed == logged_entry_)
    return;
  if (!logged_entry_ || logged_entry_->members != committed->members ||
      logged_entry_->outgoing != committed->outgoing) {
    std::string members;
    for (const Member& member : committed->members)
      members += " " + member.address;
    LOG(INFO) << "agree: members" << members
              << (committed->outgoing.empty() ? "" : ", joint with the former ones");
  }
  logged_entry_ = committed;
}

}  // namespace saddlewing
