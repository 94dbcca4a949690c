#include "model_world.h"

#include <xxhash.h>

#include <algorithm>

namespace saddlewing::model {

namespace {

constexpr Micros heal_bound = 15'000'000;  // beyond catch_up, for all to be well again
constexpr Micros look_every = 250'000;

}  // namespace

World::World(const Walk& walk, std::ostream* trace) : walk_(walk), trace_(trace) {
  const Setup& setup = walk_.setup;
  std::vector<Member> founders;
  for (int number = 1; number <= setup.members; ++number)
    founders.push_back({MemberId{static_cast<std::uint64_t>(number)}, add_node(number).address});
  for (int number = 1; number <= setup.members; ++number) {
    auto entry = std::make_shared<Entry>();
    entry->members = founders;
    nodes_[number]->disk = {founders[static_cast<std::size_t>(number - 1)].id, {}, {}, entry};
    nodes_[number]->has_disk = true;
  }
  for (int spare = 0; spare < setup.spares; ++spare)
    add_node(setup.members + 1 + spare);
  for (auto& [number, node] : nodes_)
    start_node(*node);
  for (int number = 0; number < setup.brokers; ++number) {
    auto broker = std::make_unique<Broker>();
    broker->number = first_broker + number;
    start_broker(*(brokers_[first_broker + number] = std::move(broker)));
  }
}

std::uint64_t World::draw(std::uint64_t salt) {
  const std::uint64_t words[] = {salt, ++drawn_};
  return XXH3_64bits_withSeed(words, sizeof words, walk_.setup.seed);
}

World::Machine* World::machine(int number) {
  if (const auto node = nodes_.find(number); node != nodes_.end())
    return node->second.get();
  const auto broker = brokers_.find(number);
  return broker != brokers_.end() ? broker->second.get() : nullptr;
}

TimePoint World::local(const Machine& machine) const {
  return TimePoint{} + 1000s +
         std::chrono::microseconds(machine.offset +
                                   static_cast<Micros>(static_cast<double>(now_) * machine.rate));
}

Micros World::global(const Machine& machine, TimePoint moment) {
  const auto since =
      std::chrono::duration_cast<std::chrono::microseconds>(moment - TimePoint{} - 1000s).count() -
      machine.offset;
  return static_cast<Micros>(static_cast<double>(since) / machine.rate);
}

void World::push(Micros at, Event::Kind kind, int from, int to, std::uint64_t incarnation,
                 Content content) {
  heap_.push_back({at, ++order_, kind, from, to, incarnation, std::move(content)});
  std::push_heap(heap_.begin(), heap_.end());
}

void World::send(int from, int to, Content content) {
  const Setup& setup = walk_.setup;
  const Machine* sender = machine(from);
  const Machine* receiver = machine(to);
  if (!sender || !receiver || (sender->cut & 2) || (receiver->cut & 1))
    return;
  if (const auto link = links_.find({from, to}); link != links_.end() && link->second)
    return;
  // By the link's own count, so that a walk with fewer steps meets much the same network.
  const std::uint64_t words[] = {static_cast<std::uint64_t>(from), static_cast<std::uint64_t>(to),
                                 ++sent_[{from, to}]};
  const std::uint64_t noise = XXH3_64bits_withSeed(words, sizeof words, setup.seed);
  const auto part = [&](int shift, std::uint64_t size) {
    return static_cast<int>((noise >> shift) % size);
  };
  if (part(0, 1000) < (is_healed_ ? 0 : std::max(setup.loss, storm_)))
    return;
  const Micros minimum = is_healed_ ? std::min<Micros>(setup.delay, 20'000) : setup.delay;
  const Micros jitter = is_healed_ ? std::min<Micros>(setup.jitter, 30'000) : setup.jitter;
  const auto way = [&](int shift) {
    return minimum +
           (jitter ? static_cast<Micros>((noise >> shift) % static_cast<std::uint64_t>(jitter))
                   : 0);
  };
  Micros delay = way(10);
  if (!is_healed_ && part(20, 1000) < setup.late)
    delay += 300'000 + static_cast<Micros>((noise >> 30) % 8'000'000);
  if (!is_healed_ && part(40, 1000) < setup.doubling)
    push(now_ + way(34) + (part(50, 4) ? 0 : 2'000'000), Event::Kind::deliver, from, to, 0,
         content);
  push(now_ + delay, Event::Kind::deliver, from, to, 0, std::move(content));
}

void World::handle(Event event) {
  Machine* to = machine(event.to);
  if (!to || (event.kind != Event::Kind::start && !to->is_up))
    return;
  if (event.incarnation && event.incarnation != to->incarnation)
    return;
  if (event.kind == Event::Kind::save) {  // the disk goes on though the process stands still
    Node& node = *nodes_[event.to];
    return end_save(node, std::get<FinishedSave>(event.content).serial);
  }
  if (to->is_frozen) {
    if (event.kind == Event::Kind::deliver)
      to->held.push_back(std::move(event));
    else if (event.kind == Event::Kind::follow)
      push(now_ + 400'000, event.kind, 0, event.to, event.incarnation, {});
    else if (event.kind == Event::Kind::wake)
      nodes_[event.to]->wake_at = -1;  // else no wake would follow the thaw
    return;
  }
  if (const auto found = brokers_.find(event.to); found != brokers_.end()) {
    if (event.kind == Event::Kind::follow)
      return follow(*found->second);
    if (const HeartbeatPacket* heartbeat = std::get_if<HeartbeatPacket>(&event.content))
      handle_heartbeat(*found->second, *heartbeat);
    return;
  }
  Node& node = *nodes_[event.to];
  if (event.kind == Event::Kind::start) {
    if (!node.is_up && !node.is_gone)
      start_node(node);
    return;
  }
  if (event.kind == Event::Kind::wake)
    node.wake_at = -1;
  else
    take(node, event.from, event.content);
  if (node.is_up)
    turn_node(node);
}

void World::apply(const Step& step) {
  const bool is_broker = step.act >= Act::broker_stop;
  int number = is_broker ? first_broker + step.node : step.node;
  if (number == 0) {  // the leader of the moment; whatever ends goes to the one that it began with
    const auto [position, is_new] = chosen_.try_emplace(step.group, 0);
    if (is_new)
      for (const auto& [candidate, node] : nodes_)
        if (node->is_up && node->raft->is_leader() &&
            (!position->second || node->raft->term() > nodes_[position->second]->raft->term()))
          position->second = candidate;
    number = position->second;
  }
  Machine* found = machine(number);
  say("-- " + describe(step));
  if (step.act == Act::power) {
    for (auto& [number, node] : nodes_) {
      if (!node->is_up)
        continue;
      stop_node(*node, true);
      push(
          now_ + step.value * 1000 + static_cast<Micros>(draw(1) % (draw(9) % 2 ? 5'000 : 400'000)),
          Event::Kind::start, 0, number, 0, {});
    }
    return;
  }
  if (step.act == Act::storm)
    storm_ = static_cast<int>(step.value);
  if (step.act == Act::calm)
    storm_ = 0;
  if (step.act == Act::replace && !found)
    found = &add_node(step.node);
  if (!found || found->is_gone)
    return;
  if (is_broker) {
    Broker& broker = *brokers_[found->number];
    if (step.act == Act::broker_stop)
      broker.is_up = false;
    else if (step.act == Act::broker_start && !broker.is_up)
      start_broker(broker);
    else if (step.act == Act::broker_freeze)
      broker.is_frozen = true;
    else if (step.act == Act::broker_thaw && broker.is_frozen) {
      broker.is_frozen = false;
      auto held = std::exchange(broker.held, {});
      for (Event& event : held)
        handle(std::move(event));
    }
    return;
  }
  Node& node = *nodes_[found->number];
  switch (step.act) {
    case Act::stop:
      stop_node(node, false);
      break;
    case Act::replace:
    case Act::start:
      if (!node.is_up)
        start_node(node);
      break;
    case Act::leave:
      if (!node.is_up || node.is_frozen)
        break;
      if (walk_.setup.planted == Planted::lead_kept_after_transfer && node.raft->is_leader()) {
        transfer_and_lead_on(node);
        break;
      }
      [&](auto& raft) {
        if constexpr (requires { raft.leave(TimePoint{}); })
          raft.leave(local(node));
        else
          raft.transfer(local(node));
      }(*node.raft);
      turn_node(node);
      break;
    case Act::freeze:
      node.is_frozen = true;
      break;
    case Act::thaw: {
      if (!node.is_frozen)
        break;
      node.is_frozen = false;
      auto held = std::exchange(node.held, {});
      for (Event& event : held)
        handle(std::move(event));
      if (node.is_up)
        turn_node(node);
      break;
    }
    case Act::cut:
      node.cut = static_cast<int>(step.value);
      break;
    case Act::mend:
      node.cut = 0;
      break;
    case Act::cut_link:
      if (step.value & 1)
        links_[{step.other, number}] = true;
      if (step.value & 2)
        links_[{number, step.other}] = true;
      break;
    case Act::mend_link:
      links_[{step.other, number}] = links_[{number, step.other}] = false;
      break;
    case Act::disk: {
      const bool was_stalled = node.mode == DiskMode::stalled;
      node.mode = static_cast<DiskMode>(step.value);
      if (was_stalled && node.pending && node.is_up)
        push(now_ + 1000, Event::Kind::save, 0, node.number, node.incarnation,
             FinishedSave{node.pending->serial, true});
      break;
    }
    case Act::wipe:
      wipe_node(node);
      break;
    case Act::remove:
      wipe_node(node);
      node.is_gone = true;
      break;
    case Act::write:
      begin_call(node, false, step.value);
      break;
    case Act::read:
      begin_call(node, true, 0);
      break;
    case Act::revision:
      node.is_marking = true;
      break;
    default:
      break;
  }
}

void World::heal() {
  say("-- all is healed");
  is_healed_ = true;
  storm_ = 0;
  links_.clear();
  for (auto& [number, node] : nodes_) {
    if (node->is_gone)
      continue;
    apply({now_, Act::mend, number, 0, 0, 0});
    apply({now_, Act::disk, number, 0, 0, 0});
    apply({now_, Act::thaw, number, 0, 0, 0});
    apply({now_, Act::start, number, 0, 0, 0});
  }
  for (auto& [number, broker] : brokers_) {
    apply({now_, Act::broker_thaw, number - first_broker, 0, 0, 0});
    apply({now_, Act::broker_start, number - first_broker, 0, 0, 0});
  }
}

// One leader with a majority behind it, as many members as are wanted or there are, each of them up
// and caught up, and every broker serves by the version committed.
bool World::is_well(bool should_say) {
  const auto no = [&](const std::string& text) {
    if (should_say)
      fail("well after healing", text);
    return false;
  };
  Node* leader = nullptr;
  std::size_t up = 0;
  for (auto& [number, node] : nodes_) {
    up += node->is_up;
    if (node->is_up && node->raft->is_leader() &&
        (!leader || node->raft->term() > leader->raft->term()))
      leader = node.get();
  }
  if (!leader || !leader->raft->is_confirmed(local(*leader)))
    return no("no leader with a majority behind it");
  const Entry& entry = *leader->raft->committed();
  if (entry.members.size() < std::min<std::size_t>(entry.core_size, up))
    return no("only " + std::to_string(entry.members.size()) + " members of " +
              std::to_string(entry.core_size) + ", " + std::to_string(up) + " are up");
  for (const Member& member : entry.members) {
    const auto number = numbers_.find(member.address);
    const Node* node = number != numbers_.end() ? nodes_[number->second].get() : nullptr;
    if (!node || !node->is_up || node->raft->self() != member.id)
      return no("member " + std::to_string(member.id.value) + " at " + member.address + " is gone");
    if (!node->raft->committed() || node->raft->committed()->index != entry.index)
      return no("member " + std::to_string(member.id.value) + " at " + member.address +
                " has not caught up");
  }
  for (const auto& [number, broker] : brokers_) {
    const ConfigurationSnapshot& serving = broker->version_switch->serving();
    if (entry.version.value && (!serving || serving->version != entry.version))
      return no("broker " + std::to_string(number - first_broker) + " serves by another version");
  }
  return true;
}

std::optional<Violation> World::run(Tally& tally) {
  const Setup& setup = walk_.setup;
  auto step = walk_.steps.begin();
  Micros look_at = 0;
  Micros well_at = -1;
  Micros ask_at = 0;
  std::vector<std::size_t> writes;
  std::vector<std::size_t> reads;
  while (!ledger_.found()) {
    const bool has_step = step != walk_.steps.end() && step->at < setup.length;
    const Micros event_at = heap_.empty() ? std::numeric_limits<Micros>::max() : heap_.front().at;
    if (has_step && step->at <= event_at) {
      now_ = std::max(now_, step->at);
      apply(*step++);
      continue;
    }
    if (!is_healed_ && setup.length <= event_at) {
      now_ = setup.length;
      heal();
      continue;
    }
    if (setup.is_beyond && event_at > setup.length + 5'000'000)
      break;
    if (is_healed_ && !setup.is_beyond && event_at >= look_at) {
      look_at = event_at + look_every;
      const bool is_late = now_ > setup.length + setup.catch_up + heal_bound;
      if (well_at < 0 && is_well(is_late))
        well_at = now_;
      // A call may fall into a change of the leader, so an operator asks again.
      if (well_at >= 0 && now_ >= ask_at) {
        ask_at = now_ + 1'000'000;
        const auto node = std::find_if(nodes_.begin(), nodes_.end(),
                                       [](const auto& item) { return item.second->is_up; });
        writes.push_back(history_.size());
        begin_call(*node->second, false, ledger_.highest().value + 1);
        reads.push_back(history_.size());
        begin_call(*node->second, true, 0);
      }
      const auto is_answered = [&](const std::vector<std::size_t>& calls) {
        return std::any_of(calls.begin(), calls.end(),
                           [&](std::size_t call) { return history_.is_finished(call); });
      };
      if (well_at >= 0 && is_answered(writes) && is_answered(reads))
        break;
      if (well_at >= 0 && now_ > well_at + 5'000'000)
        fail("well after healing", "a call was not answered within five seconds");
    }
    if (heap_.empty())
      break;
    std::pop_heap(heap_.begin(), heap_.end());
    Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = std::max(now_, event.at);
    ++tally_.events;
    handle(std::move(event));
  }
  if (!ledger_.found())
    if (const std::string text = history_.check(); !text.empty())
      fail("linearizable", text);
  tally_.walks = 1;
  tally_.calls = history_.size();
  tally_.terms = ledger_.terms();
  tally_.commits = ledger_.commits();
  tally_.simulated = now_;
  tally.add(tally_);
  std::optional<Violation> found = ledger_.found();
  if (found) {
    found->at = now_;
    say("!! " + found->check + ": " + found->text);
  }
  return found;
}

void World::say(const std::string& text) {
  if (!trace_)
    return;
  char at[32];
  std::snprintf(at, sizeof at, "%10.3f  ", static_cast<double>(now_) / 1e6);
  *trace_ << at << text << "\n";
}

std::optional<Violation> run_walk(const Walk& walk, Tally& tally, std::ostream* trace) {
  World world(walk, trace);
  return world.run(tally);
}

}  // namespace saddlewing::model
