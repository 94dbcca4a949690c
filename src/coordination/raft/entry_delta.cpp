#include "coordination/raft/entry_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/bytes.h"
#include "state/compression.h"

namespace saddlewing {
namespace {

constexpr std::size_t worth_packing = 512;
constexpr char is_plain = 0, is_packed = 1;  // the first byte on the way

std::uint64_t digest_of(const std::string& body, const std::string& documents) {
  const std::uint64_t digest = XXH3_64bits(body.data(), body.size());
  return XXH3_64bits_withSeed(documents.data(), documents.size(), digest);
}

// What of `to` differs from `from` goes to `middle`.
EntryChunk::Kept compare(const std::string& from, const std::string& to, std::string& middle) {
  EntryChunk::Kept kept;
  const std::size_t limit = std::min(from.size(), to.size());
  kept.prefix = static_cast<std::uint64_t>(
      std::mismatch(to.begin(), to.begin() + static_cast<std::ptrdiff_t>(limit), from.begin())
          .first -
      to.begin());
  const std::size_t rest = limit - kept.prefix;
  kept.suffix = static_cast<std::uint64_t>(
      std::mismatch(to.rbegin(), to.rbegin() + static_cast<std::ptrdiff_t>(rest), from.rbegin())
          .first -
      to.rbegin());
  kept.changed = to.size() - kept.prefix - kept.suffix;
  middle.append(to, kept.prefix, kept.changed);
  return kept;
}

// The other way round; takes its part off the front of `middle`. False: it does not fit.
bool restore(const EntryChunk::Kept& kept, const std::string& from, std::string_view& middle,
             std::string& to) {
  if (kept.prefix > from.size() || kept.suffix > from.size() - kept.prefix ||
      kept.changed > middle.size())
    return false;
  to.reserve(kept.prefix + kept.changed + kept.suffix);
  to.append(from, 0, kept.prefix)
      .append(middle.substr(0, kept.changed))
      .append(from, from.size() - kept.suffix);
  middle.remove_prefix(kept.changed);
  return true;
}

bool read_documents(const std::string& bytes, Entry& entry) {
  ByteReader reader(bytes);
  for (std::uint64_t left = reader.count(16); left > 0; --left) {
    std::string name = reader.text();
    entry.documents[std::move(name)] = reader.text();
  }
  return reader.is_complete();
}

bool is_same_change(const EntryChunk& left, const EntryChunk& right) {
  return left.term == right.term && left.index == right.index &&
         left.base_term == right.base_term && left.base_index == right.base_index &&
         left.digest == right.digest && left.total == right.total;
}

}  // namespace

EntryContentSnapshot content_of(EntrySnapshot entry) {
  Writer writer;
  writer.number(entry->documents.size());
  for (const auto& [name, text] : entry->documents)
    writer.text(name).text(text);
  auto content = std::make_shared<EntryContent>();
  content->entry = std::move(entry);
  content->documents = writer.take();
  return content;
}

EntryDeltaSnapshot make_change(const EntryContent& next, const EntryContent* base) {
  auto change = std::make_shared<EntryDelta>();
  EntryChunk& head = change->head;
  const Entry& entry = *next.entry;
  head.term = entry.term;
  head.index = entry.index;
  head.version = entry.version;
  head.core_size = entry.core_size;
  head.members = entry.members;
  head.outgoing = entry.outgoing;
  head.digest = digest_of(entry.body, next.documents);
  if (base) {
    head.base_term = base->entry->term;
    head.base_index = base->entry->index;
  }
  const std::string none;
  std::string middle;
  head.body = compare(base ? base->entry->body : none, entry.body, middle);
  head.documents = compare(base ? base->documents : none, next.documents, middle);
  std::string packed = middle.size() >= worth_packing ? pack(middle) : std::string();
  const bool should_pack = !packed.empty() && packed.size() < middle.size();
  change->bytes =
      std::string(1, should_pack ? is_packed : is_plain) + (should_pack ? packed : middle);
  head.total = change->bytes.size();
  return change;
}

EntryChunk EntryDelta::piece(std::uint64_t offset) const {
  EntryChunk piece = head;
  piece.offset = offset;
  piece.bytes = bytes.substr(offset, piece_bytes);
  return piece;
}

ChunkAssembler::Step ChunkAssembler::take(const EntryChunk& piece, const EntrySnapshot& held,
                                          EntrySnapshot& entry) {
  if (piece.total == 0 || piece.total > max_content || piece.bytes.size() > piece.total ||
      piece.offset > piece.total - piece.bytes.size())
    return Step::unusable;
  if (!is_same_change(piece, head_)) {
    if (piece.offset != 0)
      return Step::more;  // its beginning did not come: it is sent again from there
    head_ = piece;
    head_.bytes.clear();
    bytes_.clear();
  }
  if (piece.offset > bytes_.size() || piece.offset + piece.bytes.size() <= bytes_.size())
    return Step::more;
  bytes_.append(piece.bytes, bytes_.size() - piece.offset);
  return bytes_.size() < head_.total ? Step::more : finish(held, entry);
}

ChunkAssembler::Step ChunkAssembler::finish(const EntrySnapshot& held, EntrySnapshot& entry) {
  const std::string travelled = std::exchange(bytes_, {});
  const EntryChunk head = std::exchange(head_, {});
  std::string middle;
  if (travelled[0] == is_packed) {
    if (!unpack(travelled.substr(1), max_content, middle))
      return ++mismatches_, Step::unusable;
  } else {
    middle = travelled.substr(1);
  }
  const bool has_base = head.base_index.value || head.base_term.value;
  if (has_base && (held->term != head.base_term || held->index != head.base_index))
    return Step::unusable;
  const EntryContentSnapshot base = content_of(has_base ? held : std::make_shared<const Entry>());
  auto read = std::make_shared<Entry>();
  std::string documents;
  std::string_view rest = middle;
  const bool is_restored =
      restore(head.body, base->entry->body, rest, read->body) &&
      restore(head.documents, has_base ? base->documents : std::string(), rest, documents);
  if (!is_restored || digest_of(read->body, documents) != head.digest ||
      !read_documents(documents, *read))
    return ++mismatches_, Step::unusable;
  read->term = head.term;
  read->index = head.index;
  read->version = head.version;
  read->core_size = head.core_size;
  read->members = head.members;
  read->outgoing = head.outgoing;
  entry = std::move(read);
  return Step::whole;
}

}  // namespace saddlewing
