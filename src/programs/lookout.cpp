#include "programs/lookout.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "protocol/calls.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_head = 16384, most_page = 4 << 20, most_entries = 100000;
constexpr int most_pages = 2000;
constexpr Span page_wait{1500}, probe_wait{1000};

std::string encode_query(const std::string& text) {
  static const char digits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : text) {
    if (std::isalnum(static_cast<unsigned char>(letter)) || letter == '-' || letter == '_' ||
        letter == '.')
      encoded += letter;
    else
      (encoded += '%') += {digits[(letter >> 4) & 15], digits[letter & 15]};
  }
  return encoded;
}

std::string text_of(const Json::Value& value, const char* name) {
  return value[name].isString() ? value[name].asString() : "";
}

}  // namespace

Lookout::Lookout(const Startup& startup, Ring<CoreEvent>& events)
    : startup_(startup),
      events_(events),
      orders_(64, [this] { poller_.wake(); }),
      order_(std::make_shared<WatchOrder>()) {
  listing_.lookout = this;
}

void Lookout::start() {
  thread_ = std::thread([this] { run(); });
}

void Lookout::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void Lookout::run() {
  while (!should_stop_) {
    poller_.poll(schedule_.until_next(Clock::now(), Span(1000)));
    const Moment now = Clock::now();
    auto orders = orders_.take();
    if (!orders.empty())
      take_order(std::move(orders.back()), now);
    schedule_.run(now);
    graves_.clear();
  }
}

void Lookout::take_order(WatchOrderSnapshot order, Moment now) {
  const bool was_observing = order_->is_observing;
  order_ = std::move(order);
  std::map<std::string, const WatchTarget*> wanted;
  if (order_->is_observing)
    for (const WatchTarget& target : order_->targets)
      wanted[target.id] = &target;
  for (auto place = probes_.begin(); place != probes_.end();) {
    if (wanted.contains(place->first)) {
      ++place;
    } else {
      bury(place->second.caller);
      place = probes_.erase(place);
    }
  }
  for (const auto& [id, target] : wanted) {
    const auto [place, is_new] = probes_.try_emplace(id);
    place->second.lookout = this;
    place->second.target = *target;
    if (is_new)
      start_probe(place->second, now);  // a newcomer is probed at once
  }
  if (order_->is_observing) {
    if (!was_observing && !listing_.is_waiting)
      schedule_.set(listing_, now);
  } else if (!listing_.is_waiting) {
    schedule_.drop(listing_);
  }
}

void Lookout::bury(std::unique_ptr<Caller>& caller) {
  if (!caller)
    return;
  by_caller_.erase(caller.get());
  caller->end();
  graves_.push_back(std::move(caller));
}

void Lookout::start_probe(Probe& probe, Moment now) {
  Address address;
  probe.next = now + (probe.target.is_awaited ? startup_.renewal / 4 : startup_.renewal);
  if (!parse_address(probe.target.address, address))
    return schedule_.set(probe, probe.next);
  if (!probe.caller || probe.caller->state() == Caller::State::ended) {
    bury(probe.caller);
    probe.caller = std::make_unique<Caller>(poller_, *this, address, most_head, 65536);
    by_caller_[probe.caller.get()] = &probe;
  }
  const std::string bytes = std::string(row_of(Call::probe_backend).method) + " " +
                            probe.target.health_path +
                            " HTTP/1.1\r\nHost: " + probe.target.address + "\r\n" +
                            field::meant_server + ": " + probe.target.id + "\r\n\r\n";
  probe.is_waiting = probe.caller->ask(bytes, false);
  schedule_.set(probe,
                probe.is_waiting ? now + std::min(probe_wait, startup_.renewal / 2) : probe.next);
}

void Lookout::Probe::on_due(Moment now) {
  if (is_waiting) {  // silent: the connection is not trusted any more
    is_waiting = false;
    lookout->bury(caller);
    lookout->schedule_.set(*this, std::max(now, next));
    return;
  }
  lookout->start_probe(*this, now);
}

Lookout::Probe* Lookout::probe_of(Caller& caller) {
  const auto found = by_caller_.find(&caller);
  return found == by_caller_.end() ? nullptr : found->second;
}

