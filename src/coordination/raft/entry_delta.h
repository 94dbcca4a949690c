#pragma once
// How an entry travels: as what differs from one that the receiver holds, packed, in chunks. Pure.
#include <memory>
#include <string>

#include "protocol/raft_messages.h"
#include "state/durable_store.h"

namespace saddlewing {

inline constexpr std::size_t chunk_bytes =
    16384;  // on the narrowest links a beat waits behind few of them
inline constexpr std::size_t max_entry_bytes = 64u << 20;

// An entry with its content as bytes, kept to find what later entries change.
struct EntryContent {
  EntrySnapshot entry;
  std::string documents;  // as they travel
  std::size_t size() const {
    return entry->body.size() + documents.size();
  }
};
using EntryContentSnapshot = std::shared_ptr<const EntryContent>;
EntryContentSnapshot make_entry_content(EntrySnapshot entry);

// Immutable: made once for all receivers that hold the same base.
struct EntryDelta {
  EntryChunk header;  // without bytes
  std::string bytes;  // all that travels; never empty
  EntryChunk chunk(std::uint64_t offset) const;
};
using EntryDeltaSnapshot = std::shared_ptr<const EntryDelta>;
// `base`: null if the receiver holds nothing that is known here.
EntryDeltaSnapshot make_delta(const EntryContent& next, const EntryContent* base);

// At the receiver: the entry that is on its way. Invariant: bytes_ are the first of one change,
// with no gap.
class ChunkAssembler {
 public:
  enum class Result {
    incomplete,
    complete,
    unusable
  };
  // `held`: the receiver's own last entry. Whole: `entry` is the new one, proved by its digest.
  // Unusable: it builds on another entry, or does not match its digest.
  Result add(const EntryChunk& chunk, const EntrySnapshot& last_entry, EntrySnapshot& entry);
  Index entry_index() const {
    return header_.index;
  }
  std::uint64_t received_bytes() const {
    return bytes_.size();
  }
  std::uint64_t digest_mismatches() const {
    return digest_mismatches_;
  }

 private:
  Result finish(const EntrySnapshot& last_entry, EntrySnapshot& entry);
  EntryChunk header_;
  std::string bytes_;
  std::uint64_t digest_mismatches_ = 0;
};

}  // namespace saddlewing
