#pragma once
// A broker's side of the ring: which node a key goes to, when a write must wait, and who shows a
// unit on the move. Pure.
#include <map>
#include <memory>
#include <set>

#include "coordination/placement/shard_migration.h"

namespace saddlewing {

// The ring of one moment. Immutable, swapped whole.
struct RingView {
  std::uint64_t revision = 0;
  RingMap map;
  std::set<RingUnit> closing;  // their writes wait
  // By an index into the map's nodes: what a node is told of the one unit that it gives or
  // receives.
  struct Telling {
    RingUnit unit;
    bool is_shown = false;  // by this node to requests of this view
  };
  std::map<std::size_t, Telling> tellings;

  // Units that a key belongs to and that close it to writes.
  bool is_closed(std::string_view key) const {
    if (closing.empty())
      return false;
    if (closing.contains(RingUnit{0, std::string(key)}))
      return true;
    return !map.placed.contains(key) && closing.contains(RingUnit{map.find(key), {}});
  }
};
using RingSnapshot = std::shared_ptr<const RingView>;
// Null if the sheet is not readable.
inline RingSnapshot view_ring(const RingDocument& document) {
  auto view = std::make_shared<RingView>();
  std::vector<RingMove> moves;
  if (ring_of(document, view->map) || !decode_moves(document.moves, moves))
    return nullptr;
  view->revision = document.revision;
  for (const RingMove& move : moves) {
    if (move.is_closed())
      view->closing.insert(move.unit);
    if (!move.is_busy())
      continue;
    const bool has_switched = move.step == RingMove::Step::switched;
    view->tellings[view->map.index_of(move.from)] = {move.unit, !has_switched};
    view->tellings[view->map.index_of(move.to)] = {move.unit, has_switched};
  }
  return view;
}

// Invariant: nothing goes to a node but by the newest view, under a lease; a write never while its
// unit is closing. A view is confirmed only when no write is under way that it would not have sent
// there.
class RingRouter {
 public:
  enum class Way {
    pass,
    wait,
    come_back
  };
  void take(RingSnapshot view) {
    if (view && (!view_ || view->revision > view_->revision))
      view_ = std::move(view);
  }
  void set_lease(TimePoint until) {
    lease_until_ = std::max(lease_until_, until);
  }
  bool is_leased(TimePoint now) const {
    return now < lease_until_;
  }
  const RingSnapshot& view() const {
    return view_;
  }
  // A broker that was not heard may act by a view that others left long ago: then not even reads
  // are right.
  Way decide(std::string_view key, bool is_harmless, TimePoint now) const {
    if (!is_leased(now))
      return Way::come_back;
    return is_harmless || !view_->is_closed(key) ? Way::pass : Way::wait;
  }
  // Of writes alone.
  void start(const std::string& key, std::uint32_t owner) {
    ++at_work_[{key, owner}];
  }
  void finish(const std::string& key, std::uint32_t owner) {
    const auto found = at_work_.find({key, owner});
    if (found != at_work_.end() && --found->second == 0)
      at_work_.erase(found);
  }
  std::uint64_t confirmed() {
    if (!view_)
      return 0;
    for (const auto& [work, count] : at_work_)
      if (view_->is_closed(work.first) || view_->map.owner_of(work.first) != work.second)
        return confirmed_;
    return confirmed_ = view_->revision;
  }

 private:
  RingSnapshot view_;
  TimePoint lease_until_{};
  std::uint64_t confirmed_ = 0;
  std::map<std::pair<std::string, std::uint32_t>, int> at_work_;  // by key and owner
};

}  // namespace saddlewing
