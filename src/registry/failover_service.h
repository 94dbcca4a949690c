#pragma once
// The registry's share in database failover: knows the committed leadership table, hands it to
// poolers with their leases, and, at the leader, carries out what `Failover` decides.
//
// It does not decide who leads a database, and it does not know poolers or the network: it reaches
// them through `FailoverEnvironment`. Used by the control thread only.
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/databases/failover.h"
#include "coordination/databases/log_position_samples.h"
#include "coordination/discovery/service_registry.h"
#include "protocol/control_messages.h"
#include "protocol/database_protocol.h"
#include "protocol/frame.h"
#include "registry/control_context.h"
#include "registry/events.h"
#include "state/configuration.h"
#include "state/leadership_table.h"
#include "state/node_settings.h"

namespace saddlewing {

// What the failover service needs of the configuration, of poolers and of the command dispatcher.
class FailoverEnvironment {
 public:
  virtual ~FailoverEnvironment() = default;
  // The committed configuration; null until there is one.
  virtual const ConfigurationSnapshot& configuration() const = 0;
  // Sends a heartbeat to each connected pooler.
  virtual void notify_poolers(TimePoint now) = 0;
  // Hands a command to the dispatcher; false if it has no room for it.
  virtual bool dispatch(DispatchedCommand command) = 0;
};

// Lease and settling time of failovers, as they follow from the settings.
FailoverOptions failover_options(const NodeSettings& settings);

class FailoverService {
 public:
  // The references must outlive this object. `backends`: the databases among them.
  FailoverService(const NodeSettings& settings, ControlContext& context,
                  const EndpointTable& backends, FailoverEnvironment& environment);

  // Takes what a pooler saw of its databases, and adds its lease to `heartbeat`. `echoed_at`: when
  // the heartbeat left that the request names; none if it is not known any more.
  void handle_subscription(const FrameHead& from, const SubscribeRequest& request,
                           std::optional<TimePoint> echoed_at, ControlHeartbeat& heartbeat,
                           TimePoint now);
  // Takes a newly committed table and lets the failovers proceed. To be called in each round of the
  // loop.
  void tick(TimePoint now);
  // What a database answered to the command `token`; none: nothing.
  void finish_order(std::uint64_t token, const std::optional<DatabaseStatus>& status,
                    TimePoint now) {
    failover_.finish_command(token, status, now);
  }
  // The platform's HTTP status for the promotion `token`; 0: no answer.
  void finish_promotion(std::uint64_t token, int status, TimePoint now) {
    failover_.finish_promotion(token, status, now);
  }
  // The proposed table was committed or failed; which of both, the next commit tells.
  void finish_proposal() {
    failover_.finish_proposal();
  }

  // Of the committed table; 0: there is none.
  std::uint64_t revision() const {
    return leaderships_.revision;
  }
  // The committed table, as it travels.
  const std::string& encoded_leaderships() const {
    return encoded_leaderships_;
  }
  // Recent log positions that the poolers sampled, as they travel.
  std::string encode_samples(TimePoint now) const;

 private:
  void take_committed(TimePoint now);
  void record_samples(const SubscribeRequest& request, TimePoint echoed_at);
  std::map<std::string, int> synchronous_replicas() const;
  std::vector<DatabaseEndpoint> databases() const;
  void send_command(const Failover::DatabaseCommand& order);
  void send_promotion(const Failover::PromotionCall& call, TimePoint now);

  const bool is_enabled_;
  ControlContext& context_;
  const EndpointTable& backends_;
  FailoverEnvironment& environment_;
  Failover failover_;
  EntrySnapshot seen_entry_;     // the committed entry that was looked at last
  LeadershipTable leaderships_;  // as committed
  std::string encoded_leaderships_;
  LogPositionSamples samples_;
  Term last_term_;  // at the last tick
};

}  // namespace saddlewing
