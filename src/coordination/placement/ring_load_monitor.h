#pragma once
// How the ring spreads load over its nodes: who carries too much, and which virtual nodes could
// move. Pure.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/hash_ring.h"

namespace saddlewing {

struct RingLoad {
  double attempts = 0, busy_ms = 0, bytes = 0;
  RingLoad& operator+=(const RingLoad& other) {
    attempts += other.attempts, busy_ms += other.busy_ms, bytes += other.bytes;
    return *this;
  }
};

// Sums that fade: what came one half-life ago counts half.
class RingLoads {
 public:
  explicit RingLoads(Duration half_life) : half_life_(half_life) {
  }
  void add(VirtualNode virtual_node, const RingLoad& load, TimePoint now);
  std::vector<RingLoad> sums(std::size_t count, TimePoint now) const;

 private:
  double fading(TimePoint since, TimePoint now) const;
  Duration half_life_;
  std::vector<std::pair<RingLoad, TimePoint>> rows_;
};

// The same for accounts, of which only the busiest are kept.
class AccountLoads {
 public:
  AccountLoads(Duration half_life, std::size_t limit) : half_life_(half_life), max_(limit) {
  }
  void add(const std::string& account, const RingLoad& load, TimePoint now);
  // The busiest first.
  std::vector<std::pair<std::string, RingLoad>> sums(TimePoint now) const;

 private:
  double fading(TimePoint since, TimePoint now) const;
  Duration half_life_;
  std::size_t max_;
  std::map<std::string, std::pair<RingLoad, TimePoint>> rows_;
};

// What a broker counted since it last told: a bounded list, the busiest first.
std::string encode_loads(const std::vector<std::pair<VirtualNode, RingLoad>>& loads);
bool decode_loads(const std::string& bytes, std::vector<std::pair<VirtualNode, RingLoad>>& loads);

std::string encode_account_loads(const std::vector<std::pair<std::string, RingLoad>>& loads);
bool decode_account_loads(const std::string& bytes,
                          std::vector<std::pair<std::string, RingLoad>>& loads);

struct WatchOptions {
  double over = 1.25,
         settled =
             1.10;  // of the mean: above `over` a node carries too much, until under `settled`
  double min_attempts = 200;  // fewer tell nothing
  std::size_t max_proposals = 4;
  double distance_zone = 2,
         distance_region = 8;  // cost of a byte over the way, against one within a zone
};

struct NodeReport {
  std::string name;
  RingLoad load;
  double share = 0;  // busy time against the mean that its weight entitles it to; 1 is just that
  double memory_mb = 0, disk_mb = 0;  // in use by its virtual nodes
  bool is_over = false;
};

struct MoveProposal {
  RingUnit unit;
  std::string from, to;
  RingLoad load;
  double memory_mb = 0, disk_mb = 0;
  double share_from = 0, share_to = 0;  // expected after it and those before it
  double cost = 0;                      // bytes times distance, over the receiver's disk
};

struct RingReport {
  std::vector<NodeReport> nodes;
  std::vector<RingLoad> virtual_nodes;
  std::vector<std::pair<std::string, RingLoad>> accounts;  // the busiest, as far as known
  std::vector<MoveProposal> proposals;
  std::vector<std::string> remarks;  // why the rest stays
  bool is_enough = false;            // enough askings to judge by
  bool is_balanced() const;
};

// Remembers who carried too much, so that noise around the bound proposes nothing.
class RingLoadMonitor {
 public:
  explicit RingLoadMonitor(WatchOptions options) : options_(options) {
  }
  // `loads`: of virtual nodes, without accounts that live elsewhere; `accounts`: of the busiest.
  RingReport report(const RingMap& ring, const std::vector<RingLoad>& loads,
                    const std::vector<std::pair<std::string, RingLoad>>& accounts = {});

 private:
  void mark_overloaded(std::vector<NodeReport>& nodes);

  WatchOptions options_;
  std::vector<std::string> over_;  // names of the nodes that the last report found overloaded
};

// Reads an operator's file and checks it against the configuration: the ring never sends where no
// route allows it.
Error check_ring_file(const std::string& file, const Configuration& configuration, RingMap& ring);

// What a move of this unit costs between these nodes: its megabytes, weighed by distance and by the
// slower end.
double move_cost(const RingMap& ring, const RingUnit& unit, std::size_t from, std::size_t to,
                 const WatchOptions& options);

}  // namespace saddlewing
