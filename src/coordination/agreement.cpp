#include "coordination/agreement.h"

#include <algorithm>

namespace saddlewing {

using Type = RaftMessage::Type;

Agreement::Agreement(Durable durable, AgreementOptions options, std::vector<std::string> contacts, Moment now)
    : durable_(std::move(durable)), options_(std::move(options)), contacts_(std::move(contacts)), draw_(options_.draw) {
  serial_ = entry_serial_ = 1;  // what was loaded or founded is saved before anything else leaves
  set_election(now);
  if (!is_member(durable_.self)) election_ = now;  // a newcomer asks at once
  due_ = now;
}

RaftMessage Agreement::make(Type type) const {
  RaftMessage message;
  message.type = type;
  message.from = durable_.self;
  message.address = options_.address;
  message.term = durable_.term;
  message.entry_term = durable_.entry->term;
  message.entry_index = durable_.entry->index;
  return message;
}

void Agreement::send(const std::string& to, RaftMessage message, bool is_durable) {
  held_.push_back({is_durable ? serial_ : 0, {to, std::move(message)}});
}

bool Agreement::is_member(MemberId id) const {
  const auto& members = durable_.entry->members;
  return std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.id == id; });
}

bool Agreement::is_newer_or_same(const RaftMessage& message) const {
  return std::pair(message.entry_term, message.entry_index) >= std::pair(durable_.entry->term, durable_.entry->index);
}

void Agreement::change_term(Term term, MemberId vote) {
  durable_.term = term;
  durable_.vote = vote;
  ++serial_;
}

void Agreement::set_election(Moment now) {
  // Without a leader to wait for, an attempt costs nothing: the vote before the vote disturbs nobody.
  // Attempts that led nowhere wait longer: votes may take long on their way.
  const Span least = leader_.empty() ? std::min(options_.election, options_.beat / 2 * (1 << std::min(attempts_, 4))) : options_.election;
  const auto extra = static_cast<std::int64_t>(draw_() % static_cast<std::uint64_t>(std::max(least, options_.beat * 2).count()));
  election_ = now + least + Span(extra);
}

void Agreement::fail_all() {
  for (const std::uint64_t token : attached_) results_.push_back({token, Verdict::failed, nullptr});
  for (const Waiting& waiting : waiting_) results_.push_back({waiting.token, Verdict::failed, nullptr});
  for (const Read& read : reads_) results_.push_back({read.token, Verdict::failed, nullptr});
  attached_.clear();
  waiting_.clear();
  reads_.clear();
}

void Agreement::follow(Term term, Moment now) {
  if (term > durable_.term) {
    change_term(term, MemberId{});
    leader_id_ = {};
    leader_.clear();
  }
  if (role_ == Role::leader) {
    fail_all();
    peers_.clear();
    learners_.clear();
    is_under_way_ = false;
    leader_id_ = {};
    leader_.clear();
  }
  if (role_ != Role::follower) set_election(now);
  role_ = Role::follower;
}

void Agreement::start_pre_candidate(Moment now) {
  role_ = Role::pre_candidate;
  ++attempts_;
  leader_id_ = {};
  leader_.clear();
  votes_.clear();
  votes_[durable_.self] = true;
  set_election(now);
  for (const Member& member : durable_.entry->members)
    if (member.id != durable_.self) {
      RaftMessage message = make(Type::pre_vote);
      message.term.value = durable_.term.value + 1;
      send(member.address, std::move(message), false);
    }
  count_votes(now);
}

void Agreement::start_candidate(bool is_transfer, Moment now) {
  role_ = Role::candidate;
  leader_id_ = {};
  leader_.clear();
  votes_.clear();
  change_term(Term{durable_.term.value + 1}, durable_.self);
  set_election(now);
  for (const Member& member : durable_.entry->members)
    if (member.id != durable_.self) {
      RaftMessage message = make(Type::vote);
      message.is_transfer = is_transfer;
      send(member.address, std::move(message), true);
    }
}

void Agreement::count_votes(Moment now) {
  std::size_t granted = 0;
  for (const auto& [id, is_granted] : votes_) granted += is_granted && is_member(id);
  if (granted < majority()) return;
  if (role_ == Role::pre_candidate) start_candidate(false, now);
  else if (role_ == Role::candidate) start_leader(now);
}

void Agreement::start_leader(Moment now) {
  role_ = Role::leader;
  attempts_ = 0;
  leader_id_ = durable_.self;
  leader_ = options_.address;
  peers_.clear();
  learners_.clear();
  attached_.clear();
  for (const Member& member : durable_.entry->members)
    if (member.id != durable_.self) peers_[member.id] = {member.address, now, {}, false, 0, 0, {}};
  start_entry(durable_.entry->members, now);
}

void Agreement::set_entry(EntrySnapshot entry) {
  durable_.entry = std::move(entry);
  entry_serial_ = ++serial_;
}

