// The traffic thread's part in two-level gathering: aid asked of brokers near the backends, and aid
// given.
#include <algorithm>

#include "programs/traffic.h"

namespace saddlewing {
namespace {

constexpr std::size_t least_parts = 2;  // for a single part a broker between saves nothing
constexpr std::int64_t frame_margin_ms = 4;
constexpr double avoided_ms = 5000;  // by the shared view of edges
constexpr int unnamed_connections =
    16;  // to a service that this broker's configuration does not name

}  // namespace

std::string Traffic::region_of_aide(const std::string& address) const {
  for (const BrokerSeat& seat : view_->seats)
    if (seat.address == address)
      return seat.region;
  return {};
}

bool Traffic::is_near(const Backend& backend, const std::string& region, Moment now) const {
  return !backend.is_cancelled && backend.status == Status::up && backend.region == region &&
         !backend.breaker.is_open(now);
}

Errand::Ground::AidTaken Traffic::call_aid(Errand& errand, Span flush_after, Moment now) {
  const auto& shards = errand.rule().shards;
  const auto& services = errand.table().by_service;
  std::vector<std::size_t> lacking;
  for (std::size_t index = 0; index < shards.size(); ++index) {
    const auto& backends = services[shards[index].value];
    if (std::none_of(backends.begin(), backends.end(), [&](const BackendPointer& backend) {
          return is_near(*backend, startup_.region, now);
        }))
      lacking.push_back(index);
  }
  if (lacking.size() < least_parts || view_->seats.empty())
    return {};
  if (const auto own = trips_.find(&errand); own == trips_.end() || own->second->ring)
    return {};  // what nodes of the ring are told differs by node

  // The region that has most of them, and there the broker with the least to expect.
  std::vector<std::size_t> best_parts;
  const BrokerSeat* best = nullptr;
  double best_cost = 0;
  std::unordered_map<std::string, std::vector<std::size_t>> by_region;
  for (const BrokerSeat& seat : view_->seats) {
    Aide& aide = aides_[seat.address];
    if (aide.breaker.is_open(now))
      continue;
    auto [covered, is_new] = by_region.try_emplace(seat.region);
    if (is_new)
      for (const std::size_t index : lacking) {
        const auto& backends = services[shards[index].value];
        if (std::any_of(backends.begin(), backends.end(), [&](const BackendPointer& backend) {
              return is_near(*backend, seat.region, now);
            }))
          covered->second.push_back(index);
      }
    const std::vector<std::size_t>& parts = covered->second;
    double cost = (aide.mean_ms + 10) * (1 + aide.under_way) * (1 + draw() * 0.1);
    if (startup_.has_edges)
      if (const auto standing =
              edge_gate_.standing("", seat.region, std::max<std::uint64_t>(1, view_->brokers));
          standing.verdict == EdgeState::Verdict::avoided && !standing.is_trying)
        cost += avoided_ms * edge_gate_.influence(now);
    if (parts.size() < least_parts || parts.size() < best_parts.size())
      continue;
    if (parts.size() > best_parts.size() || cost < best_cost) {
      best_parts = parts;
      best = &seat;
      best_cost = cost;
    }
  }
  if (!best)
    return {};
  const auto trip = trips_.find(&errand);
  if (trip == trips_.end())
    return {};
  Aide& aide = aides_[best->address];
  if (aide.breaker.is_on_trial(now))
    aide.breaker.start_trial(now);
  // The first frame is to be back before this side would ask directly.
  const Span frame_after = std::max(
      flush_after - Span(static_cast<std::int64_t>(aide.way_ms) + frame_margin_ms), Span(1));
  Aid aid{++last_aid_,
          trip->second->method,
          trip->second->try_id,
          trip->second->head_start,
          trip->second->body,
          {},
          static_cast<std::uint64_t>(errand.rule().best_count),
          static_cast<std::uint64_t>(
              std::max<std::int64_t>(1, span_between(now, errand.deadline()).count())),
          static_cast<std::uint64_t>(frame_after.count())};
  for (const std::size_t index : best_parts)
    aid.services.push_back(errand.table().configuration->services[shards[index].value].name);
  const std::string from = Address{startup_.ip_address, startup_.own_port}.text();
  if (!send_(AidOut{best->address, aid.token, encode(FrameHead{FrameKind::aid, life_, from}, aid)}))
    return {};
  ++aide.under_way;
  aid_calls_[aid.token] = {&errand, best->address, now, best_parts};
  aid_tokens_[&errand] = aid.token;
  return {best_parts, best->region, aide.way_ms, aide.mean_ms - aide.way_ms};
}

void Traffic::miss_aid(Errand& errand, Moment now) {
  const auto token = aid_tokens_.find(&errand);
  if (token == aid_tokens_.end())
    return;
  const auto call = aid_calls_.find(token->second);
  if (call != aid_calls_.end()) {
    Aide& aide = aides_[call->second.to];
    --aide.under_way;
    aide.breaker.fail(now, false);
    count_edge("", region_of_aide(call->second.to), EdgeClass::light,
               span_between(call->second.asked, now), true);
    aid_calls_.erase(call);
  }
  aid_tokens_.erase(token);
}

void Traffic::take_aid_event(AidEvent& event, Moment now) {
  if (auto* in = std::get_if<AidIn>(&event))
    return take_aid(*in, now);
  const auto* lost = std::get_if<AidLost>(&event);
  auto* came = std::get_if<AidedIn>(&event);
  const auto call = aid_calls_.find(lost ? lost->token : came->aided.token);
  if (call == aid_calls_.end())
    return;
  const auto found = trips_.find(call->second.asker);
  if (found == trips_.end())
    return;
  const TripPointer trip = found->second;
  Aide& aide = aides_[call->second.to];
  if (lost) {
    --aide.under_way;
    aid_tokens_.erase(call->second.asker);
    aid_calls_.erase(call);
    trip->errand->lose_aid(false, now);
  } else {
    const Span took = span_between(call->second.asked, now);
    // The parts travel under their place in the aid; here they get their place in the errand again.
    const std::vector<std::size_t> parts = call->second.parts;
    const auto place = [&](std::uint64_t& part) {
      part = part < parts.size() ? parts[part] : ~0ull;
    };
    for (Aided::Done& done : came->aided.done)
      place(done.part);
    for (Aided::Failed& failed : came->aided.failed)
      place(failed.part);
    aide.breaker.succeed();
    count_edge("", region_of_aide(call->second.to), EdgeClass::light, took, false);
    const double way =
        std::max(0.0, static_cast<double>(took.count()) - static_cast<double>(came->aided.held));
    aide.way_ms = aide.way_ms == 0 ? way : aide.way_ms * 0.9 + way * 0.1;
    aide.mean_ms = aide.mean_ms == 0 ? static_cast<double>(took.count())
                                     : aide.mean_ms * 0.9 + static_cast<double>(took.count()) * 0.1;
    trip->errand->take_aided(std::move(came->aided), took, now);
  }
  arrange(*trip);
}

// Another broker's asking: backends of this region, once each.
void Traffic::take_aid(AidIn& in, Moment now) {
  metrics().add(Metric::aids);
  Aid& aid = in.aid;
  auto trip = std::make_shared<Trip>(*this, VisitId{});
  trip->route = std::move(in.route);
  trip->method = std::move(aid.method);
  trip->try_id = std::move(aid.try_id);
  trip->head_start = std::move(aid.head_start);
  trip->body = std::move(aid.body);
  std::vector<AidWork::Candidates> parts;
  for (const std::string& service : aid.services) {
    AidWork::Candidates& candidates = parts.emplace_back();
    candidates.most_connections = unnamed_connections;
    if (const auto found = by_name_.find(service); found != by_name_.end())
      std::copy_if(
          found->second.begin(), found->second.end(), std::back_inserter(candidates.backends),
          [&](const BackendPointer& backend) { return backend->region == startup_.region; });
    if (table_)
      for (const Service& named : table_->configuration->services)
        if (named.name == service)
          candidates.most_connections = named.most_connections;
  }
  const auto most = static_cast<std::size_t>(std::clamp<std::uint64_t>(aid.best_count, 1, 1 << 20));
  const Span time_left(static_cast<std::int64_t>(std::min<std::uint64_t>(aid.time_left, 600000)));
  const Span flush_after(
      static_cast<std::int64_t>(std::min<std::uint64_t>(aid.flush_after, 600000)));
  auto work = std::make_unique<AidWork>(*this, aid.token, std::move(parts), most, flush_after,
                                        time_left, now);
  AidWork* started = work.get();
  trip->asker = std::move(work);
  trips_[started] = trip;
  started->start(now);
  arrange(*trip);
}

void Traffic::send_aided(AidWork& work, Aided aided, Moment) {
  const auto trip = trips_.find(&work);
  if (trip == trips_.end())
    return;
  const std::string from = Address{startup_.ip_address, startup_.own_port}.text();
  send_(AidOut{trip->second->route, 0, encode(FrameHead{FrameKind::aided, life_, from}, aided)});
}

}  // namespace saddlewing
