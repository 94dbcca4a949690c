// The agree thread's care for the registry of backends and for the brokers.
#include <glog/logging.h>

#include <algorithm>

#include "programs/core.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Span whole_every{5000};  // anti-entropy between registries
constexpr Span oldest_sample{1400};
constexpr Span broker_silence{4000};  // then a broker no longer counts
constexpr Span count_every{100};
constexpr Span start_span{15000};  // after its start a registry has not heard of all yet
constexpr Span settle_span{4000};  // a number of brokers that lasted so long is remembered
constexpr const char* fleet_sheet = "fleet";
constexpr std::uint64_t fleet_token = ~0ull - 2;
constexpr std::size_t seats_told = 4;  // of each region

}  // namespace

void Core::take_roster(const FrameHead& from, const Roster& roster, Moment now) {
  if (from.from.empty())
    return;
  Peer& peer = peers_[from.from];
  if (peer.life != from.life) {  // a new life there: it is to get everything
    peer = {};
    peer.life = from.life;
  }
  if (roster.is_observed)
    peer.observed = now;
  peer.heard = now;
  peer.locality = roster.locality;
  if (roster.wants_whole)
    peer.whole_due = {};
  if (!roster.is_whole && roster.base > peer.taken_mark)
    peer.is_missing = true;
  else
    peer.taken_mark = roster.mark, peer.is_missing = peer.is_missing && !roster.is_whole;
  registry_.take(roster, now);
}

// The leader observes the platform and the backends; others do so only while nobody is heard to.
void Core::tend_registry(Moment now) {
  if (now < registry_due_)
    return;
  registry_due_ = now + Span(100);
  std::erase_if(peers_, [&](const auto& peer) { return !spokes_.contains(peer.first); });
  const bool is_seen_elsewhere = std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return peer.second.observed != Moment{} && now - peer.second.observed < startup_.listing * 3;
  });
  const bool should_observe =
      agreement_.is_leader() || (!is_seen_elsewhere && !startup_.is_signing_up);
  if (should_observe && !is_observing_) {
    registry_.set_stamp_base(agreement_.term().value << 32);
    LOG(INFO) << "registry: observes the platform";
  }
  std::int64_t up = 0;
  for (const auto& [id, line] : registry_.lines())
    up += line.entry.status == Status::up;
  metrics().set(Metric::backends_up, up);
  metrics().set(Metric::brokers, static_cast<std::int64_t>(brokers_.size()));
  metrics().set(Metric::evictions, static_cast<std::int64_t>(registry_.evicted()));
  metrics().set(Metric::leads, agreement_.is_leader());
  const bool has_turned = should_observe != is_observing_;
  is_observing_ = should_observe;
  if (is_observing_) {
    const bool was_evicting = registry_.is_evicting();
    registry_.sweep(now);
    if (was_evicting != registry_.is_evicting())
      LOG(WARNING) << "registry: "
                   << (registry_.is_evicting() ? "evicts again"
                                               : "preserves itself, too few renewals");
  } else {
    registry_.forget_gone(now, registry_tombstone(startup_));
  }
  if (has_turned || ordered_mark_ != registry_.mark()) {
    ordered_mark_ = registry_.mark();
    auto order = std::make_shared<WatchOrder>();
    order->is_observing =
        is_observing_ && !startup_.is_signing_up;  // who tells of itself need not be looked for
    if (configuration_ && order->is_observing) {
      std::map<std::string, std::string> paths;
      for (const Service& service : configuration_->services)
        paths[service.name] = service.health_path;
      for (const ProbeTarget& target : registry_.targets())
        if (const auto found = paths.find(target.service); found != paths.end())
          order->targets.push_back({target.id, target.address, found->second, target.is_awaited});
    }
    lookout_->order(std::move(order));
  }
  for (const std::string& address : agreement_.known_addresses()) {
    Peer& peer = peers_[address];
    const bool is_whole = now >= peer.whole_due;
    const bool has_news = registry_.mark() > peer.sent_mark;
    const bool is_sign_due =
        now - peer.sent >= (is_observing_ ? startup_.listing : startup_.listing * 4);
    if (!is_whole && !has_news && !is_sign_due && !peer.is_missing)
      continue;
    peer.sent = now;
    Roster roster = registry_.since(is_whole ? 0 : peer.sent_mark, now);
    roster.is_observed = is_observing_;
    roster.locality = startup_.locality;
    roster.wants_whole = peer.is_missing;
    peer.sent_mark = registry_.mark();
    if (is_whole)
      peer.whole_due = now + whole_every;
    send_to(address, encode(head(), roster));
  }
}

