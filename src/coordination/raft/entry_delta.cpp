#include "coordination/raft/entry_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "protocol/raft_messages.h"
#include "state/bytes.h"
#include "state/compression.h"

namespace saddlewing {
namespace {

// Shorter deltas are not worth compressing, in bytes.
constexpr std::size_t min_packed_bytes = 512;

// First byte of a delta on the wire: how the rest is stored.
constexpr char plain_format = 0;
constexpr char packed_format = 1;

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

bool is_same_delta(const EntryChunk& left, const EntryChunk& right) {
  return left.term == right.term && left.index == right.index &&
         left.base_term == right.base_term && left.base_index == right.base_index &&
         left.digest == right.digest && left.total == right.total;
}

}  // namespace

EntryContentSnapshot make_entry_content(EntrySnapshot entry) {
  Writer writer;
  writer.number(entry->documents.size());
  for (const auto& [name, text] : entry->documents)
    writer.text(name).text(text);
  auto content = std::make_shared<EntryContent>();
  content->entry = std::move(entry);
  content->documents = writer.take();
  return content;
}

EntryDeltaSnapshot make_delta(const EntryContent& next, const EntryContent* base) {
  auto delta = std::make_shared<EntryDelta>();
  EntryChunk& header = delta->header;
  const Entry& entry = *next.entry;
  header.term = entry.term;
  header.index = entry.index;
  header.version = entry.version;
  header.core_size = entry.core_size;
  header.members = entry.members;
  header.outgoing = entry.outgoing;
  header.digest = digest_of(entry.body, next.documents);
  if (base) {
    header.base_term = base->entry->term;
    header.base_index = base->entry->index;
  }
  const std::string none;
  std::string middle;
  header.body = compare(base ? base->entry->body : none, entry.body, middle);
  header.documents = compare(base ? base->documents : none, next.documents, middle);
  std::string packed = middle.size() >= min_packed_bytes ? pack(middle) : std::string();
  const bool should_pack = !packed.empty() && packed.size() < middle.size();
  delta->bytes =
      std::string(1, should_pack ? packed_format : plain_format) + (should_pack ? packed : middle);
  header.total = delta->bytes.size();
  return delta;
}

EntryChunk EntryDelta::chunk(std::uint64_t offset) const {
  EntryChunk chunk = header;
  chunk.offset = offset;
  chunk.bytes = bytes.substr(offset, chunk_bytes);
  return chunk;
}

ChunkAssembler::Result ChunkAssembler::add(const EntryChunk& chunk, const EntrySnapshot& last_entry,
                                           EntrySnapshot& entry) {
  if (chunk.total == 0 || chunk.total > max_entry_bytes || chunk.bytes.size() > chunk.total ||
      chunk.offset > chunk.total - chunk.bytes.size())
    return Result::unusable;
  if (!is_same_delta(chunk, header_)) {
    if (chunk.offset != 0)
      return Result::incomplete;  // its beginning did not come: it is sent again from there
    header_ = chunk;
    header_.bytes.clear();
    bytes_.clear();
  }
  if (chunk.offset > bytes_.size() || chunk.offset + chunk.bytes.size() <= bytes_.size())
    return Result::incomplete;
  bytes_.append(chunk.bytes, bytes_.size() - chunk.offset);
  return bytes_.size() < header_.total ? Result::incomplete : finish(last_entry, entry);
}

ChunkAssembler::Result ChunkAssembler::count_mismatch() {
  ++digest_mismatches_;
  return Result::unusable;
}

ChunkAssembler::Result ChunkAssembler::finish(const EntrySnapshot& last_entry,
                                              EntrySnapshot& entry) {
  const std::string received = std::exchange(bytes_, {});
  const EntryChunk header = std::exchange(header_, {});
  std::string middle;
  if (received[0] == packed_format) {
    if (!unpack(received.substr(1), max_entry_bytes, middle))
      return count_mismatch();
  } else {
    middle = received.substr(1);
  }
  const bool has_base = header.base_index.value || header.base_term.value;
  if (has_base && (last_entry->term != header.base_term || last_entry->index != header.base_index))
    return Result::unusable;
  const EntryContentSnapshot base =
      make_entry_content(has_base ? last_entry : std::make_shared<const Entry>());
  auto read = std::make_shared<Entry>();
  std::string documents;
  std::string_view rest = middle;
  const bool is_restored =
      restore(header.body, base->entry->body, rest, read->body) &&
      restore(header.documents, has_base ? base->documents : std::string(), rest, documents);
  if (!is_restored || digest_of(read->body, documents) != header.digest ||
      !read_documents(documents, *read))
    return count_mismatch();
  read->term = header.term;
  read->index = header.index;
  read->version = header.version;
  read->core_size = header.core_size;
  read->members = header.members;
  read->outgoing = header.outgoing;
  entry = std::move(read);
  return Result::complete;
}

}  // namespace saddlewing
