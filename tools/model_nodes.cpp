// The machines of registries: lives, saves, and how the agreement is driven. What stands around it
// here (calls passed on to the leader) is the model's own and as thin as the core's loop allows.
#include <algorithm>

#include "model_world.h"
#include "protocol/raft_messages.h"

namespace saddlewing::model {

namespace {

constexpr Duration rollout_wait{400}, grant_valid{2000}, grant_window{3000}, table_lease{3000};
constexpr Duration settle_margin{100};
constexpr int reserve = 100;
constexpr Micros max_wait = 100'000, min_wait = 200;

std::string show(Term term, Index index) {
  return std::to_string(term.value) + "." + std::to_string(index.value);
}

// Later forms of the agreement know when they may end.
template <class A>
bool has_left(const A& raft) {
  if constexpr (requires { raft.has_left(); })
    return raft.has_left();
  return false;
}

}  // namespace

World::Node& World::add_node(int number) {
  auto node = std::make_unique<Node>();
  node->number = number;
  node->address = "10.0.0." + std::to_string(number) + ":7";
  numbers_[node->address] = number;
  return *(nodes_[number] = std::move(node));
}

std::vector<std::string> World::contacts() const {
  std::vector<std::string> addresses;
  for (const auto& [number, node] : nodes_)
    if (!node->is_gone)
      addresses.push_back(node->address);
  return addresses;
}

void World::start_node(Node& node) {
  const Setup& setup = walk_.setup;
  node.is_up = true;
  node.is_frozen = false;
  node.held.clear();
  node.incarnation = ++incarnations_;
  const int drift =
      setup.drift ? static_cast<int>(draw(2) % static_cast<std::uint64_t>(2 * setup.drift + 1)) -
                        setup.drift
                  : 0;
  node.rate = 1 + drift * 1e-4;
  node.offset =
      static_cast<Micros>(draw(3) % 1'000'000'000);  // a steady clock of its own each life
  if (!node.has_disk) {
    const bool is_old = setup.planted == Planted::wiped_under_old_id && node.disk.self.value;
    node.disk = {is_old ? node.disk.self : MemberId{++ids_}, {}, {}, std::make_shared<Entry>()};
    node.has_disk = true;
  } else {
    if (setup.planted == Planted::vote_forgotten)
      node.disk.voted_for = {};
    if (setup.planted == Planted::snapshot_without_term && node.disk.entry->index.value) {
      auto entry = std::make_shared<Entry>(*node.disk.entry);
      entry->term = {};
      node.disk.entry = std::move(entry);
    }
  }
  node.has_before = false;
  RaftOptions options;
  options.address = node.address;
  options.voter_count = static_cast<std::uint32_t>(setup.can_lose()) * 2 + 1;
  options.random_seed = draw(4);
  if (setup.planted == Planted::former_lease_not_awaited)
    options.clock_drift_percent = -100;  // so that nothing is left of the wait
  options.voter_timeout =
      replacement_timeout(Duration(setup.catch_up / 1000), options.election_timeout);
  const TimePoint now = local(node);
  const Duration election = options.election_timeout;
  node.raft = std::make_unique<RaftNode>(node.disk, options, contacts(), now);
  node.rollout = std::make_unique<VersionRollout>(rollout_wait);
  node.grants = std::make_unique<RetryQuotaAllocator>(reserve, grant_valid, grant_window);
  node.leases =
      std::make_unique<LeaseTable>(table_lease, setup.planted == Planted::lease_without_settling
                                                    ? Duration(0)
                                                    : table_lease + election + settle_margin);
  node.pending.reset();
  node.wake_at = -1;
  node.calls.clear();
  node.last_token = 0;
  node.noted = nullptr;
  node.rows.clear();
  node.is_holding = node.is_marking = false;
  node.revision = 0;
  say("registry " + std::to_string(node.number) + " starts as member " +
      std::to_string(node.disk.self.value) + ", holds " +
      show(node.disk.entry->term, node.disk.entry->index) + " in term " +
      std::to_string(node.disk.current_term.value));
  push(now_ + min_wait, Event::Kind::wake, 0, node.number, node.incarnation, {});
  node.wake_at = now_ + min_wait;
}

void World::stop_node(Node& node, bool is_power) {
  if (!node.is_up)
    return;
  // What was on its way to the disk got there or not.
  if (node.pending && node.mode != DiskMode::failing && draw(5) % 2)
    node.disk = node.pending->persistent;
  else if (is_power && node.has_before && draw(6) % 2)
    node.disk = node.disk_before;
  node.is_up = node.is_frozen = false;
  node.held.clear();
  node.pending.reset();
  node.raft.reset();
  say("registry " + std::to_string(node.number) + " is down, its disk holds " +
      show(node.disk.entry->term, node.disk.entry->index) + " in term " +
      std::to_string(node.disk.current_term.value));
}

void World::wipe_node(Node& node) {
  stop_node(node, false);
  node.has_disk = false;
}

void World::begin_save(Node& node, RaftNode::Save save) {
  const std::uint64_t serial = save.serial;
  plant_in_entry(node, save.persistent);
  node.pending = std::move(save);
  Micros span = 1'000 + static_cast<Micros>(draw(7) % 10'000);
  if (node.mode == DiskMode::slow)
    span += 150'000 + static_cast<Micros>(draw(8) % 400'000);
  if (walk_.setup.planted == Planted::answer_before_sync)
    span += 300'000;
  if (node.mode != DiskMode::stalled || walk_.setup.planted == Planted::answer_before_sync)
    push(now_ + span, Event::Kind::save, 0, node.number, node.incarnation,
         FinishedSave{serial, node.mode != DiskMode::failing});
  if (walk_.setup.planted == Planted::answer_before_sync)
    node.raft->handle_save_result(serial, true, local(node));
}

