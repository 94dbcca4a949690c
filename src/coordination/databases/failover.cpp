#include "coordination/databases/failover.h"

#include <algorithm>
#include <utility>

#include "protocol/database_protocol.h"
#include "state/invariants.h"

namespace saddlewing {
namespace {

constexpr Duration step_down_interval{700};  // between two commands to the same false leader

// In status retry intervals: between two queries of a leader whose heartbeats are missing.
constexpr int leader_query_intervals = 4;

constexpr int http_ok = 200;
constexpr int http_conflict = 409;

// Of each address the incarnation that was heard of last, if it says that it leads.
std::vector<const DatabaseEndpoint*> find_claimants(
    const std::vector<const DatabaseEndpoint*>& endpoints) {
  std::map<std::string, const DatabaseEndpoint*> newest;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    if (endpoint->is_gone)
      continue;
    const DatabaseEndpoint*& known = newest[endpoint->address];
    if (!known || endpoint->last_heartbeat > known->last_heartbeat)
      known = endpoint;
  }
  std::vector<const DatabaseEndpoint*> claimants;
  for (const auto& [address, endpoint] : newest)
    if (endpoint->is_leader)
      claimants.push_back(endpoint);
  return claimants;
}

}  // namespace

const DatabaseEndpoint* Failover::find_endpoint(const EndpointPointers& endpoints,
                                                const std::string& id) {
  const auto found =
      std::find_if(endpoints.begin(), endpoints.end(),
                   [&](const DatabaseEndpoint* endpoint) { return endpoint->id == id; });
  return found == endpoints.end() ? nullptr : *found;
}

void Failover::record_pooler(const std::string& pooler, IncarnationId incarnation,
                             std::uint64_t revision, const std::string& zone,
                             const std::string& failing, const std::string& fine, TimePoint now) {
  leases_.record(pooler, incarnation, revision, now);
  evidence_.record(pooler, {revision, now, zone, failing, fine});
}

std::optional<Duration> Failover::grant(const std::string& pooler, IncarnationId incarnation,
                                        TimePoint now) {
  if (!is_leading_)
    return std::nullopt;
  return leases_.grant(pooler, incarnation, now);
}

void Failover::propose_change(DatabaseLeadership leadership, const std::string& log_line) {
  if (!proposal_)
    proposal_ = table_;
  DatabaseLeadership& position = proposal_->put(leadership.service);
  leadership.number = position.number + 1;
  leadership.revision = table_.revision + 1;
  position = std::move(leadership);
  output_.log_lines.push_back(log_line);
}

// `status`: what the database answered; it leads in that term.
void Failover::propose_leader(DatabaseLeadership leadership, const std::string& id,
                              const DatabaseStatus& status, const std::string& log_line) {
  const bool is_newest = check_invariant(
      Invariant::leader_has_newest_term, leads_in_newest_term(leadership, status), [&] {
        return leadership.service + ": " + id + " in term " + std::to_string(status.term) +
               ", known is " + std::to_string(newest_term(leadership));
      });
  if (!is_newest)
    return;
  leadership.term = status.term;
  leadership.phase = DatabaseLeadership::Phase::led;
  leadership.id = id;
  leadership.target.clear();
  propose_change(std::move(leadership), log_line + " in term " + std::to_string(status.term));
}

void Failover::propose_closing(DatabaseLeadership leadership, bool is_planned,
                               const std::string& log_line) {
  leadership.phase = DatabaseLeadership::Phase::closing;
  leadership.is_planned = is_planned;
  propose_change(std::move(leadership), log_line);
}

void Failover::send_command(const std::string& service, const std::string& id,
                            PendingCommand::Kind kind, const std::string& text) {
  ++last_token_;
  pending_[last_token_] = {service, id, kind};
  output_.commands.push_back({last_token_, id, text});
}

// Answers that are under way count no more: they tell of what was before.
void Failover::forget_queries(const std::string& service) {
  transitions_[service].outstanding_queries.clear();
  std::erase_if(pending_, [&](const auto& item) {
    return item.second.service == service && item.second.kind == PendingCommand::Kind::status;
  });
}

void Failover::start_leading(TimePoint now) {
  leading_since_ = now;
  transitions_.clear();
  pending_.clear();
  leases_.start_term(now);
  evidence_.clear();
  last_step_down_.clear();
  is_proposing_ = false;
}

