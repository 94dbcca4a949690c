#include "broker/broker_loop.h"

#include <glog/logging.h>

#include <algorithm>

#include "broker/request_head.h"
#include "coordination/routing/ended_input.h"
#include "process/end_margin.h"
#include "protocol/discovery_messages.h"
#include "protocol/http_calls.h"
#include "transport/header_names.h"

namespace saddlewing {
namespace {

constexpr Duration still_chosen{
    2500};  // after SIGTERM the platform may go on sending for two missed checks
// How long an attempt that nobody waits for may still end by itself.
constexpr Duration abandoned_wait{200};

}  // namespace

void RequestContext::on_due(TimePoint now) {
  const auto kept = loop.contexts_.find(requester.get());
  const RequestContextPointer self = kept != loop.contexts_.end() ? kept->second : nullptr;
  requester->on_due(now);
  loop.arrange(*this);
}

BrokerLoop::BrokerLoop(const NodeSettings& settings, IncarnationId incarnation)
    : settings_(settings),
      server_(poller_, timers_, *this, static_cast<std::size_t>(settings.file_handles) / 3,
              settings.memory_bytes / 4),
      readiness_(*this),
      ready_server_(poller_, timers_, readiness_, 64, 1 << 20),
      metrics_server_(poller_, timers_, [this] { return metrics_page(); }),
      views_(64, [this] { poller_.wake(); }),
      picker_({settings.zone, settings.region}, incarnation.value),
      draw_(static_cast<std::uint32_t>(incarnation.value)),
      delegation_events_(4096, [this] { poller_.wake(); }),
      incarnation_(incarnation),
      ring_news_(64, [this] { poller_.wake(); }),
      alert_rules_(4, [this] { poller_.wake(); }),
      edge_news_(64, [this] { poller_.wake(); }),
      edge_selector_(settings.region, incarnation.value, edge_options(settings)),
      classes_(settings.heavy_times) {
}

Error BrokerLoop::open(int metrics_port) {
  metrics_server_.open(settings_.ip_address, metrics_port);
  if (Error found = ready_server_.open(settings_.ready_check))
    return found;
  return server_.open(settings_.front);
}

void BrokerLoop::start() {
  thread_ = std::thread([this] { run(); });
}

void BrokerLoop::run() {
  if (settings_.has_edges)
    edge_clock_.on_due(Clock::now());
  for (;;) {
    poller_.poll(timers_.until_next(Clock::now(), is_leaving_ ? Duration(50) : Duration(1000)));
    const TimePoint now = Clock::now();
    auto views = views_.take();
    if (!views.empty())
      take_view(std::move(views.back()), now);
    for (auto& routes : alert_rules_.take()) {
      alerts_.replace(std::move(routes));
      if (!alerts_.is_empty())
        alert_clock_.on_due(now);
    }
    for (RingUpdate& news : ring_news_.take())
      take_ring(std::move(news), now);
    for (EdgeUpdate& news : edge_news_.take())
      take_edges(std::move(news), now);
    for (DelegationEvent& event : delegation_events_.take())
      handle_delegation_event(event, now);
    timers_.run(now);
    server_.reap();
    ready_server_.reap();
    metrics_server_.reap();
    closed_connections_.clear();
    ended_contexts_.clear();
    if (!should_leave_)
      continue;
    check_leaving(now);
    if (is_leaving_ && (now - left_ > settings_.grace - end_margin(settings_.grace) ||
                        (now - left_ > still_chosen && server_.count() == 0)))
      return record_cut_requests(now);
  }
}

void BrokerLoop::check_leaving(TimePoint now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    left_ = now;
    server_.set_leaving();
    LOG(INFO) << "traffic: leaving, " << server_.count() << " connections open";
  }
  if (now - left_ <= std::min(still_chosen, settings_.grace / 2))
    return;
  server_.stop_admitting();
  server_.close_idle();
  server_.reap();
}

void BrokerLoop::on_request(ServerExchange& exchange, TimePoint now) {
  begin(exchange, nullptr, now);
}

