// Operators' calls in the model: passed on to the leader and answered, as thin as the core's loop
// allows.
#include "model_world.h"

namespace saddlewing::model {

namespace {

constexpr Duration resend_pause{50};  // as in ConfigurationService

}  // namespace

void World::begin_call(Node& node, bool is_read, std::int64_t version) {
  const std::size_t call = history_.start(is_read, version);
  if (!node.is_up || node.is_frozen)
    return;  // its outcome stays unknown
  node.calls[++node.last_token] = {
      call, is_read, Version{version}, std::to_string(call), 0, 0, 0, {}, local(node) + call_wait};
  turn_node(node);
}

void World::route_calls(Node& node) {
  const TimePoint now = local(node);
  std::vector<std::uint64_t> ended;
  std::vector<std::uint64_t> settled;
  const EntrySnapshot& committed = node.raft->committed();
  const std::string& leader = node.raft->leader_address();
  for (auto& [token, call] : node.calls) {
    if (!call.is_read && committed && committed->version >= call.version)
      settled.push_back(token);
    else if (now > call.deadline)
      ended.push_back(token);
    else if (!call.sent_to.empty() && call.sent_to != leader && !call.is_read && !leader.empty())
      call.sent_to.clear();
    if (!call.sent_to.empty() || now > call.deadline)
      continue;
    if (node.raft->is_leader()) {
      call.sent_to = node.address;
      if (call.is_read && walk_.setup.planted == Planted::read_without_majority && committed)
        settled.push_back(token);
      else if (call.is_read)
        node.raft->read_index(token, now);
      else
        node.raft->propose(call.version, call.body, token, now);
    } else if (!leader.empty() && !call.origin) {
      if (leader == call.refused_by && now < call.sent_at + resend_pause)
        continue;  // the node's next turn sends it again
      call.sent_at = now;
      call.sent_to = leader;
      if (const auto number = numbers_.find(leader); number != numbers_.end())
        send(node.number, number->second,
             CallPacket{node.number, node.incarnation, token, call.is_read, call.version,
                        call.body});
    } else if (call.origin) {
      ended.push_back(token);
    }
  }
  for (const std::uint64_t token : settled)
    finish_call(node, token, true, committed->version, committed->body);
  for (const std::uint64_t token : ended)
    finish_call(node, token, false, {}, {});
}

void World::finish_call(Node& node, std::uint64_t token, bool is_done, Version version,
                        const std::string& body) {
  const auto found = node.calls.find(token);
  if (found == node.calls.end())
    return;
  const Call call = std::move(found->second);
  node.calls.erase(found);
  if (call.origin)
    return send(node.number, call.origin,
                AnswerPacket{call.origin_incarnation, call.origin_token, is_done, version, body});
  if (!is_done)
    return;  // unknown
  say("registry " + std::to_string(node.number) +
      (call.is_read
           ? " answers a read with version " + std::to_string(version.value) + ", body " + body
           : " acknowledges version " + std::to_string(call.version.value)));
  if (call.is_read)
    return history_.finish_read(call.call, version.value, body);
  history_.finish_write(call.call);
  ledger_.acknowledge(call.version);
}

}  // namespace saddlewing::model
