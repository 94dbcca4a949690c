#include "programs/pooling.h"

#include <glog/logging.h>

#include <algorithm>

#include "protocol/calls.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Span busy_tick{100}, calm_tick{250};
constexpr Span still_chosen{
    2500};  // after SIGTERM the platform may go on sending for two missed checks
constexpr Span before_end{700};  // of the grace, kept for the end itself
constexpr Span most_greeting{700}, most_preparing{900};
constexpr Span most_draining{400};     // of a lead given up in good order
constexpr Span emptying_margin{1500};  // before an emptying backend must get nothing more
constexpr Span first_lag_pause{50}, longest_lag_pause{800};
constexpr Span heard_of_late{1500}, oldest_told{900};
constexpr Span least_report{200};
constexpr std::size_t most_waiting = 2048;

void set_bit(std::string& bits, std::size_t place) {
  if (bits.size() <= place / 8)
    bits.resize(place / 8 + 1);
  bits[place / 8] =
      static_cast<char>(static_cast<unsigned char>(bits[place / 8]) | 1u << (place % 8));
}

}  // namespace

Pooling::Client::Client(Pooling& pooling, Channel channel)
    : pooling(pooling),
      link(pooling.poller_, {[this](WireMessage&& message) {
                               session.take(std::move(message), Clock::now());
                               return !session.is_busy();
                             },
                             [this](WireStep step) {
                               if (step == WireStep::too_long || step == WireStep::garbled)
                                 return session.take_wrong(step == WireStep::too_long
                                                               ? Verdict::too_long
                                                               : Verdict::garbled);
                               session.leave(Clock::now());
                               this->pooling.bury(*this);
                             }}),
      session(pooling) {
  link.admit(std::move(channel));
}

void Pooling::Client::on_due(Moment now) {
  session.on_due(now);
}

Pooling::Link::Link(Pooling& pooling, Lane& lane)
    : wire(pooling.poller_, {[&lane](WireMessage&& message) {
                               lane.take_message(std::move(message), Clock::now());
                               return true;
                             },
                             [&lane](WireStep) {
                               lane.take_end();
                             }}) {
}

Pooling::Pooling(const Startup& startup)
    : startup_(startup),
      readiness_(*this),
      ready_server_(poller_, schedule_, readiness_, 64, 1 << 20),
      door_(*this),
      tick_(*this),
      views_(64, [this] { poller_.wake(); }),
      holds_(64, [this] { poller_.wake(); }),
      samples_in_(64, {}),
      pool_({[this](Lane& lane) -> std::unique_ptr<LaneLink> {
               auto link = std::make_unique<Link>(*this, lane);
               if (!link->wire.connect(lane.backend().address))
                 return nullptr;
               metrics().add(Metric::lanes_opened);
               return link;
             },
             [this](Backend& backend, const LogPlace& place, Moment asked) {
               const Lead* lead = leads_->find(backend.service);
               if (!lead || !holds_lead(backend, Clock::now()))
                 return;
               samples_.note(backend.service, lead->number, place, asked);
               own_samples_.note(backend.service, lead->number, place, asked);
               has_news_ = true;
             },
             [this](Backend& backend, bool is_fine) {
               const Moment now = Clock::now();
               Health& health = health_[&backend];
               (is_fine ? health.fine : health.failing) = now;
               if (is_fine)
                 backend.breaker.succeed();
               else
                 backend.breaker.fail(now, true), metrics().add(Metric::breakdowns);
               has_news_ = true;
             },
             [] { return Clock::now(); },
             [this](std::unique_ptr<Lane> lane) {
               lane_graves_.push_back(std::move(lane));
             }}) {
}

Fault Pooling::open() {
  if (Fault found = ready_server_.open(startup_.ready_check))
    return found;
  if (Fault found = door_.listener.open(startup_.front))
    return found;
  poller_.watch(door_.listener.socket(), Poller::read, door_);
  return {};
}

void Pooling::Door::on_ready(bool, bool) {
  for (int round = 0; round < 64; ++round) {
    auto channel = listener.admit();
    if (!channel)
      return;
    if (pooling_.clients_.size() >=
        static_cast<std::size_t>(pooling_.startup_.file_handles) * 3 / 4)
      continue;  // closed by its destructor
    auto fresh = std::make_unique<Client>(pooling_, std::move(*channel));
    Client* client = fresh.get();
    pooling_.by_session_[&client->session] = client;
    pooling_.clients_[client] = std::move(fresh);
  }
}

void Pooling::bury(Client& client) {
  const auto found = clients_.find(&client);
  if (found == clients_.end())
    return;
  waiting_.erase(&client.session);
  schedule_.drop(client);
  client.link.close();
  client_graves_.push_back(std::move(found->second));
  clients_.erase(found);
}

