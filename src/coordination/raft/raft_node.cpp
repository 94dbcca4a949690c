#include "coordination/raft/raft_node.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "coordination/raft/pending_calls.h"

namespace saddlewing {

using Type = RaftMessage::Type;

RaftNode::RaftNode(PersistentState persistent, RaftOptions options,
                   std::vector<std::string> contacts, TimePoint now)
    : persistent_(std::move(persistent)),
      options_(std::move(options)),
      contacts_(std::move(contacts)),
      draw_(options_.draw) {
  serial_ = entry_serial_ = 1;  // what was loaded or founded is saved before anything else leaves
  set_election(now);
  if (!is_voter(persistent_.self))
    election_ = now;  // a newcomer asks at once
  due_ = now;
}

RaftMessage RaftNode::make(Type type) const {
  RaftMessage message;
  message.type = type;
  message.from = persistent_.self;
  message.address = options_.address;
  message.term = persistent_.term;
  message.entry_term = persistent_.entry->term;
  message.entry_index = persistent_.entry->index;
  return message;
}

void RaftNode::send(const std::string& to, RaftMessage message, bool is_durable) {
  held_.push_back({is_durable ? serial_ : 0, {to, std::move(message)}});
}

bool RaftNode::is_voter(const Entry& entry, MemberId id) {
  const auto is_in = [&](const std::vector<Member>& members) {
    return std::any_of(members.begin(), members.end(),
                       [&](const Member& member) { return member.id == id; });
  };
  return is_in(entry.members) || is_in(entry.outgoing);
}

std::vector<Member> RaftNode::voters() const {
  std::vector<Member> all = persistent_.entry->members;
  for (const Member& member : persistent_.entry->outgoing)
    if (std::none_of(all.begin(), all.end(),
                     [&](const Member& one) { return one.id == member.id; }))
      all.push_back(member);
  return all;
}

bool RaftNode::is_newer_or_same(const RaftMessage& message) const {
  return std::pair(message.entry_term, message.entry_index) >=
         std::pair(persistent_.entry->term, persistent_.entry->index);
}

void RaftNode::change_term(Term term, MemberId vote) {
  persistent_.term = term;
  persistent_.vote = vote;
  ++serial_;
}

void RaftNode::set_election(TimePoint now) {
  // Without a leader to wait for, an attempt costs nothing: the vote before the vote disturbs
  // nobody. Attempts that led nowhere wait longer: votes may take long on their way.
  const Duration minimum =
      leader_.empty()
          ? std::min(options_.election, options_.heartbeat / 2 * (1 << std::min(attempts_, 4)))
          : options_.election;
  const auto extra = static_cast<std::int64_t>(
      draw_() % static_cast<std::uint64_t>(std::max(minimum, options_.heartbeat * 2).count()));
  election_ = now + minimum + Duration(extra);
}

void RaftNode::fail_all() {
  for (const std::uint64_t token : attached_)
    results_.push_back({token, Verdict::failed, nullptr});
  for (const Waiting& waiting : waiting_)
    results_.push_back({waiting.token, Verdict::failed, nullptr});
  for (const Read& read : reads_)
    results_.push_back({read.token, Verdict::failed, nullptr});
  attached_.clear();
  waiting_.clear();
  reads_.clear();
}

void RaftNode::follow(Term term, TimePoint now) {
  if (term > persistent_.term) {
    change_term(term, MemberId{});
    leader_id_ = {};
    leader_.clear();
  }
  if (role_ == Role::leader) {
    fail_all();
    peers_.clear();
    learners_.clear();
    contents_.clear();
    changes_.clear();
    is_under_way_ = false;
    leader_id_ = {};
    leader_.clear();
  }
  if (role_ != Role::follower)
    set_election(now);
  role_ = Role::follower;
}

void RaftNode::start_pre_candidate(TimePoint now) {
  role_ = Role::pre_candidate;
  ++attempts_;
  leader_id_ = {};
  leader_.clear();
  votes_.clear();
  votes_[persistent_.self] = true;
  set_election(now);
  for (const Member& member : voters())
    if (member.id != persistent_.self) {
      RaftMessage message = make(Type::pre_vote);
      message.term.value = persistent_.term.value + 1;
      send(member.address, std::move(message), false);
    }
  count_votes(now);
}

void RaftNode::start_candidate(bool is_transfer, TimePoint now) {
  role_ = Role::candidate;
  leader_id_ = {};
  leader_.clear();
  votes_.clear();
  change_term(Term{persistent_.term.value + 1}, persistent_.self);
  set_election(now);
  for (const Member& member : voters())
    if (member.id != persistent_.self) {
      RaftMessage message = make(Type::vote);
      message.is_transfer = is_transfer;
      send(member.address, std::move(message), true);
    }
}

void RaftNode::count_votes(TimePoint now) {
  const auto is_granted = [&](MemberId id) {
    const auto vote = votes_.find(id);
    return vote != votes_.end() && vote->second;
  };
  if (!is_quorum(is_granted))
    return;
  if (role_ == Role::pre_candidate)
    start_candidate(false, now);
  else if (role_ == Role::candidate)
    start_leader(now);
}

void RaftNode::start_leader(TimePoint now) {
  role_ = Role::leader;
  attempts_ = 0;
  leader_id_ = persistent_.self;
  leader_ = options_.address;
  peers_.clear();
  learners_.clear();
  attached_.clear();
  started_.clear();
  contents_.clear();
  keep_content();
  // The leader before is silent since it was heard last, not since this one leads.
  if (last_leader_contact_ != TimePoint{} && is_voter(previous_leader_id_) &&
      previous_leader_id_ != persistent_.self)
    peers_[previous_leader_id_].last_contact = last_leader_contact_;
  start_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
}

void RaftNode::set_entry(EntrySnapshot entry) {
  persistent_.entry = std::move(entry);
  entry_serial_ = ++serial_;
}

// Proposes the present state under a new index, with the newest waiting configuration and these
// members.
void RaftNode::start_entry(std::vector<Member> members, std::vector<Member> outgoing,
                           TimePoint now) {
  auto entry = std::make_shared<Entry>(*persistent_.entry);
  entry->term = persistent_.term;
  entry->index.value = persistent_.entry->index.value + 1;
  entry->members = std::move(members);
  entry->outgoing = std::move(outgoing);
  if (!entry->core_size)
    entry->core_size = std::max(options_.voters, static_cast<std::uint32_t>(entry->members.size()));
  for (Waiting& waiting : waiting_) {
    if (!waiting.document.empty()) {
      entry->documents[waiting.document] = std::move(waiting.text);
    } else if (waiting.version > entry->version) {
      std::string& orders = entry->documents[orders_document];
      orders = record_order(orders, waiting.version, digest_of(waiting.body));
      entry->version = waiting.version;
      entry->body = std::move(waiting.body);
    }
    attached_.push_back(waiting.token);
  }
  waiting_.clear();
  set_entry(std::move(entry));
  is_under_way_ = true;
  started_[persistent_.entry->index] = now;
  while (started_.size() > 256)
    started_.erase(started_.begin());
  keep_content();
  std::map<MemberId, Peer> kept;
  for (const Member& member : voters()) {
    if (member.id == persistent_.self)
      continue;
    const auto found = peers_.find(member.id);
    Peer& peer = kept[member.id];
    if (found != peers_.end())
      peer = std::move(found->second);
    else
      peer.last_contact = now;
    peer.address = member.address;
    learners_.erase(member.id);
  }
  for (const auto& [id, last_contact] : learners_)
    if (const auto found = peers_.find(id); found != peers_.end() && !kept.contains(id))
      kept[id] = std::move(found->second);
  peers_ = std::move(kept);
  broadcast(now, false);
  check_commit(now);
}

void RaftNode::start_waiting(TimePoint now) {
  if (role_ != Role::leader || is_under_way_ || waiting_.empty())
    return;
  const bool is_newer = std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& waiting) {
    return !waiting.document.empty() || waiting.version > persistent_.entry->version;
  });
  if (is_newer)
    return start_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
  for (const Waiting& waiting : waiting_)
    results_.push_back({waiting.token, Verdict::done, nullptr});
  waiting_.clear();
}