// Of each other region a few, from the place of the receiver's own hash on, so that every broker is
// some others' choice and one that comes or goes changes the choice of few.
void Core::choose_seats(const Broker& to, Beat& beat) {
  if (are_seats_old_) {
    are_seats_old_ = false;
    seats_.clear();
    for (const auto& [from, broker] : brokers_)
      if (broker.is_ready && !broker.is_pooler)
        seats_[broker.region].push_back({std::hash<std::string>{}(from), from});
    for (auto& [region, seats] : seats_)
      std::sort(seats.begin(), seats.end());
  }
  const std::size_t own = std::hash<std::string>{}(to.from);
  for (const auto& [region, seats] : seats_) {
    if (region == to.region)
      continue;
    auto place = static_cast<std::size_t>(
        std::lower_bound(seats.begin(), seats.end(), std::pair(own, std::string())) -
        seats.begin());
    for (std::size_t count = 0; count < std::min(seats.size(), seats_told); ++count, ++place) {
      const auto& [hash, address] = seats[place % seats.size()];
      beat.seats.push_back({address, region});
      beat.seats_mark = beat.seats_mark * 31 + hash + 1;
    }
  }
}

void Core::send_beat(Broker& to, bool is_granting, Moment now, Beat beat) {
  beat.term = led_in();
  beat.asker = to.life;
  beat.token = to.token;
  beat.is_leader = agreement_.is_leased(now);
  beat.locality = startup_.locality;
  beat.region = startup_.region;
  if (agreement_.committed())
    beat.version = agreement_.committed()->version;
  beat.in_force = rollout_.in_force();
  beat.is_confirmed = agreement_.is_confirmed(now);
  beat.is_filled = registry_.is_filled();
  beat.brokers =
      std::max<std::uint64_t>(brokers_.size(), now - born_ < start_span ? remembered_brokers_ : 0);
  beat.registries = agreement_.known_addresses();
  beat.registries.push_back(address_);
  if (to.wants_roster && !to.is_pooler)
    choose_seats(to, beat);
  if (is_granting && beat.is_leader) {
    beat.grant =
        static_cast<std::uint64_t>(grants_.grant(to.from, to.life, brokers_.size(), now) * 1000);
    beat.grant_valid = static_cast<std::uint64_t>(grants_.valid().count());
  }
  if (beat.seats_mark == to.seats_mark)
    beat.seats.clear();
  if (startup_.has_edges && beat.is_leader && beat.is_confirmed && !to.is_pooler) {
    beat.edges_in_force = static_cast<std::uint64_t>(edge_rollout_.in_force().value);
    if (to.edges_held < edge_judge_.view()->mark)
      beat.edges = edges_text_;
  }
  beat.leads_mark = leads_.mark;
  if (to.is_pooler && beat.is_leader && to.leads_mark < leads_.mark)
    beat.leads = leads_text_;
  if (to.is_pooler && to.wants_roster) {
    beat.samples = samples_.tell(now, oldest_sample);
    beat.serial = to.beats.ask(now);
  }
  hub_.send(to.route, encode(head(), beat));
}

