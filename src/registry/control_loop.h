#pragma once
// The agree thread of a registry: agreement, the registry of backends, and the brokers that follow.
#include <atomic>
#include <map>
#include <thread>

#include "coordination/databases/failover.h"
#include "coordination/databases/log_position_samples.h"
#include "coordination/discovery/service_registry.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/leases/term_fence.h"
#include "coordination/placement/shard_migration.h"
#include "coordination/raft/pending_calls.h"
#include "coordination/raft/raft_node.h"
#include "coordination/rollout/version_rollout.h"
#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/ring_messages.h"
#include "protocol/version_trace.h"
#include "registry/backend_monitor.h"
#include "registry/command_dispatcher.h"
#include "registry/events.h"
#include "registry/operator_api.h"
#include "registry/storage_thread.h"
#include "state/configuration.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {

inline constexpr Duration whole_silence{2500};  // a peer unheard for longer is not named to anyone
FailoverOptions failover_options(const NodeSettings& settings);
MoveOptions move_options(const NodeSettings& settings);

class ControlLoop {
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
  struct Broker {
    std::string routing_id, from, region;
    IncarnationId incarnation;
    bool is_ready = false;
    std::uint64_t brokers_revision = 0;  // of the seats it knows
    Version held;
    std::uint64_t sent_revision = 0;
    bool wants_endpoints = false, is_pooler = false;
    std::uint64_t token = 0, leadership_revision = 0;  // of its last follow
    std::uint64_t edges_held = 0;
    RequestClock heartbeats;  // of a pooler: when the last ones left, by serial
    TimePoint last_contact;
  };
  struct Peer {
    IncarnationId incarnation;
    std::uint64_t sent_revision = 0,
                  received_revision =
                      0;      // received_revision: of its roster, as far as it came here
    bool is_missing = false;  // something of its roster did not come
    std::string zone;
    TimePoint full_sync_due{}, observed{}, sent{}, last_contact{};
  };

  void run();
  void handle_event(ControlEvent& event, TimePoint now);
  void handle_frame(const ReceivedFrame& frame, TimePoint now);
  void handle_subscribe(const std::string& routing_id, const FrameHead& head,
                        const SubscribeRequest& follow, TimePoint now);
  void handle_endpoints(const FrameHead& head, const EndpointList& endpoints, TimePoint now);
  void handle_trace(const std::string& routing_id, TimePoint now);
  void send_status(const std::string& routing_id, TimePoint now);
  void route_calls(TimePoint now);
  void finish_call(std::uint64_t token, bool is_done, std::string body);
  Term led_in() const {
    return raft_.leader_address().empty() ? Term{} : raft_.term();
  }  // a term that has a leader
  void handle_output(TimePoint now);
  void on_commit(TimePoint now);
  void update_registry(TimePoint now);
  void update_brokers(TimePoint now);
  void advance_rollout(TimePoint now);
  void choose_seats(const Broker& to, ControlHeartbeat& heartbeat);
  void remember_brokers(TimePoint now);
  void send_heartbeat(Broker& broker, bool is_granting, TimePoint now,
                      ControlHeartbeat heartbeat = {});
  void handle_backend_call(BackendCall& call, TimePoint now);
  void update_databases(TimePoint now);
  void handle_ring_call(const std::string& routing_id, const RingCall& call, TimePoint now);
  RingReply answer_ring(const RingCall& call, TimePoint now);
  Error check_ring(const std::string& file, RingMap& ring) const;
  RingReply answer_move(const RingCall& call, TimePoint now);
  void bound_ring_reads();
  std::string show_ring(bool has_proposals, TimePoint now);
  void update_ring(TimePoint now);
  void handle_ring_subscription(const FrameHead& from, const SubscribeRequest& follow,
                                ControlHeartbeat& heartbeat, TimePoint now);
  void update_edges(TimePoint now);
  void handle_edge_subscription(const SubscribeRequest& follow, Broker& broker);
  void handle_edge_view(const FrameHead& from, const EdgeViewFrame& frame, TimePoint now);
  void handle_edge_sums(const EdgeSums& sums, TimePoint now);
  std::string show_edges(TimePoint now) const;
  void handle_pooler(const FrameHead& from, const SubscribeRequest& follow, Broker& broker,
                     ControlHeartbeat& heartbeat, TimePoint now);
  void send_to(const std::string& address, const std::string& bytes);
  void reach(const std::string& address);
  FrameHead head() const {
    return {FrameKind::raft, incarnation_, address_};
  }

