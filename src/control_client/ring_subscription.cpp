#include "control_client/ring_subscription.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "control_client/lease_duration.h"
#include "protocol/control_messages.h"

namespace saddlewing {
namespace {

// Busiest first.
template <class Key>
std::vector<std::pair<Key, RingLoad>> sorted_by_load(const std::map<Key, RingLoad>& sums) {
  std::vector<std::pair<Key, RingLoad>> loads(sums.begin(), sums.end());
  std::sort(loads.begin(), loads.end(), [](const auto& left, const auto& right) {
    return left.second.busy_ms > right.second.busy_ms;
  });
  return loads;
}

}  // namespace

bool RingSubscription::take_confirmation() {
  const std::uint64_t revision = confirmed_;
  if (revision == notified_)
    return false;
  notified_ = revision;
  return true;
}

void RingSubscription::add_to(SubscribeRequest& request, bool is_leader) {
  request.ring_revision = confirmed_;
  request.latest_ring_revision = revision_;
  if (revision_ && is_leader)
    add_counts(request);
}

void RingSubscription::add_counts(SubscribeRequest& request) {
  std::map<VirtualNode, RingLoad> loads;
  std::map<std::string, RingLoad> account_loads;
  for (const RingCounts& counts : reports_.take()) {
    for (const auto& [virtual_node, load] : counts.loads)
      loads[virtual_node] += load;
    for (const auto& [account, load] : counts.accounts)
      account_loads[account] += load;
    request.lookups += counts.lookups;
    request.late_lookups += counts.late;
  }
  request.ring_loads = encode_loads(sorted_by_load(loads));
  request.account_loads = encode_account_loads(sorted_by_load(account_loads));
}

void RingSubscription::handle_heartbeat(const ControlHeartbeat& heartbeat, TimePoint requested_at) {
  if (!notify_)
    return;
  RingUpdate update;
  RingDocument document;
  if (!heartbeat.ring.empty() && heartbeat.ring_revision > revision_ &&
      decode_ring(heartbeat.ring, document) && document.revision == heartbeat.ring_revision) {
    update.view = view_ring(document);
    if (update.view) {
      revision_ = document.revision;
      LOG(INFO) << "follow: ring " << revision_ << " held";
    }
  }
  if (heartbeat.lease)
    update.until = requested_at + lease_duration(heartbeat);
  if (update.view || (revision_ && heartbeat.lease))
    notify_(std::move(update));
}

}  // namespace saddlewing
