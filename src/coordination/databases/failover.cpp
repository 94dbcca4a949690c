#include "coordination/databases/failover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration fresh_evidence{1800};  // what a pooler said longer ago is not counted
constexpr Duration max_catching_up{
    1500};  // a planned change waits this long for a copy that has everything
constexpr Duration promotion_retry_interval{400},
    promotion_timeout{2500};  // after no answer; after the platform took it
constexpr Duration dead_target{2500};
constexpr Duration step_down_again{700};

bool has_bit(const std::string& bits, std::size_t position) {
  return position / 8 < bits.size() &&
         (static_cast<unsigned char>(bits[position / 8]) >> (position % 8) & 1);
}

const DatabaseEndpoint* seat_of(const std::vector<const DatabaseEndpoint*>& seats,
                                const std::string& id) {
  const auto found = std::find_if(seats.begin(), seats.end(),
                                  [&](const DatabaseEndpoint* seat) { return seat->id == id; });
  return found == seats.end() ? nullptr : *found;
}

}  // namespace

void Failover::record_pooler(const std::string& from, IncarnationId incarnation,
                             std::uint64_t revision, const std::string& zone,
                             const std::string& failing, const std::string& fine, TimePoint now) {
  leases_.record(from, incarnation, revision, now);
  witnesses_[from] = {revision, now, zone, failing, fine};
}

std::optional<Duration> Failover::grant(const std::string& from, IncarnationId incarnation,
                                        TimePoint now) {
  if (!is_leading_)
    return std::nullopt;
  return leases_.grant(from, incarnation, now);
}

bool Failover::is_given_up(std::size_t position, TimePoint now, bool& is_unseen) const {
  std::size_t failing = 0, fine = 0;
  std::set<std::string> zones;
  for (const auto& [from, witness] : witnesses_) {
    if (witness.revision != table_.revision || now - witness.told > fresh_evidence)
      continue;
    fine += has_bit(witness.fine, position);
    if (!has_bit(witness.failing, position))
      continue;
    ++failing;
    zones.insert(witness.zone);
  }
  is_unseen = failing == 0 && fine == 0;
  return zones.size() >= 2 && failing > fine;
}

void Failover::change(DatabaseLeadership lead, const std::string& news) {
  if (!next_)
    next_ = table_;
  DatabaseLeadership& position = next_->put(lead.service);
  lead.number = position.number + 1;
  lead.revision = table_.revision + 1;
  position = std::move(lead);
  output_.news.push_back(news);
}

void Failover::ask(const std::string& service, const std::string& id, const std::string& text,
                   bool is_step_down) {
  pending_[++last_token_] = {service, id, is_step_down};
  output_.orders.push_back({last_token_, id, text});
}

void Failover::tick(bool is_leading, const LeadershipTable& table,
                    const std::map<std::string, int>& services,
                    const std::vector<DatabaseEndpoint>& seats, TimePoint now) {
  if (is_leading && !is_leading_) {
    led_since_ = now;
    cases_.clear();
    pending_.clear();
    leases_.start_term(now);
    witnesses_.clear();
    stepped_.clear();
    is_proposing_ = false;
  }
  is_leading_ = is_leading;
  if (!is_leading)
    return;
  leases_.erase_expired(now);
  std::erase_if(witnesses_,
                [&](const auto& item) { return now - item.second.told > options_.lease; });
  table_ = table;
  if (is_proposing_)
    return;
  next_.reset();
  std::map<std::string, Seats> by_service;
  for (const DatabaseEndpoint& seat : seats)
    by_service[seat.service].push_back(&seat);
  for (const auto& [service, sync] : services)
    maintain(service, sync, by_service[service], now);
  if (!next_)
    return;
  next_->revision = table_.revision + 1;
  is_proposing_ = true;
  output_.proposal = std::move(next_);
  next_.reset();
}

void Failover::maintain(const std::string& service, int sync, const Seats& seats, TimePoint now) {
  const DatabaseLeadership* lead = table_.find(service);
  if (!lead)
    return found(service, seats);
  Case& at = cases_[service];
  if (at.number != lead->number) {
    const bool was_promoted = at.was_promoted, is_asking = at.is_asking;
    const TimePoint promoted = at.promoted;
    at = {};
    at.number = lead->number;
    at.since = now;
    at.phase = lead->phase;
    if (lead->phase != DatabaseLeadership::Phase::raising)
      at.was_promoted = was_promoted, at.promoted = promoted, at.is_asking = is_asking;
  }
  switch (lead->phase) {
    case DatabaseLeadership::Phase::led:
      return watch(*lead, seats, now);
    case DatabaseLeadership::Phase::closing:
      return close(*lead, sync, seats, now);
    case DatabaseLeadership::Phase::raising:
      return promote(*lead, seats, now);
  }
}