void Failover::tick(bool is_leading, const LeadershipTable& table,
                    const std::map<std::string, int>& services,
                    const std::vector<DatabaseEndpoint>& endpoints, TimePoint now) {
  if (is_leading && !is_leading_)
    start_leading(now);
  is_leading_ = is_leading;
  if (!is_leading)
    return;
  leases_.erase_expired(now);
  evidence_.erase_older(options_.lease, now);
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
  output_.proposal = std::exchange(proposal_, std::nullopt);
}

// Begins anew with each change of the leadership. A promotion that was called for before goes on,
// unless the change calls for another.
Failover::Transition& Failover::current_transition(const DatabaseLeadership& leadership,
                                                   TimePoint now) {
  Transition& transition = transitions_[leadership.service];
  if (transition.number == leadership.number)
    return transition;
  forget_queries(leadership.service);
  const Transition former = std::exchange(transition, {});
  transition.number = leadership.number;
  transition.phase_started_at = now;
  if (leadership.phase != DatabaseLeadership::Phase::raising) {
    transition.was_promoted = former.was_promoted;
    transition.promoted_at = former.promoted_at;
    transition.is_promotion_outstanding = former.is_promotion_outstanding;
  }
  return transition;
}

void Failover::advance_service(const std::string& service, int sync,
                               const EndpointPointers& endpoints, TimePoint now) {
  const DatabaseLeadership* leadership = table_.find(service);
  if (!leadership)
    return adopt_leader(service, endpoints, now);
  current_transition(*leadership, now);
  step_down_others(*leadership, endpoints, now);
  switch (leadership->phase) {
    case DatabaseLeadership::Phase::led:
      return monitor_leader(*leadership, endpoints, now);
    case DatabaseLeadership::Phase::closing:
      return elect(*leadership, sync, endpoints, now);
    case DatabaseLeadership::Phase::raising:
      return promote_target(*leadership, endpoints, now);
  }
}

// Nothing was ever agreed for this service: the database that says it leads is its leader, in the
// term that it answers. One that does not answer is adopted if no other says so; it is asked again
// later.
void Failover::adopt_leader(const std::string& service, const EndpointPointers& endpoints,
                            TimePoint now) {
  const EndpointPointers claimants = find_claimants(endpoints);
  if (claimants.empty())
    return;
  const std::optional<DatabaseLeadership> chosen = choose_claimant(service, claimants, now);
  if (chosen)
    propose_change(*chosen, service + " is led by " + chosen->id + " in term " +
                                (chosen->term > 0 ? std::to_string(chosen->term) : "unknown"));
}

// The newest term that is known: agreed, or as the databases answered since the last change.
std::uint64_t Failover::newest_term(const DatabaseLeadership& leadership) const {
  std::uint64_t newest = leadership.term;
  const auto transition = transitions_.find(leadership.service);
  if (transition == transitions_.end())
    return newest;
  for (const auto& [id, answer] : transition->second.answers)
    newest = std::max({newest, answer.status.term, answer.status.position.term});
  return newest;
}

bool Failover::leads_in_newest_term(const DatabaseLeadership& leadership,
                                    const DatabaseStatus& status) const {
  return status.is_leader && status.term >= newest_term(leadership);
}

// The term is agreed with the leadership: it has to outlast the database that led in it, and every
// registry that saw it.
bool Failover::record_term(const DatabaseLeadership& leadership) {
  const StatusAnswer* answer = transitions_.at(leadership.service).find_answer(leadership.id);
  if (!answer || !answer->status.is_leader || answer->status.term <= leadership.term)
    return false;
  DatabaseLeadership next = leadership;
  next.term = answer->status.term;
  propose_change(std::move(next),
                 leadership.service + " is led in term " + std::to_string(next.term));
  return true;
}

void Failover::query_leader(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                            TimePoint now) {
  Transition& transition = transitions_[leadership.service];
  if (!find_endpoint(endpoints, leadership.id) || now < transition.next_step_at ||
      !transition.outstanding_queries.insert(leadership.id).second)
    return;
  transition.next_step_at = now + options_.status_retry_interval * leader_query_intervals;
  send_command(leadership.service, leadership.id, PendingCommand::Kind::status, "STATUS");
}

