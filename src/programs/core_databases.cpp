// The agree thread's care for backends that tell of themselves, and for the leads of databases.
#include <glog/logging.h>

#include "programs/core.h"

namespace saddlewing {
namespace {

constexpr std::uint64_t sheet_token = ~0ull;  // of a proposed table of leads
constexpr Span renewed_every{400};
constexpr Span raise_margin{100};  // of a lease: for a call of duty to leave
constexpr Span settle_margin{
    100};  // beyond the hold and the election, for clocks that run a little apart

}  // namespace

FailoverOptions failover_options(const Startup& startup) {
  FailoverOptions options;
  options.beat_every = startup.beat_every;
  options.hold = startup.lead_hold;
  options.settle = startup.lead_hold + startup.election + settle_margin;
  return options;
}

void Core::take_backend(BackendCall& call, Moment now) {
  // A cancel that only a registry cut off from the others holds would be acknowledged and not
  // followed.
  const bool is_cancel = call.entry.phase != Phase::ready;
  if (!startup_.is_signing_up || (is_cancel && !agreement_.is_confirmed(now)))
    return desk_->tell({call.token, false, {}});
  const std::string locality = call.entry.locality;
  registry_.sign(call.entry, now);
  if (is_cancel)
    registry_due_ = now;  // the others hear of it at once
  std::string body = "{}\n";
  if (locality != startup_.locality && !is_cancel)
    for (const auto& [address, peer] : peers_) {
      Address parsed;
      if (peer.locality != locality || now - peer.heard > whole_silence ||
          !parse_address(address, parsed))
        continue;
      body = "{\"next_beat_to\":\"" + Address{parsed.host, startup_.control.port}.text() + "\"}\n";
      break;
    }
  desk_->tell({call.token, true, body});
}

void Core::tend_databases(Moment now) {
  if (!startup_.is_signing_up)
    return;
  if (now >= renewed_due_) {
    renewed_due_ = now + renewed_every;
    if (const RenewedIds renewed = registry_.take_renewed(now); !renewed.items.empty()) {
      const std::string bytes = encode(head(), renewed);
      for (const std::string& address : agreement_.known_addresses())
        send_to(address, bytes);
    }
  }
  const EntrySnapshot& committed = agreement_.committed();
  if (committed && committed != leads_seen_) {
    leads_seen_ = committed;
    const auto sheet = committed->sheets.find(leads_sheet);
    LeadTable table;
    if (sheet != committed->sheets.end() && decode_leads(sheet->second, table) &&
        table.mark > leads_.mark) {
      leads_ = std::move(table);
      leads_text_ = sheet->second;
      for (auto& [from, broker] : brokers_)
        if (broker.is_pooler)
          send_beat(broker, false, now);
    }
  }
  if (led_term_ != agreement_.term() || !agreement_.is_leader())
    failover_.tick(false, leads_, {}, {}, now);
  led_term_ = agreement_.term();
  // Without a lease nothing is begun; it may come back within this term.
  if (!agreement_.is_leased(now) || !configuration_ || should_leave_)
    return;
  std::map<std::string, int> services;
  for (const Service& service : configuration_->services)
    services[service.name] = service.sync;
  std::vector<DatabaseSeat> seats;
  for (const auto& [id, line] : registry_.lines())
    if (line.entry.phase != Phase::gone)
      seats.push_back({id, line.entry.service, line.entry.locality, line.entry.is_leader,
                       line.entry.phase == Phase::ready, line.beaten});
  failover_.tick(true, leads_, services, seats, now);
  Failover::Output output = failover_.take();
  for (const std::string& news : output.news)
    LOG(INFO) << "leads: " << news;
  const auto address_of = [&](const std::string& id) {
    const auto line = registry_.lines().find(id);
    return line == registry_.lines().end() ? RosterEntry{} : line->second.entry;
  };
  for (const Failover::Order& order : output.orders) {
    const RosterEntry entry = address_of(order.id);
    if (!envoy_->order({order.token,
                        entry.service,
                        order.id,
                        entry.address,
                        order.text,
                        {},
                        agreement_.term().value,
                        agreement_.lease_until()}))
      LOG(ERROR) << "leads: envoy is behind";
  }
  for (const Failover::Raise& raise : output.raises)
    if (!envoy_->order({raise.token,
                        raise.service,
                        raise.id,
                        {},
                        {},
                        {},
                        agreement_.term().value,
                        agreement_.lease_until() - raise_margin}))
      failover_.finish_raise(raise.token, 0, now);
  if (output.proposal)
    agreement_.propose_sheet(leads_sheet, encode_leads(*output.proposal), sheet_token, now);
}

void Core::take_pooler(const FrameHead& from, const Follow& follow, Broker& broker, Beat& beat,
                       Moment now) {
  broker.is_pooler = true;
  failover_.note_pooler(from.from, from.life, follow.leads_mark, follow.locality, follow.failing,
                        follow.fine, now);
  // The follow was built that long after our beat came there, so not before that long after it
  // left.
  if (const auto sent = broker.beats.find(follow.echo_life, follow.echo);
      sent && !follow.samples.empty())
    samples_.take(
        follow.samples,
        *sent + Span(static_cast<std::int64_t>(std::min<std::uint64_t>(follow.gap, 60000))) -
            Span(static_cast<std::int64_t>(std::min<std::uint64_t>(follow.samples_age, 60000))));
  if (agreement_.is_leased(now) && !should_leave_)
    if (const auto hold = failover_.grant(from.from, from.life, now))
      beat.hold = static_cast<std::uint64_t>(hold->count());
}

}  // namespace saddlewing
