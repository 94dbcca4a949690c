#include "control_client/delegation_relay.h"
#include "protocol/control_messages.h"
#include "protocol/frame.h"
#include "state/metrics.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t max_queued_messages = 1024;
constexpr int max_results_per_relay = 256;  // of one broker

}  // namespace

DelegationRelay::DelegationRelay(LinkContext& context, FrameServer& server,
                                 std::function<void()> wake,
                                 std::function<void(DelegationEvent)> notify)
    : context_(context),
      server_(server),
      notify_(std::move(notify)),
      messages_(max_queued_messages, std::move(wake)) {
}

void DelegationRelay::send_queued(const DelegationMessage& message) {
  const bool is_result = message.token == 0;
  if (is_result) {
    server_.send(message.to, message.bytes);
    return;
  }
  std::unique_ptr<FrameClient>& client = clients_[message.to];
  Address address;
  if (!client && parse_address(message.to, address))
    client = std::make_unique<FrameClient>(context_, address);
  if (!client || !client->send(message.bytes))
    notify_(DelegationLost{message.token});
}

void DelegationRelay::receive_results(FrameClient& client) {
  for (int count = 0; count < max_results_per_relay; ++count) {
    const auto frame = client.receive();
    if (!frame)
      return;
    ByteReader reader(frame->bytes);
    FrameHead head;
    DelegationResult event;
    if (decode_head(reader, head) && head.kind == FrameKind::gather_result &&
        decode(reader, event.result))
      notify_(std::move(event));
    else
      metrics().add(Metric::dropped_frames);
  }
}

void DelegationRelay::relay() {
  for (const DelegationMessage& message : messages_.take())
    send_queued(message);
  for (const auto& [address, client] : clients_)
    receive_results(*client);
}

bool DelegationRelay::handle_request(std::string routing_id, ByteReader& reader) {
  DelegationRequested event{std::move(routing_id), {}};
  if (!decode(reader, event.request))
    return false;
  notify_(std::move(event));
  return true;
}

bool DelegationRelay::handle_cancel(std::string routing_id, ByteReader& reader) {
  DelegationCancelled event{std::move(routing_id), {}};
  if (!decode(reader, event.cancel))
    return false;
  notify_(std::move(event));
  return true;
}

void DelegationRelay::retain(const std::vector<BrokerEndpoint>& brokers) {
  std::erase_if(clients_, [&](const auto& item) {
    return std::none_of(brokers.begin(), brokers.end(),
                        [&](const BrokerEndpoint& broker) { return broker.address == item.first; });
  });
}

void DelegationRelay::append_handles(std::vector<void*>& handles) {
  for (const auto& [address, client] : clients_)
    handles.push_back(client->handle());
}

}  // namespace saddlewing
