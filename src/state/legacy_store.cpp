#include "state/legacy_store.h"

#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

/** The head of a node in an LMDB page, right before its key. */
struct NodeHead {
  std::uint16_t size_low, size_high, flags, key_size;
};
constexpr std::uint16_t overflow_flag = 1;       // the record begins another page
constexpr std::size_t overflow_head_bytes = 16;  // of that page, before the record

/** The record of the node whose key stands at `position`; empty where there is none. */
std::string_view record_at(std::string_view bytes, std::size_t position, std::size_t key_size) {
  NodeHead head{};
  std::memcpy(&head, bytes.data() + position - sizeof head, sizeof head);
  if (head.key_size != key_size)
    return {};
  const std::size_t size = head.size_low | static_cast<std::size_t>(head.size_high) << 16;
  std::size_t begin = position + key_size;
  if (head.flags & overflow_flag) {
    std::uint64_t page = 0;
    if (bytes.size() - begin < sizeof page)
      return {};
    std::memcpy(&page, bytes.data() + begin, sizeof page);
    begin = page * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) + overflow_head_bytes;
  }
  return begin > bytes.size() ? std::string_view() : bytes.substr(begin, size);
}

/**
 * LMDB trusts its pages, so it may not open a file without a checksum: the one record is found by
 * its key and believed by its own checksum.
 */
DecodeStatus find_record(std::string_view bytes, PersistentState& persistent) {
  const std::string_view key(record_key, sizeof record_key);
  DecodeStatus best = DecodeStatus::damaged;
  for (std::size_t position = bytes.find(key, sizeof(NodeHead)); position != std::string_view::npos;
       position = bytes.find(key, position + 1)) {
    const DecodeStatus status =
        decode_persistent_state(record_at(bytes, position, key.size()), persistent);
    if (status == DecodeStatus::decoded)
      return status;
    if (status == DecodeStatus::unknown_format)
      best = status;
  }
  return best;
}

LoadResult load_file(const FileSystem& file_system, const std::string& path) {
  std::string bytes;
  const int code = file_system.read(path, bytes);
  if (code == ENOENT)
    return {};
  if (code)
    return {LoadStatus::unreadable, {}, disk_error("read of " + path, code)};
  LoadResult result;
  switch (find_record(bytes, result.persistent)) {
    case DecodeStatus::decoded:
      result.status = LoadStatus::loaded;
      break;
    case DecodeStatus::damaged:
      result.status = LoadStatus::damaged;
      result.error = make_error(ErrorCode::damaged, "checksum", path);
      break;
    case DecodeStatus::unknown_format:
      result.status = LoadStatus::unknown_format;
      result.error = make_error(ErrorCode::invalid, "format", path);
      break;
  }
  return result;
}

/** Later saves of one member never go back in this. */
auto recency_of(const PersistentState& persistent) {
  return std::tuple(persistent.current_term, persistent.entry->term, persistent.entry->index,
                    persistent.voted_for.value != 0);
}

/** Whether the record of fresh.mdb replaces that of state.mdb. */
bool is_replaced(const LoadResult& state, const LoadResult& fresh) {
  if (state.status == LoadStatus::empty)
    return true;
  // A torn fresh.mdb was never acknowledged; state.mdb was synced whole before it got its name.
  if (state.status == LoadStatus::damaged || fresh.status != LoadStatus::loaded)
    return false;
  return recency_of(fresh.persistent) > recency_of(state.persistent);
}

bool must_not_be_touched(const LoadResult& result) {
  return result.status == LoadStatus::unknown_format || result.status == LoadStatus::unreadable;
}

}  // namespace

LoadResult load_legacy_record(const FileSystem& file_system, const std::string& folder) {
  LoadResult best;
  for (const char* name : legacy_file_names) {
    LoadResult result = load_file(file_system, folder + name);
    if (must_not_be_touched(result))
      return result;
    if (is_replaced(best, result))
      best = std::move(result);
  }
  return best;
}

}  // namespace saddlewing
