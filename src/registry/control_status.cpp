// The agree thread's answer to an operator who asks how the core is.
#include "registry/control_loop.h"

namespace saddlewing {

void ControlLoop::send_status(const std::string& routing_id, TimePoint now) {
  ClusterStatus status = raft_.status(now);
  status.node = settings_.node_name;
  frame_server_.send(routing_id, encode(head(), status));
}

}  // namespace saddlewing
