// A busy evening on mixed shard nodes, replayed with a clock of its own: a hot node, typeahead and driveway lookups beside
// holds, and moves, with whoever takes part killed or cut off at each step.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>

#include "coordination/ring_gate.h"

using namespace saddlewing;

namespace {

constexpr Moment dawn = Moment{} + 1000s;

struct Node {
  std::string name;
  double work_ms, disk_mb_s, way_ms;  // of a lookup; of its disk; of the way there and back
  Moment free{}, down_until{};
  double copying = 0;                 // megabytes a second, either way
  struct Part {
    bool is_closed = false;
    double copied = 0, pace = 0;
    Moment since{};
    std::set<int> holds;              // that landed here, or were fetched
  };
  std::map<VirtualNode, Part> parts;
};

struct Asked {  // a lookup or a hold
  int id;
  bool is_hold;
  VirtualNode key;
  Moment born, until;
  int tries = 0;
};

struct Evening {
  enum class Strike { none, leader, broker, giver, taker };
  struct Broker {
    RingGate gate;
    LifeId life{1};
    Moment due{}, cut_until{}, asked{};
    std::deque<Asked> parked;
    struct Flight {
      Asked asked;
      std::uint32_t owner;
      Moment lands, back;
      bool has_landed = false;
    };
    std::vector<Flight> flights;
  };

  Evening() {
    std::string file = "edition: 1\nrule: lookups\nvirtual_nodes: 32\nvirtual_node_memory_mb: 10\nvirtual_node_disk_mb: 120\nnodes:\n";
    nodes = {{"quick-1", 4, 400, 1}, {"quick-2", 4, 400, 1}, {"slow", 5, 40, 1}, {"far", 4, 200, 24}};
    file += "- {name: quick-1, locality: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 400}\n";
    file += "- {name: quick-2, locality: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 400}\n";
    file += "- {name: slow, locality: x, region: r, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 40}\n";
    file += "- {name: far, locality: z, region: s, memory_mb: 900, disk_mb: 9000, disk_mb_per_s: 200}\n";
    sheet = {1, file, {}, {}};
    cr_assert(!ring_of(sheet, ring));
    restart();
    for (Broker& broker : brokers) broker.gate.take(view_ring(sheet));
  }
  void restart() { moves = std::make_unique<RingMoves>(options); }
  Node& node(const std::string& name) {
    for (Node& one : nodes)
      if (one.name == name) return one;
    return nodes[0];
  }
  unsigned draw() { return state = state * 1664525u + 1013904223u, state >> 8; }

  // Virtual nodes of the hot node are asked four times as often.
  VirtualNode draw_key() {
    for (;;) {
      const VirtualNode key = draw() % 32;
      if (ring.owner(key).name == "quick-1" || first_owner(key) == "quick-1" || draw() % 4 == 0) return key;
    }
  }
  std::string first_owner(VirtualNode key) const {
    return first_names.empty() ? "" : first_names[key];
  }