void BrokerLoop::begin(ServerExchange& exchange, const RequestContext* before, TimePoint now) {
  if (!view_->is_ready || !table_) {
    record_refusal(exchange, nullptr, ErrorCode::not_ready, now);
    Reply reply = reply_of(ErrorCode::not_ready);
    reply.fields += "Retry-After: 0.3\r\n";
    return exchange.answer(std::move(reply), now);
  }
  const auto& request = exchange.request();
  const Route* route = table_->configuration->match(request.get("Host", ""), request.getURI());
  if (!route) {
    record_refusal(exchange, nullptr, ErrorCode::no_route, now);
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  }
  if (!before)
    metrics().add(Metric::requests);
  if (route->rank >= alerts_.refuse_from()) {
    metrics().add(Metric::refusals);
    record_refusal(exchange, route, ErrorCode::overloaded, now);
    Reply reply = reply_of(ErrorCode::overloaded);
    reply.fields += "Retry-After: 1\r\n";
    return exchange.answer(std::move(reply), now);
  }
  auto context = std::make_shared<RequestContext>(*this, exchange.id());
  context->try_id = request.get(header_name::try_id, "");
  if (context->try_id.empty()) {
    record_refusal(exchange, route, ErrorCode::malformed, now);
    return exchange.answer(reply_of(ErrorCode::malformed, "a request needs its Try-Id"), now);
  }
  std::optional<ServiceIndex> placed;
  if (before) {
    context->rounds = before->rounds + 1;
    context->connections = before->connections;
    context->attempts = before->attempts;
  }
  if (is_of_ring(*route) && !position(exchange, *route, *context, placed, now))
    return;
  context->method = request.getMethod();
  context->head_start = make_common_head(request, exchange.body().size());
  context->body = std::move(exchange.body());
  const Duration time_left =
      parse_time_left(request.get(header_name::time_left, ""), route->give_up);
  auto proxied_request =
      std::make_unique<ProxiedRequest>(*this, table_, *route, exchange.began(), time_left);
  if (placed)
    proxied_request->choose(*placed);
  if (exchange.has_input_ended())
    proxied_request->end_input(exchange.input_ended_at());
  context->proxied_request = proxied_request.get();
  context->requester = std::move(proxied_request);
  contexts_[context->proxied_request] = context;
  by_exchange_[exchange.id()] = context->proxied_request;
  if (before)
    context->proxied_request->restart_from(*before->proxied_request, now);
  else
    context->proxied_request->start(now);
  arrange(*context);
}

void BrokerLoop::arrange(RequestContext& context) {
  if (context.requester->is_open())
    return timers_.set(context, context.requester->next_due());
  timers_.drop(context);
  end_context(context.requester.get());
}

void BrokerLoop::on_gone(ServerExchange& exchange) {
  parked_.erase(exchange.id());
  const auto found = by_exchange_.find(exchange.id());
  if (found == by_exchange_.end())
    return;
  ProxiedRequest* proxied_request = found->second;
  by_exchange_.erase(found);
  if (const auto context = contexts_.find(proxied_request); context != contexts_.end())
    record_failure(*context->second, "client left", 0, Clock::now());
  const TimePoint now = Clock::now();
  abandon(*proxied_request, std::min(now + abandoned_wait, proxied_request->work_until()), now);
}

void BrokerLoop::on_input_end(ServerExchange& exchange, TimePoint now) {
  if (const auto parked = parked_.find(exchange.id()); parked != parked_.end())
    timers_.set(*parked->second, std::min(parked->second->until, now + max_begin_after_input_end));
  const auto found = by_exchange_.find(exchange.id());
  if (found == by_exchange_.end())
    return;
  found->second->end_input(now);
  if (const auto context = contexts_.find(found->second); context != contexts_.end())
    arrange(*context->second);
}

// Nobody waits for its result any more: no further attempt, and those under way may end by
// themselves until then.
void BrokerLoop::abandon(Requester& requester, TimePoint until, TimePoint now) {
  requester.abandon();
  const auto found = contexts_.find(&requester);
  if (found == contexts_.end())
    return;
  const RequestContextPointer context = found->second;
  stop_attempts(*context, until, now);
  end_context(&requester);
}

// Attempts under way are broken off where they may be. What must not run twice is left to its
// backend, which may be midway in it.
void BrokerLoop::stop_attempts(const RequestContext& context, TimePoint until, TimePoint now) {
  cancel_delegation(*context.requester);
  if (!context.requester->is_repeatable())
    return;
  for (BackendConnection* connection : std::vector<BackendConnection*>(context.at_work))
    connection->abandon(until, now);
}

// Wires may still hold the trip; it is freed between rounds at the earliest.
void BrokerLoop::end_context(const Requester* requester) {
  const auto found = contexts_.find(requester);
  if (found == contexts_.end())
    return;
  timers_.drop(*found->second);
  if (found->second->position)
    leave_place(*found->second, Clock::now());
  if (!found->second->routing_id.empty())
    delegated_works_.erase({found->second->routing_id, found->second->delegation_token});
  ended_contexts_.push_back(std::move(found->second));
  contexts_.erase(found);
  if (const auto token = delegation_tokens_.find(requester); token != delegation_tokens_.end()) {
    if (const auto call = delegations_.find(token->second); call != delegations_.end()) {
      --delegates_[call->second.to].under_way;
      delegations_.erase(call);
    }
    delegation_tokens_.erase(token);
  }
}

