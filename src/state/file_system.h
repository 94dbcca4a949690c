#pragma once
// What the store does to files, one operation a call, so that a test can stand in for the disk.
#include <cstddef>
#include <cstdint>
#include <string>

namespace saddlewing {

// Every call gives 0 or an error code: errno, or LMDB's.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // An empty file of that name, whatever stood there.
  virtual int create_empty(const std::string& path);
  // Fills an empty file with an LMDB image that holds `record`. Nothing is synced.
  virtual int write_image(const std::string& path, const std::string& record);
  virtual int write(const std::string& path, std::uint64_t offset, const std::string& bytes);
  virtual int sync(const std::string& path);
  virtual int sync_folder(const std::string& folder);
  virtual int remove(const std::string& path);

  // Invariant: `size` bytes come before `tail`; `digest` is of these alone.
  struct Contents {
    std::uint64_t size = 0, digest = 0;
    std::string tail;  // shorter than asked for: the whole file is
  };
  virtual int inspect(const std::string& path, std::size_t tail_size, Contents& contents) const;
  // LMDB believes every page of a file: only for one whose bytes are known to be those it wrote.
  virtual int read_image(const std::string& path, std::string& record) const;
  virtual int read(const std::string& path, std::string& bytes) const;
};

// The key under which an image holds its one record, with the zero at its end.
inline constexpr char record_key[] = "agreement";

}  // namespace saddlewing
