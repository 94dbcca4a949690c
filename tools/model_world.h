#pragma once
// A simulated site around the project's own agreement, roll-out, grants and leases: network, disks,
// clocks, machines. One thread; time goes from event to event.
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <variant>

#include "coordination/leases/lease_table.h"
#include "coordination/leases/retry_quota.h"
#include "coordination/leases/retry_quota_allocator.h"
#include "coordination/raft/raft_node.h"
#include "coordination/rollout/version_rollout.h"
#include "coordination/rollout/version_switch.h"
#include "model_checks.h"
#include "model_walk.h"
#include "protocol/raft_messages.h"

namespace saddlewing::model {

// Between registries, and between them and brokers. The project's own frames for these carry more
// than is modelled.
struct CallPacket {  // an operator's call handed to the leader
  int origin = 0;
  std::uint64_t incarnation = 0, token = 0;
  bool is_read = false;
  Version version;
  std::string body;
};
struct AnswerPacket {
  std::uint64_t incarnation = 0, token = 0;
  bool is_done = false;
  Version version;  // of a read
  std::string body;
};
struct FollowPacket {
  int broker = 0;
  std::uint64_t incarnation = 0, token = 0, revision = 0;
  Version held;
};
struct HeartbeatPacket {
  Version version, in_force;
  bool is_leader = false;
  std::uint64_t incarnation = 0, token = 0, revision = 0;
  double grant = 0;
  Duration grant_valid{}, lease{};
};
struct FinishedSave {
  std::uint64_t serial = 0;
  bool is_saved = false;
};
using Content = std::variant<std::monostate, RaftMessage, CallPacket, AnswerPacket, FollowPacket,
                             HeartbeatPacket, FinishedSave>;

// How long a call of an operator may take.
inline constexpr Duration call_wait{2000};

class World {
 public:
  World(const Walk& walk, std::ostream* trace);
  std::optional<Violation> run(Tally& tally);

 private:
  static constexpr int first_broker = 1000;
  struct Event {
    Micros at;
    std::uint64_t order;
    enum class Kind {
      deliver,
      wake,
      save,
      start,
      follow
    } kind;
    int from, to;
    std::uint64_t incarnation;  // of the node it is for; deliveries reach any
    Content content;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }  // for a heap
  };
  struct Machine {  // what a registry's and a broker's have in common
    int number = 0;
    bool is_up = false, is_frozen = false, is_gone = false;
    std::uint64_t incarnation = 0;
    double rate = 1;
    Micros offset = 0;
    int cut = 0;              // 1 in, 2 out
    std::vector<Event> held;  // while frozen
  };
  struct Call {
    std::size_t call = 0;  // of the history; for one passed on, nothing
    bool is_read = false;
    Version version;
    std::string body;
    int origin = 0;  // 0: here
    std::uint64_t origin_incarnation = 0, origin_token = 0;
    std::string sent_to;
    TimePoint deadline;
    std::string refused_by = {};  // as in PendingCalls::Call
    TimePoint sent_at = {};
  };
  struct Row {
    std::uint64_t incarnation = 0;
    Version held;
    TimePoint last_contact;
  };
  struct Node : Machine {
    std::string address;
    std::unique_ptr<RaftNode> raft;
    PersistentState disk, disk_before;  // what the next life finds; what a save replaced whose
                                        // folder was not synced yet
    bool has_disk = false, has_before = false;
    DiskMode mode = DiskMode::well;
    std::optional<RaftNode::Save> pending;
    Micros wake_at = -1;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t last_token = 0;
    EntrySnapshot noted;
    std::unique_ptr<VersionRollout> rollout;
    std::unique_ptr<RetryQuotaAllocator> grants;
    std::unique_ptr<LeaseTable> leases;
    std::map<int, Row> rows;
    bool is_holding = false;  // leads by a lease, as the leader of tables does
    Term led_term;
    std::uint64_t revision = 0;
    bool is_marking = false;
  };
  struct Broker : Machine {
    std::unique_ptr<VersionSwitch> version_switch;
    RetryQuota reserve;
    std::uint64_t last_token = 0, revision = 0;
    std::map<std::uint64_t, TimePoint> asked;
    TimePoint held_until{};
  };
  struct Granted {
    int broker;
    std::uint64_t incarnation;
    double amount;
    Micros until;
  };

  // model_world.cpp
  void push(Micros at, Event::Kind kind, int from, int to, std::uint64_t incarnation,
            Content content);
  void send(int from, int to, Content content);
  void handle(Event event);
  Machine* machine(int number);
  TimePoint local(const Machine& machine) const;
  static Micros global(const Machine& machine, TimePoint moment);
  std::uint64_t draw(std::uint64_t salt);
  void apply(const Step& step);
  void heal();
  bool is_well(bool should_say);
  void say(const std::string& text);
  void fail(const char* check, std::string text) {
    ledger_.fail(check, std::move(text));
  }

  // model_nodes.cpp
  Node& add_node(int number);
  void start_node(Node& node);
  void stop_node(Node& node, bool is_power);
  void wipe_node(Node& node);
  void turn_node(Node& node);  // after whatever came to it, as the core's loop does
  void flush(Node& node);
  void begin_save(Node& node, RaftNode::Save save);
  void end_save(Node& node, std::uint64_t serial);
  void observe(Node& node);
  void check_lease(const Node& node);
  void take(Node& node, int from, Content& content);
  void receive(Node& node, int from, RaftMessage& message);
  void begin_call(Node& node, bool is_read, std::int64_t version);
  void route_calls(Node& node);
  void finish_call(Node& node, std::uint64_t token, bool is_done, Version version,
                   const std::string& body);
  void plant_in_entry(Node& node, const PersistentState& persistent);
  void transfer_and_lead_on(Node& node);
  std::vector<std::string> contacts() const;

  // model_brokers.cpp
  void start_broker(Broker& broker);
  void follow(Broker& broker);
  void handle_heartbeat(Broker& broker, const HeartbeatPacket& heartbeat);
  void handle_subscribe(Node& node, const FollowPacket& follow);
  static HeartbeatPacket make_heartbeat(Node& node);
  void update_tables(Node& node);
  void advance_rollout(Node& node);

  const Walk& walk_;
  std::ostream* trace_;
  Micros now_ = 0;
  std::uint64_t order_ = 0, drawn_ = 0, incarnations_ = 0, ids_ = 1000;
  std::vector<Event> heap_;
  std::map<int, std::unique_ptr<Node>> nodes_;
  std::map<int, std::unique_ptr<Broker>> brokers_;
  std::map<std::string, int> numbers_;         // by address
  std::map<std::pair<int, int>, bool> links_;  // cut, from and to
  std::map<std::pair<int, int>, std::uint64_t> sent_;
  std::vector<Granted> granted_;
  std::map<std::uint32_t, int> chosen_;  // by group of steps, who led when it began
  int storm_ = 0;
  bool is_healed_ = false;
  History history_;
  Ledger ledger_;
  Tally tally_;
};

}  // namespace saddlewing::model
