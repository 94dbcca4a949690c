#include "registry/failover_service.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration promotion_margin{100};  // before the lease ends, for the call to leave
constexpr Duration settle_margin{100};     // for clocks that run a little apart
constexpr Duration max_sample_age{1400};
constexpr std::uint64_t max_span_ms = 60000;  // of times that a pooler tells

Duration bounded_span(std::uint64_t milliseconds) {
  return Duration(static_cast<std::int64_t>(std::min(milliseconds, max_span_ms)));
}

}  // namespace

FailoverOptions failover_options(const NodeSettings& settings) {
  FailoverOptions options;
  options.backend_heartbeat_interval = settings.backend_heartbeat_interval;
  options.lease = settings.leadership_lease;
  options.takeover_wait = settings.leadership_lease + settings.election + settle_margin;
  return options;
}

FailoverService::FailoverService(const NodeSettings& settings, ControlContext& context,
                                 const EndpointTable& backends, FailoverEnvironment& environment)
    : is_enabled_(settings.is_signing_up),
      context_(context),
      backends_(backends),
      environment_(environment),
      failover_(failover_options(settings)) {
}

void FailoverService::handle_subscription(const FrameHead& from, const SubscribeRequest& request,
                                          std::optional<TimePoint> echoed_at,
                                          ControlHeartbeat& heartbeat, TimePoint now) {
  failover_.record_pooler(from.from, from.incarnation, request.leadership_revision, request.zone,
                          request.failing_leaderships, request.healthy_leaderships, now);
  if (echoed_at && !request.samples.empty())
    record_samples(request, *echoed_at);
  if (!context_.is_leased(now) || context_.is_shutting_down())
    return;
  if (const auto lease = failover_.grant(from.from, from.incarnation, now))
    heartbeat.lease = static_cast<std::uint64_t>(lease->count());
}

// The request was built `gap` after the echoed heartbeat came there, so not before that long after
// the heartbeat left here.
void FailoverService::record_samples(const SubscribeRequest& request, TimePoint echoed_at) {
  const TimePoint built_at = echoed_at + bounded_span(request.echo_delay);
  samples_.merge(request.samples, built_at - bounded_span(request.samples_age));
}

std::string FailoverService::encode_samples(TimePoint now) const {
  return samples_.encode(now, max_sample_age);
}

void FailoverService::tick(TimePoint now) {
  if (!is_enabled_)
    return;
  take_committed(now);
  if (last_term_ != context_.term() || !context_.is_leader())
    failover_.tick(false, leaderships_, {}, {}, now);
  last_term_ = context_.term();
  // Without a lease nothing is begun; the lease may come back within this term.
  if (!context_.is_leased(now) || !environment_.configuration() || context_.is_shutting_down())
    return;
  failover_.tick(true, leaderships_, synchronous_replicas(), databases(), now);
  Failover::Output output = failover_.take_output();
  for (const std::string& line : output.log_lines)
    LOG(INFO) << "leads: " << line;
  for (const Failover::DatabaseCommand& command : output.commands)
    send_command(command);
  for (const Failover::PromotionCall& call : output.promotions)
    send_promotion(call, now);
  if (output.proposal)
    context_.propose_document(leadership_document, encode_leaderships(*output.proposal),
                              leadership_proposal_token, now);
}

void FailoverService::take_committed(TimePoint now) {
  const EntrySnapshot& committed = context_.committed();
  if (!committed || committed == seen_entry_)
    return;
  seen_entry_ = committed;
  const auto found = committed->documents.find(leadership_document);
  if (found == committed->documents.end())
    return;
  LeadershipTable table;
  if (!decode_leaderships(found->second, table) || table.revision <= leaderships_.revision)
    return;
  leaderships_ = std::move(table);
  encoded_leaderships_ = found->second;
  environment_.notify_poolers(now);
}

// How many synchronous replicas each service wants, by name of the service.
std::map<std::string, int> FailoverService::synchronous_replicas() const {
  std::map<std::string, int> replicas;
  for (const Service& service : environment_.configuration()->services)
    replicas[service.name] = service.sync;
  return replicas;
}

std::vector<DatabaseEndpoint> FailoverService::databases() const {
  std::vector<DatabaseEndpoint> databases;
  for (const auto& [id, leased] : backends_.endpoints()) {
    const EndpointPhase phase = leased.endpoint.phase;
    databases.push_back({id, leased.endpoint.address, leased.endpoint.service, leased.endpoint.zone,
                         leased.endpoint.is_leader, phase == EndpointPhase::ready,
                         phase == EndpointPhase::gone, leased.last_heartbeat});
  }
  return databases;
}

void FailoverService::send_command(const Failover::DatabaseCommand& order) {
  const auto found = backends_.endpoints().find(order.id);
  const Endpoint database =
      found == backends_.endpoints().end() ? Endpoint{} : found->second.endpoint;
  DispatchedCommand command;
  command.token = order.token;
  command.service = database.service;
  command.id = order.id;
  command.address = database.address;
  command.text = order.text;
  command.owner_number = context_.term().value;
  command.until = context_.lease_until();
  if (!environment_.dispatch(std::move(command)))
    LOG(ERROR) << "leads: envoy is behind";
}

void FailoverService::send_promotion(const Failover::PromotionCall& call, TimePoint now) {
  DispatchedCommand command;
  command.token = call.token;
  command.service = call.service;
  command.id = call.id;
  command.owner_number = context_.term().value;
  command.until = context_.lease_until() - promotion_margin;
  if (!environment_.dispatch(std::move(command)))
    failover_.finish_promotion(call.token, 0, now);
}

}  // namespace saddlewing
