#pragma once
// Whose word counts, at a broker and between registries. Pure.
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "state/types.h"

namespace saddlewing {

// The one rule of terms. Invariant: within one life nobody is obeyed who leads in a lower term than
// one heard of.
class TermFence {
 public:
  // `term`: in which the sender leads or follows a leader; 0: it knows of none. True: it steers.
  bool admits(Term term, bool is_leader) {
    highest_ = std::max(highest_, term);
    return is_leader && term.value != 0 && term == highest_;
  }
  Term highest() const {
    return highest_;
  }

 private:
  Term highest_;
};

// When each asking left, by token. An answer counts from the asking that it names, however long it
// lay in buffers, and one whose asking isn't known any more counts for nothing.
class RequestClock {
 public:
  explicit RequestClock(IncarnationId incarnation = {}) : incarnation_(incarnation) {
  }
  std::uint64_t ask(TimePoint now) {
    asked_[++last_] = now;
    while (asked_.size() > limit)
      asked_.erase(asked_.begin());
    return last_;
  }
  std::uint64_t last() const {
    return last_;
  }
  // `requester`: the life that the answer is for; a former one at this address counted its tokens
  // anew.
  std::optional<TimePoint> find(IncarnationId requester, std::uint64_t token) const {
    const auto found = asked_.find(token);
    if (requester != incarnation_ || found == asked_.end())
      return std::nullopt;
    return found->second;
  }

 private:
  static constexpr std::size_t limit = 128;
  IncarnationId incarnation_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, TimePoint> asked_;
};

// Takes up to `limit` of what came, reading the clock after each: a process that was frozen between
// two of them must not hold a lease, or an answer, for as old as what it took before.
template <class Receive, class ReadClock, class Take>
void take_each(std::size_t limit, Receive&& receive, ReadClock&& read_clock, Take&& take) {
  for (; limit > 0; --limit) {
    auto came = receive();
    if (!came)
      return;
    take(*came, read_clock());
  }
}

}  // namespace saddlewing
