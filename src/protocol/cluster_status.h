#pragma once
// What one registry knows of the Raft cluster of registries, for the operator's `saddlewing core`.
// Durations are in milliseconds before the answer. Filled by RaftNode::status.
// Threading: values without shared state.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

struct ClusterStatus {
  enum class Role : std::uint64_t {
    follower,
    pre_candidate,
    candidate,
    leader,
  };

  // A member. Every node knows the voters; learners, and how a member fares, only the leader.
  struct Peer {
    MemberId id;
    std::string address;
    bool is_voter = false;
    bool is_known = false;           // the three fields below are set
    bool is_matched = false;         // has the leader's last entry on disk
    std::uint64_t last_contact = 0;  // milliseconds
    // Entries that it lacks, by the last one it acknowledged; 0 unless it did so in this term.
    std::uint64_t behind = 0;
  };

  std::string node;  // its name
  MemberId self;
  std::string address;
  Role role{};
  bool is_voter = false;    // by its own newest entry
  bool is_removed = false;  // a live cluster told it that it is no member any more
  Term term;
  std::string leader;                     // address; empty: none known
  std::uint64_t leader_last_contact = 0;  // milliseconds; of a follower that knows a leader
  bool has_committed = false;             // knows of a committed entry since it started
  Term committed_term;
  Index committed;
  Index last;                   // of its newest entry
  Index leader_last;            // of the leader's newest entry, as last heard
  Version version;              // committed
  std::uint32_t core_size = 0;  // voters wanted; 0: not agreed yet
  // A majority answered this leader, or a leader spoke to this follower, within the least election
  // time-out. After the loss of the majority a follower may still say so until its leader gives up,
  // two such time-outs.
  bool is_confirmed = false;
  bool is_save_failing = false;  // the last save failed
  bool is_save_stuck = false;    // a save takes longer than a disk should
  std::uint64_t saving = 0;      // milliseconds since the save under way began
  std::vector<Peer> peers;       // voters and learners, itself as well
};

// "follower", ...: as operators see it.
const char* name_of(ClusterStatus::Role role);

// Encode: a whole frame.
std::string encode_cluster_status_request(const FrameHead& head);
std::string encode(const FrameHead& head, const ClusterStatus& status);
// Reads what follows the head. False: cut short, too long, or a role that does not exist.
bool decode(ByteReader& reader, ClusterStatus& status);

}  // namespace saddlewing