// Proposes the present state under a new index, with the newest waiting configuration and these members.
void Agreement::start_entry(std::vector<Member> members, Moment now) {
  auto entry = std::make_shared<Entry>(*durable_.entry);
  entry->term = durable_.term;
  entry->index.value = durable_.entry->index.value + 1;
  entry->members = std::move(members);
  if (!entry->core_size) entry->core_size = std::max(options_.voters, static_cast<std::uint32_t>(entry->members.size()));
  for (Waiting& waiting : waiting_) {
    if (!waiting.sheet.empty()) {
      entry->sheets[waiting.sheet] = std::move(waiting.text);
    } else if (waiting.version > entry->version) {
      entry->version = waiting.version;
      entry->body = std::move(waiting.body);
    }
    attached_.push_back(waiting.token);
  }
  waiting_.clear();
  set_entry(std::move(entry));
  is_under_way_ = true;
  std::map<MemberId, Peer> kept;
  for (const Member& member : durable_.entry->members) {
    if (member.id == durable_.self) continue;
    const auto found = peers_.find(member.id);
    kept[member.id] = found != peers_.end() ? found->second : Peer{member.address, now, {}, false, 0, 0, {}};
    learners_.erase(member.id);
  }
  for (const auto& [id, heard] : learners_)
    if (const auto found = peers_.find(id); found != peers_.end()) kept[id] = found->second;
  peers_ = std::move(kept);
  for (auto& [id, peer] : peers_) peer.is_matched = false;
  broadcast(now, false);
  check_commit(now);
}

void Agreement::start_waiting(Moment now) {
  if (role_ != Role::leader || is_under_way_ || waiting_.empty()) return;
  const bool is_newer = std::any_of(waiting_.begin(), waiting_.end(),
                                    [&](const Waiting& waiting) { return !waiting.sheet.empty() || waiting.version > durable_.entry->version; });
  if (is_newer) return start_entry(durable_.entry->members, now);
  for (const Waiting& waiting : waiting_) results_.push_back({waiting.token, Verdict::done, nullptr});
  waiting_.clear();
}

void Agreement::check_commit(Moment now) {
  if (role_ != Role::leader || !is_under_way_) return;
  std::size_t matched = is_member(durable_.self) && saved_ >= entry_serial_;
  for (const auto& [id, peer] : peers_) matched += peer.is_matched && is_member(id);
  if (matched < majority()) return;
  is_under_way_ = false;
  committed_ = durable_.entry;
  for (const std::uint64_t token : attached_) results_.push_back({token, Verdict::done, nullptr});
  attached_.clear();
  broadcast(now, true);
  if (!is_member(durable_.self)) return follow(durable_.term, now);
  start_waiting(now);
}

void Agreement::send_append(Peer& peer, Moment now, bool is_beat) {
  const bool should_carry = !peer.is_matched && (peer.sent_serial != entry_serial_ || now - peer.sent_at > options_.beat * 3);
  if (!should_carry && !is_beat) return;
  RaftMessage message = make(Type::append);
  message.round = round_;
  if (committed_ && !is_under_way_) message.commit = durable_.entry->index;
  if (should_carry) {
    message.entry = durable_.entry;
    peer.sent_serial = entry_serial_;
    peer.sent_at = now;
  }
  send(peer.address, std::move(message), false);
}

void Agreement::broadcast(Moment now, bool is_beat) {
  if (is_beat) {
    beat_due_ = now + options_.beat;
    round_sent_[++round_] = now;
    while (round_sent_.size() > 64) round_sent_.erase(round_sent_.begin());
  }
  for (auto& [id, peer] : peers_) send_append(peer, now, is_beat);
}

std::size_t Agreement::heard_since(Moment since) const {
  std::size_t count = is_member(durable_.self);
  for (const auto& [id, peer] : peers_) count += peer.heard >= since && is_member(id);
  return count;
}

bool Agreement::is_confirmed(Moment now) const {
  if (!committed_) return false;
  if (role_ == Role::leader) return heard_since(now - options_.election) >= majority() && committed_->term == durable_.term;
  return !leader_.empty() && now - heard_leader_ < options_.election;
}

bool Agreement::is_leased(Moment now) const {
  if (role_ != Role::leader || !committed_ || committed_->term != durable_.term) return false;
  std::size_t count = is_member(durable_.self);
  for (const auto& [id, peer] : peers_) count += peer.leased != Moment{} && now - peer.leased < options_.election && is_member(id);
  return count >= majority();
}

void Agreement::propose(Version version, std::string body, std::uint64_t token, Moment now) {
  if (role_ != Role::leader) return results_.push_back({token, Verdict::failed, nullptr});
  waiting_.push_back({version, std::move(body), token, {}, {}});
  start_waiting(now);
}

void Agreement::propose_sheet(std::string name, std::string text, std::uint64_t token, Moment now) {
  if (role_ != Role::leader) return results_.push_back({token, Verdict::failed, nullptr});
  waiting_.push_back({{}, {}, token, std::move(name), std::move(text)});
  start_waiting(now);
}

