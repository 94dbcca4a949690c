#pragma once
// Moves virtual nodes and single accounts between nodes of the hash ring; run by the elected
// leader. Pure: takes the ring document, the nodes' answers and the time; returns orders for nodes
// and a proposal for the next document, and does not send them itself. Every step can be repeated:
// what is agreed is in the ring document, the rest is asked from the nodes again after a change of
// leader. Not thread-safe: belongs to one thread.
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

// Version of the calls that nodes of the ring must support, see docs/design/ring.md.
inline constexpr int node_interface = 2;

struct MoveOptions {
  // How long a broker may act on a view of the ring without hearing from the leader.
  Duration lease{3000};
  // How long a new leader waits for leases that an earlier leader granted.
  Duration settle{4000};
  // Pause before an order that is not done yet is sent again.
  Duration ask_again{400};
  // After this and a lease in the closing step a move goes back to copying, so that writes do not
  // wait forever.
  Duration max_closing{3000};
  // A read of the ring's route that began longer ago than this has ended.
  Duration max_read_duration{10000};
  // Likewise for a gather over the ring's nodes; 0: there are no gathers.
  Duration max_gather_duration{0};
  // Copying may use this share of the slowest disk or link of both nodes.
  double pace_share = 0.5;
  WatchOptions watch;
};

// A node's answer to an order.
struct NodeAnswer {
  enum class Type {
    silent,   // no answer in time
    garbled,  // the answer is malformed
    refused,  // the node rejects the order
    told      // the fields below are the node's
  };
  Type type = Type::silent;
  bool is_done = false;                   // the order is carried out
  double share = 0;                       // of the unit copied so far, 0 to 1
  int interface = 0;                      // version of the calls that the node supports
  std::optional<std::uint64_t> position;  // of the last write that the node has of the unit
};

// Decides the steps of all moves.
class ShardMigration {
 public:
  // A call to a node. A node may get the same order again, which must then change nothing. `what`
  // is one of:
  // - `describe`: does nothing; the answer has the version of the calls that the node supports.
  // - `copy`: the receiver fetches the unit from the giver, at most at `mb_s` (0: pause), and
  //   follows its writes; the copy is not shown to requests.
  // - `close`: the giver takes no more writes for the unit; done once those in progress have ended,
  //   with its last position.
  // - `finish`: the receiver fetches the writes since; done when it has reached `position`.
  // - `open`: the node shows the unit and serves its reads and writes from now on.
  // - `retire`: the giver takes no writes, and shows the unit only to gathers that ask for it.
  // - `drop`: the giver deletes the unit and rejects requests for it by an earlier revision.
  // - `clear`: the receiver deletes the unit, as if it had never been copied.
  struct Order {
    std::uint64_t token;  // of the answer, see finish_order
    std::uint64_t move;   // id
    std::string node;     // name of the node to call
    std::string what;
    RingUnit unit;
    std::string other;           // name of the other node of the move
    std::uint64_t revision = 0;  // of the ring document it follows from; nodes ignore older ones
    std::uint64_t position = 0;  // for `finish`: of the giver's last write
    double mb_s = 0;             // for `copy`: megabytes a second
    // For an account: the ring places it on another node, so that it is not part of a virtual node
    // of this one.
    bool is_placed = false;
  };
  struct Output {
    std::vector<Order> orders;             // to send
    std::optional<RingDocument> proposal;  // to agree on; call finish_proposal when it is decided
    std::vector<std::string> news;         // for the log
  };

  explicit ShardMigration(MoveOptions options)
      : options_(options), leases_(options.lease, options.settle) {
  }
  // Requests a move of the unit to the node named `to`. Returns why it is refused; empty: it is
  // planned at the next tick. `serving`: names of the nodes with a backend that is UP. `may_wait`:
  // it may queue behind other moves of its nodes, by `benefit`.
  std::string request(RingUnit unit, const std::string& to, const RingMap& ring,
                      const std::set<std::string>& serving, bool may_wait = false,
                      double benefit = 0);
  // Undoes a move that has not switched yet. Returns why it is refused; empty: undone at a later
  // tick.
  std::string undo(std::uint64_t id);
  // Advances all moves; to be called regularly, also when not leading. `document` and `ring`: as
  // agreed; `ring` must stay valid until the next tick. `are_lookups_well`: short lookups meet
  // their latency targets; copying pauses while they do not.
  void tick(bool is_leading, const RingDocument& document, const RingMap& ring,
            bool are_lookups_well, TimePoint now);
  // The answer to the order with this token; unknown tokens are ignored.
  void finish_order(std::uint64_t token, const NodeAnswer& answer);
  // The last proposal is decided, accepted or not.
  void finish_proposal() {
    is_proposing_ = false;
  }
  // What has come up since the last call.
  Output take();
  LeaseTable& leases() {
    return leases_;
  }
  const std::vector<RingMove>& moves() const {
    return moves_;
  }
  // Share of the move's unit copied so far, 0 to 1.
  double progress(std::uint64_t id) const;
  // Why the move is waiting or has ended; empty: it advances.
  std::string why(std::uint64_t id) const;
  bool is_paused() const {
    return is_paused_;
  }
  void set_max_read_duration(Duration read, Duration gather) {
    options_.max_read_duration = read;
    options_.max_gather_duration = gather;
  }

 private:
  // The leader's state of one move; a new leader starts it afresh.
  struct Work {
    std::uint64_t revision = 0;             // of the step it belongs to
    TimePoint since{};                      // when the step began
    TimePoint due{};                        // no order is sent before
    std::set<std::string> done;             // keys of the orders carried out
    double share = 0;                       // copied so far, 0 to 1
    std::optional<std::uint64_t> position;  // of the giver's last write
    std::string why;                        // see ShardMigration::why
    bool is_fresh = true;                   // not filled in yet
    bool is_outdated = false;               // a node supports an older version of the calls only
    bool is_ended = false;                  // the move has ended, `why` is the reason
  };
  // An order without an answer yet. An answer that belongs to an earlier step is ignored.
  struct Pending {
    std::uint64_t move;
    std::uint64_t revision;
    std::string what;
    std::string node;
    std::string key;
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
  const RingMap* ring_ = nullptr;  // of the current tick
  LeaseTable leases_;
  bool is_leading_ = false;
  bool is_proposing_ = false;  // a proposal is not decided yet
  bool is_paused_ = false;
  bool has_changed_ = false;                  // this tick has something to propose
  std::vector<RingMove> moves_;               // as agreed, with the changes to propose
  std::vector<RingMove> wanted_;              // requested, not proposed yet
  std::set<std::uint64_t> undone_;            // ids of moves that the operator wants undone
  std::map<std::uint64_t, Work> works_;       // by id of the move
  std::map<std::uint64_t, Pending> pending_;  // by token of the order
  std::uint64_t last_token_ = 0;
  std::uint64_t revision_ = 0;  // of the agreed document
  Output output_;
};

}  // namespace saddlewing
