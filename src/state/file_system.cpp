#include "state/file_system.h"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace saddlewing {
namespace {

constexpr std::size_t map_bytes = 64u << 20;
constexpr std::size_t chunk_bytes = 64u << 10;

struct CloseEnvironment {
  void operator()(MDB_env* environment) const {
    mdb_env_close(environment);
  }
};
using Environment = std::unique_ptr<MDB_env, CloseEnvironment>;

struct AbortTransaction {
  void operator()(MDB_txn* transaction) const {
    mdb_txn_abort(transaction);
  }
};
using Transaction = std::unique_ptr<MDB_txn, AbortTransaction>;

struct FreeState {
  void operator()(XXH3_state_t* state) const {
    XXH3_freeState(state);
  }
};

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {
  }
  ~Descriptor() {
    if (number_ >= 0)
      ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const {
    return number_;
  }
  bool is_open() const {
    return number_ >= 0;
  }

 private:
  int number_;
};

Environment open_environment(const std::string& path, unsigned flags, int& code) {
  MDB_env* raw = nullptr;
  code = mdb_env_create(&raw);
  if (code)
    return nullptr;
  Environment environment(raw);
  code = mdb_env_set_mapsize(raw, map_bytes);
  if (!code)
    code = mdb_env_open(raw, path.c_str(), flags | MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS, 0644);
  return code ? nullptr : std::move(environment);
}

int sync_at(const std::string& path, int flags) {
  const Descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
  return file.is_open() && ::fsync(file.number()) == 0 ? 0 : errno;
}

// Bytes from `offset` up to `end` or the file's end, in chunks.
int read_range(int descriptor, std::uint64_t offset, std::uint64_t end,
               const std::function<void(std::string_view)>& take) {
  std::vector<char> chunk(std::min<std::uint64_t>(chunk_bytes, end - offset));
  while (offset < end) {
    const ssize_t got =
        ::pread(descriptor, chunk.data(), std::min<std::uint64_t>(chunk.size(), end - offset),
                static_cast<off_t>(offset));
    if (got < 0 && errno == EINTR)
      continue;
    if (got < 0)
      return errno;
    if (got == 0)
      return EIO;  // cut while it was read
    take({chunk.data(), static_cast<std::size_t>(got)});
    offset += static_cast<std::uint64_t>(got);
  }
  return 0;
}

int size_of(const Descriptor& file, std::uint64_t& size) {
  struct stat facts {};
  if (!file.is_open() || ::fstat(file.number(), &facts) != 0)
    return errno;
  if (!S_ISREG(facts.st_mode))
    return EISDIR;
  size = static_cast<std::uint64_t>(facts.st_size);
  return 0;
}

}  // namespace

int FileSystem::create_empty(const std::string& path) {
  const Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
  return file.is_open() && ::ftruncate(file.number(), 0) == 0 ? 0 : errno;
}

int FileSystem::write_image(const std::string& path, const std::string& record) {
  int code = 0;
  const Environment environment = open_environment(path, MDB_NOSYNC, code);
  if (!environment)
    return code;
  MDB_txn* raw = nullptr;
  code = mdb_txn_begin(environment.get(), nullptr, 0, &raw);
  if (code)
    return code;
  Transaction transaction(raw);
  MDB_dbi table = 0;
  MDB_val key{sizeof record_key, const_cast<char*>(record_key)},
      value{record.size(), const_cast<char*>(record.data())};
  code = mdb_dbi_open(raw, nullptr, 0, &table);
  if (!code)
    code = mdb_put(raw, table, &key, &value, 0);
  return code ? code : mdb_txn_commit(transaction.release());
}

int FileSystem::read_image(const std::string& path, std::string& record) const {
  int code = 0;
  const Environment environment = open_environment(path, MDB_RDONLY, code);
  if (!environment)
    return code;
  MDB_txn* raw = nullptr;
  code = mdb_txn_begin(environment.get(), nullptr, MDB_RDONLY, &raw);
  if (code)
    return code;
  const Transaction transaction(raw);
  MDB_dbi table = 0;
  MDB_val key{sizeof record_key, const_cast<char*>(record_key)}, value{};
  code = mdb_dbi_open(raw, nullptr, 0, &table);
  if (!code)
    code = mdb_get(raw, table, &key, &value);
  if (!code)
    record.assign(static_cast<const char*>(value.mv_data), value.mv_size);
  return code;
}

int FileSystem::write(const std::string& path, std::uint64_t offset, const std::string& bytes) {
  const Descriptor file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (!file.is_open())
    return errno;
  const ssize_t written =
      ::pwrite(file.number(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
  if (written < 0)
    return errno;
  return static_cast<std::size_t>(written) == bytes.size() ? 0 : ENOSPC;
}

int FileSystem::sync(const std::string& path) {
  return sync_at(path, O_RDWR);
}

int FileSystem::sync_folder(const std::string& folder) {
  return sync_at(folder, O_RDONLY | O_DIRECTORY);
}

int FileSystem::remove(const std::string& path) {
  return ::unlink(path.c_str()) == 0 ? 0 : errno;
}

int FileSystem::inspect(const std::string& path, std::size_t tail_size, Contents& contents) const {
  contents = {};
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  std::uint64_t size = 0;
  if (const int code = size_of(file, size))
    return code;
  contents.size = size - std::min<std::uint64_t>(size, tail_size);
  const std::unique_ptr<XXH3_state_t, FreeState> state(XXH3_createState());
  if (!state)
    return ENOMEM;
  XXH3_64bits_reset(state.get());
  const auto hash = [&](std::string_view chunk) {
    XXH3_64bits_update(state.get(), chunk.data(), chunk.size());
  };
  if (const int code = read_range(file.number(), 0, contents.size, hash))
    return code;
  contents.digest = XXH3_64bits_digest(state.get());
  return read_range(file.number(), contents.size, size,
                    [&](std::string_view chunk) { contents.tail.append(chunk); });
}

int FileSystem::read(const std::string& path, std::string& bytes) const {
  bytes.clear();
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  std::uint64_t size = 0;
  if (const int code = size_of(file, size))
    return code;
  bytes.reserve(size);
  return read_range(file.number(), 0, size, [&](std::string_view chunk) { bytes.append(chunk); });
}

}  // namespace saddlewing
