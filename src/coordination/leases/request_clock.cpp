#include "coordination/leases/request_clock.h"

namespace saddlewing {

std::uint64_t RequestClock::record_request(TimePoint now) {
  ++last_token_;
  sent_at_[last_token_] = now;
  while (sent_at_.size() > max_requests)
    sent_at_.erase(sent_at_.begin());
  return last_token_;
}

std::optional<TimePoint> RequestClock::sent_at(IncarnationId requester, std::uint64_t token) const {
  const auto found = sent_at_.find(token);
  if (requester != incarnation_ || found == sent_at_.end())
    return std::nullopt;
  return found->second;
}

}  // namespace saddlewing
