#include "control_client/control_plane_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

#include "state/compression.h"

namespace saddlewing {
namespace {

constexpr Duration fetch_again{600},
    max_fetch_duration{2400};        // a body that did not come is asked for again, elsewhere
constexpr Duration feed_grace{120};  // for the nearest registry to hold what a farther one tells of
constexpr std::size_t max_body_wait = max_configuration;
constexpr Duration eager_follow{50};                  // until it is ready
constexpr std::size_t max_steps = 64, max_aides = 4;  // max_aides: of one region

}  // namespace

ControlPlaneClient::ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                                       std::function<void(ViewSnapshot)> show,
                                       std::function<void(DelegationEvent)> tell)
    : settings_(settings),
      incarnation_(incarnation),
      address_(Address{settings.ip_address, settings.own_port}.text()),
      show_(std::move(show)),
      tell_(std::move(tell)),
      contacts_(4, [this] { waker_.wake(); }),
      outs_(1024, [this] { waker_.wake(); }),
      control_source_({settings.zone, settings.region, settings.follow, settings.unconfirmed_wait},
                      incarnation, Clock::now()),
      version_switch_(settings.rollout_wait * 2),
      born_(Clock::now()),
      steps_(max_steps) {
  contacts_.push(settings.contacts);
}

Error ControlPlaneClient::open() {
  return frame_server_.open(context_, Address{settings_.ip_address, settings_.own_port});
}
void ControlPlaneClient::start() {
  thread_ = std::thread([this] { run(); });
}

void ControlPlaneClient::stop() {
  should_stop_ = true;
  waker_.wake();
  if (thread_.joinable())
    thread_.join();
}

// One spoke to each registry that the feed knows of.
void ControlPlaneClient::reach_all() {
  std::erase_if(lines_,
                [&](const auto& line) { return !control_source_.sources().contains(line.first); });
  for (const auto& [address, source] : control_source_.sources()) {
    Address parsed;
    if (lines_.contains(address) || !parse_address(address, parsed))
      continue;
    lines_[address].client = std::make_unique<FrameClient>(context_, parsed);
    follow_due_ = {};
  }
}

void ControlPlaneClient::follow_leader() {
  for (const auto& [address, source] : control_source_.sources())
    if (control_source_.is_leader(source))
      follow_one(address, false);
}

void ControlPlaneClient::run() {
  std::vector<void*> handles;
  while (!should_stop_) {
    for (const auto& contacts : contacts_.take()) {
      std::vector<std::string> seeds;
      for (const Address& contact : contacts)
        seeds.push_back(Address{contact.host, settings_.inner_port}.text());
      control_source_.set_seeds(std::move(seeds), Clock::now());
    }
    reach_all();
    if (const std::uint64_t revision = confirmed_revision_; revision != notified_revision_) {
      notified_revision_ = revision;
      follow_leader();
    }
    if (const std::uint64_t revision = ring_confirmed_; revision != ring_told_) {
      ring_told_ = revision;
      follow_leader();
    }
    if (const TimePoint now = Clock::now(); now >= follow_due_)
      follow_all(now);
    handles.assign({frame_server_.handle()});
    for (const auto& [address, line] : lines_)
      handles.push_back(line.client->handle());
    for (const auto& [address, client] : delegates_)
      handles.push_back(client->handle());
    TimePoint due =
        version_switch_.is_turning() ? std::min(follow_due_, version_switch_.due()) : follow_due_;
    if (fetched_ > version_switch_.held())
      due = std::min(due, fetch_due_);
    wait_links(
        handles, waker_,
        std::clamp(std::chrono::ceil<Duration>(due - Clock::now()), Duration(0), Duration(1000)));
    for (auto& [address, line] : lines_)
      take_each(
          256, [&] { return line.client->receive(); }, Clock::now,
          [&](const ReceivedFrame& frame, TimePoint came) { take(frame, came); });
    const TimePoint now = Clock::now();
    take_hub(now);
    send_delegations();
    fetch(now);
    turn(now);
    check_ready(now);
    if (has_news_)
      publish();
  }
}

void ControlPlaneClient::follow_all(TimePoint now) {
  control_source_.turn(now);
  follow_due_ = now + (is_ready_ ? settings_.follow : eager_follow);
  for (Evidence& evidence : evidence_.take())
    seen_ = std::move(evidence);
  std::size_t position = 0;
  for (const auto& [address, source] : control_source_.sources())
    if (control_source_.should_ask(address, ++position, is_ready_, now))
      follow_one(address, false);
  choose_feed(now);
  endpoint_table_.forget_gone(now, registry_tombstone(settings_));
}

void ControlPlaneClient::choose_feed(TimePoint now) {
  if (const auto chosen = control_source_.choose(now))
    follow_one(*chosen, false);
}

