#pragma once
// The registry of backends, after Eureka: holds with a sweep, eviction that pauses under the
// renewal threshold, cancel at once on drain, replication peer to peer, deltas for callers. Pure:
// observations and a clock in.
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/discovery_messages.h"
#include "state/node_settings.h"
#include "state/types.h"

namespace saddlewing {

struct ServiceRegistryOptions {
  Duration renewal{2000}, lease{6000}, sweep{1000};
  double renewal_threshold = 0.85;
  bool is_preserving = true;
  bool is_signing_up =
      false;  // backends tell of themselves; stamps then follow their own count of calls
  Duration tombstone{60000};
};

// How long a backend that is gone is remembered: well beyond the wait before its address is used
// again.
inline Duration registry_tombstone(const NodeSettings& settings) {
  return std::max(Duration(60000), settings.reuse_wait * 10);
}

struct ProbeTarget {
  std::string id, address, service;
  bool is_awaited = false;  // STARTING or DOWN
};

// What a broker keeps of the registries: the same lattice, without holds of its own.
class EndpointTable {
 public:
  struct Line {
    Endpoint entry;
    TimePoint warm_until{}, lease_until{}, gone_at{};
    TimePoint last_heartbeat{};  // when it last told of itself, to this registry or to another
    std::uint64_t revision = 0;  // of the book when the line last changed
  };
  // Merges one entry: phases only rise, the greater stamp decides status and hold. True if
  // something changed.
  bool merge(const Endpoint& entry, TimePoint now);
  void forget_gone(TimePoint now, Duration tombstone);
  const std::map<std::string, Line>& lines() const {
    return lines_;
  }
  std::uint64_t revision() const {
    return revision_;
  }

 protected:
  Endpoint travelling(const Line& line, TimePoint now) const;
  void touch(Line& line) {
    line.revision = ++revision_;
  }
  std::map<std::string, Line> lines_;
  std::uint64_t revision_ = 0;
};

class ServiceRegistry : public EndpointTable {
 public:
  explicit ServiceRegistry(ServiceRegistryOptions options) : options_(options) {
  }

  // A complete listing of the platform. What it lacks twice running is gone; an incomplete one
  // never comes here.
  void observe(const std::vector<Endpoint>& listed, TimePoint now);
  // A probe's reply is a renewal: the first one makes a starting backend UP.
  void renew(const std::string& id, TimePoint now);
  // A backend's own call: its register, its renewal, or with `emptying` or `gone` its cancel. Late
  // calls change nothing.
  void sign(const Endpoint& entry, TimePoint now);
  void renew_signed(const RenewedIds::Item& item, TimePoint now);
  RenewedIds take_renewed(TimePoint now);  // signed here since the last time
  void sweep(TimePoint now);
  // Services whose backends are probed.
  void name_services(std::set<std::string> services) {
    named_ = std::move(services);
  }
  std::vector<ProbeTarget> targets() const;
  EndpointList since(std::uint64_t revision, TimePoint now) const;
  void take(const EndpointList& endpoints, TimePoint now);

  void set_stamp_base(std::uint64_t base) {
    stamp_ = std::max(stamp_, base);
  }
  bool is_filled() const {
    return is_filled_;
  }
  bool is_evicting() const {
    return is_evicting_;
  }
  std::size_t evicted() const {
    return evicted_;
  }

 private:
  void set_status(Line& line, EndpointStatus status) {
    line.entry.status = status;
    line.entry.status_revision = ++stamp_;
    touch(line);
  }

  ServiceRegistryOptions options_;
  std::set<std::string> named_;
  std::unordered_map<std::string, int> misses_;  // consecutive listings that lacked a backend
  std::uint64_t stamp_ = 0;
  bool is_filled_ = false, is_evicting_ = true;
  std::size_t evicted_ = 0;
  TimePoint last_sweep_{};
  // Renewals of the running and of the last period, against what the holds lead to expect.
  TimePoint period_start_{};
  std::set<std::string> renewed_, renewed_before_, signed_;
};

}  // namespace saddlewing