void World::end_save(Node& node, std::uint64_t serial) {
  if (!node.pending || node.pending->serial != serial ||
      (node.mode == DiskMode::stalled && walk_.setup.planted != Planted::answer_before_sync))
    return;
  const bool is_saved = node.mode != DiskMode::failing;
  if (is_saved) {
    const PersistentState& next = node.pending->persistent;
    const auto key = [](const PersistentState& persistent) {
      return std::pair(persistent.entry->term, persistent.entry->index);
    };
    if (next.self != node.disk.self || next.current_term < node.disk.current_term ||
        key(next) < key(node.disk))
      fail("no node goes back",
           "registry " + std::to_string(node.number) + " saved what is older than what it held");
    if (next.current_term == node.disk.current_term && node.disk.voted_for.value &&
        next.voted_for != node.disk.voted_for)
      fail("no node goes back",
           "registry " + std::to_string(node.number) + " changed its vote within a term");
    if (walk_.setup.planted == Planted::folder_sync_left_out) {
      node.disk_before = node.disk;
      node.has_before = true;
    }
    node.disk = node.pending->persistent;
  }
  node.pending.reset();
  if (walk_.setup.planted == Planted::answer_before_sync)
    return;
  if (node.is_frozen) {
    node.held.push_back({now_, ++order_, Event::Kind::deliver, 0, node.number, node.incarnation,
                         FinishedSave{serial, is_saved}});
    return;
  }
  node.raft->handle_save_result(serial, is_saved, local(node));
  turn_node(node);
}

// A replacement in one step: the old list no longer counts.
void World::plant_in_entry(Node& node, const PersistentState& persistent) {
  if (walk_.setup.planted != Planted::replacement_in_one_step || !node.raft->is_leader())
    return;
  [&](auto& entry) {
    if constexpr (requires { entry.outgoing; })
      entry.outgoing.clear();
    else if (entry.members.size() > entry.core_size)
      std::erase_if(entry.members, [&](const Member& member) {
        return member.id != persistent.self &&
               &member == &entry.members[entry.members[0].id == persistent.self];
      });
  }(const_cast<Entry&>(*persistent.entry));
}

// A planted fault: the lead is handed over, and the leader goes on as if it had not been.
void World::transfer_and_lead_on(Node& node) {
  flush(node);
  const RaftNode leading = *node.raft;
  node.raft->transfer_leadership(local(node));
  flush(node);
  *node.raft = leading;
  turn_node(node);
}

void World::turn_node(Node& node) {
  const TimePoint now = local(node);
  node.raft->tick(now);
  observe(node);
  route_calls(node);
  flush(node);
  update_tables(node);
  node.grants->set_leading(node.raft->is_leader() && node.raft->is_confirmed(now),
                           walk_.setup.planted == Planted::grant_twice ? now - 100s : now);
  advance_rollout(node);
  flush(node);
  if (has_left(*node.raft))
    return stop_node(node, false);
  const Micros due =
      std::clamp(global(node, node.raft->next_due()) + 2, now_ + min_wait, now_ + max_wait);
  if (node.wake_at >= 0 && node.wake_at <= due)
    return;
  node.wake_at = due;
  push(due, Event::Kind::wake, 0, node.number, node.incarnation, {});
}

