#include "coordination/databases/failover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration evidence_lifetime{1800};  // what a pooler said longer ago is not counted
constexpr Duration max_catch_up_wait{
    1500};  // a planned change waits this long for a copy that has everything
constexpr Duration promotion_retry_interval{400},
    promotion_timeout{2500};  // after no answer; after the platform took it
constexpr Duration target_timeout{2500};
constexpr Duration step_down_interval{700};

bool has_bit(const std::string& bits, std::size_t position) {
  return position / 8 < bits.size() &&
         (static_cast<unsigned char>(bits[position / 8]) >> (position % 8) & 1);
}

const DatabaseEndpoint* find_endpoint(const std::vector<const DatabaseEndpoint*>& endpoints,
                                      const std::string& id) {
  const auto found =
      std::find_if(endpoints.begin(), endpoints.end(),
                   [&](const DatabaseEndpoint* endpoint) { return endpoint->id == id; });
  return found == endpoints.end() ? nullptr : *found;
}

}  // namespace

void Failover::record_pooler(const std::string& pooler, IncarnationId incarnation,
                             std::uint64_t revision, const std::string& zone,
                             const std::string& failing, const std::string& fine, TimePoint now) {
  leases_.record(pooler, incarnation, revision, now);
  evidence_[pooler] = {revision, now, zone, failing, fine};
}

std::optional<Duration> Failover::grant(const std::string& pooler, IncarnationId incarnation,
                                        TimePoint now) {
  if (!is_leading_)
    return std::nullopt;
  return leases_.grant(pooler, incarnation, now);
}

bool Failover::is_abandoned(std::size_t position, TimePoint now, bool& is_unobserved) const {
  std::size_t failing = 0, fine = 0;
  std::set<std::string> zones;
  for (const auto& [pooler, evidence] : evidence_) {
    if (evidence.revision != table_.revision || now - evidence.received_at > evidence_lifetime)
      continue;
    fine += has_bit(evidence.fine, position);
    if (!has_bit(evidence.failing, position))
      continue;
    ++failing;
    zones.insert(evidence.zone);
  }
  is_unobserved = failing == 0 && fine == 0;
  return zones.size() >= 2 && failing > fine;
}

void Failover::propose_change(DatabaseLeadership leadership, const std::string& log_lines) {
  if (!proposal_)
    proposal_ = table_;
  DatabaseLeadership& position = proposal_->put(leadership.service);
  leadership.number = position.number + 1;
  leadership.revision = table_.revision + 1;
  position = std::move(leadership);
  output_.log_lines.push_back(log_lines);
}

void Failover::send_command(const std::string& service, const std::string& id,
                            const std::string& text, bool is_step_down) {
  pending_[++last_token_] = {service, id, is_step_down};
  output_.commands.push_back({last_token_, id, text});
}

void Failover::tick(bool is_leading, const LeadershipTable& table,
                    const std::map<std::string, int>& services,
                    const std::vector<DatabaseEndpoint>& endpoints, TimePoint now) {
  if (is_leading && !is_leading_) {
    leading_since_ = now;
    transitions_.clear();
    pending_.clear();
    leases_.start_term(now);
    evidence_.clear();
    last_step_down_.clear();
    is_proposing_ = false;
  }
  is_leading_ = is_leading;
  if (!is_leading)
    return;
  leases_.erase_expired(now);
  std::erase_if(evidence_,
                [&](const auto& item) { return now - item.second.received_at > options_.lease; });
  table_ = table;
  if (is_proposing_)
    return;
  proposal_.reset();
  std::map<std::string, EndpointPointers> by_service;
  for (const DatabaseEndpoint& endpoint : endpoints)
    by_service[endpoint.service].push_back(&endpoint);
  for (const auto& [service, sync] : services)
    advance_service(service, sync, by_service[service], now);
  if (!proposal_)
    return;
  proposal_->revision = table_.revision + 1;
  is_proposing_ = true;
  output_.proposal = std::move(proposal_);
  proposal_.reset();
}

void Failover::advance_service(const std::string& service, int sync,
                               const EndpointPointers& endpoints, TimePoint now) {
  const DatabaseLeadership* leadership = table_.find(service);
  if (!leadership)
    return adopt_leader(service, endpoints);
  Transition& transition = transitions_[service];
  if (transition.number != leadership->number) {
    const bool was_promoted = transition.was_promoted,
               is_promotion_outstanding = transition.is_promotion_outstanding;
    const TimePoint promoted_at = transition.promoted_at;
    transition = {};
    transition.number = leadership->number;
    transition.phase_started_at = now;
    transition.phase = leadership->phase;
    if (leadership->phase != DatabaseLeadership::Phase::raising)
      transition.was_promoted = was_promoted, transition.promoted_at = promoted_at,
      transition.is_promotion_outstanding = is_promotion_outstanding;
  }
  switch (leadership->phase) {
    case DatabaseLeadership::Phase::led:
      return monitor_leader(*leadership, endpoints, now);
    case DatabaseLeadership::Phase::closing:
      return elect(*leadership, sync, endpoints, now);
    case DatabaseLeadership::Phase::raising:
      return promote_target(*leadership, endpoints, now);
  }
}