void RaftNode::check_commit(TimePoint now) {
  if (role_ != Role::leader || !is_under_way_)
    return;
  const Index newest = persistent_.entry->index;
  const bool is_held = is_quorum([&](MemberId id) {
    if (id == persistent_.self)
      return saved_ >= entry_serial_;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.matched == newest;
  });
  if (!is_held)
    return;
  is_under_way_ = false;
  committed_ = persistent_.entry;
  for (const std::uint64_t token : attached_)
    results_.push_back({token, Verdict::done, nullptr});
  attached_.clear();
  broadcast(now, true);
  // A joint entry is followed by one of the new members alone; nothing is waited for in between.
  if (!committed_->outgoing.empty())
    return start_entry(committed_->members, {}, now);
  if (!is_voter(persistent_.self))
    return transfer(now);
  // Members change also while one change of the configuration follows another.
  maintain_membership(now);
  start_waiting(now);
}

bool RaftNode::hears_quorum(TimePoint since) const {
  return is_quorum([&](MemberId id) {
    if (id == persistent_.self)
      return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.last_contact >= since;
  });
}

bool RaftNode::is_confirmed(TimePoint now) const {
  if (!committed_)
    return false;
  if (role_ == Role::leader)
    return hears_quorum(now - options_.election) && committed_->term == persistent_.term;
  return !leader_.empty() && now - last_confirmed_contact_ < options_.election;
}

TimePoint RaftNode::lease_until() const {
  if (role_ != Role::leader || !committed_ || committed_->term != persistent_.term)
    return {};
  const auto until = [&](const std::vector<Member>& members) {
    std::vector<TimePoint>
        answered;  // when the beats left that members answered last, the newest first
    for (const Member& member : members) {
      const auto peer = peers_.find(member.id);
      if (member.id == persistent_.self)
        answered.push_back(TimePoint::max() - options_.election);
      else if (peer != peers_.end() && peer->second.leased != TimePoint{})
        answered.push_back(peer->second.leased);
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    return answered.size() <= members.size() / 2 ? TimePoint{}
                                                 : answered[members.size() / 2] + options_.election;
  };
  const Entry& entry = *persistent_.entry;
  return entry.outgoing.empty() ? until(entry.members)
                                : std::min(until(entry.members), until(entry.outgoing));
}

void RaftNode::propose(Version version, std::string body, std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Verdict::failed, nullptr});
  waiting_.push_back({version, std::move(body), token, {}, {}});
  start_waiting(now);
}

