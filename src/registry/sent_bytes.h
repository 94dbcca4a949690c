#pragma once
// What a registry sends to other nodes: bytes by kind and receiver, counted since its start. Any
// thread may record and read; values of different kinds are not consistent with each other.
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/frame.h"

namespace saddlewing {

/** What the bytes carry: a whole frame, or a part of a heartbeat that grows with the cluster. */
enum class SentKind {
  raft,
  endpoints,
  renewals,
  configuration,
  heartbeat,    // without the next two
  leaderships,  // the table of who leads each database
  samples,      // of log positions
  other,
  count  // number of kinds; no kind itself
};

enum class Receiver {
  registry,
  subscriber,  // a broker or a pooler
  count        // number of receivers; no receiver itself
};

/** The kind of an encoded frame. */
SentKind sent_kind_of(const std::string& frame);

/** The counters of this process. */
class SentBytes {
 public:
  void record(SentKind kind, Receiver receiver, std::size_t bytes) {
    bytes_[index_of(kind, receiver)].fetch_add(bytes, std::memory_order_relaxed);
  }
  std::uint64_t get(SentKind kind, Receiver receiver) const {
    return bytes_[index_of(kind, receiver)].load(std::memory_order_relaxed);
  }
  /** All counters in the Prometheus text format. */
  std::string page() const;
  /** Those that are not zero, in one line. */
  std::string text() const;

 private:
  static constexpr std::size_t kinds = static_cast<std::size_t>(SentKind::count);
  static constexpr std::size_t receivers = static_cast<std::size_t>(Receiver::count);
  static constexpr std::size_t index_of(SentKind kind, Receiver receiver) {
    return static_cast<std::size_t>(receiver) * kinds + static_cast<std::size_t>(kind);
  }

  std::array<std::atomic<std::uint64_t>, kinds * receivers> bytes_{};
};

SentBytes& sent_bytes();

}  // namespace saddlewing
