#pragma once
// At a broker or pooler: which registries it asks, which one feeds it, and when it has heard enough
// to be ready. Pure.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/leases/term_fence.h"
#include "protocol/control_messages.h"
#include "state/types.h"

namespace saddlewing {

struct ControlSourceOptions {
  std::string zone, region;
  Duration follow{400}, unconfirmed_wait{2000};
};

// Invariant: what is believed of a registry is as old as the asking that it answered, so that
// buffers which lay for long confirm nothing. While no leader is heard, every address that anybody
// told is asked, each turn: one that leads under a lease is confirmed, so while one is heard there
// is a better feed than one without a majority.
class ControlSourceSelector {
 public:
  static constexpr std::size_t seldom =
      4;  // of how many turns one reaches registries that neither lead nor feed

  struct Source {     // one registry
    Version version;  // it holds committed
    Term term;
    bool is_leader = false, is_filled = false, has_endpoints = false;
    std::string zone, region;
    TimePoint known{};  // since when it is asked
    TimePoint last_contact{},
        answered{};  // when the last answer came, and when the asking that it answered had left
    TimePoint confirmed{};  // the last asking after which it had a majority behind it
    TimePoint fed{};        // when it became the feed, or ceased to be
  };

  ControlSourceSelector(ControlSourceOptions options, IncarnationId incarnation, TimePoint now)
      : options_(std::move(options)), request_clock_(incarnation), born_(now), learned_(now) {
  }

  void set_seeds(std::vector<std::string> addresses, TimePoint now);
  // A turn of asking. True: this one is asked.
  std::uint64_t turn(TimePoint now);
  bool should_ask(const std::string& address, std::size_t position, bool is_ready,
                  TimePoint now) const;
  std::uint64_t token() const {
    return request_clock_.last();
  }

  struct Heard {
    std::optional<TimePoint>
        asked;  // when the asking left that this beat answers; none: it confirms and grants nothing
    bool is_steering = false;  // it comes from whom alone one takes orders: what is in force,
                               // tables, leases, grants
  };
  Heard take(const std::string& address, const ControlHeartbeat& heartbeat, TimePoint now);
  void handle_endpoints(const std::string& address) {
    if (const auto found = sources_.find(address); found != sources_.end())
      found->second.has_endpoints = true;
  }
  // The new feed, if another takes its place.
  std::optional<std::string> choose(TimePoint now);
  const std::string& chosen() const {
    return control_source_;
  }
  bool is_leader(const Source& source) const {
    return source.is_leader && source.term == fence_.highest();
  }
  bool is_confirmed(const std::string& address, TimePoint now) const;
  // Ready: a configuration and a roster that a registry with a majority behind it confirmed in this
  // life, or, when none of those known answers in time, the newest that any registry reached holds
  // committed.
  enum class Ready {
    no,
    confirmed,
    unconfirmed
  };
  Ready judge(Version serving, TimePoint now) const;

  const std::map<std::string, Source>& sources() const {
    return sources_;
  }
  const std::vector<std::string>& registries() const {
    return registries_;
  }
  TimePoint asked_or_never(IncarnationId requester, std::uint64_t token) const {
    return request_clock_.find(requester, token).value_or(TimePoint{});
  }

 private:
  static constexpr std::size_t max_hints = 16;
  bool is_confirmed(const Source& source, bool is_feed, TimePoint now) const;
  void reach(const std::string& address, TimePoint now);
  void drop_unnamed();

  ControlSourceOptions options_;
  RequestClock request_clock_;
  TermFence fence_;
  TimePoint born_, learned_;        // learned_: when an address came in last
  std::vector<std::string> seeds_;  // of the settings
  std::vector<std::string>
      registries_;                  // as a confirmed registry told last: kept until another does
  std::vector<std::string> hints_;  // as unconfirmed ones told; none while a confirmed one is heard
  std::map<std::string, Source> sources_;  // by inner address
  std::string control_source_;
  std::size_t turn_ = 0;
};

}  // namespace saddlewing
