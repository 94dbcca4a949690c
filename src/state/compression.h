#pragma once
// Texts packed for narrow links, by the library's deflate.
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <sstream>
#include <string>

namespace saddlewing {

inline std::string pack(const std::string& text) {
  std::ostringstream packed;
  Poco::DeflatingOutputStream stream(packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, 6);
  stream.write(text.data(), static_cast<std::streamsize>(text.size()));
  stream.close();
  return packed.str();
}

// False: damaged, or larger than `limit`.
inline bool unpack(const std::string& packed, std::size_t limit, std::string& text) {
  std::istringstream source(packed);
  text.clear();
  try {
    Poco::InflatingInputStream stream(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
    char bytes[16384];
    while (stream.read(bytes, sizeof bytes) || stream.gcount() > 0) {
      text.append(bytes, static_cast<std::size_t>(stream.gcount()));
      if (text.size() > limit)
        return false;
    }
    return stream.eof() && !stream.bad();
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace saddlewing
