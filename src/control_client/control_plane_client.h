#pragma once
// The client of the control plane in a broker or pooler.
//
// Job: one thread that keeps connections to the registries, sends them requests, takes their
// heartbeats, configurations and lists of endpoints, and publishes immutable views to the traffic
// thread. Parts with a state of their own do the rest: the choice of a registry
// (ControlSourceSelector), the switch of versions (VersionSwitch), the fetch of configurations
// (ConfigurationFetcher), the subscriptions of poolers, rings and edges, and the relay of delegated
// gathers (DelegationRelay). It serves no requests of clients.
// Threading: public functions may be called from any thread, the set_..._listener functions only
// before start(). Private members belong to the client's thread.
// Source: docs/design/control.md.
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "control_client/configuration_fetcher.h"
#include "control_client/control_updates.h"
#include "control_client/delegation_relay.h"
#include "control_client/edge_subscription.h"
#include "control_client/pooler_subscription.h"
#include "control_client/remote_brokers.h"
#include "control_client/ring_subscription.h"
#include "coordination/discovery/control_source_selector.h"
#include "coordination/discovery/endpoint_table.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/rollout/version_switch.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/version_trace.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {

class ControlPlaneClient {
 public:
  // `incarnation`: of this process. `publish_view`, `notify_delegation`: hand views and events to
  // the traffic thread; called by the client's thread.
  ControlPlaneClient(const NodeSettings& settings, IncarnationId incarnation,
                     std::function<void(ViewSnapshot)> publish_view,
                     std::function<void(DelegationEvent)> notify_delegation);

  // Binds the inner address. Errors: ErrorCode::link.
  Error open();
  void start();

  // Ends the thread and waits for it.
  void stop();

  // Replaces the addresses of registries that settings or platform give.
  void set_seeds(const std::vector<Address>& contacts) {
    seeds_.replace(contacts);
  }

  // From now on the registries are told that this process is not ready.
  void set_leaving() {
    is_leaving_ = true;
  }

  // Sends a frame to another broker; false: the queue is full.
  bool send(DelegationMessage message) {
    return delegations_.send(std::move(message));
  }

  // Of a pooler: who is told of leaderships and of samples.
  void set_pooler_listeners(std::function<void(LeadershipUpdate)> leaderships,
                            std::function<void(SampleUpdate)> samples) {
    pooler_.set_listeners(std::move(leaderships), std::move(samples));
  }

  // Of a pooler: nothing is done by a leadership table older than `revision` any more.
  void confirm_leaderships(std::uint64_t revision) {
    pooler_.confirm(revision);
    waker_.wake();
  }

  // Of a pooler: what it saw of the leaders since its last report.
  void report_evidence(LeadershipEvidence evidence) {
    pooler_.report(std::move(evidence));
  }

  // Of a broker: who is told of the ring.
  void set_ring_listener(std::function<void(RingUpdate)> ring) {
    ring_.set_listener(std::move(ring));
  }

  // Of a broker: nothing is done by a ring older than `revision` any more.
  void confirm_ring(std::uint64_t revision) {
    if (ring_.confirm(revision))
      waker_.wake();
  }

  // Of a broker: what it sent by the ring since its last report.
  void report_ring(RingCounts counts) {
    ring_.report(std::move(counts));
  }

  // Of a broker: who is told of the latencies of edges.
  void set_edge_listener(std::function<void(EdgeUpdate)> edges) {
    edges_.set_listener(std::move(edges));
  }

  // Of a broker: its counts of edges since its last report, as EdgeCounts encodes them.
  void report_edges(std::string counts) {
    edges_.report(std::move(counts));
  }

 private:
  // The connection to one registry.
  struct RegistryLink {
    std::unique_ptr<FrameClient> client;
    std::uint64_t incarnation = 0;  // of the registry whose endpoints were taken
    std::uint64_t revision = 0;     // of its endpoints, as far as taken
    HeartbeatEcho echo;
  };

  void run();
  void take_seeds();
  void connect_sources();
  void wait();
  void receive_frames();

  void send_requests(TimePoint now);
  void request_from_leader();
  void send_request(const std::string& address, bool wants_body);
  void select_source(TimePoint now);
  void fetch_configuration(TimePoint now);

  void handle_frame(const ReceivedFrame& frame, TimePoint now);
  bool decode_and_handle(const FrameHead& head, ByteReader& reader, RegistryLink& link,
                         TimePoint now);
  void handle_heartbeat(const FrameHead& head, RegistryLink& link, ControlHeartbeat& heartbeat,
                        TimePoint now);
  void handle_orders(const ControlHeartbeat& heartbeat, TimePoint requested_at, TimePoint now);
  void handle_brokers(const ControlHeartbeat& heartbeat, bool is_selected);
  void handle_configuration(const ConfigurationPayload& payload, TimePoint now);
  void handle_endpoints(RegistryLink& link, const FrameHead& head, const EndpointList& endpoints,
                        TimePoint now);
  void handle_server_frames(TimePoint now);
  bool handle_server_frame(std::string routing_id, const FrameHead& head, ByteReader& reader,
                           TimePoint now);
  void send_trace(const std::string& routing_id, TimePoint now);

  void activate_version(TimePoint now);
  void update_readiness(TimePoint now);
  void publish();

  const NodeSettings settings_;
  const IncarnationId incarnation_;
  const std::string address_;  // inner address of this process
  std::function<void(ViewSnapshot)> publish_view_;
  LinkContext context_;
  FrameServer frame_server_;
  Waker waker_;
  BoundedQueue<std::vector<Address>> seeds_;
  std::map<std::string, RegistryLink> links_;  // by inner address

  ControlSourceSelector control_source_;
  EndpointTable endpoint_table_;
  VersionSwitch version_switch_;
  ConfigurationFetcher fetcher_;
  RemoteBrokers remote_brokers_;
  DelegationRelay delegations_;
  PoolerSubscription pooler_;
  RingSubscription ring_;
  EdgeSubscription edges_;
  VersionTrace trace_;

  TimePoint request_due_{};
  bool is_ready_ = false;          // once true it stays so
  bool is_view_outdated_ = false;  // a view is to be published
  std::uint64_t broker_count_ = 1;
  RetryQuota retry_quota_;
  TimePoint quota_published_at_{};
  std::atomic<bool> should_stop_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
