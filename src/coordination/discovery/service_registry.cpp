#include "coordination/discovery/service_registry.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

TimePoint after(TimePoint now, std::uint64_t milliseconds) {
  return now + Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(milliseconds, 86400000)));
}
std::uint64_t remaining(TimePoint now, TimePoint until) {
  return until > now ? static_cast<std::uint64_t>(elapsed(now, until).count()) : 0;
}

}  // namespace

bool EndpointTable::merge(const Endpoint& entry, TimePoint now) {
  const auto [position, is_new] = endpoints_.try_emplace(entry.id);
  LeasedEndpoint& leased = position->second;
  if (is_new) {
    leased.endpoint = entry;
    leased.last_heartbeat = now;
    leased.warm_until = after(now, entry.warm_left);
    leased.lease_until = after(now, entry.lease_left);
    if (entry.phase == Phase::gone)
      leased.gone_at = now;
    mark_changed(leased);
    return true;
  }
  bool has_changed = false;
  if (entry.phase > leased.endpoint.phase) {
    leased.endpoint.phase = entry.phase;
    if (entry.phase == Phase::gone)
      leased.gone_at = now;
    has_changed = true;
  }
  if (entry.stamp > leased.endpoint.stamp) {
    has_changed = has_changed || entry.status != leased.endpoint.status ||
                  entry.is_leader != leased.endpoint.is_leader;
    leased.endpoint.is_leader = entry.is_leader;
    leased.endpoint.call_count = entry.call_count;
    leased.endpoint.status = entry.status;
    leased.endpoint.stamp = entry.stamp;
    leased.lease_until = after(now, entry.lease_left);
  } else if (entry.stamp == leased.endpoint.stamp) {
    leased.lease_until = std::max(leased.lease_until, after(now, entry.lease_left));
  }
  if (has_changed)
    mark_changed(leased);
  return has_changed;
}

void EndpointTable::erase_tombstones(TimePoint now, Duration tombstone) {
  std::erase_if(endpoints_, [&](const auto& item) {
    return item.second.endpoint.phase == Phase::gone && now - item.second.gone_at > tombstone;
  });
}

Endpoint EndpointTable::with_remaining_times(const LeasedEndpoint& leased, TimePoint now) const {
  Endpoint entry = leased.endpoint;
  entry.warm_left = remaining(now, leased.warm_until);
  entry.lease_left = remaining(now, leased.lease_until);
  return entry;
}

void ServiceRegistry::apply_listing(const std::vector<Endpoint>& listed, TimePoint now) {
  std::set<std::string> listed_ids;
  for (const Endpoint& entry : listed) {
    listed_ids.insert(entry.id);
    missed_listings_.erase(entry.id);
    const auto found = endpoints_.find(entry.id);
    if (found == endpoints_.end()) {  // the first appearance is its register
      Endpoint fresh = entry;
      fresh.status = entry.phase == Phase::ready ? Status::starting : Status::out_of_service;
      fresh.stamp = ++stamp_;
      fresh.lease_left = static_cast<std::uint64_t>(options_.lease_duration.count());
      merge(fresh, now);
    } else if (entry.phase >
               found->second.endpoint.phase) {  // its showing as emptying is its cancel
      found->second.endpoint.phase = entry.phase;
      set_status(found->second, Status::out_of_service);
    }
  }
  for (auto& [id, leased] : endpoints_) {
    if (leased.endpoint.phase == Phase::gone || listed_ids.contains(id))
      continue;
    if (++missed_listings_[id] < 2)
      continue;
    missed_listings_.erase(id);
    leased.endpoint.phase = Phase::gone;
    leased.gone_at = now;
    set_status(leased, Status::out_of_service);
  }
  is_filled_ = true;
}

void ServiceRegistry::renew(const std::string& id, TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || found->second.endpoint.phase != Phase::ready)
    return;
  LeasedEndpoint& leased = found->second;
  leased.lease_until = now + options_.lease_duration;
  renewed_this_period_.insert(id);
  if (leased.endpoint.status == Status::starting || leased.endpoint.status == Status::down)
    set_status(leased, Status::up);
}

void ServiceRegistry::handle_heartbeat(const Endpoint& entry, TimePoint now) {
  is_filled_ = true;
  Endpoint reported = entry;
  reported.status = reported.phase == Phase::ready ? Status::up : Status::out_of_service;
  reported.stamp = reported.call_count * 2;  // a sweep's DOWN stands between this call and the next
  reported.lease_left = static_cast<std::uint64_t>(options_.lease_duration.count());
  const auto found = endpoints_.find(entry.id);
  if (found != endpoints_.end() && reported.phase != Phase::gone &&
      reported.call_count <= found->second.endpoint.call_count)
    return;
  merge(reported, now);
  LeasedEndpoint& leased = endpoints_[entry.id];
  if (leased.endpoint.phase != Phase::ready && leased.endpoint.status != Status::out_of_service) {
    leased.endpoint.status = Status::out_of_service;
    mark_changed(leased);
  }
  leased.last_heartbeat = now;
  renewed_this_period_.insert(entry.id);
  pending_renewals_.insert(entry.id);
}

