#include "state/durable_store.h"

#include <cerrno>

#include "state/legacy_store.h"
#include "state/record_checksum.h"

namespace saddlewing {

DurableStore::Slot DurableStore::inspect_slot(int slot) const {
  using State = Slot::State;
  const std::string path = path_of(slot);
  FileSystem::Contents contents;
  const int code = file_system_->inspect(path, record_checksum_bytes, contents);
  if (code == ENOENT)
    return {};
  if (code)
    return {State::unreadable, 0, disk_error("read of " + path, code)};
  if (!has_checksum_magic(contents.tail))
    return {State::incomplete, 0, make_error(ErrorCode::damaged, "no seal", path)};
  RecordChecksum checksum;
  if (!decode_checksum(contents.tail, checksum))
    return {State::damaged, 0, make_error(ErrorCode::damaged, "seal", path)};
  if (checksum.format > record_format)
    return {State::unknown_format, checksum.serial,
            make_error(ErrorCode::invalid, "format " + std::to_string(checksum.format), path)};
  if (checksum.image_size != contents.size || checksum.image_digest != contents.digest)
    return {State::damaged, 0, make_error(ErrorCode::damaged, "checksum", path)};
  return {State::valid, checksum.serial, {}};
}

int DurableStore::newest_valid(const Slots& slots) {
  const bool is_first_valid = slots[0].state == Slot::State::valid;
  const bool is_second_valid = slots[1].state == Slot::State::valid;
  if (is_first_valid && is_second_valid)
    return slots[1].serial > slots[0].serial ? 1 : 0;
  if (is_first_valid)
    return 0;
  return is_second_valid ? 1 : no_slot;
}

LoadResult DurableStore::load() const {
  using State = Slot::State;
  const Slots slots = inspect_slots();
  for (const Slot& slot : slots)
    if (slot.state == State::unknown_format)
      return {LoadStatus::unknown_format, {}, slot.error};
  for (const Slot& slot : slots)
    if (slot.state == State::unreadable)
      return {LoadStatus::unreadable, {}, slot.error};
  if (const int newest = newest_valid(slots); newest != no_slot)
    return load_slot(newest);
  // Slot 1 is begun only after slot 0 was synced, and that was newer than any file of before the
  // slots.
  if (slots[1].state != State::absent)
    return {LoadStatus::damaged, {}, slots[1].error};
  LoadResult legacy = load_legacy_record(*file_system_, folder_);
  // A first save that never came to its checksum acknowledged nothing.
  if (legacy.status == LoadStatus::empty && slots[0].state == State::damaged)
    return {LoadStatus::damaged, {}, slots[0].error};
  return legacy;
}

LoadResult DurableStore::load_slot(int slot) const {
  std::string record;
  if (const int code = file_system_->read_image(path_of(slot), record))
    return {LoadStatus::unreadable, {}, disk_error("read of the store", code)};
  LoadResult result;
  switch (decode_persistent_state(record, result.persistent)) {
    case DecodeStatus::decoded:
      result.status = LoadStatus::loaded;
      break;
    case DecodeStatus::damaged:
      result.status = LoadStatus::damaged;
      result.error = make_error(ErrorCode::damaged, "record", path_of(slot));
      break;
    case DecodeStatus::unknown_format:
      result.status = LoadStatus::unknown_format;
      result.error = make_error(ErrorCode::invalid, "record", path_of(slot));
      break;
  }
  return result;
}

Error DurableStore::prepare() {
  if (is_prepared_)
    return {};
  const Slots slots = inspect_slots();
  for (const Slot& slot : slots)
    if (slot.state == Slot::State::unknown_format || slot.state == Slot::State::unreadable)
      return slot.error;
  const int newest = newest_valid(slots);
  if (newest != no_slot) {
    if (Error error = sync_newest(newest))
      return error;
    serial_ = slots[newest].serial;
  } else {
    const LoadResult legacy = load_legacy_record(*file_system_, folder_);
    if (legacy.status == LoadStatus::unknown_format || legacy.status == LoadStatus::unreadable)
      return legacy.error;
  }
  is_folder_synced_ = newest != no_slot && slots[0].state != Slot::State::absent &&
                      slots[1].state != Slot::State::absent;
  newest_ = newest;
  has_legacy_files_ = true;
  is_prepared_ = true;
  return {};
}

// What a process before this one wrote may be whole and yet not synced: it is, before the other
// slot goes.
Error DurableStore::sync_newest(int newest) {
  if (const int code = file_system_->sync(path_of(newest)))
    return disk_error("sync of the slot before", code);
  if (const int code = file_system_->sync_folder(folder_))
    return disk_error("sync of the folder", code);
  return {};
}

Error DurableStore::write_slot(int slot, std::uint64_t serial, const std::string& record) {
  const std::string path = path_of(slot);
  if (const int code = file_system_->create_empty(path))
    return disk_error("open of the store", code);
  if (const int code = file_system_->write_image(path, record))
    return disk_error("write to the store", code);
  FileSystem::Contents image;
  if (const int code = file_system_->inspect(path, 0, image))
    return disk_error("checksum of the store", code);
  const RecordChecksum checksum{record_format, serial, image.size, image.digest};
  if (const int code = file_system_->write(path, image.size, encode_checksum(checksum)))
    return disk_error("seal of the store", code);
  if (const int code = file_system_->sync(path))
    return disk_error("sync of the store", code);
  if (is_folder_synced_)
    return {};
  if (const int code = file_system_->sync_folder(folder_))
    return disk_error("sync of the folder", code);
  return {};
}

Error DurableStore::save(const PersistentState& persistent) {
  if (Error error = prepare())
    return error;
  const int slot = newest_ == 0 ? 1 : 0;
  ++serial_;
  if (Error error = write_slot(slot, serial_, encode_persistent_state(persistent))) {
    // After a sync that failed, what reads as whole may never reach the disk.
    file_system_->create_empty(path_of(slot));
    return error;
  }
  is_folder_synced_ = newest_ != no_slot;
  newest_ = slot;
  remove_legacy_files();
  return {};
}

void DurableStore::remove_legacy_files() {
  if (has_legacy_files_)
    for (const char* name : legacy_file_names)
      file_system_->remove(folder_ + name);
  has_legacy_files_ = false;
}

}  // namespace saddlewing
