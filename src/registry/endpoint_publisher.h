#pragma once
// Sends changes of the service registry to the brokers and poolers that this registry feeds.
//
// A change goes out once to each of them; whoever missed it says so with its next subscription.
// Used by the control thread only.
#include <cstdint>
#include <limits>
#include <string>

#include "coordination/discovery/service_registry.h"
#include "registry/broker_directory.h"
#include "registry/control_context.h"
#include "registry/reply_sender.h"

namespace saddlewing {

class EndpointPublisher {
 public:
  // The references must outlive this object.
  EndpointPublisher(const ControlContext& context, const ServiceRegistry& registry,
                    BrokerDirectory& brokers, ReplySender& sender)
      : context_(context), registry_(registry), brokers_(brokers), sender_(sender) {
  }

  // `broker` has just subscribed: if it lacks a change, the next tick sends it.
  void handle_subscription(const ConnectedBroker& broker);
  // Tells a broker that holds nothing that there is nothing yet.
  void send_empty_list(const ConnectedBroker& broker, TimePoint now);
  // Sends what each one lacks. To be called in each round of the loop.
  void tick(TimePoint now);

 private:
  // The change from one revision to another, encoded. Most receivers need the same.
  struct EncodedChange {
    std::uint64_t base = 0, revision = 0;
    std::string bytes;
  };
  static constexpr std::uint64_t no_revision = std::numeric_limits<std::uint64_t>::max();

  const std::string& encode_change_since(std::uint64_t base, TimePoint now);

  const ControlContext& context_;
  const ServiceRegistry& registry_;
  BrokerDirectory& brokers_;
  ReplySender& sender_;
  std::uint64_t published_revision_ = no_revision;  // that every receiver was sent
  EncodedChange last_change_;
};

}  // namespace saddlewing
