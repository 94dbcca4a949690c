#include "coordination/discovery/endpoint_table.h"
#include "protocol/discovery_messages.h"

#include <algorithm>

namespace saddlewing {
namespace {

// A longer time left, from whatever peer, is taken for this.
constexpr std::uint64_t max_remaining_ms = std::uint64_t{24} * 60 * 60 * 1000;

TimePoint after(TimePoint now, std::uint64_t milliseconds) {
  const std::uint64_t limited = std::min(milliseconds, max_remaining_ms);
  return now + Duration(static_cast<std::int64_t>(limited));
}

std::uint64_t remaining_ms(TimePoint now, TimePoint until) {
  return until > now ? static_cast<std::uint64_t>(elapsed(now, until).count()) : 0;
}

LeasedEndpoint lease_of(const Endpoint& entry, TimePoint now) {
  LeasedEndpoint leased;
  leased.endpoint = entry;
  leased.last_heartbeat = now;
  leased.warm_until = after(now, entry.warmup_left);
  leased.lease_until = after(now, entry.lease_left);
  if (entry.phase == EndpointPhase::gone)
    leased.gone_at = now;
  return leased;
}

// True if the phase rose.
bool merge_phase(LeasedEndpoint& leased, const Endpoint& entry, TimePoint now) {
  if (entry.phase <= leased.endpoint.phase)
    return false;
  leased.endpoint.phase = entry.phase;
  if (entry.phase == EndpointPhase::gone)
    leased.gone_at = now;
  return true;
}

// True if status or role changed.
bool merge_stamped(LeasedEndpoint& leased, const Endpoint& entry, TimePoint now) {
  Endpoint& endpoint = leased.endpoint;
  const TimePoint lease_until = after(now, entry.lease_left);
  if (entry.status_revision == endpoint.status_revision)
    leased.lease_until = std::max(leased.lease_until, lease_until);
  if (entry.status_revision <= endpoint.status_revision)
    return false;
  const bool has_changed = entry.status != endpoint.status || entry.is_leader != endpoint.is_leader;
  endpoint.is_leader = entry.is_leader;
  endpoint.call_count = entry.call_count;
  endpoint.status = entry.status;
  endpoint.status_revision = entry.status_revision;
  leased.lease_until = lease_until;
  return has_changed;
}

}  // namespace

bool EndpointTable::merge(const Endpoint& entry, TimePoint now) {
  const auto [position, is_new] = endpoints_.try_emplace(entry.id);
  LeasedEndpoint& leased = position->second;
  if (is_new) {
    leased = lease_of(entry, now);
    mark_changed(leased);
    return true;
  }
  const bool has_phase_changed = merge_phase(leased, entry, now);
  const bool has_state_changed = merge_stamped(leased, entry, now);
  if (!has_phase_changed && !has_state_changed)
    return false;
  mark_changed(leased);
  return true;
}

void EndpointTable::erase_tombstones(TimePoint now, Duration tombstone) {
  std::erase_if(endpoints_, [&](const auto& item) {
    const LeasedEndpoint& leased = item.second;
    return leased.endpoint.phase == EndpointPhase::gone && now - leased.gone_at > tombstone;
  });
}

Endpoint EndpointTable::with_remaining_times(const LeasedEndpoint& leased, TimePoint now) const {
  Endpoint entry = leased.endpoint;
  entry.warmup_left = remaining_ms(now, leased.warm_until);
  entry.lease_left = remaining_ms(now, leased.lease_until);
  return entry;
}

void EndpointTable::mark_changed(LeasedEndpoint& leased) {
  ++revision_;
  leased.revision = revision_;
}

}  // namespace saddlewing
