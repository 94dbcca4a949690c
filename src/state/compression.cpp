#include "state/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>

#include <exception>
#include <sstream>

namespace saddlewing {
namespace {

// Part of what is sent, though not of the format: a receiver expands any level.
constexpr int level = 6;
constexpr std::size_t chunk_bytes = 16384;

}  // namespace

std::string pack(const std::string& text) {
  std::ostringstream packed;
  Poco::DeflatingOutputStream stream(packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, level);
  stream.write(text.data(), static_cast<std::streamsize>(text.size()));
  stream.close();
  return packed.str();
}

bool unpack(const std::string& packed, std::size_t limit, std::string& text) {
  std::istringstream source(packed);
  text.clear();
  try {
    Poco::InflatingInputStream stream(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
    char chunk[chunk_bytes];
    while (stream.read(chunk, sizeof chunk) || stream.gcount() > 0) {
      text.append(chunk, static_cast<std::size_t>(stream.gcount()));
      if (text.size() > limit)
        return false;
    }
    return stream.eof() && !stream.bad();
  } catch (const std::exception&) {  // the library throws on damaged bytes
    return false;
  }
}

}  // namespace saddlewing
