#pragma once
// An entry of the Raft log and its bytes, on disk as well as in frames. Whether an entry may be
// accepted is decided in coordination/raft. Plain values; a snapshot may be shared by threads.
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/bytes.h"
#include "state/types.h"

namespace saddlewing {

/** A registry that belongs to the core. */
struct Member {
  MemberId id;
  /** Inner address, host:port. */
  std::string address;
  auto operator<=>(const Member&) const = default;
};

/**
 * One entry of the log. It holds the whole replicated state, so it stands for all entries before
 * it, and the log is never longer than one.
 */
struct Entry {
  Term term;
  Index index;
  /** Version of the configuration in `body`. */
  Version version;
  /** The operator's configuration, byte for byte. */
  std::string body;
  /** The core's voters from this entry on. */
  std::vector<Member> members;
  /** Of a joint entry: the voters before. A majority of each list counts until the entry after
      it, which has none. */
  std::vector<Member> outgoing;
  /** How many voters the core wants. */
  std::uint32_t core_size = 0;
  /** Further replicated documents by name: database leaderships, the ring. */
  std::map<std::string, std::string> documents;
};

/** An entry that nobody changes any more. */
using EntrySnapshot = std::shared_ptr<const Entry>;

/** Appends a count and the members. */
void write_members(Writer& writer, const std::vector<Member>& members);

/** Reads what `write_members` wrote; whether it was all there, the reader knows. */
void read_members(ByteReader& reader, std::vector<Member>& members);

/** Appends an entry. It must be the last thing written: its optional fields end with the bytes. */
void write_entry(Writer& writer, const Entry& entry);

/** Reads what `write_entry` wrote, up to the end of the reader's bytes. */
void read_entry(ByteReader& reader, Entry& entry);

}  // namespace saddlewing
