#pragma once
// Moves of virtual nodes between nodes, decided by the leader of the core. Pure: progress and a clock in; orders to nodes
// and proposals out. Every step can be done again: what is agreed is in the ring's sheet, the rest is asked from the nodes.
//
//   planned -> copying -> closing -> switched -> settled;   undone from any step before switched
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/holders.h"
#include "coordination/ring_watch.h"

namespace saddlewing {

struct RingMove {
  enum class Step : std::uint64_t { planned, copying, closing, switched, settled, undone };
  std::uint64_t id = 0;
  VirtualNode virtual_node = 0;
  std::string from, to;
  Step step = Step::planned;
  std::uint64_t mark = 0;  // of the sheet that brought the step
  bool is_open() const { return step < Step::settled; }
};
const char* name_of(RingMove::Step step);
std::string encode_moves(const std::vector<RingMove>& moves);
bool decode_moves(const std::string& bytes, std::vector<RingMove>& moves);

struct MoveOptions {
  Span hold{3000}, settle{4000};
  Span ask_again{400};
  Span most_closing{3000};       // longer, and the move goes back to copying: nobody waits without end
  double pace_share = 0.5;       // of the slower end's disk and link
  WatchOptions watch;
};

class RingMoves {
 public:
  // What a node is asked. Each may come again and must be harmless then.
  //   copy   the receiver fetches the virtual node from the giver, at most so fast (0: pauses)
  //   close  the giver takes no more holds for it, and says done once those under way have ended
  //   finish the receiver fetches what came since
  //   drop   the giver forgets it;  open: the giver takes holds again;  clear: the receiver forgets it
  struct Order {
    std::uint64_t token, move;
    std::string node, what;
    VirtualNode virtual_node;
    std::string other;  // the other end
    double mb_s = 0;
  };
  struct Output {
    std::vector<Order> orders;
    std::optional<RingSheet> proposal;
    std::vector<std::string> news;
  };

  explicit RingMoves(MoveOptions options) : options_(options), holders_(options.hold, options.settle) {}
  // The reason if it is refused; empty: it is planned with the next tick. `serving`: nodes with a backend that is UP.
  std::string request(VirtualNode virtual_node, const std::string& to, const RingMap& ring, const std::set<std::string>& serving);
  std::string undo(std::uint64_t id);
  // `are_lookups_well`: short lookups meet their aims.
  void tick(bool is_leading, const RingSheet& sheet, const RingMap& ring, bool are_lookups_well, Moment now);
  void finish_order(std::uint64_t token, bool is_done, double share);
  void finish_proposal() { is_proposing_ = false; }
  Output take();
  Holders& holders() { return holders_; }
  const std::vector<RingMove>& moves() const { return moves_; }
  double progress(std::uint64_t id) const;
  bool is_paused() const { return is_paused_; }

 private:
  struct Work {  // of one move; asked anew by whoever leads next
    std::uint64_t mark = 0;
    Moment since{}, due{};
    std::set<std::string> done;  // orders that were
    double share = 0;
    bool is_fresh = true;
  };
  struct Pending {
    std::uint64_t move, mark;  // an answer to an earlier step's order is no answer
    std::string what;
  };
  void advance(RingMove& move, const RingMap& ring, Moment now);
  bool order(const RingMove& move, const std::string& node, const std::string& what, double mb_s, Moment now);
  void set_step(RingMove& move, RingMove::Step step);

  MoveOptions options_;
  Holders holders_;
  bool is_leading_ = false, is_proposing_ = false, is_paused_ = false, has_changed_ = false;
  std::vector<RingMove> moves_;   // as agreed, with what is to be proposed
  std::vector<RingMove> wanted_;  // requested, not proposed yet
  std::set<std::uint64_t> undone_;
  std::map<std::uint64_t, Work> works_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_token_ = 0, mark_ = 0;
  Output output_;
};

}  // namespace saddlewing
