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
      random_(options_.random_seed) {
  state_serial_ = entry_serial_ =
      1;  // what was loaded or founded is saved before anything else leaves
  reset_election_timer(now);
  if (!is_voter(persistent_.self))
    election_deadline_ = now;  // a newcomer asks at once
  next_due_ = now;
}

RaftMessage RaftNode::make_message(Type type) const {
  RaftMessage message;
  message.type = type;
  message.from = persistent_.self;
  message.address = options_.address;
  message.term = persistent_.current_term;
  message.last_log_term = persistent_.entry->term;
  message.last_log_index = persistent_.entry->index;
  return message;
}

void RaftNode::send(const std::string& to, RaftMessage message, bool is_durable) {
  pending_messages_.push_back({is_durable ? state_serial_ : 0, {to, std::move(message)}});
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
  return std::pair(message.last_log_term, message.last_log_index) >=
         std::pair(persistent_.entry->term, persistent_.entry->index);
}

void RaftNode::set_term(Term term, MemberId voted_for) {
  persistent_.current_term = term;
  persistent_.voted_for = voted_for;
  ++state_serial_;
}

void RaftNode::reset_election_timer(TimePoint now) {
  // Without a leader to wait for, an attempt costs nothing: the vote before the vote disturbs
  // nobody. Attempts that led nowhere wait longer: votes may take long on their way.
  const Duration minimum =
      leader_address_.empty()
          ? std::min(options_.election_timeout,
                     options_.heartbeat_interval / 2 * (1 << std::min(election_attempts_, 4)))
          : options_.election_timeout;
  const auto extra = static_cast<std::int64_t>(
      random_() %
      static_cast<std::uint64_t>(std::max(minimum, options_.heartbeat_interval * 2).count()));
  election_deadline_ = now + minimum + Duration(extra);
}

void RaftNode::fail_pending_requests() {
  for (const std::uint64_t token : in_flight_tokens_)
    results_.push_back({token, Outcome::failed, nullptr});
  for (const PendingProposal& proposal : pending_proposals_)
    results_.push_back({proposal.token, Outcome::failed, nullptr});
  for (const PendingRead& read : pending_reads_)
    results_.push_back({read.token, Outcome::failed, nullptr});
  in_flight_tokens_.clear();
  pending_proposals_.clear();
  pending_reads_.clear();
}

void RaftNode::become_follower(Term term, TimePoint now) {
  if (term > persistent_.current_term) {
    set_term(term, MemberId{});
    leader_id_ = {};
    leader_address_.clear();
  }
  if (role_ == Role::leader) {
    fail_pending_requests();
    peers_.clear();
    learners_.clear();
    recent_contents_.clear();
    delta_cache_.clear();
    is_replicating_ = false;
    leader_id_ = {};
    leader_address_.clear();
  }
  if (role_ != Role::follower)
    reset_election_timer(now);
  role_ = Role::follower;
}

void RaftNode::start_pre_vote(TimePoint now) {
  role_ = Role::pre_candidate;
  ++election_attempts_;
  leader_id_ = {};
  leader_address_.clear();
  votes_.clear();
  votes_[persistent_.self] = true;
  reset_election_timer(now);
  for (const Member& member : voters())
    if (member.id != persistent_.self) {
      RaftMessage message = make_message(Type::pre_vote);
      message.term.value = persistent_.current_term.value + 1;
      send(member.address, std::move(message), false);
    }
  count_votes(now);
}

