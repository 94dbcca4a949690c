#include "state/durable_store.h"

#include <lmdb.h>
#include <unistd.h>
#include <xxhash.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <tuple>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t record_format = 2, first_format = 1;
constexpr std::uint64_t checksum_magic = 0x314c414553575753;  // "SWWSEAL1"
constexpr std::size_t checksum_size = 6 * 8;

// Closes a slot. Invariant of every later format: mark and checksum stay where they are, so that it
// can be named.
struct RecordChecksum {
  std::uint64_t format = 0, serial = 0, image_size = 0, image_digest = 0;
};

std::string write_checksum(const RecordChecksum& seal) {
  Writer writer;
  writer.number(seal.format)
      .number(seal.serial)
      .number(seal.image_size)
      .number(seal.image_digest)
      .number(checksum_magic);
  writer.number(XXH3_64bits(writer.bytes().data(), writer.bytes().size()));
  return writer.take();
}

bool has_mark(const std::string& bytes) {
  return bytes.size() == checksum_size &&
         ByteReader(std::string_view(bytes).substr(checksum_size - 16)).number() == checksum_magic;
}

bool read_checksum(const std::string& bytes, RecordChecksum& seal) {
  ByteReader reader(bytes);
  seal.format = reader.number();
  seal.serial = reader.number();
  seal.image_size = reader.number();
  seal.image_digest = reader.number();
  reader.number();
  return reader.number() == XXH3_64bits(bytes.data(), checksum_size - 8) && reader.is_complete();
}

Error disk_fault(const char* step, int code) {
  return code ? make_error(ErrorCode::disk, step, mdb_strerror(code)) : Error{};
}

std::uint64_t checksum(std::uint64_t format, std::string_view bytes) {
  if (format != first_format)
    return XXH3_64bits(bytes.data(), bytes.size());
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

// Later saves of one member never go back in this.
auto age_of(const PersistentState& persistent) {
  return std::tuple(persistent.current_term, persistent.entry->term, persistent.entry->index,
                    persistent.voted_for.value != 0);
}

// A file of before the slots has no seal, so LMDB does not open it: its one record is found by its
// key and believed by its own checksum. LMDB puts a node's size, flags and size of key before the
// key; a record that does not fit into a page stands at the start of another, behind that page's
// head.
Decoded find_unsealed(const std::string& bytes, PersistentState& persistent) {
  constexpr std::size_t head_size = 16, big = 1;
  const std::size_t page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::string_view all(bytes), key(record_key, sizeof record_key);
  Decoded best = Decoded::damaged;
  for (std::size_t at = all.find(key, 8); at != std::string_view::npos;
       at = all.find(key, at + 1)) {
    std::uint16_t head[4];
    std::memcpy(head, bytes.data() + at - 8, sizeof head);
    if (head[3] != key.size())
      continue;
    const std::size_t size = head[0] | static_cast<std::size_t>(head[1]) << 16;
    std::size_t begin = at + key.size();
    if (head[2] & big) {
      std::uint64_t number = 0;
      if (bytes.size() - begin < sizeof number)
        continue;
      std::memcpy(&number, bytes.data() + begin, sizeof number);
      begin = number * page + head_size;
    }
    if (begin > bytes.size())
      continue;
    const Decoded decoded = decode_persistent_state(all.substr(begin, size), persistent);
    if (decoded == Decoded::record)
      return decoded;
    if (decoded == Decoded::unknown_format)
      best = decoded;
  }
  return best;
}

}  // namespace

std::string encode_persistent_state(const PersistentState& persistent) {
  Writer writer;
  writer.number(record_format)
      .number(persistent.self.value)
      .number(persistent.current_term.value)
      .number(persistent.voted_for.value);
  write_entry(writer, *persistent.entry);
  writer.number(checksum(record_format, writer.bytes()));
  return writer.take();
}

