#pragma once
// What Raft must not lose, and its bytes as one record. state/durable_store.h keeps the record on
// disk. Plain values.
#include <string>
#include <string_view>

#include "state/entry.h"
#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

/** Invariant: `self` never changes once written; `current_term` never falls; `voted_for` is of
 * `current_term`. */
struct PersistentState {
  /** This registry's own id. */
  MemberId self;
  /** currentTerm of the Raft paper. */
  Term current_term;
  /** votedFor of the Raft paper; 0: nobody yet. */
  MemberId voted_for;
  /** The last entry of the log; never null in a record. */
  EntrySnapshot entry;
};

/** Newest format of a record and of the checksum behind it; formats from 1 on are read. */
inline constexpr std::uint64_t record_format = 2;

/** How a decoding ended. */
enum class DecodeStatus {
  decoded,
  /** The checksum does not match, or fields are missing. */
  damaged,
  /** The checksum matches and the format is of a later version. */
  unknown_format
};

/** A record in the newest format: its number, the fields, and a checksum over both. */
std::string encode_persistent_state(const PersistentState& persistent);

/** Reads a record of any known format; `persistent` is set only where it was decoded. */
DecodeStatus decode_persistent_state(std::string_view bytes, PersistentState& persistent);

/** How the loading of a record ended. */
enum class LoadStatus {
  /** Nothing was ever acknowledged here. */
  empty,
  loaded,
  /** There was a record, and it is lost. */
  damaged,
  /** A later version wrote it; it may be neither served nor overwritten. */
  unknown_format,
  /** The disk did not give it; it may be neither served nor overwritten. */
  unreadable
};

/** Invariant: `persistent` counts only if loaded; `error` is set unless loaded or empty. */
struct LoadResult {
  LoadStatus status = LoadStatus::empty;
  PersistentState persistent;
  /** What is wrong, and with which file. */
  Error error;
};

}  // namespace saddlewing