std::string BrokerLoop::head_for(const RequestContext& context, const Backend& backend,
                                 TimePoint now) {
  const auto left = std::max<std::int64_t>(1, elapsed(now, context.requester->deadline()).count());
  std::string head = context.head_start + header_name::time_left + ": " + std::to_string(left) +
                     "\r\n" + header_name::target_server + ": " + backend.id + "\r\n";
  if (context.ring)
    head += make_ring_fields(*context.ring, backend.service);
  return head + "\r\n";
}

bool BrokerLoop::send_attempt(Requester& requester, std::size_t part, Backend& backend,
                              TimePoint now) {
  if (!check_invariant(Invariant::no_attempt_after_close, requester.is_open(),
                       [&] { return "backend " + backend.id; }) ||
      !check_invariant(Invariant::no_attempt_to_draining_backend, !backend.is_draining,
                       [&] { return "backend " + backend.id; }))
    return false;
  const auto context = contexts_.find(&requester);
  const auto pointer = backends_.find(backend.id);
  if (context == contexts_.end() || pointer == backends_.end() || pointer->second.get() != &backend)
    return false;
  metrics().add(Metric::attempts);
  auto& idle = idle_[&backend];
  for (std::size_t at = idle.size(); at-- > 0;) {
    BackendConnection* connection = idle[at];
    if (std::ranges::count(context->second->connections, connection->serial()))
      continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (connection->ask(context->second, part, now))
      return true;
    defer_delete(connection);
  }
  auto fresh = std::make_unique<BackendConnection>(*this, pointer->second);
  BackendConnection* connection = fresh.get();
  connections_[connection] = std::move(fresh);
  if (connection->ask(context->second, part, now))
    return true;
  backend.breaker.record_failure(now, true);
  defer_delete(connection);
  return false;
}

void BrokerLoop::send_response(ProxiedRequest& proxied_request, FinalResponse answer,
                               TimePoint now) {
  const auto found = contexts_.find(&proxied_request);
  if (found == contexts_.end())
    return;
  const RequestContextPointer context = found->second;
  if (proxied_request.has_input_ended())  // the client may be gone, and needs no more than this
    stop_attempts(*context, proxied_request.work_until(), now);
  if (answer.kind != ErrorCode::none)
    record_failure(*context, make_error_code(answer.kind).message(),
                   status_line_of(answer.kind).status, now);
  else if (answer.status >= 500)
    record_failure(*context, "the backend's own answer", answer.status, now);
  else if (proxied_request.parts_done() < proxied_request.part_count())
    record_failure(*context, "parts missing", answer.status, now);
  end_context(&proxied_request);
  by_exchange_.erase(context->exchange);
  ServerExchange* exchange = server_.find(context->exchange);
  if (!exchange)
    return;
  Reply reply;
  if (answer.kind != ErrorCode::none) {
    reply = reply_of(answer.kind);
    if (reply.status >= 500)
      metrics().add(Metric::own_5xx_responses);
    if (reply.status == 503)
      metrics().add(Metric::refusals);
    if (answer.retry_after > Duration(0))
      reply.fields +=
          "Retry-After: " + std::to_string(static_cast<double>(answer.retry_after.count()) / 1000) +
          "\r\n";
  } else {
    reply = {answer.status, std::move(answer.reason), std::move(answer.fields),
             std::move(answer.body)};
    reply.is_bodiless = context->method == "HEAD" && !proxied_request.is_gathering();
    if (proxied_request.is_gathering())
      reply.fields += std::string(header_name::try_id) + ": " + context->try_id + "\r\n";
  }
  exchange->answer(std::move(reply), now);
}

RetryBudget& BrokerLoop::retry_budget(const std::string& service) {
  return budgets_.try_emplace(service, settings_.retry_span, settings_.retry_share).first->second;
}

PickResult BrokerLoop::pick(const std::vector<BackendPointer>& backends,
                            const std::vector<const Backend*>& tried, int max_connections,
                            TimePoint now, const PickConstraints& wish) {
  const auto brokers = static_cast<int>(std::max<std::uint64_t>(1, view_->brokers));
  return picker_.pick(backends, tried, std::max(1, max_connections * 4 / 5 / brokers), now, wish);
}

void BrokerLoop::defer_delete(BackendConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  if (const auto idle = idle_.find(&connection->backend()); idle != idle_.end())
    std::erase(idle->second, connection);
  timers_.drop(*connection);
  connection->end();
  closed_connections_.push_back(std::move(found->second));
  connections_.erase(found);
}

}  // namespace saddlewing
