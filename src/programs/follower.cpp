#include "programs/follower.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

#include "state/packing.h"

namespace saddlewing {
namespace {

constexpr Span fetch_again{600}, longest_fetch{2400};  // a body that did not come is asked for again, elsewhere
constexpr Span feed_grace{120};       // for the nearest registry to hold what a farther one tells of
constexpr std::size_t longest_body = 4 << 20;
constexpr Span eager_follow{50};  // until it is ready
constexpr std::size_t most_steps = 64, most_aides = 4;  // most_aides: of one region

}  // namespace

Follower::Follower(const Startup& startup, LifeId life, std::function<void(ViewSnapshot)> show, std::function<void(AidEvent)> tell)
    : startup_(startup), life_(life), address_(Address{startup.ip_address, startup.own_port}.text()), show_(std::move(show)),
      tell_(std::move(tell)), contacts_(4, [this] { waker_.wake(); }), outs_(1024, [this] { waker_.wake(); }), turnover_(startup.rollout_wait * 2), born_(Clock::now()), steps_(most_steps) {
  contacts_.push(startup.contacts);
}

Fault Follower::open() { return hub_.open(context_, Address{startup_.ip_address, startup_.own_port}); }
void Follower::start() { thread_ = std::thread([this] { run(); }); }

void Follower::stop() {
  should_stop_ = true;
  waker_.wake();
  if (thread_.joinable()) thread_.join();
}

void Follower::reach(const std::string& address) {
  Address parsed;
  if (sources_.contains(address) || !parse_address(address, parsed)) return;
  Source& source = sources_[address];
  source.spoke = std::make_unique<Spoke>(context_, parsed);
  follow_due_ = {};
}

void Follower::run() {
  std::vector<void*> handles;
  while (!should_stop_) {
    Moment now = Clock::now();
    for (const auto& contacts : contacts_.take()) {
      seeds_.clear();
      for (const Address& contact : contacts) seeds_.push_back(Address{contact.host, startup_.inner_port}.text());
    }
    for (const std::string& address : seeds_) reach(address);
    for (const std::string& address : registries_) reach(address);
    std::erase_if(sources_, [&](const auto& source) {
      const auto is_in = [&](const auto& list) { return std::find(list.begin(), list.end(), source.first) != list.end(); };
      return !is_in(seeds_) && !is_in(registries_);
    });
    if (const std::uint64_t mark = confirmed_mark_; mark != told_mark_) {
      told_mark_ = mark;
      for (auto& [address, source] : sources_)
        if (source.is_leader) follow_one(source, false);
    }
    if (const std::uint64_t mark = ring_confirmed_; mark != ring_told_) {
      ring_told_ = mark;
      for (auto& [address, source] : sources_)
        if (source.is_leader) follow_one(source, false);
    }
    if (now >= follow_due_) follow_all(now);
    handles.assign({hub_.handle()});
    for (const auto& [address, source] : sources_) handles.push_back(source.spoke->handle());
    for (const auto& [address, spoke] : aides_) handles.push_back(spoke->handle());
    Moment due = turnover_.is_turning() ? std::min(follow_due_, turnover_.due()) : follow_due_;
    if (fetched_ > turnover_.held()) due = std::min(due, fetch_due_);
    wait_links(handles, waker_, std::clamp(std::chrono::ceil<Span>(due - Clock::now()), Span(0), Span(1000)));
    now = Clock::now();
    for (auto& [address, source] : sources_)
      for (int count = 0; count < 256; ++count) {
        const auto parcel = source.spoke->receive();
        if (!parcel) break;
        take(address, *parcel, now);
      }
    take_hub(now);
    send_aids();
    fetch(now);
    turn(now);
    check_ready(now);
    if (has_news_) publish();
  }
}

void Follower::follow_all(Moment now) {
  followed_ = now;
  follow_due_ = now + (is_ready_ ? startup_.follow : eager_follow);
  for (Evidence& evidence : evidence_.take()) seen_ = std::move(evidence);
  asked_[++token_] = now;
  while (asked_.size() > 64) asked_.erase(asked_.begin());
  ++turn_;
  const bool is_led = std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return item.second.is_leader && now - item.second.heard < startup_.follow * 3;
  });
  std::size_t place = 0;
  for (auto& [address, source] : sources_) {
    if (is_ready_ && is_led && !source.is_leader && !source.is_feed && (turn_ + ++place) % seldom != 0) continue;
    follow_one(source, false);
  }
  choose_feed(now);
  book_.forget_gone(now, registry_tombstone(startup_));
}

