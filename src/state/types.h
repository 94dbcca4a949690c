#pragma once
// Plain types that every layer shares.
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace saddlewing {

// A value with a name of its own: two of different tags never mix.
template <class Tag, class T>
struct Strong {
  T value{};
  auto operator<=>(const Strong&) const = default;
};

using Version = Strong<struct VersionTag, std::int64_t>;      // of a configuration; 0: none
using Term = Strong<struct TermTag, std::uint64_t>;           // of the agreement
using Index = Strong<struct IndexTag, std::uint64_t>;         // of an entry in the agreement
using MemberId = Strong<struct MemberTag, std::uint64_t>;     // of a registry; 0: none
using IncarnationId = Strong<struct LifeTag, std::uint64_t>;  // of one life of a process
using ServiceIndex = Strong<struct ServiceTag, std::uint32_t>;

// Decisions use the steady clock alone; the time of day may jump.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;
using namespace std::chrono_literals;

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