void Pooling::run() {
  tick(Clock::now());
  for (;;) {
    poller_.poll(schedule_.until_next(Clock::now(), is_leaving_ ? Span(50) : Span(1000)));
    const Moment now = Clock::now();
    auto views = views_.take();
    if (!views.empty())
      take_view(std::move(views.back()), now);
    for (const SampleNews& news : samples_in_.take())
      samples_.take(news.samples, news.built);
    for (HoldNews& news : holds_.take())
      take_hold(std::move(news), now);
    schedule_.run(now);
    ready_server_.reap();
    for (auto& grave : client_graves_)
      by_session_.erase(&grave->session);
    client_graves_.clear();
    lane_graves_.clear();
    if (!should_leave_)
      continue;
    check_leaving(now);
    if (is_leaving_ && (now - left_ > startup_.grace - before_end ||
                        (now - left_ > still_chosen && clients_.empty())))
      return;
  }
}

void Pooling::tick(Moment now) {
  if (pool_.is_restless())
    pool_.check_late(most_greeting, most_preparing, now);
  end_draining(now);
  if (!waiting_.empty())
    wake_waiting(now);
  if (now - reported_ >= least_report)
    report(now);
  schedule_.set(tick_,
                now + (pool_.is_restless() || !waiting_.empty() || !draining_.empty() ? busy_tick
                                                                                      : calm_tick));
}

