#include "state/store.h"

#include <fcntl.h>
#include <lmdb.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cstring>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::uint32_t record_format = 1;
constexpr std::size_t map_bytes = 64u << 20;
const char key_name[] = "agreement";

struct CloseEnvironment {
  void operator()(MDB_env* environment) const { mdb_env_close(environment); }
};
using Environment = std::unique_ptr<MDB_env, CloseEnvironment>;

struct AbortTransaction {
  void operator()(MDB_txn* transaction) const { mdb_txn_abort(transaction); }
};
using Transaction = std::unique_ptr<MDB_txn, AbortTransaction>;

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }

 private:
  int number_;
};

Environment open_environment(const std::string& path, unsigned flags, int& code) {
  MDB_env* raw = nullptr;
  code = mdb_env_create(&raw);
  if (code) return nullptr;
  Environment environment(raw);
  code = mdb_env_set_mapsize(raw, map_bytes);
  if (!code) code = mdb_env_open(raw, path.c_str(), flags | MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS, 0644);
  return code ? nullptr : std::move(environment);
}

Fault disk_fault(const char* step, int code) { return fault(Kind::disk, step, mdb_strerror(code)); }

std::uint32_t checksum(const std::string& bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace

std::string encode_durable(const Durable& durable) {
  Writer writer;
  writer.number(record_format).number(durable.self.value).number(durable.term.value).number(durable.vote.value);
  write_entry(writer, *durable.entry);
  const std::uint32_t sum = checksum(writer.bytes());
  writer.number(sum);
  return writer.take();
}

bool decode_durable(const std::string& bytes, Durable& durable) {
  if (bytes.size() < 8) return false;
  ByteReader tail(std::string_view(bytes).substr(bytes.size() - 8));
  if (tail.number() != checksum(bytes.substr(0, bytes.size() - 8))) return false;
  ByteReader reader(std::string_view(bytes).substr(0, bytes.size() - 8));
  if (reader.number() != record_format) return false;
  durable.self.value = reader.number();
  durable.term.value = reader.number();
  durable.vote.value = reader.number();
  auto entry = std::make_shared<Entry>();
  read_entry(reader, *entry);
  durable.entry = std::move(entry);
  return reader.is_whole();
}

Store::Found Store::load(Durable& durable, Fault& found) const {
  const std::string path = folder_ + "/state.mdb";
  if (::access(path.c_str(), F_OK) != 0) return Found::nothing;
  int code = 0;
  const Environment environment = open_environment(path, MDB_RDONLY, code);
  if (!environment) return found = disk_fault("open of the store", code), Found::damaged;
  MDB_txn* raw = nullptr;
  code = mdb_txn_begin(environment.get(), nullptr, MDB_RDONLY, &raw);
  if (code) return found = disk_fault("read of the store", code), Found::damaged;
  const Transaction transaction(raw);
  MDB_dbi table = 0;
  MDB_val key{sizeof key_name, const_cast<char*>(key_name)}, value{};
  code = mdb_dbi_open(raw, nullptr, 0, &table);
  if (!code) code = mdb_get(raw, table, &key, &value);
  if (code) return found = disk_fault("read of the store", code), Found::damaged;
  if (!decode_durable(std::string(static_cast<const char*>(value.mv_data), value.mv_size), durable))
    return found = fault(Kind::damaged, "checksum of the store", path), Found::damaged;
  return Found::record;
}

Fault Store::write_fresh(const std::string& path, const std::string& bytes) {
  ::unlink(path.c_str());
  int code = 0;
  if (should_fail(Point::open)) return fault(Kind::disk, "open of the store", "injected");
  const Environment environment = open_environment(path, MDB_NOSYNC, code);
  if (!environment) return disk_fault("open of the store", code);
  MDB_txn* raw = nullptr;
  code = mdb_txn_begin(environment.get(), nullptr, 0, &raw);
  if (code) return disk_fault("begin in the store", code);
  Transaction transaction(raw);
  MDB_dbi table = 0;
  MDB_val key{sizeof key_name, const_cast<char*>(key_name)}, value{bytes.size(), const_cast<char*>(bytes.data())};
  code = mdb_dbi_open(raw, nullptr, 0, &table);
  if (!code) code = mdb_put(raw, table, &key, &value, 0);
  if (!code && should_fail(Point::put)) code = ENOSPC;
  if (code) return disk_fault("write to the store", code);
  code = mdb_txn_commit(transaction.release());
  if (!code && should_fail(Point::commit)) code = EIO;
  if (code) return disk_fault("commit of the store", code);
  code = mdb_env_sync(environment.get(), 1);
  if (!code && should_fail(Point::sync)) code = EIO;
  if (code) return disk_fault("sync of the store", code);
  return {};
}

Fault Store::save(const Durable& durable) {
  const std::string fresh = folder_ + "/fresh.mdb", path = folder_ + "/state.mdb";
  if (Fault found = write_fresh(fresh, encode_durable(durable))) {
    ::unlink(fresh.c_str());
    return found;
  }
  if (should_fail(Point::rename) || ::rename(fresh.c_str(), path.c_str()) != 0)
    return fault(Kind::disk, "rename of the store", std::strerror(errno));
  const Descriptor folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY));
  if (should_fail(Point::folder_sync) || folder.number() < 0 || ::fsync(folder.number()) != 0)
    return fault(Kind::disk, "sync of the folder", std::strerror(errno));
  return {};
}

}  // namespace saddlewing
