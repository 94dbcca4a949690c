#include "coordination/placement/shard_migration.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t max_ended = 32;  // moves that are over and still shown
constexpr std::size_t max_open = 256;  // planned ones included
constexpr double max_benefit = 1e9;

bool shares_node(const RingMove& one, const RingMove& other) {
  return one.from == other.from || one.from == other.to || one.to == other.from ||
         one.to == other.to;
}

// Of two that are planned.
bool is_ahead(const RingMove& one, const RingMove& other) {
  return std::pair(-one.benefit, one.id) < std::pair(-other.benefit, other.id);
}

bool has_ended(const RingMove& move) {
  return !move.is_open();
}

// Keeps the latest `max_ended` of the moves that have ended.
void forget_oldest_ended(std::vector<RingMove>& moves) {
  while (static_cast<std::size_t>(std::count_if(moves.begin(), moves.end(), has_ended)) > max_ended)
    moves.erase(std::find_if(moves.begin(), moves.end(), has_ended));
}

// Gives the units of the moves that switch with this document to their receivers.
void assign_switched(const std::vector<RingMove>& moves, const RingMap& ring,
                     RingDocument& document) {
  for (const RingMove& move : moves) {
    if (move.step != RingMove::Step::switched || move.revision != document.revision)
      continue;
    if (!move.unit.is_account())
      document.moved[move.unit.virtual_node] = move.to;
    else if (ring.nodes[ring.owners[move.unit.virtual_node]].name == move.to)
      document.placed.erase(move.unit.account);  // the ring has it there anyway
    else
      document.placed[move.unit.account] = move.to;
  }
}

}  // namespace

// What the taker has and what other open moves will bring it must leave room.
std::string ShardMigration::find_room(const RingUnit& unit, std::size_t taker, const RingMap& ring,
                                      std::uint64_t but) const {
  const RingSize used = ring.used_of(taker);
  double memory = used.memory_mb;
  double disk = used.disk_mb;
  const auto add = [&](const RingMove& move) {
    if (!move.is_open() || move.to != ring.nodes[taker].name || (move.id && move.id == but) ||
        ring.owner_of(move.unit) == taker)
      return;
    const auto [more_memory, more_disk] = ring.size_of(move.unit);
    memory += more_memory;
    disk += more_disk;
  };
  for (const RingMove& move : moves_)
    add(move);
  for (const RingMove& move : wanted_)
    add(move);
  const auto [needs_memory, needs_disk] = ring.size_of(unit);
  if (memory + needs_memory > ring.nodes[taker].memory_mb)
    return ring.nodes[taker].name + " has no memory for it";
  if (disk + needs_disk > ring.nodes[taker].disk_mb)
    return ring.nodes[taker].name + " has no disk for it";
  return {};
}

std::string ShardMigration::request(RingUnit unit, const std::string& to, const RingMap& ring,
                                    const std::set<std::string>& serving, bool may_wait,
                                    double benefit) {
  if (unit.is_account()) {
    if (!is_account_form(unit.account))
      return "that is no account";
    unit.virtual_node = ring.find(unit.account);
  } else if (unit.virtual_node >= ring.owners.size()) {
    return "there is no such virtual node";
  }
  const std::size_t taker = ring.index_of(to);
  if (taker == ring.nodes.size())
    return to + " is no node of the ring";
  // What is to move now goes before all that is queued.
  const RingMove wanted{0,
                        unit,
                        ring.nodes[ring.owner_of(unit)].name,
                        to,
                        RingMove::Step::planned,
                        0,
                        may_wait ? std::min(benefit, max_benefit) : max_benefit};
  if (wanted.from == to)
    return to + " owns it already";
  for (const std::string& node : {wanted.from, to})
    if (!serving.contains(node))
      return node + " is emptying or silent";
  std::size_t open = 0;
  std::size_t placed = ring.placed.size();
  bool is_moving = false;
  bool is_busy = false;
  const auto look = [&](const RingMove& move) {
    if (!move.is_open())
      return;
    ++open;
    placed += move.unit.is_account() && !ring.placed.contains(move.unit.account);
    is_moving = is_moving || move.unit == unit;
    is_busy = is_busy || (move.step != RingMove::Step::opened && shares_node(move, wanted));
  };
  std::for_each(moves_.begin(), moves_.end(), look);
  std::for_each(wanted_.begin(), wanted_.end(), look);
  if (is_moving)
    return "it is on the move already";
  if (is_busy && !may_wait)
    return "another move is under way on one of its nodes; `ring queue` waits for it";
  if (open >= max_open)
    return "too many moves are planned";
  if (unit.is_account() && !ring.placed.contains(unit.account) && placed >= max_placed)
    return "the table of placed accounts is full";
  if (std::string reason = find_room(unit, taker, ring, 0); !reason.empty())
    return reason;
  wanted_.push_back(wanted);
  return {};
}