void RaftNode::start_election(bool is_leadership_transfer, TimePoint now) {
  role_ = Role::candidate;
  leader_id_ = {};
  leader_address_.clear();
  votes_.clear();
  set_term(Term{persistent_.current_term.value + 1}, persistent_.self);
  reset_election_timer(now);
  for (const Member& member : voters())
    if (member.id != persistent_.self) {
      RaftMessage message = make_message(Type::request_vote);
      message.is_leadership_transfer = is_leadership_transfer;
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
    start_election(false, now);
  else if (role_ == Role::candidate)
    become_leader(now);
}

void RaftNode::become_leader(TimePoint now) {
  role_ = Role::leader;
  election_attempts_ = 0;
  leader_id_ = persistent_.self;
  leader_address_ = options_.address;
  peers_.clear();
  learners_.clear();
  in_flight_tokens_.clear();
  entry_started_.clear();
  recent_contents_.clear();
  retain_entry_content();
  // The leader before is silent since it was heard last, not since this one leads.
  if (last_leader_contact_ != TimePoint{} && is_voter(last_leader_id_) &&
      last_leader_id_ != persistent_.self)
    peers_[last_leader_id_].last_contact = last_leader_contact_;
  append_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
}

void RaftNode::set_entry(EntrySnapshot entry) {
  persistent_.entry = std::move(entry);
  entry_serial_ = ++state_serial_;
}

// Proposes the present state under a new index, with the newest waiting configuration and these
// members.
void RaftNode::append_entry(std::vector<Member> members, std::vector<Member> outgoing,
                            TimePoint now) {
  auto entry = std::make_shared<Entry>(*persistent_.entry);
  entry->term = persistent_.current_term;
  entry->index.value = persistent_.entry->index.value + 1;
  entry->members = std::move(members);
  entry->outgoing = std::move(outgoing);
  if (!entry->core_size)
    entry->core_size =
        std::max(options_.voter_count, static_cast<std::uint32_t>(entry->members.size()));
  for (PendingProposal& proposal : pending_proposals_) {
    if (!proposal.document.empty()) {
      entry->documents[proposal.document] = std::move(proposal.text);
    } else if (proposal.version > entry->version) {
      std::string& orders = entry->documents[orders_document];
      orders = record_order(orders, proposal.version, digest_of(proposal.body));
      entry->version = proposal.version;
      entry->body = std::move(proposal.body);
    }
    in_flight_tokens_.push_back(proposal.token);
  }
  pending_proposals_.clear();
  set_entry(std::move(entry));
  is_replicating_ = true;
  entry_started_[persistent_.entry->index] = now;
  while (entry_started_.size() > 256)
    entry_started_.erase(entry_started_.begin());
  retain_entry_content();
  std::map<MemberId, ReplicationProgress> kept;
  for (const Member& member : voters()) {
    if (member.id == persistent_.self)
      continue;
    const auto found = peers_.find(member.id);
    ReplicationProgress& peer = kept[member.id];
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
  broadcast_append_entries(now, false);
  advance_commit_index(now);
}

void RaftNode::propose_pending(TimePoint now) {
  if (role_ != Role::leader || is_replicating_ || pending_proposals_.empty())
    return;
  const bool is_newer = std::any_of(
      pending_proposals_.begin(), pending_proposals_.end(), [&](const PendingProposal& proposal) {
        return !proposal.document.empty() || proposal.version > persistent_.entry->version;
      });
  if (is_newer)
    return append_entry(persistent_.entry->members, persistent_.entry->outgoing, now);
  for (const PendingProposal& proposal : pending_proposals_)
    results_.push_back({proposal.token, Outcome::done, nullptr});
  pending_proposals_.clear();
}

void RaftNode::advance_commit_index(TimePoint now) {
  if (role_ != Role::leader || !is_replicating_)
    return;
  const Index newest = persistent_.entry->index;
  const bool is_replicated = is_quorum([&](MemberId id) {
    if (id == persistent_.self)
      return saved_serial_ >= entry_serial_;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.match_index == newest;
  });
  if (!is_replicated)
    return;
  is_replicating_ = false;
  committed_ = persistent_.entry;
  for (const std::uint64_t token : in_flight_tokens_)
    results_.push_back({token, Outcome::done, nullptr});
  in_flight_tokens_.clear();
  broadcast_append_entries(now, true);
  // A joint entry is followed by one of the new members alone; nothing is waited for in between.
  if (!committed_->outgoing.empty())
    return append_entry(committed_->members, {}, now);
  if (!is_voter(persistent_.self))
    return transfer_leadership(now);
  // Members change also while one change of the configuration follows another.
  maintain_membership(now);
  propose_pending(now);
}

bool RaftNode::has_quorum_contact(TimePoint since) const {
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
    return has_quorum_contact(now - options_.election_timeout) &&
           committed_->term == persistent_.current_term;
  return !leader_address_.empty() && now - last_confirmed_contact_ < options_.election_timeout;
}

TimePoint RaftNode::lease_until() const {
  if (role_ != Role::leader || !committed_ || committed_->term != persistent_.current_term)
    return {};
  const auto until = [&](const std::vector<Member>& members) {
    std::vector<TimePoint>
        answered;  // when the beats left that members answered last, the newest first
    for (const Member& member : members) {
      const auto peer = peers_.find(member.id);
      if (member.id == persistent_.self)
        answered.push_back(TimePoint::max() - options_.election_timeout);
      else if (peer != peers_.end() && peer->second.lease_start != TimePoint{})
        answered.push_back(peer->second.lease_start);
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    return answered.size() <= members.size() / 2
               ? TimePoint{}
               : answered[members.size() / 2] + options_.election_timeout;
  };
  const Entry& entry = *persistent_.entry;
  return entry.outgoing.empty() ? until(entry.members)
                                : std::min(until(entry.members), until(entry.outgoing));
}

void RaftNode::propose(Version version, std::string body, std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Outcome::failed, nullptr});
  pending_proposals_.push_back({version, std::move(body), token, {}, {}});
  propose_pending(now);
}

void RaftNode::propose_document(std::string name, std::string text, std::uint64_t token,
                                TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Outcome::failed, nullptr});
  pending_proposals_.push_back({{}, {}, token, std::move(name), std::move(text)});
  propose_pending(now);
}

