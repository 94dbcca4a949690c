#pragma once
// Chooses the registry from which a broker or pooler takes its configuration and endpoints.
//
// Job: keeps what is known of each registry, decides which of them a request goes to, which one is
// the source, and when enough was received to be ready. It sends nothing and holds neither
// configuration nor endpoints.
// Threading: not synchronized; owned by the thread of the control-plane client.
// Source: Eureka's clients, which take their copy from one server of their zone and change it when
// it fails; see docs/discovery.md.
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/leases/request_clock.h"
#include "coordination/leases/term_fence.h"
#include "protocol/control_messages.h"
#include "state/types.h"

namespace saddlewing {

struct ControlSourceOptions {
  // Where this process runs; a registry of the same zone is preferred, then one of the same region.
  std::string zone;
  std::string region;

  // How often requests are sent. All timeouts of the selector are multiples of it.
  Duration request_interval{400};

  // How long a starting process waits for a registry with a majority before it serves by the newest
  // configuration that any registry holds.
  Duration unconfirmed_wait{2000};
};

// A registry as seen from here.
struct ControlSource {
  Version version;             // it holds committed
  Term term;                   // in which it leads or follows a leader
  bool is_leader = false;      // it says that it leads in that term, under a lease
  bool is_filled = false;      // its list of endpoints has been complete since it started
  bool has_endpoints = false;  // it has sent its list of endpoints
  std::string zone;
  std::string region;
  TimePoint last_contact{};         // when the last reply to a new request arrived
  TimePoint answered_request_at{};  // when the request of that reply left
  TimePoint
      confirmed_request_at{};  // the last request answered with a majority behind it; none: {}
  TimePoint selection_changed_at{};  // when it became the source, or ceased to be
};

// Invariant: what is believed of a registry is as old as the request that it answered, so that
// replies which waited in a buffer confirm nothing. While no leader is heard, every known address
// gets each request: a leader under a lease is confirmed, so as long as one is heard there is a
// better source than a registry without a majority.
class ControlSourceSelector {
 public:
  // `incarnation`: of this process, which replies must name.
  ControlSourceSelector(ControlSourceOptions options, IncarnationId incarnation, TimePoint now);

  // Replaces the addresses that settings and platform give; inner addresses, host:port. Addresses
  // that no list names any more are forgotten.
  void set_seeds(std::vector<std::string> addresses, TimePoint now);

  // Begins the next turn of requests; returns the token that they bear.
  std::uint64_t begin_requests(TimePoint now);

  // Whether this registry gets a request in this turn.
  // `position`: its number among the sources; spreads the requests of the background over the
  // turns.
  bool should_request(const std::string& address, std::size_t position, bool is_ready,
                      TimePoint now) const;

  // The token of the newest turn.
  std::uint64_t last_token() const {
    return request_clock_.last_token();
  }

  // What a heartbeat is good for.
  struct HeartbeatResult {
    // When the request that it answers left; none: it confirms and grants nothing.
    std::optional<TimePoint> request_sent_at;
    // It comes from the leader of the highest term, which alone gives orders: versions in force,
    // tables, leases and grants.
    bool is_authoritative = false;
  };
  HeartbeatResult handle_heartbeat(const std::string& address, const ControlHeartbeat& heartbeat,
                                   TimePoint now);

  // A list of endpoints of this registry was taken.
  void handle_endpoints(const std::string& address);

  // Chooses the source: the nearest registry with a majority behind it, else the nearest that is
  // heard. Returns its address if it changed.
  std::optional<std::string> select(TimePoint now);

  // The address of the source; empty: there is none.
  const std::string& selected() const {
    return selected_;
  }

  // Whether it says that it leads in the highest known term.
  bool is_leader(const ControlSource& source) const {
    return source.is_leader && source.term == fence_.highest_term();
  }

  // Whether it recently had a majority behind it.
  bool is_confirmed(const std::string& address, TimePoint now) const;

  enum class Readiness {
    no,
    confirmed,   // a registry with a majority confirmed configuration and endpoints
    unconfirmed  // none did in time; they are the newest that any registry reached holds
  };

  // Whether enough was received to serve by version `serving`.
  Readiness readiness(Version serving, TimePoint now) const;

  const std::map<std::string, ControlSource>& sources() const {  // by inner address
    return sources_;
  }

  // The registries that a confirmed one named last.
  const std::vector<std::string>& registries() const {
    return registries_;
  }

 private:
  Duration contact_timeout() const;
  Duration background_timeout() const;
  bool is_confirmed(const ControlSource& source, bool is_selected, TimePoint now) const;
  bool has_leader(TimePoint now) const;
  void add_source(const std::string& address, TimePoint now);
  void erase_unreferenced();
  void update_source(ControlSource& source, const ControlHeartbeat& heartbeat,
                     TimePoint request_sent_at, TimePoint now);
  void learn_addresses(const std::string& from, const ControlHeartbeat& heartbeat, TimePoint now);
  void check_selected(TimePoint now);

  ControlSourceOptions options_;
  RequestClock request_clock_;
  TermFence fence_;
  TimePoint started_at_;
  TimePoint last_source_added_;
  std::vector<std::string> seeds_;
  std::vector<std::string> registries_;  // kept until a confirmed registry names others
  std::vector<std::string>
      hints_;  // named by unconfirmed ones; none while a confirmed one is heard
  std::map<std::string, ControlSource> sources_;  // by inner address
  std::string selected_;                          // address of the source; empty: none
  std::size_t request_count_ = 0;
};

}  // namespace saddlewing
