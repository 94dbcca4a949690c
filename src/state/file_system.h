#pragma once
// What the durable store does to files, one operation a call, so that a test can stand in for the
// disk. It decides nothing: order and recovery are state/durable_store's. A call takes as long as
// the disk does; calls about different files may come from different threads.
#include <cstddef>
#include <cstdint>
#include <string>

#include "state/error.h"

namespace saddlewing {

/**
 * The operating system's files, and LMDB's images in them. Every call gives 0 or an error code:
 * errno, or LMDB's, which are below 0; `disk_error` makes an Error of it.
 */
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /** Leaves an empty file of that name, whatever stood there. */
  virtual int create_empty(const std::string& path);
  /** Fills an empty file with an LMDB image that holds `record`. Nothing is synced. */
  virtual int write_image(const std::string& path, const std::string& record);
  /** Writes bytes at an offset into a file that exists. ENOSPC where they do not all fit. */
  virtual int write(const std::string& path, std::uint64_t offset, const std::string& bytes);
  /** Returns once the file's bytes are on the disk. */
  virtual int sync(const std::string& path);
  /** Returns once the folder's names are on the disk. */
  virtual int sync_folder(const std::string& folder);
  /** Removes a file; ENOENT where there is none. */
  virtual int remove(const std::string& path);

  /** What `inspect` finds. Invariant: `size` bytes come before `tail`; `digest` is of these alone.
   */
  struct Contents {
    std::uint64_t size = 0;
    /** XXH3. */
    std::uint64_t digest = 0;
    /** The last bytes; shorter than asked for where the whole file is. */
    std::string tail;
  };
  /** Reads a whole file, keeping its last `tail_size` bytes and the digest of those before. */
  virtual int inspect(const std::string& path, std::size_t tail_size, Contents& contents) const;
  /** Reads the record of an LMDB image. LMDB believes every page of a file: only for one whose
      bytes are known to be those it wrote. */
  virtual int read_image(const std::string& path, std::string& record) const;
  /** Reads a whole file. */
  virtual int read(const std::string& path, std::string& bytes) const;
};

/** The key under which an image holds its one record, with the zero at its end. */
inline constexpr char record_key[] = "agreement";

/** The error of a file system call that failed at a step; no error for code 0. */
Error disk_error(std::string step, int code);

}  // namespace saddlewing