void Agreement::confirm_read(std::uint64_t token, Moment now) {
  if (role_ != Role::leader) return results_.push_back({token, Verdict::failed, nullptr});
  reads_.push_back({token, round_ + 1});
  broadcast(now, true);
  check_reads();
}

void Agreement::check_reads() {
  if (role_ != Role::leader || !committed_ || committed_->term != durable_.term) return;
  std::erase_if(reads_, [&](const Read& read) {
    std::size_t count = is_member(durable_.self);
    for (const auto& [id, peer] : peers_) count += peer.round >= read.round && is_member(id);
    if (count < majority()) return false;
    results_.push_back({read.token, Verdict::done, committed_});
    return true;
  });
}

// Gives the lead to the member that holds most, at once.
void Agreement::transfer(Moment now) {
  if (role_ != Role::leader) return;
  const Peer* heir = nullptr;
  for (const auto& [id, peer] : peers_)
    if (is_member(id) && (!heir || std::pair(peer.is_matched, peer.heard) > std::pair(heir->is_matched, heir->heard)))
      heir = &peer;
  if (heir) send(heir->address, make(Type::transfer), false);
  follow(durable_.term, now);
  election_ = now + options_.election * 3;
}

// One change of members at a time; a voter leaves only when a caught-up learner stands ready or has come in.
void Agreement::tend_members(Moment now) {
  if (is_under_way_ || !committed_ || committed_->term != durable_.term) return;
  std::vector<Member> members = durable_.entry->members;
  const auto is_silent = [&](const Member& member) {
    const auto found = peers_.find(member.id);
    return found != peers_.end() && now - found->second.heard > options_.silent;
  };
  for (const auto& [id, asked] : learners_) {
    const auto found = peers_.find(id);
    if (found == peers_.end() || !found->second.is_matched || now - found->second.heard > 1s) continue;
    const std::string& address = found->second.address;
    const auto former = std::find_if(members.begin(), members.end(),
                                     [&](const Member& member) { return member.address == address && member.id != id; });
    if (former != members.end()) {
      members.erase(former);  // it lost its disk: that id can never answer again
      return start_entry(std::move(members), now);
    }
    if (members.size() < durable_.entry->core_size || std::any_of(members.begin(), members.end(), is_silent)) {
      members.push_back({id, address});
      return start_entry(std::move(members), now);
    }
  }
  if (members.size() <= durable_.entry->core_size) return;
  const auto silent = std::find_if(members.begin(), members.end(), is_silent);
  if (silent == members.end()) return;
  members.erase(silent);
  start_entry(std::move(members), now);
}

void Agreement::tick(Moment now) {
  const bool is_stuck = save_started_ && now - *save_started_ > options_.stuck;
  if (role_ == Role::leader) {
    if (is_stuck) transfer(now);
    else if (heard_since(now - options_.election * 2) < majority()) follow(durable_.term, now);
  }
  if (role_ == Role::leader) {
    std::erase_if(learners_, [&](const auto& learner) {
      if (now - learner.second <= options_.silent) return false;
      peers_.erase(learner.first);
      return true;
    });
    tend_members(now);
    if (now >= beat_due_) broadcast(now, true);
    due_ = beat_due_;
    return;
  }
  const bool may_lead = is_member(durable_.self) && !is_removed_;
  if (now >= election_) {
    if (may_lead && !is_stuck) {
      start_pre_candidate(now);
    } else {
      set_election(now);
      if (!may_lead && now - heard_leader_ > options_.election) ask_to_join(now);
    }
  }
  due_ = election_;
}

void Agreement::finish_save(std::uint64_t serial, bool is_saved, Moment now) {
  save_started_.reset();
  is_save_failing_ = !is_saved;
  if (!is_saved) {
    save_retry_ = now + 300ms;
    if (role_ == Role::leader) transfer(now);
    return;
  }
  saved_ = std::max(saved_, serial);
  if (role_ == Role::candidate && durable_.vote == durable_.self && saved_ >= serial_) {
    votes_[durable_.self] = true;
    count_votes(now);
  }
  check_commit(now);
}

Agreement::Output Agreement::take(Moment now) {
  Output output;
  if (serial_ > saved_ && !save_started_ && now >= save_retry_) {
    save_started_ = now;
    output.save = Save{serial_, durable_};
  }
  std::erase_if(held_, [&](Held& held) {
    if (held.need > saved_) return held.outgoing.message.term < durable_.term;  // a stale promise is worth nothing
    output.messages.push_back(std::move(held.outgoing));
    return true;
  });
  output.results.swap(results_);
  return output;
}

std::vector<std::string> Agreement::known_addresses() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& address) {
    if (address != options_.address && std::find(addresses.begin(), addresses.end(), address) == addresses.end())
      addresses.push_back(address);
  };
  for (const Member& member : durable_.entry->members) add(member.address);
  for (const std::string& contact : contacts_) add(contact);
  return addresses;
}

}  // namespace saddlewing
