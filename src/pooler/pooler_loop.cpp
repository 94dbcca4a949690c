#include "pooler/pooler_loop.h"

#include <glog/logging.h>

#include <algorithm>

#include "protocol/http_calls.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration busy_tick{100}, calm_tick{250};
constexpr Duration still_chosen{
    2500};  // after SIGTERM the platform may go on sending for two missed checks
constexpr Duration before_end{700};  // of the grace, kept for the end itself
constexpr Duration max_greeting{700}, max_preparing{900};
constexpr Duration max_draining{400};      // of a lead given up in good order
constexpr Duration emptying_margin{1500};  // before an emptying backend must get nothing more
constexpr Duration first_lag_pause{50}, max_lag_pause{800};
constexpr Duration heard_of_late{1500}, oldest_told{900};
constexpr Duration min_report{200};
constexpr std::size_t max_waiting = 2048;

void set_bit(std::string& bits, std::size_t position) {
  if (bits.size() <= position / 8)
    bits.resize(position / 8 + 1);
  bits[position / 8] =
      static_cast<char>(static_cast<unsigned char>(bits[position / 8]) | 1u << (position % 8));
}

}  // namespace

PoolerLoop::Client::Client(PoolerLoop& pooling, TcpConnection channel)
    : pooling(pooling),
      link(pooling.poller_,
           {[this](DatabaseMessage&& message) {
              session.take(std::move(message), Clock::now());
              return !session.is_busy();
            },
            [this](DatabaseReadResult step) {
              if (step == DatabaseReadResult::too_long || step == DatabaseReadResult::malformed)
                return session.take_wrong(step == DatabaseReadResult::too_long
                                              ? StatementError::too_long
                                              : StatementError::malformed);
              session.leave(Clock::now());
              this->pooling.defer_delete(*this);
            }}),
      session(pooling) {
  link.admit(std::move(channel));
}

void PoolerLoop::Client::on_due(TimePoint now) {
  session.on_due(now);
}

PoolerLoop::Link::Link(PoolerLoop& pooling, DatabaseConnection& connection)
    : transport(pooling.poller_, {[&connection](DatabaseMessage&& message) {
                                    connection.take_message(std::move(message), Clock::now());
                                    return true;
                                  },
                                  [&connection](DatabaseReadResult) {
                                    connection.take_end();
                                  }}) {
}

PoolerLoop::PoolerLoop(const NodeSettings& settings)
    : settings_(settings),
      readiness_(*this),
      ready_server_(poller_, timers_, readiness_, 64, 1 << 20),
      door_(*this),
      tick_(*this),
      views_(64, [this] { poller_.wake(); }),
      leases_(64, [this] { poller_.wake(); }),
      samples_in_(64, {}),
      pool_({[this](DatabaseConnection& connection) -> std::unique_ptr<DatabaseConnectionLink> {
               auto link = std::make_unique<Link>(*this, connection);
               if (!link->transport.connect(connection.backend().address))
                 return nullptr;
               metrics().add(Metric::connections_opened);
               return link;
             },
             [this](Backend& backend, const LogPosition& position, TimePoint asked) {
               const DatabaseLeadership* lead = leaderships_->find(backend.service);
               if (!lead || !holds_leadership(backend, Clock::now()))
                 return;
               samples_.note(backend.service, lead->number, position, asked);
               own_samples_.note(backend.service, lead->number, position, asked);
               has_news_ = true;
             },
             [this](Backend& backend, bool is_fine) {
               const TimePoint now = Clock::now();
               Health& health = health_[&backend];
               (is_fine ? health.fine : health.failing) = now;
               if (is_fine)
                 backend.breaker.succeed();
               else
                 backend.breaker.fail(now, true), metrics().add(Metric::breakdowns);
               has_news_ = true;
             },
             [] { return Clock::now(); },
             [this](std::unique_ptr<DatabaseConnection> connection) {
               closed_connections_.push_back(std::move(connection));
             }}) {
}