void ControlPlaneClient::take(const ReceivedFrame& frame, TimePoint now) {
  ByteReader reader(frame.bytes);
  FrameHead head;
  if (!decode_head(reader, head))
    return;
  const auto found = lines_.find(head.from);
  if (found == lines_.end())
    return;
  bool is_good = false;
  if (head.kind == FrameKind::heartbeat) {
    ControlHeartbeat heartbeat;
    if ((is_good = decode(reader, heartbeat)))
      handle_heartbeat(head, found->second, heartbeat, now);
  } else if (head.kind == FrameKind::configuration) {
    ConfigurationPayload body;
    if ((is_good = decode(reader, body)))
      take_body(std::move(body), now);
  } else if (head.kind == FrameKind::endpoint_list) {
    EndpointList endpoints;
    if ((is_good = decode(reader, endpoints)))
      handle_endpoints(found->second, head, endpoints, now);
  }
  if (!is_good) {
    LOG_EVERY_N(WARNING, 100) << "follow: frame dropped, foreign or damaged, from " << head.from;
  }
}

void ControlPlaneClient::handle_heartbeat(const FrameHead& head, Line& line,
                                          ControlHeartbeat& heartbeat, TimePoint now) {
  const bool was_confirmed = control_source_.is_confirmed(control_source_.chosen(), now);
  const ControlSourceSelector::Heard last_contact = control_source_.take(head.from, heartbeat, now);
  if (last_contact.is_steering) {
    version_switch_.see_in_force(heartbeat.version_in_force);
    if (lease_)
      handle_leadership_lease(heartbeat, *last_contact.asked);
    if (ring_)
      take_ring(heartbeat, *last_contact.asked);
    if (edges_)
      take_edges(heartbeat);
    if (heartbeat.retry_grant_validity) {
      reserve_.take(static_cast<double>(heartbeat.retry_grant) / 1000,
                    Duration(static_cast<std::int64_t>(
                        std::min<std::uint64_t>(heartbeat.retry_grant_validity, 60000))),
                    *last_contact.asked);
      if (now - reserve_shown_ >= settings_.follow * 2) {  // well before the one shown runs out
        reserve_shown_ = now;
        has_news_ = true;
      }
    }
  }
  if (last_contact.asked && sample_)
    take_samples(line, head.incarnation, heartbeat, *last_contact.asked, now);
  if (!is_ready_ || !was_confirmed)
    choose_feed(now);
  if (last_contact.asked && heartbeat.is_confirmed) {
    if (head.from == control_source_.chosen() && heartbeat.brokers_revision != brokers_revision_ &&
        (heartbeat.brokers_revision == 0 || !heartbeat.broker_endpoints.empty()))
      handle_broker_endpoints(heartbeat);
    if (heartbeat.broker_count != brokers_) {
      brokers_ = std::max<std::uint64_t>(1, heartbeat.broker_count);
      has_news_ = true;
    }
  }
  if (heartbeat.version > version_switch_.held())
    fetch(now);
  turn(now);
}

// Of each other region a few, spread by hash so that every broker is some others' choice.
void ControlPlaneClient::handle_broker_endpoints(const ControlHeartbeat& heartbeat) {
  brokers_revision_ = heartbeat.brokers_revision;
  std::map<std::string, std::vector<std::pair<std::size_t, BrokerEndpoint>>> by_region;
  for (const BrokerEndpoint& seat : heartbeat.broker_endpoints)
    if (seat.region != settings_.region)
      by_region[seat.region].push_back({std::hash<std::string>{}(address_ + seat.address), seat});
  std::vector<BrokerEndpoint> seats;
  for (auto& [region, choices] : by_region) {
    std::sort(choices.begin(), choices.end());
    if (choices.size() > max_aides)
      choices.resize(max_aides);
    for (auto& [hash, seat] : choices)
      seats.push_back(std::move(seat));
  }
  if (seats == seats_)
    return;
  seats_ = std::move(seats);
  has_news_ = true;
  std::erase_if(delegates_, [&](const auto& aide) {
    return std::none_of(seats_.begin(), seats_.end(),
                        [&](const BrokerEndpoint& seat) { return seat.address == aide.first; });
  });
}

// Asks a registry that holds the newest version for its body: the feed, if it has it soon, else the
// one heard last.
void ControlPlaneClient::fetch(TimePoint now) {
  const std::pair<const std::string, ControlSourceSelector::Source>* best = nullptr;
  const bool has_feed = is_ready_ && !control_source_.chosen().empty();
  const Version held = version_switch_.held();
  for (const auto& item : control_source_.sources()) {
    if (item.second.version <= held)
      continue;
    const auto rank = [&](const auto& one) {
      return std::tuple(one.second.version, one.first == control_source_.chosen(),
                        one.second.last_contact);
    };
    if (!best || rank(item) > rank(*best))
      best = &item;
  }
  if (!best || now < fetch_due_)
    return;
  if (fetched_ != best->second.version) {
    fetched_ = best->second.version;
    fetch_pause_ = fetch_again;
    if (has_feed && best->first != control_source_.chosen()) {
      fetch_due_ = now + feed_grace;
      return;
    }
  }
  fetch_due_ = now + fetch_pause_;
  fetch_pause_ =
      std::min(fetch_pause_ * 2, max_fetch_duration);  // over a narrow link a body takes its time
  follow_one(best->first, true);
}