  const NodeSettings settings_;
  const IncarnationId incarnation_;
  const std::string address_;
  LinkContext context_;
  FrameServer frame_server_;
  std::map<std::string, std::unique_ptr<FrameClient>> clients_;
  Waker waker_;
  BoundedQueue<ControlEvent> events_;
  BoundedQueue<std::vector<std::string>> contacts_;
  RaftNode raft_;
  ServiceRegistry registry_;
  OperatorApi* operator_api_ = nullptr;
  BackendMonitor* backend_monitor_ = nullptr;
  StorageThread* storage_ = nullptr;
  CommandDispatcher* dispatcher_ = nullptr;
  Failover failover_;
  LeadershipTable leaderships_;   // as committed
  std::string leaderships_text_;  // the same, as it travels
  EntrySnapshot leaderships_seen_;
  RingDocument ring_document_;  // as committed; mark 0: none
  std::string ring_text_;
  RingMap ring_;
  ShardMigration shard_migration_;
  RingLoadMonitor ring_load_monitor_{WatchOptions{}};
  RingLoads ring_loads_{Duration(30000)};
  AccountLoads account_loads_{Duration(30000), 256};
  std::map<std::string, TimePoint> ring_told_;  // brokers whose counts are in
  double lookups_ = 0, late_lookups_ = 0;
  TimePoint ring_due_{}, ring_watched_{};
  bool is_ring_over_ = false;
  EntrySnapshot ring_seen_;
  // Ready brokers by region, each list ordered by the hash of its address; made anew when one came,
  // went or changed.
  using SeatRing = std::vector<std::pair<std::size_t, std::string>>;
  std::map<std::string, SeatRing> seats_;
  bool are_seats_old_ = true;
  // How many brokers there were, agreed, for the moments after all of them started anew.
  std::uint64_t remembered_brokers_ = 0;
  TimePoint born_{}, counted_{}, count_differs_since_{};
  std::uint64_t notified_revision_ = ~0ull;  // of the registry when every broker fed here had it
  struct Delta {
    std::uint64_t base = 0, revision = 0;
    std::string bytes;
  };
  Delta delta_;  // the last one sent: most brokers need the same
  EdgeLatencyAggregator edge_aggregator_;
  std::map<std::string, EdgeCounts> edge_counts_;  // by region of the brokers fed here
  VersionRollout edge_rollout_;
  std::string edges_text_;
  TimePoint edges_due_{}, edges_told_{};
  LogPositionSamples samples_;  // of the poolers fed here
  Term led_term_;               // the last term the failover knew of
  TimePoint renewed_due_{};

  std::map<std::string, Broker> brokers_;  // by inner address
  std::map<std::string, Peer> peers_;      // by inner address
  EntrySnapshot noted_;                    // the committed entry that was made known
  ConfigurationSnapshot configuration_;
  std::string packed_;  // its body, as brokers get it
  VersionRollout rollout_;
  RetryQuotaAllocator grants_;
  PendingCalls calls_;
  TermFence fence_;  // of what other registries steer
  bool is_observing_ = false, was_leader_ = false, is_leaving_ = false;
  std::uint64_t ordered_revision_ = ~0ull;
  TimePoint registry_due_{}, foreign_logged_{};
  std::uint64_t foreign_ = 0;
  VersionTrace steps_;
  std::atomic<bool> should_leave_ = false, has_left_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