void Follower::take(const std::string&, const Parcel& parcel, Moment now) {
  ByteReader reader(parcel.bytes);
  FrameHead head;
  bool is_good = decode_head(reader, head);
  if (!is_good) return;
  const auto found = sources_.find(head.from);
  if (found == sources_.end()) return;
  Source& source = found->second;
  source.heard = now;
  if (head.kind == FrameKind::beat) {
    Beat beat;
    if ((is_good = decode(reader, beat))) take_beat(source, beat, now);
  } else if (head.kind == FrameKind::body) {
    Body body;
    if ((is_good = decode(reader, body))) take_body(std::move(body), now);
  } else if (head.kind == FrameKind::roster) {
    Roster roster;
    if ((is_good = decode(reader, roster))) take_roster(source, head, roster, now);
  } else {
    is_good = false;
  }
  if (!is_good) {
    LOG_EVERY_N(WARNING, 100) << "follow: frame dropped, foreign or damaged, from " << head.from;
  }
}

void Follower::take_beat(Source& source, Beat& beat, Moment now) {
  source.version = beat.version;
  source.is_leader = beat.is_leader;
  source.locality = beat.locality;
  source.region = beat.region;
  // The leader alone hears of every broker often.
  if (beat.is_leader) turnover_.see_in_force(beat.in_force);
  if (hold_) take_hold(source, beat, now);
  if (ring_) take_ring(beat);
  if (edges_ && beat.is_leader && beat.is_confirmed) take_edges(beat);
  if (!is_ready_) choose_feed(now);
  if (beat.grant_valid) {  // its span runs from the leader's sending, which is after our follow
    reserve_.take(static_cast<double>(beat.grant) / 1000, Span(static_cast<std::int64_t>(std::min<std::uint64_t>(beat.grant_valid, 60000))), followed_);
    if (now - reserve_shown_ >= startup_.follow * 2) {  // well before the one shown runs out
      reserve_shown_ = now;
      has_news_ = true;
    }
  }
  source.is_confirmed = beat.is_confirmed;
  source.is_filled = beat.is_filled;
  if (beat.is_confirmed) {
    registries_ = beat.registries;
    if (source.is_feed && beat.seats_mark != seats_mark_ && (beat.seats_mark == 0 || !beat.seats.empty())) take_seats(beat);
    if (beat.brokers != brokers_) {
      brokers_ = std::max<std::uint64_t>(1, beat.brokers);
      has_news_ = true;
    }
  }
  if (beat.version > turnover_.held()) fetch(now);
  turn(now);
}

// Of each other region a few, spread by hash so that every broker is some others' choice.
void Follower::take_seats(const Beat& beat) {
  seats_mark_ = beat.seats_mark;
  std::map<std::string, std::vector<std::pair<std::size_t, BrokerSeat>>> by_region;
  for (const BrokerSeat& seat : beat.seats)
    if (seat.region != startup_.region) by_region[seat.region].push_back({std::hash<std::string>{}(address_ + seat.address), seat});
  std::vector<BrokerSeat> seats;
  for (auto& [region, choices] : by_region) {
    std::sort(choices.begin(), choices.end());
    if (choices.size() > most_aides) choices.resize(most_aides);
    for (auto& [hash, seat] : choices) seats.push_back(std::move(seat));
  }
  if (seats == seats_) return;
  seats_ = std::move(seats);
  has_news_ = true;
  std::erase_if(aides_, [&](const auto& aide) {
    return std::none_of(seats_.begin(), seats_.end(), [&](const BrokerSeat& seat) { return seat.address == aide.first; });
  });
}

// Asks a registry that holds the newest version for its body: the feed, if it has it soon, else the one heard last.
void Follower::fetch(Moment now) {
  Source* best = nullptr;
  bool has_feed = false;
  const Version held = turnover_.held();
  for (auto& [address, source] : sources_) {
    has_feed = has_feed || (source.is_feed && is_ready_);
    if (source.version <= held) continue;
    const auto rank = [](const Source& one) { return std::tuple(one.version, one.is_feed, one.heard); };
    if (!best || rank(source) > rank(*best)) best = &source;
  }
  if (!best || now < fetch_due_) return;
  if (fetched_ != best->version) {
    fetched_ = best->version;
    fetch_pause_ = fetch_again;
    if (has_feed && !best->is_feed) {
      fetch_due_ = now + feed_grace;
      return;
    }
  }
  fetch_due_ = now + fetch_pause_;
  fetch_pause_ = std::min(fetch_pause_ * 2, longest_fetch);  // over a narrow link a body takes its time
  follow_one(*best, true);
}

