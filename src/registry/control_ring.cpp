// Operators' calls, by the frame protocol.
#include <utility>

#include "registry/control_loop.h"

namespace saddlewing {

RingAnswer ControlLoop::answer_operator(const RingCall& call, TimePoint now) {
  const auto refuse = [](const std::string& reason) {
    return RingAnswer{false, {}, reason, {}};
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

bool ControlLoop::dispatch(DispatchedCommand command) {
  return dispatcher_->order(std::move(command));
}

void ControlLoop::reply_to_operator(OperatorReply reply) {
  operator_api_->tell(std::move(reply));
}

void ControlLoop::order_monitor(WatchOrderSnapshot order) {
  backend_monitor_->order(std::move(order));
}

}  // namespace saddlewing
