#pragma once
// One shared view of how fast each edge answers each region. Brokers count, registries add up, the
// leader judges, and every broker acts by the same version of the view. Pure: counts and a clock
// in, a view out.
//
// An edge is the backends of one service in one zone; of the service "" it is the brokers of one
// region that help.
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/rollout/version_rollout.h"
#include "protocol/edge_messages.h"
#include "state/node_settings.h"

namespace saddlewing {

enum class EdgeClass : std::uint8_t {
  light,
  heavy
};  // compared each with its own kind alone

// Answer times in steps of half as much again, from 1 ms to some 11 s.
inline constexpr std::size_t edge_buckets = 24;
std::size_t edge_bucket(double milliseconds);
double edge_bucket_top(std::size_t bucket);

struct EdgeName {
  std::string service, zone;
  EdgeClass kind{};
  auto operator<=>(const EdgeName&) const = default;
};
struct EdgeCount {
  std::array<std::uint32_t, edge_buckets> times{};
  std::uint32_t failures =
      0;  // without an answer in time; they stand in `times` too, at their least
  double busy_ms = 0;
  void add(double milliseconds, bool has_failed);
  EdgeCount& operator+=(const EdgeCount& other);
  std::uint64_t sum() const;
};

// What came since it was last taken. Bounded: what is beyond is counted as dropped.
class EdgeCounts {
 public:
  explicit EdgeCounts(std::size_t limit) : max_(limit) {
  }
  void add(const EdgeName& name, double milliseconds, bool has_failed);
  // False: impossible or too many; then nothing of it was added.
  bool merge(const std::string& bytes);
  std::string take();  // as they travel; empty: nothing
  bool is_empty() const {
    return rows_.empty();
  }
  std::uint64_t dropped() const {
    return dropped_;
  }
  const std::map<EdgeName, EdgeCount>& rows() const {
    return rows_;
  }

 private:
  std::size_t max_;
  std::uint64_t dropped_ = 0;
  std::map<EdgeName, EdgeCount> rows_;
};
std::string encode_edges(const std::map<EdgeName, EdgeCount>& rows);
bool decode_edges(const std::string& bytes, std::size_t limit, std::map<EdgeName, EdgeCount>& rows);

struct EdgeState {
  enum class Verdict : std::uint64_t {
    allowed,
    preferred,
    avoided
  };
  std::string service, zone, region;  // region: of the asking brokers
  Verdict verdict{};
  std::uint64_t percent_kept = 100;  // of its requests, where the others can't carry all of them
  std::string reason;
};
const char* name_of(EdgeState::Verdict verdict);

// Immutable, swapped whole. Cells that it does not name are allowed.
struct EdgeView {
  std::uint64_t revision =
      0;  // term of the leader, and its count: of two views the greater mark holds
  std::uint64_t trial_brokers = 2;  // so many of a region try an avoided edge
  std::vector<EdgeState> states;
  const EdgeState* find(const std::string& service, const std::string& zone,
                        const std::string& region) const;
};
using EdgeSnapshot = std::shared_ptr<const EdgeView>;
std::string encode_view(const EdgeView& view);
bool decode_view(const std::string& bytes, EdgeView& view);

struct EdgeOptions {
  bool is_on = false;
  Duration half_life{4000};
  double avoid_times = 3, return_times = 1.5;  // of the best edge's time: beyond the first avoided,
                                               // within the second back again
  double min_samples = 20, min_trials = 6;
  Duration min_stay{2000};  // in a state; longer after changes in quick succession
  double max_way_ms =
      60;  // between two edges of a service; what is beyond is slowness, not distance
  Duration max_wait{400};  // for brokers that do not hold a coming view
  Duration fade{10000};  // a broker that hears nothing more goes by its view for half of that, then
                         // less and less
  double max_busy = 0.8;  // of the capacity of those that take the load
  std::size_t max_cells = 20000;
};

EdgeOptions edge_options(const NodeSettings& settings);

// At the leader.
class EdgeLatencyAggregator {
 public:
  explicit EdgeLatencyAggregator(EdgeOptions options) : options_(options) {
  }
  // What brokers of a region counted. False: impossible or too many.
  bool add(const std::string& region, const std::string& bytes, TimePoint now);
  // `capacity`: slots of the edge's backends that are UP. Null: the view stays as it is.
  struct Edge {
    std::string service, zone;
    auto operator<=>(const Edge&) const = default;
  };
  EdgeSnapshot judge(std::uint64_t term, const std::map<Edge, double>& capacity, TimePoint now);
  // Of a predecessor: goes on from there. What is older changes nothing.
  bool take(EdgeSnapshot view, TimePoint now);
  // The least that each way ever took: from a region to a zone, in milliseconds. A leader hands it
  // to its peers, for an edge that is slow when the next one starts must not pass for far.
  using Ways = NetworkLatencies;
  const Ways& ways() const {
    return ways_;
  }
  void take_ways(const Ways& ways);
  const EdgeSnapshot& view() const {
    return view_;
  }

