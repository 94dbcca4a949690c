#pragma once
// Top-k merge: the greatest records across the parts of a gathered response.
//
// Pure and not thread-safe. It doesn't know which part a record came from, so a part must be added
// at most once.
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

// Keeps the `limit` greatest of the records added, in memory proportional to `limit`.
class TopRecords {
 public:
  // Bytes of a record in a response body.
  static constexpr std::size_t record_size = 16;

  // `limit`: how many records are kept; at least 1.
  explicit TopRecords(std::size_t limit) : limit_(limit) {
  }

  // Adds each whole record of `body`; the bytes of an incomplete one at its end are ignored.
  void add(std::string_view body) {
    for (std::size_t offset = 0; offset + record_size <= body.size(); offset += record_size) {
      const Record record = read(body.data() + offset);
      if (is_full_ && !(floor_ < record))
        continue;
      kept_.push_back(record);
      if (kept_.size() >= limit_ * 2 + prune_slack)
        prune();
    }
  }

  // The records kept, greatest first, as bytes. They stay in here, sorted.
  std::string take() {
    prune();
    std::sort(kept_.begin(), kept_.end(),
              [](const Record& left, const Record& right) { return right < left; });
    std::string bytes(kept_.size() * record_size, '\0');
    for (std::size_t index = 0; index < kept_.size(); ++index)
      write(kept_[index], bytes.data() + index * record_size);
    return bytes;
  }

 private:
  // Records beyond twice the limit that may pile up before a prune: with a small limit it keeps
  // prunes, each of which passes over all records, rare.
  static constexpr std::size_t prune_slack = 64;

  // Ordered as its bytes are: big-endian, the first byte weighs most.
  struct Record {
    std::uint64_t high;
    std::uint64_t low;
    bool operator<(const Record& other) const {
      return high != other.high ? high < other.high : low < other.low;
    }
  };
  static std::uint64_t swap_byte_order(std::uint64_t value) {
    return __builtin_bswap64(value);
  }
  static Record read(const char* bytes) {
    Record record;
    std::memcpy(&record.high, bytes, sizeof record.high);
    std::memcpy(&record.low, bytes + sizeof record.high, sizeof record.low);
    return {swap_byte_order(record.high), swap_byte_order(record.low)};
  }
  static void write(const Record& record, char* bytes) {
    const std::uint64_t high = swap_byte_order(record.high);
    const std::uint64_t low = swap_byte_order(record.low);
    std::memcpy(bytes, &high, sizeof high);
    std::memcpy(bytes + sizeof high, &low, sizeof low);
  }

  // Drops all but the `limit_` greatest records.
  void prune() {
    if (kept_.size() < limit_)
      return;
    std::nth_element(kept_.begin(), kept_.begin() + static_cast<std::ptrdiff_t>(limit_ - 1),
                     kept_.end(),
                     [](const Record& left, const Record& right) { return right < left; });
    kept_.resize(limit_);
    floor_ = kept_.back();
    is_full_ = true;
  }

  std::size_t limit_;
  std::vector<Record> kept_;
  Record floor_{};        // the least record kept by the last prune: no smaller one can come in
  bool is_full_ = false;  // whether `limit_` records have been there, so that floor_ holds
};

}  // namespace saddlewing
