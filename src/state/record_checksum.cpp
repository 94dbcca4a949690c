#include "state/record_checksum.h"

#include <xxhash.h>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t checksum_magic = 0x314c414553575753;  // "SWWSEAL1"
constexpr std::size_t digest_offset = record_checksum_bytes - number_bytes;
constexpr std::size_t magic_offset = digest_offset - number_bytes;

}  // namespace

std::string encode_checksum(const RecordChecksum& checksum) {
  Writer writer;
  writer.number(checksum.format)
      .number(checksum.serial)
      .number(checksum.image_size)
      .number(checksum.image_digest)
      .number(checksum_magic);
  writer.number(XXH3_64bits(writer.bytes().data(), writer.bytes().size()));
  return writer.take();
}

bool has_checksum_magic(const std::string& bytes) {
  if (bytes.size() != record_checksum_bytes)
    return false;
  return ByteReader(std::string_view(bytes).substr(magic_offset)).number() == checksum_magic;
}

bool decode_checksum(const std::string& bytes, RecordChecksum& checksum) {
  ByteReader reader(bytes);
  checksum.format = reader.number();
  checksum.serial = reader.number();
  checksum.image_size = reader.number();
  checksum.image_digest = reader.number();
  reader.number();  // the magic number
  return reader.number() == XXH3_64bits(bytes.data(), digest_offset) && reader.is_complete();
}

}  // namespace saddlewing
