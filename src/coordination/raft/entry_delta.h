#pragma once
// How an entry travels: as a delta to an entry that the receiver holds, compressed where that pays,
// in chunks.
//
// Pure: decides neither what is sent nor when (see ReplicationProgress and EntryHistory). Contents
// and deltas are immutable and shared; a ChunkAssembler belongs to one thread.
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "protocol/raft_messages.h"
#include "state/durable_store.h"

namespace saddlewing {

// Largest payload of a chunk, in bytes: on the narrowest links a heartbeat waits behind few of
// them.
inline constexpr std::size_t chunk_bytes = 16384;

// Largest delta and largest content that a receiver accepts, in bytes.
inline constexpr std::size_t max_entry_bytes = 64u << 20;

// An entry with its documents in wire format, kept as a base for later deltas.
struct EntryContent {
  EntrySnapshot entry;
  std::string documents;
  // Bytes of the configuration and the documents.
  std::size_t size() const {
    return entry->body.size() + documents.size();
  }
};
using EntryContentSnapshot = std::shared_ptr<const EntryContent>;
EntryContentSnapshot make_entry_content(EntrySnapshot entry);

// All that travels of one entry to receivers that hold the same base. Made once for all of them.
struct EntryDelta {
  EntryChunk header;  // without bytes and offset
  std::string bytes;  // Invariant: never empty
  // The chunk that begins at `offset`, which is less than the size of `bytes`.
  EntryChunk chunk(std::uint64_t offset) const;
};
using EntryDeltaSnapshot = std::shared_ptr<const EntryDelta>;
// The delta from `base` to `next`; the full entry if `base` is null.
EntryDeltaSnapshot make_delta(const EntryContent& next, const EntryContent* base);

// At the receiver: puts the chunks of one delta together, in order.
class ChunkAssembler {
 public:
  enum class Result {
    incomplete,  // more has to come
    complete,    // the entry is whole, proved by its digest
    unusable     // malformed, built on another entry, or not matching its digest
  };
  // Takes in one chunk; chunks may be repeated, late or of another delta. `last_entry`: the
  // receiver's own last entry, the only possible base. Sets `entry` if complete.
  Result add(const EntryChunk& chunk, const EntrySnapshot& last_entry, EntrySnapshot& entry);
  // Index of the entry that is being received; 0: none.
  Index entry_index() const {
    return header_.index;
  }
  // Bytes of its delta so far, without a gap.
  std::uint64_t received_bytes() const {
    return bytes_.size();
  }
  // How many deltas came whole and did not match.
  std::uint64_t digest_mismatches() const {
    return digest_mismatches_;
  }

 private:
  Result count_mismatch();
  Result finish(const EntrySnapshot& last_entry, EntrySnapshot& entry);

  // Invariant: bytes_ are the first bytes of the delta of header_, with no gap.
  EntryChunk header_;
  std::string bytes_;
  std::uint64_t digest_mismatches_ = 0;
};

}  // namespace saddlewing
