#pragma once
// Numbers and texts as bytes, as they stand in frames and in stored records: eight bytes a number,
// little end first; a text behind its length. What the values mean, their owners know. A writer or
// reader belongs to one thread.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace saddlewing {

/** Bytes that a number takes. */
inline constexpr std::size_t number_bytes = 8;

/** Appends values to a string of bytes. */
class Writer {
 public:
  Writer& number(std::uint64_t value) {
    for (std::size_t position = 0; position < number_bytes; ++position)
      bytes_.push_back(static_cast<char>(value >> (8 * position)));
    return *this;
  }

  Writer& text(std::string_view value) {
    number(value.size());
    bytes_.append(value);
    return *this;
  }

  /** What was written so far; valid until the next call. */
  const std::string& bytes() const {
    return bytes_;
  }

  /** Moves out what was written. */
  std::string take() {
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
};

/**
 * Reads values back in the order in which they were written. It does not own the bytes. Invariant:
 * after the first read beyond the end every read gives 0 or nothing, and `is_good` stays false; so
 * a caller may read a whole message and ask once.
 */
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {
  }

  std::uint64_t number() {
    if (rest_.size() < number_bytes) {
      fail();
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t position = number_bytes; position > 0; --position)
      value = value << 8 | static_cast<unsigned char>(rest_[position - 1]);
    rest_.remove_prefix(number_bytes);
    return value;
  }

  std::string text() {
    const std::uint64_t size = number();
    if (size > rest_.size()) {
      fail();
      return {};
    }
    std::string value(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return value;
  }

  /**
   * Reads how many items follow.
   * @param minimum bytes that each item takes at least; a count that cannot fit is an error, so no
   *     caller allocates for it.
   */
  std::uint64_t count(std::uint64_t minimum) {
    const std::uint64_t value = number();
    if (value > rest_.size() / minimum) {
      fail();
      return 0;
    }
    return value;
  }

  /** Whether every read so far found its bytes. */
  bool is_good() const {
    return is_good_;
  }

  /** Whether every read found its bytes and none are left. */
  bool is_complete() const {
    return is_good_ && rest_.empty();
  }

 private:
  void fail() {
    is_good_ = false;
    rest_ = {};
  }

  std::string_view rest_;
  bool is_good_ = true;
};

}  // namespace saddlewing
