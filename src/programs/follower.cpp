#include "programs/follower.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

#include "state/packing.h"

namespace saddlewing {
namespace {

constexpr Span fetch_again{600},
    longest_fetch{2400};         // a body that did not come is asked for again, elsewhere
constexpr Span feed_grace{120};  // for the nearest registry to hold what a farther one tells of
constexpr std::size_t longest_body = most_configuration;
constexpr Span eager_follow{50};                        // until it is ready
constexpr std::size_t most_steps = 64, most_aides = 4;  // most_aides: of one region

}  // namespace

Follower::Follower(const Startup& startup, LifeId life, std::function<void(ViewSnapshot)> show,
                   std::function<void(AidEvent)> tell)
    : startup_(startup),
      life_(life),
      address_(Address{startup.ip_address, startup.own_port}.text()),
      show_(std::move(show)),
      tell_(std::move(tell)),
      contacts_(4, [this] { waker_.wake(); }),
      outs_(1024, [this] { waker_.wake(); }),
      feed_({startup.locality, startup.region, startup.follow, startup.unconfirmed_wait}, life,
            Clock::now()),
      turnover_(startup.rollout_wait * 2),
      born_(Clock::now()),
      steps_(most_steps) {
  contacts_.push(startup.contacts);
}

Fault Follower::open() {
  return hub_.open(context_, Address{startup_.ip_address, startup_.own_port});
}
void Follower::start() {
  thread_ = std::thread([this] { run(); });
}

void Follower::stop() {
  should_stop_ = true;
  waker_.wake();
  if (thread_.joinable())
    thread_.join();
}

// One spoke to each registry that the feed knows of.
void Follower::reach_all() {
  std::erase_if(lines_, [&](const auto& line) { return !feed_.sources().contains(line.first); });
  for (const auto& [address, source] : feed_.sources()) {
    Address parsed;
    if (lines_.contains(address) || !parse_address(address, parsed))
      continue;
    lines_[address].spoke = std::make_unique<Spoke>(context_, parsed);
    follow_due_ = {};
  }
}

void Follower::follow_leader() {
  for (const auto& [address, source] : feed_.sources())
    if (feed_.is_leader(source))
      follow_one(address, false);
}

void Follower::run() {
  std::vector<void*> handles;
  while (!should_stop_) {
    for (const auto& contacts : contacts_.take()) {
      std::vector<std::string> seeds;
      for (const Address& contact : contacts)
        seeds.push_back(Address{contact.host, startup_.inner_port}.text());
      feed_.set_seeds(std::move(seeds), Clock::now());
    }
    reach_all();
    if (const std::uint64_t mark = confirmed_mark_; mark != told_mark_) {
      told_mark_ = mark;
      follow_leader();
    }
    if (const std::uint64_t mark = ring_confirmed_; mark != ring_told_) {
      ring_told_ = mark;
      follow_leader();
    }
    if (const Moment now = Clock::now(); now >= follow_due_)
      follow_all(now);
    handles.assign({hub_.handle()});
    for (const auto& [address, line] : lines_)
      handles.push_back(line.spoke->handle());
    for (const auto& [address, spoke] : aides_)
      handles.push_back(spoke->handle());
    Moment due = turnover_.is_turning() ? std::min(follow_due_, turnover_.due()) : follow_due_;
    if (fetched_ > turnover_.held())
      due = std::min(due, fetch_due_);
    wait_links(handles, waker_,
               std::clamp(std::chrono::ceil<Span>(due - Clock::now()), Span(0), Span(1000)));
    for (auto& [address, line] : lines_)
      take_each(
          256, [&] { return line.spoke->receive(); }, Clock::now,
          [&](const Parcel& parcel, Moment came) { take(parcel, came); });
    const Moment now = Clock::now();
    take_hub(now);
    send_aids();
    fetch(now);
    turn(now);
    check_ready(now);
    if (has_news_)
      publish();
  }
}

void Follower::follow_all(Moment now) {
  feed_.turn(now);
  follow_due_ = now + (is_ready_ ? startup_.follow : eager_follow);
  for (Evidence& evidence : evidence_.take())
    seen_ = std::move(evidence);
  std::size_t place = 0;
  for (const auto& [address, source] : feed_.sources())
    if (feed_.should_ask(address, ++place, is_ready_, now))
      follow_one(address, false);
  choose_feed(now);
  book_.forget_gone(now, registry_tombstone(startup_));
}

void Follower::choose_feed(Moment now) {
  if (const auto chosen = feed_.choose(now))
    follow_one(*chosen, false);
}

void Follower::take(const Parcel& parcel, Moment now) {
  ByteReader reader(parcel.bytes);
  FrameHead head;
  if (!decode_head(reader, head))
    return;
  const auto found = lines_.find(head.from);
  if (found == lines_.end())
    return;
  bool is_good = false;
  if (head.kind == FrameKind::beat) {
    Beat beat;
    if ((is_good = decode(reader, beat)))
      take_beat(head, found->second, beat, now);
  } else if (head.kind == FrameKind::body) {
    Body body;
    if ((is_good = decode(reader, body)))
      take_body(std::move(body), now);
  } else if (head.kind == FrameKind::roster) {
    Roster roster;
    if ((is_good = decode(reader, roster)))
      take_roster(found->second, head, roster, now);
  }
  if (!is_good) {
    LOG_EVERY_N(WARNING, 100) << "follow: frame dropped, foreign or damaged, from " << head.from;
  }
}

void Follower::take_beat(const FrameHead& head, Line& line, Beat& beat, Moment now) {
  const bool was_confirmed = feed_.is_confirmed(feed_.chosen(), now);
  const Feed::Heard heard = feed_.take(head.from, beat, now);
  if (heard.is_steering) {
    turnover_.see_in_force(beat.in_force);
    if (hold_)
      take_hold(beat, *heard.asked);
    if (ring_)
      take_ring(beat, *heard.asked);
    if (edges_)
      take_edges(beat);
    if (beat.grant_valid) {
      reserve_.take(
          static_cast<double>(beat.grant) / 1000,
          Span(static_cast<std::int64_t>(std::min<std::uint64_t>(beat.grant_valid, 60000))),
          *heard.asked);
      if (now - reserve_shown_ >= startup_.follow * 2) {  // well before the one shown runs out
        reserve_shown_ = now;
        has_news_ = true;
      }
    }
  }
  if (heard.asked && sample_)
    take_samples(line, head.life, beat, *heard.asked, now);
  if (!is_ready_ || !was_confirmed)
    choose_feed(now);
  if (heard.asked && beat.is_confirmed) {
    if (head.from == feed_.chosen() && beat.seats_mark != seats_mark_ &&
        (beat.seats_mark == 0 || !beat.seats.empty()))
      take_seats(beat);
    if (beat.brokers != brokers_) {
      brokers_ = std::max<std::uint64_t>(1, beat.brokers);
      has_news_ = true;
    }
  }
  if (beat.version > turnover_.held())
    fetch(now);
  turn(now);
}

// Of each other region a few, spread by hash so that every broker is some others' choice.
void Follower::take_seats(const Beat& beat) {
  seats_mark_ = beat.seats_mark;
  std::map<std::string, std::vector<std::pair<std::size_t, BrokerSeat>>> by_region;
  for (const BrokerSeat& seat : beat.seats)
    if (seat.region != startup_.region)
      by_region[seat.region].push_back({std::hash<std::string>{}(address_ + seat.address), seat});
  std::vector<BrokerSeat> seats;
  for (auto& [region, choices] : by_region) {
    std::sort(choices.begin(), choices.end());
    if (choices.size() > most_aides)
      choices.resize(most_aides);
    for (auto& [hash, seat] : choices)
      seats.push_back(std::move(seat));
  }
  if (seats == seats_)
    return;
  seats_ = std::move(seats);
  has_news_ = true;
  std::erase_if(aides_, [&](const auto& aide) {
    return std::none_of(seats_.begin(), seats_.end(),
                        [&](const BrokerSeat& seat) { return seat.address == aide.first; });
  });
}

// Asks a registry that holds the newest version for its body: the feed, if it has it soon, else the
// one heard last.
void Follower::fetch(Moment now) {
  const std::pair<const std::string, Feed::Source>* best = nullptr;
  const bool has_feed = is_ready_ && !feed_.chosen().empty();
  const Version held = turnover_.held();
  for (const auto& item : feed_.sources()) {
    if (item.second.version <= held)
      continue;
    const auto rank = [&](const auto& one) {
      return std::tuple(one.second.version, one.first == feed_.chosen(), one.second.heard);
    };
    if (!best || rank(item) > rank(*best))
      best = &item;
  }
  if (!best || now < fetch_due_)
    return;
  if (fetched_ != best->second.version) {
    fetched_ = best->second.version;
    fetch_pause_ = fetch_again;
    if (has_feed && best->first != feed_.chosen()) {
      fetch_due_ = now + feed_grace;
      return;
    }
  }
  fetch_due_ = now + fetch_pause_;
  fetch_pause_ =
      std::min(fetch_pause_ * 2, longest_fetch);  // over a narrow link a body takes its time
  follow_one(best->first, true);
}

void Follower::take_body(Body body, Moment now) {
  if (body.version <= turnover_.held())
    return;  // never back within a life
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
  if (!turnover_.turn(is_ready_, now))
    return;
  has_news_ = true;
  steps_.note(turnover_.serving()->version, "in force", now);
}

void Follower::take_roster(Line& line, const FrameHead& head, const Roster& roster, Moment now) {
  if (line.life != head.life.value) {  // another life there: only its whole roster counts
    if (!roster.is_whole)
      return;
    line.life = head.life.value;
  } else if (roster.base > line.mark) {
    return;  // a gap: the next follow tells what is held, and the rest comes again
  }
  for (const RosterEntry& entry : roster.entries)
    has_news_ |= book_.merge(entry, now);
  line.mark = roster.is_whole ? roster.mark : std::max(line.mark, roster.mark);
  feed_.take_roster(head.from);
}

void Follower::check_ready(Moment now) {
  const ConfigurationSnapshot& serving = turnover_.serving();
  if (is_ready_ || !serving)
    return;
  const Feed::Ready ready = feed_.judge(serving->version, now);
  if (ready == Feed::Ready::no)
    return;
  is_ready_ = has_news_ = true;
  LOG(INFO) << "follow: ready by edition " << serving->version.value
            << (ready == Feed::Ready::confirmed ? "" : ", unconfirmed");
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
    if (line.entry.phase == Phase::gone)
      continue;
    view->backends.push_back(line.entry);
    view->backends.back().warm_left =
        line.warm_until > now
            ? static_cast<std::uint64_t>(span_between(now, line.warm_until).count())
            : 0;
  }
  show_(std::move(view));
}

