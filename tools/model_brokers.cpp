// Brokers, and what registries give them: versions in force, slots of the reserve, leases on agreed
// tables.
#include <algorithm>

#include "model_world.h"

namespace saddlewing::model {

namespace {

constexpr Micros follow_every = 400'000;
constexpr Duration rollout_wait{400}, grant_window{3000}, row_silence{3000};
constexpr double reserve = 100;
constexpr std::uint64_t mark_token = ~0ull;
const std::string tables_document = "tables";

}  // namespace

void World::start_broker(Broker& broker) {
  const Setup& setup = walk_.setup;
  broker.is_up = true;
  broker.is_frozen = false;
  broker.held.clear();
  broker.incarnation = ++incarnations_;
  const int drift =
      setup.drift ? static_cast<int>(draw(11) % static_cast<std::uint64_t>(2 * setup.drift + 1)) -
                        setup.drift
                  : 0;
  broker.rate = 1 + drift * 1e-4;
  broker.offset = static_cast<Micros>(draw(12) % 1'000'000'000);
  broker.version_switch = std::make_unique<VersionSwitch>(rollout_wait * 2);
  broker.reserve = {};
  broker.last_token = broker.revision = 0;
  broker.asked.clear();
  broker.held_until = {};
  push(now_ + static_cast<Micros>(draw(13) % follow_every), Event::Kind::follow, 0, broker.number,
       broker.incarnation, {});
}

void World::follow(Broker& broker) {
  const TimePoint now = local(broker);
  broker.asked[++broker.last_token] = now;
  while (broker.asked.size() > 64)
    broker.asked.erase(broker.asked.begin());
  for (const auto& [number, node] : nodes_)
    if (!node->is_gone)
      send(broker.number, number,
           FollowPacket{broker.number, broker.incarnation, broker.last_token, broker.revision,
                        broker.version_switch->version_held()});
  broker.version_switch->activate(true, now);
  push(now_ + follow_every, Event::Kind::follow, 0, broker.number, broker.incarnation, {});
}

void World::handle_heartbeat(Broker& broker, const HeartbeatPacket& heartbeat) {
  if (heartbeat.incarnation != broker.incarnation)
    return;
  const TimePoint now = local(broker);
  const Version before =
      broker.version_switch->serving() ? broker.version_switch->serving()->version : Version{};
  if (heartbeat.is_leader) {
    ledger_.force(heartbeat.in_force);
    broker.version_switch->observe_in_force(heartbeat.in_force);
  }
  if (heartbeat.version > broker.version_switch->version_held()) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = heartbeat.version;
    broker.version_switch->prepare(std::move(configuration), now);
  }
  broker.version_switch->activate(true, now);
  const Version serving =
      broker.version_switch->serving() ? broker.version_switch->serving()->version : Version{};
  if (serving < before)
    fail("no node goes back",
         "broker " + std::to_string(broker.number - first_broker) + " serves by an older version");
  ledger_.force(serving);
  broker.revision = std::max(broker.revision, heartbeat.revision);
  const auto asked = broker.asked.find(heartbeat.token);
  if (asked == broker.asked.end())
    return;
  const TimePoint from = walk_.setup.planted == Planted::lease_from_arrival ? now : asked->second;
  if (heartbeat.lease.count())
    broker.held_until = std::max(broker.held_until, from + heartbeat.lease);
  if (heartbeat.grant <= 0)
    return;
  broker.reserve.update(heartbeat.grant, heartbeat.grant_valid, from);
  // Whatever somebody may still use, or may have used within the last window.
  const Micros window = static_cast<Micros>(grant_window.count()) * 1000;
  std::erase_if(granted_, [&](const Granted& granted) {
    return granted.until + window < now_ ||
           (granted.broker == broker.number && granted.incarnation == broker.incarnation);
  });
  const Micros until = global(broker, from + heartbeat.grant_valid);
  if (until > now_)
    granted_.push_back({broker.number, broker.incarnation, broker.reserve.available(now), until});
  double sum = 0;
  for (const Granted& granted : granted_)
    sum += granted.amount;
  if (sum > reserve + 1e-6)
    fail("grants within the whole", "brokers may use " + std::to_string(sum) + " of " +
                                        std::to_string(reserve) + " within one window");
}

HeartbeatPacket World::make_heartbeat(Node& node) {
  HeartbeatPacket heartbeat;
  heartbeat.is_leader = node.raft->is_leader();
  if (node.raft->committed())
    heartbeat.version = node.raft->committed()->version;
  heartbeat.in_force = node.rollout->in_force();
  heartbeat.revision = node.revision;
  return heartbeat;
}

void World::handle_subscribe(Node& node, const FollowPacket& follow) {
  const TimePoint now = local(node);
  Row& row = node.rows[follow.broker];
  if (follow.incarnation < row.incarnation)
    return;  // of a life before
  row = {follow.incarnation, follow.held, now};
  HeartbeatPacket heartbeat = make_heartbeat(node);
  heartbeat.incarnation = follow.incarnation;
  heartbeat.token = follow.token;
  const std::string name = std::to_string(follow.broker);
  if (node.raft->is_leader()) {
    heartbeat.grant =
        node.grants->grant(name, IncarnationId{follow.incarnation}, node.rows.size(), now);
    heartbeat.grant_valid = node.grants->grant_duration();
    node.leases->record(name, IncarnationId{follow.incarnation}, follow.revision, now);
    if (node.is_holding && node.raft->is_leased(now))
      heartbeat.lease = node.leases->grant(name, IncarnationId{follow.incarnation}, now);
  }
  send(node.number, follow.broker, heartbeat);
}

// As the leader of tables does: a new mark is agreed; once nobody holds by an older one, it is
// acted on.
void World::update_tables(Node& node) {
  const TimePoint now = local(node);
  const RaftNode& raft = *node.raft;
  if (const EntrySnapshot& committed = raft.committed())
    if (const auto document = committed->documents.find(tables_document);
        document != committed->documents.end())
      node.revision = std::max<std::uint64_t>(node.revision, std::stoull(document->second));
  if (node.led_term != raft.term() || !raft.is_leader())
    node.is_holding = false;
  node.led_term = raft.term();
  if (!raft.is_leased(now))
    return;
  if (!node.is_holding)
    node.leases->start_term(now);
  node.is_holding = true;
  node.leases->erase_expired(now);
  if (std::exchange(node.is_marking, false))
    node.raft->propose_document(tables_document, std::to_string(node.revision + 1), mark_token,
                                now);
  if (node.revision == 0 || node.leases->has_lease_before(node.revision, now))
    return;
  for (const auto& [number, broker] : brokers_)
    if (broker->is_up && broker->revision < node.revision && local(*broker) < broker->held_until)
      fail("leases never overlap", "broker " + std::to_string(number - first_broker) +
                                       " acts by table " + std::to_string(broker->revision) +
                                       " when table " + std::to_string(node.revision) +
                                       " is acted on");
}

void World::advance_rollout(Node& node) {
  const TimePoint now = local(node);
  if (walk_.setup.planted == Planted::in_force_uncommitted && node.pending &&
      node.raft->is_leader())
    node.rollout->commit(node.pending->persistent.entry->version, now);
  if (!node.rollout->is_pending())
    return;
  std::erase_if(node.rows,
                [&](const auto& row) { return now - row.second.last_contact > row_silence; });
  std::vector<Version> held;
  for (const auto& [number, row] : node.rows)
    held.push_back(row.held);
  if (node.rollout->advance(held, now) == VersionRollout::Activation::none)
    return;
  if (node.raft->is_leader())
    ledger_.force(node.rollout->in_force());
  for (const auto& [number, row] : node.rows) {
    HeartbeatPacket heartbeat = make_heartbeat(node);
    heartbeat.incarnation = row.incarnation;
    send(node.number, number, heartbeat);
  }
}

}  // namespace saddlewing::model
