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

std::string write_checksum(const RecordChecksum& checksum) {
  Writer writer;
  writer.number(checksum.format)
      .number(checksum.serial)
      .number(checksum.image_size)
      .number(checksum.image_digest)
      .number(checksum_magic);
  writer.number(XXH3_64bits(writer.bytes().data(), writer.bytes().size()));
  return writer.take();
}

bool has_checksum_magic(const std::string& bytes) {
  return bytes.size() == checksum_size &&
         ByteReader(std::string_view(bytes).substr(checksum_size - 16)).number() == checksum_magic;
}

bool read_checksum(const std::string& bytes, RecordChecksum& checksum) {
  ByteReader reader(bytes);
  checksum.format = reader.number();
  checksum.serial = reader.number();
  checksum.image_size = reader.number();
  checksum.image_digest = reader.number();
  reader.number();
  return reader.number() == XXH3_64bits(bytes.data(), checksum_size - 8) && reader.is_complete();
}

Error disk_error(const char* step, int code) {
  return code ? make_error(ErrorCode::disk, step, mdb_strerror(code)) : Error{};
}

std::uint64_t record_digest(std::uint64_t format, std::string_view bytes) {
  if (format != first_format)
    return XXH3_64bits(bytes.data(), bytes.size());
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

// Later saves of one member never go back in this.
auto recency_of(const PersistentState& persistent) {
  return std::tuple(persistent.term, persistent.entry->term, persistent.entry->index,
                    persistent.vote.value != 0);
}

// A file of before the slots has no seal, so LMDB does not open it: its one record is found by its
// key and believed by its own checksum. LMDB puts a node's size, flags and size of key before the
// key; a record that does not fit into a page stands at the start of another, behind that page's
// head.
DecodeStatus find_legacy_record(const std::string& bytes, PersistentState& persistent) {
  constexpr std::size_t head_size = 16, big = 1;
  const std::size_t page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::string_view all(bytes), key(record_key, sizeof record_key);
  DecodeStatus best = DecodeStatus::damaged;
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
    const DecodeStatus decoded = decode_persistent_state(all.substr(begin, size), persistent);
    if (decoded == DecodeStatus::decoded)
      return decoded;
    if (decoded == DecodeStatus::unknown_format)
      best = decoded;
  }
  return best;
}

}  // namespace

std::string encode_persistent_state(const PersistentState& persistent) {
  Writer writer;
  writer.number(record_format)
      .number(persistent.self.value)
      .number(persistent.term.value)
      .number(persistent.vote.value);
  write_entry(writer, *persistent.entry);
  writer.number(record_digest(record_format, writer.bytes()));
  return writer.take();
}

DecodeStatus decode_persistent_state(std::string_view bytes, PersistentState& persistent) {
  if (bytes.size() < 16)
    return DecodeStatus::damaged;
  const std::string_view body = bytes.substr(0, bytes.size() - 8);
  const std::uint64_t sum = ByteReader(bytes.substr(body.size())).number(),
                      format = ByteReader(body).number();
  if (format > record_format) {
    const bool is_complete =
        sum == record_digest(record_format, body) || sum == record_digest(first_format, body);
    return is_complete ? DecodeStatus::unknown_format : DecodeStatus::damaged;
  }
  if (format < first_format || sum != record_digest(format, body))
    return DecodeStatus::damaged;
  ByteReader reader(body.substr(8));
  PersistentState read;
  read.self.value = reader.number();
  read.term.value = reader.number();
  read.vote.value = reader.number();
  auto entry = std::make_shared<Entry>();
  read_entry(reader, *entry);
  read.entry = std::move(entry);
  if (!reader.is_complete())
    return DecodeStatus::damaged;
  persistent = std::move(read);
  return DecodeStatus::decoded;
}

DurableStore::Slot DurableStore::inspect_slot(int slot) const {
  using State = Slot::State;
  const std::string path = path_of(slot);
  FileSystem::Contents contents;
  if (const int code = file_system_->inspect(path, checksum_size, contents))
    return code == ENOENT
               ? Slot{}
               : Slot{State::unreadable, 0,
                      make_error(ErrorCode::disk, "read of " + path, mdb_strerror(code))};
  if (!has_checksum_magic(contents.tail))
    return {State::incomplete, 0, make_error(ErrorCode::damaged, "no seal", path)};
  RecordChecksum checksum;
  if (!read_checksum(contents.tail, checksum))
    return {State::damaged, 0, make_error(ErrorCode::damaged, "seal", path)};
  if (checksum.format > record_format)
    return {State::unknown_format, checksum.serial,
            make_error(ErrorCode::invalid, "format " + std::to_string(checksum.format), path)};
  if (checksum.image_size != contents.size || checksum.image_digest != contents.digest)
    return {State::damaged, 0, make_error(ErrorCode::damaged, "checksum", path)};
  return {State::valid, checksum.serial, {}};
}

int DurableStore::newest_valid(const Slot (&slots)[2]) {
  const auto is_complete = [&](int slot) {
    return slots[slot].state == Slot::State::valid;
  };
  if (is_complete(0) && is_complete(1))
    return slots[1].serial > slots[0].serial;
  return is_complete(0) ? 0 : is_complete(1) ? 1 : -1;
}

