#include "coordination/discovery/service_registry.h"
#include "protocol/discovery_messages.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration min_tombstone{60000};
constexpr std::uint64_t max_renewal_age_ms =
    60000;                              // an older renewal of a peer counts as this old
constexpr int listings_until_gone = 2;  // pages may shift between two calls of a list

// The stamp of a self-registered backend's heartbeat. The odd number after it belongs to an
// eviction, so that the next heartbeat wins over that.
std::uint64_t stamp_of_call(std::uint64_t call_count) {
  return call_count * 2;
}

std::uint64_t stamp_of_eviction(std::uint64_t call_count) {
  return call_count * 2 + 1;
}

}  // namespace

Duration tombstone_duration(const NodeSettings& settings) {
  return std::max(min_tombstone, settings.reuse_wait * 10);
}

void ServiceRegistry::set_status(LeasedEndpoint& leased, EndpointStatus status) {
  ++stamp_;
  leased.endpoint.status = status;
  leased.endpoint.status_revision = stamp_;
  mark_changed(leased);
}

void ServiceRegistry::set_services(std::set<std::string> services) {
  services_ = std::move(services);
}

void ServiceRegistry::set_stamp_base(std::uint64_t base) {
  stamp_ = std::max(stamp_, base);
}

void ServiceRegistry::apply_listed(const Endpoint& entry, TimePoint now) {
  missed_listings_.erase(entry.id);
  const auto found = endpoints_.find(entry.id);
  if (found == endpoints_.end()) {
    Endpoint registered = entry;
    registered.status = entry.phase == EndpointPhase::ready ? EndpointStatus::starting
                                                            : EndpointStatus::out_of_service;
    ++stamp_;
    registered.status_revision = stamp_;
    registered.lease_left = static_cast<std::uint64_t>(options_.lease_duration.count());
    merge(registered, now);
    return;
  }
  LeasedEndpoint& leased = found->second;
  if (entry.phase <= leased.endpoint.phase)
    return;
  leased.endpoint.phase = entry.phase;
  set_status(leased, EndpointStatus::out_of_service);
}

void ServiceRegistry::erase_unlisted(const std::set<std::string>& listed_ids, TimePoint now) {
  for (auto& [id, leased] : endpoints_) {
    if (leased.endpoint.phase == EndpointPhase::gone || listed_ids.contains(id))
      continue;
    int& missed = missed_listings_[id];
    ++missed;
    if (missed < listings_until_gone)
      continue;
    missed_listings_.erase(id);
    mark_gone(leased, now);
    set_status(leased, EndpointStatus::out_of_service);
  }
}

void ServiceRegistry::mark_gone(LeasedEndpoint& leased, TimePoint now) {
  leased.endpoint.phase = EndpointPhase::gone;
  leased.gone_at = now;
}

void ServiceRegistry::apply_listing(const std::vector<Endpoint>& listed, TimePoint now) {
  std::set<std::string> listed_ids;
  for (const Endpoint& entry : listed) {
    listed_ids.insert(entry.id);
    apply_listed(entry, now);
  }
  erase_unlisted(listed_ids, now);
  is_filled_ = true;
}

void ServiceRegistry::renew(const std::string& id, TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || found->second.endpoint.phase != EndpointPhase::ready)
    return;
  LeasedEndpoint& leased = found->second;
  leased.lease_until = now + options_.lease_duration;
  renewals_.record(id);
  const EndpointStatus status = leased.endpoint.status;
  if (status == EndpointStatus::starting || status == EndpointStatus::down)
    set_status(leased, EndpointStatus::up);
}

