#pragma once
// A disk that remembers what was not synced. Files are kept in a folder as the process sees them;
// at a loss of power each write that no sync covered is kept, missing or torn by itself, and each
// name that was made, renamed or removed since its folder was synced is any of what it was since
// then. A new file lasts once it was synced itself.
#include <stdlib.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state/file_system.h"

namespace saddlewing {

class Folder {
 public:
  Folder() {
    path_ = ::mkdtemp(name_);
  }
  ~Folder() {
    std::filesystem::remove_all(path_);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const {
    return path_;
  }

 private:
  char name_[32] = "/tmp/saddlewing-XXXXXX";
  std::string path_;
};

inline std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// A new file each time: some file systems write one that was cut and closed to the disk at once.
inline void write_file(const std::string& path, const std::string& bytes) {
  std::filesystem::remove(path);
  std::ofstream(path, std::ios::binary) << bytes;
}

using Files = std::map<std::string, std::string>;  // name to bytes

inline Files read_folder(const std::string& folder) {
  Files files;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    files[entry.path().filename()] = read_file(entry.path());
  return files;
}

inline void fill_folder(const std::string& folder, const Files& files) {
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    std::filesystem::remove_all(entry.path());
  for (const auto& [name, bytes] : files)
    write_file(folder + "/" + name, bytes);
}

// A slot as a later version would close it: checksums right, the format's number higher.
inline std::string of_later_format(std::string slot) {
  const std::size_t checksum = slot.size() - 48;
  slot[checksum] = 3;
  const std::uint64_t sum = XXH3_64bits(slot.data() + checksum, 40);
  std::memcpy(slot.data() + checksum + 40, &sum, sizeof sum);
  return slot;
}

class DiskModel final : public FileSystem {
 public:
  // How an operation fails: not begun; done by half; done and yet an error; as by half, and the
  // process ends there; or, of a sync, with the writes taken for synced from then on though they
  // may never last.
  enum class Failure {
    refused,
    half,
    late,
    killed,
    dropped
  };
  explicit DiskModel(std::string folder) : folder_(std::move(folder)) {
  }

  // The operation `number` from now fails, 1: the next.
  void fail(int number, Failure failure) {
    fail_at_ = operations_ + number;
    failure_ = failure;
  }
  void fail_all() {
    is_refusing_ = true;
  }
  void recover() {
    is_dead_ = is_refusing_ = false;
    fail_at_ = 0;
  }
  bool is_dead() const {
    return is_dead_;
  }
  int operations() const {
    return operations_;
  }
  int syncs() const {
    return syncs_;
  }
  std::uint64_t written() const {
    return written_;
  }
  std::function<void()> after_each;  // between any two operations
  bool is_strict = false;            // a new file, too, lasts only after its folder was synced

  int create_empty(const std::string& path) override {
    return run([&] { return FileSystem::create_empty(path); },
               [&](bool) {
                 Name& name = names_[name_of(path)];
                 if (!name.now) {
                   name.now = static_cast<int>(inodes_.size());
                   name.since.push_back(name.now);
                   inodes_.emplace_back();
                 } else {
                   inodes_[*name.now].push_back({true, 0, {}});
                 }
               });
  }
  int write_image(const std::string& path, const std::string& record) override {
    return run([&] { return FileSystem::write_image(path, record); },
               [&](bool is_half) {
                 const std::string bytes = read_file(path);
                 std::string kept;
                 for (std::size_t at = 0, page = 0; at < bytes.size(); at += page_size, ++page)
                   if (!is_half || page % 2 == 0)
                     note(path, at, bytes.substr(at, page_size)),
                         kept = bytes.substr(0, at + page_size);
                 if (is_half)
                   write_file(path, kept);
               });
  }
  int write(const std::string& path, std::uint64_t offset, const std::string& bytes) override {
    const std::string before = read_file(path);
    return run([&] { return FileSystem::write(path, offset, bytes); },
               [&](bool is_half) {
                 const std::string part =
                     bytes.substr(0, is_half ? bytes.size() / 2 : bytes.size());
                 note(path, offset, part);
                 if (is_half)
                   write_file(path, before), FileSystem::write(path, offset, part);
               });
  }
  int sync(const std::string& path) override {
    ++syncs_;
    const bool is_dropped = operations_ + 1 == fail_at_ && failure_ == Failure::dropped;
    return run(
        [] { return 0; },
        [&](bool is_half) {
          Name& name = names_[name_of(path)];
          if (!name.now || is_half)
            return;
          Inode& inode = inodes_[*name.now];
          for (Write& write : inode)
            (is_dropped ? write.is_doomed : write.is_certain) |=
                is_dropped ? !write.is_certain : !write.is_doomed;
          if (is_dropped)
            return;
          const auto cut = std::find_if(inode.rbegin(), inode.rend(), [](const Write& write) {
            return write.is_cut && write.is_certain;
          });
          inode.erase(inode.begin(), cut.base());  // what came before the cut no longer matters
          if (!is_strict && name.since.size() == 1 && !name.is_renamed)
            name.lasting = name.now, name.since.clear();
        });
  }
  int sync_folder(const std::string&) override {
    ++syncs_;
    return run([] { return 0; },
               [&](bool is_half) {
                 if (is_half)
                   return;
                 for (auto& [text, name] : names_)
                   name = {name.now, name.now, {}, false};
               });
  }
  int remove(const std::string& path) override {
    Name& name = names_[name_of(path)];
    if (!name.now)
      return ENOENT;
    return run([&] { return FileSystem::remove(path); },
               [&](bool) {
                 name.now.reset();
                 name.since.push_back(std::nullopt);
               });
  }
  // The store does not rename; the way before it did. A renamed file may be lost under both names.
  int rename(const std::string& from, const std::string& to) {
    return run([&] { return ::rename(from.c_str(), to.c_str()) ? errno : 0; },
               [&](bool) {
                 Name &left = names_[name_of(from)], &taken = names_[name_of(to)];
                 taken.now = left.now;
                 taken.is_renamed = true;
                 taken.since.insert(taken.since.end(), {std::nullopt, left.now});
                 left.now.reset();
                 left.since.push_back(std::nullopt);
               });
  }

