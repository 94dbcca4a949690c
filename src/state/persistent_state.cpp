#include "state/persistent_state.h"

#include <xxhash.h>

#include <boost/crc.hpp>
#include <memory>
#include <utility>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t crc_format = 1;  // the only one whose checksum is a CRC-32

std::uint64_t digest_of(std::uint64_t format, std::string_view bytes) {
  if (format != crc_format)
    return XXH3_64bits(bytes.data(), bytes.size());
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

/** A later format may have either checksum. */
DecodeStatus check_later_format(std::string_view body, std::uint64_t digest) {
  const bool is_intact =
      digest == digest_of(record_format, body) || digest == digest_of(crc_format, body);
  return is_intact ? DecodeStatus::unknown_format : DecodeStatus::damaged;
}

}  // namespace

std::string encode_persistent_state(const PersistentState& persistent) {
  Writer writer;
  writer.number(record_format)
      .number(persistent.self.value)
      .number(persistent.current_term.value)
      .number(persistent.voted_for.value);
  write_entry(writer, *persistent.entry);
  writer.number(digest_of(record_format, writer.bytes()));
  return writer.take();
}

DecodeStatus decode_persistent_state(std::string_view bytes, PersistentState& persistent) {
  if (bytes.size() < 2 * number_bytes)
    return DecodeStatus::damaged;
  const std::string_view body = bytes.substr(0, bytes.size() - number_bytes);
  const std::uint64_t digest = ByteReader(bytes.substr(body.size())).number();
  const std::uint64_t format = ByteReader(body).number();
  if (format > record_format)
    return check_later_format(body, digest);
  if (format < crc_format || digest != digest_of(format, body))
    return DecodeStatus::damaged;
  ByteReader reader(body.substr(number_bytes));
  PersistentState decoded;
  decoded.self.value = reader.number();
  decoded.current_term.value = reader.number();
  decoded.voted_for.value = reader.number();
  auto entry = std::make_shared<Entry>();
  read_entry(reader, *entry);
  decoded.entry = std::move(entry);
  if (!reader.is_complete())
    return DecodeStatus::damaged;
  persistent = std::move(decoded);
  return DecodeStatus::decoded;
}

}  // namespace saddlewing
