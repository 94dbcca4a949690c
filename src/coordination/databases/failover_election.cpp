// Election of a database and its promotion: the phases closing and raising.
#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/databases/failover.h"
#include "protocol/database_protocol.h"

namespace saddlewing {
namespace {

// While the former leader is reachable, its most advanced replica has so long to catch up with it;
// with synchronous replication, as long as the former leader answers.
constexpr Duration max_catch_up_wait{1500};

// A former leader that answered no later than that is reachable.
constexpr Duration max_answer_age{2000};

// In status retry intervals: without synchronous replication, an election waits so long for
// replicas that do not answer.
constexpr int answer_wait_intervals = 3;

// In heartbeat intervals: a database that was silent for longer is not asked.
constexpr int max_silent_intervals = 20;

constexpr Duration promotion_retry_interval{400};  // after a call without a result
constexpr Duration promotion_timeout{2500};        // after a call that the platform accepted

// A target whose heartbeats are missing so long after its election is given up.
constexpr Duration target_timeout{2500};

}  // namespace

// Whether a database's word that it leads holds without a promotion. A former leader goes on saying
// so until it hears of the newer term. Once a promotion was called for, only a newer term shows
// that it did not take effect elsewhere.
bool Failover::is_present_leader(const DatabaseLeadership& leadership,
                                 const DatabaseStatus& status) const {
  return leads_in_newest_term(leadership, status) &&
         (leadership.target.empty() || status.term > leadership.term);
}

// Whether the promoted database leads. The platform leaves the present leader in its term, so that
// its consent counts as well as a newer term.
bool Failover::has_taken_the_lead(const DatabaseLeadership& leadership,
                                  const DatabaseStatus& status) const {
  return leads_in_newest_term(leadership, status) &&
         (transitions_.at(leadership.service).is_promotion_accepted ||
          (leadership.term > 0 && status.term > leadership.term));
}

void Failover::query_databases(const std::string& service, const EndpointPointers& endpoints,
                               TimePoint now) {
  Transition& transition = transitions_[service];
  if (now < transition.next_step_at)
    return;
  transition.next_step_at = now + options_.status_retry_interval;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    const bool is_silent = now - endpoint->last_heartbeat >=
                           options_.backend_heartbeat_interval * max_silent_intervals;
    if (is_silent || !transition.outstanding_queries.insert(endpoint->id).second)
      continue;
    send_command(service, endpoint->id, PendingCommand::Kind::status, "STATUS");
  }
}

// The one that leads in the newest term, once all have answered or had the time to. None: not known
// yet.
std::optional<DatabaseLeadership> Failover::choose_claimant(const std::string& service,
                                                            const EndpointPointers& claimants,
                                                            TimePoint now) {
  query_databases(service, claimants, now);
  Transition& transition = transitions_[service];
  const Duration waited = transition.comparison_duration(now);
  DatabaseLeadership chosen;
  chosen.service = service;
  std::size_t answer_count = 0;
  for (const DatabaseEndpoint* claimant : claimants) {
    const StatusAnswer* answer = transition.find_answer(claimant->id);
    if (!answer)
      continue;
    ++answer_count;
    if (!answer->status.is_leader || answer->status.term <= chosen.term)
      continue;
    chosen.id = claimant->id;
    chosen.term = answer->status.term;
  }
  if (answer_count < claimants.size() && !is_answer_wait_over(waited))
    return std::nullopt;
  if (answer_count == 0 && claimants.size() == 1)
    chosen.id = claimants.front()->id;
  return chosen.id.empty() ? std::nullopt : std::optional(chosen);
}

// `waited`: since the comparison began.
bool Failover::is_answer_wait_over(Duration waited) const {
  return waited >= options_.status_retry_interval * answer_wait_intervals;
}

// `waited`: since the comparison began. One that ended its registration may serve on and alone have
// a commit: it has the time to answer, and is not waited for longer.
Failover::Comparison Failover::compare_replicas(const DatabaseLeadership& leadership,
                                                const EndpointPointers& endpoints, int sync,
                                                Duration waited) const {
  const Transition& transition = transitions_.at(leadership.service);
  Comparison comparison;
  std::map<std::string, bool> has_answered;  // by address of a replica
  std::string former_address;
  for (const DatabaseEndpoint* endpoint : endpoints) {
    const bool is_former = endpoint->id == leadership.id;
    if (is_former)
      former_address = endpoint->address;
    // It leads again without a promotion, or, once one was called for, is elected like a replica.
    if (is_former && leadership.target.empty())
      continue;
    const StatusAnswer* answer = transition.find_answer(endpoint->id);
    if (!endpoint->is_gone || !is_answer_wait_over(waited))
      has_answered[endpoint->address] |= answer != nullptr;
    if (!answer)
      continue;
    const DatabaseStatus& status = answer->status;
    // While no term was ever agreed, a former leader can't be told from the present one.
    const bool is_leading = leadership.term > 0 && is_present_leader(leadership, status);
    // A replica that is emptying is elected only where it may alone have a commit, to hand it on.
    if (!endpoint->is_ready && !is_leading && sync <= 0)
      continue;
    if (comparison.best &&
        std::tuple(is_leading, status.position, endpoint->is_ready) <=
            std::tuple(comparison.is_best_leading, comparison.best_status.position,
                       comparison.best->is_ready))
      continue;
    comparison.best = endpoint;
    comparison.best_status = status;
    comparison.is_best_leading = is_leading;
  }
  has_answered.erase(former_address);
  comparison.has_every_answer = std::all_of(has_answered.begin(), has_answered.end(),
                                            [](const auto& item) { return item.second; });
  return comparison;
}

