#pragma once
// A broker's side of the hash ring: which node owns a key, when a write must wait, and which node
// shows a moving unit to reads. Pure: does not send requests and knows no clock but the time passed
// in. A RingView is immutable and may be shared by threads; a RingRouter belongs to one thread.
#include <map>
#include <memory>
#include <set>

#include "coordination/placement/shard_migration.h"

namespace saddlewing {

// The ring at one revision of its document. Immutable: a newer one replaces it as a whole.
struct RingView {
  std::uint64_t revision = 0;  // of the ring document
  RingMap map;
  std::set<RingUnit> closing;  // units whose writes must wait
  // What a node is told about the one unit that it gives or receives, by index into the map's
  // nodes.
  struct UnitVisibility {
    RingUnit unit;
    bool is_shown = false;  // this node shows the unit to requests sent by this view
  };
  std::map<std::size_t, UnitVisibility> unit_visibilities;

  // True if writes to the key must wait, because its account or its virtual node is closing.
  bool is_closed(std::string_view key) const {
    if (closing.empty())
      return false;
    if (closing.contains(RingUnit{0, std::string(key)}))
      return true;
    return !map.placed.contains(key) && closing.contains(RingUnit{map.find(key), {}});
  }
};
using RingSnapshot = std::shared_ptr<const RingView>;

// The view of a ring document; null if the document is malformed.
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
    view->unit_visibilities[view->map.index_of(move.from)] = {move.unit, !has_switched};
    view->unit_visibilities[view->map.index_of(move.to)] = {move.unit, has_switched};
  }
  return view;
}

// Decides whether a broker may send a request now, and tracks its writes in flight.
//
// Invariants: requests are sent only under a lease and by the newest view known; a write is not
// sent while its unit is closing. A view counts as confirmed only when every write in flight is one
// that this view would have sent to the same node.
class RingRouter {
 public:
  enum class Decision {
    pass,      // send it now
    wait,      // hold it until the unit is open again
    come_back  // the client must retry: this broker has no lease
  };

  // Replaces the view if this one is newer; null is ignored.
  void take(RingSnapshot view) {
    if (view && (!view_ || view->revision > view_->revision))
      view_ = std::move(view);
  }
  // Extends the lease; never shortens it.
  void set_lease(TimePoint until) {
    lease_until_ = std::max(lease_until_, until);
  }
  bool is_leased(TimePoint now) const {
    return now < lease_until_;
  }
  // Null until the first view is taken.
  const RingSnapshot& view() const {
    return view_;
  }
  // Without a lease the view may be outdated, so even reads (`is_harmless`) are refused. A view
  // must have been taken.
  Decision decide(std::string_view key, bool is_harmless, TimePoint now) const {
    if (!is_leased(now))
      return Decision::come_back;
    return is_harmless || !view_->is_closed(key) ? Decision::pass : Decision::wait;
  }
  // Track a write in flight to its owner, an index into the map's nodes. Reads are not tracked.
  void start(const std::string& key, std::uint32_t owner) {
    ++at_work_[{key, owner}];
  }
  void finish(const std::string& key, std::uint32_t owner) {
    const auto found = at_work_.find({key, owner});
    if (found != at_work_.end() && --found->second == 0)
      at_work_.erase(found);
  }
  // Revision of the newest view that no write in flight contradicts; 0 before the first.
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
  std::map<std::pair<std::string, std::uint32_t>, int>
      at_work_;  // writes in flight, by key and owner
};

}  // namespace saddlewing