Error PoolerLoop::open() {
  if (Error found = ready_server_.open(settings_.ready_check))
    return found;
  if (Error found = door_.listener.open(settings_.front))
    return found;
  poller_.watch(door_.listener.socket(), Poller::read, door_);
  return {};
}

void PoolerLoop::Door::on_ready(bool, bool) {
  for (int round = 0; round < 64; ++round) {
    auto channel = listener.admit();
    if (!channel)
      return;
    if (pooling_.clients_.size() >=
        static_cast<std::size_t>(pooling_.settings_.file_handles) * 3 / 4)
      continue;  // closed by its destructor
    auto fresh = std::make_unique<Client>(pooling_, std::move(*channel));
    Client* client = fresh.get();
    pooling_.by_session_[&client->session] = client;
    pooling_.clients_[client] = std::move(fresh);
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

void PoolerLoop::run() {
  tick(Clock::now());
  for (;;) {
    poller_.poll(timers_.until_next(Clock::now(), is_leaving_ ? Duration(50) : Duration(1000)));
    const TimePoint now = Clock::now();
    auto views = views_.take();
    if (!views.empty())
      take_view(std::move(views.back()), now);
    for (const SampleNews& news : samples_in_.take())
      samples_.take(news.samples, news.built);
    for (LeadershipUpdate& news : leases_.take())
      handle_leadership_lease(std::move(news), now);
    timers_.run(now);
    ready_server_.reap();
    for (auto& closed : closed_clients_)
      by_session_.erase(&closed->session);
    closed_clients_.clear();
    closed_connections_.clear();
    if (!should_leave_)
      continue;
    check_leaving(now);
    if (is_leaving_ && (now - left_ > settings_.grace - before_end ||
                        (now - left_ > still_chosen && clients_.empty())))
      return;
  }
}

void PoolerLoop::tick(TimePoint now) {
  if (pool_.is_restless())
    pool_.check_late(max_greeting, max_preparing, now);
  end_draining(now);
  if (!waiting_.empty())
    wake_waiting(now);
  if (now - reported_ >= min_report)
    report(now);
  timers_.set(tick_,
              now + (pool_.is_restless() || !waiting_.empty() || !draining_.empty() ? busy_tick
                                                                                    : calm_tick));
}

void PoolerLoop::take_view(ViewSnapshot view, TimePoint now) {
  const bool is_first = !view_->configuration;
  view_ = std::move(view);
  std::map<std::string, BackendPointer> kept;
  for (const Endpoint& entry : view_->backends) {
    BackendPointer backend = keep_backend(backends_, entry, settings_.zones, now);
    if (!backend)
      continue;
    if (backend->is_cancelled)
      emptying_.try_emplace(entry.id, now);
    kept[entry.id] = std::move(backend);
  }
  for (const auto& [id, backend] : backends_) {
    if (!kept.contains(id)) {
      backend->is_cancelled = true;
      emptying_.erase(id);
      pool_.leave(*backend, false);
    } else if (backend->is_cancelled) {
      pool_.leave(*backend, false);
    }
  }
  backends_ = std::move(kept);
  by_service_.clear();
  for (const auto& [id, backend] : backends_)
    by_service_[backend->service].push_back(backend);
  if (view_->configuration)
    metrics().set(Metric::version, view_->configuration->version.value);
  if (is_first && view_->configuration)
    LOG(INFO) << "pooling: edition " << view_->configuration->version.value << " is the first";
  wake_waiting(now);
}

// Invariant: a table is confirmed only when nothing is done by the one before it any more.
void PoolerLoop::handle_leadership_lease(LeadershipUpdate news, TimePoint now) {
  lease_until_ = std::max(lease_until_, news.until);
  if (news.leaderships && news.leaderships->revision > leaderships_->revision) {
    const auto before = std::exchange(leaderships_, std::move(news.leaderships));
    for (const DatabaseLeadership& lead : before->leaderships) {
      const DatabaseLeadership* next = leaderships_->find(lead.service);
      if (lead.phase != DatabaseLeadership::Phase::led ||
          (next && next->id == lead.id && next->phase == DatabaseLeadership::Phase::led))
        continue;
      const auto backend = backends_.find(lead.id);
      if (backend == backends_.end())
        continue;
      LOG(INFO) << "pooling: " << lead.service << " is led by " << lead.id << " no more";
      if (next && next->is_planned && next->phase == DatabaseLeadership::Phase::closing &&
          pool_.at_work(*backend->second))
        draining_[lead.id] = now + max_draining;
      else
        pool_.leave(*backend->second, true);
    }
    end_draining(now);
    timers_.set(tick_, now + busy_tick);
  }
  wake_waiting(now);
}

void PoolerLoop::end_draining(TimePoint now) {
  std::erase_if(draining_, [&](const auto& item) {
    const auto backend = backends_.find(item.first);
    if (backend != backends_.end() && pool_.at_work(*backend->second) && now < item.second)
      return false;
    if (backend != backends_.end())
      pool_.leave(*backend->second, true);
    return true;
  });
  if (!draining_.empty() || confirmed_revision_ == leaderships_->revision)
    return;
  confirmed_revision_ = leaderships_->revision;
  if (control_client_)
    control_client_->confirm_leaderships(confirmed_revision_);
}

void PoolerLoop::wake_waiting(TimePoint now) {
  const std::set<Session*> woken = std::exchange(waiting_, {});
  for (Session* session : woken)
    if (by_session_.contains(session) && session->state() == Session::State::seeking)
      session->proceed(now);
}

void PoolerLoop::report(TimePoint now) {
  if (!has_news_ || !control_client_)
    return;
  has_news_ = false;
  reported_ = now;
  Evidence evidence;
  evidence.revision = leaderships_->revision;
  for (std::size_t position = 0; position < leaderships_->leaderships.size(); ++position) {
    const auto backend = backends_.find(leaderships_->leaderships[position].id);
    if (backend == backends_.end())
      continue;
    const auto health = health_.find(backend->second.get());
    if (health == health_.end())
      continue;
    const auto& [fine, failing, until, pause] = health->second;
    if (fine != TimePoint{} && now - fine < heard_of_late && fine > failing)
      set_bit(evidence.fine, position);
    if (failing > fine && now - failing < heard_of_late)
      set_bit(evidence.failing, position);
  }
  evidence.samples = own_samples_.tell(now, oldest_told);
  evidence.built = now;
  metrics().set(Metric::visits, static_cast<std::int64_t>(clients_.size()));
  metrics().set(Metric::connections, static_cast<std::int64_t>(pool_.count()));
  metrics().set(Metric::waiting, static_cast<std::int64_t>(waiting_.size() + pool_.waiting()));
  metrics().set(Metric::ready, is_ready());
  control_client_->report(std::move(evidence));
}

BackendPointer PoolerLoop::lead_of(const std::string& service, TimePoint now) const {
  const DatabaseLeadership* lead = leaderships_->find(service);
  if (!lead || lead->phase != DatabaseLeadership::Phase::led || now >= lease_until_)
    return nullptr;
  const auto found = backends_.find(lead->id);
  if (found == backends_.end())
    return nullptr;
  const auto emptying = emptying_.find(lead->id);
  if (emptying != emptying_.end() && now - emptying->second > settings_.empty_out - emptying_margin)
    return nullptr;
  return found->second;
}

bool PoolerLoop::holds_leadership(const Backend& backend, TimePoint now) const {
  const DatabaseLeadership* lead = leaderships_->find(backend.service);
  if (!lead || lead->id != backend.id || now >= lease_until_)
    return false;
  return lead->phase == DatabaseLeadership::Phase::led || draining_.contains(backend.id);
}

int PoolerLoop::cost(const Backend& backend) const {
  return backend.zone == settings_.zone ? 0 : backend.region == settings_.region ? 1 : 2;
}

DatabaseChoice PoolerLoop::choose(const Session& session, const std::string& service,
                                  const Route& route, bool must_lead, TimePoint began,
                                  TimePoint now) {
  DatabaseChoice choice{lead_of(service, now), true, {}};
  if (must_lead || route.read_consistency == ReadConsistency::leader ||
      route.read_age <= Duration(0))
    return choice;
  const DatabaseLeadership* lead = leaderships_->find(service);
  if (!lead)
    return choice;
  LogPosition after = samples_.find(service, lead->number, began - route.read_age);
  if (!after.is_known())
    return choice;
  if (route.read_consistency == ReadConsistency::own_writes)
    after = std::max(after, session.own_position());
  BackendPointer best = choice.backend;
  const auto found = by_service_.find(service);
  if (found == by_service_.end())
    return choice;
  for (const BackendPointer& backend : found->second) {
    if (backend == choice.backend || backend->is_cancelled ||
        backend->status != EndpointStatus::up || backend->id == lead->id)
      continue;
    if (backend->breaker.is_open(now))
      continue;
    const auto health = health_.find(backend.get());
    if (health != health_.end() && now < health->second.lagging_until)
      continue;
    if (best && cost(*backend) >= cost(*best))
      continue;
    best = backend;
    choice = {backend, false, after};
  }
  return choice;
}

bool PoolerLoop::may_wait(Session& session) {
  if (waiting_.size() >= max_waiting)
    return false;
  waiting_.insert(&session);
  timers_.set(tick_, Clock::now() + busy_tick);
  return true;
}

void PoolerLoop::see_refusal(Backend& backend, StatementError verdict, TimePoint now) {
  Health& health = health_[&backend];
  if (verdict == StatementError::lagging) {
    health.lag_pause = std::clamp(health.lag_pause * 2, first_lag_pause, max_lag_pause);
    health.lagging_until = now + health.lag_pause;
  } else if (verdict == StatementError::readonly || verdict == StatementError::wrong_host) {
    health.failing = now;
    has_news_ = true;
  }
}

void PoolerLoop::say(Session& session, std::string bytes) {
  const auto found = by_session_.find(&session);
  if (found == by_session_.end())
    return;
  Client& client = *found->second;
  if (!client.link.send(bytes) && !client.link.is_ended())
    client.link.close();
  if (client.link.is_ended()) {
    session.leave(Clock::now());
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
    left_ = now;
    LOG(INFO) << "pooling: leaving, " << clients_.size() << " sessions open";
  }
  if (now - left_ <= std::min(still_chosen, settings_.grace / 2))
    return;
  if (door_.listener.is_open()) {
    door_.on_ready(true, false);  // whoever waits at the door still comes in
    poller_.leave(door_.listener.socket());
    door_.listener.close();
  }
  const bool may_change = now - left_ < settings_.grace / 2;
  std::vector<Client*> ending;
  for (const auto& [client, kept] : clients_) {
    if (client->session.is_busy())
      continue;
    if (!client->session.is_in_change() || !may_change)
      ending.push_back(client);
  }
  for (Client* client : ending) {
    client->link.on_ready(true, false);  // what just came is served first
    if (!clients_.contains(client) || client->session.is_busy() ||
        (client->session.is_in_change() && may_change))
      continue;
    client->session.leave(now);
    client->link.finish();
    defer_delete(*client);
  }
}

void PoolerLoop::Readiness::on_request(ServerExchange& exchange, TimePoint now) {
  const std::string& target = exchange.request().getURI();
  if (target == row_of(HttpCall::metrics).path)
    return exchange.answer(
        {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", metrics().page()}, now);
  if (target.substr(0, target.find('?')) != row_of(HttpCall::readiness).path)
    return exchange.answer(reply_of(ErrorCode::no_route), now);
  if (pooling_.is_ready())
    return exchange.answer({200, "OK", "", "ready\n"}, now);
  exchange.answer(reply_of(pooling_.is_leaving_ ? ErrorCode::draining : ErrorCode::not_ready), now);
}

}  // namespace saddlewing
