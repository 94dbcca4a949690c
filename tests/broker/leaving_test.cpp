// A broker that was asked to end answers what it has.
#include "broker/exchange_fixture.h"

using namespace saddlewing;
using namespace saddlewing::tests;

// Only a request whose backend is still at work in the last sixth of the grace may lose its answer,
// however short the grace is.
Test(leaving, an_answer_before_the_last_sixth_of_a_short_grace_reaches_its_client) {
  constexpr Duration grace{1200};
  ExchangeFixture stage(1, 15000, grace);
  stage.plans["slow"] = {Trouble::silence, false, 100000, true};
  const int status = stage.status_when_leaving(request_of("GET", "/free/slow", "slow"), "slow",
                                               grace * 5 / 6 - Duration(100));
  cr_expect(status == 200, "status %d", status);
}
