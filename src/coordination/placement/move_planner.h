#pragma once
// Plans the moves that bring overloaded nodes of the ring back under their bound. Pure: works on
// one report's figures, sends nothing and remembers nothing between reports. Not thread-safe; a
// planner is made for one report and used by one thread.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/placement/ring_load_monitor.h"

namespace saddlewing {

// How busy the nodes of a ring are. Indices are those of RingMap::nodes.
struct RingBalance {
  std::vector<double> busy_ms;  // of each node
  double total_weight = 0;
  double total_busy_ms = 0;
  double total_attempts = 0;

  // Busy time of the node against what its weight entitles it to: 1 is exactly that, 0 if the ring
  // is idle.
  double share_of(const RingMap& ring, std::size_t node) const;
};

// A virtual node or an account that could move.
struct MoveCandidate {
  RingUnit unit;
  std::uint32_t owner = 0;  // index of the node that owns it
  RingLoad load;
  bool is_taken = false;  // it, or a unit that contains it, is proposed already
};

// Proposes moves one by one, the one with the greatest benefit first, and counts each proposed move
// as done when it looks for the next.
class MovePlanner {
 public:
  // The ring and the options must outlive the planner. `nodes`: the report's, in the ring's order.
  MovePlanner(const RingMap& ring, const WatchOptions& options, RingBalance balance,
              std::vector<MoveCandidate> candidates, const std::vector<NodeReport>& nodes);

  // Adds proposals to the report until no overloaded node is above WatchOptions::settled; if some
  // node stays above it, adds the remark that says why.
  void plan(RingReport& report);

 private:
  struct Choice {
    MoveCandidate* candidate = nullptr;  // null: no move helps
    std::size_t receiver = 0;
    double benefit = 0;
    bool has_load = false;  // some unit of the node has load that a move would take away
    bool has_room = false;  // some other node has memory and disk for such a unit
  };
  std::optional<std::size_t> find_busiest(const std::vector<NodeReport>& nodes) const;
  Choice choose_move(std::size_t giver);
  void try_receivers(MoveCandidate& candidate, std::size_t giver, Choice& choice) const;
  bool has_room(const RingUnit& unit, std::size_t receiver) const;
  double benefit_of(const MoveCandidate& candidate, std::size_t giver, std::size_t receiver) const;
  MoveProposal apply(const Choice& choice, std::size_t giver);
  void mark_taken(MoveCandidate& moved, std::size_t giver);
  std::string describe_stay(std::size_t giver, const std::string& reason) const;

  const RingMap& ring_;
  const WatchOptions& options_;
  RingBalance balance_;  // with the proposed moves done
  std::vector<MoveCandidate> candidates_;
  std::vector<double> memory_mb_;  // in use at each node, with the proposed moves done
  std::vector<double> disk_mb_;    // likewise
};

}  // namespace saddlewing