void Follower::take_body(Body body, Moment now) {
  if (body.version <= turnover_.held()) return;  // never back within a life
  ConfigurationSnapshot snapshot;
  std::string text;
  if (!unpack(body.body, longest_body, text)) {
    LOG(ERROR) << "follow: configuration damaged on its way";
    return;
  }
  if (Fault found = read_configuration(text, snapshot)) {
    LOG(ERROR) << "follow: configuration unreadable: " << found.text();
    return;
  }
  turnover_.take(std::move(snapshot), now);
  fetch_due_ = {};
  steps_.note(body.version, "held", now);
  LOG(INFO) << "follow: edition " << body.version.value << " held";
  turn(now);
  follow_due_ = now;
}

void Follower::turn(Moment now) {
  if (!turnover_.turn(is_ready_, now)) return;
  has_news_ = true;
  steps_.note(turnover_.serving()->version, "in force", now);
}

void Follower::take_roster(Source& source, const FrameHead& head, const Roster& roster, Moment now) {
  if (source.life != head.life.value) {  // another life there: only its whole roster counts
    if (!roster.is_whole) return;
    source.life = head.life.value;
  } else if (roster.base > source.mark) {
    return;  // a gap: the next follow tells what is held, and the rest comes again
  }
  for (const RosterEntry& entry : roster.entries) has_news_ |= book_.merge(entry, now);
  source.mark = roster.is_whole ? roster.mark : std::max(source.mark, roster.mark);
  source.has_roster = true;
}

// Ready: a configuration and a roster that a registry with a quorum behind it confirmed in this life, or, when no
// such registry answers in time, the newest that any registry reached holds committed.
void Follower::check_ready(Moment now) {
  const ConfigurationSnapshot& serving = turnover_.serving();
  if (is_ready_ || !serving) return;
  for (const auto& [address, source] : sources_) {
    const bool is_current = source.heard != Moment{} && source.has_roster && source.version <= serving->version;
    const bool is_trusted = source.is_confirmed && source.is_filled && source.version == serving->version;
    if (!is_current || (!is_trusted && now - born_ < startup_.unconfirmed_wait)) continue;
    is_ready_ = has_news_ = true;
    LOG(INFO) << "follow: ready by edition " << serving->version.value << (is_trusted ? "" : ", unconfirmed");
    return;
  }
}

void Follower::publish() {
  has_news_ = false;
  auto view = std::make_shared<View>();
  view->configuration = turnover_.serving();
  view->is_ready = is_ready_;
  view->brokers = brokers_;
  view->seats = seats_;
  view->reserve = reserve_;
  const Moment now = Clock::now();
  for (const auto& [id, line] : book_.lines()) {
    if (line.entry.phase == Phase::gone) continue;
    view->backends.push_back(line.entry);
    view->backends.back().warm_left = line.warm_until > now ? static_cast<std::uint64_t>(span_between(now, line.warm_until).count()) : 0;
  }
  show_(std::move(view));
}

void Follower::take_hub(Moment now) {
  for (int count = 0; count < 512; ++count) {
    auto parcel = hub_.receive();
    if (!parcel) return;
    ByteReader reader(parcel->bytes);
    FrameHead head;
    if (!decode_head(reader, head)) continue;
    if (head.kind == FrameKind::aid) {
      AidIn in{std::move(parcel->route), {}};
      if (decode(reader, in.aid)) tell_(std::move(in));
      continue;
    }
    if (head.kind != FrameKind::trace) continue;
    Traced traced;
    traced.node = startup_.node_name;
    traced.role = "broker";
    traced.held = turnover_.held();
    traced.steps = steps_.tell(now);
    traced.registries = registries_;
    hub_.send(parcel->route, encode({FrameKind::traced, life_, address_}, traced));
  }
}

// Aids to other brokers, and outcomes of theirs. A spoke set up just now drops its first frame: that aid is lost.
void Follower::send_aids() {
  for (AidOut& out : outs_.take()) {
    if (!out.token) {
      hub_.send(out.to, out.bytes);
      continue;
    }
    auto& spoke = aides_[out.to];
    Address parsed;
    if (!spoke && parse_address(out.to, parsed)) spoke = std::make_unique<Spoke>(context_, parsed);
    if (!spoke || !spoke->send(out.bytes)) tell_(AidLost{out.token});
  }
  for (const auto& [address, spoke] : aides_)
    for (int count = 0; count < 256; ++count) {
      const auto parcel = spoke->receive();
      if (!parcel) break;
      ByteReader reader(parcel->bytes);
      FrameHead head;
      AidedIn in;
      if (decode_head(reader, head) && head.kind == FrameKind::aided && decode(reader, in.aided)) tell_(std::move(in));
    }
}

}  // namespace saddlewing
