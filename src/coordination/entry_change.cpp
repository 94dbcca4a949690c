#include "coordination/entry_change.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/bytes.h"
#include "state/packing.h"

namespace saddlewing {
namespace {

constexpr std::size_t worth_packing = 512;
constexpr char is_plain = 0, is_packed = 1;  // the first byte on the way

std::uint64_t digest_of(const std::string& bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

bool read_content(const std::string& bytes, Entry& entry) {
  ByteReader reader(bytes);
  entry.body = reader.text();
  for (std::uint64_t left = reader.count(16); left > 0; --left) {
    std::string name = reader.text();
    entry.sheets[std::move(name)] = reader.text();
  }
  return reader.is_whole();
}

bool is_same_change(const EntryPiece& left, const EntryPiece& right) {
  return left.term == right.term && left.index == right.index && left.base_term == right.base_term && left.base_index == right.base_index &&
         left.digest == right.digest && left.total == right.total;
}

}  // namespace

EntryContentSnapshot content_of(EntrySnapshot entry) {
  Writer writer;
  writer.text(entry->body).number(entry->sheets.size());
  for (const auto& [name, text] : entry->sheets) writer.text(name).text(text);
  auto content = std::make_shared<EntryContent>();
  content->entry = std::move(entry);
  content->bytes = writer.take();
  return content;
}

EntryChangeSnapshot make_change(const EntryContent& next, const EntryContent* base) {
  auto change = std::make_shared<EntryChange>();
  EntryPiece& head = change->head;
  const Entry& entry = *next.entry;
  head.term = entry.term;
  head.index = entry.index;
  head.version = entry.version;
  head.core_size = entry.core_size;
  head.members = entry.members;
  head.former = entry.former;
  head.digest = digest_of(next.bytes);
  if (base) {
    head.base_term = base->entry->term;
    head.base_index = base->entry->index;
    const std::string &from = base->bytes, &to = next.bytes;
    const std::size_t most = std::min(from.size(), to.size());
    head.prefix = static_cast<std::uint64_t>(std::mismatch(to.begin(), to.begin() + static_cast<std::ptrdiff_t>(most), from.begin()).first - to.begin());
    const std::size_t rest = most - head.prefix;
    head.suffix = static_cast<std::uint64_t>(std::mismatch(to.rbegin(), to.rbegin() + static_cast<std::ptrdiff_t>(rest), from.rbegin()).first - to.rbegin());
  }
  const std::string middle = next.bytes.substr(head.prefix, next.bytes.size() - head.prefix - head.suffix);
  std::string packed = middle.size() >= worth_packing ? pack(middle) : std::string();
  const bool should_pack = !packed.empty() && packed.size() < middle.size();
  change->bytes = std::string(1, should_pack ? is_packed : is_plain) + (should_pack ? packed : middle);
  head.total = change->bytes.size();
  return change;
}

EntryPiece EntryChange::piece(std::uint64_t offset) const {
  EntryPiece piece = head;
  piece.offset = offset;
  piece.bytes = bytes.substr(offset, piece_bytes);
  return piece;
}

EntryAssembly::Step EntryAssembly::take(const EntryPiece& piece, const EntrySnapshot& held, EntrySnapshot& entry) {
  if (piece.total == 0 || piece.total > most_content || piece.bytes.size() > piece.total || piece.offset > piece.total - piece.bytes.size()) return Step::unusable;
  if (!is_same_change(piece, head_)) {
    if (piece.offset != 0) return Step::more;  // its beginning did not come: it is sent again from there
    head_ = piece;
    head_.bytes.clear();
    bytes_.clear();
  }
  if (piece.offset > bytes_.size() || piece.offset + piece.bytes.size() <= bytes_.size()) return Step::more;
  bytes_.append(piece.bytes, bytes_.size() - piece.offset);
  return bytes_.size() < head_.total ? Step::more : finish(held, entry);
}

EntryAssembly::Step EntryAssembly::finish(const EntrySnapshot& held, EntrySnapshot& entry) {
  const std::string travelled = std::exchange(bytes_, {});
  const EntryPiece head = std::exchange(head_, {});
  std::string middle;
  if (travelled[0] == is_packed) {
    if (!unpack(travelled.substr(1), most_content, middle)) return ++mismatches_, Step::unusable;
  } else {
    middle = travelled.substr(1);
  }
  std::string content;
  if (head.base_index.value || head.base_term.value) {
    if (held->term != head.base_term || held->index != head.base_index) return Step::unusable;
    const std::string base = content_of(held)->bytes;
    if (head.prefix > base.size() || head.suffix > base.size() - head.prefix) return ++mismatches_, Step::unusable;
    content = base.substr(0, head.prefix) + middle + base.substr(base.size() - head.suffix);
  } else {
    content = std::move(middle);
  }
  auto read = std::make_shared<Entry>();
  if (digest_of(content) != head.digest || !read_content(content, *read)) return ++mismatches_, Step::unusable;
  read->term = head.term;
  read->index = head.index;
  read->version = head.version;
  read->core_size = head.core_size;
  read->members = head.members;
  read->former = head.former;
  entry = std::move(read);
  return Step::whole;
}

}  // namespace saddlewing
