#include "coordination/registry.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

Moment after(Moment now, std::uint64_t milliseconds) {
  return now + Span(static_cast<std::int64_t>(std::min<std::uint64_t>(milliseconds, 86400000)));
}
std::uint64_t left(Moment now, Moment until) {
  return until > now ? static_cast<std::uint64_t>(span_between(now, until).count()) : 0;
}

}  // namespace

bool RosterBook::merge(const RosterEntry& entry, Moment now) {
  const auto [place, is_new] = lines_.try_emplace(entry.id);
  Line& line = place->second;
  if (is_new) {
    line.entry = entry;
    line.beaten = now;
    line.warm_until = after(now, entry.warm_left);
    line.hold_until = after(now, entry.hold_left);
    if (entry.phase == Phase::gone)
      line.gone_at = now;
    touch(line);
    return true;
  }
  bool has_changed = false;
  if (entry.phase > line.entry.phase) {
    line.entry.phase = entry.phase;
    if (entry.phase == Phase::gone)
      line.gone_at = now;
    has_changed = true;
  }
  if (entry.stamp > line.entry.stamp) {
    has_changed =
        has_changed || entry.status != line.entry.status || entry.is_leader != line.entry.is_leader;
    line.entry.is_leader = entry.is_leader;
    line.entry.call_count = entry.call_count;
    line.entry.status = entry.status;
    line.entry.stamp = entry.stamp;
    line.hold_until = after(now, entry.hold_left);
  } else if (entry.stamp == line.entry.stamp) {
    line.hold_until = std::max(line.hold_until, after(now, entry.hold_left));
  }
  if (has_changed)
    touch(line);
  return has_changed;
}

void RosterBook::forget_gone(Moment now, Span tombstone) {
  std::erase_if(lines_, [&](const auto& item) {
    return item.second.entry.phase == Phase::gone && now - item.second.gone_at > tombstone;
  });
}

RosterEntry RosterBook::travelling(const Line& line, Moment now) const {
  RosterEntry entry = line.entry;
  entry.warm_left = left(now, line.warm_until);
  entry.hold_left = left(now, line.hold_until);
  return entry;
}

void Registry::observe(const std::vector<RosterEntry>& listed, Moment now) {
  std::set<std::string> seen;
  for (const RosterEntry& entry : listed) {
    seen.insert(entry.id);
    misses_.erase(entry.id);
    const auto found = lines_.find(entry.id);
    if (found == lines_.end()) {  // the first appearance is its register
      RosterEntry fresh = entry;
      fresh.status = entry.phase == Phase::ready ? Status::starting : Status::out_of_service;
      fresh.stamp = ++stamp_;
      fresh.hold_left = static_cast<std::uint64_t>(options_.hold.count());
      merge(fresh, now);
    } else if (entry.phase > found->second.entry.phase) {  // its showing as emptying is its cancel
      found->second.entry.phase = entry.phase;
      set_status(found->second, Status::out_of_service);
    }
  }
  for (auto& [id, line] : lines_) {
    if (line.entry.phase == Phase::gone || seen.contains(id))
      continue;
    if (++misses_[id] < 2)
      continue;
    misses_.erase(id);
    line.entry.phase = Phase::gone;
    line.gone_at = now;
    set_status(line, Status::out_of_service);
  }
  is_filled_ = true;
}

void Registry::renew(const std::string& id, Moment now) {
  const auto found = lines_.find(id);
  if (found == lines_.end() || found->second.entry.phase != Phase::ready)
    return;
  Line& line = found->second;
  line.hold_until = now + options_.hold;
  renewed_.insert(id);
  if (line.entry.status == Status::starting || line.entry.status == Status::down)
    set_status(line, Status::up);
}

void Registry::sign(const RosterEntry& entry, Moment now) {
  is_filled_ = true;
  RosterEntry told = entry;
  told.status = told.phase == Phase::ready ? Status::up : Status::out_of_service;
  told.stamp = told.call_count * 2;  // a sweep's DOWN stands between this call and the next
  told.hold_left = static_cast<std::uint64_t>(options_.hold.count());
  const auto found = lines_.find(entry.id);
  if (found != lines_.end() && told.phase != Phase::gone &&
      told.call_count <= found->second.entry.call_count)
    return;
  merge(told, now);
  Line& line = lines_[entry.id];
  if (line.entry.phase != Phase::ready && line.entry.status != Status::out_of_service) {
    line.entry.status = Status::out_of_service;
    touch(line);
  }
  line.beaten = now;
  renewed_.insert(entry.id);
  signed_.insert(entry.id);
}

void Registry::renew_signed(const RenewedIds::Item& item, Moment now) {
  const auto found = lines_.find(item.id);
  if (found == lines_.end() || item.call_count <= found->second.entry.call_count)
    return;
  Line& line = found->second;
  const Moment when =
      now - Span(static_cast<std::int64_t>(std::min<std::uint64_t>(item.age, 60000)));
  line.entry.call_count = item.call_count;
  line.entry.stamp = std::max(line.entry.stamp, item.call_count * 2);
  line.beaten = std::max(line.beaten, when);
  line.hold_until = std::max(line.hold_until, when + options_.hold);
  renewed_.insert(item.id);
  const bool is_back = line.entry.phase == Phase::ready && line.entry.status == Status::down;
  if (is_back)
    line.entry.status = Status::up;
  if (is_back || line.entry.is_leader != item.is_leader)
    touch(line);
  line.entry.is_leader =
      item.is_leader;  // with its count: else a role told in between would be passed over
}

RenewedIds Registry::take_renewed(Moment now) {
  RenewedIds renewed;
  for (const std::string& id : std::exchange(signed_, {}))
    if (const auto found = lines_.find(id);
        found != lines_.end() && found->second.entry.phase == Phase::ready)
      renewed.items.push_back({id, found->second.entry.call_count,
                               static_cast<std::uint64_t>(std::max<std::int64_t>(
                                   0, span_between(found->second.beaten, now).count())),
                               found->second.entry.is_leader});
  return renewed;
}

void Registry::sweep(Moment now) {
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
    if (line.entry.phase != Phase::ready || line.entry.status != Status::up ||
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
      if (line.entry.phase == Phase::ready && line.entry.status == Status::up &&
          named_.contains(line.entry.service) && line.hold_until <= now) {
        if (options_.is_signing_up) {
          line.entry.status = Status::down;
          line.entry.stamp = line.entry.call_count * 2 + 1;
          touch(line);
        } else {
          set_status(line, Status::down);
        }
        ++evicted_;
      }
  forget_gone(now, options_.tombstone);
}

std::vector<ProbeTarget> Registry::targets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [id, line] : lines_)
    if (line.entry.phase == Phase::ready && named_.contains(line.entry.service))
      targets.push_back(
          {id, line.entry.address, line.entry.service, line.entry.status != Status::up});
  return targets;
}

Roster Registry::since(std::uint64_t mark, Moment now) const {
  Roster roster;
  roster.is_whole = mark == 0;
  roster.is_filled = is_filled_;
  roster.base = mark;
  roster.mark = mark_;
  for (const auto& [id, line] : lines_)
    if (line.mark > mark)
      roster.entries.push_back(travelling(line, now));
  return roster;
}

void Registry::take(const Roster& roster, Moment now) {
  for (const RosterEntry& entry : roster.entries) {
    merge(entry, now);
    stamp_ = std::max(stamp_, entry.stamp);
  }
  if (roster.is_whole && roster.is_filled)
    is_filled_ = true;
}

}  // namespace saddlewing
