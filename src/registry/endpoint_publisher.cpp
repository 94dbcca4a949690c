#include "registry/endpoint_publisher.h"

namespace saddlewing {

void EndpointPublisher::handle_subscription(const ConnectedBroker& broker) {
  if (broker.wants_endpoints && broker.endpoints_revision < registry_.revision())
    published_revision_ = no_revision;
}

void EndpointPublisher::send_empty_list(const ConnectedBroker& broker, TimePoint now) {
  if (broker.wants_endpoints && broker.endpoints_revision == 0 && registry_.revision() == 0)
    sender_.send(broker.routing_id, encode(context_.frame_head(), registry_.changes_since(0, now)));
}

void EndpointPublisher::tick(TimePoint now) {
  const std::uint64_t revision = registry_.revision();
  if (published_revision_ == revision)
    return;
  bool was_sent_to_all = true;
  for (auto& [address, broker] : brokers_.brokers()) {
    if (!broker.wants_endpoints || broker.endpoints_revision >= revision)
      continue;
    if (sender_.send(broker.routing_id, encode_change_since(broker.endpoints_revision, now)))
      broker.endpoints_revision = revision;
    else
      was_sent_to_all = false;
  }
  if (was_sent_to_all)
    published_revision_ = revision;
}

const std::string& EndpointPublisher::encode_change_since(std::uint64_t base, TimePoint now) {
  const std::uint64_t revision = registry_.revision();
  const bool is_cached =
      last_change_.base == base && last_change_.revision == revision && !last_change_.bytes.empty();
  if (!is_cached)
    last_change_ = {base, revision,
                    encode(context_.frame_head(), registry_.changes_since(base, now))};
  return last_change_.bytes;
}

}  // namespace saddlewing
