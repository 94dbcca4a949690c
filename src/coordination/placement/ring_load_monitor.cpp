#include "coordination/placement/ring_load_monitor.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_told = 512, max_accounts_told = 32;

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f %%", share * 100);
  return text;
}

}  // namespace

Error check_ring_file(const std::string& file, const Configuration& configuration, RingMap& ring) {
  RingMap read;
  if (Error found = read_ring(file, read))
    return found;
  const auto route = std::find_if(configuration.routes.begin(), configuration.routes.end(),
                                  [&](const Route& one) { return one.name == read.route; });
  if (route == configuration.routes.end() || route->shares.empty())
    return make_error(ErrorCode::invalid,
                      "rule " + read.route + " is no rule with a service or shares");
  for (const RingNode& node : read.nodes) {
    const bool is_allowed =
        std::any_of(route->shares.begin(), route->shares.end(), [&](const Share& share) {
          return share.weight > 0 && configuration.services[share.service.value].name == node.name;
        });
    if (!is_allowed)
      return make_error(ErrorCode::invalid,
                        "nodes " + node.name + ": rule " + read.route + " does not allow it");
  }
  ring = std::move(read);
  return {};
}

double RingLoads::fading(TimePoint since, TimePoint now) const {
  const double age = std::chrono::duration<double, std::milli>(now - since).count();
  return std::exp2(-age / static_cast<double>(half_life_.count()));
}

void RingLoads::add(VirtualNode virtual_node, const RingLoad& load, TimePoint now) {
  if (virtual_node >= 65536)
    return;
  if (rows_.size() <= virtual_node)
    rows_.resize(virtual_node + 1);
  auto& [sum, when] = rows_[virtual_node];
  const double kept = when == TimePoint{} ? 0 : fading(when, now);
  sum = {sum.attempts * kept, sum.busy_ms * kept, sum.bytes * kept};
  sum += load;
  when = now;
}

std::vector<RingLoad> RingLoads::sums(std::size_t count, TimePoint now) const {
  std::vector<RingLoad> sums(count);
  for (std::size_t position = 0; position < std::min(count, rows_.size()); ++position) {
    const auto& [sum, when] = rows_[position];
    const double kept = when == TimePoint{} ? 0 : fading(when, now);
    sums[position] = {sum.attempts * kept, sum.busy_ms * kept, sum.bytes * kept};
  }
  return sums;
}

std::string encode_loads(const std::vector<std::pair<VirtualNode, RingLoad>>& loads) {
  Writer writer;
  std::size_t left = max_told;
  for (const auto& [virtual_node, load] : loads) {
    if (left-- == 0)
      break;
    writer.number(virtual_node)
        .number(static_cast<std::uint64_t>(load.attempts))
        .number(static_cast<std::uint64_t>(load.busy_ms * 1000));
    writer.number(static_cast<std::uint64_t>(load.bytes));
  }
  return writer.take();
}

bool decode_loads(const std::string& bytes, std::vector<std::pair<VirtualNode, RingLoad>>& loads) {
  ByteReader reader(bytes);
  while (reader.is_good() && !reader.is_complete()) {
    const auto virtual_node = static_cast<VirtualNode>(reader.number());
    RingLoad load;
    load.attempts = static_cast<double>(reader.number());
    load.busy_ms = static_cast<double>(reader.number()) / 1000;
    load.bytes = static_cast<double>(reader.number());
    if (reader.is_good())
      loads.emplace_back(virtual_node, load);
  }
  return reader.is_good();
}

double AccountLoads::fading(TimePoint since, TimePoint now) const {
  return std::exp2(-std::chrono::duration<double, std::milli>(now - since).count() /
                   static_cast<double>(half_life_.count()));
}

void AccountLoads::add(const std::string& account, const RingLoad& load, TimePoint now) {
  auto& [sum, when] = rows_[account];
  const double kept = when == TimePoint{} ? 0 : fading(when, now);
  sum = {sum.attempts * kept, sum.busy_ms * kept, sum.bytes * kept};
  sum += load;
  when = now;
  if (rows_.size() <= max_ * 2)
    return;
  const auto busiest = sums(now);
  for (std::size_t position = max_; position < busiest.size(); ++position)
    rows_.erase(busiest[position].first);
}

std::vector<std::pair<std::string, RingLoad>> AccountLoads::sums(TimePoint now) const {
  std::vector<std::pair<std::string, RingLoad>> sums;
  for (const auto& [account, row] : rows_) {
    const double kept = fading(row.second, now);
    sums.push_back(
        {account, {row.first.attempts * kept, row.first.busy_ms * kept, row.first.bytes * kept}});
  }
  std::sort(sums.begin(), sums.end(), [](const auto& left, const auto& right) {
    return std::pair(-left.second.busy_ms, left.first) <
           std::pair(-right.second.busy_ms, right.first);
  });
  return sums;
}

