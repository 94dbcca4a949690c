#pragma once
// The promises that matter most, as checks in the running code. A check is evaluated in release
// builds too. A violation is counted (saddlewing_invariant_violations_total), logged once with its
// evidence, and answered in a way that keeps the promise: the caller refuses, closes or steps down.
// In tests it ends the test; docs/promises.md says which promise each invariant guards.
// Any thread may check at any time.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace saddlewing {

/** What must always hold; invariants.cpp has a sentence and the reaction for each. */
enum class Invariant {
  // Of a broker.
  one_response_per_request,
  no_attempt_after_close,
  unsafe_request_runs_once,
  attempts_within_tries,
  refusal_means_nothing_ran,
  no_attempt_to_draining_backend,
  one_attempt_per_connection,
  version_in_force_never_falls,
  pending_tables_agree,

  // Of a registry.
  term_and_vote_never_go_back,
  entry_never_goes_back,
  commit_never_goes_back,
  one_leader_per_term,
  acknowledged_is_committed,
  read_is_newest_known,
  leader_has_newest_term,

  // Of several.
  hand_over_is_accepted,

  /** Number of invariants; none itself. */
  count
};

/** What is told of an invariant. */
struct InvariantRow {
  Invariant invariant;
  std::string_view name;
  /** One sentence: what holds. */
  std::string_view statement;
  /** What the code does where it does not. */
  std::string_view reaction;
};

const InvariantRow& row_of(Invariant invariant);

/** Called for each violation, after it was counted. */
using ViolationHandler = std::function<void(const InvariantRow&, const std::string& evidence)>;

/** Replaces what happens beyond counting: by default one log line for each invariant. */
void set_violation_handler(ViolationHandler replacement);

/** Counts and reports a violation. */
void report_violation(Invariant invariant, const std::string& evidence);

/** Violations of one invariant, or of all, since the process began. */
std::uint64_t violations_of(Invariant invariant);
std::uint64_t count_violations();

/** The violations in the Prometheus text format, with a line for each invariant. */
std::string violations_page();

/**
 * Checks an invariant.
 * @param evidence is called only where it does not hold; gives the text that explains it.
 * @return whether it holds.
 */
template <class Evidence>
bool check_invariant(Invariant invariant, bool is_true, Evidence&& evidence) {
  if (is_true) [[likely]]
    return true;
  report_violation(invariant, evidence());
  return false;
}

}  // namespace saddlewing
