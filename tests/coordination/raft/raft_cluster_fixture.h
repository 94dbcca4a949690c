#pragma once
// A core of registries in one thread: messages and saves pass through here, under a clock of its
// own.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/raft/raft_node.h"
#include "protocol/raft_messages.h"

namespace saddlewing::tests {

class Cluster {
 public:
  struct Node {
    std::string address;
    std::unique_ptr<RaftNode> raft;  // null while down
    PersistentState disk;            // what was synced
    bool has_disk = false, is_stuck = false;
    Duration save_time{0};  // of each save
    TimePoint save_due{};
    std::optional<RaftNode::Save> pending;
    std::map<std::uint64_t, RaftNode::Result> results;
  };
  struct InFlight {
    TimePoint due;
    std::string to;
    RaftMessage message;
  };

  explicit Cluster(std::size_t count) {
    for (std::size_t at = 0; at < count; ++at)
      founders_.push_back("10.0.0." + std::to_string(at + 1) + ":7");
    for (const std::string& address : founders_) {
      auto entry = std::make_shared<Entry>();
      for (std::size_t at = 0; at < count; ++at)
        entry->members.push_back({MemberId{at + 1}, founders_[at]});
      Node& node = nodes_[address];
      node.address = address;
      node.disk = {
          MemberId{static_cast<std::uint64_t>(
                       std::find(founders_.begin(), founders_.end(), address) - founders_.begin()) +
                   1},
          {},
          {},
          entry};
      node.has_disk = true;
      start(address);
    }
  }

  TimePoint now() const {
    return now_;
  }
  Node& at(const std::string& address) {
    return nodes_[address];
  }
  const std::vector<std::string>& founders() const {
    return founders_;
  }

  void start(const std::string& address) {
    Node& node = nodes_[address];
    node.address = address;
    if (!node.has_disk) {  // an empty disk: a fresh id asks to join
      node.disk = {MemberId{1000 + ++last_seed_}, {}, {}, std::make_shared<Entry>()};
      node.has_disk = true;
    }
    RaftOptions options;
    options.address = address;
    options.voter_count = voter_count;
    options.random_seed = ++last_seed_;
    node.pending.reset();
    node.raft = std::make_unique<RaftNode>(node.disk, options, founders_, now_);
  }
  void stop(const std::string& address) {
    nodes_[address].raft.reset();
  }
  // With its disk to another address.
  void move(const std::string& from, const std::string& to) {
    stop(from);
    nodes_[to].disk = nodes_[from].disk;
    nodes_[to].has_disk = std::exchange(nodes_[from].has_disk, false);
    start(to);
  }
  // In order: its process ends as soon as it may.
  void leave(const std::string& address) {
    nodes_[address].raft->leave(now_);
    flush(nodes_[address]);
  }
  void wipe(const std::string& address) {
    stop(address);
    nodes_[address].has_disk = false;
  }
  void cut(const std::string& address) {
    cut_.insert(address);
  }
  void cut_link(const std::string& from, const std::string& to) {
    cut_links_.insert({from, to});
  }
  void heal() {
    cut_.clear(), cut_links_.clear();
  }

  void run(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end; now_ += 5ms) {
      std::vector<InFlight> arrived;
      for (auto position = in_flight_.begin(); position != in_flight_.end();)
        if (position->due <= now_)
          arrived.push_back(std::move(*position)), position = in_flight_.erase(position);
        else
          ++position;
      for (const InFlight& message_in_flight : arrived)
        if (Node& node = nodes_[message_in_flight.to]; node.raft)
          node.raft->receive(message_in_flight.message, now_);
      for (auto& [address, node] : nodes_) {
        if (!node.raft)
          continue;
        if (node.pending && !node.is_stuck && now_ >= node.save_due) {
          node.disk = node.pending->persistent;
          const std::uint64_t serial = node.pending->serial;
          node.pending.reset();
          node.raft->handle_save_result(serial, true, now_);
        }
        node.raft->tick(now_);
        flush(node);
        if (node.raft->has_left())
          node.raft.reset();
      }
    }
  }
  // Until it holds, or not within ten seconds.
  bool run_until(const std::function<bool()>& holds, Duration limit = Duration(10000)) {
    for (const TimePoint end = now_ + limit; now_ < end;) {
      if (holds())
        return true;
      run(5ms);
    }
    return holds();
  }
  std::string leader() {
    std::string found;
    Term newest;
    for (auto& [address, node] : nodes_)
      if (node.raft && node.raft->is_leader() && node.raft->term() >= newest)
        found = address, newest = node.raft->term();
    return found;
  }
  bool has_leader() {
    return !leader().empty() && at(leader()).raft->is_confirmed(now_);
  }
  // The token of a proposal to the leader of the moment.
  std::uint64_t propose(std::int64_t version, const std::string& body) {
    Node& node = at(leader());
    node.raft->propose(Version{version}, body, ++token_, now_);
    flush(node);
    return token_;
  }
  bool is_done(const std::string& address, std::uint64_t token) {
    const auto found = at(address).results.find(token);
    return found != at(address).results.end() && found->second.outcome == RaftNode::Outcome::done;
  }
  std::string body_at(const std::string& address) {
    const Node& node = at(address);
    return node.raft && node.raft->committed() ? node.raft->committed()->body : "";
  }
  std::function<bool(std::uint64_t, const RaftMessage&)> should_drop = [](std::uint64_t,
                                                                          const RaftMessage&) {
    return false;
  };
  Duration latency{12};
  std::uint32_t voter_count = 0;
  std::size_t bytes_per_ms = 0;  // of each way between two; 0: no bound
  std::uint64_t chunk_bytes_sent() const {
    return chunk_bytes_sent_;
  }
  std::uint64_t sent() const {
    return sent_;
  }

  void flush(Node& node) {
    RaftNode::Output output = node.raft->take_output(now_);
    if (output.save)
      node.pending = std::move(output.save), node.save_due = now_ + node.save_time;
    for (auto& result : output.results)
      node.results[result.token] = result;
    for (auto& outgoing : output.messages) {
      const std::uint64_t number = ++sent_;
      if (cut_.contains(node.address) || cut_.contains(outgoing.to) ||
          cut_links_.contains({node.address, outgoing.to}) || should_drop(number, outgoing.message))
        continue;
      in_flight_.push_back(
          {leaves_at(node.address, outgoing) + latency, outgoing.to, std::move(outgoing.message)});
    }
  }

 private:
  // When its last byte is on the way: behind what was sent there before.
  TimePoint leaves_at(const std::string& from, const RaftNode::OutgoingMessage& outgoing) {
    const std::size_t bytes = outgoing.message.chunk ? outgoing.message.chunk->bytes.size() : 0;
    chunk_bytes_sent_ += bytes;
    if (!bytes_per_ms)
      return now_;
    TimePoint& free = free_[{from, outgoing.to}];
    free = std::max(free, now_) + std::chrono::microseconds((bytes + 200) * 1000 / bytes_per_ms);
    return free;
  }

  TimePoint now_ = TimePoint{} + 1000s;
  std::vector<std::string> founders_;
  std::map<std::string, Node> nodes_;
  std::deque<InFlight> in_flight_;
  std::set<std::string> cut_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::map<std::pair<std::string, std::string>, TimePoint> free_;
  std::uint64_t chunk_bytes_sent_ = 0;
  std::uint64_t last_seed_ = 0, token_ = 0, sent_ = 0;
};

}  // namespace saddlewing::tests
