#pragma once
// Plain types that every layer shares: identifiers that never mix, and time. Values, safe from any
// thread.
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace saddlewing {

/** A value of type T with a name of its own: two of different tags never mix. */
template <class Tag, class T>
struct Strong {
  T value{};
  auto operator<=>(const Strong&) const = default;
};

/** Version of a configuration, given by the operator; 0: none. */
using Version = Strong<struct VersionTag, std::int64_t>;
/** Term of the Raft paper. */
using Term = Strong<struct TermTag, std::uint64_t>;
/** Index of an entry in the Raft log. */
using Index = Strong<struct IndexTag, std::uint64_t>;
/** A registry, for as long as its disk lasts; 0: none. */
using MemberId = Strong<struct MemberTag, std::uint64_t>;
/** One run of a process, drawn at its start. */
using IncarnationId = Strong<struct LifeTag, std::uint64_t>;
/** A service's place in a configuration; only for that version. */
using ServiceIndex = Strong<struct ServiceTag, std::uint32_t>;

/** Decisions use the steady clock alone; the time of day may jump. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;
using namespace std::chrono_literals;

/** Whole milliseconds between two points, rounded towards zero. */
inline Duration elapsed(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Duration>(to - from);
}

}  // namespace saddlewing

template <class Tag, class T>
struct std::hash<saddlewing::Strong<Tag, T>> {
  std::size_t operator()(const saddlewing::Strong<Tag, T>& strong) const noexcept {
    return std::hash<T>{}(strong.value);
  }
};
