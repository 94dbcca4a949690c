#pragma once
// Decides which database leads each service, and replaces a leader that is lost or leaves.
//
// Job: the leader of the registries feeds it heartbeats of databases, reports of poolers, results
// of its commands and the time; out come commands to databases, promotion calls to the platform and
// proposals of a new leadership table. It sends nothing itself. Every step can be repeated: what is
// agreed stands in the leadership table, the rest is asked from the databases again.
//
//   led -> closing -> raising -> led        closing -> led, if the former leader is there after all
//
// closing: the former leader is fenced. Once no pooler has a lease on an older table, the logs of
// the replicas are compared and the most advanced one is elected. raising: the platform is asked to
// promote it.
// Threading: not synchronized; owned by the registry's control loop.
// Source: docs/design/pooler.md; fencing by leases after Gray and Cheriton, "Leases" (1989).
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/databases/pooler_evidence.h"
#include "coordination/leases/lease_table.h"
#include "protocol/database_protocol.h"
#include "state/leadership_table.h"
#include "state/types.h"

namespace saddlewing {

struct FailoverOptions {
  // How often databases send heartbeats. Timeouts for silent ones are multiples of it.
  Duration backend_heartbeat_interval{1200};

  // How long a pooler may act by the leadership table after a grant. A longer one delays failover
  // when a pooler is silent.
  Duration lease{3000};

  // How long a new leader of the registries waits for leases and commands of its predecessor to
  // end; longer than `lease`.
  Duration takeover_wait{4000};

  // After which a database that did not answer is asked again.
  Duration status_retry_interval{150};

  // A promotion call without a result may take effect until then; no other database is elected
  // before.
  Duration max_promotion_delay{4000};
};

// One incarnation of a database as the registry of backends knows it. A database stays at its
// address: a new incarnation there has a new id, takes the log of the former one and ends it. One
// that crashed says nothing of its end, and may be known still.
struct DatabaseEndpoint {
  std::string id;
  std::string address;  // host:port
  std::string service;
  std::string zone;
  bool is_leader = false;      // as it says itself
  bool is_ready = false;       // serving, not emptying
  bool is_gone = false;        // it ended its registration, and may serve on for a while
  TimePoint last_heartbeat{};  // when it arrived
};

// Invariants: no database is promoted while a pooler may act by a table that names another as led;
// of each service at most one promotion is under way; at most one proposal is. A database whose
// term is below the newest one known never becomes the agreed leader, whatever it says of itself.
class Failover {
 public:
  // STATUS or STEPDOWN, for one database.
  struct DatabaseCommand {
    std::uint64_t token;  // for finish_command
    std::string id;       // of the database
    std::string text;
  };

  // Asks the platform to promote a database.
  struct PromotionCall {
    std::uint64_t token;  // for finish_promotion
    std::string service;
    std::string id;  // of the database
  };

  // What is to be done after a tick.
  struct Output {
    std::vector<DatabaseCommand> commands;
    std::vector<PromotionCall> promotions;
    std::optional<LeadershipTable> proposal;  // to replace the table once agreed
    std::vector<std::string> log_lines;
  };

  explicit Failover(FailoverOptions options)
      : options_(options), leases_(options.lease, options.takeover_wait) {
  }

  // Advances every service.
  // `is_leading`: this registry leads under a lease. `table`: as committed. `services`: by name,
  // how many replicas acknowledge a commit (0: asynchronous replication). `endpoints`: the
  // databases.
  void tick(bool is_leading, const LeadershipTable& table,
            const std::map<std::string, int>& services,
            const std::vector<DatabaseEndpoint>& endpoints, TimePoint now);

  // What has accumulated since the last call.
  Output take_output();

  // The result of a command; no status: the database did not answer.
  void finish_command(std::uint64_t token, std::optional<DatabaseStatus> status, TimePoint now);

  // The result of a promotion call. `status`: of the HTTP response; 0: none came.
  void finish_promotion(std::uint64_t token, int status, TimePoint now);

  // The proposal was agreed or rejected; the table tells which.
  void finish_proposal() {
    is_proposing_ = false;
  }

  // A pooler acts by this revision of the table, and reports what it saw.
  // `pooler`: its inner address. `failing`, `fine`: see PoolerEvidence::Report.
  void record_pooler(const std::string& pooler, IncarnationId incarnation, std::uint64_t revision,
                     const std::string& zone, const std::string& failing, const std::string& fine,
                     TimePoint now);

  // Grants a pooler a lease on the whole table; returns its duration, nothing while not leading.
  std::optional<Duration> grant(const std::string& pooler, IncarnationId incarnation,
                                TimePoint now);

 private:
  friend struct InvariantProbe;  // tests plant faults

  // What a database answered to STATUS.
  struct StatusAnswer {
    DatabaseStatus status;
    TimePoint received_at{};
  };