// Nothing was ever agreed for it: the one that says it leads is the leader from now on.
void Failover::adopt_leader(const std::string& service, const EndpointPointers& endpoints) {
  const DatabaseEndpoint* leader = nullptr;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    if (!endpoint->is_leader)
      continue;
    if (leader)
      return;  // two say so: operators decide, or one of them finds out
    leader = endpoint;
  }
  if (!leader)
    return;
  DatabaseLeadership leadership;
  leadership.service = service;
  leadership.id = leader->id;
  propose_change(std::move(leadership), service + " is led by " + leader->id);
}

void Failover::monitor_leader(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, TimePoint now) {
  const DatabaseEndpoint* leader = find_endpoint(endpoints, leadership.id);
  Transition& transition = transitions_[leadership.service];
  // Others that say they lead missed the change.
  for (const DatabaseEndpoint* endpoint : endpoints) {
    if (endpoint->id == leadership.id || !endpoint->is_leader ||
        !log_terms_.contains(leadership.service))
      continue;
    TimePoint& last = last_step_down_[endpoint->id];
    if (last != TimePoint{} && now - last < step_down_interval)
      continue;
    last = now;
    send_command(leadership.service, endpoint->id,
                 "STEPDOWN " + std::to_string(log_terms_[leadership.service]), true);
  }
  const bool has_others =
      std::any_of(endpoints.begin(), endpoints.end(), [&](const DatabaseEndpoint* endpoint) {
        return endpoint->id != leadership.id && endpoint->is_ready &&
               now - endpoint->last_heartbeat < options_.backend_heartbeat_interval * 3;
      });
  if (!has_others)
    return;  // nobody could take over
  DatabaseLeadership next = leadership;
  next.phase = DatabaseLeadership::Phase::closing;
  next.target.clear();
  if (leader && !leader->is_ready) {
    next.is_planned = true;
    return propose_change(std::move(next), leadership.service + " is to be led by another, " +
                                               leadership.id + " empties");
  }
  next.is_planned = false;
  if (now - leading_since_ < options_.backend_heartbeat_interval * 2)
    return;  // beats may have gone elsewhere
  const Duration silence =
      leader ? elapsed(leader->last_heartbeat, now) : options_.backend_heartbeat_interval * 100;
  if (silence <= options_.backend_heartbeat_interval * 3 / 2) {
    // It is there. Only if it says at length that it does not lead is it none.
    if (!leader->is_leader &&
        now - transition.phase_started_at > options_.backend_heartbeat_interval * 3)
      propose_change(std::move(next),
                     leadership.service + ": " + leadership.id + " says that it does not lead");
    return;
  }
  // Beats may go elsewhere: it is asked itself, and poolers say what they saw.
  if (leader && now >= transition.next_step_at &&
      transition.outstanding_queries.insert(leadership.id).second) {
    transition.next_step_at = now + options_.status_retry_interval * 4;
    send_command(leadership.service, leadership.id, "STATUS", false);
  }
  const bool is_answering =
      transition.last_answer_at != TimePoint{} &&
      now - transition.last_answer_at < options_.backend_heartbeat_interval * 2;
  const auto position =
      static_cast<std::size_t>(table_.find(leadership.service) - table_.leaderships.data());
  bool is_unobserved = false;
  const bool is_abandoned = this->is_abandoned(position, now, is_unobserved);
  if (is_abandoned ||
      (is_unobserved && !is_answering && silence > options_.backend_heartbeat_interval * 4))
    propose_change(std::move(next), leadership.service + " lost its leader " + leadership.id);
}