std::string ShardMigration::undo(std::uint64_t id) {
  const auto found = std::find_if(moves_.begin(), moves_.end(),
                                  [&](const RingMove& move) { return move.id == id; });
  if (found == moves_.end())
    return "there is no such move";
  if (!found->is_open())
    return "it is over";
  if (found->step == RingMove::Step::switched || found->step == RingMove::Step::opened)
    return "it has switched; move it back instead";
  undone_.insert(id);
  return {};
}

void ShardMigration::set_step(RingMove& move, RingMove::Step step, const std::string& reason) {
  move.step = step;
  move.revision = revision_ + 1;
  has_changed_ = true;
  works_[move.id].why = reason;
  output_.news.push_back("move " + std::to_string(move.id) + " of " + move.unit.text() + " from " +
                         move.from + " to " + move.to + ": " + name_of(step) +
                         (reason.empty() ? "" : ", " + reason));
}

// True once the node has said that it did it.
bool ShardMigration::order(const RingMove& move, const std::string& node, const std::string& what,
                           double mb_s, TimePoint now) {
  Work& work = works_[move.id];
  const std::string key = what + " " + node;
  if (work.done.contains(key))
    return true;
  if (now < work.due)
    return false;
  work.due = now + options_.ask_again;
  pending_[++last_token_] = {move.id, move.revision, what, node, key};
  const bool is_placed =
      move.unit.is_account() && ring_->nodes[ring_->owners[move.unit.virtual_node]].name != node;
  output_.orders.push_back({last_token_, move.id, node, what, move.unit,
                            node == move.from ? move.to : move.from, move.revision,
                            work.position.value_or(0), mb_s, is_placed});
  return false;
}

// Whether somebody may still act by a sheet before this step's.
bool ShardMigration::is_awaited(const RingMove& move, TimePoint now) {
  if (!leases_.has_lease_before(move.revision, now))
    return false;
  works_[move.id].why = "waits for brokers that have not confirmed it, or for their leases to end";
  return true;
}

void ShardMigration::advance_planned(RingMove& move, const RingMap& ring, TimePoint now) {
  Work& work = works_[move.id];
  if (move.unit.virtual_node >= ring.owners.size() || ring.index_of(move.to) == ring.nodes.size())
    return set_step(move, RingMove::Step::undone, "the ring has changed");
  const auto is_before = [&](const RingMove& other) {
    return other.is_busy() || (other.step == RingMove::Step::planned && is_ahead(other, move) &&
                               works_[other.id].why.empty());
  };
  for (const RingMove& other : moves_)
    if (other.id != move.id && shares_node(other, move) && is_before(other)) {
      work.why = "waits for move " + std::to_string(other.id);
      return;
    }
  const std::string owner = ring.nodes[ring.owner_of(move.unit)].name;
  if (owner == move.to)
    return set_step(move, RingMove::Step::undone, move.to + " owns it already");
  if (owner != move.from) {
    move.from = owner;
    work.done.clear();
    has_changed_ = true;
  }
  if (work.is_outdated)
    return set_step(move, RingMove::Step::undone, work.why);
  if (std::string reason = find_room(move.unit, ring.index_of(move.to), ring, move.id);
      !reason.empty()) {
    work.why = reason;
    return;
  }
  if (order(move, move.from, "describe", 0, now) && order(move, move.to, "describe", 0, now))
    set_step(move, RingMove::Step::copying);
}

void ShardMigration::advance(RingMove& move, const RingMap& ring, TimePoint now) {
  Work& work = works_[move.id];
  if (work.is_fresh || work.revision != move.revision) {
    Work fresh;
    fresh.revision = move.revision;
    fresh.since = now;
    fresh.share = work.share;
    fresh.position = work.position;
    fresh.is_fresh = false;
    if (!move.is_open()) {
      fresh.why = work.why;
      fresh.is_ended = true;
    }
    work = std::move(fresh);
  }
  using Step = RingMove::Step;
  if (undone_.erase(move.id) && move.step != Step::switched && move.step != Step::opened)
    return set_step(move, Step::undone, "the operator wants it");
  switch (move.step) {
    case Step::planned:
      return advance_planned(move, ring, now);
    case Step::copying: {
      work.position.reset();
      if (!order(move, move.from, "open", 0, now))
        return;
      const std::size_t from = ring.index_of(move.from);
      const std::size_t to = ring.index_of(move.to);
      if (from == ring.nodes.size() || to == ring.nodes.size())
        return set_step(move, Step::undone, "the ring has changed");
      const double pace = std::min({ring.nodes[from].disk_mb_s, ring.nodes[to].disk_mb_s,
                                    ring.nodes[from].link_mb_s, ring.nodes[to].link_mb_s});
      const bool is_copied =
          order(move, move.to, "copy", is_paused_ ? 0 : pace * options_.pace_share, now);
      if (is_paused_)
        work.why = "paused: short lookups miss their aims";
      else if (is_copied && now - work.since < options_.max_gather_duration)
        work.why = "until gathers that began before it have ended";
      else if (is_copied)
        set_step(move, Step::closing);
      return;
    }
    case Step::closing:
      if (now - work.since > options_.max_closing + options_.lease)
        return set_step(move, Step::copying, "closing took too long");
      if (is_awaited(move, now))
        return;
      if (order(move, move.from, "close", 0, now) && order(move, move.to, "finish", 0, now))
        set_step(move, Step::switched);
      return;
    case Step::switched:
      if (is_awaited(move, now))
        return;
      if (order(move, move.from, "retire", 0, now) && order(move, move.to, "open", 0, now))
        set_step(move, Step::opened);
      return;
    case Step::opened:
      work.why = "until the last read that may still come to " + move.from;
      if (now - work.since >= options_.max_read_duration && order(move, move.from, "drop", 0, now))
        set_step(move, Step::settled);
      return;
    case Step::settled:
      return;
    case Step::undone:  // both ends are told until they have heard; nothing waits for it
      if (order(move, move.from, "open", 0, now))
        order(move, move.to, "clear", 0, now);
      return;
  }
}

