#pragma once
// What one registry knows of its core, for the operator's `saddlewing core`. Spans are milliseconds
// before the answer.
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
    leader
  };
  // Of voters every node knows who they are; learners, and how a member fares, the leader alone.
  struct Peer {
    MemberId id;
    std::string address;
    bool is_voter = false,
         is_known = false;    // known: `last_contact`, `is_matched` and `behind` are told
    bool is_matched = false;  // holds the leader's last entry on disk
    std::uint64_t last_contact = 0;
    std::uint64_t behind =
        0;  // entries, by the last it answered with; 0 unless it has answered in this term
  };

  std::string node;  // its name
  MemberId self;
  std::string address;
  Role role{};
  bool is_voter = false;    // by its own newest entry
  bool is_removed = false;  // a live core told it that it is no member any more
  Term term;
  std::string leader;                     // its address; empty: none known
  std::uint64_t leader_last_contact = 0;  // of a follower that knows a leader
  bool has_committed = false;             // knows in this life of something committed
  Term committed_term;
  Index committed, last,
      leader_last;  // last: of its newest entry; leader_last: as the leader told it last
  Version version;  // committed
  std::uint32_t core_size = 0;  // voters wanted; 0: not agreed yet
  // A majority answered this leader, or a leader spoke to this follower, within the least election
  // time-out. A follower may so trail the loss of the majority by the time in which its leader
  // gives up, two such time-outs.
  bool is_confirmed = false;
  bool is_save_failing = false,
       is_save_stuck = false;  // the last save failed; one takes longer than a disk should
  std::uint64_t saving = 0;    // since the save under way began
  std::vector<Peer> peers;     // voters and learners, itself as well
};
const char* name_of(ClusterStatus::Role role);

std::string encode_cluster_status_request(const FrameHead& head);
std::string encode(const FrameHead& head, const ClusterStatus& value);
// False: cut short, too long, or a role that there is not.
bool decode(ByteReader& reader, ClusterStatus& value);

}  // namespace saddlewing