void Core::take_follow(const std::string& route, const FrameHead& from, const Follow& follow,
                       Moment now) {
  const auto [place, is_new] = brokers_.try_emplace(from.from);
  Broker& broker = place->second;
  if (is_new)
    broker.beats = Askings(life_);
  are_seats_old_ =
      are_seats_old_ || broker.is_ready != follow.is_ready || broker.region != follow.region;
  if (broker.held < follow.version)
    LOG(INFO) << "registry: broker " << from.from << " holds edition " << follow.version.value;
  broker.route = route;
  broker.from = from.from;
  broker.region = follow.region;
  broker.life = from.life;
  broker.is_ready = follow.is_ready;
  broker.seats_mark = follow.seats_mark;
  broker.held = follow.version;
  broker.heard = now;
  broker.sent_mark = follow.roster_life == life_.value ? follow.roster_mark : 0;
  broker.wants_roster = follow.wants_roster;
  broker.leads_mark = follow.leads_mark;
  broker.token = follow.token;
  if (broker.wants_roster && broker.sent_mark < registry_.mark())
    told_mark_ = ~0ull;
  Beat beat;
  if (!follow.locality.empty())
    take_pooler(from, follow, broker, beat, now);
  else
    take_ring_follow(from, follow, beat, now);
  if (startup_.has_edges && !broker.is_pooler)
    take_edge_follow(follow, broker);
  send_beat(broker, true, now, std::move(beat));
  if (follow.wants_body && configuration_ && configuration_->version > follow.version)
    hub_.send(route, encode(head(), Body{configuration_->version, packed_}));
  if (follow.wants_roster && broker.sent_mark == 0 && registry_.mark() == 0)
    hub_.send(route, encode(head(), registry_.since(0, now)));
}

// Changes go out at once; whoever missed some says so with its next follow.
void Core::tend_brokers(Moment now) {
  if (now >= counted_) {
    counted_ = now + count_every;
    if (std::erase_if(brokers_, [&](const auto& broker) {
          return now - broker.second.heard > broker_silence;
        }))
      are_seats_old_ = true;
    remember_brokers(now);
  }
  if (told_mark_ == registry_.mark())
    return;
  bool has_all = true;
  for (auto& [from, broker] : brokers_) {
    if (!broker.wants_roster || broker.sent_mark >= registry_.mark())
      continue;
    if (delta_.base != broker.sent_mark || delta_.mark != registry_.mark() || delta_.bytes.empty())
      delta_ = {broker.sent_mark, registry_.mark(),
                encode(head(), registry_.since(broker.sent_mark, now))};
    if (hub_.send(broker.route, delta_.bytes))
      broker.sent_mark = registry_.mark();
    else
      has_all = false;
  }
  if (has_all)
    told_mark_ = registry_.mark();
}

// After a loss of all power every broker is the first one heard. What each may open is by the
// number that there was.
void Core::remember_brokers(Moment now) {
  if (const EntrySnapshot& committed = agreement_.committed()) {
    const auto sheet = committed->sheets.find(fleet_sheet);
    ByteReader reader(sheet != committed->sheets.end() ? std::string_view(sheet->second)
                                                       : std::string_view());
    if (const std::uint64_t count = reader.number(); reader.is_whole())
      remembered_brokers_ = count;
  }
  const std::uint64_t count = brokers_.size();
  const std::uint64_t off =
      count > remembered_brokers_ ? count - remembered_brokers_ : remembered_brokers_ - count;
  const bool differs = agreement_.is_leader() && agreement_.is_leased(now) &&
                       now - born_ > start_span && count > 0 && off * 4 > remembered_brokers_;
  if (!differs)
    count_differs_since_ = now;
  if (now - count_differs_since_ < settle_span)
    return;
  count_differs_since_ = now;
  agreement_.propose_sheet(fleet_sheet, Writer().number(count).take(), fleet_token, now);
}

void Core::tend_rollout(Moment now) {
  if (!rollout_.is_pending() || (agreement_.is_leader() && !agreement_.is_leased(now)))
    return;
  std::vector<Version> held;
  for (const auto& [from, broker] : brokers_)
    held.push_back(broker.held);
  const Rollout::Turn turn = rollout_.advance(held, now);
  if (turn == Rollout::Turn::none)
    return;
  steps_.note(rollout_.in_force(),
              turn == Rollout::Turn::held_by_all ? "held by all" : "waited enough", now);
  for (auto& [from, broker] : brokers_)
    send_beat(broker, false, now);
}

void Core::take_trace(const std::string& route, Moment now) {
  Traced traced;
  traced.node = startup_.node_name;
  traced.role = "registry";
  if (agreement_.committed())
    traced.held = agreement_.committed()->version;
  traced.is_leader = agreement_.is_leader();
  traced.steps = steps_.tell(now);
  traced.registries = agreement_.known_addresses();
  traced.registries.push_back(address_);
  for (const auto& [from, broker] : brokers_)
    traced.brokers.push_back(from);
  hub_.send(route, encode(head(), traced));
}

}  // namespace saddlewing
