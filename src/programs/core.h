#pragma once
// The agree thread of a registry: agreement, the registry of backends, and the brokers that follow.
#include <atomic>
#include <map>
#include <thread>

#include "coordination/agreement.h"
#include "coordination/calls.h"
#include "coordination/edges.h"
#include "coordination/failover.h"
#include "coordination/fence.h"
#include "coordination/grants.h"
#include "coordination/registry.h"
#include "coordination/ring_moves.h"
#include "coordination/rollout.h"
#include "coordination/samples.h"
#include "programs/desk.h"
#include "programs/envoy.h"
#include "programs/lookout.h"
#include "programs/rings.h"
#include "programs/vault.h"
#include "protocol/steps.h"
#include "state/configuration.h"
#include "state/startup.h"
#include "transport/link.h"

namespace saddlewing {

inline constexpr Span whole_silence{2500};  // a peer unheard for longer is not named to anyone
FailoverOptions failover_options(const Startup& startup);
MoveOptions move_options(const Startup& startup);

class Core {
 public:
  Core(const Startup& startup, Durable durable, LifeId life);
  Fault open();
  void start(Desk& desk, Lookout& lookout, Vault& vault, Envoy& envoy);
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
  Ring<CoreEvent>& events() {
    return events_;
  }

 private:
  struct Broker {
    std::string route, from, region;
    LifeId life;
    bool is_ready = false;
    std::uint64_t seats_mark = 0;  // of the seats it knows
    Version held;
    std::uint64_t sent_mark = 0;
    bool wants_roster = false, is_pooler = false;
    std::uint64_t token = 0, leads_mark = 0;  // of its last follow
    std::uint64_t edges_held = 0;
    Askings beats;  // of a pooler: when the last ones left, by serial
    Moment heard;
  };
  struct Peer {
    LifeId life;
    std::uint64_t sent_mark = 0,
                  taken_mark = 0;  // taken_mark: of its roster, as far as it came here
    bool is_missing = false;       // something of its roster did not come
    std::string locality;
    Moment whole_due{}, observed{}, sent{}, heard{};
  };

  void run();
  void take_event(CoreEvent& event, Moment now);
  void take_parcel(const Parcel& parcel, Moment now);
  void take_follow(const std::string& route, const FrameHead& head, const Follow& follow,
                   Moment now);
  void take_roster(const FrameHead& head, const Roster& roster, Moment now);
  void take_trace(const std::string& route, Moment now);
  void tell_status(const std::string& route, Moment now);
  void route_calls(Moment now);
  void finish_call(std::uint64_t token, bool is_done, std::string body);
  Term led_in() const {
    return agreement_.leader_address().empty() ? Term{} : agreement_.term();
  }  // a term that has a leader
  void handle_output(Moment now);
  void note_commit(Moment now);
  void tend_registry(Moment now);
  void tend_brokers(Moment now);
  void tend_rollout(Moment now);
  void choose_seats(const Broker& to, Beat& beat);
  void remember_brokers(Moment now);
  void send_beat(Broker& broker, bool is_granting, Moment now, Beat beat = {});
  void take_backend(BackendCall& call, Moment now);
  void tend_databases(Moment now);
  void take_ring_call(const std::string& route, const RingCall& call, Moment now);
  RingAnswer answer_ring(const RingCall& call, Moment now);
  Fault check_ring(const std::string& file, RingMap& ring) const;
  RingAnswer answer_move(const RingCall& call, Moment now);
  void bound_ring_reads();
  std::string show_ring(bool has_proposals, Moment now);
  void tend_ring(Moment now);
  void take_ring_follow(const FrameHead& from, const Follow& follow, Beat& beat, Moment now);
  void tend_edges(Moment now);
  void take_edge_follow(const Follow& follow, Broker& broker);
  void take_edge_view(const FrameHead& from, const EdgeViewFrame& frame, Moment now);
  void take_edge_sums(const EdgeSums& sums, Moment now);
  std::string show_edges(Moment now) const;
  void take_pooler(const FrameHead& from, const Follow& follow, Broker& broker, Beat& beat,
                   Moment now);
  void send_to(const std::string& address, const std::string& bytes);
  void reach(const std::string& address);
  FrameHead head() const {
    return {FrameKind::raft, life_, address_};
  }

  const Startup startup_;
  const LifeId life_;
  const std::string address_;
  LinkContext context_;
  Hub hub_;
  std::map<std::string, std::unique_ptr<Spoke>> spokes_;
  Waker waker_;
  Ring<CoreEvent> events_;
  Ring<std::vector<std::string>> contacts_;
  Agreement agreement_;
  Registry registry_;
  Desk* desk_ = nullptr;
  Lookout* lookout_ = nullptr;
  Vault* vault_ = nullptr;
  Envoy* envoy_ = nullptr;
  Failover failover_;
  LeadTable leads_;         // as committed
  std::string leads_text_;  // the same, as it travels
  EntrySnapshot leads_seen_;
  RingSheet ring_sheet_;  // as committed; mark 0: none
  std::string ring_text_;
  RingMap ring_;
  RingMoves ring_moves_;
  RingWatch ring_watch_{WatchOptions{}};
  RingLoads ring_loads_{Span(30000)};
  AccountLoads account_loads_{Span(30000), 256};
  std::map<std::string, Moment> ring_told_;  // brokers whose counts are in
  double lookups_ = 0, late_lookups_ = 0;
  Moment ring_due_{}, ring_watched_{};
  bool is_ring_over_ = false;
  EntrySnapshot ring_seen_;
  // Ready brokers by region, each list ordered by the hash of its address; made anew when one came,
  // went or changed.
  using SeatRing = std::vector<std::pair<std::size_t, std::string>>;
  std::map<std::string, SeatRing> seats_;
  bool are_seats_old_ = true;
  // How many brokers there were, agreed, for the moments after all of them started anew.
  std::uint64_t remembered_brokers_ = 0;
  Moment born_{}, counted_{}, count_differs_since_{};
  std::uint64_t told_mark_ = ~0ull;  // of the registry when every broker fed here had it
  struct Delta {
    std::uint64_t base = 0, mark = 0;
    std::string bytes;
  };
  Delta delta_;  // the last one sent: most brokers need the same
  EdgeJudge edge_judge_;
  std::map<std::string, EdgeCounts> edge_counts_;  // by region of the brokers fed here
  Rollout edge_rollout_;
  std::string edges_text_;
  Moment edges_due_{}, edges_told_{};
  Samples samples_;  // of the poolers fed here
  Term led_term_;    // the last term the failover knew of
  Moment renewed_due_{};

  std::map<std::string, Broker> brokers_;  // by inner address
  std::map<std::string, Peer> peers_;      // by inner address
  EntrySnapshot noted_;                    // the committed entry that was made known
  ConfigurationSnapshot configuration_;
  std::string packed_;  // its body, as brokers get it
  Rollout rollout_;
  Grants grants_;
  CallTable calls_;
  Fence fence_;  // of what other registries steer
  bool is_observing_ = false, was_leader_ = false, is_leaving_ = false;
  std::uint64_t ordered_mark_ = ~0ull;
  Moment registry_due_{}, foreign_logged_{};
  std::uint64_t foreign_ = 0;
  StepLog steps_;
  std::atomic<bool> should_leave_ = false, has_left_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
