#pragma once
// A move of a virtual node or an account between nodes, and its encoding in the ring document.
// Pure data: shard_migration.h decides the steps.
#include <cstdint>
#include <string>
#include <vector>

#include "state/hash_ring.h"

namespace saddlewing {

struct RingMove {
  // The numbers travel and lie on disk: new ones come last.
  enum class Step : std::uint64_t {
    planned,
    copying,
    closing,
    switched,
    settled,
    undone,
    opened
  };
  std::uint64_t id = 0;
  RingUnit unit;
  std::string from, to;
  Step step = Step::planned;
  std::uint64_t revision = 0;  // of the sheet that brought the step
  double benefit = 0;          // of those planned the greatest goes first
  bool is_open() const {
    return step != Step::settled && step != Step::undone;
  }
  // Both ends are at work on it, so neither takes part in another.
  bool is_busy() const {
    return step == Step::copying || step == Step::closing || step == Step::switched;
  }
  // Writes of the unit wait.
  bool is_closed() const {
    return step == Step::closing || step == Step::switched;
  }
};
const char* name_of(RingMove::Step step);
std::string encode_moves(const std::vector<RingMove>& moves);
bool decode_moves(const std::string& bytes, std::vector<RingMove>& moves);

}  // namespace saddlewing
