#include <criterion/criterion.h>

#include "broker/broker_loop.h"
#include "protocol/frame.h"
#include "protocol/gather_messages.h"

using namespace saddlewing;

// A broker that has just started may be asked for aid by one that knew its former life. It once
// ended by that.
Test(traffic, aid_asked_before_the_first_view_is_answered_by_failed_parts) {
  NodeSettings settings;
  settings.ip_address = "127.0.0.1";
  settings.inner_port = 7000;
  BrokerLoop traffic(settings, IncarnationId{1});
  std::vector<DelegationMessage> sent;
  traffic.set_sender([&](DelegationMessage out) {
    sent.push_back(std::move(out));
    return true;
  });
  DelegationEvent event = DelegationRequested{"route", {}};
  GatherRequest& aid = std::get<DelegationRequested>(event).request;
  aid.token = 3;
  aid.services = {"s", "t"};
  aid.time_left = 500;
  aid.flush_after = 40;
  traffic.handle_delegation_event(event, Clock::now());
  cr_assert(sent.size() == 1 && sent[0].to == "route");
  ByteReader reader(sent[0].bytes);
  FrameHead head;
  GatherResult aided;
  cr_assert(decode_head(reader, head) && decode(reader, aided));
  cr_expect(aided.token == 3 && aided.failed.size() == 2 && !aided.failed[0].may_have_run);
}