void Pooling::take_view(ViewSnapshot view, Moment now) {
  const bool is_first = !view_->configuration;
  view_ = std::move(view);
  std::map<std::string, BackendPointer> kept;
  for (const RosterEntry& entry : view_->backends) {
    BackendPointer backend = keep_backend(backends_, entry, startup_.localities, now);
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
void Pooling::take_hold(HoldNews news, Moment now) {
  hold_until_ = std::max(hold_until_, news.until);
  if (news.leads && news.leads->mark > leads_->mark) {
    const auto before = std::exchange(leads_, std::move(news.leads));
    for (const Lead& lead : before->leads) {
      const Lead* next = leads_->find(lead.service);
      if (lead.phase != Lead::Phase::led ||
          (next && next->id == lead.id && next->phase == Lead::Phase::led))
        continue;
      const auto backend = backends_.find(lead.id);
      if (backend == backends_.end())
        continue;
      LOG(INFO) << "pooling: " << lead.service << " is led by " << lead.id << " no more";
      if (next && next->is_planned && next->phase == Lead::Phase::closing &&
          pool_.at_work(*backend->second))
        draining_[lead.id] = now + most_draining;
      else
        pool_.leave(*backend->second, true);
    }
    end_draining(now);
    schedule_.set(tick_, now + busy_tick);
  }
  wake_waiting(now);
}

void Pooling::end_draining(Moment now) {
  std::erase_if(draining_, [&](const auto& item) {
    const auto backend = backends_.find(item.first);
    if (backend != backends_.end() && pool_.at_work(*backend->second) && now < item.second)
      return false;
    if (backend != backends_.end())
      pool_.leave(*backend->second, true);
    return true;
  });
  if (!draining_.empty() || confirmed_mark_ == leads_->mark)
    return;
  confirmed_mark_ = leads_->mark;
  if (follower_)
    follower_->confirm_leads(confirmed_mark_);
}

void Pooling::wake_waiting(Moment now) {
  const std::set<Session*> woken = std::exchange(waiting_, {});
  for (Session* session : woken)
    if (by_session_.contains(session) && session->state() == Session::State::seeking)
      session->proceed(now);
}

void Pooling::report(Moment now) {
  if (!has_news_ || !follower_)
    return;
  has_news_ = false;
  reported_ = now;
  Evidence evidence;
  evidence.mark = leads_->mark;
  for (std::size_t place = 0; place < leads_->leads.size(); ++place) {
    const auto backend = backends_.find(leads_->leads[place].id);
    if (backend == backends_.end())
      continue;
    const auto health = health_.find(backend->second.get());
    if (health == health_.end())
      continue;
    const auto& [fine, failing, until, pause] = health->second;
    if (fine != Moment{} && now - fine < heard_of_late && fine > failing)
      set_bit(evidence.fine, place);
    if (failing > fine && now - failing < heard_of_late)
      set_bit(evidence.failing, place);
  }
  evidence.samples = own_samples_.tell(now, oldest_told);
  evidence.built = now;
  metrics().set(Metric::visits, static_cast<std::int64_t>(clients_.size()));
  metrics().set(Metric::lanes, static_cast<std::int64_t>(pool_.count()));
  metrics().set(Metric::waiting, static_cast<std::int64_t>(waiting_.size() + pool_.waiting()));
  metrics().set(Metric::ready, is_ready());
  follower_->report(std::move(evidence));
}

BackendPointer Pooling::lead_of(const std::string& service, Moment now) const {
  const Lead* lead = leads_->find(service);
  if (!lead || lead->phase != Lead::Phase::led || now >= hold_until_)
    return nullptr;
  const auto found = backends_.find(lead->id);
  if (found == backends_.end())
    return nullptr;
  const auto emptying = emptying_.find(lead->id);
  if (emptying != emptying_.end() && now - emptying->second > startup_.empty_out - emptying_margin)
    return nullptr;
  return found->second;
}

bool Pooling::holds_lead(const Backend& backend, Moment now) const {
  const Lead* lead = leads_->find(backend.service);
  if (!lead || lead->id != backend.id || now >= hold_until_)
    return false;
  return lead->phase == Lead::Phase::led || draining_.contains(backend.id);
}

int Pooling::cost(const Backend& backend) const {
  return backend.locality == startup_.locality ? 0 : backend.region == startup_.region ? 1 : 2;
}

DatabaseChoice Pooling::choose(const Session& session, const std::string& service, const Rule& rule,
                               bool must_lead, Moment began, Moment now) {
  DatabaseChoice choice{lead_of(service, now), true, {}};
  if (must_lead || rule.sight == Sight::leader || rule.read_age <= Span(0))
    return choice;
  const Lead* lead = leads_->find(service);
  if (!lead)
    return choice;
  LogPlace after = samples_.find(service, lead->number, began - rule.read_age);
  if (!after.is_known())
    return choice;
  if (rule.sight == Sight::own_writes)
    after = std::max(after, session.own_place());
  BackendPointer best = choice.backend;
  const auto found = by_service_.find(service);
  if (found == by_service_.end())
    return choice;
  for (const BackendPointer& backend : found->second) {
    if (backend == choice.backend || backend->is_cancelled || backend->status != Status::up ||
        backend->id == lead->id)
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

bool Pooling::may_wait(Session& session) {
  if (waiting_.size() >= most_waiting)
    return false;
  waiting_.insert(&session);
  schedule_.set(tick_, Clock::now() + busy_tick);
  return true;
}

void Pooling::see_refusal(Backend& backend, Verdict verdict, Moment now) {
  Health& health = health_[&backend];
  if (verdict == Verdict::lagging) {
    health.lag_pause = std::clamp(health.lag_pause * 2, first_lag_pause, longest_lag_pause);
    health.lagging_until = now + health.lag_pause;
  } else if (verdict == Verdict::readonly || verdict == Verdict::wrong_host) {
    health.failing = now;
    has_news_ = true;
  }
}

void Pooling::say(Session& session, std::string bytes) {
  const auto found = by_session_.find(&session);
  if (found == by_session_.end())
    return;
  Client& client = *found->second;
  if (!client.link.send(bytes) && !client.link.is_ended())
    client.link.close();
  if (client.link.is_ended()) {
    session.leave(Clock::now());
    return bury(client);
  }
  if (!session.is_busy())
    client.link.resume();
}

void Pooling::close(Session& session) {
  if (const auto found = by_session_.find(&session); found != by_session_.end())
    found->second->link.finish();
}

void Pooling::set_due(Session& session, Moment due) {
  const auto found = by_session_.find(&session);
  if (found == by_session_.end())
    return;
  if (due == Moment::max())
    schedule_.drop(*found->second);
  else
    schedule_.set(*found->second, due);
}

int Pooling::most_lanes(const Service& service) const {
  const auto poolers = static_cast<int>(std::max<std::uint64_t>(1, view_->brokers));
  return std::max(1, service.most_connections * 4 / 5 / poolers);
}

void Pooling::check_leaving(Moment now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    left_ = now;
    LOG(INFO) << "pooling: leaving, " << clients_.size() << " sessions open";
  }
  if (now - left_ <= std::min(still_chosen, startup_.grace / 2))
    return;
  if (door_.listener.is_open()) {
    door_.on_ready(true, false);  // whoever waits at the door still comes in
    poller_.leave(door_.listener.socket());
    door_.listener.close();
  }
  const bool may_change = now - left_ < startup_.grace / 2;
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
    bury(*client);
  }
}

void Pooling::Readiness::on_request(Visit& visit, Moment now) {
  const std::string& target = visit.request().getURI();
  if (target == row_of(Call::metrics).path)
    return visit.answer(
        {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", metrics().page()}, now);
  if (target.substr(0, target.find('?')) != row_of(Call::readiness).path)
    return visit.answer(reply_of(Kind::no_rule), now);
  if (pooling_.is_ready())
    return visit.answer({200, "OK", "", "ready\n"}, now);
  visit.answer(reply_of(pooling_.is_leaving_ ? Kind::draining : Kind::not_ready), now);
}

}  // namespace saddlewing