void RaftNode::read_index(std::uint64_t token, TimePoint now) {
  if (role_ != Role::leader)
    return results_.push_back({token, Outcome::failed, nullptr});
  pending_reads_.push_back({token, heartbeat_round_ + 1});
  broadcast_append_entries(now, true);
  answer_confirmed_reads();
}

void RaftNode::answer_confirmed_reads() {
  if (role_ != Role::leader || !committed_ || committed_->term != persistent_.current_term)
    return;
  std::erase_if(pending_reads_, [&](const PendingRead& read) {
    const bool is_answered = is_quorum([&](MemberId id) {
      if (id == persistent_.self)
        return true;
      const auto peer = peers_.find(id);
      return peer != peers_.end() && peer->second.heartbeat_round >= read.heartbeat_round;
    });
    if (!is_answered)
      return false;
    results_.push_back({read.token, Outcome::done, committed_});
    return true;
  });
}

// Gives the lead to the voter that holds most, at once.
void RaftNode::transfer_leadership(TimePoint now) {
  if (role_ != Role::leader)
    return;
  const ReplicationProgress* successor = nullptr;
  const auto rank = [&](const ReplicationProgress& peer) {
    return std::tuple(now - peer.leave_requested > options_.election_timeout,
                      now - peer.last_contact < options_.election_timeout, peer.match_index,
                      peer.last_contact);
  };
  for (const Member& member : persistent_.entry->members)
    if (const auto found = peers_.find(member.id);
        found != peers_.end() && (!successor || rank(found->second) > rank(*successor)))
      successor = &found->second;
  if (successor)
    send(successor->address, make_message(Type::timeout_now), false);
  become_follower(persistent_.current_term, now);
  election_deadline_ = now + options_.election_timeout * 3;
}

void RaftNode::tick(TimePoint now) {
  const bool is_stuck = save_started_ && now - *save_started_ > options_.disk_stall_timeout;
  if (role_ == Role::leader) {
    if (is_stuck)
      transfer_leadership(now);
    else if (!has_quorum_contact(now - options_.election_timeout * 2))
      become_follower(persistent_.current_term, now);
  }
  maintain_leaving_voters(now);
  if (role_ == Role::leader) {
    maintain_membership(now);
    if (now >= next_heartbeat_)
      broadcast_append_entries(now, true);
    next_due_ = next_heartbeat_;
    return;
  }
  // If nobody leads that it could learn from, whoever was told so tries again: the vote before the
  // vote disturbs no leader.
  if (is_removed_ && now - removed_at_ > options_.election_timeout * 4)
    is_removed_ = false;
  const bool may_lead = is_voter(persistent_.self) && !is_removed_ && !leaving_since_;
  if (now >= election_deadline_) {
    if (may_lead && !is_stuck) {
      start_pre_vote(now);
    } else {
      reset_election_timer(now);
    }
  }
  next_due_ = election_deadline_;
  if (may_lead || leaving_since_)
    return;
  // A learner is known to its leader alone: the next one hears of it as soon as it leads.
  const TimePoint ask_due = std::max(last_leader_contact_ + options_.heartbeat_interval * 3,
                                     last_join_request_ + options_.heartbeat_interval * 2);
  if (now >= ask_due)
    request_join(now);
  next_due_ = std::min(next_due_, now >= ask_due ? now + options_.heartbeat_interval * 2 : ask_due);
}

void RaftNode::handle_save_result(std::uint64_t serial, bool is_saved, TimePoint now) {
  save_started_.reset();
  is_save_failing_ = !is_saved;
  if (!is_saved) {
    save_retry_ = now + 300ms;
    if (role_ == Role::leader)
      transfer_leadership(now);
    return;
  }
  saved_serial_ = std::max(saved_serial_, serial);
  if (role_ == Role::candidate && persistent_.voted_for == persistent_.self &&
      saved_serial_ >= state_serial_) {
    votes_[persistent_.self] = true;
    count_votes(now);
  }
  advance_commit_index(now);
}

RaftNode::Output RaftNode::take_output(TimePoint now) {
  Output output;
  if (state_serial_ > saved_serial_ && !save_started_ && now >= save_retry_) {
    save_started_ = now;
    output.save = Save{state_serial_, persistent_};
  }
  std::erase_if(pending_messages_, [&](PendingMessage& pending) {
    if (pending.required_save > saved_serial_)
      return pending.outgoing.message.term <
             persistent_.current_term;  // a stale promise is worth nothing
    output.messages.push_back(std::move(pending.outgoing));
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
