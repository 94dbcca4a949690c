#include "registry/discovery_service.h"

#include <glog/logging.h>

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "protocol/discovery_messages.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration tick_interval{100};
constexpr Duration renewals_interval{400};
constexpr int term_shift = 32;  // status stamps: the term above, a count below

ServiceRegistryOptions service_registry_options(const NodeSettings& settings) {
  ServiceRegistryOptions options;
  options.renewal_interval = settings.renewal;
  options.lease_duration = settings.lease;
  options.eviction_interval = settings.sweep;
  options.renewal_threshold = settings.renewal_threshold;
  options.has_self_preservation = settings.is_preserving;
  options.tombstone = tombstone_duration(settings);
  options.has_self_registration = settings.is_signing_up;
  return options;
}

}  // namespace

DiscoveryService::DiscoveryService(const NodeSettings& settings, ControlContext& context,
                                   PeerSender& peers, DiscoveryEnvironment& environment)
    : settings_(settings),
      context_(context),
      peers_(peers),
      environment_(environment),
      registry_(service_registry_options(settings)),
      replication_(settings, context, peers, registry_) {
}

void DiscoveryService::handle_listing(const std::vector<Endpoint>& entries, TimePoint now) {
  if (is_observing_)
    registry_.apply_listing(entries, now);
}

void DiscoveryService::handle_probe_reply(const std::string& id, TimePoint now) {
  if (is_observing_)
    registry_.renew(id, now);
}

std::optional<std::string> DiscoveryService::handle_backend_call(const Endpoint& entry,
                                                                 TimePoint now) {
  // A cancel that only a registry cut off from the others holds would be acknowledged and not
  // followed.
  const bool is_cancel = entry.phase != EndpointPhase::ready;
  if (!settings_.is_signing_up || (is_cancel && !context_.is_confirmed(now)))
    return std::nullopt;
  registry_.handle_heartbeat(entry, now);
  if (is_cancel)
    next_due_ = now;  // the others hear of it at once
  if (is_cancel || entry.zone == settings_.zone)
    return "{}\n";
  // A registry in the backend's own zone is nearer to it.
  const auto host = replication_.find_host_in_zone(entry.zone, now);
  if (!host)
    return "{}\n";
  return "{\"next_beat_to\":\"" + Address{*host, settings_.control.port}.text() + "\"}\n";
}

void DiscoveryService::handle_renewals(const RenewedIds& renewals, TimePoint now) {
  for (const RenewedIds::Item& item : renewals.items)
    registry_.apply_renewal(item, now);
}

void DiscoveryService::handle_configuration(const Configuration& configuration) {
  std::set<std::string> services;
  for (const Service& service : configuration.services)
    services.insert(service.name);
  registry_.set_services(std::move(services));
  ordered_revision_ = no_revision;
}

void DiscoveryService::send_renewals(TimePoint now) {
  if (!settings_.is_signing_up || now < renewals_due_)
    return;
  renewals_due_ = now + renewals_interval;
  const RenewedIds renewals = registry_.take_renewals(now);
  if (renewals.items.empty())
    return;
  const std::string bytes = encode(context_.frame_head(), renewals);
  for (const std::string& address : context_.known_addresses())
    peers_.send_to(address, bytes);
}

bool DiscoveryService::tick(TimePoint now) {
  if (now < next_due_)
    return false;
  next_due_ = now + tick_interval;
  replication_.forget_disconnected();
  const bool was_observing = is_observing_;
  start_or_stop_observing(now);
  update_metrics();
  expire(now);
  if (was_observing != is_observing_ || ordered_revision_ != registry_.revision())
    set_monitor_targets();
  replication_.send_changes(is_observing_, now);
  return true;
}

// The leader observes the platform and the backends; others do so only while they hear of nobody
// who does.
bool DiscoveryService::should_observe(TimePoint now) const {
  return context_.is_leader() ||
         (!settings_.is_signing_up && !replication_.is_observed_elsewhere(now));
}

void DiscoveryService::start_or_stop_observing(TimePoint now) {
  const bool was_observing = std::exchange(is_observing_, should_observe(now));
  if (was_observing || !is_observing_)
    return;
  registry_.set_stamp_base(context_.term().value << term_shift);
  LOG(INFO) << "registry: observes the platform";
}

void DiscoveryService::update_metrics() const {
  std::int64_t up_count = 0;
  for (const auto& [id, leased] : registry_.endpoints())
    up_count += leased.endpoint.status == EndpointStatus::up;
  metrics().set(Metric::backends_up, up_count);
  metrics().set(Metric::evictions, static_cast<std::int64_t>(registry_.eviction_count()));
}

void DiscoveryService::expire(TimePoint now) {
  if (!is_observing_)
    return registry_.erase_tombstones(now, tombstone_duration(settings_));
  const bool was_evicting = registry_.is_evicting();
  const std::size_t superseded_before = registry_.superseded_count();
  registry_.run_eviction(now);
  if (registry_.superseded_count() > superseded_before)
    LOG(INFO) << "registry: " << registry_.superseded_count() - superseded_before
              << " ended without a word, others began at their addresses";
  if (was_evicting != registry_.is_evicting())
    LOG(WARNING) << "registry: "
                 << (registry_.is_evicting() ? "evicts again"
                                             : "preserves itself, too few renewals");
}

void DiscoveryService::set_monitor_targets() {
  ordered_revision_ = registry_.revision();
  auto order = std::make_shared<MonitorTargets>();
  // Backends that call themselves need not be listed or probed.
  order->is_observing = is_observing_ && !settings_.is_signing_up;
  const ConfigurationSnapshot& configuration = environment_.configuration();
  if (configuration && order->is_observing) {
    std::map<std::string, std::string> health_paths;
    for (const Service& service : configuration->services)
      health_paths[service.name] = service.health_path;
    for (const ProbeTarget& target : registry_.probe_targets())
      if (const auto found = health_paths.find(target.service); found != health_paths.end())
        order->targets.push_back({target.id, target.address, found->second, target.is_awaited});
  }
  environment_.set_monitor_targets(std::move(order));
}

}  // namespace saddlewing
