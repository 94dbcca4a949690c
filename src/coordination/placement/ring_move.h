#pragma once
// A move of a virtual node or an account between nodes, and its encoding in the ring document.
// Pure data: shard_migration.h decides the steps.
#include <cstdint>
#include <string>
#include <vector>

#include "state/hash_ring.h"

namespace saddlewing {

// One move as the coordinators have agreed on it.
struct RingMove {
  // The numbers are sent and stored: append new steps at the end.
  enum class Step : std::uint64_t {
    planned,
    copying,
    closing,
    switched,
    settled,
    undone,
    opened
  };
  std::uint64_t id = 0;  // 0: not assigned yet
  RingUnit unit;
  std::string from;  // name of the giving node
  std::string to;    // name of the receiving node
  Step step = Step::planned;
  std::uint64_t revision = 0;  // of the ring document that brought the step
  double benefit = 0;          // among planned moves the greatest starts first

  // Neither completed nor undone.
  bool is_open() const {
    return step != Step::settled && step != Step::undone;
  }
  // Both nodes work on it, so neither takes part in another move.
  bool is_busy() const {
    return step == Step::copying || step == Step::closing || step == Step::switched;
  }
  // Writes to the unit must wait.
  bool is_closed() const {
    return step == Step::closing || step == Step::switched;
  }
};
const char* name_of(RingMove::Step step);

// The form that is stored in RingDocument::moves.
std::string encode_moves(const std::vector<RingMove>& moves);
// Replaces `moves`; reads the form without accounts too. False if the bytes are malformed; the
// moves before the fault are then in `moves`. Empty bytes are no moves.
bool decode_moves(const std::string& bytes, std::vector<RingMove>& moves);

}  // namespace saddlewing
