#include "model_explore.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "coordination/raft/raft_node.h"
#include "model_checks.h"
#include "model_probe.h"
#include "protocol/frame.h"
#include "protocol/raft_messages.h"

namespace saddlewing::model {

namespace {

std::uint64_t mix(std::uint64_t digest, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, digest);
}
std::uint64_t mix(std::uint64_t digest, const std::string& text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), digest);
}

struct Node {
  std::unique_ptr<RaftNode> raft;
  PersistentState disk, disk_before;
  std::optional<RaftNode::Save> pending;
  TimePoint now = TimePoint{} + 1000s;
  std::uint64_t incarnation = 0, digest = 0;
  EntrySnapshot noted;

  Node() = default;
  Node(const Node& other)
      : raft(std::make_unique<RaftNode>(*other.raft)),
        disk(other.disk),
        disk_before(other.disk_before),
        pending(other.pending),
        now(other.now),
        incarnation(other.incarnation),
        digest(other.digest),
        noted(other.noted) {
  }
};

struct Letter {
  std::size_t from = 0, to = 0;
  std::uint64_t digest = 0;
  std::shared_ptr<const RaftMessage> message;
};

struct State {
  std::vector<std::shared_ptr<const Node>> nodes;
  std::vector<Letter> letters;
  Ledger ledger;
  History history;
  int timeouts = 0, crashes = 0, doublings = 0, overtakings = 0, breaks = 0, orders = 0, reads = 0;
};

constexpr std::uint64_t sampled = 16;  // one merged state in so many is looked at again

constexpr Duration far{2200}, near{151};  // of a clock that runs on; the longest wait is 2,100 ms,
                                          // after a transfer of the lead

struct Seen {
  std::size_t operator()(std::uint64_t digest) const {
    return digest;
  }
};

class Explorer {
 public:
  explicit Explorer(const Bounds& bounds) : bounds_(bounds) {
  }

  Explored run() {
    State state;
    auto entry = std::make_shared<Entry>();
    for (int number = 0; number < bounds_.members; ++number) {
      addresses_.push_back("10.0.0." + std::to_string(number + 1) + ":7");
      entry->members.push_back(
          {MemberId{static_cast<std::uint64_t>(number) + 1}, addresses_.back()});
    }
    for (std::size_t number = 0; number < addresses_.size(); ++number) {
      Node node;
      node.disk = node.disk_before = {MemberId{number + 1}, {}, {}, entry};
      state.nodes.push_back(nullptr);
      start(state, number, node);
      // Founded: the first save is over, and the first look at the clock too.
      while (node.pending)
        end_save(state, number, node);
      state.nodes[number] = std::make_shared<Node>(node);
    }
    explored_.is_complete = exchange(state);
    explored_.states = seen_.size();
    return std::move(explored_);
  }

 private:
  using Change = std::function<void(State&)>;

  // False: it was broken off.
  bool exchange(const State& state) {
    if (state.ledger.found()) {
      explored_.found = state.ledger.found();
      explored_.path = path_;
      return false;
    }
    const std::uint64_t digest = digest_of(state);
    if (!seen_.insert(digest).second)
      return compare(state, digest);
    explored_.depth = std::max(explored_.depth, path_.size());
    if (seen_.size() >= bounds_.max_states)
      return false;
    std::uint64_t followers = 0;
    const auto follow = [&](std::string text, const Change& change) {
      ++explored_.moves;
      State next = state;
      change(next);
      followers += digest_of(next);
      path_.push_back(std::move(text));
      const bool is_complete = exchange(next);
      path_.pop_back();
      return is_complete;
    };
    if (!visit_moves(state, follow))
      return false;
    if (digest % sampled == 0)
      followers_[digest] = followers;
    return true;
  }

  // States that look the same must go on the same: else the digest leaves something out. Done for a
  // sample.
  bool compare(const State& state, std::uint64_t digest) {
    const auto found = followers_.find(digest);
    if (found == followers_.end())
      return true;
    std::uint64_t followers = 0;
    visit_moves(state, [&](const std::string&, const Change& change) {
      State next = state;
      change(next);
      followers += digest_of(next);
      return true;
    });
    ++explored_.compared;
    if (followers == found->second)
      return true;
    explored_.found = Violation{
        "states told apart",
        "two states of one digest go on differently: model_probe.h leaves out something", 0};
    explored_.path = path_;
    return false;
  }

