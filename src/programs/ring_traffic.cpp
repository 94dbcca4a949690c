// The traffic thread by the ring: which node a request goes to, what has to wait, and what is
// counted.
#include <algorithm>

#include "programs/traffic.h"

namespace saddlewing {
namespace {

constexpr std::size_t most_parked = 256, most_counted = 512;
constexpr Span report_every{300};

Reply come_back() {
  Reply reply = reply_of(Kind::overloaded, "its account is on the move");
  reply.fields += "Retry-After: 0.5\r\n";
  return reply;
}

}  // namespace

// Whether a request goes to nodes of the ring: placed by its key, or gathered over them.
bool Traffic::is_of_ring(const Rule& rule) const {
  if (!gate_.view())
    return false;
  const RingMap& ring = gate_.view()->map;
  if (rule.name == ring.rule)
    return true;
  const auto& services = table_->configuration->services;
  return std::any_of(rule.shards.begin(), rule.shards.end(), [&](ServiceIndex shard) {
    return ring.index_of(services[shard.value].name) < ring.nodes.size();
  });
}

// False: it was parked or refused.
bool Traffic::place(Visit& visit, const Rule& rule, Trip& trip,
                    std::optional<ServiceIndex>& service, Moment now) {
  const RingMap& ring = gate_.view()->map;
  std::string_view key;
  const bool has_key =
      rule.name == ring.rule && ring.key_of(visit.request().getURI(), rule.path_start, key);
  if (rule.name == ring.rule && !has_key)
    return true;  // as without a ring
  if (!gate_.is_leased(now)) {
    metrics().add(Metric::refusals);
    visit.answer(come_back(), now);
    return false;
  }
  trip.ring = gate_.view();
  if (!has_key)
    return true;  // gathered over nodes of the ring
  const std::uint32_t owner = ring.owner_of(key);
  for (const Share& share : rule.shares)
    if (share.weight > 0 &&
        table_->configuration->services[share.service.value].name == ring.nodes[owner].name)
      service = share.service;
  if (!service) {  // this version of the configuration does not allow the owner: the route goes
                   // first
    trip.ring.reset();
    return true;
  }
  trip.place = Trip::Place{std::string(key), ring.find(key), owner};
  trip.is_risky = !rule.is_harmless;
  trip.began = now;
  trip.target = rule.target;
  if (gate_.decide(key, rule.is_harmless, now) == RingGate::Way::pass) {
    if (trip.is_risky)
      gate_.start(trip.place->key, owner);
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
  if (!parked)
    parked = std::make_unique<Parked>(*this);
  parked->visit = visit.id();
  schedule_.set(*parked, until);
  return false;
}

// A node turned it away, and the ring has changed since it left: it starts again by the newest
// view, if its tries and the allowance for further ones suffice. Of what may run once nothing may
// have run.
bool Traffic::restart(const TripPointer& trip, std::size_t part, Moment now) {
  constexpr int most_rounds = 3;
  if (!trip->ring || !gate_.view() || gate_.view()->mark <= trip->ring->mark ||
      trip->rounds + 1 >= most_rounds)
    return false;
  if (!trip->errand || !trip->errand->is_open() || !trip->errand->may_restart(part, now))
    return false;
  Visit* visit = server_.find(trip->visit);
  if (!visit)
    return false;
  trip->errand->give_way(part);
  by_visit_.erase(trip->visit);
  end_trip(trip->asker.get());
  visit->body() = std::move(trip->body);
  begin(*visit, trip.get(), now);
  return true;
}

void Traffic::Parked::on_due(Moment now) {
  Traffic& home = traffic;
  Visit* waiting = home.server_.find(visit);
  home.parked_.erase(visit);  // ends this
  if (!waiting)
    return;
  metrics().add(Metric::refusals);
  waiting->answer(come_back(), now);
}

void Traffic::take_ring(RingNews news, Moment now) {
  gate_.set_lease(news.until);
  gate_.take(std::move(news.view));
  if (follower_)
    follower_->confirm_ring(gate_.confirmed());
  std::vector<VisitId> waiting;
  for (const auto& [id, parked] : parked_)
    waiting.push_back(id);
  for (const VisitId id : waiting) {
    const auto kept = parked_.extract(id);  // parked anew if it still has to wait
    if (Visit* visit = server_.find(id))
      on_request(*visit, now);
  }
  if (now - ring_reported_ >= report_every)
    report_ring();
}

void Traffic::leave_place(const Trip& trip, Moment now) {
  const Trip::Place& place = *trip.place;
  if (trip.is_risky) {
    gate_.finish(place.key, place.owner);
    if (follower_)
      follower_->confirm_ring(gate_.confirmed());
  }
  const double took = std::chrono::duration<double, std::milli>(now - trip.began).count();
  const RingLoad load{1, took, static_cast<double>(trip.head_start.size() + trip.body.size())};
  const auto count = [&](auto& rows, const auto& name) {
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.first == name; });
    if (found != rows.end())
      found->second += load;
    else if (rows.size() < most_counted)
      rows.push_back({name, load});
  };
  if (!trip.ring || !trip.ring->map.placed.contains(place.key))
    count(ring_counts_.loads, place.virtual_node);
  if (is_account_form(place.key))
    count(ring_counts_.accounts, place.key);
  if (!trip.is_risky) {
    ++ring_counts_.lookups;
    ring_counts_.late += trip.target > Span(0) && took > static_cast<double>(trip.target.count());
  }
  if (now - ring_reported_ >= report_every)
    report_ring();
}

void Traffic::report_ring() {
  ring_reported_ = Clock::now();
  if (follower_ && !ring_counts_.loads.empty())
    follower_->report_ring(std::exchange(ring_counts_, {}));
}

}  // namespace saddlewing
