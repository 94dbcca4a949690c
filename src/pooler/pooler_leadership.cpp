// How the pooler follows what the registries agreed: databases, who leads each, and which copy a
// read may go to.
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "pooler/pooler_loop.h"
#include "protocol/database_protocol.h"
#include "protocol/discovery_messages.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Duration recheck_interval{100};  // while leaderships drain
constexpr Duration max_draining{400};      // of a leadership given up in good order
constexpr Duration emptying_margin{1500};  // before an emptying backend must get nothing more
constexpr Duration recent_contact{1500};   // a backend that answered since counts as healthy
constexpr Duration max_sample_age{900};    // older log positions are not reported

void set_bit(std::string& bits, std::size_t position) {
  if (bits.size() <= position / 8)
    bits.resize(position / 8 + 1);
  bits[position / 8] =
      static_cast<char>(static_cast<unsigned char>(bits[position / 8]) | 1u << (position % 8));
}

}  // namespace

void PoolerLoop::apply_view(ViewSnapshot view, TimePoint now) {
  const bool is_first = !view_->configuration;
  view_ = std::move(view);
  std::map<std::string, BackendPointer> kept;
  for (const Endpoint& entry : view_->backends) {
    BackendPointer backend = update_backend(backends_, entry, settings_.zones, now);
    if (!backend)
      continue;
    if (backend->is_draining)
      emptying_.try_emplace(entry.id, now);
    kept[entry.id] = std::move(backend);
  }
  for (const auto& [id, backend] : backends_) {
    if (!kept.contains(id)) {
      backend->is_draining = true;
      emptying_.erase(id);
      pool_.leave(*backend, false);
    } else if (backend->is_draining) {
      pool_.leave(*backend, false);
    }
  }
  backends_ = std::move(kept);
  by_service_.clear();
  for (const auto& [id, backend] : backends_)
    by_service_[backend->service].push_back(backend);
  if (view_->configuration)
    metrics().set(Metric::configuration_version, view_->configuration->version.value);
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
    timers_.set(tick_, now + recheck_interval);
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
  if (!has_new_evidence_ || !control_client_)
    return;
  has_new_evidence_ = false;
  last_report_ = now;
  LeadershipEvidence evidence;
  evidence.revision = leaderships_->revision;
  for (std::size_t position = 0; position < leaderships_->leaderships.size(); ++position) {
    const auto backend = backends_.find(leaderships_->leaderships[position].id);
    if (backend == backends_.end())
      continue;
    const auto health = health_.find(backend->second.get());
    if (health == health_.end())
      continue;
    const auto& [fine, failing, until, pause] = health->second;
    if (fine != TimePoint{} && now - fine < recent_contact && fine > failing)
      set_bit(evidence.fine, position);
    if (failing > fine && now - failing < recent_contact)
      set_bit(evidence.failing, position);
  }
  evidence.samples = own_samples_.encode(now, max_sample_age);
  evidence.built = now;
  metrics().set(Metric::client_connections, static_cast<std::int64_t>(clients_.size()));
  metrics().set(Metric::database_connections, static_cast<std::int64_t>(pool_.count()));
  metrics().set(Metric::waiting_sessions,
                static_cast<std::int64_t>(waiting_.size() + pool_.waiting()));
  metrics().set(Metric::is_ready, is_ready());
  control_client_->report_evidence(std::move(evidence));
}

BackendPointer PoolerLoop::leader_of(const std::string& service, TimePoint now) const {
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
  DatabaseChoice choice{leader_of(service, now), true, {}};
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
    if (backend == choice.backend || backend->is_draining ||
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

}  // namespace saddlewing