// Nothing was ever agreed for it: the one that says it leads is the leader from now on.
void Failover::found(const std::string& service, const Seats& seats) {
  const DatabaseEndpoint* leader = nullptr;
  for (const DatabaseEndpoint* seat : seats) {
    if (!seat->is_leader)
      continue;
    if (leader)
      return;  // two say so: operators decide, or one of them finds out
    leader = seat;
  }
  if (!leader)
    return;
  DatabaseLeadership lead;
  lead.service = service;
  lead.id = leader->id;
  change(std::move(lead), service + " is led by " + leader->id);
}

void Failover::watch(const DatabaseLeadership& lead, const Seats& seats, TimePoint now) {
  const DatabaseEndpoint* leader = seat_of(seats, lead.id);
  Case& at = cases_[lead.service];
  // Others that say they lead missed the change.
  for (const DatabaseEndpoint* seat : seats) {
    if (seat->id == lead.id || !seat->is_leader || !terms_.contains(lead.service))
      continue;
    TimePoint& last = stepped_[seat->id];
    if (last != TimePoint{} && now - last < step_down_again)
      continue;
    last = now;
    ask(lead.service, seat->id, "STEPDOWN " + std::to_string(terms_[lead.service]), true);
  }
  const bool has_others =
      std::any_of(seats.begin(), seats.end(), [&](const DatabaseEndpoint* seat) {
        return seat->id != lead.id && seat->is_ready &&
               now - seat->last_heartbeat < options_.backend_heartbeat_interval * 3;
      });
  if (!has_others)
    return;  // nobody could take over
  DatabaseLeadership next = lead;
  next.phase = DatabaseLeadership::Phase::closing;
  next.target.clear();
  if (leader && !leader->is_ready) {
    next.is_planned = true;
    return change(std::move(next),
                  lead.service + " is to be led by another, " + lead.id + " empties");
  }
  next.is_planned = false;
  if (now - led_since_ < options_.backend_heartbeat_interval * 2)
    return;  // beats may have gone elsewhere
  const Duration silent =
      leader ? elapsed(leader->last_heartbeat, now) : options_.backend_heartbeat_interval * 100;
  if (silent <= options_.backend_heartbeat_interval * 3 / 2) {
    // It is there. Only if it says at length that it does not lead is it none.
    if (!leader->is_leader && now - at.since > options_.backend_heartbeat_interval * 3)
      change(std::move(next), lead.service + ": " + lead.id + " says that it does not lead");
    return;
  }
  // Beats may go elsewhere: it is asked itself, and poolers say what they saw.
  if (leader && now >= at.step_due && at.asked.insert(lead.id).second) {
    at.step_due = now + options_.ask_again * 4;
    ask(lead.service, lead.id, "STATUS", false);
  }
  const bool is_answering =
      at.answered != TimePoint{} && now - at.answered < options_.backend_heartbeat_interval * 2;
  const auto position =
      static_cast<std::size_t>(table_.find(lead.service) - table_.leaderships.data());
  bool is_unseen = false;
  const bool is_given_up = this->is_given_up(position, now, is_unseen);
  if (is_given_up ||
      (is_unseen && !is_answering && silent > options_.backend_heartbeat_interval * 4))
    change(std::move(next), lead.service + " lost its leader " + lead.id);
}