void ServiceRegistry::handle_heartbeat(const Endpoint& entry, TimePoint now) {
  is_filled_ = true;
  const auto found = endpoints_.find(entry.id);
  const bool is_late =
      found != endpoints_.end() && entry.call_count <= found->second.endpoint.call_count;
  if (is_late && entry.phase != EndpointPhase::gone)
    return;
  Endpoint reported = entry;
  reported.status =
      reported.phase == EndpointPhase::ready ? EndpointStatus::up : EndpointStatus::out_of_service;
  reported.status_revision = stamp_of_call(reported.call_count);
  reported.lease_left = static_cast<std::uint64_t>(options_.lease_duration.count());
  merge(reported, now);
  LeasedEndpoint& leased = endpoints_[entry.id];
  // A cancel may have come with a lower stamp than the entry; the phase decides.
  const bool is_cancelled = leased.endpoint.phase != EndpointPhase::ready;
  if (is_cancelled && leased.endpoint.status != EndpointStatus::out_of_service) {
    leased.endpoint.status = EndpointStatus::out_of_service;
    mark_changed(leased);
  }
  leased.last_heartbeat = now;
  renewals_.record(entry.id);
  pending_renewals_.insert(entry.id);
}

void ServiceRegistry::apply_renewal(const RenewedIds::Item& item, TimePoint now) {
  const auto found = endpoints_.find(item.id);
  if (found == endpoints_.end() || item.call_count <= found->second.endpoint.call_count)
    return;
  LeasedEndpoint& leased = found->second;
  Endpoint& endpoint = leased.endpoint;
  const std::uint64_t age = std::min(item.age, max_renewal_age_ms);
  const TimePoint renewed_at = now - Duration(static_cast<std::int64_t>(age));
  endpoint.call_count = item.call_count;
  endpoint.status_revision = std::max(endpoint.status_revision, stamp_of_call(item.call_count));
  leased.last_heartbeat = std::max(leased.last_heartbeat, renewed_at);
  leased.lease_until = std::max(leased.lease_until, renewed_at + options_.lease_duration);
  renewals_.record(item.id);
  const bool is_restored =
      endpoint.phase == EndpointPhase::ready && endpoint.status == EndpointStatus::down;
  if (is_restored)
    endpoint.status = EndpointStatus::up;
  if (is_restored || endpoint.is_leader != item.is_leader)
    mark_changed(leased);
  // The role travels with the call count: an entry with a lower count that brings it later is
  // ignored.
  endpoint.is_leader = item.is_leader;
}

RenewedIds ServiceRegistry::take_renewals(TimePoint now) {
  RenewedIds renewals;
  for (const std::string& id : std::exchange(pending_renewals_, {})) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.endpoint.phase != EndpointPhase::ready)
      continue;
    const LeasedEndpoint& leased = found->second;
    const Duration age = std::max(Duration(0), elapsed(leased.last_heartbeat, now));
    renewals.items.push_back({id, leased.endpoint.call_count,
                              static_cast<std::uint64_t>(age.count()), leased.endpoint.is_leader});
  }
  return renewals;
}

bool ServiceRegistry::is_serving(const LeasedEndpoint& leased) const {
  return leased.endpoint.phase == EndpointPhase::ready &&
         leased.endpoint.status == EndpointStatus::up &&
         services_.contains(leased.endpoint.service);
}

bool ServiceRegistry::has_enough_renewals() const {
  std::size_t expected = 0;
  std::size_t renewed = 0;
  for (const auto& [id, leased] : endpoints_) {
    if (!is_serving(leased))
      continue;
    ++expected;
    if (renewals_.contains(id))
      ++renewed;
  }
  return static_cast<double>(renewed) >= options_.renewal_threshold * static_cast<double>(expected);
}

void ServiceRegistry::evict(LeasedEndpoint& leased) {
  ++eviction_count_;
  if (!options_.has_self_registration)
    return set_status(leased, EndpointStatus::down);
  leased.endpoint.status = EndpointStatus::down;
  leased.endpoint.status_revision = stamp_of_eviction(leased.endpoint.call_count);
  mark_changed(leased);
}

