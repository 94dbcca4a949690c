#pragma once
// ZeroMQ between the system's own processes. One hub admits, spokes reach out; frames are whole or
// absent.
#include <optional>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "state/error.h"
#include "state/startup.h"
#include "state/types.h"
#include "transport/ring.h"

namespace saddlewing {

struct Parcel {
  std::string route;  // whom to answer at the hub; empty at a spoke
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
class Hub {
 public:
  Fault open(LinkContext& context, const Address& address);
  std::optional<Parcel> receive();
  bool send(const std::string& route, const std::string& bytes);
  void* handle() {
    return socket_.handle();
  }

 private:
  zmq::socket_t socket_;
};

// Reaches one node. Frames for a node that is not connected are dropped at once, never held.
class Spoke {
 public:
  Spoke(LinkContext& context, const Address& address);
  std::optional<Parcel> receive();
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
void wait_links(const std::vector<void*>& handles, const Waker& waker, Span most);

}  // namespace saddlewing
