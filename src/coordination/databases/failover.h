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
  Duration settle{
      4000};  // a new leader of the core waits this long for what its forerunner gave or asked
  Duration ask_again{150};        // of a database that did not answer
  Duration late_promotion{4000};  // a call of duty without an answer may take effect until then
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
  struct Order {  // to one database
    std::uint64_t token;
    std::string id, text;
  };
  struct PromotionCall {  // the call of duty
    std::uint64_t token;
    std::string service, id;
  };
  struct Output {
    std::vector<Order> orders;
    std::vector<PromotionCall> raises;
    std::optional<LeadershipTable> proposal;  // replaces the table once agreed
    std::vector<std::string> news;            // for the log
  };

  explicit Failover(FailoverOptions options)
      : options_(options), leases_(options.lease, options.settle) {
  }

  // `is_leading`: leads the core under a lease. `table`: as committed.
  void tick(bool is_leading, const LeadershipTable& table,
            const std::map<std::string, int>& services, const std::vector<DatabaseEndpoint>& seats,
            TimePoint now);
  Output take();
  void finish_order(std::uint64_t token, std::optional<DatabaseStatus> status, TimePoint now);
  void finish_promotion(std::uint64_t token, int status, TimePoint now);  // 0: no answer
  void finish_proposal() {
    is_proposing_ = false;
  }  // agreed or not: the table tells

  // Holds. A grant is for the whole table; nobody else is promoted before it was given back or ran
  // out.
  void record_pooler(const std::string& from, IncarnationId incarnation, std::uint64_t revision,
                     const std::string& zone, const std::string& failing, const std::string& fine,
                     TimePoint now);
  std::optional<Duration> grant(const std::string& from, IncarnationId incarnation, TimePoint now);

 private:
  struct Witness {  // a pooler, and what it saw by the table of this mark
    std::uint64_t revision = 0;
    TimePoint told{};
    std::string zone, failing, fine;
  };
  struct Case {  // of one service under change; forgotten with the lead of the core
    TimePoint since{}, asked_since{}, step_due{}, promoted{};  // asked_since: of the databases
    TimePoint answered{};                                      // when a database last answered
    std::map<std::string, DatabaseStatus> statuses;
    std::set<std::string> asked;
    bool was_promoted = false, is_refused = false, is_taken = false,
         is_asking = false;    // is_asking: a call of duty is under way
    std::uint64_t number = 0;  // of the lead it belongs to
    DatabaseLeadership::Phase phase{};
    std::uint64_t term_before = 0;
  };
  struct Pending {
    std::string service, id;
    bool is_step_down = false;
  };
  using Seats = std::vector<const DatabaseEndpoint*>;

  void maintain(const std::string& service, int sync, const Seats& seats, TimePoint now);
  void found(const std::string& service, const Seats& seats);
  void watch(const DatabaseLeadership& lead, const Seats& seats, TimePoint now);
  void close(const DatabaseLeadership& lead, int sync, const Seats& seats, TimePoint now);
  void promote(const DatabaseLeadership& lead, const Seats& seats, TimePoint now);
  void ask(const std::string& service, const std::string& id, const std::string& text,
           bool is_step_down);
  void change(DatabaseLeadership lead, const std::string& news);
  bool is_given_up(std::size_t position, TimePoint now, bool& is_unseen) const;

  FailoverOptions options_;
  bool is_leading_ = false, is_proposing_ = false;
  TimePoint led_since_{};
  LeadershipTable table_;
  std::optional<LeadershipTable> next_;
  LeaseTable leases_;
  std::map<std::string, Witness> witnesses_;  // by inner address
  std::map<std::string, Case> cases_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::string, TimePoint> stepped_;    // when a false leader was last told
  std::map<std::string, std::uint64_t> terms_;  // of each service's log, as last seen of its leader
  std::uint64_t last_token_ = 0;
  Output output_;
};

}  // namespace saddlewing
