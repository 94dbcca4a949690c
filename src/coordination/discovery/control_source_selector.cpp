#include "coordination/discovery/control_source_selector.h"

#include <algorithm>
#include <tuple>

namespace saddlewing {
namespace {

constexpr Duration feed_wait{500};  // a feed that brings nothing is changed for another

bool is_in(const std::vector<std::string>& list, const std::string& address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

}  // namespace

void ControlSourceSelector::reach(const std::string& address, TimePoint now) {
  const auto [position, is_new] = sources_.try_emplace(address);
  if (!is_new)
    return;
  position->second.known = learned_ = now;
}

void ControlSourceSelector::drop_unnamed() {
  std::erase_if(sources_, [&](const auto& source) {
    const bool is_named = is_in(seeds_, source.first) || is_in(registries_, source.first) ||
                          is_in(hints_, source.first);
    if (!is_named && source.first == control_source_)
      control_source_.clear();
    return !is_named;
  });
}

void ControlSourceSelector::set_seeds(std::vector<std::string> addresses, TimePoint now) {
  seeds_ = std::move(addresses);
  for (const std::string& address : seeds_)
    reach(address, now);
  drop_unnamed();
}

std::uint64_t ControlSourceSelector::turn(TimePoint now) {
  ++turn_;
  return request_clock_.record_request(now);
}

bool ControlSourceSelector::should_ask(const std::string& address, std::size_t position,
                                       bool is_ready, TimePoint now) const {
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return false;
  if (!is_ready || address == control_source_ || is_leader(found->second))
    return true;
  const bool is_led = std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return is_leader(item.second) && now - item.second.last_contact < options_.follow * 3;
  });
  return !is_led || (turn_ + position) % seldom == 0;
}

ControlSourceSelector::Heard ControlSourceSelector::take(const std::string& address,
                                                         const ControlHeartbeat& heartbeat,
                                                         TimePoint now) {
  Heard last_contact;
  const bool may_steer = fence_.admits(heartbeat.term, heartbeat.is_leader);
  last_contact.asked = request_clock_.sent_at(heartbeat.requester, heartbeat.token);
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return last_contact;
  Source& source = found->second;
  source.version = std::max(source.version, heartbeat.version);
  // What lay in a buffer for so long tells of a time that is over.
  if (!last_contact.asked || now - *last_contact.asked > options_.follow * 10)
    return {};
  last_contact.is_steering = may_steer;
  source.term = heartbeat.term;
  source.is_leader = heartbeat.is_leader;
  source.is_filled = heartbeat.is_filled;
  source.zone = heartbeat.zone;
  source.region = heartbeat.region;
  if (*last_contact.asked > source.answered)
    source.answered = *last_contact.asked, source.last_contact = now;
  if (heartbeat.is_confirmed)
    source.confirmed = std::max(source.confirmed, *last_contact.asked);
  else
    source.confirmed = {};
  std::vector<std::string> told = heartbeat.registries;
  if (heartbeat.is_confirmed) {
    registries_ = std::move(told);
    if (!is_in(registries_, address))
      registries_.push_back(address);
    hints_.clear();
    for (const std::string& each : registries_)
      reach(each, now);
    drop_unnamed();
  } else {
    for (std::string& each : told)
      if (hints_.size() < max_hints && !is_in(hints_, each)) {
        reach(each, now);
        hints_.push_back(std::move(each));
      }
  }
  return last_contact;
}

bool ControlSourceSelector::is_confirmed(const Source& source, bool is_feed, TimePoint now) const {
  if (source.confirmed == TimePoint{} ||
      now - source.confirmed >= options_.follow * 3 * static_cast<int>(seldom))
    return false;
  return !is_feed || now - std::max(source.confirmed, source.fed) <
                         options_.follow * 3;  // a new feed has yet to answer
}

bool ControlSourceSelector::is_confirmed(const std::string& address, TimePoint now) const {
  const auto found = sources_.find(address);
  return found != sources_.end() && is_confirmed(found->second, address == control_source_, now);
}

// One registry's roster is enough: the nearest that is heard. Another takes its place when it falls
// silent, or when it has no majority behind it and another has: one cut off from the core hears of
// no cancel.
std::optional<std::string> ControlSourceSelector::choose(TimePoint now) {
  if (const auto found = sources_.find(control_source_); found != sources_.end()) {
    Source& source = found->second;
    const bool is_silent = now - std::max(source.last_contact, source.fed) > options_.follow * 3;
    if (!is_confirmed(source, true, now))
      source.confirmed =
          {};  // it has to be confirmed anew, else it would come back by its former word
    const bool is_empty = !source.has_endpoints && now - source.fed > feed_wait;
    if (is_silent || is_empty) {
      source.fed = now;
      source.last_contact = {};
      control_source_.clear();
    }
  }
  const auto rank = [&](const std::string& address, const Source& source) {
    const int way = source.zone == options_.zone ? 3 : source.region == options_.region ? 2 : 1;
    return std::tuple(is_confirmed(source, address == control_source_, now) ? way + 4 : way,
                      address == control_source_);
  };
  const std::pair<const std::string, Source>* best = nullptr;
  for (const auto& item : sources_) {
    if (item.second.last_contact == TimePoint{} ||
        now - item.second.last_contact > options_.follow * 3 * static_cast<int>(seldom))
      continue;
    if (!best || rank(item.first, item.second) > rank(best->first, best->second))
      best = &item;
  }
  if (!best || best->first == control_source_)
    return std::nullopt;
  control_source_ = best->first;
  sources_[control_source_].fed = now;
  return control_source_;
}

ControlSourceSelector::Ready ControlSourceSelector::judge(Version serving, TimePoint now) const {
  // An address that was learnt late is waited for as long again, but not twice.
  const bool is_over =
      now - std::min(learned_, born_ + options_.unconfirmed_wait) >= options_.unconfirmed_wait;
  Ready ready = Ready::no;
  for (const auto& [address, source] : sources_) {
    if (source.last_contact == TimePoint{} || !source.has_endpoints || source.version > serving)
      continue;
    if (is_confirmed(source, address == control_source_, now) && source.is_filled &&
        source.version == serving)
      return Ready::confirmed;
    if (is_over)
      ready = Ready::unconfirmed;
  }
  return ready;
}

}  // namespace saddlewing