void ControlPlaneClient::take_body(ConfigurationPayload body, TimePoint now) {
  if (body.version <= version_switch_.held())
    return;  // never back within a life
  ConfigurationSnapshot snapshot;
  std::string text;
  if (!unpack(body.body, max_body_wait, text)) {
    LOG(ERROR) << "follow: configuration damaged on its way";
    return;
  }
  if (Error found = read_configuration(text, snapshot)) {
    LOG(ERROR) << "follow: configuration unreadable: " << found.text();
    return;
  }
  version_switch_.take(std::move(snapshot), now);
  fetch_due_ = {};
  steps_.record(body.version, "held", now);
  LOG(INFO) << "follow: edition " << body.version.value << " held";
  turn(now);
  follow_due_ = now;
}

void ControlPlaneClient::turn(TimePoint now) {
  if (!version_switch_.turn(is_ready_, now))
    return;
  has_news_ = true;
  steps_.record(version_switch_.serving()->version, "in force", now);
}

void ControlPlaneClient::handle_endpoints(Line& line, const FrameHead& head,
                                          const EndpointList& endpoints, TimePoint now) {
  if (line.incarnation !=
      head.incarnation.value) {  // another life there: only its whole roster counts
    if (!endpoints.is_complete)
      return;
    line.incarnation = head.incarnation.value;
  } else if (endpoints.base_revision > line.revision) {
    return;  // a gap: the next follow tells what is held, and the rest comes again
  }
  for (const Endpoint& entry : endpoints.entries)
    has_news_ |= endpoint_table_.merge(entry, now);
  line.revision =
      endpoints.is_complete ? endpoints.revision : std::max(line.revision, endpoints.revision);
  control_source_.handle_endpoints(head.from);
}

void ControlPlaneClient::check_ready(TimePoint now) {
  const ConfigurationSnapshot& serving = version_switch_.serving();
  if (is_ready_ || !serving)
    return;
  const ControlSourceSelector::Ready ready = control_source_.judge(serving->version, now);
  if (ready == ControlSourceSelector::Ready::no)
    return;
  is_ready_ = has_news_ = true;
  LOG(INFO) << "follow: ready by edition " << serving->version.value
            << (ready == ControlSourceSelector::Ready::confirmed ? "" : ", unconfirmed");
}

void ControlPlaneClient::publish() {
  has_news_ = false;
  auto view = std::make_shared<View>();
  view->configuration = version_switch_.serving();
  view->is_ready = is_ready_;
  view->brokers = brokers_;
  view->seats = seats_;
  view->reserve = reserve_;
  const TimePoint now = Clock::now();
  for (const auto& [id, line] : endpoint_table_.lines()) {
    if (line.entry.phase == EndpointPhase::gone)
      continue;
    view->backends.push_back(line.entry);
    view->backends.back().warmup_left =
        line.warm_until > now ? static_cast<std::uint64_t>(elapsed(now, line.warm_until).count())
                              : 0;
  }
  show_(std::move(view));
}

void ControlPlaneClient::take_hub(TimePoint now) {
  for (int count = 0; count < 512; ++count) {
    auto frame = frame_server_.receive();
    if (!frame)
      return;
    ByteReader reader(frame->bytes);
    FrameHead head;
    if (!decode_head(reader, head))
      continue;
    if (head.kind == FrameKind::gather_request) {
      DelegationRequested in{std::move(frame->routing_id), {}};
      if (decode(reader, in.aid))
        tell_(std::move(in));
      continue;
    }
    if (head.kind != FrameKind::trace_request)
      continue;
    TraceReply traced;
    traced.node = settings_.node_name;
    traced.role = "broker";
    traced.version = version_switch_.held();
    traced.events = steps_.events(now);
    traced.registries = control_source_.registries();
    frame_server_.send(frame->routing_id,
                       encode({FrameKind::trace_reply, incarnation_, address_}, traced));
  }
}

// Aids to other brokers, and outcomes of theirs. A spoke set up just now drops its first frame:
// that aid is lost.
void ControlPlaneClient::send_delegations() {
  for (DelegationMessage& out : outs_.take()) {
    if (!out.token) {
      frame_server_.send(out.to, out.bytes);
      continue;
    }
    auto& client = delegates_[out.to];
    Address parsed;
    if (!client && parse_address(out.to, parsed))
      client = std::make_unique<FrameClient>(context_, parsed);
    if (!client || !client->send(out.bytes))
      tell_(DelegationLost{out.token});
  }
  for (const auto& [address, client] : delegates_)
    for (int count = 0; count < 256; ++count) {
      const auto frame = client->receive();
      if (!frame)
        break;
      ByteReader reader(frame->bytes);
      FrameHead head;
      DelegationResult in;
      if (decode_head(reader, head) && head.kind == FrameKind::gather_result &&
          decode(reader, in.aided))
        tell_(std::move(in));
    }
}

}  // namespace saddlewing
