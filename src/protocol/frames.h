#pragma once
// Messages of the agreement between registries.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/frame.h"
#include "state/durable_store.h"

namespace saddlewing {

// A part of an entry on its way: the entry's head, and some of the bytes by which its content
// differs from an entry that the receiver holds. A large entry travels in many, so that no beat
// waits behind it.
struct EntryChunk {
  Term term;
  Index index;
  Version version;
  std::uint32_t core_size = 0;
  std::vector<Member> members, outgoing;
  Term base_term;  // of the entry that it builds on; all 0: on none
  Index base_index;
  struct Kept {
    std::uint64_t prefix = 0, suffix = 0;  // bytes of the base that stay
    std::uint64_t changed = 0;             // bytes between them
    auto operator<=>(const Kept&) const = default;
  };
  Kept body, documents;
  std::uint64_t digest = 0;             // XXH3 of the whole content
  std::uint64_t total = 0, offset = 0;  // of the bytes on their way
  std::string bytes;
};

struct RaftMessage {
  enum class Type : std::uint64_t {
    pre_vote,
    pre_voted,
    vote,
    voted,
    append,
    appended,
    transfer,
    join,
    joined,
    leave,
    left
  };
  Type type{};
  MemberId from;
  std::string address;
  Term term;
  Term entry_term;  // the sender's last entry
  Index entry_index;
  Index commit;  // of append: the newest entry of this term that is committed
  std::uint64_t round = 0;
  bool is_granted = false;
  bool is_transfer = false;         // the vote follows a hand-over: a live leader is no objection
  bool is_removed = false;          // the receiver is no member any more
  bool is_confirmed = false;        // of append: a majority answered the leader of late
  std::optional<EntryChunk> piece;  // with append, while the follower lacks the entry
  // With appended: how far the entry on its way came; is_granted says that the entry named above is
  // on disk.
  Index piece_index;
  std::uint64_t piece_end = 0;
  bool wants_whole = false;     // what came built on an entry that is not held
  std::vector<Member> members;  // with joined
  std::string leader;           // with joined: its inner address
};

std::string encode(const FrameHead& head, const RaftMessage& value);
bool decode(ByteReader& reader, RaftMessage& value);

}  // namespace saddlewing
