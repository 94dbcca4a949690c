#pragma once
// What a registry must not lose, on LMDB: docs/design/control.md, "The store".
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/error.h"
#include "state/file_system.h"
#include "state/types.h"

namespace saddlewing {

struct Member {
  MemberId id;
  std::string address;  // inner address, host:port
  auto operator<=>(const Member&) const = default;
};

// One entry of the agreement. It holds the whole state, so it stands for all entries before it.
struct Entry {
  Term term;
  Index index;
  Version version;
  std::string body;
  std::vector<Member> members;
  // Of a joint entry: the members before. A majority of each list counts until the entry after it,
  // which has none.
  std::vector<Member> outgoing;
  std::uint32_t core_size = 0;  // how many voters the core wants
  std::map<std::string, std::string>
      documents;  // further agreed tables by name: leads of databases, the ring
};
using EntrySnapshot = std::shared_ptr<const Entry>;

// Invariant: `self` never changes once written; `term` never falls; `vote` is of `term`.
struct PersistentState {
  MemberId self;
  Term term;
  MemberId vote;
  EntrySnapshot entry;
};

// Format 2 is written, format 1 is still read. A format's number comes first, its checksum last.
enum class DecodeStatus {
  decoded,
  damaged,
  unknown_format
};
std::string encode_persistent_state(const PersistentState& persistent);
DecodeStatus decode_persistent_state(std::string_view bytes, PersistentState& persistent);

// Two slots, written in turn and never renamed; each is an LMDB image closed by a seal with a
// checksum over all of it and a serial that rises. LMDB trusts its pages, so it opens no slot whose
// seal does not match. Invariant: the slot with the newest synced record is never written; a slot
// that fails is written again.
class DurableStore {
 public:
  // `unreadable`: what is there is not known. It and `unknown_format` are neither served nor
  // written over.
  enum class LoadStatus {
    empty,
    loaded,
    damaged,
    unknown_format,
    unreadable
  };

  explicit DurableStore(std::string folder,
                        std::shared_ptr<FileSystem> disk = std::make_shared<FileSystem>())
      : folder_(std::move(folder)), file_system_(std::move(disk)) {
  }
  LoadStatus load(PersistentState& persistent, Error& error) const;
  // No fault: `persistent` outlasts any loss of power. A fault: the record before does, or this
  // one.
  Error save(const PersistentState& persistent);

 private:
  // Incomplete: its save never came to the checksum.
  struct Slot {
    enum class State {
      absent,
      incomplete,
      damaged,
      valid,
      unknown_format,
      unreadable
    } state = State::absent;
    std::uint64_t serial = 0;
    Error error;
  };
  std::string path_of(int slot) const {
    return folder_ + (slot ? "/slot-1.mdb" : "/slot-0.mdb");
  }
  Slot inspect_slot(int slot) const;
  // -1: none is whole.
  static int newest_valid(const Slot (&slots)[2]);
  LoadStatus load_legacy(PersistentState& persistent, Error& error) const;
  Error prepare();
  Error write(int slot, std::uint64_t serial, const std::string& record);

  std::string folder_;
  std::shared_ptr<FileSystem> file_system_;
  // Of the saves of this life. Invariant: `newest_` was synced once `is_prepared_`.
  bool is_prepared_ = false, is_folder_synced_ = false, has_legacy_files_ = false;
  int newest_ = -1;
  std::uint64_t serial_ = 0;
};

}  // namespace saddlewing
