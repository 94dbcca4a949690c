#include "control_client/remote_brokers.h"
#include "protocol/control_messages.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t max_per_region = 4;

}  // namespace

RemoteBrokers::RemoteBrokers(std::string address, std::string region)
    : address_(std::move(address)), region_(std::move(region)) {
}

bool RemoteBrokers::update(const ControlHeartbeat& heartbeat) {
  const bool has_list = heartbeat.brokers_revision == 0 || !heartbeat.broker_endpoints.empty();
  if (heartbeat.brokers_revision == revision_ || !has_list)
    return false;
  revision_ = heartbeat.brokers_revision;
  std::map<std::string, std::vector<std::pair<std::size_t, BrokerEndpoint>>> by_region;
  for (const BrokerEndpoint& broker : heartbeat.broker_endpoints)
    if (broker.region != region_)
      by_region[broker.region].push_back(
          {std::hash<std::string>{}(address_ + broker.address), broker});
  std::vector<BrokerEndpoint> chosen;
  for (auto& [region, candidates] : by_region) {
    std::sort(candidates.begin(), candidates.end());
    if (candidates.size() > max_per_region)
      candidates.resize(max_per_region);
    for (auto& [hash, broker] : candidates)
      chosen.push_back(std::move(broker));
  }
  if (chosen == chosen_)
    return false;
  chosen_ = std::move(chosen);
  return true;
}

}  // namespace saddlewing
