#include "programs/core.h"

#include <glog/logging.h>

#include <algorithm>

#include "state/metrics.h"
#include "state/packing.h"

namespace saddlewing {
namespace {

constexpr Span call_wait{850};        // a little less than the desk waits
constexpr Span longest_wait{100};
constexpr std::size_t most_steps = 128;

std::vector<std::string> inner_addresses(const std::vector<Address>& contacts, int port) {
  std::vector<std::string> addresses;
  for (const Address& contact : contacts) addresses.push_back(Address{contact.host, port}.text());
  return addresses;
}

AgreementOptions agreement_options(const Startup& startup, LifeId life, const std::string& address) {
  AgreementOptions options;
  options.address = address;
  options.beat = startup.beat;
  options.election = startup.election;
  options.draw = life.value;
  options.voters = static_cast<std::uint32_t>(startup.can_lose) * 2 + 1;
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
    : startup_(startup), life_(life), address_(Address{startup.ip_address, startup.inner_port}.text()),
      events_(4096, [this] { waker_.wake(); }), contacts_(4, [this] { waker_.wake(); }),
      agreement_(std::move(durable), agreement_options(startup, life, address_),
                 inner_addresses(startup.contacts, startup.inner_port), Clock::now()),
      registry_(registry_options(startup)), failover_(failover_options(startup)), ring_moves_(move_options(startup)), edge_judge_(edge_options(startup)),
      edge_rollout_(startup.rollout_wait), rollout_(startup.rollout_wait),
      grants_(startup.extra_tries, startup.follow * 5, startup.retry_span), steps_(most_steps) {
  born_ = Clock::now();
}

Fault Core::open() { return hub_.open(context_, Address{startup_.ip_address, startup_.inner_port}); }

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
  if (address == address_ || spokes_.contains(address)) return;
  Address parsed;
  if (parse_address(address, parsed)) spokes_[address] = std::make_unique<Spoke>(context_, parsed);
}

void Core::send_to(const std::string& address, const std::string& bytes) {
  reach(address);
  if (const auto found = spokes_.find(address); found != spokes_.end()) found->second->send(bytes);
}

void Core::run() {
  Moment leave_by = Moment::max();
  std::vector<void*> handles;
  while (Clock::now() < leave_by) {
    const auto addresses = agreement_.known_addresses();
    for (const std::string& address : addresses) reach(address);
    std::erase_if(spokes_, [&](const auto& spoke) {
      return std::find(addresses.begin(), addresses.end(), spoke.first) == addresses.end() && !peers_.contains(spoke.first);
    });
    handles.assign({hub_.handle()});
    for (const auto& [address, spoke] : spokes_) handles.push_back(spoke->handle());
    const Span wait = std::clamp(std::chrono::ceil<Span>(std::min(agreement_.next_due(), registry_due_) - Clock::now()), Span(0), longest_wait);
    wait_links(handles, waker_, wait);
    const Moment now = Clock::now();
    for (CoreEvent& event : events_.take()) take_event(event, now);
    for (auto& contacts : contacts_.take()) agreement_.set_contacts(std::move(contacts));
    for (int count = 0; count < 512; ++count) {
      auto parcel = hub_.receive();
      if (!parcel) break;
      take_parcel(*parcel, now);
    }
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
    tend_brokers(now);
    tend_rollout(now);
    handle_output(now);
    if (should_leave_ && leave_by == Moment::max()) {
      LOG(INFO) << "agree: leaving";
      agreement_.transfer(now);
      handle_output(now);
      leave_by = now + call_wait;
    }
    // Calls at work are answered first, by whoever leads now.
    if (should_leave_ && calls_.empty() && now > leave_by - call_wait + 200ms) break;
  }
  has_left_ = true;
}

void Core::take_event(CoreEvent& event, Moment now) {
  if (auto* call = std::get_if<OperatorCall>(&event)) {
    const std::uint64_t token = call->token;
    add_call(std::move(*call), {}, token, now);
  } else if (const auto* saved = std::get_if<Saved>(&event)) {
    agreement_.finish_save(saved->serial, saved->is_saved, now);
  } else if (const auto* listed = std::get_if<Listed>(&event)) {
    if (is_observing_) registry_.observe(listed->entries, now);
  } else if (const auto* renewed = std::get_if<Renewed>(&event)) {
    if (is_observing_ && !renewed->id.empty()) registry_.renew(renewed->id, now);
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
        if ((is_good = decode(reader, message) && message.address == head.from)) agreement_.receive(message, now);
        break;
      }
      case FrameKind::forward: {
        Forward forward;
        if ((is_good = decode(reader, forward)))
          add_call({0, forward.is_read, forward.version, std::move(forward.body)}, head.from, forward.token, now);
        break;
      }
      case FrameKind::forwarded: {
        Forwarded forwarded;
        if ((is_good = decode(reader, forwarded))) {
          const auto found = calls_.find(forwarded.token);
          if (found == calls_.end() || found->second.sent_to != head.from) break;
          if (forwarded.is_done) finish_call(forwarded.token, true, forwarded.body);
          else found->second.sent_to.clear();  // it leads no more: whoever does is asked next
        }
        break;
      }
      case FrameKind::follow: {
        Follow follow;
        if ((is_good = decode(reader, follow))) take_follow(parcel.route, head, follow, now);
        break;
      }
      case FrameKind::roster: {
        Roster roster;
        if ((is_good = decode(reader, roster))) take_roster(head, roster, now);
        break;
      }
      case FrameKind::ring_call: {
        RingCall call;
        if ((is_good = decode(reader, call))) take_ring_call(parcel.route, call, now);
        break;
      }
      case FrameKind::edge_sums: {
        EdgeSums sums;
        if ((is_good = decode(reader, sums)) && agreement_.is_leader())
          for (const auto& [region, counts] : sums.regions)
            if (!edge_judge_.add(region, counts, now)) metrics().add(Metric::edge_frames_dropped);
        break;
      }
      case FrameKind::edge_view: {
        EdgeViewFrame frame;
        if ((is_good = decode(reader, frame))) take_edge_view(frame, now);
        break;
      }
      case FrameKind::renewed: {
        RenewedIds renewed;
        if ((is_good = decode(reader, renewed)))
          for (const RenewedIds::Item& item : renewed.items) registry_.renew_signed(item, now);
        break;
      }
      case FrameKind::trace: take_trace(parcel.route, now); break;
      case FrameKind::core_status_request: tell_status(parcel.route, now); break;
      default: is_good = false;
    }
  }
  if (is_good) return;
  ++foreign_;
  if (now - foreign_logged_ < 1s) return;
  foreign_logged_ = now;
  LOG(WARNING) << "agree: frame dropped, foreign or damaged; " << foreign_ << " so far";
}