  // What a loss of power now may leave: every outcome where these are `limit` at the most, else so
  // many drawn by `seed`, with all kept and all lost among them. Gives how many.
  std::size_t for_each_loss(std::size_t limit, std::uint64_t seed,
                            const std::function<void(const Files&)>& exchange) const {
    std::vector<std::size_t> bases;
    for (const auto& [text, name] : names_)
      bases.push_back(1 + name.since.size());
    for (const Inode& inode : inodes_)
      for (const Write& write : inode)
        bases.push_back(write.is_certain ? 1 : write.is_cut ? 2 : 4);
    double all = 1;
    for (const std::size_t base : bases)
      all *= static_cast<double>(base);
    std::mt19937_64 random(seed);
    std::vector<std::size_t> choice(bases.size(), 0);
    const bool is_drawn = all > static_cast<double>(limit);
    const std::size_t count = is_drawn ? limit : static_cast<std::size_t>(all);
    for (std::size_t turn = 0; turn < count; ++turn) {
      exchange(outcome(choice));
      if (is_drawn) {
        for (std::size_t at = 0; at < bases.size(); ++at)
          choice[at] = turn == 0 ? bases[at] - 1 : random() % bases[at];
      } else {
        for (std::size_t at = 0; at < bases.size() && ++choice[at] == bases[at]; ++at)
          choice[at] = 0;
      }
    }
    return count;
  }
  // A loss of power came: the files are now these and nothing else is under way.
  void lose(const Files& files) {
    fill_folder(folder_, files);
    names_.clear();
    inodes_.clear();
    for (const auto& [text, bytes] : files) {
      const int inode = static_cast<int>(inodes_.size());
      inodes_.push_back({{false, 0, bytes, true}});
      names_[text] = {inode, inode, {}, false};
    }
    recover();
  }

 private:
  static constexpr std::size_t page_size = 4096;
  // A cut to nothing, or bytes at a place. Certain: a sync covered it. Doomed: no sync will.
  struct Write {
    bool is_cut = false;
    std::size_t offset = 0;
    std::string bytes;
    bool is_certain = false, is_doomed = false;
  };
  using Inode = std::vector<Write>;
  struct Name {
    std::optional<int> now, lasting;
    std::vector<std::optional<int>> since;  // what it was since the folder was synced
    bool is_renamed = false;
  };

  static std::string name_of(const std::string& path) {
    return path.substr(path.rfind('/') + 1);
  }
  void note(const std::string& path, std::size_t offset, std::string bytes) {
    const Name& name = names_[name_of(path)];
    if (name.now)
      inodes_[*name.now].push_back({false, offset, std::move(bytes)});
    written_ += inodes_[*name.now].back().bytes.size();
  }
  int run(const std::function<int()>& act, const std::function<void(bool is_half)>& noted) {
    if (is_dead_ || is_refusing_)
      return is_dead_ ? EIO : ENOSPC;
    const bool is_failing = ++operations_ == fail_at_;
    int code = 0;
    if (!is_failing || failure_ != Failure::refused) {
      code = act();
      const bool is_half = is_failing && (failure_ == Failure::half || failure_ == Failure::killed);
      if (!code)
        noted(is_half);
    }
    if (is_failing)
      code = failure_ == Failure::refused ? ENOSPC : EIO;
    if (is_failing && failure_ == Failure::killed)
      is_dead_ = true;
    if (after_each)
      after_each();
    return code;
  }
  static std::string contents(const Inode& inode, const std::size_t* choice) {
    std::string bytes;
    for (const Write& write : inode) {
      const std::size_t chosen = *choice++, size = write.bytes.size(), half = size / 2;
      if (chosen == (write.is_cut ? 1 : 3))
        continue;
      if (write.is_cut)
        bytes.clear();
      if (write.is_cut)
        continue;
      const std::size_t begin = chosen == 2 ? half : 0, end = chosen == 1 ? half : size;
      if (bytes.size() < write.offset + end)
        bytes.resize(write.offset + end);
      bytes.replace(write.offset + begin, end - begin, write.bytes, begin, end - begin);
    }
    return bytes;
  }
  // 0 of each choice: all that was done lasts. The last of each: all is as it was synced.
  Files outcome(const std::vector<std::size_t>& choice) const {
    Files files;
    std::size_t at = 0;
    std::vector<std::size_t> first;
    std::size_t next = names_.size();
    for (const Inode& inode : inodes_)
      first.push_back(next), next += inode.size();
    for (const auto& [text, name] : names_) {
      const std::size_t chosen = choice[at++];
      const std::optional<int> inode =
          chosen < name.since.size() ? name.since[name.since.size() - 1 - chosen] : name.lasting;
      if (inode)
        files[text] = contents(inodes_[*inode], choice.data() + first[*inode]);
    }
    return files;
  }

  std::string folder_;
  std::map<std::string, Name> names_;
  std::vector<Inode> inodes_;
  int operations_ = 0, fail_at_ = 0, syncs_ = 0;
  std::uint64_t written_ = 0;
  Failure failure_ = Failure::refused;
  bool is_dead_ = false, is_refusing_ = false;
};

}  // namespace saddlewing
