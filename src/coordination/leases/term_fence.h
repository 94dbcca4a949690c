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
    highest_term_ = std::max(highest_term_, term);
    return is_leader && term.value != 0 && term == highest_term_;
  }
  Term highest_term() const {
    return highest_term_;
  }

 private:
  Term highest_term_;
};

// When each asking left, by token. An answer counts from the asking that it names, however long it
// lay in buffers, and one whose asking isn't known any more counts for nothing.
class RequestClock {
 public:
  explicit RequestClock(IncarnationId incarnation = {}) : incarnation_(incarnation) {
  }
  std::uint64_t record_request(TimePoint now) {
    sent_at_[++last_token_] = now;
    while (sent_at_.size() > max_requests)
      sent_at_.erase(sent_at_.begin());
    return last_token_;
  }
  std::uint64_t last_token() const {
    return last_token_;
  }
  // `requester`: the life that the answer is for; a former one at this address counted its tokens
  // anew.
  std::optional<TimePoint> sent_at(IncarnationId requester, std::uint64_t token) const {
    const auto found = sent_at_.find(token);
    if (requester != incarnation_ || found == sent_at_.end())
      return std::nullopt;
    return found->second;
  }

 private:
  static constexpr std::size_t max_requests = 128;
  IncarnationId incarnation_;
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, TimePoint> sent_at_;
};

// Takes up to `limit` of what came, reading the clock after each: a process that was frozen between
// two of them must not hold a lease, or an answer, for as old as what it took before.
template <class Receive, class ReadClock, class Handle>
void handle_each(std::size_t limit, Receive&& receive, ReadClock&& read_clock, Handle&& handle) {
  for (; limit > 0; --limit) {
    auto received = receive();
    if (!received)
      return;
    handle(*received, read_clock());
  }
}

}  // namespace saddlewing
