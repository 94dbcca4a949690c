#include "control_client/control_plane_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>

#include "control_client/lease_duration.h"
#include "coordination/discovery/service_registry.h"
#include "coordination/leases/handle_each.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"

namespace saddlewing {
namespace {

constexpr Duration startup_request_interval{50};  // until the process is ready
constexpr Duration max_wait{1000};
constexpr std::size_t max_frames_per_link = 256;  // in one turn of the loop
constexpr std::size_t max_queued_seeds = 4;
constexpr std::size_t max_trace_events = 64;

}  // namespace

ControlPlaneClient::ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                                       std::function<void(ViewSnapshot)> publish_view,
                                       std::function<void(DelegationEvent)> notify_delegation)
    : settings_(settings),
      incarnation_(incarnation),
      address_(Address{settings.ip_address, settings.own_port}.text()),
      publish_view_(std::move(publish_view)),
      seeds_(max_queued_seeds, [this] { waker_.wake(); }),
      control_source_({settings.zone, settings.region, settings.follow, settings.unconfirmed_wait},
                      incarnation, Clock::now()),
      version_switch_(settings.rollout_wait * 2),
      remote_brokers_(address_, settings.region),
      delegations_(
          context_, frame_server_, [this] { waker_.wake(); }, std::move(notify_delegation)),
      trace_(max_trace_events) {
  seeds_.replace(settings.contacts);
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

void ControlPlaneClient::take_seeds() {
  for (const std::vector<Address>& contacts : seeds_.take()) {
    std::vector<std::string> seeds;
    seeds.reserve(contacts.size());
    for (const Address& contact : contacts)
      seeds.push_back(Address{contact.host, settings_.inner_port}.text());
    control_source_.set_seeds(std::move(seeds), Clock::now());
  }
}

// One connection to each registry that the selector knows of.
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

// Waits for frames, wake-ups or the next thing that is due.
void ControlPlaneClient::wait() {
  std::vector<void*> handles{frame_server_.handle()};
  for (const auto& [address, link] : links_)
    handles.push_back(link.client->handle());
  delegations_.append_handles(handles);
  TimePoint due = request_due_;
  if (version_switch_.is_switch_pending())
    due = std::min(due, version_switch_.activation_deadline());
  if (fetcher_.is_waiting(version_switch_.version_held()))
    due = std::min(due, fetcher_.due());
  const Duration left = std::chrono::ceil<Duration>(due - Clock::now());
  wait_links(handles, waker_, std::clamp(left, Duration(0), max_wait));
}

void ControlPlaneClient::receive_frames() {
  for (auto& item : links_) {
    FrameClient& client = *item.second.client;
    handle_each(
        max_frames_per_link, [&] { return client.receive(); }, Clock::now,
        [&](const ReceivedFrame& frame, TimePoint received_at) {
          handle_frame(frame, received_at);
        });
  }
}

void ControlPlaneClient::run() {
  while (!should_stop_) {
    take_seeds();
    connect_sources();
    if (pooler_.take_confirmation())
      request_from_leader();
    if (ring_.take_confirmation())
      request_from_leader();
    if (const TimePoint now = Clock::now(); now >= request_due_)
      send_requests(now);
    wait();
    receive_frames();
    const TimePoint now = Clock::now();
    handle_server_frames(now);
    delegations_.relay();
    fetch_configuration(now);
    activate_version(now);
    update_readiness(now);
    if (is_view_outdated_)
      publish();
  }
}

void ControlPlaneClient::send_requests(TimePoint now) {
  control_source_.begin_requests(now);
  request_due_ = now + (is_ready_ ? settings_.follow : startup_request_interval);
  pooler_.update_evidence();
  std::size_t position = 0;
  for (const auto& [address, source] : control_source_.sources()) {
    ++position;
    if (control_source_.should_request(address, position, is_ready_, now))
      send_request(address, false);
  }
  select_source(now);
  endpoint_table_.erase_tombstones(now, tombstone_duration(settings_));
}

void ControlPlaneClient::request_from_leader() {
  for (const auto& [address, source] : control_source_.sources())
    if (control_source_.is_leader(source))
      send_request(address, false);
}

void ControlPlaneClient::select_source(TimePoint now) {
  if (const auto selected = control_source_.select(now))
    send_request(*selected, false);
}

void ControlPlaneClient::fetch_configuration(TimePoint now) {
  const bool has_source = is_ready_ && !control_source_.selected().empty();
  const Version held = version_switch_.version_held();
  if (const auto address = fetcher_.next(control_source_, held, has_source, now))
    send_request(*address, true);
}

void ControlPlaneClient::send_request(const std::string& address, bool wants_body) {
  const auto found = links_.find(address);
  const auto source = control_source_.sources().find(address);
  if (found == links_.end() || source == control_source_.sources().end())
    return;
  const RegistryLink& link = found->second;
  const bool is_selected = address == control_source_.selected();
  const bool is_leader = control_source_.is_leader(source->second);
  SubscribeRequest request;
  request.version = version_switch_.version_held();
  request.endpoints_incarnation = link.incarnation;
  request.endpoints_revision = link.revision;
  request.wants_configuration = wants_body;
  request.wants_endpoints = is_selected;
  request.region = settings_.region;
  request.is_ready = is_ready_ && !is_leaving_;
  request.brokers_revision = remote_brokers_.revision();
  request.token = control_source_.last_token();
  ring_.add_to(request, is_leader);
  edges_.add_to(request, is_selected);
  pooler_.add_to(request, settings_.zone, link.echo, is_leader, is_selected);
  link.client->send(encode({FrameKind::subscribe, incarnation_, address_}, request));
}

void ControlPlaneClient::activate_version(TimePoint now) {
  if (!version_switch_.activate(is_ready_, now))
    return;
  is_view_outdated_ = true;
  trace_.record(version_switch_.serving()->version, "in force", now);
}

void ControlPlaneClient::update_readiness(TimePoint now) {
  const ConfigurationSnapshot& serving = version_switch_.serving();
  if (is_ready_ || !serving)
    return;
  using Readiness = ControlSourceSelector::Readiness;
  const Readiness readiness = control_source_.readiness(serving->version, now);
  if (readiness == Readiness::no)
    return;
  is_ready_ = true;
  is_view_outdated_ = true;
  LOG(INFO) << "follow: ready by edition " << serving->version.value
            << (readiness == Readiness::confirmed ? "" : ", unconfirmed");
}

void ControlPlaneClient::publish() {
  is_view_outdated_ = false;
  auto view = std::make_shared<View>();
  view->configuration = version_switch_.serving();
  view->is_ready = is_ready_;
  view->brokers = broker_count_;
  view->remote_brokers = remote_brokers_.chosen();
  view->retry_quota = retry_quota_;
  const TimePoint now = Clock::now();
  for (const auto& [id, leased] : endpoint_table_.endpoints()) {
    if (leased.endpoint.phase == EndpointPhase::gone)
      continue;
    Endpoint backend = leased.endpoint;
    const bool is_warming_up = leased.warm_until > now;
    const Duration warm_left = is_warming_up ? elapsed(now, leased.warm_until) : Duration(0);
    backend.warmup_left = static_cast<std::uint64_t>(warm_left.count());
    view->backends.push_back(std::move(backend));
  }
  publish_view_(std::move(view));
}

}  // namespace saddlewing