void ServiceRegistry::apply_renewal(const RenewedIds::Item& item, TimePoint now) {
  const auto found = endpoints_.find(item.id);
  if (found == endpoints_.end() || item.call_count <= found->second.endpoint.call_count)
    return;
  LeasedEndpoint& leased = found->second;
  const TimePoint when =
      now - Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(item.age, 60000)));
  leased.endpoint.call_count = item.call_count;
  leased.endpoint.stamp = std::max(leased.endpoint.stamp, item.call_count * 2);
  leased.last_heartbeat = std::max(leased.last_heartbeat, when);
  leased.lease_until = std::max(leased.lease_until, when + options_.lease_duration);
  renewed_this_period_.insert(item.id);
  const bool is_back =
      leased.endpoint.phase == Phase::ready && leased.endpoint.status == Status::down;
  if (is_back)
    leased.endpoint.status = Status::up;
  if (is_back || leased.endpoint.is_leader != item.is_leader)
    mark_changed(leased);
  leased.endpoint.is_leader =
      item.is_leader;  // with its count: else a role reported in between would be passed over
}

RenewedIds ServiceRegistry::take_renewals(TimePoint now) {
  RenewedIds renewed;
  for (const std::string& id : std::exchange(pending_renewals_, {}))
    if (const auto found = endpoints_.find(id);
        found != endpoints_.end() && found->second.endpoint.phase == Phase::ready)
      renewed.items.push_back({id, found->second.endpoint.call_count,
                               static_cast<std::uint64_t>(std::max<std::int64_t>(
                                   0, elapsed(found->second.last_heartbeat, now).count())),
                               found->second.endpoint.is_leader});
  return renewed;
}

void ServiceRegistry::run_eviction(TimePoint now) {
  if (now - period_start_ >= options_.renewal_interval) {
    renewed_last_period_ = std::move(renewed_this_period_);
    renewed_this_period_.clear();
    period_start_ = now;
  }
  if (now - last_eviction_ < options_.eviction_interval)
    return;
  last_eviction_ = now;
  std::size_t expected = 0, renewed = 0;
  for (const auto& [id, leased] : endpoints_) {
    if (leased.endpoint.phase != Phase::ready || leased.endpoint.status != Status::up ||
        !services_.contains(leased.endpoint.service))
      continue;
    ++expected;
    renewed += renewed_this_period_.contains(id) || renewed_last_period_.contains(id);
  }
  is_evicting_ =
      !options_.has_self_preservation ||
      static_cast<double>(renewed) >= options_.renewal_threshold * static_cast<double>(expected);
  if (is_evicting_)
    for (auto& [id, leased] : endpoints_)
      if (leased.endpoint.phase == Phase::ready && leased.endpoint.status == Status::up &&
          services_.contains(leased.endpoint.service) && leased.lease_until <= now) {
        if (options_.has_self_registration) {
          leased.endpoint.status = Status::down;
          leased.endpoint.stamp = leased.endpoint.call_count * 2 + 1;
          mark_changed(leased);
        } else {
          set_status(leased, Status::down);
        }
        ++eviction_count_;
      }
  erase_tombstones(now, options_.tombstone);
}

std::vector<ProbeTarget> ServiceRegistry::probe_targets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [id, leased] : endpoints_)
    if (leased.endpoint.phase == Phase::ready && services_.contains(leased.endpoint.service))
      targets.push_back({id, leased.endpoint.address, leased.endpoint.service,
                         leased.endpoint.status != Status::up});
  return targets;
}

EndpointList ServiceRegistry::changes_since(std::uint64_t revision, TimePoint now) const {
  EndpointList list;
  list.is_complete = revision == 0;
  list.is_filled = is_filled_;
  list.base = revision;
  list.revision = revision_;
  for (const auto& [id, leased] : endpoints_)
    if (leased.revision > revision)
      list.entries.push_back(with_remaining_times(leased, now));
  return list;
}

void ServiceRegistry::apply_replica(const EndpointList& list, TimePoint now) {
  for (const Endpoint& entry : list.entries) {
    merge(entry, now);
    stamp_ = std::max(stamp_, entry.stamp);
  }
  if (list.is_complete && list.is_filled)
    is_filled_ = true;
}

}  // namespace saddlewing
