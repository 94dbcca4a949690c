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
#include <utility>
#include <vector>

namespace saddlewing {
namespace {

constexpr std::size_t map_bytes = 64u << 20;    // the most that an image may take
constexpr std::size_t chunk_bytes = 64u << 10;  // read at a time

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

/** Owns a file descriptor. */
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

/** An LMDB image, open for one transaction. Members are closed in reverse order. */
struct Image {
  Environment environment;
  Transaction transaction;
  MDB_dbi table = 0;

  int open(const std::string& path, unsigned environment_flags, unsigned transaction_flags) {
    constexpr unsigned single_file = MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS;
    constexpr mdb_mode_t file_mode = 0644;
    MDB_env* raw_environment = nullptr;
    if (const int code = mdb_env_create(&raw_environment))
      return code;
    environment.reset(raw_environment);
    if (const int code = mdb_env_set_mapsize(raw_environment, map_bytes))
      return code;
    if (const int code =
            mdb_env_open(raw_environment, path.c_str(), environment_flags | single_file, file_mode))
      return code;
    MDB_txn* raw_transaction = nullptr;
    if (const int code =
            mdb_txn_begin(raw_environment, nullptr, transaction_flags, &raw_transaction))
      return code;
    transaction.reset(raw_transaction);
    return mdb_dbi_open(raw_transaction, nullptr, 0, &table);
  }
};

MDB_val image_key() {
  return {sizeof record_key, const_cast<char*>(record_key)};
}

int sync_at(const std::string& path, int flags) {
  const Descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
  return file.is_open() && ::fsync(file.number()) == 0 ? 0 : errno;
}

/** Hands over the bytes from `offset` up to `end` or the file's end, in chunks. */
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

/** Size of a regular file; `file` may have failed to open. */
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

Error disk_error(std::string step, int code) {
  if (code == 0)
    return {};
  return make_error(ErrorCode::disk, std::move(step), mdb_strerror(code));
}

int FileSystem::create_empty(const std::string& path) {
  const Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
  return file.is_open() && ::ftruncate(file.number(), 0) == 0 ? 0 : errno;
}

int FileSystem::write_image(const std::string& path, const std::string& record) {
  Image image;
  if (const int code = image.open(path, MDB_NOSYNC, 0))
    return code;
  MDB_val key = image_key();
  MDB_val value{record.size(), const_cast<char*>(record.data())};
  if (const int code = mdb_put(image.transaction.get(), image.table, &key, &value, 0))
    return code;
  return mdb_txn_commit(image.transaction.release());
}

int FileSystem::read_image(const std::string& path, std::string& record) const {
  Image image;
  if (const int code = image.open(path, MDB_RDONLY, MDB_RDONLY))
    return code;
  MDB_val key = image_key();
  MDB_val value{};
  if (const int code = mdb_get(image.transaction.get(), image.table, &key, &value))
    return code;
  record.assign(static_cast<const char*>(value.mv_data), value.mv_size);
  return 0;
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
