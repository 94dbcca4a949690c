#include "coordination/discovery/control_source_selector.h"

#include <algorithm>
#include <tuple>

namespace saddlewing {
namespace {

constexpr Duration endpoints_timeout{500};  // a feed that brings nothing is changed for another

bool is_in(const std::vector<std::string>& list, const std::string& address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

}  // namespace

void ControlSourceSelector::add_source(const std::string& address, TimePoint now) {
  const auto [position, is_new] = sources_.try_emplace(address);
  if (!is_new)
    return;
  position->second.added_at = last_source_added_ = now;
}

void ControlSourceSelector::erase_unreferenced() {
  std::erase_if(sources_, [&](const auto& source) {
    const bool is_named = is_in(seeds_, source.first) || is_in(registries_, source.first) ||
                          is_in(hints_, source.first);
    if (!is_named && source.first == selected_)
      selected_.clear();
    return !is_named;
  });
}

void ControlSourceSelector::set_seeds(std::vector<std::string> addresses, TimePoint now) {
  seeds_ = std::move(addresses);
  for (const std::string& address : seeds_)
    add_source(address, now);
  erase_unreferenced();
}

std::uint64_t ControlSourceSelector::begin_requests(TimePoint now) {
  ++request_count_;
  return request_clock_.record_request(now);
}

bool ControlSourceSelector::should_request(const std::string& address, std::size_t position,
                                           bool is_ready, TimePoint now) const {
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return false;
  if (!is_ready || address == selected_ || is_leader(found->second))
    return true;
  const bool is_led = std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return is_leader(item.second) && now - item.second.last_contact < options_.request_interval * 3;
  });
  return !is_led || (request_count_ + position) % background_period == 0;
}

ControlSourceSelector::HeartbeatResult ControlSourceSelector::handle_heartbeat(
    const std::string& address, const ControlHeartbeat& heartbeat, TimePoint now) {
  HeartbeatResult result;
  const bool is_admitted = fence_.admits(heartbeat.term, heartbeat.is_leader);
  result.request_sent_at = request_clock_.sent_at(heartbeat.requester, heartbeat.token);
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return result;
  Source& source = found->second;
  source.version = std::max(source.version, heartbeat.version);
  // What lay in a buffer for so long tells of a time that is over.
  if (!result.request_sent_at || now - *result.request_sent_at > options_.request_interval * 10)
    return {};
  result.is_authoritative = is_admitted;
  source.term = heartbeat.term;
  source.is_leader = heartbeat.is_leader;
  source.is_filled = heartbeat.is_filled;
  source.zone = heartbeat.zone;
  source.region = heartbeat.region;
  if (*result.request_sent_at > source.answered_request_at)
    source.answered_request_at = *result.request_sent_at, source.last_contact = now;
  if (heartbeat.is_confirmed)
    source.confirmed_request_at = std::max(source.confirmed_request_at, *result.request_sent_at);
  else
    source.confirmed_request_at = {};
  std::vector<std::string> addresses = heartbeat.registries;
  if (heartbeat.is_confirmed) {
    registries_ = std::move(addresses);
    if (!is_in(registries_, address))
      registries_.push_back(address);
    hints_.clear();
    for (const std::string& each : registries_)
      add_source(each, now);
    erase_unreferenced();
  } else {
    for (std::string& each : addresses)
      if (hints_.size() < max_hints && !is_in(hints_, each)) {
        add_source(each, now);
        hints_.push_back(std::move(each));
      }
  }
  return result;
}

bool ControlSourceSelector::is_confirmed(const Source& source, bool is_selected,
                                         TimePoint now) const {
  if (source.confirmed_request_at == TimePoint{} ||
      now - source.confirmed_request_at >=
          options_.request_interval * 3 * static_cast<int>(background_period))
    return false;
  return !is_selected || now - std::max(source.confirmed_request_at, source.selection_changed_at) <
                             options_.request_interval * 3;  // a new feed has yet to answer
}

bool ControlSourceSelector::is_confirmed(const std::string& address, TimePoint now) const {
  const auto found = sources_.find(address);
  return found != sources_.end() && is_confirmed(found->second, address == selected_, now);
}

// One registry's roster is enough: the nearest that is heard. Another takes its place when it falls
// silent, or when it has no majority behind it and another has: one cut off from the core hears of
// no cancel.
std::optional<std::string> ControlSourceSelector::select(TimePoint now) {
  if (const auto found = sources_.find(selected_); found != sources_.end()) {
    Source& source = found->second;
    const bool is_timed_out = now - std::max(source.last_contact, source.selection_changed_at) >
                              options_.request_interval * 3;
    if (!is_confirmed(source, true, now))
      source.confirmed_request_at =
          {};  // it has to be confirmed anew, else it would come back by its former word
    const bool is_empty =
        !source.has_endpoints && now - source.selection_changed_at > endpoints_timeout;
    if (is_timed_out || is_empty) {
      source.selection_changed_at = now;
      source.last_contact = {};
      selected_.clear();
    }
  }
  const auto rank = [&](const std::string& address, const Source& source) {
    const int proximity = source.zone == options_.zone       ? 3
                          : source.region == options_.region ? 2
                                                             : 1;
    return std::tuple(is_confirmed(source, address == selected_, now) ? proximity + 4 : proximity,
                      address == selected_);
  };
  const std::pair<const std::string, Source>* best = nullptr;
  for (const auto& item : sources_) {
    if (item.second.last_contact == TimePoint{} ||
        now - item.second.last_contact >
            options_.request_interval * 3 * static_cast<int>(background_period))
      continue;
    if (!best || rank(item.first, item.second) > rank(best->first, best->second))
      best = &item;
  }
  if (!best || best->first == selected_)
    return std::nullopt;
  selected_ = best->first;
  sources_[selected_].selection_changed_at = now;
  return selected_;
}

ControlSourceSelector::Readiness ControlSourceSelector::readiness(Version serving,
                                                                  TimePoint now) const {
  // An address that was learnt late is waited for as long again, but not twice.
  const bool is_wait_over =
      now - std::min(last_source_added_, started_at_ + options_.unconfirmed_wait) >=
      options_.unconfirmed_wait;
  Readiness readiness = Readiness::no;
  for (const auto& [address, source] : sources_) {
    if (source.last_contact == TimePoint{} || !source.has_endpoints || source.version > serving)
      continue;
    if (is_confirmed(source, address == selected_, now) && source.is_filled &&
        source.version == serving)
      return Readiness::confirmed;
    if (is_wait_over)
      readiness = Readiness::unconfirmed;
  }
  return readiness;
}

}  // namespace saddlewing
