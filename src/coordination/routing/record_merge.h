#pragma once
// The greatest records across the parts of a gathered outcome, kept as they come.
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

class TopRecords {
 public:
  static constexpr std::size_t record_size = 16;
  explicit TopRecords(std::size_t limit) : limit_(limit) {
  }

  void add(std::string_view body) {
    for (std::size_t offset = 0; offset + record_size <= body.size(); offset += record_size) {
      const Record record = read(body.data() + offset);
      if (is_full_ && !(floor_ < record))
        continue;
      kept_.push_back(record);
      if (kept_.size() >= limit_ * 2 + 64)
        prune();
    }
  }
  std::string take() {
    prune();
    std::sort(kept_.begin(), kept_.end(),
              [](const Record& left, const Record& right) { return right < left; });
    std::string bytes(kept_.size() * record_size, '\0');
    for (std::size_t offset = 0; offset < kept_.size(); ++offset)
      write(kept_[offset], bytes.data() + offset * record_size);
    return bytes;
  }

 private:
  // Compared byte by byte, so the first byte weighs most.
  struct Record {
    std::uint64_t high, low;
    bool operator<(const Record& other) const {
      return high != other.high ? high < other.high : low < other.low;
    }
  };
  static std::uint64_t swap_byte_order(std::uint64_t value) {
    return __builtin_bswap64(value);
  }
  static Record read(const char* bytes) {
    Record record;
    std::memcpy(&record.high, bytes, 8);
    std::memcpy(&record.low, bytes + 8, 8);
    return {swap_byte_order(record.high), swap_byte_order(record.low)};
  }
  static void write(const Record& record, char* bytes) {
    const std::uint64_t high = swap_byte_order(record.high);
    const std::uint64_t low = swap_byte_order(record.low);
    std::memcpy(bytes, &high, 8);
    std::memcpy(bytes + 8, &low, 8);
  }
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
  Record floor_{};  // of the records kept, once `limit_` are there: a smaller one can't come in
  bool is_full_ = false;
};

}  // namespace saddlewing
