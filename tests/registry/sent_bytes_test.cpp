#include "registry/sent_bytes.h"

#include <criterion/criterion.h>

#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"

using namespace saddlewing;

Test(sent_bytes, a_frame_is_counted_by_its_kind_and_receiver) {
  const FrameHead head{FrameKind::raft, IncarnationId{7}, "127.0.0.1:1"};
  cr_expect(sent_kind_of(encode(head, RenewedIds{})) == SentKind::renewals);
  cr_expect(sent_kind_of(encode(head, ControlHeartbeat{})) == SentKind::heartbeat);
  cr_expect(sent_kind_of("no frame") == SentKind::other);
  SentBytes counters;
  counters.record(SentKind::samples, Receiver::subscriber, 300);
  counters.record(SentKind::samples, Receiver::subscriber, 20);
  cr_expect(counters.get(SentKind::samples, Receiver::subscriber) == 320);
  cr_expect(counters.text() == " samples/subscriber=320");
  cr_expect(counters.page().find("{kind=\"samples\",receiver=\"subscriber\"} 320\n") !=
            std::string::npos);
}
