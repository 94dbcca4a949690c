#include <criterion/criterion.h>

#include "coordination/rollout/version_rollout.h"

using namespace saddlewing;
using Turn = VersionRollout::Turn;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

ConfigurationSnapshot version(std::int64_t number) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = {number};
  return configuration;
}

}  // namespace

Test(rollout, an_version_waits_until_every_broker_holds_it) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  cr_expect(rollout.advance({Version{5}, Version{4}}, start + 50ms) == Turn::none);
  cr_expect(rollout.in_force() == Version{0});
  cr_expect(rollout.advance({Version{5}, Version{6}}, start + 60ms) == Turn::held_by_all);
  cr_expect(rollout.in_force() == Version{5});
}

Test(rollout, a_broker_that_lags_is_not_waited_for_without_end) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  cr_expect(rollout.advance({Version{4}}, start + 399ms) == Turn::none);
  cr_expect(rollout.advance({Version{4}}, start + 400ms) == Turn::waited_enough);
}

Test(rollout, an_older_commit_changes_nothing) {
  VersionRollout rollout(Duration(400));
  rollout.commit(Version{5}, start);
  rollout.advance({}, start);
  rollout.commit(Version{4}, start + 1s);
  cr_expect(rollout.advance({}, start + 1s) == Turn::none && rollout.in_force() == Version{5});
}

Test(rollout, a_serving_broker_turns_when_it_is_told_and_never_back) {
  VersionSwitch version_switch(Duration(800));
  cr_expect(version_switch.take(version(3), start) && version_switch.turn(false, start),
            "the first has nothing to wait for");
  cr_expect(version_switch.take(version(5), start + 1s));
  cr_expect(!version_switch.turn(true, start + 1100ms) &&
            version_switch.serving()->version == Version{3} && version_switch.held() == Version{5});
  version_switch.see_in_force(Version{4});
  cr_expect(!version_switch.turn(true, start + 1200ms));
  version_switch.see_in_force(Version{5});
  cr_expect(version_switch.turn(true, start + 1300ms) &&
            version_switch.serving()->version == Version{5});
  cr_expect(!version_switch.take(version(4), start + 1400ms));
}

Test(rollout, a_broker_without_registries_turns_after_a_while) {
  VersionSwitch version_switch(Duration(800));
  version_switch.take(version(3), start);
  version_switch.turn(false, start);
  version_switch.take(version(5), start + 1s);
  version_switch.take(version(6), start + 1700ms);
  cr_expect(!version_switch.turn(true, start + 1799ms));
  cr_expect(
      version_switch.turn(true, start + 1800ms) && version_switch.serving()->version == Version{6},
      "newer ones do not renew the wait");
}
