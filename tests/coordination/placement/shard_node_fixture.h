#pragma once
// A stand-in shard node that does what nodes of the ring are asked, see docs/design/ring.md: it
// keeps writes by account, takes part in moves, and turns away what it may not serve.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/placement/ring_router.h"

namespace saddlewing::tests {

// What a request to a node carries of the ring.
struct RingHead {
  std::uint64_t revision = 0;
  std::optional<RingUnit> shown, hidden;
};
inline RingHead head_for(const RingView& view, std::size_t node, bool has_units) {
  RingHead head{view.revision, {}, {}};
  const auto told = view.unit_visibilities.find(node);
  if (has_units && told != view.unit_visibilities.end())
    (told->second.is_shown ? head.shown : head.hidden) = told->second.unit;
  return head;
}

class ShardNode {
 public:
  struct Copy {
    std::vector<int> writes;
    bool is_shown = false, is_closed = true;
    bool is_placed = false;  // no part of the virtual node that the ring has it in
  };
  std::string name;
  double work_times = 1, disk_mb_s = 400, round_trip_ms = 1;
  RingMap ring;
  std::map<std::string, Copy> copies;
  TimePoint down_until{};
  double copying_mb_s = 0;
  bool is_closing = true;  // the protection itself; taken out to see the checks fail

  bool holds(const std::optional<RingUnit>& unit, const std::string& account) const {
    if (!unit)
      return false;
    if (unit->is_account())
      return unit->account == account;
    const auto found = copies.find(account);
    return ring.find(account) == unit->virtual_node && found != copies.end() &&
           !found->second.is_placed;
  }
  // False: turned away, not run.
  bool write(int id, const std::string& account) {
    const auto found = copies.find(account);
    if (found == copies.end() || (is_closing && found->second.is_closed))
      return false;
    found->second.writes.push_back(id);
    return true;
  }
  bool read(const RingHead& head, const std::string& account, std::vector<int>& seen) const {
    const auto found = copies.find(account);
    if (found == copies.end() || is_forgotten(head, account) || holds(head.hidden, account))
      return false;
    if (!found->second.is_shown && !holds(head.shown, account))
      return false;
    seen = found->second.writes;
    return true;
  }
  bool gather(const RingHead& head,
              std::vector<std::pair<std::string, std::vector<int>>>& seen) const {
    for (const auto& [account, revision] : dropped_)
      if (head.revision < revision && holds(head.shown, account))
        return false;
    for (const auto& [account, copy] : copies)
      if (!holds(head.hidden, account) && (copy.is_shown || holds(head.shown, account)))
        seen.emplace_back(account, copy.writes);
    return true;
  }

  NodeAnswer perform(const ShardMigration::Order& order, ShardNode& other, double unit_mb,
                     TimePoint now) {
    NodeAnswer answer;
    if (down_until > now)
      return answer;
    answer.type = NodeAnswer::Type::told;
    answer.interface = node_interface;
    Work& work = works_[order.unit];
    if (order.what == "describe")
      return answer.is_done = true, answer;
    if (order.revision < work.revision)
      return answer;  // of an earlier step, late on its way
    work.revision = order.revision;
    answer.is_done = true;
    if (order.what == "open") {
      for (Copy* copy : part(order.unit))
        copy->is_closed = false, copy->is_shown = true,
        copy->is_placed = order.is_placed || (copy->is_placed && !order.unit.is_account());
    } else if (order.what == "close") {
      for (Copy* copy : part(order.unit))
        copy->is_closed = true;
      answer.position = position(order.unit);
    } else if (order.what == "copy") {
      if (work.since != TimePoint{})
        work.copied +=
            work.pace * std::min(0.8, std::chrono::duration<double>(now - work.since).count());
      work.since = now;
      work.pace = order.mb_s;
      answer.share = std::min(1.0, work.copied / unit_mb);
      copying_mb_s = other.copying_mb_s = answer.share < 1 ? order.mb_s : 0;
      answer.is_done = answer.share >= 1 && other.down_until <= now;
      if (answer.is_done)
        fetch(order.unit, other, true);
    } else if (order.what == "finish") {
      if (other.down_until > now)
        return answer.is_done = false, answer;
      fetch(order.unit, other, false);
      answer.position = position(order.unit);
    } else if (order.what == "retire") {
      for (Copy* copy : part(order.unit))
        copy->is_shown = false, copy->is_closed = true,
        copy->is_placed = copy->is_placed || order.unit.is_account();
    } else if (order.what == "drop" || order.what == "clear") {
      for (const std::string& account : names(order.unit)) {
        if (order.what == "drop")
          dropped_[account] = order.revision;
        copies.erase(account);
      }
      work.copied = 0, work.since = {};
    }
    return answer;
  }

 private:
  struct Work {
    std::uint64_t revision = 0;
    double copied = 0, pace = 0;
    TimePoint since{};
  };
  bool is_forgotten(const RingHead& head, const std::string& account) const {
    const auto found = dropped_.find(account);
    return found != dropped_.end() && head.revision < found->second;
  }
  std::vector<std::string> names(const RingUnit& unit) const {
    std::vector<std::string> names;
    for (const auto& [account, copy] : copies)
      if (unit.is_account() ? account == unit.account : holds(unit, account))
        names.push_back(account);
    return names;
  }
  std::vector<Copy*> part(const RingUnit& unit) {
    std::vector<Copy*> part;
    for (const std::string& account : names(unit))
      part.push_back(&copies[account]);
    return part;
  }
  std::uint64_t position(const RingUnit& unit) const {
    std::uint64_t count = 0;
    for (const std::string& account : names(unit))
      count += copies.at(account).writes.size();
    return count;
  }
  void fetch(const RingUnit& unit, ShardNode& other, bool is_first) {
    for (const std::string& account : other.names(unit)) {
      Copy& copy = copies[account];
      copy.writes = other.copies[account].writes;
      if (is_first)
        copy.is_shown = false, copy.is_closed = true, copy.is_placed = unit.is_account();
    }
  }
  std::map<RingUnit, Work> works_;
  std::map<std::string, std::uint64_t> dropped_;  // accounts by the mark that ended them here
};

}  // namespace saddlewing::tests
