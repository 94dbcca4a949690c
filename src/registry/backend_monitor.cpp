#include "registry/backend_monitor.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "protocol/discovery_messages.h"
#include "protocol/http_calls.h"
#include "state/json_document.h"
#include "transport/header_names.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_head = 16384, max_page = 4 << 20, max_entries = 100000;
constexpr int max_pages = 2000;
constexpr Duration page_wait{1500}, probe_wait{1000};

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

BackendMonitor::BackendMonitor(const NodeSettings& settings, BoundedQueue<ControlEvent>& events)
    : settings_(settings),
      events_(events),
      target_updates_(64, [this] { poller_.wake(); }),
      targets_(std::make_shared<MonitorTargets>()) {
  listing_.monitor = this;
}

void BackendMonitor::start() {
  thread_ = std::thread([this] { run(); });
}

void BackendMonitor::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void BackendMonitor::run() {
  while (!should_stop_) {
    poller_.poll(timers_.until_next(Clock::now(), Duration(1000)));
    const TimePoint now = Clock::now();
    auto updates = target_updates_.take();
    if (!updates.empty())
      apply_targets(std::move(updates.back()), now);
    timers_.run(now);
    closed_connections_.clear();
  }
}

void BackendMonitor::apply_targets(MonitorTargetsSnapshot targets, TimePoint now) {
  const bool was_observing = targets_->is_observing;
  targets_ = std::move(targets);
  std::map<std::string, const MonitoredBackend*> wanted;
  if (targets_->is_observing)
    for (const MonitoredBackend& target : targets_->targets)
      wanted[target.id] = &target;
  for (auto position = probes_.begin(); position != probes_.end();) {
    if (wanted.contains(position->first)) {
      ++position;
    } else {
      defer_delete(position->second.caller);
      position = probes_.erase(position);
    }
  }
  for (const auto& [id, target] : wanted) {
    const auto [position, is_new] = probes_.try_emplace(id);
    position->second.monitor = this;
    position->second.target = *target;
    if (is_new)
      start_probe(position->second, now);  // a newcomer is probed at once
  }
  if (targets_->is_observing) {
    if (!was_observing && !listing_.is_waiting)
      timers_.set(listing_, now);
  } else if (!listing_.is_waiting) {
    timers_.drop(listing_);
  }
}

void BackendMonitor::defer_delete(std::unique_ptr<HttpClientConnection>& caller) {
  if (!caller)
    return;
  by_caller_.erase(caller.get());
  caller->end();
  closed_connections_.push_back(std::move(caller));
}

void BackendMonitor::start_probe(Probe& probe, TimePoint now) {
  Address address;
  probe.next = now + (probe.target.is_awaited ? settings_.renewal / 4 : settings_.renewal);
  if (!parse_address(probe.target.address, address))
    return timers_.set(probe, probe.next);
  if (!probe.caller || probe.caller->state() == HttpClientConnection::State::ended) {
    defer_delete(probe.caller);
    probe.caller = std::make_unique<HttpClientConnection>(poller_, *this, address, max_head, 65536);
    by_caller_[probe.caller.get()] = &probe;
  }
  const std::string bytes = std::string(row_of(HttpCall::probe_backend).method) + " " +
                            probe.target.health_path +
                            " HTTP/1.1\r\nHost: " + probe.target.address + "\r\n" +
                            header_name::target_server + ": " + probe.target.id + "\r\n\r\n";
  probe.is_waiting = probe.caller->ask(bytes, false);
  timers_.set(probe,
              probe.is_waiting ? now + std::min(probe_wait, settings_.renewal / 2) : probe.next);
}

void BackendMonitor::Probe::on_due(TimePoint now) {
  if (is_waiting) {  // silent: the connection is not trusted any more
    is_waiting = false;
    monitor->defer_delete(caller);
    monitor->timers_.set(*this, std::max(now, next));
    return;
  }
  monitor->start_probe(*this, now);
}

BackendMonitor::Probe* BackendMonitor::probe_of(HttpClientConnection& caller) {
  const auto found = by_caller_.find(&caller);
  return found == by_caller_.end() ? nullptr : found->second;
}

