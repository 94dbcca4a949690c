#include <criterion/criterion.h>

#include "coordination/rollout.h"

using namespace saddlewing;
using Turn = Rollout::Turn;

namespace {

constexpr Moment start = Moment{} + 1000s;

ConfigurationCapture edition(std::int64_t number) {
  auto configuration = std::make_shared<Configuration>();
  configuration->edition = {number};
  return configuration;
}

}  // namespace

Test(rollout, an_edition_waits_until_every_broker_holds_it) {
  Rollout rollout(Span(400));
  rollout.commit(Edition{5}, start);
  cr_expect(rollout.advance({Edition{5}, Edition{4}}, start + 50ms) == Turn::none);
  cr_expect(rollout.in_force() == Edition{0});
  cr_expect(rollout.advance({Edition{5}, Edition{6}}, start + 60ms) == Turn::held_by_all);
  cr_expect(rollout.in_force() == Edition{5});
}

Test(rollout, a_broker_that_lags_is_not_waited_for_without_end) {
  Rollout rollout(Span(400));
  rollout.commit(Edition{5}, start);
  cr_expect(rollout.advance({Edition{4}}, start + 399ms) == Turn::none);
  cr_expect(rollout.advance({Edition{4}}, start + 400ms) == Turn::waited_enough);
}

Test(rollout, an_older_commit_changes_nothing) {
  Rollout rollout(Span(400));
  rollout.commit(Edition{5}, start);
  rollout.advance({}, start);
  rollout.commit(Edition{4}, start + 1s);
  cr_expect(rollout.advance({}, start + 1s) == Turn::none && rollout.in_force() == Edition{5});
}

Test(rollout, a_serving_broker_turns_when_it_is_told_and_never_back) {
  Turnover turnover(Span(800));
  cr_expect(turnover.take(edition(3), start) && turnover.turn(false, start), "the first has nothing to wait for");
  cr_expect(turnover.take(edition(5), start + 1s));
  cr_expect(!turnover.turn(true, start + 1100ms) && turnover.serving()->edition == Edition{3} && turnover.held() == Edition{5});
  turnover.see_in_force(Edition{4});
  cr_expect(!turnover.turn(true, start + 1200ms));
  turnover.see_in_force(Edition{5});
  cr_expect(turnover.turn(true, start + 1300ms) && turnover.serving()->edition == Edition{5});
  cr_expect(!turnover.take(edition(4), start + 1400ms));
}

Test(rollout, a_broker_without_registries_turns_after_a_while) {
  Turnover turnover(Span(800));
  turnover.take(edition(3), start);
  turnover.turn(false, start);
  turnover.take(edition(5), start + 1s);
  turnover.take(edition(6), start + 1700ms);
  cr_expect(!turnover.turn(true, start + 1799ms));
  cr_expect(turnover.turn(true, start + 1800ms) && turnover.serving()->edition == Edition{6}, "newer ones do not renew the wait");
}
