#include "coordination/placement/ring_load_monitor.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/placement/move_planner.h"
#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_reported_loads = 512;    // virtual nodes in one report of a broker
constexpr std::size_t max_reported_accounts = 32;  // accounts in one report of a broker
constexpr VirtualNode max_virtual_nodes = 65536;

// Standard deviations of a node's count of attempts that count as chance.
constexpr double chance_factor = 3;

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
  if (virtual_node >= max_virtual_nodes)
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
  std::size_t left = max_reported_loads;
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
  std::size_t left = max_reported_accounts;
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

namespace {

using AccountLoad = std::pair<std::string, RingLoad>;

// Adds up what virtual nodes bring to their owners.
void add_virtual_nodes(const RingMap& ring, const std::vector<RingLoad>& loads, RingReport& report,
                       RingBalance& balance) {
  for (VirtualNode virtual_node = 0; virtual_node < ring.owners.size(); ++virtual_node) {
    const std::uint32_t owner = ring.owners[virtual_node];
    const RingLoad& load = loads[virtual_node];
    const auto [memory_mb, disk_mb] = ring.size_of(virtual_node);
    NodeReport& node = report.nodes[owner];
    node.load += load;
    node.memory_mb += memory_mb;
    node.disk_mb += disk_mb;
    balance.busy_ms[owner] += load.busy_ms;
    balance.total_busy_ms += load.busy_ms;
    balance.total_attempts += load.attempts;
  }
}

// Adds up what accounts in the placement table bring to their owners. The load of every other
// account is part of its virtual node's.
void add_placed_accounts(const RingMap& ring, const std::vector<AccountLoad>& accounts,
                         RingReport& report, RingBalance& balance) {
  for (const auto& [account, owner] : ring.placed) {
    const auto [memory_mb, disk_mb] = ring.size_of(RingUnit{0, account});
    report.nodes[owner].memory_mb += memory_mb;
    report.nodes[owner].disk_mb += disk_mb;
  }
  for (const auto& [account, load] : accounts) {
    if (!ring.placed.contains(account))
      continue;
    const std::uint32_t owner = ring.owner_of(account);
    report.nodes[owner].load += load;
    balance.busy_ms[owner] += load.busy_ms;
    balance.total_busy_ms += load.busy_ms;
    balance.total_attempts += load.attempts;
  }
}

RingBalance add_up(const RingMap& ring, RingReport& report) {
  RingBalance balance;
  balance.busy_ms.resize(ring.nodes.size());
  for (const RingNode& node : ring.nodes) {
    report.nodes.push_back({node.name, {}, 0, 0, 0, false});
    balance.total_weight += node.weight;
  }
  add_virtual_nodes(ring, report.virtual_nodes, report, balance);
  add_placed_accounts(ring, report.accounts, report, balance);
  for (std::size_t index = 0; index < report.nodes.size(); ++index)
    report.nodes[index].share = balance.share_of(ring, index);
  return balance;
}

std::vector<MoveCandidate> list_candidates(const RingMap& ring, const RingReport& report) {
  std::vector<MoveCandidate> candidates;
  for (VirtualNode virtual_node = 0; virtual_node < ring.owners.size(); ++virtual_node)
    candidates.push_back({RingUnit{virtual_node, {}}, ring.owners[virtual_node],
                          report.virtual_nodes[virtual_node]});
  for (const auto& [account, load] : report.accounts)
    candidates.push_back({RingUnit{ring.find(account), account}, ring.owner_of(account), load});
  return candidates;
}

}  // namespace

// A node becomes overloaded above the bound by more than chance explains, and stays so until it is
// well under it again.
void RingLoadMonitor::mark_overloaded(std::vector<NodeReport>& nodes) {
  std::vector<std::string> over;
  for (NodeReport& node : nodes) {
    const double chance = chance_factor / std::sqrt(std::max(1.0, node.load.attempts));
    const bool was_over = std::find(over_.begin(), over_.end(), node.name) != over_.end();
    node.is_over = node.share > (was_over ? options_.settled : options_.over + chance);
    if (node.is_over)
      over.push_back(node.name);
  }
  over_ = std::move(over);
}

RingReport RingLoadMonitor::report(const RingMap& ring, const std::vector<RingLoad>& loads,
                                   const std::vector<std::pair<std::string, RingLoad>>& accounts) {
  RingReport report;
  report.virtual_nodes = loads;
  report.accounts = accounts;
  RingBalance balance = add_up(ring, report);
  report.is_enough = balance.total_attempts >= options_.min_attempts;
  if (!report.is_enough) {
    report.remarks.emplace_back("too few askings to judge by");
    return report;
  }
  mark_overloaded(report.nodes);
  MovePlanner planner(ring, options_, std::move(balance), list_candidates(ring, report),
                      report.nodes);
  planner.plan(report);
  if (report.proposals.empty() && report.is_balanced())
    report.remarks.emplace_back("no node carries too much");
  return report;
}

}  // namespace saddlewing
