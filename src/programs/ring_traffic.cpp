// The traffic thread by the ring: which node a request goes to, what has to wait, and what is counted.
#include <algorithm>

#include "programs/traffic.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_parked = 256;
constexpr Span report_every{300};

Reply come_back() {
  Reply reply = reply_of(Kind::overloaded, "its key is on the move");
  reply.fields += "Retry-After: 0.5\r\n";
  return reply;
}

}  // namespace

bool Traffic::place(Visit& visit, const Rule& rule, Trip& trip, std::optional<ServiceIndex>& service, Moment now) {
  const RingMap& ring = gate_.view()->map;
  std::string_view key;
  if (!ring.key_of(visit.request().getURI(), rule.path_start, key)) return true;  // as without a ring
  const VirtualNode virtual_node = ring.find(key);
  for (const Share& share : rule.shares)
    if (share.weight > 0 && table_->configuration->services[share.service.value].name == ring.owner(virtual_node).name) service = share.service;
  if (!service) return true;  // this edition does not allow the owner: the rule goes first
  trip.place = {virtual_node, ring.owners[virtual_node]};
  trip.is_risky = !rule.is_harmless;
  trip.began = now;
  trip.target = rule.target;
  if (gate_.decide(virtual_node, rule.is_harmless, now) == RingGate::Way::pass) {
    if (trip.is_risky) gate_.start(virtual_node, ring.owners[virtual_node]);
    return true;
  }
  trip.place.reset();
  const Moment until = visit.began() + std::min(rule.target, rule.give_up);
  if (parked_.size() >= most_parked || now >= until) {
    metrics().add(Metric::refusals);
    visit.answer(come_back(), now);
    return false;
  }
  auto& parked = parked_[visit.id()];
  if (!parked) parked = std::make_unique<Parked>(*this);
  parked->visit = visit.id();
  schedule_.set(*parked, until);
  return false;
}

void Traffic::Parked::on_due(Moment now) {
  Traffic& home = traffic;
  Visit* waiting = home.server_.find(visit);
  home.parked_.erase(visit);  // ends this
  if (!waiting) return;
  metrics().add(Metric::refusals);
  waiting->answer(come_back(), now);
}

void Traffic::take_ring(RingNews news, Moment now) {
  gate_.set_hold(news.until);
  gate_.take(std::move(news.view));
  if (follower_) follower_->confirm_ring(gate_.confirmed());
  std::vector<VisitId> waiting;
  for (const auto& [id, parked] : parked_) waiting.push_back(id);
  for (const VisitId id : waiting) {
    const auto kept = parked_.extract(id);  // parked anew if it still has to wait
    if (Visit* visit = server_.find(id)) on_request(*visit, now);
  }
  if (now - ring_reported_ >= report_every) report_ring();
}

void Traffic::leave_place(const Trip& trip, Moment now) {
  if (trip.is_risky) {
    gate_.finish(trip.place->first, trip.place->second);
    if (follower_) follower_->confirm_ring(gate_.confirmed());
  }
  const double took = std::chrono::duration<double, std::milli>(now - trip.began).count();
  const auto found = std::find_if(ring_counts_.loads.begin(), ring_counts_.loads.end(), [&](const auto& row) { return row.first == trip.place->first; });
  const RingLoad load{1, took, static_cast<double>(trip.head_start.size() + trip.body.size())};
  if (found != ring_counts_.loads.end()) found->second += load;
  else ring_counts_.loads.push_back({trip.place->first, load});
  if (!trip.is_risky) {
    ++ring_counts_.lookups;
    ring_counts_.late += trip.target > Span(0) && took > static_cast<double>(trip.target.count());
  }
  if (now - ring_reported_ >= report_every) report_ring();
}

void Traffic::report_ring() {
  ring_reported_ = Clock::now();
  if (follower_ && !ring_counts_.loads.empty()) follower_->report_ring(std::exchange(ring_counts_, {}));
}

}  // namespace saddlewing
