#include "coordination/discovery/service_registry.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

TimePoint after(TimePoint now, std::uint64_t milliseconds) {
  return now + Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(milliseconds, 86400000)));
}
std::uint64_t left(TimePoint now, TimePoint until) {
  return until > now ? static_cast<std::uint64_t>(elapsed(now, until).count()) : 0;
}

}  // namespace

bool EndpointTable::merge(const Endpoint& entry, TimePoint now) {
  const auto [position, is_new] = lines_.try_emplace(entry.id);
  Line& line = position->second;
  if (is_new) {
    line.entry = entry;
    line.last_heartbeat = now;
    line.warm_until = after(now, entry.warmup_left);
    line.lease_until = after(now, entry.lease_left);
    if (entry.phase == EndpointPhase::gone)
      line.gone_at = now;
    touch(line);
    return true;
  }
  bool has_changed = false;
  if (entry.phase > line.entry.phase) {
    line.entry.phase = entry.phase;
    if (entry.phase == EndpointPhase::gone)
      line.gone_at = now;
    has_changed = true;
  }
  if (entry.status_revision > line.entry.status_revision) {
    has_changed =
        has_changed || entry.status != line.entry.status || entry.is_leader != line.entry.is_leader;
    line.entry.is_leader = entry.is_leader;
    line.entry.call_count = entry.call_count;
    line.entry.status = entry.status;
    line.entry.status_revision = entry.status_revision;
    line.lease_until = after(now, entry.lease_left);
  } else if (entry.status_revision == line.entry.status_revision) {
    line.lease_until = std::max(line.lease_until, after(now, entry.lease_left));
  }
  if (has_changed)
    touch(line);
  return has_changed;
}

void EndpointTable::forget_gone(TimePoint now, Duration tombstone) {
  std::erase_if(lines_, [&](const auto& item) {
    return item.second.entry.phase == EndpointPhase::gone && now - item.second.gone_at > tombstone;
  });
}

Endpoint EndpointTable::travelling(const Line& line, TimePoint now) const {
  Endpoint entry = line.entry;
  entry.warmup_left = left(now, line.warm_until);
  entry.lease_left = left(now, line.lease_until);
  return entry;
}

void ServiceRegistry::observe(const std::vector<Endpoint>& listed, TimePoint now) {
  std::set<std::string> seen;
  for (const Endpoint& entry : listed) {
    seen.insert(entry.id);
    misses_.erase(entry.id);
    const auto found = lines_.find(entry.id);
    if (found == lines_.end()) {  // the first appearance is its register
      Endpoint fresh = entry;
      fresh.status = entry.phase == EndpointPhase::ready ? EndpointStatus::starting
                                                         : EndpointStatus::out_of_service;
      fresh.status_revision = ++stamp_;
      fresh.lease_left = static_cast<std::uint64_t>(options_.lease.count());
      merge(fresh, now);
    } else if (entry.phase > found->second.entry.phase) {  // its showing as emptying is its cancel
      found->second.entry.phase = entry.phase;
      set_status(found->second, EndpointStatus::out_of_service);
    }
  }
  for (auto& [id, line] : lines_) {
    if (line.entry.phase == EndpointPhase::gone || seen.contains(id))
      continue;
    if (++misses_[id] < 2)
      continue;
    misses_.erase(id);
    line.entry.phase = EndpointPhase::gone;
    line.gone_at = now;
    set_status(line, EndpointStatus::out_of_service);
  }
  is_filled_ = true;
}

void ServiceRegistry::renew(const std::string& id, TimePoint now) {
  const auto found = lines_.find(id);
  if (found == lines_.end() || found->second.entry.phase != EndpointPhase::ready)
    return;
  Line& line = found->second;
  line.lease_until = now + options_.lease;
  renewed_.insert(id);
  if (line.entry.status == EndpointStatus::starting || line.entry.status == EndpointStatus::down)
    set_status(line, EndpointStatus::up);
}

void ServiceRegistry::sign(const Endpoint& entry, TimePoint now) {
  is_filled_ = true;
  Endpoint told = entry;
  told.status =
      told.phase == EndpointPhase::ready ? EndpointStatus::up : EndpointStatus::out_of_service;
  told.status_revision =
      told.call_count * 2;  // a sweep's DOWN stands between this call and the next
  told.lease_left = static_cast<std::uint64_t>(options_.lease.count());
  const auto found = lines_.find(entry.id);
  if (found != lines_.end() && told.phase != EndpointPhase::gone &&
      told.call_count <= found->second.entry.call_count)
    return;
  merge(told, now);
  Line& line = lines_[entry.id];
  if (line.entry.phase != EndpointPhase::ready &&
      line.entry.status != EndpointStatus::out_of_service) {
    line.entry.status = EndpointStatus::out_of_service;
    touch(line);
  }
  line.last_heartbeat = now;
  renewed_.insert(entry.id);
  signed_.insert(entry.id);
}

