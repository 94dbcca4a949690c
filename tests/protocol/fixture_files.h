#pragma once
// Fixture files: bytes kept under tests/fixtures that fix the formats on the wire and on disk.
// Tests only ever read them.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <functional>
#include <iterator>
#include <random>
#include <set>
#include <string>

namespace saddlewing::tests {

inline constexpr std::size_t random_rounds = 2000;
inline constexpr std::size_t longest_random = 300;

inline std::string fixture_path(const std::string& name) {
  return std::string(SADDLEWING_FIXTURES) + "/" + name;
}

// The bytes of a fixture; a file that is missing fails the test.
inline std::string read_fixture(const std::string& name) {
  std::ifstream file(fixture_path(name), std::ios::binary);
  cr_assert(file.is_open(), "fixture %s is missing", name.c_str());
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// What the code writes now is what the fixture holds, byte by byte.
inline void expect_fixture(const std::string& name, const std::string& written) {
  const std::string kept = read_fixture(name);
  const std::size_t shorter = std::min(kept.size(), written.size());
  const auto differing = std::mismatch(
      kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(shorter), written.begin());
  const auto offset = static_cast<std::size_t>(differing.first - kept.begin());
  cr_expect(kept == written, "%s: %zu bytes kept, %zu written, they differ at byte %zu",
            name.c_str(), kept.size(), written.size(), offset);
}

using Decodes = std::function<bool(const std::string&)>;

// Every proper prefix is refused, but for those lengths at which a shorter message ends whole.
inline void expect_prefixes_refused(const std::string& name, const std::string& bytes,
                                    const Decodes& decodes,
                                    const std::set<std::size_t>& whole_lengths = {}) {
  for (std::size_t length = 0; length < bytes.size(); ++length)
    cr_expect(decodes(bytes.substr(0, length)) == whole_lengths.contains(length),
              "%s cut to %zu bytes", name.c_str(), length);
}

// Random bytes behind `start`, and `bytes` with some of its bytes replaced: decoded or refused,
// without a crash.
inline void decode_random_bytes(const std::string& start, const std::string& bytes,
                                const Decodes& decodes) {
  std::mt19937_64 random(20240517);
  for (std::size_t round = 0; round < random_rounds; ++round) {
    std::string noise = start;
    for (std::size_t left = random() % longest_random; left > 0; --left)
      noise += static_cast<char>(random());
    decodes(noise);
    if (bytes.empty())
      continue;
    std::string damaged = bytes;
    for (std::size_t left = 1 + random() % 3; left > 0; --left)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    decodes(damaged);
  }
}

}  // namespace saddlewing::tests