Decoded decode_persistent_state(std::string_view bytes, PersistentState& persistent) {
  if (bytes.size() < 16)
    return Decoded::damaged;
  const std::string_view body = bytes.substr(0, bytes.size() - 8);
  const std::uint64_t sum = ByteReader(bytes.substr(body.size())).number(),
                      format = ByteReader(body).number();
  if (format > record_format) {
    const bool is_complete =
        sum == checksum(record_format, body) || sum == checksum(first_format, body);
    return is_complete ? Decoded::unknown_format : Decoded::damaged;
  }
  if (format < first_format || sum != checksum(format, body))
    return Decoded::damaged;
  ByteReader reader(body.substr(8));
  PersistentState read;
  read.self.value = reader.number();
  read.current_term.value = reader.number();
  read.voted_for.value = reader.number();
  auto entry = std::make_shared<Entry>();
  read_entry(reader, *entry);
  read.entry = std::move(entry);
  if (!reader.is_complete())
    return Decoded::damaged;
  persistent = std::move(read);
  return Decoded::record;
}

DurableStore::Slot DurableStore::examine(int slot) const {
  using State = Slot::State;
  const std::string path = path_of(slot);
  FileSystem::Contents contents;
  if (const int code = file_system_->inspect(path, checksum_size, contents))
    return code == ENOENT
               ? Slot{}
               : Slot{State::unreadable, 0,
                      make_error(ErrorCode::disk, "read of " + path, mdb_strerror(code))};
  if (!has_mark(contents.tail))
    return {State::begun, 0, make_error(ErrorCode::damaged, "no seal", path)};
  RecordChecksum seal;
  if (!read_checksum(contents.tail, seal))
    return {State::damaged, 0, make_error(ErrorCode::damaged, "seal", path)};
  if (seal.format > record_format)
    return {State::unknown_format, seal.serial,
            make_error(ErrorCode::invalid, "format " + std::to_string(seal.format), path)};
  if (seal.image_size != contents.size || seal.image_digest != contents.digest)
    return {State::damaged, 0, make_error(ErrorCode::damaged, "checksum", path)};
  return {State::whole, seal.serial, {}};
}

int DurableStore::newest_of(const Slot (&slots)[2]) {
  const auto is_complete = [&](int slot) {
    return slots[slot].state == Slot::State::whole;
  };
  if (is_complete(0) && is_complete(1))
    return slots[1].serial > slots[0].serial;
  return is_complete(0) ? 0 : is_complete(1) ? 1 : -1;
}

DurableStore::Found DurableStore::load(PersistentState& persistent, Error& why) const {
  using State = Slot::State;
  const Slot slots[] = {examine(0), examine(1)};
  for (const auto& [state, found] : {std::pair(State::unknown_format, Found::unknown_format),
                                     {State::unreadable, Found::unreadable}})
    for (const Slot& slot : slots)
      if (slot.state == state)
        return why = slot.why, found;
  const int newest = newest_of(slots);
  if (newest >= 0) {
    std::string record;
    if (const int code = file_system_->read_image(path_of(newest), record))
      return why = disk_fault("read of the store", code), Found::unreadable;
    const Decoded decoded = decode_persistent_state(record, persistent);
    if (decoded == Decoded::record)
      return Found::record;
    why = make_error(decoded == Decoded::damaged ? ErrorCode::damaged : ErrorCode::invalid,
                     "record", path_of(newest));
    return decoded == Decoded::damaged ? Found::damaged : Found::unknown_format;
  }
  // Slot 1 is begun only after slot 0 was synced, and that was newer than any file of before the
  // slots.
  if (slots[1].state != State::absent)
    return why = slots[1].why, Found::damaged;
  const Found found = load_unsealed(persistent, why);
  // A first save that never came to its seal acknowledged nothing.
  if (found == Found::nothing && slots[0].state == State::damaged)
    return why = slots[0].why, Found::damaged;
  return found;
}

