#pragma once
// A broker's side of the ring: which node a key goes to, and when a request that may run once must wait. Pure.
#include <map>
#include <memory>
#include <set>

#include "coordination/ring_moves.h"

namespace saddlewing {

// The ring of one moment. Immutable, swapped whole.
struct RingView {
  std::uint64_t mark = 0;
  RingMap map;
  std::set<VirtualNode> closing;
};
using RingCapture = std::shared_ptr<const RingView>;
// Null if the sheet is not readable.
inline RingCapture view_ring(const RingSheet& sheet) {
  auto view = std::make_shared<RingView>();
  std::vector<RingMove> moves;
  if (ring_of(sheet, view->map) || !decode_moves(sheet.moves, moves)) return nullptr;
  view->mark = sheet.mark;
  for (const RingMove& move : moves)
    if (move.step == RingMove::Step::closing) view->closing.insert(move.virtual_node);
  return view;
}

// Invariant: a risky request goes to a node only as the newest view has it, under a hold, and never while its virtual node
// is closing; a view is confirmed only when no risky request is under way that an older one sent elsewhere.
class RingGate {
 public:
  enum class Way { pass, wait };
  void take(RingCapture view) {
    if (view && (!view_ || view->mark > view_->mark)) view_ = std::move(view);
  }
  void set_hold(Moment until) { hold_until_ = std::max(hold_until_, until); }
  const RingCapture& view() const { return view_; }
  Way decide(VirtualNode virtual_node, bool is_harmless, Moment now) const {
    if (is_harmless) return Way::pass;
    return now < hold_until_ && !view_->closing.contains(virtual_node) ? Way::pass : Way::wait;
  }
  // Of risky requests alone.
  void start(VirtualNode virtual_node, std::uint32_t owner) { ++at_work_[{virtual_node, owner}]; }
  void finish(VirtualNode virtual_node, std::uint32_t owner) {
    const auto found = at_work_.find({virtual_node, owner});
    if (found != at_work_.end() && --found->second == 0) at_work_.erase(found);
  }
  std::uint64_t confirmed() {
    if (!view_) return 0;
    for (const auto& [key, count] : at_work_)
      if (view_->closing.contains(key.first) || key.first >= view_->map.owners.size() || view_->map.owners[key.first] != key.second) return confirmed_;
    return confirmed_ = view_->mark;
  }

 private:
  RingCapture view_;
  Moment hold_until_{};
  std::uint64_t confirmed_ = 0;
  std::map<std::pair<VirtualNode, std::uint32_t>, int> at_work_;
};

}  // namespace saddlewing
