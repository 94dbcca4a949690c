#pragma once
// What a registry must not lose, on LMDB.
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

struct Member {
  MemberId id;
  std::string address;  // inner address, host:port
  auto operator<=>(const Member&) const = default;
};

// One entry of the agreement. It holds the whole state, so it stands for all entries before it.
struct Entry {
  Term term;
  Index index;
  Version version;
  std::string body;
  std::vector<Member> members;
  // Of a joint entry: the members before. A majority of each list counts until the entry after it, which has none.
  std::vector<Member> former;
  std::uint32_t core_size = 0;  // how many voters the core wants
  std::map<std::string, std::string> sheets;  // further agreed tables by name: leads of databases, the ring
};
using EntrySnapshot = std::shared_ptr<const Entry>;

// Invariant: `self` never changes once written; `term` never falls; `vote` is of `term`.
struct Durable {
  MemberId self;
  Term term;
  MemberId vote;
  EntrySnapshot entry;
};

std::string encode_durable(const Durable& durable);
bool decode_durable(const std::string& bytes, Durable& durable);

// Every save writes a fresh LMDB file, syncs it and renames it over the old one, so that a loss of power
// leaves either record whole: LMDB's own meta pages carry no checksum against torn writes.
class Store {
 public:
  // Numbered points at which a test may make the store fail.
  enum class Point { open = 1, put, commit, sync, rename, folder_sync };
  using Inject = std::function<bool(Point)>;  // true: fail here

  explicit Store(std::string folder, Inject inject = {}) : folder_(std::move(folder)), inject_(std::move(inject)) {}
  enum class Found { nothing, record, damaged };
  Found load(Durable& durable, Fault& fault) const;
  Fault save(const Durable& durable);

 private:
  Fault write_fresh(const std::string& path, const std::string& bytes);
  bool should_fail(Point point) const { return inject_ && inject_(point); }

  std::string folder_;
  Inject inject_;
};

}  // namespace saddlewing
