#pragma once
// Who leads each database, decided by the leader of the core. Pure: beats, evidence, outcomes and a
// clock in; orders to databases, calls of duty and proposals out. Every step can be done again:
// what is agreed is in the table of leads, and the rest is asked from the databases.
//
//   led -> closing -> raising -> led        closing -> led, if the old leader is there after all
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/leases/lease_table.h"
#include "protocol/database_protocol.h"
#include "state/leadership_table.h"
#include "state/types.h"

namespace saddlewing {

struct FailoverOptions {
  Duration backend_heartbeat_interval{1200};  // of backends
  Duration lease{3000};                       // of poolers on the table of leads
  Duration takeover_wait{
      4000};  // a new leader of the core waits this long for what its forerunner gave or asked
  Duration status_retry_interval{150};  // of a database that did not answer
  Duration max_promotion_delay{
      4000};  // a call of duty without an answer may take effect until then
};

// A backend as the failover sees it.
struct DatabaseEndpoint {
  std::string id, service, zone;
  bool is_leader = false;      // as it says itself
  bool is_ready = false;       // not emptying
  TimePoint last_heartbeat{};  // when it was last heard
};

class Failover {
 public:
  struct DatabaseCommand {  // to one database
    std::uint64_t token;
    std::string id, text;
  };
  struct PromotionCall {  // the call of duty
    std::uint64_t token;
    std::string service, id;
  };
  struct Output {
    std::vector<DatabaseCommand> commands;
    std::vector<PromotionCall> promotions;
    std::optional<LeadershipTable> proposal;  // replaces the table once agreed
    std::vector<std::string> log_lines;       // for the log
  };

  explicit Failover(FailoverOptions options)
      : options_(options), leases_(options.lease, options.takeover_wait) {
  }

  // `is_leading`: leads the core under a lease. `table`: as committed.
  void tick(bool is_leading, const LeadershipTable& table,
            const std::map<std::string, int>& services,
            const std::vector<DatabaseEndpoint>& endpoints, TimePoint now);
  Output take_output();
  void finish_command(std::uint64_t token, std::optional<DatabaseStatus> status, TimePoint now);
  void finish_promotion(std::uint64_t token, int status, TimePoint now);  // 0: no answer
  void finish_proposal() {
    is_proposing_ = false;
  }  // agreed or not: the table tells

  // Holds. A grant is for the whole table; nobody else is promoted before it was given back or ran
  // out.
  void record_pooler(const std::string& pooler, IncarnationId incarnation, std::uint64_t revision,
                     const std::string& zone, const std::string& failing, const std::string& fine,
                     TimePoint now);
  std::optional<Duration> grant(const std::string& pooler, IncarnationId incarnation,
                                TimePoint now);

 private:
  struct PoolerEvidence {  // a pooler, and what it saw by the table of this mark
    std::uint64_t revision = 0;
    TimePoint received_at{};
    std::string zone, failing, fine;
  };
  struct Transition {  // of one service under change; forgotten with the lead of the core
    TimePoint phase_started_at{}, comparison_started_at{}, next_step_at{},
        promoted_at{};           // comparison_started_at: of the databases
    TimePoint last_answer_at{};  // when a database last answered
    std::map<std::string, DatabaseStatus> statuses;
    std::set<std::string> outstanding_queries;
    bool was_promoted = false, is_promotion_refused = false, is_promotion_accepted = false,
         is_promotion_outstanding = false;  // is_promotion_outstanding: a call of duty is under way
    std::uint64_t number = 0;               // of the lead it belongs to
    DatabaseLeadership::Phase phase{};
    std::uint64_t term_before = 0;
  };
  struct PendingCommand {
    std::string service, id;
    bool is_step_down = false;
  };
  using EndpointPointers = std::vector<const DatabaseEndpoint*>;

  void advance_service(const std::string& service, int sync, const EndpointPointers& endpoints,
                       TimePoint now);
  void adopt_leader(const std::string& service, const EndpointPointers& endpoints);
  void monitor_leader(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                      TimePoint now);
  void elect(const DatabaseLeadership& leadership, int sync, const EndpointPointers& endpoints,
             TimePoint now);
  void promote_target(const DatabaseLeadership& leadership, const EndpointPointers& endpoints,
                      TimePoint now);
  void send_command(const std::string& service, const std::string& id, const std::string& text,
                    bool is_step_down);
  void propose_change(DatabaseLeadership leadership, const std::string& log_lines);
  bool is_abandoned(std::size_t position, TimePoint now, bool& is_unobserved) const;

  FailoverOptions options_;
  bool is_leading_ = false, is_proposing_ = false;
  TimePoint leading_since_{};
  LeadershipTable table_;
  std::optional<LeadershipTable> proposal_;
  LeaseTable leases_;
  std::map<std::string, PoolerEvidence> evidence_;  // by inner address
  std::map<std::string, Transition> transitions_;
  std::map<std::uint64_t, PendingCommand> pending_;
  std::map<std::string, TimePoint> last_step_down_;  // when a false leader was last told
  std::map<std::string, std::uint64_t>
      log_terms_;  // of each service's log, as last seen of its leader
  std::uint64_t last_token_ = 0;
  Output output_;
};

}  // namespace saddlewing
