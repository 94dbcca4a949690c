#pragma once
// The greatest records across the parts of a gathered outcome, kept as they come.
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace saddlewing {

class BestRecords {
 public:
  static constexpr std::size_t record_size = 16;
  explicit BestRecords(std::size_t limit) : max_(limit) {
  }

  void add(std::string_view body) {
    for (std::size_t at = 0; at + record_size <= body.size(); at += record_size) {
      const Record record = read(body.data() + at);
      if (is_full_ && !(floor_ < record))
        continue;
      kept_.push_back(record);
      if (kept_.size() >= max_ * 2 + 64)
        cut();
    }
  }
  std::string take() {
    cut();
    std::sort(kept_.begin(), kept_.end(),
              [](const Record& left, const Record& right) { return right < left; });
    std::string bytes(kept_.size() * record_size, '\0');
    for (std::size_t at = 0; at < kept_.size(); ++at)
      write(kept_[at], bytes.data() + at * record_size);
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
  static std::uint64_t swap(std::uint64_t value) {
    return __builtin_bswap64(value);
  }
  static Record read(const char* bytes) {
    Record record;
    std::memcpy(&record.high, bytes, 8);
    std::memcpy(&record.low, bytes + 8, 8);
    return {swap(record.high), swap(record.low)};
  }
  static void write(const Record& record, char* bytes) {
    const std::uint64_t high = swap(record.high);
    const std::uint64_t low = swap(record.low);
    std::memcpy(bytes, &high, 8);
    std::memcpy(bytes + 8, &low, 8);
  }
  void cut() {
    if (kept_.size() < max_)
      return;
    std::nth_element(kept_.begin(), kept_.begin() + static_cast<std::ptrdiff_t>(max_ - 1),
                     kept_.end(),
                     [](const Record& left, const Record& right) { return right < left; });
    kept_.resize(max_);
    floor_ = kept_.back();
    is_full_ = true;
  }

  std::size_t max_;
  std::vector<Record> kept_;
  Record floor_{};  // of the records kept, once `max_` are there: a smaller one can't come in
  bool is_full_ = false;
};

}  // namespace saddlewing
