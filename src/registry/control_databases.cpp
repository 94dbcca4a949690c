// The agree thread's care for backends that tell of themselves, and for the leads of databases.
#include <glog/logging.h>

#include "registry/control_loop.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t document_token = ~0ull;  // of a proposed table of leads
constexpr Duration renewed_every{400};
constexpr Duration promotion_margin{100};  // of a lease: for a call of duty to leave
constexpr Duration settle_margin{
    100};  // beyond the hold and the election, for clocks that run a little apart

}  // namespace

FailoverOptions failover_options(const NodeSettings& settings) {
  FailoverOptions options;
  options.backend_heartbeat_interval = settings.backend_heartbeat_interval;
  options.lease = settings.leadership_lease;
  options.settle = settings.leadership_lease + settings.election + settle_margin;
  return options;
}

void ControlLoop::handle_backend_call(BackendCall& call, TimePoint now) {
  // A cancel that only a registry cut off from the others holds would be acknowledged and not
  // followed.
  const bool is_cancel = call.entry.phase != EndpointPhase::ready;
  if (!settings_.is_signing_up || (is_cancel && !raft_.is_confirmed(now)))
    return operator_api_->tell({call.token, false, {}});
  const std::string zone = call.entry.zone;
  registry_.sign(call.entry, now);
  if (is_cancel)
    registry_due_ = now;  // the others hear of it at once
  std::string body = "{}\n";
  if (zone != settings_.zone && !is_cancel)
    for (const auto& [address, peer] : peers_) {
      Address parsed;
      if (peer.zone != zone || now - peer.last_contact > whole_silence ||
          !parse_address(address, parsed))
        continue;
      body = "{\"next_beat_to\":\"" + Address{parsed.host, settings_.control.port}.text() + "\"}\n";
      break;
    }
  operator_api_->tell({call.token, true, body});
}

void ControlLoop::update_databases(TimePoint now) {
  if (!settings_.is_signing_up)
    return;
  if (now >= renewed_due_) {
    renewed_due_ = now + renewed_every;
    if (const RenewedIds renewed = registry_.take_renewed(now); !renewed.items.empty()) {
      const std::string bytes = encode(head(), renewed);
      for (const std::string& address : raft_.known_addresses())
        send_to(address, bytes);
    }
  }
  const EntrySnapshot& committed = raft_.committed();
  if (committed && committed != leaderships_seen_) {
    leaderships_seen_ = committed;
    const auto document = committed->documents.find(leadership_document);
    LeadershipTable table;
    if (document != committed->documents.end() && decode_leaderships(document->second, table) &&
        table.revision > leaderships_.revision) {
      leaderships_ = std::move(table);
      leaderships_text_ = document->second;
      for (auto& [from, broker] : brokers_)
        if (broker.is_pooler)
          send_heartbeat(broker, false, now);
    }
  }
  if (led_term_ != raft_.term() || !raft_.is_leader())
    failover_.tick(false, leaderships_, {}, {}, now);
  led_term_ = raft_.term();
  // Without a lease nothing is begun; it may come back within this term.
  if (!raft_.is_leased(now) || !configuration_ || should_leave_)
    return;
  std::map<std::string, int> services;
  for (const Service& service : configuration_->services)
    services[service.name] = service.sync;
  std::vector<DatabaseEndpoint> seats;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase != EndpointPhase::gone)
      seats.push_back({id, line.entry.service, line.entry.zone, line.entry.is_leader,
                       line.entry.phase == EndpointPhase::ready, line.last_heartbeat});
  failover_.tick(true, leaderships_, services, seats, now);
  Failover::Output output = failover_.take();
  for (const std::string& news : output.news)
    LOG(INFO) << "leads: " << news;
  const auto address_of = [&](const std::string& id) {
    const auto line = registry_.lines().find(id);
    return line == registry_.lines().end() ? Endpoint{} : line->second.entry;
  };
  for (const Failover::Order& order : output.orders) {
    const Endpoint entry = address_of(order.id);
    if (!dispatcher_->order({order.token,
                             entry.service,
                             order.id,
                             entry.address,
                             order.text,
                             {},
                             raft_.term().value,
                             raft_.lease_until()}))
      LOG(ERROR) << "leads: envoy is behind";
  }
  for (const Failover::PromotionCall& promote : output.raises)
    if (!dispatcher_->order({promote.token,
                             promote.service,
                             promote.id,
                             {},
                             {},
                             {},
                             raft_.term().value,
                             raft_.lease_until() - promotion_margin}))
      failover_.finish_promotion(promote.token, 0, now);
  if (output.proposal)
    raft_.propose_document(leadership_document, encode_leaderships(*output.proposal),
                           document_token, now);
}

void ControlLoop::handle_pooler(const FrameHead& from, const SubscribeRequest& follow,
                                Broker& broker, ControlHeartbeat& heartbeat, TimePoint now) {
  broker.is_pooler = true;
  failover_.record_pooler(from.from, from.incarnation, follow.leadership_revision, follow.zone,
                          follow.failing_leaderships, follow.healthy_leaderships, now);
  // The follow was built that long after our beat came there, so not before that long after it
  // left.
  if (const auto sent = broker.heartbeats.find(follow.echo_incarnation, follow.echo_serial);
      sent && !follow.samples.empty())
    samples_.take(
        follow.samples,
        *sent +
            Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(follow.echo_delay, 60000))) -
            Duration(
                static_cast<std::int64_t>(std::min<std::uint64_t>(follow.samples_age, 60000))));
  if (raft_.is_leased(now) && !should_leave_)
    if (const auto lease = failover_.grant(from.from, from.incarnation, now))
      heartbeat.lease = static_cast<std::uint64_t>(lease->count());
}

}  // namespace saddlewing
