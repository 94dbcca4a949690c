#pragma once
// Settings of one Raft node: each field with its default, its unit and its effect.
//
// Source: the registry fills them from the node's settings (registry/control_loop.cpp); tests and
// the model checker fill them by hand. Plain data, no threading of its own.
#include <algorithm>
#include <cstdint>
#include <string>

#include "state/types.h"

namespace saddlewing {

struct RaftOptions {
  // Inner address of this node (host:port). Goes out with every message, so that replies find it.
  std::string address;

  // Default 150 ms. Time between two heartbeats of a leader.
  Duration heartbeat_interval{150};

  // Default 700 ms. Least time without a leader's message before a node campaigns; the actual
  // timeout is drawn between this and twice this. Also the length of a leader's lease.
  Duration election_timeout{700};

  // Default 0. Number of voters the cluster should have, a count; 0 means as many as founded it.
  // Written into the first entry that has no number yet.
  std::uint32_t voter_count = 0;

  // Default 1000 ms. A voter without contact for longer is replaced by a caught-up learner.
  Duration voter_timeout{1000};

  // Default 700 ms. A leader hands its leadership over once a voter has had for so long what it is
  // still saving. A save that takes longer is told to operators as stuck.
  Duration disk_stall_timeout{700};

  // Default 2000 ms. Longest time that a leaving node waits for its place to be taken.
  Duration leave_timeout{2000};

  // Default 2 %. How much faster one node's clock may run than another's, in per cent: a new leader
  // waits so much longer for the lease of the one before.
  int clock_drift_percent = 2;

  // Default 1. Seed of the election timeouts; has to differ between processes.
  std::uint64_t random_seed = 1;
};

// The `voter_timeout` for a promised `catch_up` time (milliseconds, both): a silent voter is
// replaced well before its loss may count as made good, but never within one and a half election
// timeouts.
inline Duration replacement_timeout(Duration catch_up, Duration election_timeout) {
  constexpr Duration longest_timeout{3000};
  return std::max(election_timeout * 3 / 2, std::min(catch_up / 4, longest_timeout));
}

}  // namespace saddlewing