// Of before the slots: fresh.mdb was written, synced and renamed over state.mdb. After a loss of
// power in between either name may be there, and a removed fresh.mdb may be back.
DurableStore::Found DurableStore::load_unsealed(PersistentState& persistent, Error& why) const {
  Found found = Found::nothing;
  for (const char* name : {"/state.mdb", "/fresh.mdb"}) {
    const std::string path = folder_ + name;
    std::string bytes;
    const int code = file_system_->read(path, bytes);
    if (code == ENOENT)
      continue;
    if (code)
      return why = make_error(ErrorCode::disk, "read of " + path, mdb_strerror(code)),
             Found::unreadable;
    PersistentState read;
    const Decoded decoded = find_unsealed(bytes, read);
    if (decoded == Decoded::unknown_format)
      return why = make_error(ErrorCode::invalid, "format", path), Found::unknown_format;
    if (decoded == Decoded::damaged) {
      // A torn fresh.mdb was never acknowledged; state.mdb was synced whole before it got its name.
      if (found == Found::nothing)
        why = make_error(ErrorCode::damaged, "checksum", path), found = Found::damaged;
      continue;
    }
    if (found == Found::damaged || (found == Found::record && age_of(read) <= age_of(persistent)))
      continue;
    persistent = std::move(read);
    found = Found::record;
  }
  return found;
}

// Once in a life. What a process before this one wrote may be whole and yet not synced: it is,
// before the other slot goes.
Error DurableStore::prepare() {
  if (is_prepared_)
    return {};
  const Slot slots[] = {examine(0), examine(1)};
  for (const Slot& slot : slots)
    if (slot.state == Slot::State::unknown_format || slot.state == Slot::State::unreadable)
      return slot.why;
  const int newest = newest_of(slots);
  if (newest >= 0) {
    if (const int code = file_system_->sync(path_of(newest)))
      return disk_fault("sync of the slot before", code);
    if (const int code = file_system_->sync_folder(folder_))
      return disk_fault("sync of the folder", code);
    serial_ = slots[newest].serial;
  } else {
    PersistentState held;
    Error why;
    const Found found = load_unsealed(held, why);
    if (found == Found::unknown_format || found == Found::unreadable)
      return why;
  }
  is_folder_synced_ =
      newest >= 0 && slots[0].state != Slot::State::absent && slots[1].state != Slot::State::absent;
  newest_ = newest;
  has_unsealed_ = true;
  is_prepared_ = true;
  return {};
}

Error DurableStore::write(int slot, std::uint64_t serial, const std::string& record) {
  const std::string path = path_of(slot);
  if (const int code = file_system_->clear(path))
    return disk_fault("open of the store", code);
  if (const int code = file_system_->write_image(path, record))
    return disk_fault("write to the store", code);
  FileSystem::Contents image;
  if (const int code = file_system_->inspect(path, 0, image))
    return disk_fault("checksum of the store", code);
  const std::string seal = write_checksum({record_format, serial, image.size, image.digest});
  if (const int code = file_system_->write(path, image.size, seal))
    return disk_fault("seal of the store", code);
  if (const int code = file_system_->sync(path))
    return disk_fault("sync of the store", code);
  if (is_folder_synced_)
    return {};
  return disk_fault("sync of the folder", file_system_->sync_folder(folder_));
}

Error DurableStore::save(const PersistentState& persistent) {
  if (Error found = prepare())
    return found;
  const int slot = newest_ == 0 ? 1 : 0;
  if (Error found = write(slot, ++serial_, encode_persistent_state(persistent))) {
    file_system_->clear(
        path_of(slot));  // after a sync that failed, what reads as whole may never reach the disk
    return found;
  }
  is_folder_synced_ = newest_ >= 0;  // both slots have their names for good
  newest_ = slot;
  if (has_unsealed_)
    for (const char* name : {"/state.mdb", "/fresh.mdb"})
      file_system_->remove(folder_ + name);
  has_unsealed_ = false;
  return {};
}

}  // namespace saddlewing
