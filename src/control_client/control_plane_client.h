#pragma once
// The follow thread of a broker: keeps snapshots of the configuration and of the registry of
// backends.
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "coordination/discovery/control_source_selector.h"
#include "coordination/discovery/service_registry.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/placement/ring_router.h"
#include "coordination/rollout/version_rollout.h"
#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/gather_messages.h"
#include "protocol/version_trace.h"
#include "state/configuration.h"
#include "state/leadership_table.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {

// What the traffic thread serves by. Immutable, swapped whole.
struct View {
  ConfigurationSnapshot configuration;
  std::vector<Endpoint> backends;  // those that are ready or emptying
  bool is_ready = false;           // once true it stays so for this life
  std::uint64_t brokers = 1;
  std::vector<BrokerEndpoint> seats;  // ready brokers of other regions
  RetryQuota reserve;
};
using ViewSnapshot = std::shared_ptr<const View>;

// The leads a pooler may act by, and until when.
struct LeadershipUpdate {
  std::shared_ptr<const LeadershipTable> leaderships;  // null: as before
  TimePoint until{};
};
// What a pooler saw of its leads, a bit for each lead of the table of this mark.
struct Evidence {
  std::uint64_t revision = 0;
  std::string failing, fine;
  std::string samples;  // with ages as of `built`
  TimePoint built{};
};
struct SampleNews {
  std::string samples;
  TimePoint built{};  // not after the ages were counted
};

// The ring a broker may act by, and until when.
struct RingNews {
  RingSnapshot view;  // null: as before
  TimePoint until{};
};
// What a broker sent by the ring since it last told.
struct RingCounts {
  std::vector<std::pair<VirtualNode, RingLoad>> loads;
  std::vector<std::pair<std::string, RingLoad>> accounts;
  std::uint64_t lookups = 0, late = 0;
};

// The view of edges, as a registry told it.
struct EdgeNews {
  EdgeSnapshot view;  // null: as before
  std::uint64_t in_force = 0;
};

// Frames between brokers, handed over by the traffic thread.
struct DelegationMessage {
  std::string to;           // inner address for an aid, route for its outcome
  std::uint64_t token = 0;  // of an aid; 0 with an outcome
  std::string bytes;
};
// And handed to it.
struct DelegationRequested {
  std::string routing_id;  // whom to answer
  GatherRequest aid;
};
struct DelegationResult {
  GatherResult aided;
};
struct DelegationLost {  // it did not leave
  std::uint64_t token = 0;
};
using DelegationEvent = std::variant<DelegationRequested, DelegationResult, DelegationLost>;

