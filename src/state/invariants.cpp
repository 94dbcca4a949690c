#include "state/invariants.h"

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <iterator>
#include <mutex>

namespace saddlewing {
namespace {

constexpr auto invariant_count = static_cast<std::size_t>(Invariant::count);

/** In the order of the enumeration. */
constexpr InvariantRow rows[] = {
    {Invariant::one_response_per_request, "one_response_per_request",
     "A request gets one response.", "The second one is dropped."},
    {Invariant::no_attempt_after_close, "no_attempt_after_close",
     "No attempt begins once the request has its response or its client left.",
     "The attempt is not sent."},
    {Invariant::unsafe_request_runs_once, "unsafe_request_runs_once",
     "A request that may run once is at one backend at a time, and at no further one once it may "
     "have run.",
     "The attempt is not sent."},
    {Invariant::attempts_within_tries, "attempts_within_tries",
     "No part of a request may have run on more backends than its route's tries.",
     "The attempt is not sent."},
    {Invariant::refusal_means_nothing_ran, "refusal_means_nothing_ran",
     "A status that promises that nothing ran goes out only if nothing ran and nothing is at work.",
     "Answered 502 instead."},
    {Invariant::no_attempt_to_draining_backend, "no_attempt_to_draining_backend",
     "No attempt goes to a backend that drains or is gone.", "The attempt is not sent."},
    {Invariant::one_attempt_per_connection, "one_attempt_per_connection",
     "A connection carries one attempt at a time.", "The attempt is not sent there."},
    {Invariant::version_in_force_never_falls, "version_in_force_never_falls",
     "The version in force never falls within an incarnation.", "The older version is not taken."},
    {Invariant::pending_tables_agree, "pending_tables_agree",
     "Requests, their client exchanges and their delegated gathers refer to each other.",
     "Counted alone."},
    {Invariant::term_and_vote_never_go_back, "term_and_vote_never_go_back",
     "The saved term never falls, and the vote of a term never changes.",
     "The state is not saved, so nothing that relies on it leaves."},
    {Invariant::entry_never_goes_back, "entry_never_goes_back",
     "The saved entry never falls in (term, index).",
     "The state is not saved, so nothing that relies on it leaves."},
    {Invariant::commit_never_goes_back, "commit_never_goes_back",
     "The committed entry never falls in (term, index), nor its version.",
     "The older entry is not taken."},
    {Invariant::one_leader_per_term, "one_leader_per_term", "One leader speaks in a term.",
     "The message is dropped."},
    {Invariant::acknowledged_is_committed, "acknowledged_is_committed",
     "A change is acknowledged only when its version, or a higher one, is committed here.",
     "Answered as not done."},
    {Invariant::read_is_newest_known, "read_is_newest_known",
     "A read gives no older version than was committed here when it began.",
     "Answered as not done."},
    {Invariant::leader_has_newest_term, "leader_has_newest_term",
     "Who is agreed to lead a database says so, in the newest term known of that database.",
     "The leadership stays as it is."},
    {Invariant::hand_over_is_accepted, "hand_over_is_accepted",
     "What one thread hands to another is accepted: the queue between them has room.",
     "It is lost, and told of."},
};
static_assert(std::size(rows) == invariant_count);

std::array<std::atomic<std::uint64_t>, invariant_count> violations{};
std::mutex handler_mutex;
ViolationHandler handler;

std::size_t index_of(Invariant invariant) {
  return static_cast<std::size_t>(invariant);
}

}  // namespace

const InvariantRow& row_of(Invariant invariant) {
  return rows[index_of(invariant)];
}

void set_violation_handler(ViolationHandler replacement) {
  const std::lock_guard lock(handler_mutex);
  handler = std::move(replacement);
}

void report_violation(Invariant invariant, const std::string& evidence) {
  const std::uint64_t before = violations[index_of(invariant)].fetch_add(1);
  const InvariantRow& row = row_of(invariant);
  ViolationHandler called;
  {
    const std::lock_guard lock(handler_mutex);
    called = handler;
  }
  if (called)
    return called(row, evidence);
  if (before == 0)
    LOG(ERROR) << "invariant: violated name=" << row.name << " statement=\"" << row.statement
               << "\" evidence=\"" << evidence << "\"";
}

std::uint64_t violations_of(Invariant invariant) {
  return violations[index_of(invariant)];
}

std::uint64_t count_violations() {
  std::uint64_t sum = 0;
  for (const auto& count : violations)
    sum += count;
  return sum;
}

std::string violations_page() {
  constexpr const char* name = "saddlewing_invariant_violations_total";
  std::string page = std::string("# HELP ") + name +
                     " Violations of what must always hold.\n# TYPE " + name + " counter\n";
  for (const InvariantRow& row : rows)
    page += std::string(name) + "{invariant=\"" + std::string(row.name) + "\"} " +
            std::to_string(violations_of(row.invariant)) + "\n";
  return page;
}

}  // namespace saddlewing
