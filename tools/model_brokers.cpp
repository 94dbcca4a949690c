// Brokers, and what registries give them: versions in force, slots of the reserve, leases on agreed
// tables.
#include <algorithm>

#include "model_world.h"

namespace saddlewing::model {

namespace {

constexpr Micros follow_every = 400'000;
constexpr Span rollout_wait{400}, grant_window{3000}, row_silence{3000};
constexpr double reserve = 100;
constexpr std::uint64_t mark_token = ~0ull;
const std::string tables_sheet = "tables";

}  // namespace

void World::start_broker(Broker& broker) {
  const Setup& setup = walk_.setup;
  broker.is_up = true;
  broker.is_frozen = false;
  broker.held.clear();
  broker.life = ++lives_;
  const int drift =
      setup.drift ? static_cast<int>(draw(11) % static_cast<std::uint64_t>(2 * setup.drift + 1)) -
                        setup.drift
                  : 0;
  broker.rate = 1 + drift * 1e-4;
  broker.offset = static_cast<Micros>(draw(12) % 1'000'000'000);
  broker.turnover = std::make_unique<Turnover>(rollout_wait * 2);
  broker.reserve = {};
  broker.last_token = broker.mark = 0;
  broker.asked.clear();
  broker.held_until = {};
  push(now_ + static_cast<Micros>(draw(13) % follow_every), Event::Kind::follow, 0, broker.number,
       broker.life, {});
}

void World::follow(Broker& broker) {
  const Moment now = local(broker);
  broker.asked[++broker.last_token] = now;
  while (broker.asked.size() > 64)
    broker.asked.erase(broker.asked.begin());
  for (const auto& [number, node] : nodes_)
    if (!node->is_gone)
      send(broker.number, number,
           FollowPacket{broker.number, broker.life, broker.last_token, broker.mark,
                        broker.turnover->held()});
  broker.turnover->turn(true, now);
  push(now_ + follow_every, Event::Kind::follow, 0, broker.number, broker.life, {});
}

void World::take_beat(Broker& broker, const BeatPacket& beat) {
  if (beat.life != broker.life)
    return;
  const Moment now = local(broker);
  const Version before =
      broker.turnover->serving() ? broker.turnover->serving()->version : Version{};
  if (beat.is_leader) {
    ledger_.force(beat.in_force);
    broker.turnover->see_in_force(beat.in_force);
  }
  if (beat.version > broker.turnover->held()) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = beat.version;
    broker.turnover->take(std::move(configuration), now);
  }
  broker.turnover->turn(true, now);
  const Version serving =
      broker.turnover->serving() ? broker.turnover->serving()->version : Version{};
  if (serving < before)
    fail("no node goes back",
         "broker " + std::to_string(broker.number - first_broker) + " serves by an older version");
  ledger_.force(serving);
  broker.mark = std::max(broker.mark, beat.mark);
  const auto asked = broker.asked.find(beat.token);
  if (asked == broker.asked.end())
    return;
  const Moment from = walk_.setup.planted == Planted::lease_from_arrival ? now : asked->second;
  if (beat.hold.count())
    broker.held_until = std::max(broker.held_until, from + beat.hold);
  if (beat.grant <= 0)
    return;
  broker.reserve.take(beat.grant, beat.grant_valid, from);
  // Whatever somebody may still use, or may have used within the last window.
  const Micros window = static_cast<Micros>(grant_window.count()) * 1000;
  std::erase_if(granted_, [&](const Granted& granted) {
    return granted.until + window < now_ ||
           (granted.broker == broker.number && granted.life == broker.life);
  });
  const Micros until = global(broker, from + beat.grant_valid);
  if (until > now_)
    granted_.push_back({broker.number, broker.life, broker.reserve.part(now), until});
  double sum = 0;
  for (const Granted& granted : granted_)
    sum += granted.amount;
  if (sum > reserve + 1e-6)
    fail("grants within the whole", "brokers may use " + std::to_string(sum) + " of " +
                                        std::to_string(reserve) + " within one window");
}

BeatPacket World::make_beat(Node& node) {
  BeatPacket beat;
  beat.is_leader = node.agreement->is_leader();
  if (node.agreement->committed())
    beat.version = node.agreement->committed()->version;
  beat.in_force = node.rollout->in_force();
  beat.mark = node.mark;
  return beat;
}

void World::take_follow(Node& node, const FollowPacket& follow) {
  const Moment now = local(node);
  Row& row = node.rows[follow.broker];
  if (follow.life < row.life)
    return;  // of a life before
  row = {follow.life, follow.held, now};
  BeatPacket beat = make_beat(node);
  beat.life = follow.life;
  beat.token = follow.token;
  const std::string name = std::to_string(follow.broker);
  if (node.agreement->is_leader()) {
    beat.grant = node.grants->grant(name, LifeId{follow.life}, node.rows.size(), now);
    beat.grant_valid = node.grants->valid();
    node.holders->note(name, LifeId{follow.life}, follow.mark, now);
    if (node.is_holding && node.agreement->is_leased(now))
      beat.hold = node.holders->grant(name, LifeId{follow.life}, now);
  }
  send(node.number, follow.broker, beat);
}

// As the leader of tables does: a new mark is agreed; once nobody holds by an older one, it is
// acted on.
void World::tend_tables(Node& node) {
  const Moment now = local(node);
  const Agreement& agreement = *node.agreement;
  if (const EntrySnapshot& committed = agreement.committed())
    if (const auto sheet = committed->sheets.find(tables_sheet); sheet != committed->sheets.end())
      node.mark = std::max<std::uint64_t>(node.mark, std::stoull(sheet->second));
  if (node.led_term != agreement.term() || !agreement.is_leader())
    node.is_holding = false;
  node.led_term = agreement.term();
  if (!agreement.is_leased(now))
    return;
  if (!node.is_holding)
    node.holders->reset(now);
  node.is_holding = true;
  node.holders->forget(now);
  if (std::exchange(node.is_marking, false))
    node.agreement->propose_sheet(tables_sheet, std::to_string(node.mark + 1), mark_token, now);
  if (node.mark == 0 || node.holders->is_held(node.mark, now))
    return;
  for (const auto& [number, broker] : brokers_)
    if (broker->is_up && broker->mark < node.mark && local(*broker) < broker->held_until)
      fail("leases never overlap", "broker " + std::to_string(number - first_broker) +
                                       " acts by table " + std::to_string(broker->mark) +
                                       " when table " + std::to_string(node.mark) + " is acted on");
}

void World::tend_rollout(Node& node) {
  const Moment now = local(node);
  if (walk_.setup.planted == Planted::in_force_uncommitted && node.pending &&
      node.agreement->is_leader())
    node.rollout->commit(node.pending->durable.entry->version, now);
  if (!node.rollout->is_pending())
    return;
  std::erase_if(node.rows, [&](const auto& row) { return now - row.second.heard > row_silence; });
  std::vector<Version> held;
  for (const auto& [number, row] : node.rows)
    held.push_back(row.held);
  if (node.rollout->advance(held, now) == Rollout::Turn::none)
    return;
  if (node.agreement->is_leader())
    ledger_.force(node.rollout->in_force());
  for (const auto& [number, row] : node.rows) {
    BeatPacket beat = make_beat(node);
    beat.life = row.life;
    send(node.number, number, beat);
  }
}

}  // namespace saddlewing::model
