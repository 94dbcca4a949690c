#include "programs/operator_call.h"

#include "state/startup.h"
#include "transport/link.h"

namespace saddlewing {
namespace {

constexpr Span ask_again{300};

}  // namespace

bool ask_leader(const std::vector<std::string>& contacts, const RingCall& call, Span most,
                RingAnswer& answer) {
  const Moment until = Clock::now() + most;
  LinkContext context;
  Waker waker;
  std::vector<std::string> places = contacts;
  for (std::size_t place = 0; Clock::now() < until; ++place) {
    Address address;
    if (!parse_address(places[place % places.size()], address))
      continue;
    Spoke spoke(context, address);
    const Moment give_up = std::min(until, Clock::now() + ask_again * 4);
    bool is_asked = false;
    while (Clock::now() < give_up) {
      if (!is_asked)
        is_asked = spoke.send(encode({FrameKind::ring_call, {}, {}}, call));
      wait_links({spoke.handle()}, waker,
                 std::min(is_asked ? ask_again : Span(20),
                          std::chrono::ceil<Span>(give_up - Clock::now())));
      const auto parcel = spoke.receive();
      if (!parcel)
        continue;
      ByteReader reader(parcel->bytes);
      FrameHead head;
      if (!decode_head(reader, head) || head.kind != FrameKind::ring_answer ||
          !decode(reader, answer))
        continue;
      if (answer.is_done || answer.leader.empty())
        return true;
      places = {answer.leader};
      place = 0;
      break;
    }
  }
  return false;
}

}  // namespace saddlewing
