#pragma once
// Keeps a registry's PersistentState on disk so that it outlasts a loss of power: see
// docs/design/control.md, "The store". When to save is Raft's business. A store belongs to one
// thread: the one that starts the registry, then the storage thread.
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "state/error.h"
#include "state/file_system.h"
#include "state/persistent_state.h"

namespace saddlewing {

/**
 * Two slots, written in turn and never renamed. Each is an LMDB image closed by a RecordChecksum
 * over all of it, with a serial that rises. LMDB trusts its pages, so it opens no slot whose
 * checksum does not match. Invariant: the slot with the newest synced record is never written; a
 * slot whose save failed is written again.
 */
class DurableStore {
 public:
  /**
   * @param folder exists and is this store's alone.
   * @param file_system a test's stand-in for the disk.
   */
  explicit DurableStore(std::string folder,
                        std::shared_ptr<FileSystem> file_system = std::make_shared<FileSystem>())
      : folder_(std::move(folder)), file_system_(std::move(file_system)) {
  }

  /** Loads the newest record. Writes nothing. */
  LoadResult load() const;

  /**
   * Writes and syncs a record; takes as long as the disk does.
   * @return no error: `persistent` outlasts any loss of power. An error, whose step names the
   *     operation that failed: either the record before does, or this one.
   */
  Error save(const PersistentState& persistent);

 private:
  struct Slot {
    enum class State {
      absent,
      /** Its save never came to the checksum. */
      incomplete,
      damaged,
      valid,
      unknown_format,
      unreadable
    };
    State state = State::absent;
    std::uint64_t serial = 0;
    /** Why it is not valid. */
    Error error;
  };
  using Slots = std::array<Slot, 2>;

  static constexpr int no_slot = -1;

  std::string path_of(int slot) const {
    return folder_ + (slot ? "/slot-1.mdb" : "/slot-0.mdb");
  }
  Slot inspect_slot(int slot) const;
  Slots inspect_slots() const {
    return {inspect_slot(0), inspect_slot(1)};
  }
  /** The valid slot with the highest serial, or `no_slot`. */
  static int newest_valid(const Slots& slots);
  LoadResult load_slot(int slot) const;
  /** Once in a life, before the first save: finds the newest slot and syncs it. */
  Error prepare();
  Error sync_newest(int newest);
  Error write_slot(int slot, std::uint64_t serial, const std::string& record);
  void remove_legacy_files();

  const std::string folder_;
  const std::shared_ptr<FileSystem> file_system_;

  // Of the saves of this life.

  bool is_prepared_ = false;
  /** Whether both slots have their names for good. */
  bool is_folder_synced_ = false;
  bool has_legacy_files_ = false;
  /** Invariant: synced once `is_prepared_`. */
  int newest_ = no_slot;
  /** Of the last save, also if it failed. */
  std::uint64_t serial_ = 0;
};

}  // namespace saddlewing
