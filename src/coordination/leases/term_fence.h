#pragma once
// Rejects leaders of outdated terms.
//
// Job: remembers the highest term that this process has heard of and decides whether a sender may
// still give orders. It does not check leases or signatures, and it keeps nothing across a restart.
// Threading: not synchronized; one owner.
// Source: the rule on terms in Raft (Ongaro and Ousterhout, 2014, section 5.1).
#include <algorithm>

#include "state/types.h"

namespace saddlewing {

// Invariant: within one incarnation of the process, no leader is admitted whose term is lower than
// one that was heard of before. Used by brokers and poolers, and between registries.
class TermFence {
 public:
  // Records the term of a message and tells whether its sender may give orders.
  // `term`: the term in which the sender leads or follows a leader; 0: it knows of none.
  // `is_leader`: the sender says that it leads in that term.
  bool admits(Term term, bool is_leader) {
    highest_term_ = std::max(highest_term_, term);
    return is_leader && term.value != 0 && term == highest_term_;
  }

  // The highest term heard of; 0 before any.
  Term highest_term() const {
    return highest_term_;
  }

 private:
  Term highest_term_;  // never falls
};

}  // namespace saddlewing
