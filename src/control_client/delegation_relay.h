#pragma once
// Carries delegated gathers between this broker and brokers of other regions.
//
// Job: one connection to each broker that was delegated to; frames out from the traffic thread,
// requests and results back to it. It neither chooses brokers nor repeats a lost frame.
// Threading: send() from any thread; all else by the client's thread.
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_client/control_updates.h"
#include "protocol/control_messages.h"
#include "transport/bounded_queue.h"
#include "transport/frame_link.h"

namespace saddlewing {

class DelegationRelay {
 public:
  // `context` and `server` must outlive it. `wake`: wakes the client's thread. `notify`: hands an
  // event to the traffic thread.
  DelegationRelay(LinkContext& context, FrameServer& server, std::function<void()> wake,
                  std::function<void(DelegationEvent)> notify);

  // Queues a frame; false: the queue is full, the frame is lost.
  bool send(DelegationMessage message) {
    return messages_.push(std::move(message));
  }

  // Sends what is queued and receives results. A connection set up just now drops its first frame,
  // which is then lost.
  void relay();

  // Handles a request of another broker, that arrived at the server.
  // `reader`: behind the frame's head. False: it does not decode.
  bool handle_request(std::string routing_id, ByteReader& reader);

  // Handles the cancel of a request that came over this connection.
  // `reader`: behind the frame's head. False: it does not decode.
  bool handle_cancel(std::string routing_id, ByteReader& reader);

  // Closes the connections to all other brokers than these.
  void retain(const std::vector<BrokerEndpoint>& brokers);

  // Adds what is to be polled.
  void append_handles(std::vector<void*>& handles);

 private:
  void send_queued(const DelegationMessage& message);
  void receive_results(FrameClient& client);

  LinkContext& context_;
  FrameServer& server_;
  std::function<void(DelegationEvent)> notify_;
  BoundedQueue<DelegationMessage> messages_;
  std::map<std::string, std::unique_ptr<FrameClient>> clients_;  // by inner address
};

}  // namespace saddlewing
