#pragma once
// The control thread of a registry: owns the Raft node and the parts that decide by it, hands each
// event and frame to the part it is for, and lets all parts proceed once in each round.
//
// The loop itself decides nothing but the order. It implements the interfaces through which the
// parts reach each other and the other threads; no part knows another one or the loop. The services
// around it (operator API, backend monitor, storage, command dispatcher) run in threads of their
// own and are reached through bounded queues. Source: control_brokers.cpp has subscriptions and
// heartbeats, control_operators.cpp the calls of operators' tools.
#include <atomic>
#include <map>
#include <optional>
#include <thread>

#include "coordination/leases/retry_quota_allocator.h"
#include "coordination/raft/raft_node.h"
#include "protocol/control_messages.h"
#include "protocol/frame.h"
#include "protocol/ring_messages.h"
#include "registry/backend_monitor.h"
#include "registry/broker_count_memory.h"
#include "registry/broker_directory.h"
#include "registry/command_dispatcher.h"
#include "registry/configuration_service.h"
#include "registry/control_context.h"
#include "registry/discovery_service.h"
#include "registry/edge_latency_service.h"
#include "registry/endpoint_publisher.h"
#include "registry/events.h"
#include "registry/failover_service.h"
#include "registry/operator_api.h"
#include "registry/peer_links.h"
#include "registry/reply_sender.h"
#include "registry/ring_service.h"
#include "registry/storage_thread.h"
#include "state/configuration.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {

class ControlLoop final : private EdgeEnvironment,
                          private RingEnvironment,
                          private FailoverEnvironment,
                          private DiscoveryEnvironment,
                          private ConfigurationEnvironment {
 public:
  // `persistent`: as read from the disk. `incarnation`: drawn anew at each start of the process.
  ControlLoop(const NodeSettings& settings, PersistentState persistent, IncarnationId incarnation);

  // Listens at the inner address; to be called once, before start().
  Error open();
  // Starts the thread. The other threads' objects must outlive join().
  void start(OperatorApi& operator_api, BackendMonitor& monitor, StorageThread& storage,
             CommandDispatcher& dispatcher);
  // Transfers leadership, leaves the cluster and ends the thread. Returns at once; any thread.
  void leave() {
    should_leave_ = true;
    waker_.wake();
  }
  // The thread has ended; any thread.
  bool has_left() const {
    return has_left_;
  }
  void join() {
    if (thread_.joinable())
      thread_.join();
  }
  // Replaces the addresses at which other registries are looked for; any thread.
  void set_contacts(const std::vector<Address>& contacts);
  // Where the other threads leave what they have for this one.
  BoundedQueue<ControlEvent>& events() {
    return events_;
  }

 private:
  void run();
  void update_peer_links();
  void wait_for_input();
  void receive();
  void advance(TimePoint now);
  void leave_cluster(TimePoint now);
  bool may_stop(TimePoint now) const;

  void handle_event(ControlEvent& event, TimePoint now);
  void handle_backend_call(const BackendCall& call, TimePoint now);
  void handle_frame(const ReceivedFrame& frame, TimePoint now);
  bool handle_peer_frame(const FrameHead& head, ByteReader& reader, TimePoint now);
  bool handle_raft_frame(const FrameHead& head, ByteReader& reader, TimePoint now);
  bool handle_client_frame(const std::string& routing_id, const FrameHead& head, ByteReader& reader,
                           TimePoint now);
  void handle_output(TimePoint now);
  void log_raft_changes();
  void log_sent_bytes(TimePoint now);
  void update_metrics() const;
  FrameHead head() const {
    return raft_context_.frame_head();
  }

  // control_brokers.cpp
  void handle_subscribe(const std::string& routing_id, const FrameHead& head,
                        const SubscribeRequest& request, TimePoint now);
  void maintain_brokers(TimePoint now);
  void send_heartbeat(ConnectedBroker& to, TimePoint now, ControlHeartbeat heartbeat = {});
  void add_retry_quota(const ConnectedBroker& to, ControlHeartbeat& heartbeat, TimePoint now);
  void add_own_state(ControlHeartbeat& heartbeat, TimePoint now) const;
  void add_broker_state(const ConnectedBroker& to, ControlHeartbeat& heartbeat);
  void add_pooler_state(ConnectedBroker& to, ControlHeartbeat& heartbeat, TimePoint now);

  // control_operators.cpp
  void handle_ring_call(const std::string& routing_id, const RingCall& call, TimePoint now);
  RingReply answer_operator(const RingCall& call, TimePoint now);
  void handle_trace(const std::string& routing_id, TimePoint now);
  void send_status(const std::string& routing_id, TimePoint now);

  // What the parts need of each other and of the other threads.
  const ConfigurationSnapshot& configuration() const override {
    return configuration_service_.configuration();
  }
  void propose_configuration(Version version, const std::string& body, std::uint64_t token,
                             TimePoint now) override {
    raft_.propose(version, body, token, now);
  }
  void read_committed(std::uint64_t token, TimePoint now) override {
    raft_.read_index(token, now);
  }
  void apply_configuration(const Configuration& configuration) override {
    discovery_service_.handle_configuration(configuration);
  }
  std::vector<std::string> broker_addresses() const override {
    return broker_directory_.broker_addresses();
  }
  std::vector<Version> held_versions() const override {
    return broker_directory_.held_versions();
  }
  std::vector<Version> held_edge_views() const override {
    return broker_directory_.held_edge_views();
  }
  Capacities edge_capacities() const override;
  void notify_brokers(TimePoint now) override;
  void notify_poolers(TimePoint now) override;
  void send_ring(std::uint64_t revision, const std::string& encoded_ring, TimePoint now) override;
  bool dispatch(DispatchedCommand command) override;
  void reply_to_operator(OperatorReply reply) override;
  void set_monitor_targets(MonitorTargetsSnapshot targets) override;

  const NodeSettings settings_;
  const std::string address_;  // inner address

  LinkContext link_context_;
  FrameServer frame_server_;
  FrameServerReplySender reply_sender_{frame_server_};
  PeerLinks links_;
  std::vector<void*> handles_;  // waited for in this round
  Waker waker_;
  BoundedQueue<ControlEvent> events_;
  BoundedQueue<std::vector<std::string>> contacts_;

  // Written by leave() in any thread, read by the control thread; `has_left_` the other way round.
  std::atomic<bool> should_leave_ = false;
  std::atomic<bool> has_left_ = false;
  bool is_leaving_ = false;                // said in the log
  TimePoint leave_by_ = TimePoint::max();  // once the cluster was left: the latest end

  RaftNode raft_;
  RaftControlContext raft_context_;
  DiscoveryService discovery_service_;
  FailoverService failover_service_;
  RingService ring_service_;
  BrokerDirectory broker_directory_;
  BrokerCountMemory broker_count_memory_;
  ConfigurationService configuration_service_;
  EndpointPublisher endpoint_publisher_;
  EdgeLatencyService edge_latency_service_;
  RetryQuotaAllocator retry_quotas_;

  // Not owned; set by start().
  OperatorApi* operator_api_ = nullptr;
  BackendMonitor* backend_monitor_ = nullptr;
  StorageThread* storage_ = nullptr;
  CommandDispatcher* dispatcher_ = nullptr;

  TimePoint broker_check_due_{};
  EntrySnapshot logged_entry_;  // the committed entry whose members were logged last
  bool was_leader_ = false;     // at the last round
  TimePoint foreign_logged_{};
  TimePoint sent_logged_{};
  std::thread thread_;
};

}  // namespace saddlewing
