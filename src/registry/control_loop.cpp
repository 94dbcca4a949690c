#include "registry/control_loop.h"

#include <glog/logging.h>

#include "coordination/leases/handle_each.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "protocol/raft_messages.h"
#include "protocol/ring_messages.h"

#include <algorithm>
#include <utility>

#include "registry/sent_bytes.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration max_wait{100};        // for input, in one round
constexpr Duration min_leave_wait{200};  // between having left and the end, without waiting calls
constexpr Duration foreign_log_interval{1000};
constexpr Duration sent_log_interval{30000};
constexpr std::size_t max_frames_per_round = 512;
constexpr std::size_t max_events = 4096;  // that wait
constexpr std::size_t max_contact_lists = 4;
constexpr int quota_follows = 5;  // a retry quota lasts so many intervals between subscriptions

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
  options.heartbeat_interval = settings.heartbeat;
  options.election_timeout = settings.election;
  options.random_seed = incarnation.value;
  options.voter_count = static_cast<std::uint32_t>(settings.can_lose) * 2 + 1;
  options.voter_timeout = replacement_timeout(settings.catch_up, settings.election);
  options.leave_timeout = std::min(settings.catch_up / 2, settings.grace / 3);
  return options;
}

// Decodes the rest of a frame and hands it to `handle`; false if it is damaged.
template <class Body, class Handle>
bool decode_and_handle(ByteReader& reader, Handle&& handle) {
  Body body;
  if (!decode(reader, body))
    return false;
  handle(std::move(body));
  return true;
}

}  // namespace

ControlLoop::ControlLoop(const NodeSettings& settings, PersistentState persistent,
                         IncarnationId incarnation)
    : settings_(settings),
      address_(Address{settings.ip_address, settings.inner_port}.text()),
      links_(link_context_, address_),
      events_(max_events, [this] { waker_.wake(); }),
      contacts_(max_contact_lists, [this] { waker_.wake(); }),
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
      retry_quotas_(settings.extra_tries, settings.follow * quota_follows, settings.retry_span) {
}

Error ControlLoop::open() {
  return frame_server_.open(link_context_, Address{settings_.ip_address, settings_.inner_port});
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
  while (Clock::now() < leave_by_) {
    update_peer_links();
    wait_for_input();
    receive();
    const TimePoint now = Clock::now();
    links_.discard_received();
    advance(now);
    if (should_leave_ && leave_by_ == TimePoint::max())
      leave_cluster(now);
    if (may_stop(now))
      break;
  }
  has_left_ = true;
}

void ControlLoop::update_peer_links() {
  const std::vector<std::string> addresses = raft_.known_addresses();
  for (const std::string& address : addresses)
    links_.connect(address);
  links_.retain([&](const std::string& address) {
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end() ||
           discovery_service_.knows_peer(address);
  });
}

void ControlLoop::wait_for_input() {
  handles_.assign({frame_server_.handle()});
  links_.append_handles(handles_);
  const TimePoint due = std::min(raft_.next_due(), discovery_service_.next_due());
  const auto until_due = std::chrono::ceil<Duration>(due - Clock::now());
  wait_links(handles_, waker_, std::clamp(until_due, Duration(0), max_wait));
}

void ControlLoop::receive() {
  for (ControlEvent& event : events_.take())
    handle_event(event, Clock::now());
  for (auto& contacts : contacts_.take())
    raft_.set_contacts(std::move(contacts));
  handle_each(
      max_frames_per_round, [&] { return frame_server_.receive(); }, Clock::now,
      [&](const ReceivedFrame& frame, TimePoint received_at) { handle_frame(frame, received_at); });
}

// One round. The order is part of the behaviour: what is committed is taken before anything is
// decided by it, and what was proposed in this round leaves within it.
void ControlLoop::advance(TimePoint now) {
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
  retry_quotas_.set_leading(raft_.is_leader() && raft_.is_confirmed(now), now);
  dispatcher_->set_lease(raft_.term(), raft_.lease_until());
  maintain_brokers(now);
  endpoint_publisher_.tick(now);
  log_sent_bytes(now);
  configuration_service_.advance_rollout(now);
  handle_output(now);
}

void ControlLoop::leave_cluster(TimePoint now) {
  if (!std::exchange(is_leaving_, true))
    LOG(INFO) << "agree: leaving";
  raft_.leave(now);
  handle_output(now);
  if (raft_.has_left())
    leave_by_ = now + operator_call_timeout;
}

// Calls at work are answered first, by whoever leads now.
bool ControlLoop::may_stop(TimePoint now) const {
  return leave_by_ != TimePoint::max() && !configuration_service_.has_waiting_calls() &&
         now > leave_by_ - operator_call_timeout + min_leave_wait;
}

