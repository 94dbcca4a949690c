#include <criterion/criterion.h>

#include "programs/traffic.h"

using namespace saddlewing;

// A broker that has just started may be asked for aid by one that knew its former life. It once
// ended by that.
Test(traffic, aid_asked_before_the_first_view_is_answered_by_failed_parts) {
  Startup startup;
  startup.ip_address = "127.0.0.1";
  startup.inner_port = 7000;
  Traffic traffic(startup, LifeId{1});
  std::vector<AidOut> sent;
  traffic.set_sender([&](AidOut out) {
    sent.push_back(std::move(out));
    return true;
  });
  AidEvent event = AidIn{"route", {}};
  Aid& aid = std::get<AidIn>(event).aid;
  aid.token = 3;
  aid.services = {"s", "t"};
  aid.time_left = 500;
  aid.flush_after = 40;
  traffic.take_aid_event(event, Clock::now());
  cr_assert(sent.size() == 1 && sent[0].to == "route");
  ByteReader reader(sent[0].bytes);
  FrameHead head;
  Aided aided;
  cr_assert(decode_head(reader, head) && decode(reader, aided));
  cr_expect(aided.token == 3 && aided.failed.size() == 2 && !aided.failed[0].may_have_run);
}
