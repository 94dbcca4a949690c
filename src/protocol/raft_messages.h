#pragma once
// Messages of the agreement between registries, and how they travel.
#include <optional>
#include <string>
#include <vector>

#include "protocol/frames.h"
#include "state/bytes.h"
#include "state/durable_store.h"
#include "state/types.h"

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
    pre_vote_reply,
    request_vote,
    request_vote_reply,
    append_entries,
    append_entries_reply,
    timeout_now,
    join,
    join_reply,
    leave,
    leave_reply
  };
  Type type{};
  MemberId from;
  std::string address;
  Term term;
  Term last_log_term;  // the sender's last entry
  Index last_log_index;
  Index commit_index;  // of append: the newest entry of this term that is committed
  std::uint64_t heartbeat_round = 0;
  bool is_granted = false;
  bool is_leadership_transfer =
      false;                        // the vote follows a hand-over: a live leader is no objection
  bool is_removed = false;          // the receiver is no member any more
  bool is_confirmed = false;        // of append: a majority answered the leader of late
  std::optional<EntryChunk> chunk;  // with append, while the follower lacks the entry
  // With appended: how far the entry on its way came; is_granted says that the entry named above is
  // on disk.
  Index chunk_entry_index;
  std::uint64_t chunk_end_offset = 0;
  bool wants_full_entry = false;  // what came built on an entry that is not held
  std::vector<Member> members;    // with joined
  std::string leader_address;     // with joined: its inner address
};

std::string encode(const FrameHead& head, const RaftMessage& value);
bool decode(ByteReader& reader, RaftMessage& value);

}  // namespace saddlewing