  void send(Broker& broker, Asked asked) {
    const std::uint32_t owner = broker.gate.view()->map.owners[asked.key];
    if (is_guarded && broker.gate.decide(asked.key, !asked.is_hold, now) == RingGate::Way::wait) {
      if (now < asked.until) return broker.parked.push_back(asked);
      ++come_backs;
      asked.until = now + 500ms + 400ms;
      ++asked.tries;
      return later.push_back({now + 500ms, asked});
    }
    Node& to = nodes[owner];
    if (asked.is_hold) broker.gate.start(asked.key, owner);
    const Moment there = now + Span(static_cast<std::int64_t>(to.way_ms / 2));
    const double slowed = 1 + 3 * to.copying / to.disk_mb_s;
    to.free = std::max(to.free, there) + std::chrono::microseconds(static_cast<std::int64_t>(to.work_ms * slowed * 1000));
    broker.flights.push_back({asked, owner, to.free, to.free + Span(static_cast<std::int64_t>(to.way_ms / 2))});
  }
  void land(Broker& broker) {
    std::vector<Broker::Flight> flights = std::exchange(broker.flights, {});
    for (Broker::Flight& flight : flights) {
      if (!flight.has_landed && now >= flight.lands) {
        flight.has_landed = true;
        Node& at = nodes[flight.owner];
        if (at.down_until > now) {  // it ran nowhere, and says so once it is back: asked again
          if (flight.asked.is_hold) broker.gate.finish(flight.asked.key, flight.owner);
          later.push_back({at.down_until + 20ms, flight.asked});
          later.back().second.until = at.down_until + 500ms;
          continue;
        }
        if (flight.asked.is_hold) {
          ++landed[flight.asked.id];
          Node::Part& part = at.parts[flight.asked.key];
          misplaced += part.is_closed;
          part.holds.insert(flight.asked.id);
        }
      }
      if (now < flight.back) {
        broker.flights.push_back(flight);
        continue;
      }
      if (flight.asked.is_hold) {
        broker.gate.finish(flight.asked.key, flight.owner);
        ++held[flight.asked.id];
      } else {
        ++answered[flight.asked.id];
        const double took = std::chrono::duration<double, std::milli>(now - flight.asked.born).count();
        times.push_back(took);
        ++lookups;
        late += took > 60;
      }
    }
  }
  bool perform(const RingMoves::Order& order, double& share) {
    Node& at = node(order.node);
    if (at.down_until > now) return false;
    Node::Part& part = at.parts[order.virtual_node];
    Node& other = node(order.other);
    if (order.what == "open") part.is_closed = false;
    if (order.what == "close") {
      part.is_closed = true;
      for (Broker& broker : brokers)  // said once those under way have ended
        for (const Broker::Flight& flight : broker.flights)
          if (flight.asked.is_hold && flight.asked.key == order.virtual_node && !flight.has_landed && nodes[flight.owner].name == at.name) return part.is_closed = false;
    }
    if (order.what == "copy") {
      if (part.since != Moment{}) part.copied += part.pace * std::min(0.8, std::chrono::duration<double>(now - part.since).count());
      part.since = now;
      part.pace = order.mb_s;
      share = std::min(1.0, part.copied / 120);
      at.copying = other.copying = share < 1 ? order.mb_s : 0;
      if (share < 1) return false;
      part.holds = other.parts[order.virtual_node].holds;
    }
    if (order.what == "finish") {
      if (other.down_until > now) return false;
      part.holds.insert(other.parts[order.virtual_node].holds.begin(), other.parts[order.virtual_node].holds.end());
      part.is_closed = false;
    }
    if (order.what == "drop" || order.what == "clear") part.copied = 0, part.since = {};
    return true;
  }
  void strike_now(RingMove::Step step) {
    if (strike == Strike::none || has_struck || step != strike_at) return;
    has_struck = true;
    if (strike == Strike::leader) restart();
    if (strike == Strike::broker) {  // restarted: its flights' outcomes are lost, what landed has landed; then cut off
      for (Broker::Flight& flight : brokers[0].flights) {
        if (!flight.asked.is_hold) later.push_back({now + 300ms, flight.asked});
        else if (!flight.has_landed) orphans.push_back(flight);
        lost_outcomes.insert(flight.asked.id);
      }
      for (const Asked& asked : brokers[0].parked) later.push_back({now + 300ms, asked});
      const LifeId life{brokers[0].life.value + 1};
      brokers[0] = Broker{};
      brokers[0].life = life;
      brokers[0].gate.take(view_ring(sheet));  // by the newest that any registry holds, but without a hold
      brokers[0].cut_until = now + 2s;
    }
    if (strike == Strike::giver) node("quick-1").down_until = now + 1500ms;
    if (strike == Strike::taker) node(taker).down_until = now + 1500ms;
  }
  void step() {
    now += 1ms;
    // The core.
    if (++ticks % 100 == 0) {
      moves->tick(true, sheet, ring, late <= 0.02 * std::max(50.0, lookups) || !is_pausing, now);
      lookups *= 0.8, late *= 0.8;
      RingMoves::Output output = moves->take();
      for (const auto& order : output.orders) {
        double share = 0;
        const bool is_done = perform(order, share);
        moves->finish_order(order.token, is_done, share);
      }
      if (output.proposal) {
        sheet = *output.proposal;
        cr_assert(!ring_of(sheet, ring));
        moves->finish_proposal();
        std::vector<RingMove> agreed;
        decode_moves(sheet.moves, agreed);
        for (const RingMove& move : agreed)
          if (move.mark == sheet.mark) strike_now(move.step);
      }
      if (wants_move && now > dawn + 5s && moves->moves().empty()) {
        const std::string reason = moves->request(moving, taker, ring, {"quick-1", "quick-2", "slow", "far"});
        wants_move = !reason.empty();
      }
    }
    for (std::size_t place = 0; place < brokers.size(); ++place) {
      Broker& broker = brokers[place];
      if (now >= broker.due && now >= broker.cut_until) {
        broker.due = now + 200ms;
        const std::string name = "broker-" + std::to_string(place);
        moves->holders().note(name, broker.life, broker.gate.confirmed(), now);
        const Span hold = moves->holders().grant(name, broker.life, now);
        if (!broker.gate.view() || broker.gate.view()->mark < sheet.mark) broker.gate.take(view_ring(sheet));
        if (hold > Span(0)) broker.gate.set_hold(now + hold - 30ms);
        for (Asked& asked : std::exchange(broker.parked, {})) send(broker, asked);
      }
      land(broker);
      std::erase_if(broker.parked, [&](Asked& asked) {
        if (now < asked.until) return false;
        ++come_backs;
        asked.until = now + 900ms;
        later.push_back({now + 500ms, asked});
        return true;
      });
    }
    for (Broker::Flight& flight : orphans)
      if (!flight.has_landed && now >= flight.lands) {
        flight.has_landed = true;
        ++landed[flight.asked.id];
        Node::Part& part = nodes[flight.owner].parts[flight.asked.key];
        misplaced += part.is_closed;
        part.holds.insert(flight.asked.id);
      }
    for (const auto& [when, asked] : std::exchange(later, {})) {
      if (now < when) later.push_back({when, asked});
      else send(brokers[asked.id % 2], asked);
    }
    if (now > dawn + length) return;
    if (ticks % 2 == 0) {  // 500 a second, one in ten a hold
      const bool is_hold = draw() % 10 == 0;
      const Asked asked{++last_id, is_hold, draw_key(), now, now + 400ms};
      send(brokers[asked.id % 2], asked);
    }
  }
  void run() {
    for (VirtualNode key = 0; key < 32; ++key) first_names.push_back(ring.owner(key).name);
    moving = 0;
    while (ring.owner(moving).name != "quick-1") ++moving;
    while (now < dawn + length + 8s) step();
  }
  double percentile(double share) {
    std::sort(times.begin(), times.end());
    return times.empty() ? 0 : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  }
  // Lost or doubled lookups, and holds that did not land once on the owner that is.
  int wrongs() {
    int wrong = misplaced;
    for (int id = 1; id <= last_id; ++id) {
      wrong += answered.contains(id) && answered[id] != 1;
      wrong += landed.contains(id) && landed[id] != 1;
      if (!answered.contains(id) && !landed.contains(id)) ++wrong;
      if (held.contains(id) && !landed.contains(id)) ++wrong;
    }
    const Node& owner = node(ring.owner(moving).name);
    for (const Node& one : nodes) {
      const auto part = one.parts.find(moving);
      if (part == one.parts.end() || &one == &owner) continue;
      const auto kept = owner.parts.find(moving);
      for (const int hold : part->second.holds) wrong += kept == owner.parts.end() || !kept->second.holds.contains(hold);
    }
    return wrong;
  }
  bool is_settled() {
    return std::any_of(moves->moves().begin(), moves->moves().end(), [](const RingMove& move) { return move.step == RingMove::Step::settled; });
  }

