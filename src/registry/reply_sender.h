#pragma once
// Sends frames back over connections that others opened to this registry.
#include <string>

#include "registry/sent_bytes.h"
#include "transport/frame_link.h"

namespace saddlewing {

class ReplySender {
 public:
  virtual ~ReplySender() = default;
  // Sends the encoded frame `bytes` over the connection `routing_id`, as `ReceivedFrame` names it.
  // Never blocks; false if the connection is gone or takes no more.
  virtual bool send(const std::string& routing_id, const std::string& bytes) = 0;
};

// Replies through a frame server, which must outlive this object.
class FrameServerReplySender final : public ReplySender {
 public:
  explicit FrameServerReplySender(FrameServer& server) : server_(server) {
  }
  bool send(const std::string& routing_id, const std::string& bytes) override {
    if (!server_.send(routing_id, bytes))
      return false;
    sent_bytes().record(sent_kind_of(bytes), Receiver::subscriber, bytes.size());
    return true;
  }

 private:
  FrameServer& server_;
};

}  // namespace saddlewing
