#include "coordination/discovery/control_source_selector.h"
#include "protocol/control_messages.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

// A source that sends no endpoints for so long is changed for another.
constexpr Duration endpoints_timeout{500};

// Request intervals without contact after which a registry counts as silent.
constexpr int contact_timeout_intervals = 3;

// Of how many turns one goes to registries that are neither leader nor source.
constexpr std::size_t background_period = 4;

// Request intervals after which a reply is too old to tell anything.
constexpr int max_reply_age_intervals = 10;

constexpr std::size_t max_hints = 16;

// Ranks of proximity; a confirmed registry ranks above any that is not.
constexpr int same_zone = 3;
constexpr int same_region = 2;
constexpr int elsewhere = 1;
constexpr int confirmed_bonus = 4;

bool is_in(const std::vector<std::string>& list, const std::string& address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

int proximity(const ControlSource& source, const ControlSourceOptions& options) {
  if (source.zone == options.zone)
    return same_zone;
  return source.region == options.region ? same_region : elsewhere;
}

}  // namespace

ControlSourceSelector::ControlSourceSelector(ControlSourceOptions options,
                                             IncarnationId incarnation, TimePoint now)
    : options_(std::move(options)),
      request_clock_(incarnation),
      started_at_(now),
      last_source_added_(now) {
}

Duration ControlSourceSelector::contact_timeout() const {
  return options_.request_interval * contact_timeout_intervals;
}

// For a registry that gets a request only every `background_period` turns.
Duration ControlSourceSelector::background_timeout() const {
  return contact_timeout() * static_cast<int>(background_period);
}

void ControlSourceSelector::add_source(const std::string& address, TimePoint now) {
  const bool is_new = sources_.try_emplace(address).second;
  if (is_new)
    last_source_added_ = now;
}

void ControlSourceSelector::erase_unreferenced() {
  std::erase_if(sources_, [&](const auto& item) {
    const std::string& address = item.first;
    const bool is_referenced =
        is_in(seeds_, address) || is_in(registries_, address) || is_in(hints_, address);
    if (!is_referenced && address == selected_)
      selected_.clear();
    return !is_referenced;
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

bool ControlSourceSelector::has_leader(TimePoint now) const {
  return std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return is_leader(item.second) && now - item.second.last_contact < contact_timeout();
  });
}

bool ControlSourceSelector::should_request(const std::string& address, std::size_t position,
                                           bool is_ready, TimePoint now) const {
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return false;
  if (!is_ready || address == selected_ || is_leader(found->second))
    return true;
  return !has_leader(now) || (request_count_ + position) % background_period == 0;
}

ControlSourceSelector::HeartbeatResult ControlSourceSelector::handle_heartbeat(
    const std::string& address, const ControlHeartbeat& heartbeat, TimePoint now) {
  HeartbeatResult result;
  const bool is_admitted = fence_.admits(heartbeat.term, heartbeat.is_leader);
  result.request_sent_at = request_clock_.sent_at(heartbeat.requester, heartbeat.token);
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return result;
  ControlSource& source = found->second;
  source.version = std::max(source.version, heartbeat.version);
  const Duration max_reply_age = options_.request_interval * max_reply_age_intervals;
  if (!result.request_sent_at || now - *result.request_sent_at > max_reply_age)
    return {};
  result.is_authoritative = is_admitted;
  update_source(source, heartbeat, *result.request_sent_at, now);
  learn_addresses(address, heartbeat, now);
  return result;
}

void ControlSourceSelector::update_source(ControlSource& source, const ControlHeartbeat& heartbeat,
                                          TimePoint request_sent_at, TimePoint now) {
  source.term = heartbeat.term;
  source.is_leader = heartbeat.is_leader;
  source.is_filled = heartbeat.is_filled;
  source.zone = heartbeat.zone;
  source.region = heartbeat.region;
  if (request_sent_at > source.answered_request_at) {
    source.answered_request_at = request_sent_at;
    source.last_contact = now;
  }
  if (heartbeat.is_confirmed)
    source.confirmed_request_at = std::max(source.confirmed_request_at, request_sent_at);
  else
    source.confirmed_request_at = {};
}

// A confirmed registry knows the members; what others name is tried beside what is known.
void ControlSourceSelector::learn_addresses(const std::string& from,
                                            const ControlHeartbeat& heartbeat, TimePoint now) {
  if (heartbeat.is_confirmed) {
    registries_ = heartbeat.registries;
    if (!is_in(registries_, from))
      registries_.push_back(from);
    hints_.clear();
    for (const std::string& address : registries_)
      add_source(address, now);
    erase_unreferenced();
    return;
  }
  for (const std::string& address : heartbeat.registries) {
    if (hints_.size() >= max_hints || is_in(hints_, address))
      continue;
    add_source(address, now);
    hints_.push_back(address);
  }
}

void ControlSourceSelector::handle_endpoints(const std::string& address) {
  if (const auto found = sources_.find(address); found != sources_.end())
    found->second.has_endpoints = true;
}

bool ControlSourceSelector::is_confirmed(const ControlSource& source, bool is_selected,
                                         TimePoint now) const {
  if (source.confirmed_request_at == TimePoint{} ||
      now - source.confirmed_request_at >= background_timeout())
    return false;
  if (!is_selected)
    return true;
  // A new source has yet to answer as such.
  const TimePoint since = std::max(source.confirmed_request_at, source.selection_changed_at);
  return now - since < contact_timeout();
}

bool ControlSourceSelector::is_confirmed(const std::string& address, TimePoint now) const {
  const auto found = sources_.find(address);
  return found != sources_.end() && is_confirmed(found->second, address == selected_, now);
}

// Gives up a source that is silent or sends no endpoints. One that is not confirmed any more must
// be confirmed anew, else it would be chosen again by its former replies.
void ControlSourceSelector::check_selected(TimePoint now) {
  const auto found = sources_.find(selected_);
  if (found == sources_.end())
    return;
  ControlSource& source = found->second;
  const TimePoint last_sign = std::max(source.last_contact, source.selection_changed_at);
  const bool is_timed_out = now - last_sign > contact_timeout();
  if (!is_confirmed(source, true, now))
    source.confirmed_request_at = {};
  const bool is_empty =
      !source.has_endpoints && now - source.selection_changed_at > endpoints_timeout;
  if (!is_timed_out && !is_empty)
    return;
  source.selection_changed_at = now;
  source.last_contact = {};
  selected_.clear();
}

// One registry's list of endpoints is enough. Another takes its place also when it has no majority
// behind it and another has: a registry cut off from the others hears of no cancel.
std::optional<std::string> ControlSourceSelector::select(TimePoint now) {
  check_selected(now);
  const auto rank = [&](const std::string& address, const ControlSource& source) {
    const bool is_selected = address == selected_;
    const int bonus = is_confirmed(source, is_selected, now) ? confirmed_bonus : 0;
    return std::tuple(proximity(source, options_) + bonus, is_selected);
  };
  const std::pair<const std::string, ControlSource>* best = nullptr;
  for (const auto& item : sources_) {
    const ControlSource& source = item.second;
    if (source.last_contact == TimePoint{} || now - source.last_contact > background_timeout())
      continue;
    if (best == nullptr || rank(item.first, source) > rank(best->first, best->second))
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
  const TimePoint wait_started =
      std::min(last_source_added_, started_at_ + options_.unconfirmed_wait);
  const bool is_wait_over = now - wait_started >= options_.unconfirmed_wait;
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
