#include "coordination/ring_moves.h"

#include <algorithm>
#include <utility>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_ended = 32;  // moves that are over and still shown

}  // namespace

const char* name_of(RingMove::Step step) {
  constexpr const char* names[] = {"planned", "copying", "closing", "switched", "settled", "undone"};
  return names[static_cast<std::size_t>(step)];
}

std::string encode_moves(const std::vector<RingMove>& moves) {
  Writer writer;
  for (const RingMove& move : moves) {
    writer.number(move.id).number(move.virtual_node).text(move.from).text(move.to);
    writer.number(static_cast<std::uint64_t>(move.step)).number(move.mark);
  }
  return writer.take();
}

bool decode_moves(const std::string& bytes, std::vector<RingMove>& moves) {
  moves.clear();
  ByteReader reader(bytes);
  while (reader.is_good() && !reader.is_whole()) {
    RingMove move;
    move.id = reader.number();
    move.virtual_node = static_cast<VirtualNode>(reader.number());
    move.from = reader.text();
    move.to = reader.text();
    const std::uint64_t step = reader.number();
    move.mark = reader.number();
    if (step > static_cast<std::uint64_t>(RingMove::Step::undone)) return false;
    move.step = static_cast<RingMove::Step>(step);
    moves.push_back(std::move(move));
  }
  return reader.is_good();
}

std::string RingMoves::request(VirtualNode virtual_node, const std::string& to, const RingMap& ring, const std::set<std::string>& serving) {
  if (virtual_node >= ring.owners.size()) return "there is no such virtual node";
  const std::size_t taker = ring.index_of(to);
  if (taker == ring.nodes.size()) return to + " is no node of the ring";
  const std::string from = ring.owner(virtual_node).name;
  if (from == to) return to + " owns it already";
  for (const std::string& node : {from, to})
    if (!serving.contains(node)) return node + " is emptying or silent";
  double memory = 0, disk = 0;
  const auto is_busy = [&](const RingMove& move) { return move.is_open() && (move.from == from || move.to == from || move.from == to || move.to == to); };
  if (std::any_of(moves_.begin(), moves_.end(), is_busy) || std::any_of(wanted_.begin(), wanted_.end(), is_busy)) return "another move is under way on one of its nodes";
  for (VirtualNode other = 0; other < ring.owners.size(); ++other)
    if (ring.owners[other] == taker) memory += ring.size_of(other).first, disk += ring.size_of(other).second;
  const auto [needs_memory, needs_disk] = ring.size_of(virtual_node);
  if (memory + needs_memory > ring.nodes[taker].memory_mb) return to + " has no memory for it";
  if (disk + needs_disk > ring.nodes[taker].disk_mb) return to + " has no disk for it";
  wanted_.push_back({0, virtual_node, from, to, RingMove::Step::planned, 0});
  return {};
}

std::string RingMoves::undo(std::uint64_t id) {
  const auto found = std::find_if(moves_.begin(), moves_.end(), [&](const RingMove& move) { return move.id == id; });
  if (found == moves_.end()) return "there is no such move";
  if (!found->is_open()) return "it is over";
  if (found->step == RingMove::Step::switched) return "it has switched; move it back instead";
  undone_.insert(id);
  return {};
}

void RingMoves::set_step(RingMove& move, RingMove::Step step) {
  move.step = step;
  move.mark = mark_ + 1;
  has_changed_ = true;
  output_.news.push_back("move " + std::to_string(move.id) + " of virtual node " + std::to_string(move.virtual_node) + " from " + move.from + " to " +
                         move.to + ": " + name_of(step));
}

// True once the node has said that it did it.
bool RingMoves::order(const RingMove& move, const std::string& node, const std::string& what, double mb_s, Moment now) {
  Work& work = works_[move.id];
  if (work.done.contains(what)) return true;
  if (now < work.due) return false;
  work.due = now + options_.ask_again;
  pending_[++last_token_] = {move.id, move.mark, what};
  output_.orders.push_back({last_token_, move.id, node, what, move.virtual_node, node == move.from ? move.to : move.from, mb_s});
  return false;
}