void ControlLoop::handle_event(ControlEvent& event, TimePoint now) {
  if (auto* call = std::get_if<OperatorCall>(&event)) {
    configuration_service_.handle_operator_call(std::move(*call), now);
  } else if (const auto* saved = std::get_if<StorageResult>(&event)) {
    raft_.handle_save_result(saved->serial, saved->is_saved, now);
  } else if (const auto* listed = std::get_if<BackendListing>(&event)) {
    discovery_service_.handle_listing(listed->entries, now);
  } else if (const auto* renewed = std::get_if<ProbeReply>(&event)) {
    if (!renewed->id.empty())
      discovery_service_.handle_probe_reply(renewed->id, now);
  } else if (auto* backend = std::get_if<BackendCall>(&event)) {
    handle_backend_call(*backend, now);
  } else if (const auto* examined = std::get_if<DatabaseReply>(&event)) {
    failover_service_.finish_order(examined->token, examined->status, now);
  } else if (const auto* told = std::get_if<NodeReply>(&event)) {
    ring_service_.finish_order(told->token, told->answer);
  } else if (const auto* promoted = std::get_if<PromotionResult>(&event)) {
    failover_service_.finish_promotion(promoted->token, promoted->status, now);
  }
}

void ControlLoop::handle_backend_call(const BackendCall& call, TimePoint now) {
  std::optional<std::string> reply = discovery_service_.handle_backend_call(call.entry, now);
  const bool is_done = reply.has_value();
  operator_api_->post_reply({call.token, is_done, std::move(reply).value_or(std::string())});
}

void ControlLoop::update_metrics() const {
  metrics().set(Metric::known_brokers, static_cast<std::int64_t>(broker_directory_.size()));
  metrics().set(Metric::is_leader, raft_.is_leader());
}

void ControlLoop::handle_frame(const ReceivedFrame& frame, TimePoint now) {
  ByteReader reader(frame.bytes);
  FrameHead head;
  if (decode_head(reader, head) && (handle_peer_frame(head, reader, now) ||
                                    handle_client_frame(frame.routing_id, head, reader, now)))
    return;
  metrics().add(Metric::dropped_frames);
  if (now - foreign_logged_ < foreign_log_interval)
    return;
  foreign_logged_ = now;
  LOG(WARNING) << "agree: frame dropped, foreign or damaged; "
               << metrics().get(Metric::dropped_frames) << " so far";
}

// Frames of other registries. False if it is none of them, or damaged.
bool ControlLoop::handle_peer_frame(const FrameHead& head, ByteReader& reader, TimePoint now) {
  switch (head.kind) {
    case FrameKind::raft:
      return handle_raft_frame(head, reader, now);
    case FrameKind::forwarded_call:
      return decode_and_handle<ForwardedCall>(reader, [&](ForwardedCall call) {
        configuration_service_.handle_forwarded_call(head, std::move(call), now);
      });
    case FrameKind::forwarded_reply:
      return decode_and_handle<ForwardedReply>(reader, [&](ForwardedReply reply) {
        configuration_service_.handle_forwarded_reply(head, std::move(reply));
      });
    case FrameKind::endpoint_list:
      return decode_and_handle<EndpointList>(reader, [&](const EndpointList& endpoints) {
        discovery_service_.handle_endpoints(head, endpoints, now);
      });
    case FrameKind::renewed_ids:
      return decode_and_handle<RenewedIds>(reader, [&](const RenewedIds& renewals) {
        discovery_service_.handle_renewals(renewals, now);
      });
    case FrameKind::edge_sums:
      return decode_and_handle<EdgeSums>(
          reader, [&](const EdgeSums& sums) { edge_latency_service_.handle_sums(sums, now); });
    case FrameKind::edge_view:
      return decode_and_handle<EdgeViewFrame>(reader, [&](const EdgeViewFrame& view) {
        edge_latency_service_.handle_view(head, view, now);
      });
    default:
      return false;
  }
}

bool ControlLoop::handle_raft_frame(const FrameHead& head, ByteReader& reader, TimePoint now) {
  RaftMessage message;
  if (!decode(reader, message) || message.address != head.from)
    return false;
  raft_.receive(message, now);
  return true;
}

// Frames of brokers, poolers and operators' tools. False if it is none of them, or damaged.
bool ControlLoop::handle_client_frame(const std::string& routing_id, const FrameHead& head,
                                      ByteReader& reader, TimePoint now) {
  switch (head.kind) {
    case FrameKind::subscribe:
      return decode_and_handle<SubscribeRequest>(reader, [&](const SubscribeRequest& request) {
        handle_subscribe(routing_id, head, request, now);
      });
    case FrameKind::ring_call:
      return decode_and_handle<RingCall>(
          reader, [&](const RingCall& call) { handle_ring_call(routing_id, call, now); });
    case FrameKind::trace_request:
      handle_trace(routing_id, now);
      return true;
    case FrameKind::cluster_status_request:
      send_status(routing_id, now);
      return true;
    default:
      return false;
  }
}

void ControlLoop::handle_output(TimePoint now) {
  RaftNode::Output output = raft_.take_output(now);
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

bool ControlLoop::dispatch(DispatchedCommand command) {
  return dispatcher_->order(std::move(command));
}

void ControlLoop::reply_to_operator(OperatorReply reply) {
  operator_api_->post_reply(std::move(reply));
}

void ControlLoop::set_monitor_targets(MonitorTargetsSnapshot targets) {
  backend_monitor_->set_targets(std::move(targets));
}

void ControlLoop::log_sent_bytes(TimePoint now) {
  if (now - sent_logged_ < sent_log_interval)
    return;
  if (sent_logged_ != TimePoint{})
    LOG(INFO) << "agree: bytes sent so far:" << sent_bytes().text();
  sent_logged_ = now;
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