void ServiceRegistry::renew_signed(const RenewedIds::Item& item, TimePoint now) {
  const auto found = lines_.find(item.id);
  if (found == lines_.end() || item.call_count <= found->second.entry.call_count)
    return;
  Line& line = found->second;
  const TimePoint when =
      now - Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(item.age, 60000)));
  line.entry.call_count = item.call_count;
  line.entry.status_revision = std::max(line.entry.status_revision, item.call_count * 2);
  line.last_heartbeat = std::max(line.last_heartbeat, when);
  line.lease_until = std::max(line.lease_until, when + options_.lease);
  renewed_.insert(item.id);
  const bool is_back =
      line.entry.phase == EndpointPhase::ready && line.entry.status == EndpointStatus::down;
  if (is_back)
    line.entry.status = EndpointStatus::up;
  if (is_back || line.entry.is_leader != item.is_leader)
    touch(line);
  line.entry.is_leader =
      item.is_leader;  // with its count: else a role told in between would be passed over
}

RenewedIds ServiceRegistry::take_renewed(TimePoint now) {
  RenewedIds renewed;
  for (const std::string& id : std::exchange(signed_, {}))
    if (const auto found = lines_.find(id);
        found != lines_.end() && found->second.entry.phase == EndpointPhase::ready)
      renewed.items.push_back({id, found->second.entry.call_count,
                               static_cast<std::uint64_t>(std::max<std::int64_t>(
                                   0, elapsed(found->second.last_heartbeat, now).count())),
                               found->second.entry.is_leader});
  return renewed;
}

void ServiceRegistry::sweep(TimePoint now) {
  if (now - period_start_ >= options_.renewal) {
    renewed_before_ = std::move(renewed_);
    renewed_.clear();
    period_start_ = now;
  }
  if (now - last_sweep_ < options_.sweep)
    return;
  last_sweep_ = now;
  std::size_t expected = 0, renewed = 0;
  for (const auto& [id, line] : lines_) {
    if (line.entry.phase != EndpointPhase::ready || line.entry.status != EndpointStatus::up ||
        !named_.contains(line.entry.service))
      continue;
    ++expected;
    renewed += renewed_.contains(id) || renewed_before_.contains(id);
  }
  is_evicting_ =
      !options_.is_preserving ||
      static_cast<double>(renewed) >= options_.renewal_threshold * static_cast<double>(expected);
  if (is_evicting_)
    for (auto& [id, line] : lines_)
      if (line.entry.phase == EndpointPhase::ready && line.entry.status == EndpointStatus::up &&
          named_.contains(line.entry.service) && line.lease_until <= now) {
        if (options_.is_signing_up) {
          line.entry.status = EndpointStatus::down;
          line.entry.status_revision = line.entry.call_count * 2 + 1;
          touch(line);
        } else {
          set_status(line, EndpointStatus::down);
        }
        ++evicted_;
      }
  forget_gone(now, options_.tombstone);
}

std::vector<ProbeTarget> ServiceRegistry::targets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [id, line] : lines_)
    if (line.entry.phase == EndpointPhase::ready && named_.contains(line.entry.service))
      targets.push_back(
          {id, line.entry.address, line.entry.service, line.entry.status != EndpointStatus::up});
  return targets;
}

EndpointList ServiceRegistry::since(std::uint64_t revision, TimePoint now) const {
  EndpointList endpoints;
  endpoints.is_complete = revision == 0;
  endpoints.is_filled = is_filled_;
  endpoints.base_revision = revision;
  endpoints.revision = revision_;
  for (const auto& [id, line] : lines_)
    if (line.revision > revision)
      endpoints.entries.push_back(travelling(line, now));
  return endpoints;
}

void ServiceRegistry::take(const EndpointList& endpoints, TimePoint now) {
  for (const Endpoint& entry : endpoints.entries) {
    merge(entry, now);
    stamp_ = std::max(stamp_, entry.status_revision);
  }
  if (endpoints.is_complete && endpoints.is_filled)
    is_filled_ = true;
}

}  // namespace saddlewing
