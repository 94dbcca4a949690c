#pragma once
// How an entry travels: as what differs from one that the receiver holds, packed, in pieces. Pure.
#include <memory>
#include <string>

#include "protocol/raft_messages.h"
#include "state/durable_store.h"

namespace saddlewing {

inline constexpr std::size_t piece_bytes =
    16384;  // on the narrowest links a beat waits behind few of them
inline constexpr std::size_t max_content = 64u << 20;

// An entry with its content as bytes, kept to find what later entries change.
struct EntryContent {
  EntrySnapshot entry;
  std::string documents;  // as they travel
  std::size_t size() const {
    return entry->body.size() + documents.size();
  }
};
using EntryContentSnapshot = std::shared_ptr<const EntryContent>;
EntryContentSnapshot content_of(EntrySnapshot entry);

// Immutable: made once for all receivers that hold the same base.
struct EntryDelta {
  EntryChunk head;    // without bytes
  std::string bytes;  // all that travels; never empty
  EntryChunk piece(std::uint64_t offset) const;
};
using EntryDeltaSnapshot = std::shared_ptr<const EntryDelta>;
// `base`: null if the receiver holds nothing that is known here.
EntryDeltaSnapshot make_change(const EntryContent& next, const EntryContent* base);

// At the receiver: the entry that is on its way. Invariant: bytes_ are the first of one change,
// with no gap.
class ChunkAssembler {
 public:
  enum class Step {
    more,
    whole,
    unusable
  };
  // `held`: the receiver's own last entry. Whole: `entry` is the new one, proved by its digest.
  // Unusable: it builds on another entry, or does not match its digest.
  Step take(const EntryChunk& piece, const EntrySnapshot& held, EntrySnapshot& entry);
  Index index() const {
    return head_.index;
  }
  std::uint64_t size() const {
    return bytes_.size();
  }
  std::uint64_t mismatches() const {
    return mismatches_;
  }

 private:
  Step finish(const EntrySnapshot& held, EntrySnapshot& entry);
  EntryChunk head_;
  std::string bytes_;
  std::uint64_t mismatches_ = 0;
};

}  // namespace saddlewing
