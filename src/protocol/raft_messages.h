#pragma once
// Messages of Raft between registries, and how they travel.
//
// Plain data with its encoding; no rules of consensus (see coordination/raft). The order of the
// fields on the wire is that of encode() and never changes; numbers of types likewise. Functions
// are pure and may be called from any thread.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/frame.h"
#include "state/bytes.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

// A part of an entry on its way: the entry's header, and some of the bytes by which its content
// differs from an entry that the receiver holds. A large entry travels in many chunks, so that no
// heartbeat waits behind it.
struct EntryChunk {
  // Header of the entry, the same in all its chunks.
  Term term;
  Index index;
  Version version;
  std::uint32_t core_size = 0;
  std::vector<Member> members;
  std::vector<Member> outgoing;

  // The entry that the delta builds on; both 0: none, the delta holds the full entry.
  Term base_term;
  Index base_index;

  // How one text of the entry is made from the base's: prefix, changed bytes, suffix. All in bytes.
  struct Kept {
    std::uint64_t prefix = 0;   // of the base, from its front
    std::uint64_t suffix = 0;   // of the base, from its back
    std::uint64_t changed = 0;  // of the delta, between them
    auto operator<=>(const Kept&) const = default;
  };
  Kept body;
  Kept documents;

  // XXH3 of the entry's whole content; proves that the base was the right one.
  std::uint64_t digest = 0;
  // Size of the delta, and where `bytes` begin in it.
  std::uint64_t total = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

struct RaftMessage {
  // Numbers on the wire; never renumbered.
  enum class Type : std::uint64_t {
    pre_vote = 0,              // would you vote for me in this term? (thesis, section 9.6)
    pre_vote_reply = 1,        //
    request_vote = 2,          // vote for me in this term (paper, section 5.2)
    request_vote_reply = 3,    //
    append_entries = 4,        // a heartbeat, or a chunk of the leader's newest entry
    append_entries_reply = 5,  //
    timeout_now = 6,           // campaign at once: leadership is handed over (thesis, section 3.10)
    join = 7,                  // take me in as a learner
    join_reply = 8,            // of a node that does not lead: whom to ask
    leave = 9,                 // take me out of the members
    leave_reply = 10           // nothing is left to wait for
  };

  // Of every message.
  Type type{};
  MemberId from;
  std::string address;  // inner address of the sender
  Term term;            // the sender's; of pre_vote: the one that it would campaign in
  Term last_log_term;   // of the sender's last entry
  Index last_log_index;

  // Of append_entries: the newest entry of this term that is committed; 0: none yet.
  Index commit_index;
  // Of append_entries: the heartbeat's number, 0 with a chunk; the reply repeats it.
  std::uint64_t heartbeat_round = 0;
  // Of replies to votes: granted. Of append_entries_reply: the last entry is on disk.
  bool is_granted = false;
  // Of request_vote: it follows timeout_now, so a live leader is no objection.
  bool is_leadership_transfer = false;
  // Of pre_vote_reply: the receiver is no member any more.
  bool is_removed = false;
  // Of append_entries: the leader had contact to a quorum within an election timeout.
  bool is_confirmed = false;
  // Of append_entries, while the follower lacks the entry.
  std::optional<EntryChunk> chunk;

  // Of append_entries_reply: the entry that is being received, and how many bytes of its delta came
  // without a gap.
  Index chunk_entry_index;
  std::uint64_t chunk_end_offset = 0;
  // Of append_entries_reply: the delta builds on an entry that is not held, or does not fit it.
  bool wants_full_entry = false;

  // Of join_reply: the voters, and the leader's inner address; empty while none is known.
  std::vector<Member> members;
  std::string leader_address;
};

// Name of a message type for logs and traces, as it is spelled in code; "unknown" for others.
const char* name_of(RaftMessage::Type type);

// The frame of a message.
std::string encode(const FrameHead& head, const RaftMessage& value);
// Reads what follows the head. False: foreign or damaged; `value` is then unspecified.
bool decode(ByteReader& reader, RaftMessage& value);

}  // namespace saddlewing
