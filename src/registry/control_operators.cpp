// Calls of operators' tools: ring and edges, state of the cluster, recent steps of versions.
#include "protocol/cluster_status.h"
#include "protocol/ring_messages.h"
#include "protocol/trace_messages.h"
#include "registry/control_loop.h"

namespace saddlewing {

RingReply ControlLoop::answer_operator(const RingCall& call, TimePoint now) {
  const auto refuse = [](const std::string& reason) {
    return RingReply{false, {}, reason, {}};
  };
  if (!raft_.is_leader())
    return {false, raft_.leader_address(), "another registry leads", {}};
  if (!raft_.is_leased(now))
    return refuse("no majority of the core answers");
  if (call.verb != "edges")
    return ring_service_.answer(call, now);
  if (!settings_.has_edges)
    return refuse("the view of edges is off (options.edges)");
  return {true, {}, {}, edge_latency_service_.report(now)};
}

void ControlLoop::handle_ring_call(const std::string& routing_id, const RingCall& call,
                                   TimePoint now) {
  frame_server_.send(routing_id, encode(head(), answer_operator(call, now)));
}

void ControlLoop::send_status(const std::string& routing_id, TimePoint now) {
  ClusterStatus status = raft_.status(now);
  status.node = settings_.node_name;
  frame_server_.send(routing_id, encode(head(), status));
}

void ControlLoop::handle_trace(const std::string& routing_id, TimePoint now) {
  TraceReply traced;
  traced.node = settings_.node_name;
  traced.role = "registry";
  if (raft_.committed())
    traced.version = raft_.committed()->version;
  traced.is_leader = raft_.is_leader();
  traced.events = configuration_service_.trace(now);
  traced.registries = raft_.known_addresses();
  traced.registries.push_back(address_);
  traced.brokers = broker_directory_.addresses();
  frame_server_.send(routing_id, encode(head(), traced));
}

}  // namespace saddlewing
