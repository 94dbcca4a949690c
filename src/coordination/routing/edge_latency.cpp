#include "coordination/routing/edge_latency.h"

#include <algorithm>
#include <cmath>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr double step = 1.5;
constexpr std::uint64_t max_counted = 1u << 24;  // of one cell in one frame
constexpr std::size_t max_name = 256;

}  // namespace

EdgeOptions edge_options(const NodeSettings& settings) {
  EdgeOptions options;
  options.is_on = settings.has_edges;
  options.half_life = settings.edges_half_life;
  options.avoid_times = settings.edges_avoid_times;
  options.return_times = settings.edges_return_times;
  options.min_samples = settings.edges_min_samples;
  options.min_stay = settings.edges_min_stay;
  options.fade = settings.edges_fade;
  options.max_wait = settings.rollout_wait;
  return options;
}

std::size_t edge_bucket(double milliseconds) {
  if (!(milliseconds > 1))
    return 0;
  return std::min(edge_buckets - 1,
                  static_cast<std::size_t>(std::log(milliseconds) / std::log(step)));
}

double edge_bucket_top(std::size_t bucket) {
  return std::pow(step, static_cast<double>(bucket + 1));
}

void EdgeCount::add(double milliseconds, bool has_failed) {
  ++times[edge_bucket(milliseconds)];
  failures += has_failed;
  busy_ms += milliseconds;
}

EdgeCount& EdgeCount::operator+=(const EdgeCount& other) {
  for (std::size_t bucket = 0; bucket < edge_buckets; ++bucket)
    times[bucket] += other.times[bucket];
  failures += other.failures;
  busy_ms += other.busy_ms;
  return *this;
}

std::uint64_t EdgeCount::sum() const {
  std::uint64_t sum = 0;
  for (const std::uint32_t count : times)
    sum += count;
  return sum;
}

void EdgeCounts::add(const EdgeName& name, double milliseconds, bool has_failed) {
  const auto found = rows_.find(name);
  if (found != rows_.end())
    return found->second.add(milliseconds, has_failed);
  if (rows_.size() >= max_)
    return void(++dropped_);
  rows_[name].add(milliseconds, has_failed);
}

bool EdgeCounts::merge(const std::string& bytes) {
  std::map<EdgeName, EdgeCount> rows;
  if (!decode_edges(bytes, max_, rows))
    return ++dropped_, false;
  for (const auto& [name, count] : rows) {
    if (!rows_.contains(name) && rows_.size() >= max_)
      ++dropped_;
    else
      rows_[name] += count;
  }
  return true;
}

std::string EdgeCounts::take() {
  std::string bytes = rows_.empty() ? std::string() : encode_edges(rows_);
  rows_.clear();
  return bytes;
}

// Names once, each cell by their places, and of its buckets only those in use.
std::string encode_edges(const std::map<EdgeName, EdgeCount>& rows) {
  std::vector<std::string> names;
  std::map<std::string, std::uint64_t> positions;
  const auto place_of = [&](const std::string& name) {
    const auto [found, is_new] = positions.try_emplace(name, names.size());
    if (is_new)
      names.push_back(name);
    return found->second;
  };
  std::string cells;
  const auto put = [&](std::uint64_t value) {  // seven bits a byte
    for (; value > 127; value >>= 7)
      cells.push_back(static_cast<char>(value | 128));
    cells.push_back(static_cast<char>(value));
  };
  for (const auto& [name, count] : rows) {
    put(place_of(name.service)), put(place_of(name.zone)),
        put(static_cast<std::uint64_t>(name.kind));
    put(count.failures), put(static_cast<std::uint64_t>(count.busy_ms));
    put(static_cast<std::uint64_t>(std::count_if(count.times.begin(), count.times.end(),
                                                 [](std::uint32_t times) { return times > 0; })));
    for (std::size_t bucket = 0; bucket < edge_buckets; ++bucket)
      if (count.times[bucket])
        put(bucket), put(count.times[bucket]);
  }
  Writer writer;
  writer.number(names.size());
  for (const std::string& name : names)
    writer.text(name);
  return writer.text(cells).take();
}