void World::flush(Node& node) {
  observe(node);  // what is answered is committed before
  RaftNode::Output output = node.raft->take_output(local(node));
  if (output.save)
    begin_save(node, std::move(*output.save));
  for (RaftNode::OutgoingMessage& outgoing : output.messages) {
    if (trace_)
      say("registry " + std::to_string(node.number) + " sends " + name_of(outgoing.message.type) +
          " to " + outgoing.to + ", term " + std::to_string(outgoing.message.term.value) +
          ", holds " + show(outgoing.message.last_log_term, outgoing.message.last_log_index) +
          (outgoing.message.is_granted ? ", granted" : ""));
    if (const auto number = numbers_.find(outgoing.to); number != numbers_.end())
      send(node.number, number->second, std::move(outgoing.message));
  }
  for (const RaftNode::Result& result : output.results) {
    const auto found = node.calls.find(result.token);
    if (found == node.calls.end())
      continue;
    if (result.outcome == RaftNode::Outcome::done)
      finish_call(node, result.token, true, result.state ? result.state->version : Version{},
                  result.state ? result.state->body : "");
    else
      found->second.sent_to.clear();
  }
}

void World::observe(Node& node) {
  const RaftNode& raft = *node.raft;
  if (raft.is_leader())
    ledger_.lead(raft.term(), raft.self(), node.incarnation);
  check_lease(node);
  const EntrySnapshot& committed = raft.committed();
  if (!committed || committed == node.noted)
    return;
  if (node.noted && std::tuple(committed->term, committed->index) <
                        std::tuple(node.noted->term, node.noted->index))
    fail("no node goes back", "registry " + std::to_string(node.number) + " holds " +
                                  show(committed->term, committed->index) + " committed after " +
                                  show(node.noted->term, node.noted->index));
  if (node.noted && committed->version < node.noted->version)
    fail("no node goes back", "registry " + std::to_string(node.number) + " went back to version " +
                                  std::to_string(committed->version.value));
  ledger_.commit(*committed);
  if (trace_)
    say("registry " + std::to_string(node.number) + (raft.is_leader() ? " (leads) " : " ") +
        "holds " + show(committed->term, committed->index) + " committed, version " +
        std::to_string(committed->version.value) + ", " +
        std::to_string(committed->members.size()) + " members");
  node.noted = committed;
  if (committed->version.value)
    node.rollout->commit(committed->version, local(node));
}

// A lease begins with what comes to its holder, so the later of two is seen here. A frozen holder
// counts too: thawed, it acts by it.
void World::check_lease(const Node& node) {
  if (!node.raft->is_leased(local(node)))
    return;
  const auto name = [](const Node& holder) {
    return "registry " + std::to_string(holder.number) + " (term " +
           std::to_string(holder.raft->term().value) + ")";
  };
  for (const auto& [number, other] : nodes_)
    if (other.get() != &node && other->is_up && other->raft->is_leased(local(*other)))
      fail("one leader under a lease", name(node) + " is under a lease, and so is " + name(*other));
}

void World::take(Node& node, int from, Content& content) {
  if (RaftMessage* message = std::get_if<RaftMessage>(&content))
    return receive(node, from, *message);
  if (const FollowPacket* follow = std::get_if<FollowPacket>(&content))
    return handle_subscribe(node, *follow);
  if (const FinishedSave* save = std::get_if<FinishedSave>(&content))
    return node.raft->handle_save_result(save->serial, save->is_saved, local(node));
  if (const CallPacket* packet = std::get_if<CallPacket>(&content)) {
    node.calls[++node.last_token] = {0,
                                     packet->is_read,
                                     packet->version,
                                     packet->body,
                                     packet->origin,
                                     packet->incarnation,
                                     packet->token,
                                     {},
                                     local(node) + call_wait};
  } else if (const AnswerPacket* answer = std::get_if<AnswerPacket>(&content)) {
    if (answer->incarnation != node.incarnation &&
        walk_.setup.planted != Planted::reply_to_old_incarnation)
      return;
    const auto found = node.calls.find(answer->token);
    if (found == node.calls.end() || found->second.origin)
      return;
    if (answer->is_done) {
      finish_call(node, answer->token, true, answer->version, answer->body);
    } else {
      found->second.refused_by = found->second.sent_to;
      found->second.sent_to.clear();
    }
  }
}

void World::receive(Node& node, int from, RaftMessage& message) {
  const Planted planted = walk_.setup.planted;
  if (planted == Planted::lower_term_obeyed && message.type == RaftMessage::Type::append_entries &&
      message.term < node.raft->term())
    obey_lower_term(message, node.raft->term());
  if (planted == Planted::learner_counted_early &&
      message.type == RaftMessage::Type::append_entries_reply && message.from.value > 1000 &&
      node.raft->is_leader() && node.raft->committed()) {
    const EntrySnapshot& last = node.pending ? node.pending->persistent.entry : node.disk.entry;
    message.is_granted = true;
    message.last_log_term = last->term;
    message.last_log_index = last->index;
  }
  if (trace_)
    say("registry " + std::to_string(node.number) + " takes " + name_of(message.type) + " of " +
        std::to_string(from) + ", term " + std::to_string(message.term.value));
  node.raft->receive(message, local(node));
}

}  // namespace saddlewing::model
