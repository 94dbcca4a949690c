#include "control_client/pooler_subscription.h"

#include <algorithm>
#include <chrono>
#include <memory>

#include "control_client/lease_duration.h"
#include "protocol/control_messages.h"

namespace saddlewing {
namespace {

constexpr Duration max_sample_age{1500};

}  // namespace

void PoolerSubscription::set_listeners(std::function<void(LeadershipUpdate)> notify_leaderships,
                                       std::function<void(SampleUpdate)> notify_samples) {
  notify_leaderships_ = std::move(notify_leaderships);
  notify_samples_ = std::move(notify_samples);
}

bool PoolerSubscription::take_confirmation() {
  const std::uint64_t revision = confirmed_;
  if (revision == notified_)
    return false;
  notified_ = revision;
  return true;
}

void PoolerSubscription::update_evidence() {
  for (LeadershipEvidence& evidence : reports_.take())
    evidence_ = std::move(evidence);
}

void PoolerSubscription::add_to(SubscribeRequest& request, const std::string& zone,
                                const HeartbeatEcho& echo, bool is_leader, bool is_selected) const {
  request.leadership_revision = confirmed_;
  if (!is_pooler())
    return;
  request.zone = zone;
  if (!is_leader && !is_selected)
    return;
  if (evidence_.revision == request.leadership_revision) {
    request.failing_leaderships = evidence_.failing;
    request.healthy_leaderships = evidence_.fine;
  }
  if (is_selected)
    add_samples(request, echo);
}

void PoolerSubscription::add_samples(SubscribeRequest& request, const HeartbeatEcho& echo) const {
  if (echo.serial == 0 || Clock::now() - evidence_.built >= max_sample_age)
    return;
  const TimePoint now = Clock::now();
  const Duration age = std::chrono::ceil<Duration>(now - evidence_.built);
  request.samples = evidence_.samples;
  request.samples_age = static_cast<std::uint64_t>(age.count());
  request.echo_incarnation = echo.incarnation;
  request.echo_serial = echo.serial;
  request.echo_delay = static_cast<std::uint64_t>(elapsed(echo.received_at, now).count());
}

void PoolerSubscription::handle_leaderships(const ControlHeartbeat& heartbeat,
                                            TimePoint requested_at) {
  if (!is_pooler())
    return;
  LeadershipUpdate update;
  if (!heartbeat.leaderships.empty() && heartbeat.leadership_revision > revision_) {
    auto table = std::make_shared<LeadershipTable>();
    if (decode_leaderships(heartbeat.leaderships, *table) &&
        table->revision == heartbeat.leadership_revision) {
      revision_ = table->revision;
      update.leaderships = std::move(table);
    }
  }
  if (heartbeat.lease)
    lease_until_ = std::max(lease_until_, requested_at + lease_duration(heartbeat));
  update.until = lease_until_;
  if (update.leaderships || heartbeat.lease)
    notify_leaderships_(std::move(update));
}

// The heartbeat answers the request, so that the ages in it were counted after that left.
void PoolerSubscription::handle_samples(HeartbeatEcho& echo, IncarnationId incarnation,
                                        ControlHeartbeat& heartbeat, TimePoint requested_at,
                                        TimePoint now) {
  if (!notify_samples_)
    return;
  echo = {incarnation, heartbeat.serial, now};
  if (!heartbeat.samples.empty())
    notify_samples_({std::move(heartbeat.samples), requested_at});
}

}  // namespace saddlewing
