#pragma once
// The checksum that closes a slot of the durable store: 48 bytes behind the LMDB image, written
// after it. A slot without a matching one is never opened. Plain values.
#include <cstddef>
#include <cstdint>
#include <string>

namespace saddlewing {

/** Bytes that a checksum takes on disk. */
inline constexpr std::size_t record_checksum_bytes = 48;

/** What a checksum says of the image before it. */
struct RecordChecksum {
  /** Format of the record and of this checksum. */
  std::uint64_t format = 0;
  /** Rises with every save; the slot with the higher one is the newer. */
  std::uint64_t serial = 0;
  /** Bytes of the image. */
  std::uint64_t image_size = 0;
  /** XXH3 of the image. */
  std::uint64_t image_digest = 0;
};

/** The bytes of a checksum: its fields, a magic number, and XXH3 of both. */
std::string encode_checksum(const RecordChecksum& checksum);

/**
 * Whether these bytes were meant as a checksum, though they may be damaged. Invariant of every
 * later format: magic number and digest stay where they are, so that it can be told.
 */
bool has_checksum_magic(const std::string& bytes);

/** False where the bytes are damaged. They must have the magic number. */
bool decode_checksum(const std::string& bytes, RecordChecksum& checksum);

}  // namespace saddlewing
