// Samples of log positions as they travel between poolers.
#include "coordination/databases/log_position_samples.h"

#include <criterion/criterion.h>

using namespace saddlewing;

Test(log_position_samples, a_position_is_never_taken_for_newer_than_it_is) {
  LogPositionSamples own, other;
  const TimePoint start = TimePoint{} + 1000s;
  own.record("db", 3, {1, 40}, start);
  const std::string encoded = own.encode(start + 300ms, Duration(1000));
  cr_assert(other.merge(encoded, start + 250ms));  // the request left before the ages were counted
  cr_expect(!other.find("db", 3, start).is_known(), "it may be older than the time asked for");
  cr_expect(other.find("db", 3, start - 60ms) == LogPosition({1, 40}));
  cr_expect(!other.find("db", 4, start - 60ms).is_known(), "of another leadership");
  cr_expect(!other.merge(encoded.substr(0, encoded.size() - 3), start));
}