void ServiceRegistry::end_superseded(TimePoint now) {
  if (!options_.has_self_registration)
    return;
  std::vector<LeasedEndpoint*> expired;
  for (auto& [id, leased] : endpoints_)
    if (leased.endpoint.phase != EndpointPhase::gone && leased.lease_until <= now)
      expired.push_back(&leased);
  if (expired.empty())
    return;
  std::map<std::string, TimePoint> last_renewals;  // by address, under leases that run
  for (const auto& [id, leased] : endpoints_) {
    if (leased.endpoint.phase == EndpointPhase::gone || leased.lease_until <= now)
      continue;
    TimePoint& last = last_renewals[leased.endpoint.address];
    last = std::max(last, leased.last_heartbeat);
  }
  for (LeasedEndpoint* leased : expired) {
    const auto last = last_renewals.find(leased->endpoint.address);
    if (last == last_renewals.end() || last->second <= leased->lease_until)
      continue;
    ++superseded_count_;
    mark_gone(*leased, now);
    leased->endpoint.status = EndpointStatus::out_of_service;
    mark_changed(*leased);
  }
}

void ServiceRegistry::run_eviction(TimePoint now) {
  renewals_.advance(now);
  if (now - last_eviction_ < options_.eviction_interval)
    return;
  last_eviction_ = now;
  end_superseded(now);
  is_evicting_ = !options_.has_self_preservation || has_enough_renewals();
  if (is_evicting_)
    for (auto& [id, leased] : endpoints_)
      if (is_serving(leased) && leased.lease_until <= now)
        evict(leased);
  erase_tombstones(now, options_.tombstone);
}

std::vector<ProbeTarget> ServiceRegistry::probe_targets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [id, leased] : endpoints_) {
    const Endpoint& endpoint = leased.endpoint;
    if (endpoint.phase != EndpointPhase::ready || !services_.contains(endpoint.service))
      continue;
    targets.push_back(
        {id, endpoint.address, endpoint.service, endpoint.status != EndpointStatus::up});
  }
  return targets;
}

EndpointList ServiceRegistry::changes_since(std::uint64_t revision, TimePoint now) const {
  EndpointList list;
  list.is_complete = revision == 0;
  list.is_filled = is_filled_;
  list.base_revision = revision;
  list.revision = revision_;
  for (const auto& [id, leased] : endpoints_)
    if (leased.revision > revision)
      list.entries.push_back(entry_to_send(leased, now));
  return list;
}

// Of a backend that is gone, what is left of its tombstone travels in place of its lease.
Endpoint ServiceRegistry::entry_to_send(const LeasedEndpoint& leased, TimePoint now) const {
  Endpoint entry = with_remaining_times(leased, now);
  if (entry.phase != EndpointPhase::gone)
    return entry;
  const Duration left = options_.tombstone - elapsed(leased.gone_at, now);
  entry.lease_left = static_cast<std::uint64_t>(std::max(left, Duration(0)).count());
  return entry;
}

// A backend that was not known here, or not any more, is remembered no longer than at the peer.
void ServiceRegistry::apply_tombstone(const Endpoint& entry, TimePoint now) {
  const auto longest = static_cast<std::uint64_t>(options_.tombstone.count());
  const Duration left(static_cast<std::int64_t>(std::min(entry.lease_left, longest)));
  if (left <= Duration(0))
    return;
  merge(entry, now);
  endpoints_.at(entry.id).gone_at = now - (options_.tombstone - left);
}

void ServiceRegistry::apply_replica(const EndpointList& list, TimePoint now) {
  for (const Endpoint& entry : list.entries) {
    if (entry.phase == EndpointPhase::gone && !endpoints_.contains(entry.id))
      apply_tombstone(entry, now);
    else
      merge(entry, now);
    stamp_ = std::max(stamp_, entry.status_revision);
  }
  if (list.is_complete && list.is_filled)
    is_filled_ = true;
}

}  // namespace saddlewing
