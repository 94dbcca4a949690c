#include "pooler/pooler_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "process/end_margin.h"
#include "protocol/database_protocol.h"
#include "protocol/http_calls.h"
#include "state/metrics.h"
#include "transport/database_message.h"

namespace saddlewing {
namespace {

constexpr Duration busy_tick{100}, calm_tick{250};
constexpr Duration still_chosen{
    2500};  // after SIGTERM the platform may go on sending for two missed checks
constexpr Duration max_greeting{700}, max_preparing{900};
constexpr Duration first_lag_pause{50}, max_lag_pause{800};
constexpr Duration min_report{200};
constexpr std::size_t max_waiting = 2048;

std::string metrics_page() {
  return metrics().page() + violations_page();
}

}  // namespace

PoolerLoop::Client::Client(PoolerLoop& loop, TcpConnection channel)
    : loop(loop),
      link(loop.poller_,
           {[this](DatabaseMessage&& message) {
              session.handle_message(std::move(message), Clock::now());
              return !session.is_busy();
            },
            [this](DatabaseReadResult result) {
              if (result == DatabaseReadResult::too_long || result == DatabaseReadResult::malformed)
                return session.refuse_unreadable(result == DatabaseReadResult::too_long
                                                     ? StatementError::too_long
                                                     : StatementError::malformed);
              if (session.is_busy())
                metrics().add(Metric::client_breaks);
              session.handle_client_left(Clock::now());
              this->loop.defer_delete(*this);
            },
            [this] {
              metrics().add(Metric::client_input_ends);
              session.end_input(Clock::now());
            }}),
      session(loop) {
  link.accept(std::move(channel));
}

void PoolerLoop::Client::on_due(TimePoint now) {
  session.on_due(now);
}

PoolerLoop::Link::Link(PoolerLoop& loop, DatabaseConnection& connection)
    : transport(loop.poller_, {[&connection](DatabaseMessage&& message) {
                                 connection.take_message(std::move(message), Clock::now());
                                 return true;
                               },
                               [&connection](DatabaseReadResult) {
                                 connection.take_end();
                               }}) {
}

PoolerLoop::PoolerLoop(NodeSettings settings)
    : settings_(std::move(settings)),
      readiness_(*this),
      ready_server_(poller_, timers_, readiness_, 64, 1 << 20),
      metrics_server_(poller_, timers_, metrics_page),
      client_listener_(*this),
      tick_(*this),
      views_(64, [this] { poller_.wake(); }),
      leases_(64, [this] { poller_.wake(); }),
      samples_in_(64, {}),
      pool_({[this](DatabaseConnection& connection) -> std::unique_ptr<DatabaseConnectionLink> {
               auto link = std::make_unique<Link>(*this, connection);
               if (!link->transport.connect(connection.backend().address))
                 return nullptr;
               metrics().add(Metric::database_connections_opened);
               return link;
             },
             [this](Backend& backend, const LogPosition& position, TimePoint asked) {
               const DatabaseLeadership* lead = leaderships_->find(backend.service);
               if (!lead || !holds_leadership(backend, Clock::now()))
                 return;
               samples_.record(backend.service, lead->number, position, asked);
               own_samples_.record(backend.service, lead->number, position, asked);
               has_new_evidence_ = true;
             },
             [this](Backend& backend, bool is_fine) {
               const TimePoint now = Clock::now();
               Health& health = health_[&backend];
               (is_fine ? health.fine : health.failing) = now;
               if (is_fine)
                 backend.breaker.record_success();
               else
                 backend.breaker.record_failure(now, true), metrics().add(Metric::failed_attempts);
               has_new_evidence_ = true;
             },
             [] { return Clock::now(); },
             [this](std::unique_ptr<DatabaseConnection> connection) {
               closed_connections_.push_back(std::move(connection));
             }}) {
}

PoolerLoop::~PoolerLoop() {
  end_sessions(Clock::now());
}

Error PoolerLoop::open(int metrics_port) {
  metrics_server_.open(settings_.ip_address, metrics_port);
  if (Error found = ready_server_.open(settings_.ready_check))
    return found;
  if (Error found = client_listener_.listener.open(settings_.front))
    return found;
  poller_.watch(client_listener_.listener.socket(), Poller::read, client_listener_);
  return {};
}

void PoolerLoop::ClientListener::on_ready(bool, bool) {
  for (int round = 0; round < 64; ++round) {
    auto channel = listener.admit();
    if (!channel)
      return;
    if (loop_.clients_.size() >= static_cast<std::size_t>(loop_.settings_.file_handles) * 3 / 4)
      continue;  // closed by its destructor
    auto fresh = std::make_unique<Client>(loop_, std::move(*channel));
    Client* client = fresh.get();
    loop_.by_session_[&client->session] = client;
    loop_.clients_[client] = std::move(fresh);
  }
}

void PoolerLoop::defer_delete(Client& client) {
  const auto found = clients_.find(&client);
  if (found == clients_.end())
    return;
  waiting_.erase(&client.session);
  timers_.drop(client);
  client.link.close();
  closed_clients_.push_back(std::move(found->second));
  clients_.erase(found);
}

// Sessions let go of what they wait for and use while that still exists. Those that wait go first,
// so that no connection is handed on to one of them.
void PoolerLoop::end_sessions(TimePoint now) {
  for (const bool is_seeking : {true, false})
    for (const auto& [client, kept] : clients_)
      if ((client->session.state() == Session::State::seeking) == is_seeking)
        client->session.handle_client_left(now);
}

void PoolerLoop::run() {
  tick(Clock::now());
  for (;;) {
    poller_.poll(timers_.until_next(Clock::now(), is_leaving_ ? Duration(50) : Duration(1000)));
    const TimePoint now = Clock::now();
    auto views = views_.take();
    if (!views.empty())
      apply_view(std::move(views.back()), now);
    for (const SampleUpdate& news : samples_in_.take())
      samples_.merge(news.samples, news.built);
    for (LeadershipUpdate& news : leases_.take())
      handle_leadership_lease(std::move(news), now);
    timers_.run(now);
    ready_server_.reap();
    metrics_server_.reap();
    for (auto& closed : closed_clients_)
      by_session_.erase(&closed->session);
    closed_clients_.clear();
    closed_connections_.clear();
    if (!should_leave_)
      continue;
    check_leaving(now);
    if (is_leaving_ && (now - leaving_since_ > settings_.grace - end_margin(settings_.grace) ||
                        (now - leaving_since_ > still_chosen && clients_.empty())))
      return;
  }
}

void PoolerLoop::tick(TimePoint now) {
  if (pool_.is_restless())
    pool_.check_late(max_greeting, max_preparing, now);
  end_draining(now);
  if (!waiting_.empty())
    wake_waiting(now);
  if (now - last_report_ >= min_report)
    report(now);
  timers_.set(tick_,
              now + (pool_.is_restless() || !waiting_.empty() || !draining_.empty() ? busy_tick
                                                                                    : calm_tick));
}

bool PoolerLoop::may_wait(Session& session) {
  if (waiting_.size() >= max_waiting)
    return false;
  waiting_.insert(&session);
  timers_.set(tick_, Clock::now() + busy_tick);
  return true;
}

void PoolerLoop::record_refusal(Backend& backend, StatementError error, TimePoint now) {
  Health& health = health_[&backend];
  if (error == StatementError::lagging) {
    health.lag_pause = std::clamp(health.lag_pause * 2, first_lag_pause, max_lag_pause);
    health.lagging_until = now + health.lag_pause;
  } else if (error == StatementError::readonly || error == StatementError::wrong_host) {
    health.failing = now;
    has_new_evidence_ = true;
  }
}

void PoolerLoop::send_to_client(Session& session, std::string bytes) {
  const auto found = by_session_.find(&session);
  if (found == by_session_.end())
    return;
  Client& client = *found->second;
  if (!client.link.send(bytes) && !client.link.is_ended())
    client.link.close();
  if (client.link.is_ended()) {
    session.handle_client_left(Clock::now());
    return defer_delete(client);
  }
  if (!session.is_busy())
    client.link.resume();
}

void PoolerLoop::close(Session& session) {
  if (const auto found = by_session_.find(&session); found != by_session_.end())
    found->second->link.finish();
}

void PoolerLoop::set_due(Session& session, TimePoint due) {
  const auto found = by_session_.find(&session);
  if (found == by_session_.end())
    return;
  if (due == TimePoint::max())
    timers_.drop(*found->second);
  else
    timers_.set(*found->second, due);
}

int PoolerLoop::max_connections(const Service& service) const {
  const auto poolers = static_cast<int>(std::max<std::uint64_t>(1, view_->brokers));
  return std::max(1, service.max_connections * 4 / 5 / poolers);
}

void PoolerLoop::check_leaving(TimePoint now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    leaving_since_ = now;
    LOG(INFO) << "pooling: leaving, " << clients_.size() << " sessions open";
  }
  if (now - leaving_since_ <= std::min(still_chosen, settings_.grace / 2))
    return;
  if (client_listener_.listener.is_open()) {
    client_listener_.on_ready(true, false);  // whoever waits in the backlog still comes in
    poller_.leave(client_listener_.listener.socket());
    client_listener_.listener.close();
  }
  const bool may_go_on = now - leaving_since_ < settings_.grace / 2;
  std::vector<Client*> ending;
  for (const auto& [client, kept] : clients_) {
    if (client->session.is_busy() || client->link.has_unsent())
      continue;
    if (!client->session.is_in_transaction() || !may_go_on)
      ending.push_back(client);
  }
  for (Client* client : ending) {
    client->link.on_ready(true, false);  // what just came is served first
    if (!clients_.contains(client) || client->session.is_busy() ||
        (client->session.is_in_transaction() && may_go_on))
      continue;
    client->session.handle_client_left(now);
    client->link.finish();
    defer_delete(*client);
  }
}

void PoolerLoop::Readiness::on_request(ServerExchange& exchange, TimePoint now) {
  const std::string& target = exchange.request().getURI();
  if (target == row_of(HttpCall::metrics).path)
    return exchange.answer(MetricsServer::reply(metrics_page()), now);
  if (target.substr(0, target.find('?')) != row_of(HttpCall::readiness).path)
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  if (loop_.is_ready())
    return exchange.answer({200, "OK", "", "ready\n"}, now);
  exchange.answer(reply_of(loop_.is_leaving_ ? ErrorCode::draining : ErrorCode::not_ready), now);
}

}  // namespace saddlewing
