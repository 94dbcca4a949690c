#pragma once
// Moves of virtual nodes and of single accounts between nodes, decided by the leader of the core.
// Pure: progress and a clock in; orders to nodes and proposals out. Every step can be done again:
// what is agreed is in the ring's sheet, the rest is asked from the nodes.
//
//   planned -> copying -> closing -> switched -> opened -> settled;   undone from any step before
//   switched
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/leases/lease_table.h"
#include "coordination/placement/ring_load_monitor.h"
#include "coordination/placement/ring_move.h"

namespace saddlewing {

inline constexpr int node_interface =
    2;  // of the calls that nodes of the ring are asked, see docs/design/ring.md

struct MoveOptions {
  Duration lease{3000}, settle{4000};
  Duration ask_again{400};
  Duration max_closing{
      3000};  // longer, and the move goes back to copying: nobody waits without end
  Duration max_read_duration{
      10000};  // no read of the ring's route that began earlier is still on its way
  Duration max_gather_duration{0};  // nor a gather over its nodes; 0: there is none
  double pace_share = 0.5;          // of the slower end's disk and link
  WatchOptions watch;
};

// What a node said to an order.
struct NodeAnswer {
  enum class Type {
    silent,
    garbled,
    refused,
    told
  };
  Type type = Type::silent;
  bool is_done = false;
  double share = 0;
  int interface = 0;
  std::optional<std::uint64_t> position;  // of the last write it has of the unit
};

class ShardMigration {
 public:
  // What a node is asked. Each may come again and must be harmless then.
  //   describe  nothing; the answer tells which version of the interface the node speaks
  //   copy      the receiver fetches the unit from the giver, at most so fast (0: pauses), and
  //   follows; nobody sees it there close     the giver takes no more writes for it; done once
  //   those under way have ended, with its last position finish    the receiver fetches what came
  //   since; done when it has the position named open      the node shows the unit, takes writes
  //   for it, and serves it from now on retire    the giver shows it no more to gathers that do not
  //   ask for it, and takes no writes drop      the giver forgets it, and turns away what comes for
  //   it under an earlier mark clear     the receiver forgets it, as if it had never been copied
  struct Order {
    std::uint64_t token, move;
    std::string node, what;
    RingUnit unit;
    std::string other;  // the other end
    std::uint64_t revision =
        0;  // of the sheet that the order follows from; a node passes over what is older
    std::uint64_t position = 0;
    double mb_s = 0;
    bool is_placed = false;  // of an account: the ring has it elsewhere than at this node, so it is
                             // no part of a virtual node there
  };
  struct Output {
    std::vector<Order> orders;
    std::optional<RingDocument> proposal;
    std::vector<std::string> news;
  };

  explicit ShardMigration(MoveOptions options)
      : options_(options), leases_(options.lease, options.settle) {
  }
  // The reason if it is refused; empty: it is planned with the next tick. `serving`: nodes with a
  // backend that is UP. `may_wait`: behind other moves of its nodes.
  std::string request(RingUnit unit, const std::string& to, const RingMap& ring,
                      const std::set<std::string>& serving, bool may_wait = false,
                      double benefit = 0);
  std::string undo(std::uint64_t id);
  // `are_lookups_well`: short lookups meet their aims.
  void tick(bool is_leading, const RingDocument& document, const RingMap& ring,
            bool are_lookups_well, TimePoint now);
  void finish_order(std::uint64_t token, const NodeAnswer& answer);
  void finish_proposal() {
    is_proposing_ = false;
  }
  Output take();
  LeaseTable& leases() {
    return leases_;
  }
  const std::vector<RingMove>& moves() const {
    return moves_;
  }
  double progress(std::uint64_t id) const;
  // Why it stands where it stands; empty: it goes on.
  std::string why(std::uint64_t id) const;
  bool is_paused() const {
    return is_paused_;
  }
  void set_max_read_duration(Duration read, Duration gather) {
    options_.max_read_duration = read, options_.max_gather_duration = gather;
  }

 private:
  struct Work {  // of one move; asked anew by whoever leads next
    std::uint64_t revision = 0;
    TimePoint since{}, due{};
    std::set<std::string> done;  // orders that were
    double share = 0;
    std::optional<std::uint64_t> position;  // the giver's last one
    std::string why;
    bool is_fresh = true, is_outdated = false,
         is_ended = false;  // is_ended: the reason is why  // is_outdated: a node speaks an older
                            // version of the interface
  };
  struct Pending {
    std::uint64_t move, revision;  // an answer to an earlier step's order is no answer
    std::string what, node, key;
  };
  void advance(RingMove& move, const RingMap& ring, TimePoint now);
  void advance_planned(RingMove& move, const RingMap& ring, TimePoint now);
  bool order(const RingMove& move, const std::string& node, const std::string& what, double mb_s,
             TimePoint now);
  bool is_awaited(const RingMove& move, TimePoint now);
  void set_step(RingMove& move, RingMove::Step step, const std::string& reason = {});
  std::string find_room(const RingUnit& unit, std::size_t taker, const RingMap& ring,
                        std::uint64_t but) const;

  MoveOptions options_;
  const RingMap* ring_ = nullptr;  // of the tick under way
  LeaseTable leases_;
  bool is_leading_ = false, is_proposing_ = false, is_paused_ = false, has_changed_ = false;
  std::vector<RingMove> moves_;   // as agreed, with what is to be proposed
  std::vector<RingMove> wanted_;  // requested, not proposed yet
  std::set<std::uint64_t> undone_;
  std::map<std::uint64_t, Work> works_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_token_ = 0, revision_ = 0;
  Output output_;
};

}  // namespace saddlewing