void Follower::take_hub(Moment now) {
  for (int count = 0; count < 512; ++count) {
    auto parcel = hub_.receive();
    if (!parcel)
      return;
    ByteReader reader(parcel->bytes);
    FrameHead head;
    if (!decode_head(reader, head))
      continue;
    if (head.kind == FrameKind::aid) {
      AidIn in{std::move(parcel->route), {}};
      if (decode(reader, in.aid))
        tell_(std::move(in));
      continue;
    }
    if (head.kind != FrameKind::trace)
      continue;
    Traced traced;
    traced.node = startup_.node_name;
    traced.role = "broker";
    traced.held = turnover_.held();
    traced.steps = steps_.tell(now);
    traced.registries = feed_.registries();
    hub_.send(parcel->route, encode({FrameKind::traced, life_, address_}, traced));
  }
}

// Aids to other brokers, and outcomes of theirs. A spoke set up just now drops its first frame:
// that aid is lost.
void Follower::send_aids() {
  for (AidOut& out : outs_.take()) {
    if (!out.token) {
      hub_.send(out.to, out.bytes);
      continue;
    }
    auto& spoke = aides_[out.to];
    Address parsed;
    if (!spoke && parse_address(out.to, parsed))
      spoke = std::make_unique<Spoke>(context_, parsed);
    if (!spoke || !spoke->send(out.bytes))
      tell_(AidLost{out.token});
  }
  for (const auto& [address, spoke] : aides_)
    for (int count = 0; count < 256; ++count) {
      const auto parcel = spoke->receive();
      if (!parcel)
        break;
      ByteReader reader(parcel->bytes);
      FrameHead head;
      AidedIn in;
      if (decode_head(reader, head) && head.kind == FrameKind::aided && decode(reader, in.aided))
        tell_(std::move(in));
    }
}

}  // namespace saddlewing