std::string encode_account_loads(const std::vector<std::pair<std::string, RingLoad>>& loads) {
  Writer writer;
  std::size_t left = max_accounts_told;
  for (const auto& [account, load] : loads) {
    if (left-- == 0)
      break;
    writer.text(account)
        .number(static_cast<std::uint64_t>(load.attempts))
        .number(static_cast<std::uint64_t>(load.busy_ms * 1000));
    writer.number(static_cast<std::uint64_t>(load.bytes));
  }
  return writer.take();
}

bool decode_account_loads(const std::string& bytes,
                          std::vector<std::pair<std::string, RingLoad>>& loads) {
  ByteReader reader(bytes);
  while (reader.is_good() && !reader.is_complete()) {
    std::string account = reader.text();
    RingLoad load;
    load.attempts = static_cast<double>(reader.number());
    load.busy_ms = static_cast<double>(reader.number()) / 1000;
    load.bytes = static_cast<double>(reader.number());
    if (reader.is_good() && is_account_form(account))
      loads.emplace_back(std::move(account), load);
  }
  return reader.is_good();
}

bool RingReport::is_balanced() const {
  return std::none_of(nodes.begin(), nodes.end(),
                      [](const NodeReport& node) { return node.is_over; });
}

double move_cost(const RingMap& ring, const RingUnit& unit, std::size_t from, std::size_t to,
                 const WatchOptions& options) {
  const RingNode& giver = ring.nodes[from];
  const RingNode& taker = ring.nodes[to];
  const bool is_same_region = !giver.region.empty() && giver.region == taker.region;
  const double distance = giver.zone == taker.zone ? 1
                          : is_same_region         ? options.distance_zone
                                                   : options.distance_region;
  const double pace =
      std::min({giver.disk_mb_s, taker.disk_mb_s, giver.link_mb_s, taker.link_mb_s});
  return ring.size_of(unit).disk_mb * distance / pace;
}