  // Progress within one phase of a service; lost with the leadership of the registries.
  struct Transition {
    std::uint64_t number = 0;                     // of the leadership that it belongs to
    TimePoint phase_started_at{};                 // when that was first seen
    TimePoint comparison_started_at{};            // of the replicas' logs
    TimePoint next_step_at{};                     // no query or promotion before
    std::map<std::string, StatusAnswer> answers;  // by database id, the newest of each
    std::set<std::string> outstanding_queries;    // database ids
    TimePoint last_answer_at{};                   // of any database
    bool was_promoted = false;                    // a promotion was called for
    bool is_promotion_outstanding = false;        // its result is
    bool is_promotion_accepted = false;
    bool is_promotion_refused = false;
    TimePoint promoted_at{};  // when the last promotion was called for, or its result came

    // Null: it has not answered.
    const StatusAnswer* find_answer(const std::string& id) const {
      const auto found = answers.find(id);
      return found == answers.end() ? nullptr : &found->second;
    }
    // How long the comparison of logs goes on; the first call begins it.
    Duration comparison_duration(TimePoint now) {
      if (comparison_started_at == TimePoint{})
        comparison_started_at = now;
      return elapsed(comparison_started_at, now);
    }
  };

  struct PendingCommand {
    enum class Kind {
      status,
      step_down,
      promotion
    };
    std::string service;
    std::string id;
    Kind kind;
  };

  // The replicas' logs, as far as they have answered. A replica has answered if any of its
  // incarnations has.
  struct Comparison {
    const DatabaseEndpoint* best = nullptr;  // leading, else most advanced; null: none answered
    bool is_best_leading = false;            // see is_present_leader
    DatabaseStatus best_status;
    bool has_every_answer = false;
  };

  using EndpointPointers = std::vector<const DatabaseEndpoint*>;  // of one service

  // Null: there is none of that id.
  static const DatabaseEndpoint* find_endpoint(const EndpointPointers& endpoints,
                                               const std::string& id);
  void start_leading(TimePoint now);
  Transition& current_transition(const DatabaseLeadership& leadership, TimePoint now);
  void advance_service(const std::string& service, int sync, const EndpointPointers& endpoints,
                       TimePoint now);
  void send_command(const std::string& service, const std::string& id, PendingCommand::Kind kind,
                    const std::string& text);
  void forget_queries(const std::string& service);
  void propose_change(DatabaseLeadership leadership, const std::string& log_line);
  void propose_leader(DatabaseLeadership leadership, const std::string& id,
                      const DatabaseStatus& status, const std::string& log_line);
  void propose_closing(DatabaseLeadership leadership, bool is_planned, const std::string& log_line);
  std::uint64_t newest_term(const DatabaseLeadership& leadership) const;
  bool leads_in_newest_term(const DatabaseLeadership& leadership,
                            const DatabaseStatus& status) const;

  // Phase led.
  void adopt_leader(const std::string& service, const EndpointPointers& endpoints, TimePoint now);
  void monitor_leader(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                      TimePoint now);
  bool record_term(const DatabaseLeadership& leadership);
  void query_leader(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                    TimePoint now);
  void step_down_others(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                        TimePoint now);
  bool has_successor(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                     TimePoint now) const;
  bool is_leader_lost(const DatabaseLeadership& leadership, Duration silence, TimePoint now) const;

  // In failover_election.cpp: the first leader of a service, and the phases closing and raising.
  std::optional<DatabaseLeadership> choose_claimant(const std::string& service,
                                                    const EndpointPointers& claimants,
                                                    TimePoint now);
  bool is_present_leader(const DatabaseLeadership& leadership, const DatabaseStatus& status) const;
  bool has_taken_the_lead(const DatabaseLeadership& leadership, const DatabaseStatus& status) const;
  void elect(const DatabaseLeadership& leadership, int sync, const EndpointPointers& endpoints,
             TimePoint now);
  void query_databases(const std::string& service, const EndpointPointers& endpoints,
                       TimePoint now);
  Comparison compare_replicas(const DatabaseLeadership& leadership,
                              const EndpointPointers& endpoints, int sync, Duration waited) const;
  bool is_answer_wait_over(Duration waited) const;
  static bool must_catch_up(const Comparison& comparison, const StatusAnswer* former, int sync,
                            Duration waited, TimePoint now);
  bool is_elected(const DatabaseLeadership& leadership, const Comparison& comparison,
                  const StatusAnswer* former, int sync, Duration waited) const;
  bool has_former_leader_returned(const DatabaseLeadership& leadership, const StatusAnswer* former,
                                  const EndpointPointers& endpoints, TimePoint now) const;
  void promote_target(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                      TimePoint now);
  bool is_target_lost(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                      TimePoint now) const;
  void call_promotion(const DatabaseLeadership& leadership, TimePoint now);

  FailoverOptions options_;
  bool is_leading_ = false;
  bool is_proposing_ = false;
  TimePoint leading_since_{};
  LeadershipTable table_;                    // as committed
  std::optional<LeadershipTable> proposal_;  // as changed by the running tick
  LeaseTable leases_;                        // of poolers, on the leadership table
  PoolerEvidence evidence_;
  std::map<std::string, Transition> transitions_;    // by service
  std::map<std::uint64_t, PendingCommand> pending_;  // by token
  std::map<std::string, TimePoint> last_step_down_;  // by database id
  std::uint64_t last_token_ = 0;
  Output output_;
};

}  // namespace saddlewing