void BackendMonitor::start_page(TimePoint now) {
  if (!listing_.caller || listing_.caller->state() == HttpClientConnection::State::ended) {
    defer_delete(listing_.caller);
    listing_.caller = std::make_unique<HttpClientConnection>(poller_, *this, settings_.platform,
                                                             max_head, max_page);
  }
  std::string bytes = std::string(row_of(HttpCall::list_backends).method) + " " +
                      std::string(row_of(HttpCall::list_backends).path);
  if (!listing_.token.empty())
    bytes += "?page_token=" + encode_query(listing_.token);
  bytes += " HTTP/1.1\r\nHost: " + settings_.platform.text() + "\r\n\r\n";
  listing_.is_waiting = listing_.caller->ask(bytes, false);
  if (!listing_.is_waiting)
    return end_listing(settings_.listing, now);
  timers_.set(listing_, now + page_wait);
}

void BackendMonitor::Listing::on_due(TimePoint now) {
  if (is_waiting) {
    monitor->defer_delete(caller);
    return monitor->end_listing(monitor->settings_.listing, now);
  }
  if (!monitor->targets_->is_observing)
    return;
  entries.clear();
  token.clear();
  pages = 0;
  monitor->start_page(now);
}

void BackendMonitor::end_listing(Duration pause, TimePoint now) {
  listing_.is_waiting = false;
  listing_.pause = pause;
  if (targets_->is_observing)
    timers_.set(listing_, now + pause);
}

bool BackendMonitor::take_page(const std::string& body) {
  Json::Value root;
  std::string reason;
  if (!read_json(body, root, reason) || !root.isObject() || !root["backends"].isArray())
    return false;
  for (const Json::Value& value : root["backends"]) {
    if (!value.isObject())
      return false;
    Endpoint entry;
    entry.id = text_of(value, "id");
    entry.service = text_of(value, "service");
    entry.address = text_of(value, "address");
    entry.zone = text_of(value, "zone");
    entry.software = text_of(value, "version");
    const std::string state = text_of(value, "state");
    if (entry.id.empty() || entry.service.empty() || entry.address.empty())
      continue;  // of no use to anyone
    entry.phase = state == "emptying" ? EndpointPhase::draining : EndpointPhase::ready;
    if (value["capacity"].isNumeric())
      entry.capacity =
          static_cast<std::uint64_t>(std::clamp(value["capacity"].asDouble(), 1.0, 1e6));
    if (value["warm_left_ms"].isNumeric())
      entry.warmup_left =
          static_cast<std::uint64_t>(std::clamp(value["warm_left_ms"].asDouble(), 0.0, 1e9));
    listing_.entries.push_back(std::move(entry));
    if (listing_.entries.size() > max_entries)
      return false;
  }
  const Json::Value& next = root["next_token"];
  const std::string token = next.isString() ? next.asString() : "";
  if (!next.isNull() && !next.isString())
    return false;
  if (!token.empty() && (token == listing_.token || ++listing_.pages > max_pages))
    return false;  // a token without end
  listing_.token = token;
  return true;
}

void BackendMonitor::on_response(HttpClientConnection& caller, TimePoint now) {
  if (&caller == listing_.caller.get()) {
    const int status = caller.reader().response().getStatus();
    if (status != 200) {
      // Over its rate the platform asks for room.
      return end_listing(
          status == 429 ? std::min(std::max(listing_.pause * 2, settings_.listing), Duration(4000))
                        : settings_.listing,
          now);
    }
    if (!take_page(caller.reader().body())) {
      LOG_EVERY_N(WARNING, 20) << "watch: page of the platform not understood";
      return end_listing(settings_.listing, now);
    }
    if (!listing_.token.empty())
      return start_page(now);
    hand_over(events_, BackendListing{std::move(listing_.entries)}, "listing of backends");
    listing_.entries.clear();
    return end_listing(settings_.listing, now);
  }
  Probe* probe = probe_of(caller);
  if (!probe)
    return;
  probe->is_waiting = false;
  timers_.set(*probe, std::max(now, probe->next));
  const auto& response = caller.reader().response();
  if (response.getStatus() == 200 && response.get(header_name::server_id, "") == probe->target.id)
    hand_over(events_, ProbeReply{probe->target.id}, "reply to a probe");
}

void BackendMonitor::on_failure(HttpClientConnection& caller, ErrorCode, TimePoint now) {
  if (&caller == listing_.caller.get())
    return end_listing(settings_.listing, now);
  Probe* probe = probe_of(caller);
  if (!probe)
    return;
  probe->is_waiting = false;
  timers_.set(*probe, std::max(now, probe->next));
}

void BackendMonitor::on_idle_end(HttpClientConnection&) {
}  // the next call opens anew

}  // namespace saddlewing