void Lookout::start_page(Moment now) {
  if (!listing_.caller || listing_.caller->state() == Caller::State::ended) {
    bury(listing_.caller);
    listing_.caller =
        std::make_unique<Caller>(poller_, *this, startup_.platform, most_head, most_page);
  }
  std::string bytes = std::string(row_of(Call::list_backends).method) + " " +
                      std::string(row_of(Call::list_backends).path);
  if (!listing_.token.empty())
    bytes += "?page_token=" + encode_query(listing_.token);
  bytes += " HTTP/1.1\r\nHost: " + startup_.platform.text() + "\r\n\r\n";
  listing_.is_waiting = listing_.caller->ask(bytes, false);
  if (!listing_.is_waiting)
    return end_listing(startup_.listing, now);
  schedule_.set(listing_, now + page_wait);
}

void Lookout::Listing::on_due(Moment now) {
  if (is_waiting) {
    lookout->bury(caller);
    return lookout->end_listing(lookout->startup_.listing, now);
  }
  if (!lookout->order_->is_observing)
    return;
  entries.clear();
  token.clear();
  pages = 0;
  lookout->start_page(now);
}

void Lookout::end_listing(Span pause, Moment now) {
  listing_.is_waiting = false;
  listing_.pause = pause;
  if (order_->is_observing)
    schedule_.set(listing_, now + pause);
}

bool Lookout::take_page(const std::string& body) {
  Json::Value root;
  std::string reason;
  if (!read_json(body, root, reason) || !root.isObject() || !root["backends"].isArray())
    return false;
  for (const Json::Value& value : root["backends"]) {
    if (!value.isObject())
      return false;
    RosterEntry entry;
    entry.id = text_of(value, "id");
    entry.service = text_of(value, "service");
    entry.address = text_of(value, "address");
    entry.locality = text_of(value, "zone");
    entry.software = text_of(value, "version");
    const std::string state = text_of(value, "state");
    if (entry.id.empty() || entry.service.empty() || entry.address.empty())
      continue;  // of no use to anyone
    entry.phase = state == "emptying" ? Phase::emptying : Phase::ready;
    if (value["capacity"].isNumeric())
      entry.capacity =
          static_cast<std::uint64_t>(std::clamp(value["capacity"].asDouble(), 1.0, 1e6));
    if (value["warm_left_ms"].isNumeric())
      entry.warm_left =
          static_cast<std::uint64_t>(std::clamp(value["warm_left_ms"].asDouble(), 0.0, 1e9));
    listing_.entries.push_back(std::move(entry));
    if (listing_.entries.size() > most_entries)
      return false;
  }
  const Json::Value& next = root["next_token"];
  const std::string token = next.isString() ? next.asString() : "";
  if (!next.isNull() && !next.isString())
    return false;
  if (!token.empty() && (token == listing_.token || ++listing_.pages > most_pages))
    return false;  // a token without end
  listing_.token = token;
  return true;
}

void Lookout::on_outcome(Caller& caller, Moment now) {
  if (&caller == listing_.caller.get()) {
    const int status = caller.reader().response().getStatus();
    if (status != 200) {
      // Over its rate the platform asks for room.
      return end_listing(status == 429
                             ? std::min(std::max(listing_.pause * 2, startup_.listing), Span(4000))
                             : startup_.listing,
                         now);
    }
    if (!take_page(caller.reader().body())) {
      LOG_EVERY_N(WARNING, 20) << "watch: page of the platform not understood";
      return end_listing(startup_.listing, now);
    }
    if (!listing_.token.empty())
      return start_page(now);
    events_.push(Listed{std::move(listing_.entries)});
    listing_.entries.clear();
    return end_listing(startup_.listing, now);
  }
  Probe* probe = probe_of(caller);
  if (!probe)
    return;
  probe->is_waiting = false;
  schedule_.set(*probe, std::max(now, probe->next));
  const auto& response = caller.reader().response();
  if (response.getStatus() == 200 && response.get(field::server_id, "") == probe->target.id)
    events_.push(Renewed{probe->target.id});
}

void Lookout::on_breakdown(Caller& caller, Kind, Moment now) {
  if (&caller == listing_.caller.get())
    return end_listing(startup_.listing, now);
  Probe* probe = probe_of(caller);
  if (!probe)
    return;
  probe->is_waiting = false;
  schedule_.set(*probe, std::max(now, probe->next));
}

void Lookout::on_idle_end(Caller&) {
}  // the next call opens anew

}  // namespace saddlewing
