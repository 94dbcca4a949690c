#include "control_client/control_plane_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

#include "coordination/leases/handle_each.h"
#include "state/compression.h"

namespace saddlewing {
namespace {

constexpr Duration fetch_retry_interval{600},
    max_fetch_interval{2400};  // a body that did not come is asked for again, elsewhere
constexpr Duration source_grace{
    120};  // for the nearest registry to hold what a farther one tells of
constexpr std::size_t max_configuration_bytes = max_configuration;
constexpr Duration startup_request_interval{50};  // until it is ready
constexpr std::size_t max_trace_events = 64,
                      max_remote_brokers = 4;  // max_remote_brokers: of one region

}  // namespace

ControlPlaneClient::ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                                       std::function<void(ViewSnapshot)> publish_view,
                                       std::function<void(DelegationEvent)> notify_delegation)
    : settings_(settings),
      incarnation_(incarnation),
      address_(Address{settings.ip_address, settings.own_port}.text()),
      publish_view_(std::move(publish_view)),
      notify_delegation_(std::move(notify_delegation)),
      seeds_(4, [this] { waker_.wake(); }),
      delegation_messages_(1024, [this] { waker_.wake(); }),
      control_source_({settings.zone, settings.region, settings.follow, settings.unconfirmed_wait},
                      incarnation, Clock::now()),
      version_switch_(settings.rollout_wait * 2),
      started_at_(Clock::now()),
      trace_(max_trace_events) {
  seeds_.push(settings.contacts);
}

Error ControlPlaneClient::open() {
  return frame_server_.open(context_, Address{settings_.ip_address, settings_.own_port});
}
void ControlPlaneClient::start() {
  thread_ = std::thread([this] { run(); });
}

void ControlPlaneClient::stop() {
  should_stop_ = true;
  waker_.wake();
  if (thread_.joinable())
    thread_.join();
}

// One spoke to each registry that the feed knows of.
void ControlPlaneClient::connect_sources() {
  std::erase_if(links_,
                [&](const auto& link) { return !control_source_.sources().contains(link.first); });
  for (const auto& [address, source] : control_source_.sources()) {
    Address parsed;
    if (links_.contains(address) || !parse_address(address, parsed))
      continue;
    links_[address].client = std::make_unique<FrameClient>(context_, parsed);
    request_due_ = {};
  }
}

void ControlPlaneClient::request_from_leader() {
  for (const auto& [address, source] : control_source_.sources())
    if (control_source_.is_leader(source))
      send_request(address, false);
}

void ControlPlaneClient::run() {
  std::vector<void*> handles;
  while (!should_stop_) {
    for (const auto& contacts : seeds_.take()) {
      std::vector<std::string> seeds;
      for (const Address& contact : contacts)
        seeds.push_back(Address{contact.host, settings_.inner_port}.text());
      control_source_.set_seeds(std::move(seeds), Clock::now());
    }
    connect_sources();
    if (const std::uint64_t revision = confirmed_revision_; revision != notified_revision_) {
      notified_revision_ = revision;
      request_from_leader();
    }
    if (const std::uint64_t revision = ring_confirmed_; revision != ring_notified_) {
      ring_notified_ = revision;
      request_from_leader();
    }
    if (const TimePoint now = Clock::now(); now >= request_due_)
      send_requests(now);
    handles.assign({frame_server_.handle()});
    for (const auto& [address, link] : links_)
      handles.push_back(link.client->handle());
    for (const auto& [address, client] : delegates_)
      handles.push_back(client->handle());
    TimePoint due = version_switch_.is_switch_pending()
                        ? std::min(request_due_, version_switch_.activation_deadline())
                        : request_due_;
    if (requested_version_ > version_switch_.version_held())
      due = std::min(due, fetch_due_);
    wait_links(
        handles, waker_,
        std::clamp(std::chrono::ceil<Duration>(due - Clock::now()), Duration(0), Duration(1000)));
    for (auto& [address, link] : links_)
      handle_each(
          256, [&] { return link.client->receive(); }, Clock::now,
          [&](const ReceivedFrame& frame, TimePoint received_at) {
            handle_frame(frame, received_at);
          });
    const TimePoint now = Clock::now();
    handle_server_frames(now);
    relay_delegations();
    fetch(now);
    activate_version(now);
    update_readiness(now);
    if (is_view_outdated_)
      publish();
  }
}

