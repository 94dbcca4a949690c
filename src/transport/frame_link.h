#pragma once
// ZeroMQ between the system's own processes. One hub admits, spokes reach out; frames are whole or
// absent.
#include <optional>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "state/error.h"
#include "state/node_settings.h"
#include "state/types.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

struct ReceivedFrame {
  std::string routing_id;  // whom to answer at the hub; empty at a spoke
  std::string bytes;
};

class LinkContext {
 public:
  LinkContext() : context_(1) {
  }
  zmq::context_t& context() {
    return context_;
  }

 private:
  zmq::context_t context_;
};

// Admits nodes at the inner address.
class FrameServer {
 public:
  Error open(LinkContext& context, const Address& address);
  std::optional<ReceivedFrame> receive();
  bool send(const std::string& routing_id, const std::string& bytes);
  void* handle() {
    return socket_.handle();
  }

 private:
  zmq::socket_t socket_;
};

// Reaches one node. Frames for a node that is not connected are dropped at once, never held.
class FrameClient {
 public:
  FrameClient(LinkContext& context, const Address& address);
  std::optional<ReceivedFrame> receive();
  bool send(const std::string& bytes);
  void* handle() {
    return socket_.handle();
  }
  const Address& address() const {
    return address_;
  }

 private:
  Address address_;
  zmq::socket_t socket_;
};

// Waits until a handle is readable, the waker is woken or the time is over.
void wait_links(const std::vector<void*>& handles, const Waker& waker, Duration limit);

}  // namespace saddlewing
