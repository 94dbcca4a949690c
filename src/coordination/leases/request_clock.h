#pragma once
// Remembers when each request was sent, by its token.
//
// Job: a lease or grant that a reply carries counts from the moment at which the request left, not
// from the arrival of the reply, which may have waited in a buffer for any time. It sends nothing
// and does not match replies to callers.
// Threading: not synchronized; one owner.
// Source: Gray and Cheriton, "Leases" (1989): the holder's time must end before the grantor's.
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "state/types.h"

namespace saddlewing {

// Invariant: at most `max_requests` send times are kept, those of the newest tokens; a reply to an
// older one is worth nothing.
class RequestClock {
 public:
  // `incarnation`: of the sender of the requests; tokens of another incarnation are unknown.
  explicit RequestClock(IncarnationId incarnation = {}) : incarnation_(incarnation) {
  }

  // Notes that a request leaves at `now`; returns its token, counted from 1.
  std::uint64_t record_request(TimePoint now);

  // The token of the newest request; 0 before any.
  std::uint64_t last_token() const {
    return last_token_;
  }

  // When the request of that token left; nothing if it is not known (any more).
  // `requester`: the incarnation that the reply names. A former one at the same address counted its
  // tokens anew, so that its replies must not be taken for ours.
  std::optional<TimePoint> sent_at(IncarnationId requester, std::uint64_t token) const;

 private:
  static constexpr std::size_t max_requests = 128;

  IncarnationId incarnation_;
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, TimePoint> sent_at_;  // by token
};

}  // namespace saddlewing
