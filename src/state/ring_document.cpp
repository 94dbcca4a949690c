// The replicated document of the ring, its bytes, and the ring it stands for: state/hash_ring.h.
#include "state/bytes.h"
#include "state/hash_ring.h"

namespace saddlewing {
namespace {

/** Of a document that knows accounts; those before it end with the moves. */
constexpr std::uint64_t ring_document_format = 2;
constexpr std::uint64_t min_pair_bytes = 16;  // a key and its owner

}  // namespace

std::string encode_ring(const RingDocument& document) {
  Writer writer;
  writer.number(document.revision).text(document.file).number(document.moved.size());
  for (const auto& [virtual_node, owner] : document.moved)
    writer.number(virtual_node).text(owner);
  writer.text(document.moves).number(ring_document_format).number(document.placed.size());
  for (const auto& [account, owner] : document.placed)
    writer.text(account).text(owner);
  return writer.take();
}

bool decode_ring(const std::string& bytes, RingDocument& document) {
  ByteReader reader(bytes);
  document = {};
  document.revision = reader.number();
  document.file = reader.text();
  for (std::uint64_t left = reader.count(min_pair_bytes); left > 0; --left) {
    const auto virtual_node = static_cast<VirtualNode>(reader.number());
    document.moved[virtual_node] = reader.text();
  }
  document.moves = reader.text();
  if (reader.is_complete())
    return true;  // written before accounts moved
  if (reader.number() != ring_document_format)
    return false;
  for (std::uint64_t left = reader.count(min_pair_bytes); left > 0; --left) {
    std::string account = reader.text();
    document.placed[std::move(account)] = reader.text();
  }
  return reader.is_complete();
}

Error ring_of(const RingDocument& document, RingMap& ring) {
  if (Error found = read_ring(document.file, ring))
    return found;
  for (const auto& [virtual_node, owner] : document.moved)
    if (const std::size_t index = ring.index_of(owner);
        index < ring.nodes.size() && virtual_node < ring.owners.size())
      ring.owners[virtual_node] = static_cast<std::uint32_t>(index);
  for (const auto& [account, owner] : document.placed)
    if (const std::size_t index = ring.index_of(owner); index < ring.nodes.size())
      ring.placed[account] = static_cast<std::uint32_t>(index);
  return {};
}

}  // namespace saddlewing
