#include "programs/core.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "state/metrics.h"
#include "state/packing.h"

namespace saddlewing {
namespace {

constexpr Span call_wait{850};  // a little less than the desk waits
constexpr Span longest_wait{100};
constexpr std::size_t most_steps = 128;

std::vector<std::string> inner_addresses(const std::vector<Address>& contacts, int port) {
  std::vector<std::string> addresses;
  for (const Address& contact : contacts)
    addresses.push_back(Address{contact.host, port}.text());
  return addresses;
}

AgreementOptions agreement_options(const Startup& startup, LifeId life,
                                   const std::string& address) {
  AgreementOptions options;
  options.address = address;
  options.beat = startup.beat;
  options.election = startup.election;
  options.draw = life.value;
  options.voters = static_cast<std::uint32_t>(startup.can_lose) * 2 + 1;
  options.silent = silent_span(startup.catch_up, startup.election);
  options.leave_wait = std::min(startup.catch_up / 2, startup.grace / 3);
  return options;
}

RegistryOptions registry_options(const Startup& startup) {
  RegistryOptions options;
  options.renewal = startup.renewal;
  options.hold = startup.hold;
  options.sweep = startup.sweep;
  options.renewal_threshold = startup.renewal_threshold;
  options.is_preserving = startup.is_preserving;
  options.tombstone = registry_tombstone(startup);
  options.is_signing_up = startup.is_signing_up;
  return options;
}

}  // namespace

Core::Core(const Startup& startup, Durable durable, LifeId life)
    : startup_(startup),
      life_(life),
      address_(Address{startup.ip_address, startup.inner_port}.text()),
      events_(4096, [this] { waker_.wake(); }),
      contacts_(4, [this] { waker_.wake(); }),
      agreement_(std::move(durable), agreement_options(startup, life, address_),
                 inner_addresses(startup.contacts, startup.inner_port), Clock::now()),
      registry_(registry_options(startup)),
      failover_(failover_options(startup)),
      ring_moves_(move_options(startup)),
      edge_judge_(edge_options(startup)),
      edge_rollout_(startup.rollout_wait),
      rollout_(startup.rollout_wait),
      grants_(startup.extra_tries, startup.follow * 5, startup.retry_span),
      calls_(life),
      steps_(most_steps) {
  born_ = Clock::now();
}

Fault Core::open() {
  return hub_.open(context_, Address{startup_.ip_address, startup_.inner_port});
}

void Core::start(Desk& desk, Lookout& lookout, Vault& vault, Envoy& envoy) {
  envoy_ = &envoy;
  desk_ = &desk;
  lookout_ = &lookout;
  vault_ = &vault;
  thread_ = std::thread([this] { run(); });
}

void Core::set_contacts(const std::vector<Address>& contacts) {
  contacts_.replace(inner_addresses(contacts, startup_.inner_port));
}

void Core::reach(const std::string& address) {
  if (address == address_ || spokes_.contains(address))
    return;
  Address parsed;
  if (parse_address(address, parsed))
    spokes_[address] = std::make_unique<Spoke>(context_, parsed);
}

void Core::send_to(const std::string& address, const std::string& bytes) {
  reach(address);
  if (const auto found = spokes_.find(address); found != spokes_.end())
    found->second->send(bytes);
}

void Core::run() {
  Moment leave_by = Moment::max();
  std::vector<void*> handles;
  while (Clock::now() < leave_by) {
    const auto addresses = agreement_.known_addresses();
    for (const std::string& address : addresses)
      reach(address);
    std::erase_if(spokes_, [&](const auto& spoke) {
      return std::find(addresses.begin(), addresses.end(), spoke.first) == addresses.end() &&
             !peers_.contains(spoke.first);
    });
    handles.assign({hub_.handle()});
    for (const auto& [address, spoke] : spokes_)
      handles.push_back(spoke->handle());
    const Span wait = std::clamp(
        std::chrono::ceil<Span>(std::min(agreement_.next_due(), registry_due_) - Clock::now()),
        Span(0), longest_wait);
    wait_links(handles, waker_, wait);
    for (CoreEvent& event : events_.take())
      take_event(event, Clock::now());
    for (auto& contacts : contacts_.take())
      agreement_.set_contacts(std::move(contacts));
    take_each(
        512, [&] { return hub_.receive(); }, Clock::now,
        [&](const Parcel& parcel, Moment came) { take_parcel(parcel, came); });
    const Moment now = Clock::now();
    for (const auto& [address, spoke] : spokes_)
      while (spoke->receive()) {
      }  // nothing is said on this way back
    agreement_.tick(now);
    route_calls(now);
    handle_output(now);
    note_commit(now);
    tend_registry(now);
    tend_databases(now);
    tend_ring(now);
    tend_edges(now);
    grants_.lead(agreement_.is_leader() && agreement_.is_confirmed(now), now);
    envoy_->set_lease(agreement_.term(), agreement_.lease_until());
    tend_brokers(now);
    tend_rollout(now);
    handle_output(now);
    if (should_leave_ && leave_by == Moment::max()) {
      if (!std::exchange(is_leaving_, true))
        LOG(INFO) << "agree: leaving";
      agreement_.leave(now);
      handle_output(now);
      if (agreement_.has_left())
        leave_by = now + call_wait;
    }
    // Calls at work are answered first, by whoever leads now.
    if (leave_by != Moment::max() && calls_.is_empty() && now > leave_by - call_wait + 200ms)
      break;
  }
  has_left_ = true;
}

void Core::take_event(CoreEvent& event, Moment now) {
  if (auto* call = std::get_if<OperatorCall>(&event)) {
    if (!call->is_read)
      steps_.note(call->version, "taken", now);
    calls_.add(call->is_read, call->version, std::move(call->body), call->token, now + call_wait);
  } else if (const auto* saved = std::get_if<Saved>(&event)) {
    agreement_.finish_save(saved->serial, saved->is_saved, now);
  } else if (const auto* listed = std::get_if<Listed>(&event)) {
    if (is_observing_)
      registry_.observe(listed->entries, now);
  } else if (const auto* renewed = std::get_if<Renewed>(&event)) {
    if (is_observing_ && !renewed->id.empty())
      registry_.renew(renewed->id, now);
  } else if (auto* backend = std::get_if<BackendCall>(&event)) {
    take_backend(*backend, now);
  } else if (const auto* examined = std::get_if<Examined>(&event)) {
    failover_.finish_order(examined->token, examined->status, now);
  } else if (const auto* told = std::get_if<NodeTold>(&event)) {
    ring_moves_.finish_order(told->token, told->answer);
  } else if (const auto* raised = std::get_if<Raised>(&event)) {
    failover_.finish_raise(raised->token, raised->status, now);
  }
}

void Core::take_parcel(const Parcel& parcel, Moment now) {
  ByteReader reader(parcel.bytes);
  FrameHead head;
  bool is_good = decode_head(reader, head);
  if (is_good) {
    switch (head.kind) {
      case FrameKind::raft: {
        RaftMessage message;
        if ((is_good = decode(reader, message) && message.address == head.from))
          agreement_.receive(message, now);
        break;
      }
      case FrameKind::forward: {
        Forward forward;
        if (!(is_good = decode(reader, forward)))
          break;
        if (!forward.is_read)
          steps_.note(forward.version, "passed on", now);
        calls_.add(std::move(forward), head.from, head.life, now + call_wait);
        break;
      }
      case FrameKind::forwarded: {
        Forwarded forwarded;
        if (!(is_good = decode(reader, forwarded)))
          break;
        // Not done: it leads no more, and whoever does is asked next.
        if (const std::uint64_t token = calls_.take(forwarded, head.from);
            token && forwarded.is_done)
          finish_call(token, true, std::move(forwarded.body));
        break;
      }
      case FrameKind::follow: {
        Follow follow;
        if ((is_good = decode(reader, follow)))
          take_follow(parcel.route, head, follow, now);
        break;
      }
      case FrameKind::roster: {
        Roster roster;
        if ((is_good = decode(reader, roster)))
          take_roster(head, roster, now);
        break;
      }
      case FrameKind::ring_call: {
        RingCall call;
        if ((is_good = decode(reader, call)))
          take_ring_call(parcel.route, call, now);
        break;
      }
      case FrameKind::edge_sums: {
        EdgeSums sums;
        if ((is_good = decode(reader, sums)))
          take_edge_sums(sums, now);
        break;
      }
      case FrameKind::edge_view: {
        EdgeViewFrame frame;
        if ((is_good = decode(reader, frame)))
          take_edge_view(head, frame, now);
        break;
      }
      case FrameKind::renewed: {
        RenewedIds renewed;
        if ((is_good = decode(reader, renewed)))
          for (const RenewedIds::Item& item : renewed.items)
            registry_.renew_signed(item, now);
        break;
      }
      case FrameKind::trace:
        take_trace(parcel.route, now);
        break;
      case FrameKind::core_status_request:
        tell_status(parcel.route, now);
        break;
      default:
        is_good = false;
    }
  }
  if (is_good)
    return;
  ++foreign_;
  if (now - foreign_logged_ < 1s)
    return;
  foreign_logged_ = now;
  LOG(WARNING) << "agree: frame dropped, foreign or damaged; " << foreign_ << " so far";
}

// Gives each waiting call to the leader of the moment.
void Core::route_calls(Moment now) {
  std::vector<std::uint64_t> ended, settled;
  for (auto& [token, call] : calls_.calls()) {
    const EntrySnapshot& committed = agreement_.committed();
    const std::string& leader = agreement_.leader_address();
    if (!call.is_read && committed && committed->version >= call.version) {
      settled.push_back(token);
      continue;
    }
    if (now > call.deadline) {
      ended.push_back(token);
      continue;
    }
    if (!call.sent_to.empty() && call.sent_to != leader && !leader.empty())
      call.sent_to.clear();
    if (!call.sent_to.empty())
      continue;
    if (agreement_.is_leader()) {
      call.sent_to = address_;
      if (call.is_read)
        agreement_.confirm_read(token, now);
      else
        agreement_.propose(call.version, call.body, token, now);
    } else if (!leader.empty() && call.origin.empty()) {
      const Forward forward = calls_.send(token, leader, agreement_.term());
      send_to(leader, encode(head(), forward));
    } else if (!call.origin.empty()) {
      ended.push_back(token);  // passed on to one that does not lead
    }
  }
  for (const std::uint64_t token : settled)
    finish_call(token, true, {});
  for (const std::uint64_t token : ended)
    finish_call(token, false, {});
}

// A change that is done is told what became of it by what is committed here; `body`: what another
// registry told, or read.
void Core::finish_call(std::uint64_t token, bool is_done, std::string body) {
  const auto call = calls_.remove(token);
  if (!call)
    return;
  if (is_done && !call->is_read && body.empty() && agreement_.committed())
    body = acknowledge(*agreement_.committed(), call->version, call->digest);
  if (call->origin.empty())
    desk_->tell({call->origin_token, is_done, std::move(body)});
  else
    send_to(call->origin,
            encode(head(), CallTable::answer(*call, is_done, agreement_.term(), std::move(body))));
}

void Core::handle_output(Moment now) {
  Agreement::Output output = agreement_.take(now);
  if (output.save && !vault_->save(std::move(*output.save)))
    LOG(ERROR) << "agree: disk thread is behind";
  for (const auto& outgoing : output.messages)
    send_to(outgoing.to, encode(head(), outgoing.message));
  for (const auto& result : output.results) {
    if (result.token == ~0ull)
      failover_.finish_proposal();
    if (result.token == ~0ull - 1)
      ring_moves_.finish_proposal();
    CallTable::Call* call = calls_.find(result.token);
    if (!call)
      continue;
    if (result.verdict == Agreement::Verdict::done)
      finish_call(result.token, true, result.state ? result.state->body : "");
    else if (call->sent_to == address_)
      call->sent_to.clear();
  }
}

void Core::note_commit(Moment now) {
  if (agreement_.is_leader() != was_leader_) {
    was_leader_ = agreement_.is_leader();
    LOG(INFO) << "agree: " << (was_leader_ ? "leads" : "follows") << " in term "
              << agreement_.term().value;
  }
  if (!agreement_.committed() || agreement_.committed() == noted_)
    return;
  const bool is_new_version = !noted_ || noted_->version != agreement_.committed()->version;
  if (!noted_ || noted_->members != agreement_.committed()->members ||
      noted_->former != agreement_.committed()->former) {
    std::string members;
    for (const Member& member : agreement_.committed()->members)
      members += " " + member.address;
    LOG(INFO) << "agree: members" << members
              << (agreement_.committed()->former.empty() ? "" : ", joint with the former ones");
  }
  noted_ = agreement_.committed();
  if (!is_new_version || noted_->version.value == 0)
    return;
  steps_.note(noted_->version, "committed", now);
  rollout_.commit(noted_->version, now);
  metrics().set(Metric::version, noted_->version.value);
  LOG(INFO) << "agree: edition " << noted_->version.value << " committed";
  ConfigurationSnapshot snapshot;
  if (Fault found = read_configuration(noted_->body, snapshot)) {
    LOG(ERROR) << "agree: committed configuration unreadable: " << found.text();
    return;
  }
  configuration_ = std::move(snapshot);
  packed_ = pack(noted_->body);
  std::set<std::string> services;
  for (const Service& service : configuration_->services)
    services.insert(service.name);
  registry_.name_services(std::move(services));
  ordered_mark_ = ~0ull;
  for (auto& [from, broker] : brokers_)
    send_beat(broker, false, now);
  if (!brokers_.empty())
    steps_.note(noted_->version, "sent", now);
}

}  // namespace saddlewing