void ControlPlaneClient::send_requests(TimePoint now) {
  control_source_.begin_requests(now);
  request_due_ = now + (is_ready_ ? settings_.follow : startup_request_interval);
  for (LeadershipEvidence& evidence : evidence_queue_.take())
    leadership_evidence_ = std::move(evidence);
  std::size_t position = 0;
  for (const auto& [address, source] : control_source_.sources())
    if (control_source_.should_request(address, ++position, is_ready_, now))
      send_request(address, false);
  select_source(now);
  endpoint_table_.erase_tombstones(now, tombstone_duration(settings_));
}

void ControlPlaneClient::select_source(TimePoint now) {
  if (const auto chosen = control_source_.select(now))
    send_request(*chosen, false);
}

void ControlPlaneClient::handle_frame(const ReceivedFrame& frame, TimePoint now) {
  ByteReader reader(frame.bytes);
  FrameHead head;
  if (!decode_head(reader, head))
    return;
  const auto found = links_.find(head.from);
  if (found == links_.end())
    return;
  bool is_good = false;
  if (head.kind == FrameKind::heartbeat) {
    ControlHeartbeat heartbeat;
    if ((is_good = decode(reader, heartbeat)))
      handle_heartbeat(head, found->second, heartbeat, now);
  } else if (head.kind == FrameKind::body) {
    ConfigurationPayload body;
    if ((is_good = decode(reader, body)))
      handle_configuration(std::move(body), now);
  } else if (head.kind == FrameKind::endpoints) {
    EndpointList endpoints;
    if ((is_good = decode(reader, endpoints)))
      handle_endpoints(found->second, head, endpoints, now);
  }
  if (!is_good) {
    LOG_EVERY_N(WARNING, 100) << "follow: frame dropped, foreign or damaged, from " << head.from;
  }
}

void ControlPlaneClient::handle_heartbeat(const FrameHead& head, RegistryLink& link,
                                          ControlHeartbeat& heartbeat, TimePoint now) {
  const bool was_confirmed = control_source_.is_confirmed(control_source_.selected(), now);
  const ControlSourceSelector::HeartbeatResult result =
      control_source_.handle_heartbeat(head.from, heartbeat, now);
  if (result.is_authoritative) {
    version_switch_.observe_in_force(heartbeat.in_force);
    if (notify_leadership_)
      handle_leadership_lease(heartbeat, *result.request_sent_at);
    if (notify_ring_)
      handle_ring(heartbeat, *result.request_sent_at);
    if (notify_edges_)
      handle_edges(heartbeat);
    if (heartbeat.grant_valid) {
      retry_quota_.update(static_cast<double>(heartbeat.grant) / 1000,
                          Duration(static_cast<std::int64_t>(
                              std::min<std::uint64_t>(heartbeat.grant_valid, 60000))),
                          *result.request_sent_at);
      if (now - quota_published_at_ >=
          settings_.follow * 2) {  // well before the one shown runs out
        quota_published_at_ = now;
        is_view_outdated_ = true;
      }
    }
  }
  if (result.request_sent_at && notify_samples_)
    handle_samples(link, head.incarnation, heartbeat, *result.request_sent_at, now);
  if (!is_ready_ || !was_confirmed)
    select_source(now);
  if (result.request_sent_at && heartbeat.is_confirmed) {
    if (head.from == control_source_.selected() &&
        heartbeat.brokers_revision != brokers_revision_ &&
        (heartbeat.brokers_revision == 0 || !heartbeat.seats.empty()))
      handle_broker_endpoints(heartbeat);
    if (heartbeat.brokers != brokers_) {
      brokers_ = std::max<std::uint64_t>(1, heartbeat.brokers);
      is_view_outdated_ = true;
    }
  }
  if (heartbeat.version > version_switch_.version_held())
    fetch(now);
  activate_version(now);
}