// Databases that say they lead beside the agreed leader missed a change. The command touches none
// whose term is as high.
void Failover::step_down_others(const DatabaseLeadership& leadership,
                                const EndpointPointers& endpoints, TimePoint now) {
  if (leadership.term == 0)
    return;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    if (endpoint->id == leadership.id || !endpoint->is_leader || endpoint->is_gone)
      continue;
    TimePoint& last = last_step_down_[endpoint->id];
    if (last != TimePoint{} && now - last < step_down_interval)
      continue;
    last = now;
    send_command(leadership.service, endpoint->id, PendingCommand::Kind::step_down,
                 "STEPDOWN " + std::to_string(leadership.term));
  }
}

bool Failover::has_successor(const DatabaseLeadership& leadership,
                             const EndpointPointers& endpoints, TimePoint now) const {
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const DatabaseEndpoint* endpoint) {
    return endpoint->id != leadership.id && endpoint->is_ready &&
           now - endpoint->last_heartbeat < options_.backend_heartbeat_interval * 3;
  });
}

// Missing heartbeats alone do not suffice: they may have gone to a registry out of reach. Either
// poolers of several zones fail as well, or for long nobody had an answer: no pooler, and not this
// registry either.
bool Failover::is_leader_lost(const DatabaseLeadership& leadership, Duration silence,
                              TimePoint now) const {
  const auto position =
      static_cast<std::size_t>(table_.find(leadership.service) - table_.leaderships.data());
  const PoolerEvidence::Verdict verdict = evidence_.judge(table_.revision, position, now);
  if (verdict.is_failing)
    return true;
  const TimePoint last_answer_at = transitions_.at(leadership.service).last_answer_at;
  const bool is_answering = last_answer_at != TimePoint{} &&
                            now - last_answer_at < options_.backend_heartbeat_interval * 2;
  return verdict.is_unanswered && !is_answering &&
         silence > options_.backend_heartbeat_interval * 4;
}

void Failover::monitor_leader(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, TimePoint now) {
  if (record_term(leadership))
    return;
  if (leadership.term == 0)
    query_leader(leadership, endpoints, now);
  if (!has_successor(leadership, endpoints, now))
    return;
  const std::string& service = leadership.service;
  const std::string& id = leadership.id;
  const DatabaseEndpoint* leader = find_endpoint(endpoints, id);
  if (leader && !leader->is_ready)
    return propose_closing(leadership, true,
                           service + " is to be led by another, " + id + " empties");
  // Earlier heartbeats may have gone to another registry.
  if (now - leading_since_ < options_.backend_heartbeat_interval * 2)
    return;
  const Duration silence =
      leader ? elapsed(leader->last_heartbeat, now) : options_.backend_heartbeat_interval * 100;
  if (silence <= options_.backend_heartbeat_interval * 3 / 2) {
    const auto phase_duration = now - transitions_.at(service).phase_started_at;
    if (!leader->is_leader && phase_duration > options_.backend_heartbeat_interval * 3)
      propose_closing(leadership, false, service + ": " + id + " says that it does not lead");
    return;
  }
  query_leader(leadership, endpoints, now);
  if (is_leader_lost(leadership, silence, now))
    propose_closing(leadership, false, service + " lost its leader " + id);
}

void Failover::finish_command(std::uint64_t token, std::optional<DatabaseStatus> status,
                              TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  const PendingCommand command = std::move(found->second);
  pending_.erase(found);
  if (command.kind == PendingCommand::Kind::step_down)
    return;
  Transition& transition = transitions_[command.service];
  transition.outstanding_queries.erase(command.id);
  if (!status)
    return;
  transition.answers[command.id] = {*status, now};
  transition.last_answer_at = now;
}

void Failover::finish_promotion(std::uint64_t token, int status, TimePoint now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  Transition& transition = transitions_[found->second.service];
  transition.is_promotion_outstanding = false;
  transition.promoted_at = now;  // the call may have been on its way until now
  transition.is_promotion_accepted = status == http_ok;
  // An answer from before the promotion may tell of a lead that it ended.
  transition.answers.clear();
  forget_queries(found->second.service);
  if (status == http_conflict)
    transition.is_promotion_refused = true;
  pending_.erase(found);
}

Failover::Output Failover::take_output() {
  return std::exchange(output_, {});
}

}  // namespace saddlewing
