#pragma once
// Measures how the hash ring spreads load over its nodes: which nodes are overloaded and which
// moves would help. Pure: takes counts and the time, sends and stores nothing; move_planner.h
// chooses the moves. Not thread-safe: each object belongs to one thread.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/hash_ring.h"

namespace saddlewing {

// Load of a virtual node, an account or a node. Fractions come from the decay of older counts.
struct RingLoad {
  double attempts = 0;  // requests sent to a node
  double busy_ms = 0;   // how long they took, milliseconds
  double bytes = 0;     // of their heads and bodies

  RingLoad& operator+=(const RingLoad& other) {
    attempts += other.attempts;
    busy_ms += other.busy_ms;
    bytes += other.bytes;
    return *this;
  }
};

// Exponentially decaying load of each virtual node: what came one half-life ago counts half.
class RingLoads {
 public:
  explicit RingLoads(Duration half_life) : half_life_(half_life) {
  }
  // Virtual nodes above the largest possible number are ignored.
  void add(VirtualNode virtual_node, const RingLoad& load, TimePoint now);
  // Load as of now of the virtual nodes 0 to `count` - 1.
  std::vector<RingLoad> sums(std::size_t count, TimePoint now) const;

 private:
  double fading(TimePoint since, TimePoint now) const;
  Duration half_life_;
  std::vector<std::pair<RingLoad, TimePoint>> rows_;  // by virtual node: load, time of last update
};

// Exponentially decaying load of accounts, of which only the busiest are kept: at most twice
// `limit`.
class AccountLoads {
 public:
  AccountLoads(Duration half_life, std::size_t limit) : half_life_(half_life), max_(limit) {
  }
  void add(const std::string& account, const RingLoad& load, TimePoint now);
  // Load as of now, the busiest account first.
  std::vector<std::pair<std::string, RingLoad>> sums(TimePoint now) const;

 private:
  double fading(TimePoint since, TimePoint now) const;
  Duration half_life_;
  std::size_t max_;
  std::map<std::string, std::pair<RingLoad, TimePoint>> rows_;
};

// Encodes what a broker counted since its last report. Callers pass the busiest first: entries
// beyond a fixed limit are dropped.
std::string encode_loads(const std::vector<std::pair<VirtualNode, RingLoad>>& loads);
// False if the bytes are malformed; entries read before the fault stay in `loads`.
bool decode_loads(const std::string& bytes, std::vector<std::pair<VirtualNode, RingLoad>>& loads);

std::string encode_account_loads(const std::vector<std::pair<std::string, RingLoad>>& loads);
// As decode_loads; entries whose account is not well-formed are skipped.
bool decode_account_loads(const std::string& bytes,
                          std::vector<std::pair<std::string, RingLoad>>& loads);

struct WatchOptions {
  // Shares of the mean load, see NodeReport::share. A node above `over` counts as overloaded until
  // it is back under `settled`; no move may lift its receiver above `settled`.
  double over = 1.25;
  double settled = 1.10;
  // Fewer attempts in all are too few to judge by: the report then proposes nothing.
  double min_attempts = 200;
  // Moves proposed in one report.
  std::size_t max_proposals = 4;
  // Cost of moving a byte to another zone and to another region; 1 is a move within the zone.
  double distance_zone = 2;
  double distance_region = 8;
};

struct NodeReport {
  std::string name;
  RingLoad load;
  double share = 0;      // busy time against the mean for its weight; 1 is exactly the mean
  double memory_mb = 0;  // in use by its virtual nodes and placed accounts
  double disk_mb = 0;    // likewise
  bool is_over = false;  // overloaded
};

struct MoveProposal {
  RingUnit unit;
  std::string from;  // name of the giving node
  std::string to;    // name of the receiving node
  RingLoad load;     // that moves with the unit
  double memory_mb = 0;
  double disk_mb = 0;
  double share_from = 0;  // of the giver, expected after this move and those proposed before it
  double share_to = 0;    // of the receiver, likewise
  double cost = 0;        // see move_cost
};

struct RingReport {
  std::vector<NodeReport> nodes;                           // in the ring's order
  std::vector<RingLoad> virtual_nodes;                     // by number
  std::vector<std::pair<std::string, RingLoad>> accounts;  // the busiest that are known
  std::vector<MoveProposal> proposals;                     // in the order to carry them out
  std::vector<std::string> remarks;  // for the operator: why nothing more is proposed
  bool is_enough = false;            // there were enough attempts to judge by

  // True if no node is overloaded.
  bool is_balanced() const;
};

// Judges the ring's balance. Remembers between reports which nodes were overloaded (hysteresis), so
// that noise around the bound proposes nothing.
class RingLoadMonitor {
 public:
  explicit RingLoadMonitor(WatchOptions options) : options_(options) {
  }
  // `loads`: one for each virtual node of the ring, without accounts placed on other nodes;
  // `accounts`: of the busiest accounts, placed ones included.
  RingReport report(const RingMap& ring, const std::vector<RingLoad>& loads,
                    const std::vector<std::pair<std::string, RingLoad>>& accounts = {});

 private:
  void mark_overloaded(std::vector<NodeReport>& nodes);

  WatchOptions options_;
  std::vector<std::string> over_;  // names of the nodes that the last report found overloaded
};

// Reads an operator's ring file into `ring` and checks it against the configuration: every node
// must be a service that the ring's route allows. On an error `ring` is unchanged.
Error check_ring_file(const std::string& file, const Configuration& configuration, RingMap& ring);

// Cost of moving the unit between two nodes, given by index: its megabytes on disk times the
// distance, divided by the slowest disk or link of both (megabytes a second).
double move_cost(const RingMap& ring, const RingUnit& unit, std::size_t from, std::size_t to,
                 const WatchOptions& options);

}  // namespace saddlewing
