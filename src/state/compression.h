#pragma once
// Compression of texts for narrow links, by zlib's deflate. Safe from any thread.
#include <cstddef>
#include <string>

namespace saddlewing {

/** Compresses a text, at zlib's default level. */
std::string pack(const std::string& text);

/**
 * Expands what `pack` made.
 * @param limit bytes that the text may have; what is larger is refused before it fills the memory.
 * @param text is unspecified where false is returned.
 * @return false: damaged, or larger than `limit`.
 */
bool unpack(const std::string& packed, std::size_t limit, std::string& text);

}  // namespace saddlewing