bool decode_edges(const std::string& bytes, std::size_t limit,
                  std::map<EdgeName, EdgeCount>& rows) {
  ByteReader reader(bytes);
  std::vector<std::string> names(reader.count(8));
  for (std::string& name : names)
    if ((name = reader.text()).size() > max_name)
      return false;
  const std::string cells = reader.text();
  if (!reader.is_complete())
    return false;
  std::size_t at = 0;
  bool is_good = true;
  const auto get = [&] {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 63; shift += 7) {
      if (at >= cells.size())
        break;
      const auto byte = static_cast<unsigned char>(cells[at++]);
      value |= static_cast<std::uint64_t>(byte & 127) << shift;
      if (byte < 128)
        return value;
    }
    is_good = false;
    return std::uint64_t{0};
  };
  while (at < cells.size()) {
    const std::uint64_t service = get();
    const std::uint64_t zone = get();
    const std::uint64_t kind = get();
    const std::uint64_t failures = get();
    const std::uint64_t busy = get();
    const std::uint64_t buckets = get();
    if (!is_good || service >= names.size() || zone >= names.size() || kind > 1 ||
        buckets > edge_buckets || rows.size() >= limit)
      return false;
    EdgeCount count;
    std::uint64_t sum = 0;
    for (std::uint64_t left = buckets; left > 0; --left) {
      const std::uint64_t bucket = get();
      const std::uint64_t times = get();
      if (!is_good || bucket >= edge_buckets || times == 0 || times > max_counted ||
          count.times[bucket])
        return false;
      count.times[bucket] = static_cast<std::uint32_t>(times);
      sum += times;
    }
    if (failures > sum || sum == 0 || busy > sum * 600000)
      return false;
    count.failures = static_cast<std::uint32_t>(failures);
    count.busy_ms = static_cast<double>(busy);
    if (!rows.try_emplace(EdgeName{names[service], names[zone], static_cast<EdgeClass>(kind)},
                          count)
             .second)
      return false;
  }
  return true;
}

const char* name_of(EdgeState::Verdict verdict) {
  constexpr const char* names[] = {"allowed", "preferred", "avoided"};
  return names[static_cast<std::size_t>(verdict)];
}

const EdgeState* EdgeView::find(const std::string& service, const std::string& zone,
                                const std::string& region) const {
  const auto found = std::find_if(states.begin(), states.end(), [&](const EdgeState& state) {
    return state.region == region && state.zone == zone && state.service == service;
  });
  return found == states.end() ? nullptr : &*found;
}

std::string encode_view(const EdgeView& view) {
  Writer writer;
  writer.number(view.revision).number(view.trial_brokers).number(view.states.size());
  for (const EdgeState& state : view.states)
    writer.text(state.service)
        .text(state.zone)
        .text(state.region)
        .number(static_cast<std::uint64_t>(state.verdict))
        .number(state.percent_kept)
        .text(state.reason);
  return writer.take();
}

bool decode_view(const std::string& bytes, EdgeView& view) {
  ByteReader reader(bytes);
  view.revision = reader.number();
  view.trial_brokers = reader.number();
  view.states.resize(reader.count(48));
  for (EdgeState& state : view.states) {
    state.service = reader.text();
    state.zone = reader.text();
    state.region = reader.text();
    const std::uint64_t verdict = reader.number();
    state.percent_kept = reader.number();
    state.reason = reader.text();
    if (verdict > static_cast<std::uint64_t>(EdgeState::Verdict::avoided) ||
        state.percent_kept > 100)
      return false;
    state.verdict = static_cast<EdgeState::Verdict>(verdict);
  }
  return reader.is_complete();
}

bool EdgeSelector::take(EdgeSnapshot view) {
  if (!view || view->revision <= held())
    return false;
  coming_ = std::move(view);
  if (coming_->revision <= in_force_)
    serving_ = std::exchange(coming_, nullptr);
  return true;
}

void EdgeSelector::see_in_force(std::uint64_t revision, TimePoint now) {
  if (revision < in_force_)
    return;  // of a leader before
  in_force_ = revision;
  heard_ = now;
  if (coming_ && coming_->revision <= in_force_)
    serving_ = std::exchange(coming_, nullptr);
}

EdgeSelector::Standing EdgeSelector::standing(const std::string& service, const std::string& zone,
                                              std::uint64_t brokers) const {
  const EdgeState* state = serving_->find(service, zone, region_);
  if (!state)
    return {};
  const std::uint64_t drawn =
      std::hash<std::string>{}(service + "\n" + zone + "\n" + std::to_string(draw_)) %
      std::max<std::uint64_t>(1, brokers);
  return {state->verdict, state->percent_kept,
          state->verdict == EdgeState::Verdict::avoided && drawn < serving_->trial_brokers};
}

double EdgeSelector::influence(TimePoint now) const {
  const double silent = std::chrono::duration<double, std::milli>(now - heard_).count();
  const double fade = static_cast<double>(options_.fade.count());
  return std::clamp(2 - 2 * silent / fade, 0.0, 1.0);
}

}  // namespace saddlewing
