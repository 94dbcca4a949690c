#pragma once
// The agree thread of a registry: agreement, the registry of backends, and the brokers that follow.
#include <atomic>
#include <map>
#include <optional>
#include <thread>

#include "coordination/leases/retry_quota.h"
#include "coordination/raft/raft_node.h"
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
  ControlLoop(const NodeSettings& settings, PersistentState persistent, IncarnationId incarnation);
  Error open();
  void start(OperatorApi& operator_api, BackendMonitor& monitor, StorageThread& storage,
             CommandDispatcher& dispatcher);
  void leave() {  // hands the lead over and ends
    should_leave_ = true;
    events_.push(Renewed{});
  }
  bool has_left() const {
    return has_left_;
  }
  void join() {
    if (thread_.joinable())
      thread_.join();
  }
  void set_contacts(const std::vector<Address>& contacts);
  BoundedQueue<ControlEvent>& events() {
    return events_;
  }

 private:
  void run();
  void handle_event(ControlEvent& event, TimePoint now);
  void handle_frame(const ReceivedFrame& frame, TimePoint now);
  void handle_subscribe(const std::string& routing_id, const FrameHead& head,
                        const SubscribeRequest& request, TimePoint now);
  void handle_trace(const std::string& routing_id, TimePoint now);
  void send_status(const std::string& routing_id, TimePoint now);
  void handle_output(TimePoint now);
  void log_raft_changes();
  void maintain_brokers(TimePoint now);
  void add_retry_quota(const ConnectedBroker& to, ControlHeartbeat& heartbeat, TimePoint now);
  void add_own_state(ControlHeartbeat& heartbeat, TimePoint now) const;
  void add_broker_state(const ConnectedBroker& to, ControlHeartbeat& heartbeat);
  void add_pooler_state(ConnectedBroker& to, ControlHeartbeat& heartbeat, TimePoint now);
  void send_heartbeat(ConnectedBroker& to, TimePoint now, ControlHeartbeat heartbeat = {});
  void handle_backend_call(const BackendCall& call, TimePoint now);
  void update_metrics() const;
  void handle_ring_call(const std::string& routing_id, const RingCall& call, TimePoint now);
  RingAnswer answer_operator(const RingCall& call, TimePoint now);
  const ConfigurationSnapshot& configuration() const override {
    return configuration_service_.configuration();
  }
  std::vector<std::string> broker_addresses() const override {
    return broker_directory_.broker_addresses();
  }
  void send_ring(std::uint64_t revision, const std::string& encoded_ring, TimePoint now) override;
  bool dispatch(DispatchedCommand command) override;
  void propose_configuration(Version version, const std::string& body, std::uint64_t token,
                             TimePoint now) override {
    raft_.propose(version, body, token, now);
  }
  void read_committed(std::uint64_t token, TimePoint now) override {
    raft_.read_index(token, now);
  }
  void reply_to_operator(OperatorReply reply) override;
  void apply_configuration(const Configuration& configuration) override {
    discovery_service_.handle_configuration(configuration);
  }
  std::vector<Version> held_versions() const override {
    return broker_directory_.held_versions();
  }
  void order_monitor(WatchOrderSnapshot order) override;
  std::vector<Version> held_edge_views() const override {
    return broker_directory_.held_edge_views();
  }
  Capacities edge_capacities() const override;
  void notify_brokers(TimePoint now) override;
  void notify_poolers(TimePoint now) override;
  FrameHead head() const {
    return {FrameKind::raft, incarnation_, address_};
  }

  const NodeSettings settings_;
  const IncarnationId incarnation_;
  const std::string address_;
  LinkContext context_;
  FrameServer frame_server_;
  FrameServerReplySender reply_sender_{frame_server_};
  PeerLinks links_;
  Waker waker_;
  BoundedQueue<ControlEvent> events_;
  BoundedQueue<std::vector<std::string>> contacts_;
  std::atomic<bool> should_leave_ = false, has_left_ = false;
  RaftNode raft_;
  RaftControlContext raft_context_;
  DiscoveryService discovery_service_;
  OperatorApi* operator_api_ = nullptr;
  BackendMonitor* backend_monitor_ = nullptr;
  StorageThread* storage_ = nullptr;
  CommandDispatcher* dispatcher_ = nullptr;
  FailoverService failover_service_;
  RingService ring_service_;
  BrokerDirectory broker_directory_;
  BrokerCountMemory broker_count_memory_;
  TimePoint broker_check_due_{};
  ConfigurationService configuration_service_;
  EndpointPublisher endpoint_publisher_;
  EdgeLatencyService edge_latency_service_;

  EntrySnapshot logged_entry_;  // the committed entry whose members were logged last
  RetryQuotaAllocator grants_;
  bool was_leader_ = false, is_leaving_ = false;
  TimePoint foreign_logged_{};
  std::uint64_t foreign_ = 0;
  std::thread thread_;
};

}  // namespace saddlewing