DurableStore::LoadStatus DurableStore::load(PersistentState& persistent, Error& error) const {
  using State = Slot::State;
  const Slot slots[] = {inspect_slot(0), inspect_slot(1)};
  for (const auto& [state, found] : {std::pair(State::unknown_format, LoadStatus::unknown_format),
                                     {State::unreadable, LoadStatus::unreadable}})
    for (const Slot& slot : slots)
      if (slot.state == state)
        return error = slot.error, found;
  const int newest = newest_valid(slots);
  if (newest >= 0) {
    std::string record;
    if (const int code = file_system_->read_image(path_of(newest), record))
      return error = disk_error("read of the store", code), LoadStatus::unreadable;
    const DecodeStatus decoded = decode_persistent_state(record, persistent);
    if (decoded == DecodeStatus::decoded)
      return LoadStatus::loaded;
    error = make_error(decoded == DecodeStatus::damaged ? ErrorCode::damaged : ErrorCode::invalid,
                       "record", path_of(newest));
    return decoded == DecodeStatus::damaged ? LoadStatus::damaged : LoadStatus::unknown_format;
  }
  // Slot 1 is begun only after slot 0 was synced, and that was newer than any file of before the
  // slots.
  if (slots[1].state != State::absent)
    return error = slots[1].error, LoadStatus::damaged;
  const LoadStatus found = load_legacy(persistent, error);
  // A first save that never came to its seal acknowledged nothing.
  if (found == LoadStatus::empty && slots[0].state == State::damaged)
    return error = slots[0].error, LoadStatus::damaged;
  return found;
}

// Of before the slots: fresh.mdb was written, synced and renamed over state.mdb. After a loss of
// power in between either name may be there, and a removed fresh.mdb may be back.
DurableStore::LoadStatus DurableStore::load_legacy(PersistentState& persistent,
                                                   Error& error) const {
  LoadStatus found = LoadStatus::empty;
  for (const char* name : {"/state.mdb", "/fresh.mdb"}) {
    const std::string path = folder_ + name;
    std::string bytes;
    const int code = file_system_->read(path, bytes);
    if (code == ENOENT)
      continue;
    if (code)
      return error = make_error(ErrorCode::disk, "read of " + path, mdb_strerror(code)),
             LoadStatus::unreadable;
    PersistentState read;
    const DecodeStatus decoded = find_legacy_record(bytes, read);
    if (decoded == DecodeStatus::unknown_format)
      return error = make_error(ErrorCode::invalid, "format", path), LoadStatus::unknown_format;
    if (decoded == DecodeStatus::damaged) {
      // A torn fresh.mdb was never acknowledged; state.mdb was synced whole before it got its name.
      if (found == LoadStatus::empty)
        error = make_error(ErrorCode::damaged, "checksum", path), found = LoadStatus::damaged;
      continue;
    }
    if (found == LoadStatus::damaged ||
        (found == LoadStatus::loaded && recency_of(read) <= recency_of(persistent)))
      continue;
    persistent = std::move(read);
    found = LoadStatus::loaded;
  }
  return found;
}

// Once in a life. What a process before this one wrote may be whole and yet not synced: it is,
// before the other slot goes.
Error DurableStore::prepare() {
  if (is_prepared_)
    return {};
  const Slot slots[] = {inspect_slot(0), inspect_slot(1)};
  for (const Slot& slot : slots)
    if (slot.state == Slot::State::unknown_format || slot.state == Slot::State::unreadable)
      return slot.error;
  const int newest = newest_valid(slots);
  if (newest >= 0) {
    if (const int code = file_system_->sync(path_of(newest)))
      return disk_error("sync of the slot before", code);
    if (const int code = file_system_->sync_folder(folder_))
      return disk_error("sync of the folder", code);
    serial_ = slots[newest].serial;
  } else {
    PersistentState held;
    Error error;
    const LoadStatus found = load_legacy(held, error);
    if (found == LoadStatus::unknown_format || found == LoadStatus::unreadable)
      return error;
  }
  is_folder_synced_ =
      newest >= 0 && slots[0].state != Slot::State::absent && slots[1].state != Slot::State::absent;
  newest_ = newest;
  has_legacy_files_ = true;
  is_prepared_ = true;
  return {};
}

Error DurableStore::write(int slot, std::uint64_t serial, const std::string& record) {
  const std::string path = path_of(slot);
  if (const int code = file_system_->create_empty(path))
    return disk_error("open of the store", code);
  if (const int code = file_system_->write_image(path, record))
    return disk_error("write to the store", code);
  FileSystem::Contents image;
  if (const int code = file_system_->inspect(path, 0, image))
    return disk_error("checksum of the store", code);
  const std::string checksum = write_checksum({record_format, serial, image.size, image.digest});
  if (const int code = file_system_->write(path, image.size, checksum))
    return disk_error("seal of the store", code);
  if (const int code = file_system_->sync(path))
    return disk_error("sync of the store", code);
  if (is_folder_synced_)
    return {};
  return disk_error("sync of the folder", file_system_->sync_folder(folder_));
}

Error DurableStore::save(const PersistentState& persistent) {
  if (Error found = prepare())
    return found;
  const int slot = newest_ == 0 ? 1 : 0;
  if (Error found = write(slot, ++serial_, encode_persistent_state(persistent))) {
    file_system_->create_empty(
        path_of(slot));  // after a sync that failed, what reads as whole may never reach the disk
    return found;
  }
  is_folder_synced_ = newest_ >= 0;  // both slots have their names for good
  newest_ = slot;
  if (has_legacy_files_)
    for (const char* name : {"/state.mdb", "/fresh.mdb"})
      file_system_->remove(folder_ + name);
  has_legacy_files_ = false;
  return {};
}

}  // namespace saddlewing