void RaftNode::propose_document(std::string name, std::string text, std::uint64_t token,
                                TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Verdict::failed, nullptr});
  waiting_.push_back({{}, {}, token, std::move(name), std::move(text)});
  start_waiting(now);
}

void RaftNode::read_index(std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Verdict::failed, nullptr});
  reads_.push_back({token, round_ + 1});
  broadcast(now, true);
  check_reads();
}

void RaftNode::check_reads() {
  if (role_ != Role::leader || !committed_ || committed_->term != persistent_.term)
    return;
  std::erase_if(reads_, [&](const Read& read) {
    const bool is_answered = is_quorum([&](MemberId id) {
      if (id == persistent_.self)
        return true;
      const auto peer = peers_.find(id);
      return peer != peers_.end() && peer->second.round >= read.round;
    });
    if (!is_answered)
      return false;
    results_.push_back({read.token, Verdict::done, committed_});
    return true;
  });
}

// Gives the lead to the voter that holds most, at once.
void RaftNode::transfer(TimePoint now) {
  if (role_ != Role::leader)
    return;
  const Peer* heir = nullptr;
  const auto rank = [&](const Peer& peer) {
    return std::tuple(now - peer.leaving > options_.election,
                      now - peer.last_contact < options_.election, peer.matched, peer.last_contact);
  };
  for (const Member& member : persistent_.entry->members)
    if (const auto found = peers_.find(member.id);
        found != peers_.end() && (!heir || rank(found->second) > rank(*heir)))
      heir = &found->second;
  if (heir)
    send(heir->address, make(Type::transfer), false);
  follow(persistent_.term, now);
  election_ = now + options_.election * 3;
}

void RaftNode::tick(TimePoint now) {
  const bool is_stuck = save_started_ && now - *save_started_ > options_.stuck;
  if (role_ == Role::leader) {
    if (is_stuck)
      transfer(now);
    else if (!hears_quorum(now - options_.election * 2))
      follow(persistent_.term, now);
  }
  maintain_leaving_voters(now);
  if (role_ == Role::leader) {
    maintain_membership(now);
    if (now >= heartbeat_due_)
      broadcast(now, true);
    due_ = heartbeat_due_;
    return;
  }
  // If nobody leads that it could learn from, whoever was told so tries again: the vote before the
  // vote disturbs no leader.
  if (is_removed_ && now - removed_at_ > options_.election * 4)
    is_removed_ = false;
  const bool may_lead = is_voter(persistent_.self) && !is_removed_ && !leaving_since_;
  if (now >= election_) {
    if (may_lead && !is_stuck) {
      start_pre_candidate(now);
    } else {
      set_election(now);
    }
  }
  due_ = election_;
  if (may_lead || leaving_since_)
    return;
  // A learner is known to its leader alone: the next one hears of it as soon as it leads.
  const TimePoint ask_due =
      std::max(last_leader_contact_ + options_.heartbeat * 3, join_asked_ + options_.heartbeat * 2);
  if (now >= ask_due)
    ask_to_join(now);
  due_ = std::min(due_, now >= ask_due ? now + options_.heartbeat * 2 : ask_due);
}

void RaftNode::finish_save(std::uint64_t serial, bool is_saved, TimePoint now) {
  save_started_.reset();
  is_save_failing_ = !is_saved;
  if (!is_saved) {
    save_retry_ = now + 300ms;
    if (role_ == Role::leader)
      transfer(now);
    return;
  }
  saved_ = std::max(saved_, serial);
  if (role_ == Role::candidate && persistent_.vote == persistent_.self && saved_ >= serial_) {
    votes_[persistent_.self] = true;
    count_votes(now);
  }
  check_commit(now);
}

RaftNode::Output RaftNode::take(TimePoint now) {
  Output output;
  if (serial_ > saved_ && !save_started_ && now >= save_retry_) {
    save_started_ = now;
    output.save = Save{serial_, persistent_};
  }
  std::erase_if(held_, [&](Held& held) {
    if (held.need > saved_)
      return held.outgoing.message.term < persistent_.term;  // a stale promise is worth nothing
    output.messages.push_back(std::move(held.outgoing));
    return true;
  });
  output.results.swap(results_);
  return output;
}

std::vector<std::string> RaftNode::known_addresses() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& address) {
    if (address != options_.address &&
        std::find(addresses.begin(), addresses.end(), address) == addresses.end())
      addresses.push_back(address);
  };
  for (const Member& member : voters())
    add(member.address);
  for (const std::string& contact : contacts_)
    add(contact);
  return addresses;
}

}  // namespace saddlewing
