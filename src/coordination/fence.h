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
class Fence {
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
class Askings {
 public:
  explicit Askings(LifeId life = {}) : life_(life) {
  }
  std::uint64_t ask(Moment now) {
    asked_[++last_] = now;
    while (asked_.size() > most)
      asked_.erase(asked_.begin());
    return last_;
  }
  std::uint64_t last() const {
    return last_;
  }
  // `asker`: the life that the answer is for; a former one at this address counted its tokens anew.
  std::optional<Moment> find(LifeId asker, std::uint64_t token) const {
    const auto found = asked_.find(token);
    if (asker != life_ || found == asked_.end())
      return std::nullopt;
    return found->second;
  }

 private:
  static constexpr std::size_t most = 128;
  LifeId life_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, Moment> asked_;
};

// Takes up to `most` of what came, reading the clock after each: a process that was frozen between
// two of them must not hold a lease, or an answer, for as old as what it took before.
template <class Receive, class ReadClock, class Take>
void take_each(std::size_t most, Receive&& receive, ReadClock&& read_clock, Take&& take) {
  for (; most > 0; --most) {
    auto came = receive();
    if (!came)
      return;
    take(*came, read_clock());
  }
}

}  // namespace saddlewing
