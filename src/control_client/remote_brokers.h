#pragma once
// The brokers of other regions to which gathers may be delegated.
//
// Threading: not synchronized; owned by the client's thread.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/control_messages.h"

namespace saddlewing {

// Invariant: a few brokers of each other region, spread by hash so that every broker is chosen by
// some others.
class RemoteBrokers {
 public:
  // `address`: inner address of this broker. `region`: of this broker.
  RemoteBrokers(std::string address, std::string region);

  // Takes the list of a heartbeat of the source, unless it is the one taken last. True if the
  // choice changed.
  bool update(const ControlHeartbeat& heartbeat);

  const std::vector<BrokerEndpoint>& chosen() const {
    return chosen_;
  }

  // Of the list taken last.
  std::uint64_t revision() const {
    return revision_;
  }

 private:
  std::string address_;
  std::string region_;
  std::uint64_t revision_ = 0;
  std::vector<BrokerEndpoint> chosen_;
};

}  // namespace saddlewing