// Nobody may use the old leader any more. Once no pooler can, the logs are compared: what was
// acknowledged by then does not change any more, so no copy needs to be paused for it.
void Failover::elect(const DatabaseLeadership& leadership, int sync,
                     const EndpointPointers& endpoints, TimePoint now) {
  if (leases_.has_lease_before(leadership.revision, now))
    return;
  Transition& transition = transitions_[leadership.service];
  if (transition.is_promotion_outstanding ||
      (transition.was_promoted && now - transition.promoted_at < options_.max_promotion_delay))
    return;  // an earlier call may still take effect
  const DatabaseEndpoint* old = find_endpoint(endpoints, leadership.id);
  if (transition.comparison_started_at == TimePoint{})
    transition.comparison_started_at = now;
  if (now >= transition.next_step_at) {
    transition.next_step_at = now + options_.status_retry_interval;
    for (const DatabaseEndpoint* endpoint : endpoints)
      if (!transition.outstanding_queries.contains(endpoint->id) &&
          now - endpoint->last_heartbeat < options_.backend_heartbeat_interval * 20) {
        transition.outstanding_queries.insert(endpoint->id);
        send_command(leadership.service, endpoint->id, "STATUS", false);
      }
  }
  const DatabaseStatus* was = nullptr;
  if (const auto found = transition.statuses.find(leadership.id);
      found != transition.statuses.end())
    was = &found->second;
  // Somebody leads a later term already: a call of ours took effect.
  const DatabaseEndpoint* best = nullptr;
  DatabaseStatus best_status;
  std::size_t copies = 0, answered = 0;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    if (endpoint->id == leadership.id)
      continue;
    const auto found = transition.statuses.find(endpoint->id);
    ++copies;
    if (found == transition.statuses.end())
      continue;
    ++answered;
    if (!endpoint->is_ready && !found->second.is_leader)
      continue;  // it counts, but it is to end
    const auto order = [](const DatabaseStatus& status) {
      return std::tuple(status.is_leader, status.position);
    };
    if (!best || order(found->second) > order(best_status))
      best = endpoint, best_status = found->second;
  }
  if (best && best_status.is_leader && (!was || best_status.term > was->term)) {
    log_terms_[leadership.service] = best_status.term;
    DatabaseLeadership next = leadership;
    next.phase = DatabaseLeadership::Phase::led;
    next.id = best->id;
    next.target.clear();
    return propose_change(std::move(next),
                          leadership.service + " is led by " + best->id + " already");
  }
  const bool old_is_back = was && was->is_leader && old && old->is_ready &&
                           now - old->last_heartbeat < options_.backend_heartbeat_interval * 5 / 4;
  if (old_is_back && !leadership.is_planned) {
    DatabaseLeadership next = leadership;
    next.phase = DatabaseLeadership::Phase::led;
    return propose_change(std::move(next),
                          leadership.service + " is led by " + leadership.id + " as before");
  }
  const Duration waited = elapsed(transition.comparison_started_at, now);
  const bool is_complete = answered == copies;
  const bool has_all = best && was && best_status.position >= was->position;
  if (was && best && !has_all && waited < max_catch_up_wait)
    return;  // it is there, and a copy will catch up
  if (!best || (sync > 0 && !is_complete) ||
      (!is_complete && waited < options_.status_retry_interval * 3))
    return;
  transition.term_before = std::max(best_status.term, was ? was->term : 0);
  DatabaseLeadership next = leadership;
  next.phase = DatabaseLeadership::Phase::raising;
  next.target = best->id;
  propose_change(std::move(next), leadership.service + ": " + best->id + " at " +
                                      best_status.position.text() + " is to lead");
}

void Failover::promote_target(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, TimePoint now) {
  if (leases_.has_lease_before(leadership.revision, now))
    return;
  Transition& transition = transitions_[leadership.service];
  if (const auto found = transition.statuses.find(leadership.target);
      found != transition.statuses.end() && found->second.is_leader) {
    log_terms_[leadership.service] = found->second.term;
    DatabaseLeadership next = leadership;
    next.phase = DatabaseLeadership::Phase::led;
    next.id = leadership.target;
    next.target.clear();
    return propose_change(std::move(next), leadership.service + " is led by " + leadership.target +
                                               " in term " +
                                               std::to_string(found->second.term));
  }
  const DatabaseEndpoint* target = find_endpoint(endpoints, leadership.target);
  const bool is_dead =
      !target || (now - transition.phase_started_at > target_timeout &&
                  now - target->last_heartbeat > options_.backend_heartbeat_interval * 2);
  if (transition.is_promotion_refused || is_dead) {
    DatabaseLeadership next = leadership;
    next.phase = DatabaseLeadership::Phase::closing;
    next.target.clear();
    return propose_change(std::move(next),
                          leadership.service + ": " + leadership.target + " can't take the lead");
  }
  if (now < transition.next_step_at)
    return;
  transition.next_step_at = now + options_.status_retry_interval;
  if (!transition.is_promotion_outstanding &&
      (!transition.was_promoted ||
       now - transition.promoted_at >=
           (transition.is_promotion_accepted ? promotion_timeout : promotion_retry_interval))) {
    transition.was_promoted = transition.is_promotion_outstanding = true;
    transition.promoted_at = now;
    pending_[++last_token_] = {leadership.service, leadership.target, false};
    output_.promotions.push_back({last_token_, leadership.service, leadership.target});
  }
  if (transition.outstanding_queries.insert(leadership.target).second)
    send_command(leadership.service, leadership.target, "STATUS", false);
}

void Failover::finish_command(std::uint64_t token, std::optional<DatabaseStatus> status,
                              TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  const PendingCommand pending = found->second;
  pending_.erase(found);
  if (pending.is_step_down)
    return;
  Transition& transition = transitions_[pending.service];
  transition.outstanding_queries.erase(pending.id);
  if (!status)
    return;
  transition.statuses[pending.id] = *status;
  transition.last_answer_at = now;
}

void Failover::finish_promotion(std::uint64_t token, int status, TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  Transition& transition = transitions_[found->second.service];
  transition.is_promotion_outstanding = false;
  transition.promoted_at = now;  // until here it may have been on its way
  if (status == 409)
    transition.is_promotion_refused = true;
  transition.is_promotion_accepted = status == 200;
  pending_.erase(found);
}

Failover::Output Failover::take_output() {
  return std::exchange(output_, {});
}

}  // namespace saddlewing
