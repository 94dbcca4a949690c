#include <criterion/criterion.h>

#include "coordination/leases/retry_quota.h"
#include "coordination/leases/retry_quota_allocator.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration valid{2000};  // of a grant
constexpr Duration window{10000};

}  // namespace

Test(retry_quota, a_new_leader_grants_nothing_until_former_grants_have_expired) {
  RetryQuotaAllocator allocator(56, valid, window);
  cr_expect(allocator.grant("a", IncarnationId{1}, 4, start) == 0, "it does not lead");
  allocator.set_leading(true, start);
  cr_expect(allocator.grant("a", IncarnationId{1}, 4, start + 21s) == 0);
  cr_expect(allocator.grant("a", IncarnationId{1}, 4, start + 23s) == 7);
  allocator.set_leading(false, start + 24s);
  cr_expect(allocator.grant("a", IncarnationId{1}, 4, start + 24s) == 0);
}

// Brokers join, restart and vanish at every step; what they may use, or may have used within a
// window, never exceeds the total.
Test(retry_quota, outstanding_grants_never_exceed_the_quota) {
  RetryQuotaAllocator allocator(56, valid, window);
  allocator.set_leading(true, start - 60s);
  std::map<std::pair<int, std::uint64_t>, std::pair<double, TimePoint>>
      held;                                           // amount, last granted
  std::uint64_t random_state = 88172645463325252ull;  // xorshift
  const auto next_random = [&] {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
  };
  std::uint64_t incarnations[12] = {};
  for (TimePoint now = start; now < start + 200s; now += 400ms) {
    for (int broker = 0; broker < 12; ++broker) {
      if (next_random() % 40 == 0)
        ++incarnations[broker];  // a restart
      if (next_random() % 3 == 0)
        continue;  // not heard this time
      const double amount = allocator.grant(
          std::to_string(broker), IncarnationId{incarnations[broker]}, next_random() % 12 + 1, now);
      if (amount > 0)
        held[{broker, incarnations[broker]}] = {amount, now};
    }
    double sum = 0;
    for (const auto& [who, grant] : held)
      if (now <= grant.second + valid + window)
        sum += grant.first;
    cr_assert(sum <= 56 + 1e-6);
  }
  cr_expect(!held.empty());
}

Test(retry_quota, a_grant_expires_after_its_duration) {
  RetryQuota quota;
  cr_expect(quota.available(start) == 0);
  quota.update(7, valid, start);
  cr_expect(quota.available(start + 1999ms) == 7 && quota.available(start + 2000ms) == 0);
}
