#pragma once
// The hash by which keys and virtual nodes stand on the ring. It must never change: stored rings
// and the brokers of other versions go by it.
#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace saddlewing {

/** XXH64 of a text. */
inline std::uint64_t ring_digest(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace saddlewing