// Whether the most advanced replica lacks something of the former leader's and may still get it.
// `former`: the answer of the former leader; null: there is none. `waited`: since the comparison
// began.
bool Failover::must_catch_up(const Comparison& comparison, const StatusAnswer* former, int sync,
                             Duration waited, TimePoint now) {
  if (!former || comparison.best_status.position >= former->status.position)
    return false;
  const bool is_reachable = elapsed(former->received_at, now) <= max_answer_age;
  return waited < max_catch_up_wait || (sync > 0 && is_reachable);
}

// `former`, `waited`: as above.
bool Failover::is_elected(const DatabaseLeadership& leadership, const Comparison& comparison,
                          const StatusAnswer* former, int sync, Duration waited) const {
  // Whatever was acknowledged is in the leader's log.
  if (former && leads_in_newest_term(leadership, former->status) &&
      comparison.best_status.position >= former->status.position)
    return true;
  if (comparison.has_every_answer)
    return true;
  // With synchronous replication a replica that does not answer may alone have a commit.
  return sync <= 0 && is_answer_wait_over(waited);
}

// Nobody may use the former leader any more. Once no pooler can, the logs are compared: what was
// acknowledged by then does not change any more, so that no replica has to be paused for it.
void Failover::elect(const DatabaseLeadership& leadership, int sync,
                     const EndpointPointers& endpoints, TimePoint now) {
  if (leases_.has_lease_before(leadership.revision, now))
    return;
  Transition& transition = transitions_[leadership.service];
  if (transition.is_promotion_outstanding ||
      (transition.was_promoted && now - transition.promoted_at < options_.max_promotion_delay))
    return;  // an earlier call may still take effect
  const Duration waited = transition.comparison_duration(now);
  const std::string& service = leadership.service;
  query_databases(service, endpoints, now);
  const StatusAnswer* former = transition.find_answer(leadership.id);
  const Comparison comparison = compare_replicas(leadership, endpoints, sync, waited);
  const DatabaseStatus& best = comparison.best_status;
  // Another leads already: an earlier promotion took effect, or the former leader began anew.
  if (comparison.is_best_leading) {
    const std::string& id = comparison.best->id;
    return propose_leader(leadership, id, best, service + " is led by " + id + " already");
  }
  if (!leadership.is_planned && has_former_leader_returned(leadership, former, endpoints, now))
    return propose_leader(leadership, leadership.id, former->status,
                          service + " is led by " + leadership.id + " as before");
  if (!comparison.best || must_catch_up(comparison, former, sync, waited, now) ||
      !is_elected(leadership, comparison, former, sync, waited))
    return;
  DatabaseLeadership next = leadership;
  next.phase = DatabaseLeadership::Phase::raising;
  next.target = comparison.best->id;
  next.term = newest_term(leadership);
  propose_change(std::move(next), service + ": " + comparison.best->id + " at " +
                                      best.position.text() + " is to lead");
}

bool Failover::has_former_leader_returned(const DatabaseLeadership& leadership,
                                          const StatusAnswer* former,
                                          const EndpointPointers& endpoints, TimePoint now) const {
  if (!former || !is_present_leader(leadership, former->status))
    return false;
  const DatabaseEndpoint* endpoint = find_endpoint(endpoints, leadership.id);
  return endpoint && endpoint->is_ready &&
         now - endpoint->last_heartbeat < options_.backend_heartbeat_interval * 5 / 4;
}

void Failover::call_promotion(const DatabaseLeadership& leadership, TimePoint now) {
  Transition& transition = transitions_[leadership.service];
  if (transition.is_promotion_outstanding)
    return;
  const Duration interval =
      transition.is_promotion_accepted ? promotion_timeout : promotion_retry_interval;
  if (transition.was_promoted && now - transition.promoted_at < interval)
    return;
  transition.was_promoted = true;
  transition.is_promotion_outstanding = true;
  transition.promoted_at = now;
  ++last_token_;
  pending_[last_token_] = {leadership.service, leadership.target, PendingCommand::Kind::promotion};
  output_.promotions.push_back({last_token_, leadership.service, leadership.target});
}

bool Failover::is_target_lost(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, TimePoint now) const {
  const DatabaseEndpoint* target = find_endpoint(endpoints, leadership.target);
  if (!target)
    return true;
  return now - transitions_.at(leadership.service).phase_started_at > target_timeout &&
         now - target->last_heartbeat > options_.backend_heartbeat_interval * 2;
}

void Failover::promote_target(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, TimePoint now) {
  if (leases_.has_lease_before(leadership.revision, now))
    return;
  const std::string& service = leadership.service;
  const std::string& target = leadership.target;
  Transition& transition = transitions_[service];
  const StatusAnswer* answer = transition.find_answer(target);
  if (answer && has_taken_the_lead(leadership, answer->status))
    return propose_leader(leadership, target, answer->status, service + " is led by " + target);
  if (transition.is_promotion_refused || is_target_lost(leadership, endpoints, now))
    return propose_closing(leadership, leadership.is_planned,
                           service + ": " + target + " can't take the lead");
  if (now < transition.next_step_at)
    return;
  transition.next_step_at = now + options_.status_retry_interval;
  call_promotion(leadership, now);
  if (transition.outstanding_queries.insert(target).second)
    send_command(service, target, PendingCommand::Kind::status, "STATUS");
}

}  // namespace saddlewing