  MoveOptions options;
  std::unique_ptr<RingMoves> moves;
  RingSheet sheet;
  RingMap ring;
  std::vector<Node> nodes;
  std::vector<std::string> first_names;
  std::array<Broker, 2> brokers;
  std::vector<std::pair<Moment, Asked>> later;
  std::vector<Broker::Flight> orphans;
  std::map<int, int> answered, landed, held;
  std::set<int> lost_outcomes;
  std::vector<double> times;
  Moment now = dawn;
  Span length{20000};
  unsigned state = 7;
  int ticks = 0, last_id = 0, misplaced = 0, come_backs = 0;
  double lookups = 0, late = 0;
  bool wants_move = true, is_guarded = true, is_pausing = true, has_struck = false;
  std::string taker = "quick-2";
  VirtualNode moving = 0;
  Strike strike = Strike::none;
  RingMove::Step strike_at{};
};

}  // namespace

Test(evening, lookups_stay_quick_and_every_hold_lands_once) {
  Evening still, moved, naive;
  still.wants_move = false;
  still.run();
  moved.run();
  naive.taker = "slow";  // whatever the machines are, as fast as it goes, without a pause
  naive.options.pace_share = 1;
  naive.is_pausing = false;
  naive.restart();
  naive.run();
  for (auto [name, evening] : {std::pair("without a move", &still), {"with the move", &moved}, {"naive move", &naive}})
    std::printf("evening %s: lookups p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; %d told to come back; %d wrong\n", name, evening->percentile(0.5),
                evening->percentile(0.99), evening->percentile(0.999), evening->come_backs, evening->wrongs());
  cr_expect(moved.is_settled() && moved.ring.owner(moved.moving).name == "quick-2");
  cr_expect(still.wrongs() == 0 && moved.wrongs() == 0 && naive.wrongs() == 0);
  cr_expect(moved.percentile(0.99) < still.percentile(0.99) * 1.25 + 1, "short lookups stay quick");
  cr_expect(naive.percentile(0.99) > moved.percentile(0.99), "weighing the machines is worth something");
}

Test(evening, whoever_is_killed_or_cut_at_any_step_no_hold_is_lost_or_doubled) {
  using Step = RingMove::Step;
  for (const auto strike : {Evening::Strike::leader, Evening::Strike::broker, Evening::Strike::giver, Evening::Strike::taker})
    for (const Step step : {Step::planned, Step::copying, Step::closing, Step::switched}) {
      Evening evening;
      evening.length = Span(16000);
      evening.strike = strike;
      evening.strike_at = step;
      evening.run();
      cr_expect(evening.has_struck && evening.wrongs() == 0, "strike %d at %s: %d wrong", static_cast<int>(strike), name_of(step), evening.wrongs());
      cr_expect(evening.is_settled(), "strike %d at %s: not settled", static_cast<int>(strike), name_of(step));
    }
}

Test(evening, without_the_gate_holds_land_at_the_wrong_owner) {
  Evening evening;
  evening.is_guarded = false;
  evening.strike = Evening::Strike::broker;
  evening.strike_at = RingMove::Step::closing;
  evening.run();
  cr_expect(evening.wrongs() > 0, "the checks above can fail");
}