  struct Row {  // one cell as operators see it
    std::string service, zone, region;
    EdgeState::Verdict verdict{};
    double samples = 0, time_ms = 0, failures = 0;
    Duration age{0};  // in that state
    std::string reason;
  };
  std::vector<Row> rows(TimePoint now) const;

 private:
  struct Cell {
    std::array<double, edge_buckets> times{};
    double failures = 0, busy_ms = 0, sum = 0;
    TimePoint faded{}, began{};
    double slots(Duration half_life, TimePoint now) const;  // in use, on average
    void clear(TimePoint now);
    void fade(Duration half_life, TimePoint now);
    double quantile(double share) const;
  };
  struct Standing {
    EdgeState::Verdict verdict{};
    std::uint64_t percent_kept = 100;
    TimePoint since{};
    std::string reason;
    int flaps = 0;  // changes that came soon after another: each doubles the least stay
  };
  struct Place {
    std::string service, region;
    auto operator<=>(const Place&) const = default;
  };
  struct Score {
    bool is_known = false;
    double time_ms = 0, sum = 0, failures = 0;
  };
  Score score(const Place& position, const std::string& zone, double minimum) const;
  bool judge_place(const Place& position, const std::map<Edge, double>& room_of,
                   TimePoint now);  // room_of: slots that an edge could still fill
  bool set(const Place& position, const std::string& zone, EdgeState::Verdict verdict,
           std::uint64_t kept, std::string reason, TimePoint now);

  EdgeOptions options_;
  std::map<Place, std::map<std::string, std::array<Cell, 2>>> cells_;  // by zone and class
  std::size_t count_ = 0;
  Ways ways_;
  TimePoint judged_{};
  std::map<Place, std::map<std::string, Standing>> standings_;
  EdgeSnapshot view_ = std::make_shared<EdgeView>();
};

// At a broker. Invariant: the view in force never goes back, and turns only when the leader says
// that it is in force.
class EdgeSelector {
 public:
  EdgeSelector(std::string region, std::uint64_t draw, EdgeOptions options)
      : region_(std::move(region)), draw_(draw), options_(options) {
  }
  bool take(EdgeSnapshot view);
  void see_in_force(std::uint64_t revision,
                    TimePoint now);  // told by a registry; also a sign that the view is kept
  std::uint64_t held() const {
    return coming_ ? coming_->revision : serving_->revision;
  }
  const EdgeSnapshot& serving() const {
    return serving_;
  }
  struct Standing {
    EdgeState::Verdict verdict{};
    std::uint64_t percent_kept = 100;
    bool is_trying = false;  // this broker is one of the few that try it
  };
  Standing standing(const std::string& service, const std::string& zone,
                    std::uint64_t brokers) const;
  double influence(TimePoint now) const;  // 1: the view counts, 0: neutral

 private:
  std::string region_;
  std::uint64_t draw_;
  EdgeOptions options_;
  EdgeSnapshot serving_ = std::make_shared<EdgeView>(), coming_;
  std::uint64_t in_force_ = 0;
  TimePoint heard_{};
};

}  // namespace saddlewing