void RingMoves::advance(RingMove& move, const RingMap& ring, Moment now) {
  Work& work = works_[move.id];
  if (work.is_fresh || work.mark != move.mark) work = {move.mark, now, {}, {}, work.share, false};
  using Step = RingMove::Step;
  if (undone_.erase(move.id) && move.step < Step::switched) return set_step(move, Step::undone);
  switch (move.step) {
    case Step::planned: return set_step(move, Step::copying);
    case Step::copying: {
      if (!order(move, move.from, "open", 0, now)) return;
      const std::size_t from = ring.index_of(move.from), to = ring.index_of(move.to);
      if (from == ring.nodes.size() || to == ring.nodes.size()) return set_step(move, Step::undone);
      const double pace = std::min({ring.nodes[from].disk_mb_s, ring.nodes[to].disk_mb_s, ring.nodes[from].link_mb_s, ring.nodes[to].link_mb_s});
      if (order(move, move.to, "copy", is_paused_ ? 0 : pace * options_.pace_share, now) && !is_paused_) set_step(move, Step::closing);
      return;
    }
    case Step::closing:
      if (now - work.since > options_.most_closing + options_.hold) return set_step(move, Step::copying);
      if (holders_.is_held(move.mark, now)) return;
      if (order(move, move.from, "close", 0, now) && order(move, move.to, "finish", 0, now)) set_step(move, Step::switched);
      return;
    case Step::switched:
      if (!holders_.is_held(move.mark, now) && order(move, move.from, "drop", 0, now)) set_step(move, Step::settled);
      return;
    case Step::settled: return;
    case Step::undone:  // both ends are told until they have heard; nothing waits for it
      if (order(move, move.from, "open", 0, now)) order(move, move.to, "clear", 0, now);
      return;
  }
}

void RingMoves::tick(bool is_leading, const RingSheet& sheet, const RingMap& ring, bool are_lookups_well, Moment now) {
  if (is_leading && !is_leading_) {
    holders_.reset(now);
    works_.clear();
    pending_.clear();
    wanted_.clear();
    undone_.clear();
    is_proposing_ = false;
  }
  is_leading_ = is_leading;
  holders_.forget(now);
  if (is_proposing_) return;
  mark_ = sheet.mark;
  decode_moves(sheet.moves, moves_);
  if (!is_leading) return;
  is_paused_ = !are_lookups_well;
  has_changed_ = false;
  std::uint64_t last = 0;
  for (RingMove& move : moves_) {
    last = std::max(last, move.id);
    if (move.is_open() || (move.step == RingMove::Step::undone && !works_[move.id].done.contains("clear"))) advance(move, ring, now);
  }
  for (RingMove& move : std::exchange(wanted_, {})) {
    move.id = ++last;
    set_step(move, RingMove::Step::planned);
    moves_.push_back(std::move(move));
  }
  if (!has_changed_) return;
  while (static_cast<std::size_t>(std::count_if(moves_.begin(), moves_.end(), [](const RingMove& move) { return !move.is_open(); })) > most_ended)
    moves_.erase(std::find_if(moves_.begin(), moves_.end(), [](const RingMove& move) { return !move.is_open(); }));
  RingSheet next = sheet;
  next.mark = mark_ + 1;
  for (const RingMove& move : moves_)
    if (move.step == RingMove::Step::switched && move.mark == next.mark) next.moved[move.virtual_node] = move.to;
  next.moves = encode_moves(moves_);
  is_proposing_ = true;
  output_.proposal = std::move(next);
}

void RingMoves::finish_order(std::uint64_t token, bool is_done, double share) {
  const auto found = pending_.find(token);
  if (found == pending_.end()) return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  const auto work = works_.find(pending.move);
  if (work == works_.end() || work->second.mark != pending.mark) return;
  if (pending.what == "copy") work->second.share = share;
  if (is_done) work->second.done.insert(pending.what), work->second.due = {};
}

double RingMoves::progress(std::uint64_t id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? 0 : found->second.share;
}

RingMoves::Output RingMoves::take() { return std::exchange(output_, {}); }

}  // namespace saddlewing
