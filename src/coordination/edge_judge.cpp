// How the leader judges edges: each against the others of its service, for one region at a time.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "coordination/edges.h"

namespace saddlewing {
namespace {

constexpr double usual_share = 0.75;  // the quantile that is compared
constexpr double failure_ms = 1000;   // what a failure adds to it, by its share
constexpr double margin_ms = 15;      // differences under that decide nothing
constexpr double prefer_times = 0.6, unprefer_times = 0.8;
constexpr Span way_memory{600000};  // over which the least time of a way is forgotten
constexpr Span soon{30000};         // after a change: another one then is flapping
constexpr int most_flaps = 5;

std::string tell(const char* format, double first, double second) {
  char text[128];
  std::snprintf(text, sizeof text, format, first, second);
  return text;
}

}  // namespace

double EdgeJudge::Cell::slots(Span half_life, Moment now) const {
  if (began == Moment{} || now <= began)
    return 0;
  const double life = static_cast<double>(half_life.count()),
               age = std::chrono::duration<double, std::milli>(now - began).count();
  return busy_ms * std::log(2) / life / (1 - std::exp2(-age / life));
}

void EdgeJudge::Cell::clear(Moment now) {
  times.fill(0);
  sum = failures = busy_ms = 0;
  began = now;
}

void EdgeJudge::Cell::fade(Span half_life, Moment now) {
  if (began == Moment{})
    began = now;
  if (faded != Moment{}) {
    const double span = std::chrono::duration<double, std::milli>(now - faded).count();
    const double kept = std::exp2(-span / static_cast<double>(half_life.count()));
    for (double& count : times)
      count *= kept;
    failures *= kept, busy_ms *= kept, sum *= kept;
  }
  faded = now;
}

double EdgeJudge::Cell::quantile(double share) const {
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

bool EdgeJudge::add(const std::string& region, const std::string& bytes, Moment now) {
  std::map<EdgeName, EdgeCount> rows;
  if (!decode_edges(bytes, options_.most_cells, rows))
    return false;
  bool is_whole = true;
  for (const auto& [name, count] : rows) {
    auto& zones = cells_[{name.service, region}];
    if (!zones.contains(name.zone)) {
      if (count_ >= options_.most_cells) {
        is_whole = false;
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
    if (cell.sum < options_.least_samples / 2)
      continue;
    const double least = cell.quantile(0.1);
    auto& way = ways_.try_emplace({region, name.zone}, least).first->second;
    way = std::min(way, least);
  }
  return is_whole;
}

// Light requests tell more than heavy ones; of two edges the same kind must be compared.
EdgeJudge::Score EdgeJudge::score(const Place& place, const std::string& zone, double least) const {
  const auto zones = cells_.find(place);
  if (zones == cells_.end() || !zones->second.contains(zone))
    return {};
  for (const EdgeClass kind : {EdgeClass::light, EdgeClass::heavy}) {
    const Cell& own = zones->second.at(zone)[static_cast<std::size_t>(kind)];
    if (own.sum < least)
      continue;
    // The way there is not slowness.
    const auto way_to = [&](const std::string& to) {
      const auto way = ways_.find({place.region, to});
      return way == ways_.end() ? 0.0 : way->second;
    };
    double nearest = way_to(zone);
    bool is_comparable = false;
    for (const auto& [other, cells] : zones->second) {
      const Cell& cell = cells[static_cast<std::size_t>(kind)];
      if (other == zone || cell.sum < options_.least_samples)
        continue;
      is_comparable = true;
      nearest = std::min(nearest, way_to(other));
    }
    if (!is_comparable)
      continue;
    const double failures = own.failures / own.sum;
    return {true,
            own.quantile(usual_share) - std::min(options_.most_way_ms, way_to(zone) - nearest) +
                failures * failure_ms,
            own.sum, failures};
  }
  return {};
}

bool EdgeJudge::set(const Place& place, const std::string& zone, EdgeState::Verdict verdict,
                    std::uint64_t kept, std::string reason, Moment now) {
  Standing& standing = standings_[place][zone];
  const bool has_changed = standing.verdict != verdict || standing.percent_kept != kept;
  if (!has_changed)
    return false;
  const int flaps = now - standing.since < soon * (1 << standing.flaps)
                        ? std::min(most_flaps, standing.flaps + 1)
                        : 0;
  const bool is_first = standing.verdict == EdgeState::Verdict::allowed && standing.reason.empty();
  standing = {verdict, kept, now, std::move(reason), is_first ? 0 : flaps};
  return true;
}

bool EdgeJudge::judge_place(const Place& place, const std::map<Edge, double>& room_of, Moment now) {
  using Verdict = EdgeState::Verdict;
  auto& zones = cells_[place];
  auto& standings = standings_[place];
  bool has_changed = false;
  for (auto& [zone, cells] : zones) {
    Standing& own = standings[zone];
    if (own.since == Moment{})
      own.since = now;
    const bool is_avoided = own.verdict == Verdict::avoided;
    const Score mine =
        score(place, zone, is_avoided ? options_.least_trials : options_.least_samples);
    if (!mine.is_known || now - own.since < options_.least_stay * (1 << own.flaps))
      continue;
    double best = 0, room = 0;
    std::size_t others = 0;
    for (const auto& [other, other_cells] : zones) {
      if (other == zone || standings[other].verdict == Verdict::avoided)
        continue;
      const Score theirs = score(place, other, options_.least_samples);
      if (!theirs.is_known)
        continue;
      best = others++ == 0 ? theirs.time_ms : std::min(best, theirs.time_ms);
      if (const auto found = room_of.find({place.service, other}); found != room_of.end())
        room += found->second;
    }
    if (others == 0) {  // a shard never loses its last edge
      if (is_avoided)
        has_changed |= set(place, zone, Verdict::allowed, 100, "no other edge is left", now);
      continue;
    }
    const std::string against = tell("%.0f ms, the best of the others %.0f ms", mine.time_ms, best);
    if (is_avoided) {
      if (mine.time_ms <= options_.return_times * best + margin_ms) {
        has_changed |= set(place, zone, Verdict::allowed, 100, "trials went well: " + against, now);
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
        has_changed |= set(place, zone, Verdict::avoided, 0, against, now);
        for (Cell& cell : cells)
          cell.clear(now);  // from here on only trials count
      } else if (kept < own.percent_kept) {
        has_changed |=
            set(place, zone, Verdict::allowed, kept, against + "; the others can't carry all", now);
      }
    } else if (own.percent_kept < 100 && mine.time_ms <= options_.return_times * best + margin_ms) {
      has_changed |= set(place, zone, Verdict::allowed, 100, "it is quick again: " + against, now);
    } else if (own.verdict == Verdict::allowed && mine.time_ms + margin_ms < prefer_times * best) {
      has_changed |= set(place, zone, Verdict::preferred, 100, against, now);
    } else if (own.verdict == Verdict::preferred && mine.time_ms > unprefer_times * best) {
      has_changed |= set(place, zone, Verdict::allowed, 100, against, now);
    }
  }
  return has_changed;
}

EdgeSnapshot EdgeJudge::judge(std::uint64_t term, const std::map<Edge, double>& capacity,
                              Moment now) {
  bool has_changed = false;
  for (auto& [place, zones] : cells_)
    for (auto& [zone, cells] : zones)
      for (Cell& cell : cells)
        cell.fade(options_.half_life, now);
  // What each edge could still take, all regions together: its slots, as far as they may be busy,
  // less those in use.
  std::map<Edge, double> room;
  for (const auto& [edge, slots] : capacity)
    room[edge] = slots * options_.most_busy;
  if (judged_ != Moment{}) {
    const double forgotten = std::min(1.0, std::chrono::duration<double>(now - judged_) /
                                               std::chrono::duration<double>(way_memory));
    for (auto& [way, least] : ways_)
      least += least * forgotten;  // a way that became longer is learnt in time
  }
  judged_ = now;
  std::vector<Place> places;
  for (const auto& [place, zones] : cells_) {
    places.push_back(place);
    for (const auto& [zone, cells] : zones)
      for (const Cell& cell : cells)
        room[{place.service, zone}] -= cell.slots(options_.half_life, now);
  }
  for (auto& [edge, left] : room)
    left = std::max(0.0, left);
  for (const Place& place : places)
    has_changed |= judge_place(place, room, now);
  if (!has_changed)
    return nullptr;
  auto next = std::make_shared<EdgeView>();
  next->mark = std::max(view_->mark + 1, term << 32);
  for (const auto& [place, zones] : standings_)
    for (const auto& [zone, standing] : zones)
      if (standing.verdict != EdgeState::Verdict::allowed || standing.percent_kept < 100)
        next->states.push_back({place.service, zone, place.region, standing.verdict,
                                standing.percent_kept, standing.reason});
  view_ = std::move(next);
  return view_;
}

bool EdgeJudge::take(EdgeSnapshot view, Moment now) {
  if (!view || view->mark <= view_->mark)
    return false;
  view_ = std::move(view);
  standings_.clear();
  for (const EdgeState& state : view_->states)
    standings_[{state.service, state.region}][state.zone] = {state.verdict, state.percent_kept, now,
                                                             state.reason, 0};
  return true;
}

void EdgeJudge::take_ways(const Ways& ways) {
  for (const auto& [way, least] : ways)
    if (least >= 0 && least < 60000 &&
        (ways_.contains(way) || ways_.size() < options_.most_cells)) {
      auto& own = ways_.try_emplace(way, least).first->second;
      own = std::min(own, least);
    }
}

std::vector<EdgeJudge::Row> EdgeJudge::rows(Moment now) const {
  std::vector<Row> rows;
  for (const auto& [place, zones] : cells_)
    for (const auto& [zone, cells] : zones) {
      Row row{place.service, zone, place.region, {}, 0, 0, 0, Span(0), {}};
      const Score own = score(place, zone, 1);
      row.samples = cells[0].sum + cells[1].sum;
      const Cell& usual = cells[0].sum > 0 ? cells[0] : cells[1];
      row.time_ms = own.is_known ? own.time_ms : usual.quantile(usual_share);
      row.failures = own.failures;
      if (const auto found = standings_.find(place); found != standings_.end())
        if (const auto standing = found->second.find(zone); standing != found->second.end()) {
          row.verdict = standing->second.verdict;
          row.reason = standing->second.reason;
          row.age = span_between(standing->second.since, now);
        }
      if (row.reason.empty())
        row.reason = row.samples < options_.least_samples ? "too few samples to judge"
                                                          : "in line with the others";
      rows.push_back(std::move(row));
    }
  return rows;
}

}  // namespace saddlewing
