#include "transport/peer_input.h"

namespace saddlewing {

InputResult PeerInput::receive(TcpConnection& connection, char* buffer, std::size_t size) {
  if (has_ended_)
    return {connection.has_error() ? InputEvent::broken : InputEvent::nothing};
  const Transfer received = connection.receive(buffer, size);
  if (received.is_peer_done) {
    has_ended_ = true;
    return {InputEvent::ended};
  }
  if (received.is_closed)
    return {InputEvent::broken};
  if (!received.count)
    return {InputEvent::nothing};
  return {InputEvent::bytes, received.count};
}

}  // namespace saddlewing
