#include "registry/broker_directory.h"
#include "protocol/control_messages.h"
#include "protocol/frame.h"

#include <glog/logging.h>

#include <algorithm>
#include <functional>

namespace saddlewing {
namespace {

constexpr Duration broker_timeout{4000};
constexpr std::size_t delegates_per_region = 4;

}  // namespace

ConnectedBroker& BrokerDirectory::subscribe(const std::string& routing_id, const FrameHead& from,
                                            const SubscribeRequest& request, TimePoint now) {
  const auto [position, is_new] = brokers_.try_emplace(from.from);
  ConnectedBroker& broker = position->second;
  if (is_new)
    broker.heartbeats = RequestClock(incarnation_);
  if (broker.is_ready != request.is_ready || broker.region != request.region)
    are_regions_stale_ = true;
  if (broker.held_version < request.version)
    LOG(INFO) << "registry: broker " << from.from << " holds edition " << request.version.value;
  const bool is_of_this_incarnation = request.endpoints_incarnation == incarnation_.value;
  broker.routing_id = routing_id;
  broker.address = from.from;
  broker.region = request.region;
  broker.incarnation = from.incarnation;
  broker.is_ready = request.is_ready;
  broker.is_pooler = broker.is_pooler || !request.zone.empty();
  broker.wants_endpoints = request.wants_endpoints;
  broker.held_version = request.version;
  broker.endpoints_revision = is_of_this_incarnation ? request.endpoints_revision : 0;
  broker.brokers_revision = request.brokers_revision;
  broker.leadership_revision = request.leadership_revision;
  if (!broker.is_pooler)
    broker.edges_revision = request.edge_view_revision;
  broker.subscription_token = request.token;
  broker.last_contact = now;
  return broker;
}

void BrokerDirectory::remove_silent(TimePoint now) {
  const auto is_silent = [&](const auto& item) {
    return now - item.second.last_contact > broker_timeout;
  };
  if (std::erase_if(brokers_, is_silent))
    are_regions_stale_ = true;
}

std::vector<std::string> BrokerDirectory::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, broker] : brokers_)
    addresses.push_back(address);
  return addresses;
}

std::vector<std::string> BrokerDirectory::broker_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, broker] : brokers_)
    if (!broker.is_pooler)
      addresses.push_back(address);
  return addresses;
}

std::vector<Version> BrokerDirectory::held_versions() const {
  std::vector<Version> held;
  for (const auto& [address, broker] : brokers_)
    held.push_back(broker.held_version);
  return held;
}

std::vector<Version> BrokerDirectory::held_edge_views() const {
  std::vector<Version> held;
  for (const auto& [address, broker] : brokers_)
    if (!broker.is_pooler)
      held.push_back(Version{static_cast<std::int64_t>(broker.edges_revision)});
  return held;
}

void BrokerDirectory::rebuild_regions() {
  are_regions_stale_ = false;
  regions_.clear();
  for (const auto& [address, broker] : brokers_)
    if (broker.is_ready && !broker.is_pooler)
      regions_[broker.region].push_back({std::hash<std::string>{}(address), address});
  for (auto& [region, hashed] : regions_)
    std::sort(hashed.begin(), hashed.end());
}

BrokerChoice BrokerDirectory::choose_delegates(const ConnectedBroker& receiver) {
  if (are_regions_stale_)
    rebuild_regions();
  BrokerChoice choice;
  const HashedAddress own{std::hash<std::string>{}(receiver.address), std::string()};
  for (const auto& [region, hashed] : regions_) {
    if (region == receiver.region)
      continue;
    const auto first = std::lower_bound(hashed.begin(), hashed.end(), own);
    const auto offset = static_cast<std::size_t>(first - hashed.begin());
    const std::size_t count = std::min(hashed.size(), delegates_per_region);
    for (std::size_t number = 0; number < count; ++number) {
      const auto& [hash, address] = hashed[(offset + number) % hashed.size()];
      choice.endpoints.push_back({address, region});
      choice.revision = choice.revision * 31 + hash + 1;
    }
  }
  return choice;
}

}  // namespace saddlewing
