#pragma once
// The election timeout of one node, its attempts and the votes it got.
//
// Timeouts are drawn at random (Raft paper, section 5.2). Knows neither terms nor members: RaftNode
// decides who may campaign and whether the votes are a quorum.
// Owned by RaftNode, used in its thread alone. Time and seed come from outside.
#include <cstdint>
#include <map>
#include <random>

#include "state/types.h"

namespace saddlewing {

class Election {
 public:
  Election(Duration election_timeout, Duration heartbeat_interval, std::uint64_t random_seed)
      : election_timeout_(election_timeout),
        heartbeat_interval_(heartbeat_interval),
        random_(random_seed) {
  }

  // Draws a new timeout from `now` on: between the minimum and twice the minimum (or the minimum
  // and two heartbeats more, if that is longer). The minimum is the election timeout if there is a
  // leader to wait for. Without one an attempt costs nothing, for a pre-vote disturbs nobody: it
  // begins at half a heartbeat and doubles with each attempt, for votes may be slow to arrive.
  void reset_timer(bool has_leader, TimePoint now);
  // A vote is on disk here, and is counted or on its way: gives the election the time to end. Other
  // votes wait for saves as well, and saves there take about as long as here.
  void wait_for_votes(Duration save_duration, TimePoint now);
  // The timer expires at `deadline`, whatever was drawn.
  void set_deadline(TimePoint deadline) {
    deadline_ = deadline;
  }
  TimePoint deadline() const {
    return deadline_;
  }
  bool is_due(TimePoint now) const {
    return now >= deadline_;
  }

  // One more attempt since a leader was heard.
  void count_attempt() {
    ++attempts_;
  }
  // A leader was heard, or this node leads.
  void clear_attempts() {
    attempts_ = 0;
  }

  // Whether the leader before stepped down for this candidate, and waits for no lease before its
  // own: so none stands. An older build never says so.
  void set_former_lease_over(bool is_over) {
    is_former_lease_over_ = is_over;
  }
  bool is_former_lease_over() const {
    return is_former_lease_over_;
  }

  // A new round of votes begins, without any.
  void clear_votes() {
    votes_.clear();
  }
  void grant_vote(MemberId voter) {
    votes_[voter] = true;
  }
  bool has_vote(MemberId voter) const {
    return votes_.contains(voter);
  }

 private:
  friend struct RaftNodeProbe;

  Duration election_timeout_;
  Duration heartbeat_interval_;
  std::mt19937_64 random_;
  TimePoint deadline_{};
  int attempts_ = 0;
  bool is_former_lease_over_ = false;  // of the election under way
  std::map<MemberId, bool> votes_;     // Invariant: holds granted votes alone
};

}  // namespace saddlewing
