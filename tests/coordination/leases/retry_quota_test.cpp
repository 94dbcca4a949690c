#include <criterion/criterion.h>

#include "coordination/leases/retry_quota.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;
constexpr Duration valid{2000}, window{10000};

}  // namespace

Test(grants, a_new_leader_waits_until_former_grants_are_over) {
  RetryQuotaAllocator grants(56, valid, window);
  cr_expect(grants.grant("a", IncarnationId{1}, 4, start) == 0, "it does not lead");
  grants.lead(true, start);
  cr_expect(grants.grant("a", IncarnationId{1}, 4, start + 21s) == 0);
  cr_expect(grants.grant("a", IncarnationId{1}, 4, start + 23s) == 7);
  grants.lead(false, start + 24s);
  cr_expect(grants.grant("a", IncarnationId{1}, 4, start + 24s) == 0);
}

// Brokers come, restart and vanish at every step; what may be held or was used within a window
// never exceeds the whole.
Test(grants, the_sum_never_exceeds_the_reserve) {
  RetryQuotaAllocator grants(56, valid, window);
  grants.lead(true, start - 60s);
  std::map<std::pair<int, std::uint64_t>, std::pair<double, TimePoint>>
      held;  // amount, last granted
  std::uint64_t noise = 88172645463325252ull;
  const auto draw = [&] {
    return noise ^= noise << 13, noise ^= noise >> 7, noise ^= noise << 17;
  };
  std::uint64_t incarnations[12] = {};
  for (TimePoint now = start; now < start + 200s; now += 400ms) {
    for (int broker = 0; broker < 12; ++broker) {
      if (draw() % 40 == 0)
        ++incarnations[broker];  // a restart
      if (draw() % 3 == 0)
        continue;  // not heard this time
      const double amount = grants.grant(std::to_string(broker),
                                         IncarnationId{incarnations[broker]}, draw() % 12 + 1, now);
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

Test(grants, a_broker_uses_a_grant_only_while_it_is_valid) {
  RetryQuota reserve;
  cr_expect(reserve.part(start) == 0);
  reserve.take(7, valid, start);
  cr_expect(reserve.part(start + 1999ms) == 7 && reserve.part(start + 2000ms) == 0);
}
