#include "coordination/placement/move_planner.h"

#include <cstdio>
#include <string>
#include <utility>

namespace saddlewing {
namespace {

constexpr double base_cost = 0.2;  // of any move, however small the unit

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f %%", share * 100);
  return text;
}

}  // namespace

double RingBalance::share_of(const RingMap& ring, std::size_t node) const {
  if (!(total_busy_ms > 0))
    return 0;
  return busy_ms[node] / (total_busy_ms * ring.nodes[node].weight / total_weight);
}

MovePlanner::MovePlanner(const RingMap& ring, const WatchOptions& options, RingBalance balance,
                         std::vector<MoveCandidate> candidates,
                         const std::vector<NodeReport>& nodes)
    : ring_(ring),
      options_(options),
      balance_(std::move(balance)),
      candidates_(std::move(candidates)) {
  for (const NodeReport& node : nodes) {
    memory_mb_.push_back(node.memory_mb);
    disk_mb_.push_back(node.disk_mb);
  }
}

void MovePlanner::plan(RingReport& report) {
  while (const auto giver = find_busiest(report.nodes)) {
    if (report.proposals.size() >= options_.max_proposals) {
      report.remarks.push_back(describe_stay(*giver, "as many moves as are proposed at once"));
      return;
    }
    const Choice choice = choose_move(*giver);
    if (choice.candidate == nullptr) {
      const char* reason = !choice.has_load   ? "nothing of it can be taken away"
                           : !choice.has_room ? "no node has memory and disk for it"
                                              : "every move would make another node carry too much";
      report.remarks.push_back(describe_stay(*giver, reason));
      return;
    }
    report.proposals.push_back(apply(choice, *giver));
  }
}

// The overloaded node with the greatest share, if it is still above the bound.
std::optional<std::size_t> MovePlanner::find_busiest(const std::vector<NodeReport>& nodes) const {
  std::optional<std::size_t> busiest;
  double greatest_share = 0;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    const double share = balance_.share_of(ring_, index);
    if (!nodes[index].is_over || !(share > options_.settled))
      continue;
    if (busiest && !(share > greatest_share))
      continue;
    busiest = index;
    greatest_share = share;
  }
  return busiest;
}

MovePlanner::Choice MovePlanner::choose_move(std::size_t giver) {
  Choice choice;
  for (MoveCandidate& candidate : candidates_) {
    if (candidate.owner != giver || candidate.is_taken || candidate.load.busy_ms <= 0)
      continue;
    choice.has_load = true;
    try_receivers(candidate, giver, choice);
  }
  return choice;
}

void MovePlanner::try_receivers(MoveCandidate& candidate, std::size_t giver, Choice& choice) const {
  for (std::size_t receiver = 0; receiver < ring_.nodes.size(); ++receiver) {
    if (receiver == giver || !has_room(candidate.unit, receiver))
      continue;
    choice.has_room = true;
    const double benefit = benefit_of(candidate, giver, receiver);
    if (!(benefit > choice.benefit))
      continue;
    choice.benefit = benefit;
    choice.candidate = &candidate;
    choice.receiver = receiver;
  }
}

bool MovePlanner::has_room(const RingUnit& unit, std::size_t receiver) const {
  const auto [memory_mb, disk_mb] = ring_.size_of(unit);
  return !(memory_mb_[receiver] + memory_mb > ring_.nodes[receiver].memory_mb) &&
         !(disk_mb_[receiver] + disk_mb > ring_.nodes[receiver].disk_mb);
}

// The load that the move takes off for what it costs; 0 if the receiver would be overloaded in
// turn, or the giver be left with too little.
double MovePlanner::benefit_of(const MoveCandidate& candidate, std::size_t giver,
                               std::size_t receiver) const {
  const double busy_per_weight = balance_.total_busy_ms / balance_.total_weight;
  const double moved_busy_ms = candidate.load.busy_ms;
  const double receiver_share = (balance_.busy_ms[receiver] + moved_busy_ms) /
                                (busy_per_weight * ring_.nodes[receiver].weight);
  const double giver_share =
      (balance_.busy_ms[giver] - moved_busy_ms) / (busy_per_weight * ring_.nodes[giver].weight);
  if (receiver_share > options_.settled || giver_share < 2 - options_.over)
    return 0;
  const double cost = base_cost + move_cost(ring_, candidate.unit, giver, receiver, options_);
  return moved_busy_ms / busy_per_weight / cost * (2 - receiver_share);
}

MoveProposal MovePlanner::apply(const Choice& choice, std::size_t giver) {
  MoveCandidate& moved = *choice.candidate;
  const std::size_t receiver = choice.receiver;
  const auto [memory_mb, disk_mb] = ring_.size_of(moved.unit);
  balance_.busy_ms[giver] -= moved.load.busy_ms;
  balance_.busy_ms[receiver] += moved.load.busy_ms;
  memory_mb_[giver] -= memory_mb;
  memory_mb_[receiver] += memory_mb;
  disk_mb_[giver] -= disk_mb;
  disk_mb_[receiver] += disk_mb;
  mark_taken(moved, giver);

  MoveProposal proposal;
  proposal.unit = moved.unit;
  proposal.from = ring_.nodes[giver].name;
  proposal.to = ring_.nodes[receiver].name;
  proposal.load = moved.load;
  proposal.memory_mb = memory_mb;
  proposal.disk_mb = disk_mb;
  proposal.cost = move_cost(ring_, moved.unit, giver, receiver, options_);
  proposal.share_from = balance_.share_of(ring_, giver);
  proposal.share_to = balance_.share_of(ring_, receiver);
  return proposal;
}

// The same load moves once: an account that the ring places and its virtual node exclude each
// other.
void MovePlanner::mark_taken(MoveCandidate& moved, std::size_t giver) {
  moved.is_taken = true;
  if (ring_.placed.contains(moved.unit.account))
    return;
  for (MoveCandidate& other : candidates_)
    if (other.unit.virtual_node == moved.unit.virtual_node && other.owner == giver &&
        !ring_.placed.contains(other.unit.account))
      other.is_taken = true;
}

std::string MovePlanner::describe_stay(std::size_t giver, const std::string& reason) const {
  return ring_.nodes[giver].name + " stays at " + percent(balance_.share_of(ring_, giver)) + ": " +
         reason;
}

}  // namespace saddlewing
