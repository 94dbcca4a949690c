#include "coordination/feed.h"

#include <algorithm>
#include <tuple>

namespace saddlewing {
namespace {

constexpr Span feed_wait{500};  // a feed that brings nothing is changed for another

bool is_in(const std::vector<std::string>& list, const std::string& address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

}  // namespace

void Feed::reach(const std::string& address, Moment now) {
  const auto [place, is_new] = sources_.try_emplace(address);
  if (!is_new)
    return;
  place->second.known = learned_ = now;
}

void Feed::drop_unnamed() {
  std::erase_if(sources_, [&](const auto& source) {
    const bool is_named = is_in(seeds_, source.first) || is_in(registries_, source.first) ||
                          is_in(hints_, source.first);
    if (!is_named && source.first == feed_)
      feed_.clear();
    return !is_named;
  });
}

void Feed::set_seeds(std::vector<std::string> addresses, Moment now) {
  seeds_ = std::move(addresses);
  for (const std::string& address : seeds_)
    reach(address, now);
  drop_unnamed();
}

std::uint64_t Feed::turn(Moment now) {
  ++turn_;
  return askings_.ask(now);
}

bool Feed::should_ask(const std::string& address, std::size_t place, bool is_ready,
                      Moment now) const {
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return false;
  if (!is_ready || address == feed_ || is_leader(found->second))
    return true;
  const bool is_led = std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return is_leader(item.second) && now - item.second.heard < options_.follow * 3;
  });
  return !is_led || (turn_ + place) % seldom == 0;
}

Feed::Heard Feed::take(const std::string& address, const Beat& beat, Moment now) {
  Heard heard;
  const bool may_steer = fence_.admits(beat.term, beat.is_leader);
  heard.asked = askings_.find(beat.asker, beat.token);
  const auto found = sources_.find(address);
  if (found == sources_.end())
    return heard;
  Source& source = found->second;
  source.version = std::max(source.version, beat.version);
  // What lay in a buffer for so long tells of a time that is over.
  if (!heard.asked || now - *heard.asked > options_.follow * 10)
    return {};
  heard.is_steering = may_steer;
  source.term = beat.term;
  source.is_leader = beat.is_leader;
  source.is_filled = beat.is_filled;
  source.locality = beat.locality;
  source.region = beat.region;
  if (*heard.asked > source.answered)
    source.answered = *heard.asked, source.heard = now;
  if (beat.is_confirmed)
    source.confirmed = std::max(source.confirmed, *heard.asked);
  else
    source.confirmed = {};
  std::vector<std::string> told = beat.registries;
  if (beat.is_confirmed) {
    registries_ = std::move(told);
    if (!is_in(registries_, address))
      registries_.push_back(address);
    hints_.clear();
    for (const std::string& each : registries_)
      reach(each, now);
    drop_unnamed();
  } else {
    for (std::string& each : told)
      if (hints_.size() < most_hints && !is_in(hints_, each)) {
        reach(each, now);
        hints_.push_back(std::move(each));
      }
  }
  return heard;
}

bool Feed::is_confirmed(const Source& source, bool is_feed, Moment now) const {
  if (source.confirmed == Moment{} ||
      now - source.confirmed >= options_.follow * 3 * static_cast<int>(seldom))
    return false;
  return !is_feed || now - std::max(source.confirmed, source.fed) <
                         options_.follow * 3;  // a new feed has yet to answer
}

bool Feed::is_confirmed(const std::string& address, Moment now) const {
  const auto found = sources_.find(address);
  return found != sources_.end() && is_confirmed(found->second, address == feed_, now);
}

// One registry's roster is enough: the nearest that is heard. Another takes its place when it falls
// silent, or when it has no majority behind it and another has: one cut off from the core hears of
// no cancel.
std::optional<std::string> Feed::choose(Moment now) {
  if (const auto found = sources_.find(feed_); found != sources_.end()) {
    Source& source = found->second;
    const bool is_silent = now - std::max(source.heard, source.fed) > options_.follow * 3;
    if (!is_confirmed(source, true, now))
      source.confirmed =
          {};  // it has to be confirmed anew, else it would come back by its former word
    const bool is_empty = !source.has_roster && now - source.fed > feed_wait;
    if (is_silent || is_empty) {
      source.fed = now;
      source.heard = {};
      feed_.clear();
    }
  }
  const auto rank = [&](const std::string& address, const Source& source) {
    const int way = source.locality == options_.locality ? 3
                    : source.region == options_.region   ? 2
                                                         : 1;
    return std::tuple(is_confirmed(source, address == feed_, now) ? way + 4 : way,
                      address == feed_);
  };
  const std::pair<const std::string, Source>* best = nullptr;
  for (const auto& item : sources_) {
    if (item.second.heard == Moment{} ||
        now - item.second.heard > options_.follow * 3 * static_cast<int>(seldom))
      continue;
    if (!best || rank(item.first, item.second) > rank(best->first, best->second))
      best = &item;
  }
  if (!best || best->first == feed_)
    return std::nullopt;
  feed_ = best->first;
  sources_[feed_].fed = now;
  return feed_;
}

Feed::Ready Feed::judge(Version serving, Moment now) const {
  // An address that was learnt late is waited for as long again, but not twice.
  const bool is_over =
      now - std::min(learned_, born_ + options_.unconfirmed_wait) >= options_.unconfirmed_wait;
  Ready ready = Ready::no;
  for (const auto& [address, source] : sources_) {
    if (source.heard == Moment{} || !source.has_roster || source.version > serving)
      continue;
    if (is_confirmed(source, address == feed_, now) && source.is_filled &&
        source.version == serving)
      return Ready::confirmed;
    if (is_over)
      ready = Ready::unconfirmed;
  }
  return ready;
}

}  // namespace saddlewing