// Of each other region a few, spread by hash so that every broker is some others' choice.
void ControlPlaneClient::handle_broker_endpoints(const ControlHeartbeat& heartbeat) {
  brokers_revision_ = heartbeat.brokers_revision;
  std::map<std::string, std::vector<std::pair<std::size_t, BrokerEndpoint>>> by_region;
  for (const BrokerEndpoint& broker : heartbeat.seats)
    if (broker.region != settings_.region)
      by_region[broker.region].push_back(
          {std::hash<std::string>{}(address_ + broker.address), broker});
  std::vector<BrokerEndpoint> remote_brokers;
  for (auto& [region, choices] : by_region) {
    std::sort(choices.begin(), choices.end());
    if (choices.size() > max_remote_brokers)
      choices.resize(max_remote_brokers);
    for (auto& [hash, broker] : choices)
      remote_brokers.push_back(std::move(broker));
  }
  if (remote_brokers == remote_brokers_)
    return;
  remote_brokers_ = std::move(remote_brokers);
  is_view_outdated_ = true;
  std::erase_if(delegates_, [&](const auto& delegate) {
    return std::none_of(
        remote_brokers_.begin(), remote_brokers_.end(),
        [&](const BrokerEndpoint& broker) { return broker.address == delegate.first; });
  });
}

// Asks a registry that holds the newest version for its body: the feed, if it has it soon, else the
// one heard last.
void ControlPlaneClient::fetch(TimePoint now) {
  const std::pair<const std::string, ControlSource>* best = nullptr;
  const bool has_source = is_ready_ && !control_source_.selected().empty();
  const Version held = version_switch_.version_held();
  for (const auto& item : control_source_.sources()) {
    if (item.second.version <= held)
      continue;
    const auto rank = [&](const auto& one) {
      return std::tuple(one.second.version, one.first == control_source_.selected(),
                        one.second.last_contact);
    };
    if (!best || rank(item) > rank(*best))
      best = &item;
  }
  if (!best || now < fetch_due_)
    return;
  if (requested_version_ != best->second.version) {
    requested_version_ = best->second.version;
    fetch_interval_ = fetch_retry_interval;
    if (has_source && best->first != control_source_.selected()) {
      fetch_due_ = now + source_grace;
      return;
    }
  }
  fetch_due_ = now + fetch_interval_;
  fetch_interval_ = std::min(fetch_interval_ * 2,
                             max_fetch_interval);  // over a narrow link a body takes its time
  send_request(best->first, true);
}

void ControlPlaneClient::handle_configuration(ConfigurationPayload body, TimePoint now) {
  if (body.version <= version_switch_.version_held())
    return;  // never back within a life
  ConfigurationSnapshot snapshot;
  std::string text;
  if (!unpack(body.body, max_configuration_bytes, text)) {
    LOG(ERROR) << "follow: configuration damaged on its way";
    return;
  }
  if (Error found = read_configuration(text, snapshot)) {
    LOG(ERROR) << "follow: configuration unreadable: " << found.text();
    return;
  }
  version_switch_.prepare(std::move(snapshot), now);
  fetch_due_ = {};
  trace_.note(body.version, "held", now);
  LOG(INFO) << "follow: edition " << body.version.value << " held";
  activate_version(now);
  request_due_ = now;
}

void ControlPlaneClient::activate_version(TimePoint now) {
  if (!version_switch_.activate(is_ready_, now))
    return;
  is_view_outdated_ = true;
  trace_.note(version_switch_.serving()->version, "in force", now);
}