  template <class F>
  bool visit_moves(const State& state, const F& follow) {
    for (std::size_t number = 0; number < state.nodes.size(); ++number)
      if (!visit_node(state, number, follow))
        return false;
    std::unordered_set<std::uint64_t> tried;
    std::set<std::pair<std::size_t, std::size_t>> links;
    for (std::size_t position = 0; position < state.letters.size(); ++position) {
      const Letter& letter = state.letters[position];
      const bool is_first = links.emplace(letter.from, letter.to).second;
      if (!is_first && (state.overtakings >= bounds_.overtakings ||
                        !tried.insert(mix(letter.digest, letter.to)).second))
        continue;
      if (is_first)
        tried.insert(mix(letter.digest, letter.to));
      const RaftMessage& message = *letter.message;
      const std::string text =
          "message " + std::to_string(static_cast<int>(message.type)) + " of " +
          std::to_string(message.from.value) + " in term " + std::to_string(message.term.value) +
          " reaches " + std::to_string(letter.to + 1) + (message.is_granted ? ", granted" : "");
      const auto deliver = [&](State& next) {
        Node node = *next.nodes[letter.to];
        RaftMessage copy = message;
        if (bounds_.planted == Planted::lower_term_obeyed &&
            copy.type == RaftMessage::Type::append_entries && copy.term < node.raft->term())
          obey_lower_term(copy, node.raft->term());
        node.raft->receive(copy, node.now);
        settle(next, letter.to, node);
      };
      if (!follow(text, [&](State& next) {
            next.overtakings += !is_first;
            next.letters.erase(next.letters.begin() + static_cast<std::ptrdiff_t>(position));
            deliver(next);
          }))
        return false;
      if (is_first && state.breaks < bounds_.breaks &&
          !follow("the link from " + std::to_string(letter.from + 1) + " to " +
                      std::to_string(letter.to + 1) + " breaks",
                  [&](State& next) {
                    ++next.breaks;
                    std::erase_if(next.letters, [&](const Letter& other) {
                      return other.from == letter.from && other.to == letter.to;
                    });
                  }))
        return false;
      if (state.doublings < bounds_.doublings &&
          !follow(text + ", and comes again", [&](State& next) {
            ++next.doublings;
            deliver(next);
          }))
        return false;
    }
    return true;
  }

  template <class F>
  bool visit_node(const State& state, std::size_t number, const F& follow) {
    const Node& present = *state.nodes[number];
    const std::string name = std::to_string(number + 1);
    if (present.pending && !follow("save of " + name + " ends", [&](State& next) {
          Node node = *next.nodes[number];
          end_save(next, number, node);
        }))
      return false;
    // Far: whatever was drawn is over, and a leader that heard nobody steps down. Near, for a
    // leader: its beat.
    for (const Duration span : {far, near}) {
      if (state.timeouts >= bounds_.timeouts || (span == near && !present.raft->is_leader()))
        continue;
      if (!follow("clock of " + name + (span == far ? " runs on far" : " runs on to its beat"),
                  [&](State& next) {
                    ++next.timeouts;
                    Node node = *next.nodes[number];
                    node.now += span;
                    settle(next, number, node);
                  }))
        return false;
    }
    for (int is_kept = 0; state.crashes < bounds_.crashes && is_kept < (present.pending ? 2 : 1);
         ++is_kept)
      if (!follow(name + " crashes and starts" + (is_kept ? ", its last save was kept" : ""),
                  [&](State& next) {
                    ++next.crashes;
                    Node node = *next.nodes[number];
                    if (is_kept)
                      node.disk = node.pending->persistent;
                    else if (bounds_.planted == Planted::folder_sync_left_out)
                      node.disk = node.disk_before;
                    start(next, number, node);
                  }))
        return false;
    if (!present.raft->is_leader())
      return true;
    if (state.orders < bounds_.orders && !follow(name + " is given an order", [&](State& next) {
          const std::int64_t version = ++next.orders;
          Node node = *next.nodes[number];
          const std::size_t call = next.history.start(false, version);
          node.raft->propose(Version{version}, std::to_string(call), call + 1, node.now);
          settle(next, number, node);
        }))
      return false;
    return state.reads >= bounds_.reads || follow(name + " is asked", [&](State& next) {
             ++next.reads;
             Node node = *next.nodes[number];
             const std::size_t call = next.history.start(true, 0);
             const EntrySnapshot& committed = node.raft->committed();
             if (bounds_.planted == Planted::read_without_majority && committed) {
               next.history.finish_read(call, committed->version.value, committed->body);
               check(next);
             } else {
               node.raft->read_index(call + 1, node.now);
             }
             settle(next, number, node);
           });
  }

  void start(State& state, std::size_t number, Node& node) {
    ++node.incarnation;
    node.pending.reset();
    node.noted = nullptr;
    if (node.incarnation > 1) {
      if (bounds_.planted == Planted::vote_forgotten)
        node.disk.voted_for = {};
      if (bounds_.planted == Planted::wiped_under_old_id)
        node.disk = {node.disk.self, {}, {}, std::make_shared<Entry>()};
      if (bounds_.planted == Planted::snapshot_without_term && node.disk.entry->index.value) {
        auto entry = std::make_shared<Entry>(*node.disk.entry);
        entry->term = {};
        node.disk.entry = std::move(entry);
      }
    }
    node.disk_before = node.disk;
    RaftOptions options;
    options.address = addresses_[number];
    options.random_seed = number * 100 + node.incarnation;
    node.raft = std::make_unique<RaftNode>(node.disk, options, addresses_, node.now);
    settle(state, number, node);
  }

