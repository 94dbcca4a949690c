#pragma once
// Simulates a busy time on mixed shard nodes with a clock of its own: short lookups, gathers,
// writes and heavy reads, while virtual nodes and accounts move and a participant is killed or cut
// off. Deterministic and single-threaded.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "coordination/placement/scenario_world.h"

namespace saddlewing::tests {

struct ShardMigrationScenario : ScenarioWorld {
  void answer(const Request& request, bool is_timed = true) {
    recorder.finish(request);
    const double took = std::chrono::duration<double, std::milli>(now - request.born).count();
    if (!is_timed)
      return;
    (request.is_heavy() ? heavy_times : short_times).push_back(took);
    if (request.is_heavy())
      return;
    ++lookups_;
    late_ += took > 80;
  }
  // Nothing ran: the client comes again, with what counts as a new request of its own.
  void come_back(Request request) {
    ++come_backs;
    if (++request.tries > 30)
      return;
    request.until = now + 500ms + 400ms;
    later_.emplace_back(now + 500ms, request);
  }
  void send(Broker& broker, const Request& request) {
    if (now < broker.dead_until)
      return come_back(request);
    const auto decision = !has_leases && request.ask != Ask::write
                              ? RingRouter::Decision::pass
                              : broker.gate.decide(request.account, request.ask != Ask::write, now);
    if (decision == RingRouter::Decision::come_back)
      return come_back(request);
    if (decision == RingRouter::Decision::wait) {
      if (now < request.until)
        broker.parked.push_back(request);
      else
        come_back(request);
      return;
    }
    const RingSnapshot view = broker.gate.view();
    const std::size_t owner = view->map.owner_of(request.account);
    if (has_bulkheads && request.is_heavy() &&
        !admits_heavy(broker.backends[owner], Duration(5), elapsed(request.born, now), now)) {
      broker.waiting.push(request, 0, true, request.until);
      return;
    }
    if (!request.is_gathered()) {  // as brokers count: work by account, and by virtual node where
                                   // the ring has it
      const RingLoad load{1, request.is_heavy() ? 60.0 : 4.0, 0};
      account_loads.add(request.account, load, now);
      if (!view->map.placed.contains(request.account))
        loads.add(view->map.find(request.account), load, now);
    }
    Flight flight{request, view, now, {}, {}};
    for (std::size_t position = 0; position < nodes.size(); ++position)
      if (request.is_gathered() || position == owner) {
        Backend& backend = broker.backends[position];
        ++backend.active_requests;
        if (request.is_heavy())
          ++backend.active_heavy_requests;
        else
          backend.last_short_request_at = now;
        const ShardNode& node = nodes[position];
        const TimePoint there = now + Duration(static_cast<std::int64_t>(node.round_trip_ms / 2));
        auto& slot = *std::min_element(free_[position].begin(), free_[position].end());
        const double work = (request.is_heavy()      ? 60
                             : request.is_gathered() ? 2
                                                     : 4) *
                            node.work_times * (1 + 3 * node.copying_mb_s / node.disk_mb_s);
        slot = std::max(slot, there) +
               std::chrono::microseconds(static_cast<std::int64_t>(work * 1000));
        flight.legs.push_back({position,
                               slot,
                               slot + Duration(static_cast<std::int64_t>(node.round_trip_ms / 2)),
                               false,
                               false,
                               false,
                               {}});
        ++load_[position];
      }
    if (request.ask == Ask::write)
      broker.gate.start(request.account, static_cast<std::uint32_t>(owner));
    broker.flights.push_back(std::move(flight));
  }
  void land(Flight& flight, Flight::Leg& leg) {
    leg.has_landed = true;
    --load_[leg.node];
    ShardNode& node = nodes[leg.node];
    const RingHead head = head_for(*flight.view, leg.node, has_units);
    const Request& request = flight.request;
    if (node.down_until > now)
      leg.is_turned_away = true;  // not even taken
    else if (request.ask == Ask::write) {
      leg.is_turned_away = !node.write(request.id, request.account);
      if (!leg.is_turned_away)
        recorder.land(request.id);
    } else if (request.is_gathered())
      leg.is_turned_away = !node.gather(head, flight.gathered);
    else
      leg.is_turned_away = !node.read(head, request.account, leg.seen);
  }
  void release(Broker& broker, const Flight& flight, const Flight::Leg& leg) {
    Backend& backend = broker.backends[leg.node];
    --backend.active_requests;
    if (flight.request.is_heavy())
      --backend.active_heavy_requests;
    backend.reported_remote_load = std::max(0, load_[leg.node] - backend.active_requests);
    backend.remote_load_reported_at = now;
  }
  void advance(Broker& broker) {
    std::vector<Flight> flights = std::exchange(broker.flights, {});
    std::vector<Flight> done;
    for (Flight& flight : flights) {
      for (Flight::Leg& leg : flight.legs) {
        if (!leg.has_landed && now >= leg.lands)
          land(flight, leg);
        if (leg.has_landed && !leg.is_back && now >= leg.back) {
          leg.is_back = true;
          release(broker, flight, leg);
        }
      }
      const bool is_over = std::all_of(flight.legs.begin(), flight.legs.end(),
                                       [](const Flight::Leg& leg) { return leg.is_back; });
      (is_over ? done : broker.flights).push_back(std::move(flight));
    }
    for (Flight& flight : done) {
      const Request& request = flight.request;
      if (request.ask == Ask::write)
        broker.gate.finish(request.account, static_cast<std::uint32_t>(flight.legs[0].node));
      if (std::any_of(flight.legs.begin(), flight.legs.end(),
                      [](const Flight::Leg& leg) { return leg.is_turned_away; })) {
        if (broker.gate.view()->revision > flight.view->revision && now < request.until) {
          ++restarts;
          send(broker, request);
        } else {
          come_back(request);
        }
        continue;
      }
      if (request.ask == Ask::write)
        recorder.acknowledge(request, now);
      else if (request.is_gathered())
        recorder.judge_gather(request, flight.gathered, accounts.size(), flight.began);
      else
        recorder.judge_read(request, request.account, flight.legs[0].seen, flight.began);
      answer(request);
    }
    Request next;
    for (std::size_t left = broker.waiting.size(); left > 0 && broker.waiting.pop(next); --left)
      send(broker, next);
    std::erase_if(broker.parked, [&](const Request& request) {
      return now >= request.until && (come_back(request), true);
    });
  }
  Fate meet() {
    return messages++ == fated ? fate : Fate::none;
  }
  void order(const ShardMigration::Order& order, bool is_answered) {
    const auto [memory, mb] = ring.size_of(order.unit);
    const NodeAnswer answer =
        nodes[node_of(order.node)].perform(order, nodes[node_of(order.other)], mb, now);
    if (is_answered)
      moves->finish_order(order.token, answer);
  }
  void run_cluster_status() {
    moves->tick(true, document, ring, late_ <= 0.02 * std::max(50.0, lookups_) || !is_pausing, now);
    lookups_ *= 0.8;
    late_ *= 0.8;
    ShardMigration::Output output = moves->take();
    for (const auto& one : output.orders) {
      const Fate met = meet();
      if (met == Fate::late)
        delayed_.emplace_back(now + 2500ms, one);
      if (met == Fate::lost || met == Fate::late)
        moves->finish_order(one.token, {});
      else
        order(one, true);
      if (met == Fate::doubled)
        order(one, false);
    }
    if (output.proposal) {
      document = *output.proposal;
      cr_assert(!ring_of(document, ring));
      for (ShardNode& node : nodes)
        node.ring = ring;
      moves->finish_proposal();
      std::vector<RingMove> agreed;
      decode_moves(document.moves, agreed);
      for (const RingMove& move : agreed)
        if (move.revision == document.revision && move.id == 1)
          inject_fault(move);
    }
    if (now < dawn + 3s)
      return;
    std::set<std::string> serving;
    for (const ShardNode& node : nodes)
      serving.insert(node.name);
    while (!moves_wanted.empty()) {
      const auto [wanted, to] = moves_wanted.front();
      const std::string name = unit_name(wanted);
      RingUnit unit;
      if (name.starts_with("acct-"))
        unit.account = name;
      else
        unit.virtual_node = static_cast<VirtualNode>(std::stoul(name));
      const std::string reason =
          moves->request(unit, to, ring, serving, true, static_cast<double>(moves_wanted.size()));
      cr_assert(reason.empty(), "%s", reason.c_str());
      moves_wanted.erase(moves_wanted.begin());
    }
  }
  void follow(Broker& broker, const std::string& name) {
    broker.due = now + 200ms;
    const Fate met = meet();
    if (met == Fate::lost || met == Fate::late)
      return;  // its answer, come late, would count from the asking: the same as none
    moves->leases().record(name, broker.incarnation, broker.gate.confirmed(), now);
    const Duration granted = moves->leases().grant(name, broker.incarnation, now),
                   lease = has_waits ? granted : Duration(1000);
    if (broker.gate.view()->revision < document.revision)
      broker.gate.take(view_ring(document));
    if (lease > Duration(0))
      broker.gate.set_lease(now + lease - 30ms);
    for (const Request& request : std::exchange(broker.parked, {}))
      send(broker, request);
  }
  void inject_fault(const RingMove& move) {
    if (fault == Fault::none || has_injected_fault || move.step != fault_step)
      return;
    has_injected_fault = true;
    Broker& broker = brokers[0];
    if (fault == Fault::kill_leader)
      restart_core();
    if (fault == Fault::kill_broker) {  // what is on its way goes on, its answers reach nobody
      for (Flight& flight : broker.flights) {
        if (flight.request.ask == Ask::write)
          recorder.finish(flight.request);  // the client is told that nobody knows
        else
          later_.emplace_back(now + 300ms, flight.request);
        orphans_.push_back(std::move(flight));
      }
      for (const Request& request : broker.parked)
        later_.emplace_back(now + 300ms, request);
      for (Request next; broker.waiting.pop(next);)
        later_.emplace_back(now + 300ms, next);
      const IncarnationId incarnation{broker.incarnation.value + 1};
      broker = Broker{};
      broker.incarnation = incarnation;
      broker.dead_until = now + 800ms;
      broker.due = broker.dead_until;
      broker.gate.take(view_ring(document));
      for (Backend& backend : broker.backends)
        backend.capacity = 2;
    }
    if (fault == Fault::cut_broker)
      broker.cut_until = now + 4s;
    if (fault == Fault::kill_giver)
      nodes[node_of(move.from)].down_until = now + 1500ms;
    if (fault == Fault::kill_receiver)
      nodes[node_of(move.to)].down_until = now + 1500ms;
  }
  void restart_core() {
    moves = std::make_unique<ShardMigration>(options);
  }

