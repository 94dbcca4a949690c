#include "commands/operator_client.h"

#include "protocol/frame.h"
#include "protocol/ring_messages.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {
namespace {

constexpr Duration ask_again{300};

}  // namespace

bool ask_leader(const std::vector<std::string>& contacts, const RingCall& call, Duration limit,
                RingReply& answer) {
  const TimePoint until = Clock::now() + limit;
  LinkContext context;
  Waker waker;
  std::vector<std::string> positions = contacts;
  for (std::size_t position = 0; Clock::now() < until; ++position) {
    Address address;
    if (!parse_address(positions[position % positions.size()], address))
      continue;
    FrameClient client(context, address);
    const TimePoint give_up = std::min(until, Clock::now() + ask_again * 4);
    bool is_asked = false;
    while (Clock::now() < give_up) {
      if (!is_asked)
        is_asked = client.send(encode({FrameKind::ring_call, {}, {}}, call));
      wait_links({client.handle()}, waker,
                 std::min(is_asked ? ask_again : Duration(20),
                          std::chrono::ceil<Duration>(give_up - Clock::now())));
      const auto frame = client.receive();
      if (!frame)
        continue;
      ByteReader reader(frame->bytes);
      FrameHead head;
      if (!decode_head(reader, head) || head.kind != FrameKind::ring_reply ||
          !decode(reader, answer))
        continue;
      if (answer.is_done || answer.leader.empty())
        return true;
      positions = {answer.leader};
      position = 0;
      break;
    }
  }
  return false;
}

}  // namespace saddlewing