void ControlPlaneClient::handle_endpoints(RegistryLink& link, const FrameHead& head,
                                          const EndpointList& endpoints, TimePoint now) {
  if (link.incarnation !=
      head.incarnation.value) {  // another life there: only its whole roster counts
    if (!endpoints.is_complete)
      return;
    link.incarnation = head.incarnation.value;
  } else if (endpoints.base > link.revision) {
    return;  // a gap: the next follow tells what is held, and the rest comes again
  }
  for (const Endpoint& entry : endpoints.entries)
    is_view_outdated_ |= endpoint_table_.merge(entry, now);
  link.revision =
      endpoints.is_complete ? endpoints.revision : std::max(link.revision, endpoints.revision);
  control_source_.handle_endpoints(head.from);
}

void ControlPlaneClient::update_readiness(TimePoint now) {
  const ConfigurationSnapshot& serving = version_switch_.serving();
  if (is_ready_ || !serving)
    return;
  const ControlSourceSelector::Readiness readiness =
      control_source_.readiness(serving->version, now);
  if (readiness == ControlSourceSelector::Readiness::no)
    return;
  is_ready_ = is_view_outdated_ = true;
  LOG(INFO) << "follow: ready by edition " << serving->version.value
            << (readiness == ControlSourceSelector::Readiness::confirmed ? "" : ", unconfirmed");
}

void ControlPlaneClient::publish() {
  is_view_outdated_ = false;
  auto view = std::make_shared<View>();
  view->configuration = version_switch_.serving();
  view->is_ready = is_ready_;
  view->brokers = brokers_;
  view->remote_brokers = remote_brokers_;
  view->retry_quota = retry_quota_;
  const TimePoint now = Clock::now();
  for (const auto& [id, leased] : endpoint_table_.endpoints()) {
    if (leased.endpoint.phase == Phase::gone)
      continue;
    view->backends.push_back(leased.endpoint);
    view->backends.back().warm_left =
        leased.warm_until > now
            ? static_cast<std::uint64_t>(elapsed(now, leased.warm_until).count())
            : 0;
  }
  publish_view_(std::move(view));
}

void ControlPlaneClient::handle_server_frames(TimePoint now) {
  for (int count = 0; count < 512; ++count) {
    auto frame = frame_server_.receive();
    if (!frame)
      return;
    ByteReader reader(frame->bytes);
    FrameHead head;
    if (!decode_head(reader, head))
      continue;
    if (head.kind == FrameKind::aid) {
      DelegationRequested in{std::move(frame->routing_id), {}};
      if (decode(reader, in.request))
        notify_delegation_(std::move(in));
      continue;
    }
    if (head.kind != FrameKind::trace)
      continue;
    Traced traced;
    traced.node = settings_.node_name;
    traced.role = "broker";
    traced.held = version_switch_.version_held();
    traced.steps = trace_.tell(now);
    traced.registries = control_source_.registries();
    frame_server_.send(frame->routing_id,
                       encode({FrameKind::traced, incarnation_, address_}, traced));
  }
}

// Aids to other brokers, and outcomes of theirs. A spoke set up just now drops its first frame:
// that aid is lost.
void ControlPlaneClient::relay_delegations() {
  for (DelegationMessage& message : delegation_messages_.take()) {
    if (!message.token) {
      frame_server_.send(message.to, message.bytes);
      continue;
    }
    auto& client = delegates_[message.to];
    Address parsed;
    if (!client && parse_address(message.to, parsed))
      client = std::make_unique<FrameClient>(context_, parsed);
    if (!client || !client->send(message.bytes))
      notify_delegation_(DelegationLost{message.token});
  }
  for (const auto& [address, client] : delegates_)
    for (int count = 0; count < 256; ++count) {
      const auto frame = client->receive();
      if (!frame)
        break;
      ByteReader reader(frame->bytes);
      FrameHead head;
      DelegationResult in;
      if (decode_head(reader, head) && head.kind == FrameKind::aided && decode(reader, in.result))
        notify_delegation_(std::move(in));
    }
}

}  // namespace saddlewing