RingReport RingLoadMonitor::report(const RingMap& ring, const std::vector<RingLoad>& loads,
                                   const std::vector<std::pair<std::string, RingLoad>>& accounts) {
  RingReport report;
  report.virtual_nodes = loads;
  report.accounts = accounts;
  const std::size_t count = ring.nodes.size();
  std::vector<double> busy(count);
  double weights = 0;
  double sum = 0;
  double attempts = 0;
  for (const RingNode& node : ring.nodes) {
    report.nodes.push_back({node.name, {}, 0, 0, 0, false});
    weights += node.weight;
  }
  for (VirtualNode virtual_node = 0; virtual_node < ring.owners.size(); ++virtual_node) {
    NodeReport& node = report.nodes[ring.owners[virtual_node]];
    node.load += loads[virtual_node];
    const auto [memory, disk] = ring.size_of(virtual_node);
    node.memory_mb += memory;
    node.disk_mb += disk;
    busy[ring.owners[virtual_node]] += loads[virtual_node].busy_ms;
    sum += loads[virtual_node].busy_ms;
    attempts += loads[virtual_node].attempts;
  }
  for (const auto& [account, owner] : ring.placed) {
    const auto [memory, disk] = ring.size_of(RingUnit{0, account});
    report.nodes[owner].memory_mb += memory;
    report.nodes[owner].disk_mb += disk;
  }
  // Who could move, with its load. An account that the ring places is part of its virtual node's
  // load, one placed by the table is not.
  struct Candidate {
    RingUnit unit;
    std::uint32_t owner;
    RingLoad load;
    bool is_taken = false;
  };
  std::vector<Candidate> candidates;
  for (VirtualNode virtual_node = 0; virtual_node < ring.owners.size(); ++virtual_node)
    candidates.push_back(
        {RingUnit{virtual_node, {}}, ring.owners[virtual_node], loads[virtual_node]});
  for (const auto& [account, load] : accounts) {
    const std::uint32_t owner = ring.owner_of(account);
    candidates.push_back({RingUnit{ring.find(account), account}, owner, load});
    if (!ring.placed.contains(account))
      continue;
    report.nodes[owner].load += load;
    busy[owner] += load.busy_ms;
    sum += load.busy_ms;
    attempts += load.attempts;
  }
  const auto share_of = [&](std::size_t index) {
    return sum > 0 ? busy[index] / (sum * ring.nodes[index].weight / weights) : 0;
  };
  for (std::size_t index = 0; index < count; ++index)
    report.nodes[index].share = share_of(index);
  report.is_enough = attempts >= options_.min_attempts;
  if (!report.is_enough) {
    report.remarks.emplace_back("too few askings to judge by");
    return report;
  }
  // Above the bound by more than chance explains; and until it is well under it again.
  std::vector<std::string> over;
  for (std::size_t index = 0; index < count; ++index) {
    NodeReport& node = report.nodes[index];
    const double chance = 3 / std::sqrt(std::max(1.0, node.load.attempts));
    const bool was_over = std::find(over_.begin(), over_.end(), node.name) != over_.end();
    node.is_over = node.share > (was_over ? options_.settled : options_.over + chance);
    if (node.is_over)
      over.push_back(node.name);
  }
  over_ = over;

  std::vector<double> memory(count);
  std::vector<double> disk(count);
  for (std::size_t index = 0; index < count; ++index)
    memory[index] = report.nodes[index].memory_mb, disk[index] = report.nodes[index].disk_mb;
  for (;;) {
    std::size_t from = count;
    for (std::size_t index = 0; index < count; ++index)
      if (report.nodes[index].is_over && share_of(index) > options_.settled &&
          (from == count || share_of(index) > share_of(from)))
        from = index;
    if (from == count)
      break;
    if (report.proposals.size() >= options_.max_proposals) {
      report.remarks.push_back(ring.nodes[from].name + " stays at " + percent(share_of(from)) +
                               ": as many moves as are proposed at once");
      break;
    }
    // The move that takes most off for what it costs; never so that the receiver would carry too
    // much in turn.
    double best_worth = 0;
    Candidate* best = nullptr;
    std::size_t best_to = count;
    bool has_load = false;
    bool has_room = false;
    for (Candidate& candidate : candidates) {
      if (candidate.owner != from || candidate.is_taken || candidate.load.busy_ms <= 0)
        continue;
      has_load = true;
      const auto [needs_memory, needs_disk] = ring.size_of(candidate.unit);
      for (std::size_t to = 0; to < count; ++to) {
        if (to == from || memory[to] + needs_memory > ring.nodes[to].memory_mb ||
            disk[to] + needs_disk > ring.nodes[to].disk_mb)
          continue;
        has_room = true;
        const double unit = sum / weights;
        const double after_to =
            (busy[to] + candidate.load.busy_ms) / (unit * ring.nodes[to].weight);
        const double after_from =
            (busy[from] - candidate.load.busy_ms) / (unit * ring.nodes[from].weight);
        if (after_to > options_.settled || after_from < 2 - options_.over)
          continue;
        const double worth = candidate.load.busy_ms / unit /
                             (0.2 + move_cost(ring, candidate.unit, from, to, options_)) *
                             (2 - after_to);
        if (worth > best_worth)
          best_worth = worth, best = &candidate, best_to = to;
      }
    }
    if (best_to == count) {
      report.remarks.push_back(ring.nodes[from].name + " stays at " + percent(share_of(from)) +
                               ": " +
                               (!has_load   ? "nothing of it can be taken away"
                                : !has_room ? "no node has memory and disk for it"
                                            : "every move would make another node carry too much"));
      break;
    }
    MoveProposal proposal;
    proposal.unit = best->unit;
    proposal.from = ring.nodes[from].name;
    proposal.to = ring.nodes[best_to].name;
    proposal.load = best->load;
    const RingSize size = ring.size_of(best->unit);
    proposal.memory_mb = size.memory_mb;
    proposal.disk_mb = size.disk_mb;
    proposal.cost = move_cost(ring, best->unit, from, best_to, options_);
    busy[from] -= best->load.busy_ms;
    busy[best_to] += best->load.busy_ms;
    memory[from] -= proposal.memory_mb, memory[best_to] += proposal.memory_mb;
    disk[from] -= proposal.disk_mb, disk[best_to] += proposal.disk_mb;
    best->is_taken = true;
    // One and the same load moves once: not an account and its virtual node both.
    for (Candidate& other : candidates)
      if (other.unit.virtual_node == best->unit.virtual_node && other.owner == from &&
          !ring.placed.contains(other.unit.account) && !ring.placed.contains(best->unit.account))
        other.is_taken = true;
    proposal.share_from = share_of(from);
    proposal.share_to = share_of(best_to);
    report.proposals.push_back(std::move(proposal));
  }
  if (report.proposals.empty() && report.is_balanced())
    report.remarks.emplace_back("no node carries too much");
  return report;
}

}  // namespace saddlewing
