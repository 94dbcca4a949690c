// The traffic thread by the ring: which node a request goes to, what has to wait, and what is
// counted.
#include <algorithm>

#include "broker/broker_loop.h"
#include "coordination/routing/ended_input.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_parked = 256, max_counted = 512;
constexpr Duration report_every{300};

Reply come_back() {
  Reply reply = reply_of(ErrorCode::overloaded, "its account is on the move");
  reply.fields += "Retry-After: 0.5\r\n";
  return reply;
}

}  // namespace

// Whether a request goes to nodes of the ring: placed by its key, or gathered over them.
bool BrokerLoop::is_of_ring(const Route& route) const {
  if (!gate_.view())
    return false;
  const RingMap& ring = gate_.view()->map;
  if (route.name == ring.route)
    return true;
  const auto& services = table_->configuration->services;
  return std::any_of(route.shards.begin(), route.shards.end(), [&](ServiceIndex shard) {
    return ring.index_of(services[shard.value].name) < ring.nodes.size();
  });
}

// False: it was parked or refused.
bool BrokerLoop::position(ServerExchange& exchange, const Route& route, RequestContext& context,
                          std::optional<ServiceIndex>& service, TimePoint now) {
  const RingMap& ring = gate_.view()->map;
  std::string_view key;
  const bool has_key =
      route.name == ring.route && ring.key_of(exchange.request().getURI(), route.path_start, key);
  if (route.name == ring.route && !has_key)
    return true;  // as without a ring
  if (!gate_.is_leased(now)) {
    metrics().add(Metric::refusals);
    exchange.answer(come_back(), now);
    return false;
  }
  context.ring = gate_.view();
  if (!has_key)
    return true;  // gathered over nodes of the ring
  const std::uint32_t owner = ring.owner_of(key);
  for (const Share& share : route.shares)
    if (share.weight > 0 &&
        table_->configuration->services[share.service.value].name == ring.nodes[owner].name)
      service = share.service;
  if (!service) {  // this version of the configuration does not allow the owner: the route goes
                   // first
    context.ring.reset();
    return true;
  }
  context.position = RequestContext::Place{std::string(key), ring.find(key), owner};
  context.is_risky = !route.is_harmless;
  context.began = now;
  context.target = route.target;
  if (gate_.decide(key, route.is_harmless, now) == RingRouter::Decision::pass) {
    if (context.is_risky)
      gate_.start(context.position->key, owner);
    return true;
  }
  context.position.reset();
  TimePoint until = exchange.began() + std::min(route.target, route.give_up);
  if (exchange.has_input_ended())
    until = std::min(until, exchange.input_ended_at() + max_begin_after_input_end);
  if (parked_.size() >= max_parked || now >= until) {
    metrics().add(Metric::refusals);
    exchange.answer(come_back(), now);
    return false;
  }
  auto& parked = parked_[exchange.id()];
  if (!parked)
    parked = std::make_unique<Parked>(*this);
  parked->exchange = exchange.id();
  parked->until = until;
  timers_.set(*parked, until);
  return false;
}

// A node turned it away, and the ring has changed since it left: it starts again by the newest
// view, if its tries and the allowance for further ones suffice. Of what may run once nothing may
// have run.
bool BrokerLoop::restart(const RequestContextPointer& context, std::size_t part, TimePoint now) {
  constexpr int max_rounds = 3;
  if (!context->ring || !gate_.view() || gate_.view()->revision <= context->ring->revision ||
      context->rounds + 1 >= max_rounds)
    return false;
  if (!context->proxied_request || !context->proxied_request->is_open() ||
      !context->proxied_request->may_restart(part, now))
    return false;
  ServerExchange* exchange = server_.find(context->exchange);
  if (!exchange)
    return false;
  context->proxied_request->close_for_restart(part);
  by_exchange_.erase(context->exchange);
  end_context(context->requester.get());
  exchange->body() = std::move(context->body);
  begin(*exchange, context.get(), now);
  return true;
}

void BrokerLoop::Parked::on_due(TimePoint now) {
  BrokerLoop& home = loop;
  ServerExchange* waiting = home.server_.find(exchange);
  home.parked_.erase(exchange);  // ends this
  if (!waiting)
    return;
  metrics().add(Metric::refusals);
  waiting->answer(come_back(), now);
}

void BrokerLoop::take_ring(RingUpdate news, TimePoint now) {
  gate_.set_lease(news.until);
  gate_.take(std::move(news.view));
  if (control_client_)
    control_client_->confirm_ring(gate_.confirmed());
  std::vector<ExchangeId> waiting;
  for (const auto& [id, parked] : parked_)
    waiting.push_back(id);
  for (const ExchangeId id : waiting) {
    const auto kept = parked_.extract(id);  // parked anew if it still has to wait
    if (ServerExchange* exchange = server_.find(id))
      on_request(*exchange, now);
  }
  if (now - ring_reported_ >= report_every)
    report_ring();
}

void BrokerLoop::leave_place(const RequestContext& context, TimePoint now) {
  const RequestContext::Place& position = *context.position;
  if (context.is_risky) {
    gate_.finish(position.key, position.owner);
    if (control_client_)
      control_client_->confirm_ring(gate_.confirmed());
  }
  const double took = std::chrono::duration<double, std::milli>(now - context.began).count();
  const RingLoad load{1, took,
                      static_cast<double>(context.head_start.size() + context.body.size())};
  const auto count = [&](auto& rows, const auto& name) {
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.first == name; });
    if (found != rows.end())
      found->second += load;
    else if (rows.size() < max_counted)
      rows.push_back({name, load});
  };
  if (!context.ring || !context.ring->map.placed.contains(position.key))
    count(ring_counts_.loads, position.virtual_node);
  if (is_account_form(position.key))
    count(ring_counts_.accounts, position.key);
  if (!context.is_risky) {
    ++ring_counts_.lookups;
    ring_counts_.late +=
        context.target > Duration(0) && took > static_cast<double>(context.target.count());
  }
  if (now - ring_reported_ >= report_every)
    report_ring();
}

void BrokerLoop::report_ring() {
  ring_reported_ = Clock::now();
  if (control_client_ && !ring_counts_.loads.empty())
    control_client_->report_ring(std::exchange(ring_counts_, {}));
}

}  // namespace saddlewing
