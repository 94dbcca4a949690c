#pragma once
// What a node knows of the leader of its term, and when it heard of it.
//
// Plain state, owned by RaftNode and used in its thread alone.
#include <string>
#include <utility>

#include "state/types.h"

namespace saddlewing {

struct LeaderContact {
  // The leader of the present term; zero and empty while none is known. Invariant: set and cleared
  // together.
  MemberId id;
  std::string address;

  // Whom `last_contact` is of. Stays when the leader is given up.
  MemberId last_id;
  // When a message of a leader came last.
  TimePoint last_contact{};
  // When a leader last said that a quorum stands behind it.
  TimePoint last_confirmed_contact{};
  // Index of the leader's newest entry, as it said last.
  Index last_index;

  bool is_known() const {
    return !address.empty();
  }
  // A leader is known and was heard within `election_timeout`.
  bool is_live(Duration election_timeout, TimePoint now) const {
    return is_known() && now - last_contact < election_timeout;
  }
  void set(MemberId leader_id, std::string leader_address) {
    id = leader_id;
    address = std::move(leader_address);
  }
  // No leader is known any more.
  void clear() {
    id = {};
    address.clear();
  }
};

}  // namespace saddlewing