void Core::add_call(OperatorCall call, std::string origin, std::uint64_t origin_token, Moment now) {
  const std::uint64_t token = ++last_call_;
  if (!call.is_read) steps_.note(call.version, origin.empty() ? "taken" : "passed on", now);
  calls_[token] = {std::move(call), std::move(origin), origin_token, {}, now + call_wait};
}

// Gives each waiting call to the leader of the moment.
void Core::route_calls(Moment now) {
  std::vector<std::uint64_t> ended, settled;
  for (auto& [token, pending] : calls_) {
    const EntrySnapshot& committed = agreement_.committed();
    if (!pending.call.is_read && committed && committed->version >= pending.call.version) {
      settled.push_back(token);
    } else if (now > pending.deadline) {
      ended.push_back(token);
    } else if (!pending.sent_to.empty()) {
      if (pending.sent_to != agreement_.leader_address() && !pending.call.is_read && !agreement_.leader_address().empty())
        pending.sent_to.clear();
    }
    if (!pending.sent_to.empty() || now > pending.deadline) continue;
    if (agreement_.is_leader()) {
      pending.sent_to = address_;
      if (pending.call.is_read) agreement_.confirm_read(token, now);
      else agreement_.propose(pending.call.version, pending.call.body, token, now);
    } else if (!agreement_.leader_address().empty() && pending.origin.empty()) {
      pending.sent_to = agreement_.leader_address();
      send_to(pending.sent_to, encode(head(), Forward{token, pending.call.is_read, pending.call.version, pending.call.body}));
    } else if (!pending.origin.empty()) {
      ended.push_back(token);  // passed on to one that does not lead
    }
  }
  for (const std::uint64_t token : settled) finish_call(token, true, {});
  for (const std::uint64_t token : ended) finish_call(token, false, {});
}

void Core::finish_call(std::uint64_t token, bool is_done, const std::string& body) {
  const auto found = calls_.find(token);
  if (found == calls_.end()) return;
  const PendingCall pending = std::move(found->second);
  calls_.erase(found);
  if (pending.origin.empty()) desk_->tell({pending.origin_token, is_done, body});
  else send_to(pending.origin, encode(head(), Forwarded{pending.origin_token, is_done, body}));
}

void Core::handle_output(Moment now) {
  Agreement::Output output = agreement_.take(now);
  if (output.save && !vault_->save(std::move(*output.save))) LOG(ERROR) << "agree: disk thread is behind";
  for (const auto& outgoing : output.messages) send_to(outgoing.to, encode(head(), outgoing.message));
  for (const auto& result : output.results) {
    if (result.token == ~0ull) failover_.finish_proposal();
    if (result.token == ~0ull - 1) ring_moves_.finish_proposal();
    const auto found = calls_.find(result.token);
    if (found == calls_.end()) continue;
    if (result.verdict == Agreement::Verdict::done) finish_call(result.token, true, result.state ? result.state->body : "");
    else found->second.sent_to.clear();
  }
}

void Core::note_commit(Moment now) {
  if (agreement_.is_leader() != was_leader_) {
    was_leader_ = agreement_.is_leader();
    LOG(INFO) << "agree: " << (was_leader_ ? "leads" : "follows") << " in term " << agreement_.term().value;
  }
  if (!agreement_.committed() || agreement_.committed() == noted_) return;
  const bool is_new_version = !noted_ || noted_->version != agreement_.committed()->version;
  noted_ = agreement_.committed();
  if (!is_new_version || noted_->version.value == 0) return;
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
  for (const Service& service : configuration_->services) services.insert(service.name);
  registry_.name_services(std::move(services));
  ordered_mark_ = ~0ull;
  for (auto& [from, broker] : brokers_) send_beat(broker, false, now);
  if (!brokers_.empty()) steps_.note(noted_->version, "sent", now);
}

}  // namespace saddlewing
