// The traffic thread's part in two-level gathering: aid asked of brokers near the backends, and aid
// given.
#include <algorithm>

#include "broker/broker_loop.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/gather_messages.h"

namespace saddlewing {
namespace {

constexpr std::size_t min_parts = 2;  // for a single part a broker between saves nothing
constexpr std::int64_t frame_margin_ms = 4;
constexpr double avoided_ms = 5000;  // by the shared view of edges
constexpr int unnamed_connections =
    16;  // to a service that this broker's configuration does not name

}  // namespace

std::string BrokerLoop::region_of_delegate(const std::string& address) const {
  for (const BrokerEndpoint& seat : view_->remote_brokers)
    if (seat.address == address)
      return seat.region;
  return {};
}

bool BrokerLoop::is_near(const Backend& backend, const std::string& region, TimePoint now) {
  return !backend.is_draining && backend.status == EndpointStatus::up && backend.region == region &&
         !backend.breaker.is_open(now);
}

ProxiedRequest::Callbacks::Delegation BrokerLoop::delegate(ProxiedRequest& proxied_request,
                                                           Duration flush_after, TimePoint now) {
  const auto& shards = proxied_request.route().shards;
  const auto& services = proxied_request.table().by_service;
  std::vector<std::size_t> lacking;
  for (std::size_t index = 0; index < shards.size(); ++index) {
    const auto& backends = services[shards[index].value];
    if (std::none_of(backends.begin(), backends.end(), [&](const BackendPointer& backend) {
          return is_near(*backend, settings_.region, now);
        }))
      lacking.push_back(index);
  }
  if (lacking.size() < min_parts || view_->remote_brokers.empty())
    return {};
  if (const auto own = contexts_.find(&proxied_request);
      own == contexts_.end() || own->second->ring)
    return {};  // what nodes of the ring are told differs by node

  // The region that has most of them, and there the broker with the least to expect.
  std::vector<std::size_t> best_parts;
  const BrokerEndpoint* best = nullptr;
  double best_cost = 0;
  std::unordered_map<std::string, std::vector<std::size_t>> by_region;
  for (const BrokerEndpoint& seat : view_->remote_brokers) {
    DelegateBroker& aide = delegates_[seat.address];
    if (aide.breaker.is_open(now))
      continue;
    auto [covered, is_new] = by_region.try_emplace(seat.region);
    if (is_new)
      for (const std::size_t index : lacking) {
        const auto& backends = services[shards[index].value];
        if (std::any_of(backends.begin(), backends.end(), [&](const BackendPointer& backend) {
              return is_near(*backend, seat.region, now);
            }))
          covered->second.push_back(index);
      }
    const std::vector<std::size_t>& parts = covered->second;
    double cost = (aide.mean_ms + 10) * (1 + aide.under_way) * (1 + random_fraction() * 0.1);
    if (settings_.has_edges)
      if (const auto standing =
              edge_selector_.standing("", seat.region, std::max<std::uint64_t>(1, view_->brokers));
          standing.verdict == EdgeState::Verdict::avoided && !standing.is_trying)
        cost += avoided_ms * edge_selector_.influence(now);
    if (parts.size() < min_parts || parts.size() < best_parts.size())
      continue;
    if (parts.size() > best_parts.size() || cost < best_cost) {
      best_parts = parts;
      best = &seat;
      best_cost = cost;
    }
  }
  if (!best)
    return {};
  const auto context = contexts_.find(&proxied_request);
  if (context == contexts_.end())
    return {};
  DelegateBroker& aide = delegates_[best->address];
  if (aide.breaker.is_probe_due(now))
    aide.breaker.start_probe(now);
  // The first frame is to be back before this side would ask directly.
  const Duration frame_after =
      std::max(flush_after - Duration(static_cast<std::int64_t>(aide.way_ms) + frame_margin_ms),
               Duration(1));
  GatherRequest aid{++last_delegation_,
                    context->second->method,
                    context->second->try_id,
                    context->second->head_start,
                    context->second->body,
                    {},
                    static_cast<std::uint64_t>(proxied_request.route().best_count),
                    static_cast<std::uint64_t>(std::max<std::int64_t>(
                        1, elapsed(now, proxied_request.deadline()).count())),
                    static_cast<std::uint64_t>(frame_after.count())};
  for (const std::size_t index : best_parts)
    aid.services.push_back(
        proxied_request.table().configuration->services[shards[index].value].name);
  const std::string from = Address{settings_.ip_address, settings_.own_port}.text();
  if (!send_(
          DelegationMessage{best->address, aid.token,
                            encode(FrameHead{FrameKind::gather_request, incarnation_, from}, aid)}))
    return {};
  ++aide.under_way;
  delegations_[aid.token] = {&proxied_request, best->address, now, best_parts};
  delegation_tokens_[&proxied_request] = aid.token;
  return {best_parts, best->region, aide.way_ms, aide.mean_ms - aide.way_ms};
}

void BrokerLoop::handle_delegation_timeout(ProxiedRequest& proxied_request, TimePoint now) {
  const auto token = delegation_tokens_.find(&proxied_request);
  if (token == delegation_tokens_.end())
    return;
  const auto call = delegations_.find(token->second);
  if (call != delegations_.end()) {
    DelegateBroker& aide = delegates_[call->second.to];
    --aide.under_way;
    aide.breaker.record_failure(now, false);
    count_edge("", region_of_delegate(call->second.to), EdgeClass::light,
               elapsed(call->second.asked, now), true);
    delegations_.erase(call);
  }
  delegation_tokens_.erase(token);
}

void BrokerLoop::handle_delegation_event(DelegationEvent& event, TimePoint now) {
  if (auto* in = std::get_if<DelegationRequested>(&event))
    return handle_gather_request(*in, now);
  if (const auto* cancelled = std::get_if<DelegationCancelled>(&event))
    return handle_gather_cancel(*cancelled, now);
  const auto* lost = std::get_if<DelegationLost>(&event);
  auto* came = std::get_if<DelegationResult>(&event);
  const auto call = delegations_.find(lost ? lost->token : came->result.token);
  if (call == delegations_.end())
    return;
  const auto found = contexts_.find(call->second.requester);
  if (found == contexts_.end())
    return;
  const RequestContextPointer context = found->second;
  DelegateBroker& aide = delegates_[call->second.to];
  if (lost) {
    --aide.under_way;
    delegation_tokens_.erase(call->second.requester);
    delegations_.erase(call);
    context->proxied_request->lose_delegation(false, now);
  } else {
    const Duration took = elapsed(call->second.asked, now);
    // The parts travel under their place in the aid; here they get their place in the errand again.
    const std::vector<std::size_t> parts = call->second.parts;
    const auto position = [&](std::uint64_t& part) {
      part = part < parts.size() ? parts[part] : ~0ull;
    };
    for (GatherResult::CompletedPart& done : came->result.done)
      position(done.part);
    for (GatherResult::FailedPart& failed : came->result.failed)
      position(failed.part);
    aide.breaker.record_success();
    count_edge("", region_of_delegate(call->second.to), EdgeClass::light, took, false);
    const double way = std::max(
        0.0, static_cast<double>(took.count()) - static_cast<double>(came->result.processing_time));
    aide.way_ms = aide.way_ms == 0 ? way : aide.way_ms * 0.9 + way * 0.1;
    aide.mean_ms = aide.mean_ms == 0 ? static_cast<double>(took.count())
                                     : aide.mean_ms * 0.9 + static_cast<double>(took.count()) * 0.1;
    context->proxied_request->handle_gather_result(std::move(came->result), took, now);
  }
  arrange(*context);
}

// Tells the broker that gathers for this request that nobody waits for it any more.
void BrokerLoop::cancel_delegation(const Requester& requester) {
  const auto token = delegation_tokens_.find(&requester);
  if (token == delegation_tokens_.end())
    return;
  const auto call = delegations_.find(token->second);
  if (call == delegations_.end())
    return;
  const std::string from = Address{settings_.ip_address, settings_.own_port}.text();
  const FrameHead head{FrameKind::gather_cancel, incarnation_, from};
  send_(
      DelegationMessage{call->second.to, token->second, encode(head, GatherCancel{token->second})});
}

void BrokerLoop::handle_gather_cancel(const DelegationCancelled& cancelled, TimePoint now) {
  const auto found = delegated_works_.find({cancelled.routing_id, cancelled.cancel.token});
  if (found != delegated_works_.end())
    abandon(*found->second, now, now);  // the asking broker has waited as long as it may
}

// Another broker's asking: backends of this region, once each.
void BrokerLoop::handle_gather_request(DelegationRequested& in, TimePoint now) {
  metrics().add(Metric::delegated_gathers);
  GatherRequest& aid = in.request;
  auto context = std::make_shared<RequestContext>(*this, ExchangeId{});
  context->routing_id = std::move(in.routing_id);
  context->method = std::move(aid.method);
  context->try_id = std::move(aid.try_id);
  context->head_start = std::move(aid.request_head);
  context->body = std::move(aid.body);
  std::vector<DelegatedGatherWork::Candidates> parts;
  for (const std::string& service : aid.services) {
    DelegatedGatherWork::Candidates& candidates = parts.emplace_back();
    candidates.max_connections = unnamed_connections;
    if (const auto found = by_name_.find(service); found != by_name_.end())
      std::copy_if(
          found->second.begin(), found->second.end(), std::back_inserter(candidates.backends),
          [&](const BackendPointer& backend) { return backend->region == settings_.region; });
    if (table_)
      for (const Service& named : table_->configuration->services)
        if (named.name == service)
          candidates.max_connections = named.max_connections;
  }
  const auto limit =
      static_cast<std::size_t>(std::clamp<std::uint64_t>(aid.best_count, 1, 1 << 20));
  const Duration time_left(
      static_cast<std::int64_t>(std::min<std::uint64_t>(aid.time_left, 600000)));
  const Duration flush_after(
      static_cast<std::int64_t>(std::min<std::uint64_t>(aid.flush_after, 600000)));
  auto work = std::make_unique<DelegatedGatherWork>(*this, aid.token, std::move(parts), limit,
                                                    flush_after, time_left, now);
  DelegatedGatherWork* started = work.get();
  context->delegation_token = aid.token;
  context->requester = std::move(work);
  contexts_[started] = context;
  delegated_works_[{context->routing_id, context->delegation_token}] = started;
  started->start(now);
  arrange(*context);
}

void BrokerLoop::send_gather_result(DelegatedGatherWork& work, GatherResult aided, TimePoint) {
  const auto context = contexts_.find(&work);
  if (context == contexts_.end())
    return;
  const std::string from = Address{settings_.ip_address, settings_.own_port}.text();
  send_(DelegationMessage{context->second->routing_id, 0,
                          encode(FrameHead{FrameKind::gather_result, incarnation_, from}, aided)});
}

}  // namespace saddlewing