  void step() {
    now += 1ms;
    if (++ticks_ % 50 == 0)
      run_cluster_status();
    for (std::size_t position = 0; position < delayed_.size();)
      if (now >= delayed_[position].first) {
        order(delayed_[position].second, false);
        delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(position));
      } else {
        ++position;
      }
    for (std::size_t position = 0; position < brokers.size(); ++position) {
      Broker& broker = brokers[position];
      if (now >= broker.due && now >= broker.cut_until && now >= broker.dead_until)
        follow(broker, "broker-" + std::to_string(position));
      advance(broker);
    }
    for (Flight& flight : orphans_)
      for (Flight::Leg& leg : flight.legs)
        if (!leg.has_landed && now >= leg.lands)
          land(flight, leg);
    for (const auto& [when, request] : std::exchange(later_, {})) {
      if (now < when)
        later_.emplace_back(when, request);
      else
        send(brokers[(request.id + request.tries) % 2], request);
    }
    if (now > dawn + length || ticks_ % 3 != 0)
      return;
    const unsigned kind = next_random() % 100;
    Request request;
    request.id = ++last_id;
    request.ask = kind < 45   ? Ask::lookup
                  : kind < 55 ? Ask::desk_check
                  : kind < 70 ? Ask::write
                  : kind < 92 ? Ask::typeahead
                  : has_heavy ? Ask::history
                              : Ask::lookup;
    request.account =
        accounts[next_random() % 4 == 0 ? 0 : next_random() % accounts.size()];  // one is hot
    request.born = now;
    request.until = now + (request.is_heavy() ? 3000ms : 400ms);
    send(brokers[request.id % 2], request);
  }
  void run() {
    if (!has_waits)
      options.lease = options.settle = Duration(0);
    restart_core();
    while (now < dawn + length + 10s)
      step();
    recorder.close(ring, nodes, last_id);
  }
  static double percentile(std::vector<double> times, double share) {
    std::sort(times.begin(), times.end());
    return times.empty()
               ? 0
               : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  }
  bool are_settled(std::size_t count) const {
    return static_cast<std::size_t>(std::count_if(
               moves->moves().begin(), moves->moves().end(),
               [](const RingMove& move) { return move.step == RingMove::Step::settled; })) == count;
  }
};

}  // namespace saddlewing::tests