class ControlPlaneClient {
 public:
  ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                     std::function<void(ViewSnapshot)> show,
                     std::function<void(DelegationEvent)> tell);
  Error open();
  void start();
  void stop();
  bool send(DelegationMessage out) {
    return outs_.push(std::move(out));
  }
  void set_leaving() {
    is_leaving_ = true;
  }
  // Of a pooler: who is told of leads and samples; the follower tells the registries what was done
  // by then.
  void set_pooler(std::function<void(LeadershipUpdate)> lease,
                  std::function<void(SampleNews)> sample) {
    lease_ = std::move(lease);
    sample_ = std::move(sample);
  }
  void confirm_leaderships(
      std::uint64_t revision) {  // nothing is done by an earlier table any more
    confirmed_revision_ = revision;
    waker_.wake();
  }
  // Of a broker: who is told of the ring.
  void set_ring(std::function<void(RingNews)> ring) {
    ring_ = std::move(ring);
  }
  void confirm_ring(std::uint64_t revision) {
    if (ring_confirmed_.exchange(revision) != revision)
      waker_.wake();
  }
  void set_edges(std::function<void(EdgeNews)> edges) {
    edges_ = std::move(edges);
  }
  void report_edges(std::string counts) {
    edge_counts_.push(std::move(counts));
  }
  void report_ring(RingCounts counts) {
    ring_counts_.push(std::move(counts));
  }
  void report(Evidence evidence) {
    evidence_.push(std::move(evidence));
  }
  void set_contacts(const std::vector<Address>& contacts) {
    contacts_.replace(contacts);
  }

 private:
  struct Line {  // to one registry; what it told of itself is the feed's
    std::unique_ptr<FrameClient> client;
    std::uint64_t incarnation = 0, revision = 0;  // of its roster, as far as taken
    IncarnationId heartbeat_incarnation;          // of its last beat
    std::uint64_t serial = 0;
    TimePoint last_heartbeat{};  // when that came
  };
  void run();
  void reach_all();
  void follow_leader();
  void take(const ReceivedFrame& frame, TimePoint now);
  void handle_heartbeat(const FrameHead& head, Line& line, ControlHeartbeat& heartbeat,
                        TimePoint now);
  void take_body(ConfigurationPayload body, TimePoint now);
  void handle_endpoints(Line& line, const FrameHead& head, const EndpointList& endpoints,
                        TimePoint now);
  void follow_all(TimePoint now);
  void follow_one(const std::string& address, bool wants_body);
  void choose_feed(TimePoint now);
  void count_ring(SubscribeRequest& follow);
  void take_ring(const ControlHeartbeat& heartbeat, TimePoint asked);
  void handle_leadership_lease(ControlHeartbeat& heartbeat, TimePoint asked);
  void take_samples(Line& line, IncarnationId incarnation, ControlHeartbeat& heartbeat,
                    TimePoint asked, TimePoint now);
  void fetch(TimePoint now);
  void check_ready(TimePoint now);
  void turn(TimePoint now);
  void publish();
  void take_hub(TimePoint now);
  void send_delegations();

  const NodeSettings settings_;
  const IncarnationId incarnation_;
  const std::string address_;
  std::function<void(ViewSnapshot)> show_;
  std::function<void(DelegationEvent)> tell_;
  LinkContext context_;
  FrameServer frame_server_;
  Waker waker_;
  BoundedQueue<std::vector<Address>> contacts_;
  BoundedQueue<DelegationMessage> outs_;
  std::map<std::string, std::unique_ptr<FrameClient>>
      delegates_;                       // brokers asked for aid, by inner address
  std::vector<BrokerEndpoint> seats_;   // ready brokers of other regions, a few of each
  std::uint64_t brokers_revision_ = 0;  // of the list they were taken from
  void handle_broker_endpoints(const ControlHeartbeat& heartbeat);
  ControlSourceSelector control_source_;
  std::map<std::string, Line> lines_;  // by inner address
  EndpointTable endpoint_table_;
  VersionSwitch version_switch_;
  TimePoint born_, follow_due_{}, fetch_due_{};
  Version fetched_;  // last asked for, or waited for at the feed
  Duration fetch_pause_{0};
  bool is_ready_ = false, has_news_ = false;
  std::uint64_t brokers_ = 1;
  RetryQuota reserve_;
  TimePoint reserve_shown_{};

  std::function<void(LeadershipUpdate)> lease_;
  std::function<void(SampleNews)> sample_;
  std::function<void(RingNews)> ring_;
  void take_edges(const ControlHeartbeat& heartbeat);
  std::function<void(EdgeNews)> edges_;
  BoundedQueue<std::string> edge_counts_{8, {}};
  EdgeCounts edge_sums_{4096};  // until the feed has them
  std::uint64_t edges_held_ = 0;
  BoundedQueue<RingCounts> ring_counts_{64, {}};
  std::atomic<std::uint64_t> ring_confirmed_ = 0;
  std::uint64_t ring_told_ = 0, ring_revision_ = 0;
  BoundedQueue<Evidence> evidence_{16, {}};
  Evidence seen_;
  std::atomic<std::uint64_t> confirmed_revision_ = 0;
  std::uint64_t notified_revision_ = 0,
                leadership_revision_ = 0;  // leadership_revision_: of the table handed on
  TimePoint lease_until_{};
  VersionTrace steps_;
  std::atomic<bool> should_stop_ = false, is_leaving_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
