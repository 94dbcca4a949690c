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
#include "coordination/rollout/version_switch.h"
#include "coordination/routing/edge_latency.h"
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
  std::vector<BrokerEndpoint> remote_brokers;  // ready brokers of other regions
  RetryQuota retry_quota;
};
using ViewSnapshot = std::shared_ptr<const View>;

// The leads a pooler may act by, and until when.
struct LeadershipUpdate {
  std::shared_ptr<const LeadershipTable> leaderships;  // null: as before
  TimePoint until{};
};
// What a pooler saw of its leads, a bit for each lead of the table of this mark.
struct LeadershipEvidence {
  std::uint64_t revision = 0;
  std::string failing, fine;
  std::string samples;  // with ages as of `built`
  TimePoint built{};
};
struct SampleUpdate {
  std::string samples;
  TimePoint built{};  // not after the ages were counted
};

// The ring a broker may act by, and until when.
struct RingUpdate {
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
struct EdgeUpdate {
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
  GatherRequest request;
};
struct DelegationResult {
  GatherResult result;
};
struct DelegationLost {  // it did not leave
  std::uint64_t token = 0;
};
using DelegationEvent = std::variant<DelegationRequested, DelegationResult, DelegationLost>;

class ControlPlaneClient {
 public:
  ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                     std::function<void(ViewSnapshot)> publish_view,
                     std::function<void(DelegationEvent)> notify_delegation);
  Error open();
  void start();
  void stop();
  bool send(DelegationMessage message) {
    return delegation_messages_.push(std::move(message));
  }
  void set_leaving() {
    is_leaving_ = true;
  }
  // Of a pooler: who is told of leads and samples; the follower tells the registries what was done
  // by then.
  void set_pooler_listeners(std::function<void(LeadershipUpdate)> lease,
                            std::function<void(SampleUpdate)> sample) {
    notify_leadership_ = std::move(lease);
    notify_samples_ = std::move(sample);
  }
  void confirm_leaderships(
      std::uint64_t revision) {  // nothing is done by an earlier table any more
    confirmed_revision_ = revision;
    waker_.wake();
  }
  // Of a broker: who is told of the ring.
  void set_ring_listener(std::function<void(RingUpdate)> ring) {
    notify_ring_ = std::move(ring);
  }
  void confirm_ring(std::uint64_t revision) {
    if (ring_confirmed_.exchange(revision) != revision)
      waker_.wake();
  }
  void set_edge_listener(std::function<void(EdgeUpdate)> edges) {
    notify_edges_ = std::move(edges);
  }
  void report_edges(std::string counts) {
    edge_counts_.push(std::move(counts));
  }
  void report_ring(RingCounts counts) {
    ring_counts_.push(std::move(counts));
  }
  void report_evidence(LeadershipEvidence evidence) {
    evidence_queue_.push(std::move(evidence));
  }
  void set_seeds(const std::vector<Address>& contacts) {
    seeds_.replace(contacts);
  }

 private:
  struct RegistryLink {  // to one registry; what it told of itself is the feed's
    std::unique_ptr<FrameClient> client;
    std::uint64_t incarnation = 0, revision = 0;  // of its roster, as far as taken
    IncarnationId heartbeat_incarnation;          // of its last beat
    std::uint64_t serial = 0;
    TimePoint last_heartbeat{};  // when that came
  };
  void run();
  void connect_sources();
  void request_from_leader();
  void handle_frame(const ReceivedFrame& frame, TimePoint now);
  void handle_heartbeat(const FrameHead& head, RegistryLink& link, ControlHeartbeat& heartbeat,
                        TimePoint now);
  void handle_configuration(ConfigurationPayload body, TimePoint now);
  void handle_endpoints(RegistryLink& link, const FrameHead& head, const EndpointList& endpoints,
                        TimePoint now);
  void send_requests(TimePoint now);
  void send_request(const std::string& address, bool wants_body);
  void select_source(TimePoint now);
  void add_ring_counts(SubscribeRequest& request);
  void handle_ring(const ControlHeartbeat& heartbeat, TimePoint requested_at);
  void handle_leadership_lease(ControlHeartbeat& heartbeat, TimePoint requested_at);
  void handle_samples(RegistryLink& link, IncarnationId incarnation, ControlHeartbeat& heartbeat,
                      TimePoint requested_at, TimePoint now);
  void fetch(TimePoint now);
  void update_readiness(TimePoint now);
  void activate_version(TimePoint now);
  void publish();
  void handle_server_frames(TimePoint now);
  void relay_delegations();

  const NodeSettings settings_;
  const IncarnationId incarnation_;
  const std::string address_;
  std::function<void(ViewSnapshot)> publish_view_;
  std::function<void(DelegationEvent)> notify_delegation_;
  LinkContext context_;
  FrameServer frame_server_;
  Waker waker_;
  BoundedQueue<std::vector<Address>> seeds_;
  BoundedQueue<DelegationMessage> delegation_messages_;
  std::map<std::string, std::unique_ptr<FrameClient>>
      delegates_;                               // brokers asked for aid, by inner address
  std::vector<BrokerEndpoint> remote_brokers_;  // ready brokers of other regions, a few of each
  std::uint64_t brokers_revision_ = 0;          // of the list they were taken from
  void handle_broker_endpoints(const ControlHeartbeat& heartbeat);
  ControlSourceSelector control_source_;
  std::map<std::string, RegistryLink> links_;  // by inner address
  EndpointTable endpoint_table_;
  VersionSwitch version_switch_;
  TimePoint started_at_, request_due_{}, fetch_due_{};
  Version requested_version_;  // last asked for, or waited for at the feed
  Duration fetch_interval_{0};
  bool is_ready_ = false, is_view_outdated_ = false;
  std::uint64_t brokers_ = 1;
  RetryQuota retry_quota_;
  TimePoint quota_published_at_{};

  std::function<void(LeadershipUpdate)> notify_leadership_;
  std::function<void(SampleUpdate)> notify_samples_;
  std::function<void(RingUpdate)> notify_ring_;
  void handle_edges(const ControlHeartbeat& heartbeat);
  std::function<void(EdgeUpdate)> notify_edges_;
  BoundedQueue<std::string> edge_counts_{8, {}};
  EdgeCounts edge_sums_{4096};  // until the feed has them
  std::uint64_t edge_revision_ = 0;
  BoundedQueue<RingCounts> ring_counts_{64, {}};
  std::atomic<std::uint64_t> ring_confirmed_ = 0;
  std::uint64_t ring_notified_ = 0, ring_revision_ = 0;
  BoundedQueue<LeadershipEvidence> evidence_queue_{16, {}};
  LeadershipEvidence leadership_evidence_;
  std::atomic<std::uint64_t> confirmed_revision_ = 0;
  std::uint64_t notified_revision_ = 0,
                leadership_revision_ = 0;  // leadership_revision_: of the table handed on
  TimePoint lease_until_{};
  VersionTrace trace_;
  std::atomic<bool> should_stop_ = false, is_leaving_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
