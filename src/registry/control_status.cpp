// Answers to operators who ask for the state of the cluster, or for a version's recent steps.
#include "registry/control_loop.h"

namespace saddlewing {

void ControlLoop::send_status(const std::string& routing_id, TimePoint now) {
  ClusterStatus status = raft_.status(now);
  status.node = settings_.node_name;
  frame_server_.send(routing_id, encode(head(), status));
}

void ControlLoop::handle_trace(const std::string& routing_id, TimePoint now) {
  Traced traced;
  traced.node = settings_.node_name;
  traced.role = "registry";
  if (raft_.committed())
    traced.held = raft_.committed()->version;
  traced.is_leader = raft_.is_leader();
  traced.steps = configuration_service_.trace(now);
  traced.registries = raft_.known_addresses();
  traced.registries.push_back(address_);
  traced.brokers = broker_directory_.addresses();
  frame_server_.send(routing_id, encode(head(), traced));
}

}  // namespace saddlewing
