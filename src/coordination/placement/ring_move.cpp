#include "coordination/placement/ring_move.h"

#include <cmath>
#include <utility>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t moves_form = 2;  // behind a 0, which no move has as its number

}  // namespace

const char* name_of(RingMove::Step step) {
  constexpr const char* names[] = {"planned", "copying", "closing", "switched",
                                   "settled", "undone",  "opened"};
  return names[static_cast<std::size_t>(step)];
}

std::string encode_moves(const std::vector<RingMove>& moves) {
  Writer writer;
  writer.number(0).number(moves_form);
  for (const RingMove& move : moves) {
    writer.number(move.id)
        .number(move.unit.virtual_node)
        .text(move.unit.account)
        .text(move.from)
        .text(move.to);
    writer.number(static_cast<std::uint64_t>(move.step))
        .number(move.revision)
        .number(static_cast<std::uint64_t>(std::llround(move.benefit * 1000)));
  }
  return writer.take();
}

bool decode_moves(const std::string& bytes, std::vector<RingMove>& moves) {
  moves.clear();
  ByteReader reader(bytes);
  std::uint64_t id = bytes.empty() ? 1 : reader.number();
  const bool is_first_form = id != 0;  // written before accounts moved
  if (!is_first_form && reader.number() != moves_form)
    return false;
  if (!is_first_form && !reader.is_complete())
    id = reader.number();
  else if (!is_first_form)
    return true;
  if (bytes.empty())
    return true;
  for (;;) {
    RingMove move;
    move.id = id;
    move.unit.virtual_node = static_cast<VirtualNode>(reader.number());
    if (!is_first_form)
      move.unit.account = reader.text();
    move.from = reader.text();
    move.to = reader.text();
    const std::uint64_t step = reader.number();
    move.revision = reader.number();
    if (!is_first_form)
      move.benefit = static_cast<double>(reader.number()) / 1000;
    if (!reader.is_good() || step > static_cast<std::uint64_t>(RingMove::Step::opened))
      return false;
    move.step = static_cast<RingMove::Step>(step);
    moves.push_back(std::move(move));
    if (reader.is_complete())
      return true;
    id = reader.number();
  }
}

}  // namespace saddlewing
