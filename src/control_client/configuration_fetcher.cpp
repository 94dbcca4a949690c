#include "control_client/configuration_fetcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration retry_interval{
    600};  // after which a body that did not arrive is requested again
constexpr Duration max_retry_interval{2400};  // over a narrow link a body takes its time
constexpr Duration source_grace{
    120};  // for the source to get a version that another registry holds

using SourceItem = std::pair<const std::string, ControlSource>;

// Of the registries that hold the newest version the source is best, else the one heard last.
const SourceItem* find_best(const ControlSourceSelector& selector, Version held) {
  const auto rank = [&](const SourceItem& item) {
    return std::tuple(item.second.version, item.first == selector.selected(),
                      item.second.last_contact);
  };
  const SourceItem* best = nullptr;
  for (const SourceItem& item : selector.sources()) {
    if (item.second.version <= held)
      continue;
    if (best == nullptr || rank(item) > rank(*best))
      best = &item;
  }
  return best;
}

}  // namespace

std::optional<std::string> ConfigurationFetcher::next(const ControlSourceSelector& selector,
                                                      Version held, bool has_source,
                                                      TimePoint now) {
  const SourceItem* best = find_best(selector, held);
  if (!best || now < due_)
    return std::nullopt;
  if (requested_ != best->second.version) {
    requested_ = best->second.version;
    interval_ = retry_interval;
    if (has_source && best->first != selector.selected()) {
      due_ = now + source_grace;
      return std::nullopt;
    }
  }
  due_ = now + interval_;
  interval_ = std::min(interval_ * 2, max_retry_interval);
  return best->first;
}

}  // namespace saddlewing
