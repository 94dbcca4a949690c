#pragma once
// Explains afterwards why a request failed: counts by reason and route, the last failed requests
// with all their attempts, and one log line each as far as a bound on their rate allows.
//
// It decides nothing. Not thread-safe: it belongs to one broker's event loop. Texts are made only
// when somebody reads them, so that a failure costs little where there are many.
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "broker/attempt_record.h"
#include "coordination/routing/stop_reason.h"
#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

struct FailedRequest {
  std::string try_id;  // empty: not read
  std::string route;   // its name; empty: none matched
  Version version;     // in force for the request; 0: none
  std::string reason;  // why it failed: a word, or the message of an error
  StopReason stop = StopReason::none;
  int status = 0;  // of the response; 0: the connection ended without one
  TimePoint began{};
  TimePoint ended{};
  TimePoint deadline{};
  std::size_t parts = 0;  // 0: it did not get so far
  std::size_t parts_done = 0;
  double retry_reserve = 0;  // retries beyond the ratio, at the end
  std::vector<AttemptRecord> attempts;

  // One line: `try_id=... route=... status=...` and the attempts in brackets.
  std::string text() const;
};

class FailureLog {
 public:
  // Keeps it, counts it, and logs it unless too many lines went out of late.
  void record(FailedRequest failed);

  // The requests kept, the oldest first, a line each.
  std::string page() const;
  // Counters by reason and route, and lines dropped, in the Prometheus text format.
  std::string metrics_page() const;

 private:
  bool may_log(TimePoint now);

  static constexpr std::size_t max_kept = 256;
  static constexpr std::size_t max_counters = 512;  // beyond that one for all others
  static constexpr double lines_per_s = 2;
  static constexpr double max_burst = 10;

  std::deque<FailedRequest> kept_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> counts_;  // by reason and route
  std::uint64_t dropped_lines_ = 0;
  double line_credit_ = max_burst;
  TimePoint credited_at_{};
};

}  // namespace saddlewing
