#include "registry/peer_links.h"

#include <utility>

#include "registry/sent_bytes.h"

namespace saddlewing {

PeerLinks::PeerLinks(LinkContext& context, std::string own_address)
    : context_(context), own_address_(std::move(own_address)) {
}

void PeerLinks::connect(const std::string& address) {
  if (address == own_address_ || clients_.contains(address))
    return;
  Address parsed;
  if (parse_address(address, parsed))
    clients_[address] = std::make_unique<FrameClient>(context_, parsed);
}

void PeerLinks::retain(const std::function<bool(const std::string&)>& is_needed) {
  std::erase_if(clients_, [&](const auto& client) { return !is_needed(client.first); });
}

void PeerLinks::append_handles(std::vector<void*>& handles) {
  for (const auto& [address, client] : clients_)
    handles.push_back(client->handle());
}

void PeerLinks::discard_received() {
  for (const auto& [address, client] : clients_)
    while (client->receive()) {
    }
}

void PeerLinks::send_to(const std::string& address, const std::string& bytes) {
  connect(address);
  const auto found = clients_.find(address);
  if (found != clients_.end() && found->second->send(bytes))
    sent_bytes().record(sent_kind_of(bytes), Receiver::registry, bytes.size());
}

}  // namespace saddlewing