void ShardMigration::tick(bool is_leading, const RingDocument& document, const RingMap& ring,
                          bool are_lookups_well, TimePoint now) {
  if (is_leading && !is_leading_) {
    leases_.start_term(now);
    works_.clear();
    pending_.clear();
    wanted_.clear();
    undone_.clear();
    is_proposing_ = false;
  }
  is_leading_ = is_leading;
  ring_ = &ring;
  leases_.erase_expired(now);
  if (is_proposing_)
    return;
  revision_ = document.revision;
  decode_moves(document.moves, moves_);
  if (!is_leading)
    return;
  is_paused_ = !are_lookups_well;
  has_changed_ = false;
  std::uint64_t last = 0;
  std::vector<RingMove*> planned;
  for (RingMove& move : moves_) {
    last = std::max(last, move.id);
    if (move.step == RingMove::Step::planned && !undone_.contains(move.id))
      planned.push_back(&move);
    else if (move.is_open() || (move.step == RingMove::Step::undone &&
                                !works_[move.id].done.contains("clear " + move.to)))
      advance(move, ring, now);
  }
  // Those that bring the most go first.
  std::sort(planned.begin(), planned.end(),
            [](const RingMove* left, const RingMove* right) { return is_ahead(*left, *right); });
  for (RingMove* move : planned)
    advance(*move, ring, now);
  for (RingMove& move : std::exchange(wanted_, {})) {
    move.id = ++last;
    set_step(move, RingMove::Step::planned);
    moves_.push_back(std::move(move));
  }
  if (!has_changed_)
    return;
  forget_oldest_ended(moves_);
  std::erase_if(works_, [&](const auto& work) {
    return std::none_of(moves_.begin(), moves_.end(),
                        [&](const RingMove& move) { return move.id == work.first; });
  });
  RingDocument next = document;
  next.revision = revision_ + 1;
  assign_switched(moves_, ring, next);
  next.moves = encode_moves(moves_);
  is_proposing_ = true;
  output_.proposal = std::move(next);
}

void ShardMigration::finish_order(std::uint64_t token, const NodeAnswer& answer) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  const auto position = works_.find(pending.move);
  if (position == works_.end() || position->second.revision != pending.revision)
    return;
  Work& work = position->second;
  if (!work.is_ended)
    work.why.clear();
  if (answer.type != NodeAnswer::Type::told) {
    if (!work.is_ended)
      work.why = pending.node +
                 (answer.type == NodeAnswer::Type::silent    ? " does not answer to "
                  : answer.type == NodeAnswer::Type::refused ? " refuses "
                                                             : " answers with garbage to ") +
                 pending.what;
    return;
  }
  if (answer.interface < node_interface) {
    work.why = pending.node + " speaks version " + std::to_string(answer.interface) +
               " of the interface, " + std::to_string(node_interface) + " is needed";
    work.is_outdated = pending.what == "describe";
    return;
  }
  if (pending.what == "copy")
    work.share = answer.share;
  if (!answer.is_done)
    return;
  if (pending.what == "close" && !answer.position)
    return void(work.why = pending.node + " says closed without its position");
  if (pending.what == "close")
    work.position = answer.position;
  if (pending.what == "finish" && (!answer.position || answer.position != work.position))
    return void(work.why = pending.node + " says finished without the giver's position");
  work.done.insert(pending.key);
  work.due = {};
}

double ShardMigration::progress(std::uint64_t id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? 0 : found->second.share;
}

std::string ShardMigration::why(std::uint64_t id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? std::string() : found->second.why;
}

ShardMigration::Output ShardMigration::take() {
  return std::exchange(output_, {});
}

}  // namespace saddlewing