  void end_save(State& state, std::size_t number, Node& node) {
    const std::uint64_t serial = node.pending->serial;
    node.disk_before = node.disk;
    node.disk = node.pending->persistent;
    node.pending.reset();
    if (bounds_.planted != Planted::answer_before_sync)
      node.raft->handle_save_result(serial, true, node.now);
    settle(state, number, node);
  }

  // What the core's loop does after each event, and what comes of it.
  void settle(State& state, std::size_t number, Node& node) {
    node.raft->tick(node.now);
    for (bool is_early = true; is_early;) {
      is_early = false;
      RaftNode::Output output = node.raft->take_output(node.now);
      const EntrySnapshot& committed = node.raft->committed();
      if (node.raft->is_leader())
        state.ledger.lead(node.raft->term(), node.raft->self(), node.incarnation);
      if (committed && committed != node.noted) {
        if (node.noted && std::pair(committed->term, committed->index) <
                              std::pair(node.noted->term, node.noted->index))
          state.ledger.fail("no node goes back", "node " + std::to_string(number + 1));
        state.ledger.commit(*committed);
        node.noted = committed;
      }
      for (RaftNode::OutgoingMessage& outgoing : output.messages) {
        const auto to = std::find(addresses_.begin(), addresses_.end(), outgoing.to);
        if (to == addresses_.end())
          continue;
        const std::uint64_t digest =
            mix(0, encode(FrameHead{FrameKind::raft, {}, {}}, outgoing.message));
        state.letters.push_back({number, static_cast<std::size_t>(to - addresses_.begin()), digest,
                                 std::make_shared<RaftMessage>(std::move(outgoing.message))});
      }
      for (const RaftNode::Result& result : output.results) {
        if (result.outcome != RaftNode::Outcome::done)
          continue;
        const std::size_t call = result.token - 1;
        if (result.state) {
          state.history.finish_read(call, result.state->version.value, result.state->body);
        } else {
          state.history.finish_write(call);
          state.ledger.acknowledge(Version{state.history.version_of(call)});
        }
        check(state);
      }
      if (!output.save)
        continue;
      node.pending = std::move(output.save);
      if (bounds_.planted != Planted::answer_before_sync)
        continue;
      node.raft->handle_save_result(node.pending->serial, true, node.now);
      is_early = true;
    }
    node.digest = mix(RaftNodeProbe::look(*node.raft, node.now), node.incarnation);
    node.digest = mix(node.digest, encode_persistent_state(node.disk));
    if (bounds_.planted != Planted::none)
      node.digest = mix(node.digest, encode_persistent_state(node.disk_before));
    node.digest = mix(node.digest, node.pending ? node.pending->serial + 1 : 0);
    state.nodes[number] = std::make_shared<Node>(node);
  }

  static void check(State& state) {
    if (const std::string text = state.history.check(); !text.empty())
      state.ledger.fail("linearizable", text);
  }

  static std::uint64_t digest_of(const State& state) {
    std::uint64_t digest = mix(state.ledger.digest(), state.history.digest());
    for (const auto& node : state.nodes)
      digest = mix(digest, node->digest);
    std::vector<std::uint64_t> links(state.nodes.size() *
                                     state.nodes.size());  // between links there is no order
    for (const Letter& letter : state.letters) {
      std::uint64_t& link = links[letter.from * state.nodes.size() + letter.to];
      link = mix(link, letter.digest);
    }
    for (const std::uint64_t link : links)
      digest = mix(digest, link);
    for (const int count : {state.timeouts, state.crashes, state.doublings, state.overtakings,
                            state.breaks, state.orders, state.reads})
      digest = mix(digest, static_cast<std::uint64_t>(count));
    return digest;
  }

  Bounds bounds_;
  std::vector<std::string> addresses_;
  std::unordered_set<std::uint64_t, Seen> seen_;
  std::unordered_map<std::uint64_t, std::uint64_t>
      followers_;  // of the sample: what its next states add up to
  std::vector<std::string> path_;
  Explored explored_;
};

}  // namespace

bool can_explore(Planted planted) {
  switch (planted) {
    case Planted::answer_before_sync:
    case Planted::vote_forgotten:
    case Planted::read_without_majority:
    case Planted::lower_term_obeyed:
    case Planted::snapshot_without_term:
    case Planted::folder_sync_left_out:
    case Planted::wiped_under_old_id:
      return true;
    default:
      return false;
  }
}

Explored explore(const Bounds& bounds) {
  return Explorer(bounds).run();
}

}  // namespace saddlewing::model