// Nobody may use the old leader any more. Once no pooler can, the logs are compared: what was
// acknowledged by then does not change any more, so no copy needs to be paused for it.
void Failover::close(const DatabaseLeadership& lead, int sync, const Seats& seats, TimePoint now) {
  if (leases_.has_lease_before(lead.revision, now))
    return;
  Case& at = cases_[lead.service];
  if (at.is_asking || (at.was_promoted && now - at.promoted < options_.late_promotion))
    return;  // an earlier call may still take effect
  const DatabaseEndpoint* old = seat_of(seats, lead.id);
  if (at.asked_since == TimePoint{})
    at.asked_since = now;
  if (now >= at.step_due) {
    at.step_due = now + options_.ask_again;
    for (const DatabaseEndpoint* seat : seats)
      if (!at.asked.contains(seat->id) &&
          now - seat->last_heartbeat < options_.backend_heartbeat_interval * 20) {
        at.asked.insert(seat->id);
        ask(lead.service, seat->id, "STATUS", false);
      }
  }
  const DatabaseStatus* was = nullptr;
  if (const auto found = at.statuses.find(lead.id); found != at.statuses.end())
    was = &found->second;
  // Somebody leads a later term already: a call of ours took effect.
  const DatabaseEndpoint* best = nullptr;
  DatabaseStatus best_status;
  std::size_t copies = 0, answered = 0;
  for (const DatabaseEndpoint* seat : seats) {
    if (seat->id == lead.id)
      continue;
    const auto found = at.statuses.find(seat->id);
    ++copies;
    if (found == at.statuses.end())
      continue;
    ++answered;
    if (!seat->is_ready && !found->second.is_leader)
      continue;  // it counts, but it is to end
    const auto order = [](const DatabaseStatus& status) {
      return std::tuple(status.is_leader, status.position);
    };
    if (!best || order(found->second) > order(best_status))
      best = seat, best_status = found->second;
  }
  if (best && best_status.is_leader && (!was || best_status.term > was->term)) {
    terms_[lead.service] = best_status.term;
    DatabaseLeadership next = lead;
    next.phase = DatabaseLeadership::Phase::led;
    next.id = best->id;
    next.target.clear();
    return change(std::move(next), lead.service + " is led by " + best->id + " already");
  }
  const bool old_is_back = was && was->is_leader && old && old->is_ready &&
                           now - old->last_heartbeat < options_.backend_heartbeat_interval * 5 / 4;
  if (old_is_back && !lead.is_planned) {
    DatabaseLeadership next = lead;
    next.phase = DatabaseLeadership::Phase::led;
    return change(std::move(next), lead.service + " is led by " + lead.id + " as before");
  }
  const Duration waited = elapsed(at.asked_since, now);
  const bool is_complete = answered == copies;
  const bool has_all = best && was && best_status.position >= was->position;
  if (was && best && !has_all && waited < max_catching_up)
    return;  // it is there, and a copy will catch up
  if (!best || (sync > 0 && !is_complete) || (!is_complete && waited < options_.ask_again * 3))
    return;
  at.term_before = std::max(best_status.term, was ? was->term : 0);
  DatabaseLeadership next = lead;
  next.phase = DatabaseLeadership::Phase::raising;
  next.target = best->id;
  change(std::move(next),
         lead.service + ": " + best->id + " at " + best_status.position.text() + " is to lead");
}

void Failover::promote(const DatabaseLeadership& lead, const Seats& seats, TimePoint now) {
  if (leases_.has_lease_before(lead.revision, now))
    return;
  Case& at = cases_[lead.service];
  if (const auto found = at.statuses.find(lead.target);
      found != at.statuses.end() && found->second.is_leader) {
    terms_[lead.service] = found->second.term;
    DatabaseLeadership next = lead;
    next.phase = DatabaseLeadership::Phase::led;
    next.id = lead.target;
    next.target.clear();
    return change(std::move(next), lead.service + " is led by " + lead.target + " in term " +
                                       std::to_string(found->second.term));
  }
  const DatabaseEndpoint* target = seat_of(seats, lead.target);
  const bool is_dead =
      !target || (now - at.since > dead_target &&
                  now - target->last_heartbeat > options_.backend_heartbeat_interval * 2);
  if (at.is_refused || is_dead) {
    DatabaseLeadership next = lead;
    next.phase = DatabaseLeadership::Phase::closing;
    next.target.clear();
    return change(std::move(next), lead.service + ": " + lead.target + " can't take the lead");
  }
  if (now < at.step_due)
    return;
  at.step_due = now + options_.ask_again;
  if (!at.is_asking &&
      (!at.was_promoted ||
       now - at.promoted >= (at.is_taken ? promotion_timeout : promotion_retry_interval))) {
    at.was_promoted = at.is_asking = true;
    at.promoted = now;
    pending_[++last_token_] = {lead.service, lead.target, false};
    output_.raises.push_back({last_token_, lead.service, lead.target});
  }
  if (at.asked.insert(lead.target).second)
    ask(lead.service, lead.target, "STATUS", false);
}

void Failover::finish_order(std::uint64_t token, std::optional<DatabaseStatus> status,
                            TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  const Pending pending = found->second;
  pending_.erase(found);
  if (pending.is_step_down)
    return;
  Case& at = cases_[pending.service];
  at.asked.erase(pending.id);
  if (!status)
    return;
  at.statuses[pending.id] = *status;
  at.answered = now;
}

void Failover::finish_promotion(std::uint64_t token, int status, TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  Case& at = cases_[found->second.service];
  at.is_asking = false;
  at.promoted = now;  // until here it may have been on its way
  if (status == 409)
    at.is_refused = true;
  at.is_taken = status == 200;
  pending_.erase(found);
}

Failover::Output Failover::take() {
  return std::exchange(output_, {});
}

}  // namespace saddlewing
