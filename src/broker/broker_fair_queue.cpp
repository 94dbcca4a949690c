// The traffic thread's bulkheads: what is heavy, and who waits for its turn.
#include <vector>

#include "broker/broker_loop.h"

namespace saddlewing {
namespace {

constexpr Duration turn_step{5};

}  // namespace

PickConstraints BrokerLoop::pick_constraints(const ProxiedRequest& proxied_request,
                                             const std::string& service, TimePoint now) {
  PickConstraints wish;
  wish.may_probe = proxied_request.route().is_harmless &&
                   now - proxied_request.began() < proxied_request.route().target / 4;
  if (!classes_.is_on())
    return wish;
  wish.is_heavy = classes_.is_heavy(service, proxied_request.route().name, now);
  if (const auto context = contexts_.find(&proxied_request); context != contexts_.end())
    context->second->is_heavy = wish.is_heavy;
  if (!wish.is_heavy)
    return wish;
  wish.short_request_time = classes_.short_request_time(service, now);
  wish.time_queued = elapsed(proxied_request.began(), now);
  return wish;
}

void BrokerLoop::record_work(const RequestContext& context, const Backend& backend, Duration took,
                             std::size_t bytes, TimePoint now) {
  if (classes_.is_on() && context.proxied_request)
    classes_.record(backend.service, context.proxied_request->route().name,
                    static_cast<double>(took.count()), static_cast<double>(bytes), now);
}

// False: bulkheads are off, or too many wait; then the errand looks again by itself.
bool BrokerLoop::enqueue(ProxiedRequest& proxied_request, TimePoint now) {
  if (!classes_.is_on())
    return false;
  const auto context = contexts_.find(&proxied_request);
  if (context == contexts_.end() ||
      !turns_.push(&proxied_request, proxied_request.route().rank, context->second->is_heavy,
                   proxied_request.deadline()))
    return false;
  const Requester* displaced = nullptr;
  while (turns_.pop_last(displaced))
    if (const auto other = contexts_.find(displaced);
        other != contexts_.end() && other->second->proxied_request) {
      other->second->proxied_request->on_evicted(now + turn_step);
      arrange(*other->second);
    }
  timers_.set(turn_clock_, now + turn_step);
  return true;
}

void BrokerLoop::serve_turns(std::size_t limit, TimePoint now) {
  std::vector<const Requester*> turns;
  for (const Requester* next = nullptr; turns.size() < limit && turns_.pop(next);)
    turns.push_back(next);
  for (const Requester* turn : turns) {
    const auto found = contexts_.find(turn);
    if (found == contexts_.end() || !found->second->proxied_request)
      continue;  // it ended meanwhile
    const RequestContextPointer context = found->second;
    context->proxied_request->on_dequeued(now);
    arrange(*context);
  }
  if (!turns_.is_empty())
    timers_.set(turn_clock_, now + turn_step);
}

}  // namespace saddlewing
