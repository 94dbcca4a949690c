#include <criterion/criterion.h>

#include "coordination/rollout/version_rollout.h"
#include "coordination/rollout/version_switch.h"

using namespace saddlewing;
using Activation = VersionRollout::Activation;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

ConfigurationSnapshot version(std::int64_t number) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = {number};
  return configuration;
}

}  // namespace

Test(version_rollout, a_version_waits_until_every_broker_holds_it) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  cr_expect(rollout.advance({Version{5}, Version{4}}, start + 50ms) == Activation::none);
  cr_expect(rollout.in_force() == Version{0});
  cr_expect(rollout.advance({Version{5}, Version{6}}, start + 60ms) ==
            Activation::acknowledged_by_all);
  cr_expect(rollout.in_force() == Version{5});
}

Test(version_rollout, a_lagging_broker_is_waited_for_at_most_max_wait) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  cr_expect(rollout.advance({Version{4}}, start + 399ms) == Activation::none);
  cr_expect(rollout.advance({Version{4}}, start + 400ms) == Activation::timed_out);
}

Test(version_rollout, a_commit_of_an_older_version_is_ignored) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  rollout.advance({}, start);
  rollout.commit(Version{4}, start + 1s);
  cr_expect(rollout.advance({}, start + 1s) == Activation::none &&
            rollout.in_force() == Version{5});
}

Test(version_rollout, a_serving_broker_switches_when_told_and_never_goes_back) {
  VersionSwitch version_switch(Duration(800));
  cr_expect(version_switch.prepare(version(3), start) && version_switch.activate(false, start),
            "the first has nothing to wait for");
  cr_expect(version_switch.prepare(version(5), start + 1s));
  cr_expect(!version_switch.activate(true, start + 1100ms) &&
            version_switch.serving()->version == Version{3} &&
            version_switch.version_held() == Version{5});
  version_switch.observe_in_force(Version{4});
  cr_expect(!version_switch.activate(true, start + 1200ms));
  version_switch.observe_in_force(Version{5});
  cr_expect(version_switch.activate(true, start + 1300ms) &&
            version_switch.serving()->version == Version{5});
  cr_expect(!version_switch.prepare(version(4), start + 1400ms));
}

Test(version_rollout, a_broker_without_registries_switches_after_the_max_wait) {
  VersionSwitch version_switch(Duration(800));
  version_switch.prepare(version(3), start);
  version_switch.activate(false, start);
  version_switch.prepare(version(5), start + 1s);
  version_switch.prepare(version(6), start + 1700ms);
  cr_expect(!version_switch.activate(true, start + 1799ms));
  cr_expect(version_switch.activate(true, start + 1800ms) &&
                version_switch.serving()->version == Version{6},
            "newer ones do not renew the wait");
}
