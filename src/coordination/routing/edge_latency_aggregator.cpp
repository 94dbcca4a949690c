// How the leader judges edges: each against the others of its service, for one region at a time.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "coordination/routing/edge_latency.h"

namespace saddlewing {
namespace {

constexpr double usual_share = 0.75;  // the quantile that is compared
constexpr double failure_ms = 1000;   // what a failure adds to it, by its share
constexpr double margin_ms = 15;      // differences under that decide nothing
constexpr double prefer_times = 0.6, unprefer_times = 0.8;
constexpr Duration way_memory{600000};  // over which the least time of a way is forgotten
constexpr Duration soon{30000};         // after a change: another one then is flapping
constexpr int max_flaps = 5;

std::string tell(const char* format, double first, double second) {
  char text[128];
  std::snprintf(text, sizeof text, format, first, second);
  return text;
}

}  // namespace

double EdgeLatencyAggregator::Cell::slots(Duration half_life, TimePoint now) const {
  if (began == TimePoint{} || now <= began)
    return 0;
  const auto half_life_ms = static_cast<double>(half_life.count());
  const double age = std::chrono::duration<double, std::milli>(now - began).count();
  return busy_ms * std::log(2) / half_life_ms / (1 - std::exp2(-age / half_life_ms));
}

void EdgeLatencyAggregator::Cell::clear(TimePoint now) {
  times.fill(0);
  sum = failures = busy_ms = 0;
  began = now;
}

void EdgeLatencyAggregator::Cell::fade(Duration half_life, TimePoint now) {
  if (began == TimePoint{})
    began = now;
  if (faded != TimePoint{}) {
    const double span = std::chrono::duration<double, std::milli>(now - faded).count();
    const double kept = std::exp2(-span / static_cast<double>(half_life.count()));
    for (double& count : times)
      count *= kept;
    failures *= kept, busy_ms *= kept, sum *= kept;
  }
  faded = now;
}

double EdgeLatencyAggregator::Cell::quantile(double share) const {
  double left = sum * share;
  for (std::size_t bucket = 0; bucket < edge_buckets; ++bucket) {
    if (times[bucket] <= 0)
      continue;
    if (left <= times[bucket]) {
      const double bottom = bucket == 0 ? 0 : edge_bucket_top(bucket - 1);
      return bottom + (edge_bucket_top(bucket) - bottom) * left / times[bucket];
    }
    left -= times[bucket];
  }
  return 0;
}

bool EdgeLatencyAggregator::add(const std::string& region, const std::string& bytes,
                                TimePoint now) {
  std::map<EdgeName, EdgeCount> rows;
  if (!decode_edges(bytes, options_.max_cells, rows))
    return false;
  bool is_complete = true;
  for (const auto& [name, count] : rows) {
    auto& zones = cells_[{name.service, region}];
    if (!zones.contains(name.zone)) {
      if (count_ >= options_.max_cells) {
        is_complete = false;
        continue;
      }
      ++count_;
    }
    Cell& cell = zones[name.zone][static_cast<std::size_t>(name.kind)];
    cell.fade(options_.half_life, now);
    for (std::size_t bucket = 0; bucket < edge_buckets; ++bucket)
      cell.times[bucket] += count.times[bucket];
    cell.sum += static_cast<double>(count.sum());
    cell.failures += count.failures;
    cell.busy_ms += count.busy_ms;
    if (cell.sum < options_.min_samples / 2)
      continue;
    const double minimum = cell.quantile(0.1);
    auto& way = ways_.try_emplace({region, name.zone}, minimum).first->second;
    way = std::min(way, minimum);
  }
  return is_complete;
}

// Light requests tell more than heavy ones; of two edges the same kind must be compared.
EdgeLatencyAggregator::Score EdgeLatencyAggregator::score(const Place& position,
                                                          const std::string& zone,
                                                          double minimum) const {
  const auto zones = cells_.find(position);
  if (zones == cells_.end() || !zones->second.contains(zone))
    return {};
  for (const EdgeClass kind : {EdgeClass::light, EdgeClass::heavy}) {
    const Cell& own = zones->second.at(zone)[static_cast<std::size_t>(kind)];
    if (own.sum < minimum)
      continue;
    // The way there is not slowness.
    const auto way_to = [&](const std::string& to) {
      const auto way = ways_.find({position.region, to});
      return way == ways_.end() ? 0.0 : way->second;
    };
    double nearest = way_to(zone);
    bool is_comparable = false;
    for (const auto& [other, cells] : zones->second) {
      const Cell& cell = cells[static_cast<std::size_t>(kind)];
      if (other == zone || cell.sum < options_.min_samples)
        continue;
      is_comparable = true;
      nearest = std::min(nearest, way_to(other));
    }
    if (!is_comparable)
      continue;
    const double failures = own.failures / own.sum;
    return {true,
            own.quantile(usual_share) - std::min(options_.max_way_ms, way_to(zone) - nearest) +
                failures * failure_ms,
            own.sum, failures};
  }
  return {};
}

bool EdgeLatencyAggregator::set(const Place& position, const std::string& zone,
                                EdgeState::Verdict verdict, std::uint64_t kept, std::string reason,
                                TimePoint now) {
  Standing& standing = standings_[position][zone];
  const bool has_changed = standing.verdict != verdict || standing.percent_kept != kept;
  if (!has_changed)
    return false;
  const int flaps = now - standing.since < soon * (1 << standing.flaps)
                        ? std::min(max_flaps, standing.flaps + 1)
                        : 0;
  const bool is_first = standing.verdict == EdgeState::Verdict::allowed && standing.reason.empty();
  standing = {verdict, kept, now, std::move(reason), is_first ? 0 : flaps};
  return true;
}

bool EdgeLatencyAggregator::judge_place(const Place& position,
                                        const std::map<Edge, double>& room_of, TimePoint now) {
  using Verdict = EdgeState::Verdict;
  auto& zones = cells_[position];
  auto& standings = standings_[position];
  bool has_changed = false;
  for (auto& [zone, cells] : zones) {
    Standing& own = standings[zone];
    if (own.since == TimePoint{})
      own.since = now;
    const bool is_avoided = own.verdict == Verdict::avoided;
    const Score mine =
        score(position, zone, is_avoided ? options_.min_trials : options_.min_samples);
    if (!mine.is_known || now - own.since < options_.min_stay * (1 << own.flaps))
      continue;
    double best = 0;
    double room = 0;
    std::size_t others = 0;
    for (const auto& [other, other_cells] : zones) {
      if (other == zone || standings[other].verdict == Verdict::avoided)
        continue;
      const Score theirs = score(position, other, options_.min_samples);
      if (!theirs.is_known)
        continue;
      best = others++ == 0 ? theirs.time_ms : std::min(best, theirs.time_ms);
      if (const auto found = room_of.find({position.service, other}); found != room_of.end())
        room += found->second;
    }
    if (others == 0) {  // a shard never loses its last edge
      if (is_avoided)
        has_changed |= set(position, zone, Verdict::allowed, 100, "no other edge is left", now);
      continue;
    }
    const std::string against = tell("%.0f ms, the best of the others %.0f ms", mine.time_ms, best);
    if (is_avoided) {
      if (mine.time_ms <= options_.return_times * best + margin_ms) {
        has_changed |=
            set(position, zone, Verdict::allowed, 100, "trials went well: " + against, now);
        for (Cell& cell : cells)
          cell.clear(now);  // what was before tells nothing now
      }
    } else if (mine.time_ms > options_.avoid_times * best + margin_ms) {
      double busy = 0;  // what would move: this region's alone
      for (const Cell& cell : cells)
        busy += cell.slots(options_.half_life, now);
      // Its own slowness makes it look busy: what the others would need for the same is less.
      busy *= std::max(0.05, best / std::max(1.0, mine.time_ms));
      const auto kept = static_cast<std::uint64_t>(
                            std::clamp(100 - 100 * room / std::max(0.01, busy), 0.0, 100.0) / 10) *
                        10;
      if (kept == 0) {
        has_changed |= set(position, zone, Verdict::avoided, 0, against, now);
        for (Cell& cell : cells)
          cell.clear(now);  // from here on only trials count
      } else if (kept < own.percent_kept) {
        has_changed |= set(position, zone, Verdict::allowed, kept,
                           against + "; the others can't carry all", now);
      }
    } else if (own.percent_kept < 100 && mine.time_ms <= options_.return_times * best + margin_ms) {
      has_changed |=
          set(position, zone, Verdict::allowed, 100, "it is quick again: " + against, now);
    } else if (own.verdict == Verdict::allowed && mine.time_ms + margin_ms < prefer_times * best) {
      has_changed |= set(position, zone, Verdict::preferred, 100, against, now);
    } else if (own.verdict == Verdict::preferred && mine.time_ms > unprefer_times * best) {
      has_changed |= set(position, zone, Verdict::allowed, 100, against, now);
    }
  }
  return has_changed;
}

EdgeSnapshot EdgeLatencyAggregator::judge(std::uint64_t term,
                                          const std::map<Edge, double>& capacity, TimePoint now) {
  bool has_changed = false;
  for (auto& [position, zones] : cells_)
    for (auto& [zone, cells] : zones)
      for (Cell& cell : cells)
        cell.fade(options_.half_life, now);
  // What each edge could still take, all regions together: its slots, as far as they may be busy,
  // less those in use.
  std::map<Edge, double> room;
  for (const auto& [edge, slots] : capacity)
    room[edge] = slots * options_.max_busy;
  if (judged_ != TimePoint{}) {
    const double forgotten = std::min(1.0, std::chrono::duration<double>(now - judged_) /
                                               std::chrono::duration<double>(way_memory));
    for (auto& [way, minimum] : ways_)
      minimum += minimum * forgotten;  // a way that became longer is learnt in time
  }
  judged_ = now;
  std::vector<Place> positions;
  for (const auto& [position, zones] : cells_) {
    positions.push_back(position);
    for (const auto& [zone, cells] : zones)
      for (const Cell& cell : cells)
        room[{position.service, zone}] -= cell.slots(options_.half_life, now);
  }
  for (auto& [edge, left] : room)
    left = std::max(0.0, left);
  for (const Place& position : positions)
    has_changed |= judge_place(position, room, now);
  if (!has_changed)
    return nullptr;
  auto next = std::make_shared<EdgeView>();
  next->revision = std::max(view_->revision + 1, term << 32);
  for (const auto& [position, zones] : standings_)
    for (const auto& [zone, standing] : zones)
      if (standing.verdict != EdgeState::Verdict::allowed || standing.percent_kept < 100)
        next->states.push_back({position.service, zone, position.region, standing.verdict,
                                standing.percent_kept, standing.reason});
  view_ = std::move(next);
  return view_;
}

bool EdgeLatencyAggregator::take(EdgeSnapshot view, TimePoint now) {
  if (!view || view->revision <= view_->revision)
    return false;
  view_ = std::move(view);
  standings_.clear();
  for (const EdgeState& state : view_->states)
    standings_[{state.service, state.region}][state.zone] = {state.verdict, state.percent_kept, now,
                                                             state.reason, 0};
  return true;
}

void EdgeLatencyAggregator::take_ways(const Ways& ways) {
  for (const auto& [way, minimum] : ways)
    if (minimum >= 0 && minimum < 60000 &&
        (ways_.contains(way) || ways_.size() < options_.max_cells)) {
      auto& own = ways_.try_emplace(way, minimum).first->second;
      own = std::min(own, minimum);
    }
}

std::vector<EdgeLatencyAggregator::Row> EdgeLatencyAggregator::rows(TimePoint now) const {
  std::vector<Row> rows;
  for (const auto& [position, zones] : cells_)
    for (const auto& [zone, cells] : zones) {
      Row row{position.service, zone, position.region, {}, 0, 0, 0, Duration(0), {}};
      const Score own = score(position, zone, 1);
      row.samples = cells[0].sum + cells[1].sum;
      const Cell& usual = cells[0].sum > 0 ? cells[0] : cells[1];
      row.time_ms = own.is_known ? own.time_ms : usual.quantile(usual_share);
      row.failures = own.failures;
      if (const auto found = standings_.find(position); found != standings_.end())
        if (const auto standing = found->second.find(zone); standing != found->second.end()) {
          row.verdict = standing->second.verdict;
          row.reason = standing->second.reason;
          row.age = elapsed(standing->second.since, now);
        }
      if (row.reason.empty())
        row.reason = row.samples < options_.min_samples ? "too few samples to judge"
                                                        : "in line with the others";
      rows.push_back(std::move(row));
    }
  return rows;
}

}  // namespace saddlewing
