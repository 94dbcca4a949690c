#include "coordination/failover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

constexpr Span fresh_evidence{1800};  // what a pooler said longer ago is not counted
constexpr Span most_catching_up{
    1500};  // a planned change waits this long for a copy that has everything
constexpr Span raise_again{400}, raise_taken{2500};  // after no answer; after the platform took it
constexpr Span dead_target{2500};
constexpr Span step_down_again{700};

bool has_bit(const std::string& bits, std::size_t place) {
  return place / 8 < bits.size() &&
         (static_cast<unsigned char>(bits[place / 8]) >> (place % 8) & 1);
}

const DatabaseSeat* seat_of(const std::vector<const DatabaseSeat*>& seats, const std::string& id) {
  const auto found = std::find_if(seats.begin(), seats.end(),
                                  [&](const DatabaseSeat* seat) { return seat->id == id; });
  return found == seats.end() ? nullptr : *found;
}

}  // namespace

void Failover::note_pooler(const std::string& from, LifeId life, std::uint64_t mark,
                           const std::string& locality, const std::string& failing,
                           const std::string& fine, Moment now) {
  holders_.note(from, life, mark, now);
  witnesses_[from] = {mark, now, locality, failing, fine};
}

std::optional<Span> Failover::grant(const std::string& from, LifeId life, Moment now) {
  if (!is_leading_)
    return std::nullopt;
  return holders_.grant(from, life, now);
}

bool Failover::is_given_up(std::size_t place, Moment now, bool& is_unseen) const {
  std::size_t failing = 0, fine = 0;
  std::set<std::string> localities;
  for (const auto& [from, witness] : witnesses_) {
    if (witness.mark != table_.mark || now - witness.told > fresh_evidence)
      continue;
    fine += has_bit(witness.fine, place);
    if (!has_bit(witness.failing, place))
      continue;
    ++failing;
    localities.insert(witness.locality);
  }
  is_unseen = failing == 0 && fine == 0;
  return localities.size() >= 2 && failing > fine;
}

void Failover::change(Lead lead, const std::string& news) {
  if (!next_)
    next_ = table_;
  Lead& place = next_->put(lead.service);
  lead.number = place.number + 1;
  lead.mark = table_.mark + 1;
  place = std::move(lead);
  output_.news.push_back(news);
}

void Failover::ask(const std::string& service, const std::string& id, const std::string& text,
                   bool is_step_down) {
  pending_[++last_token_] = {service, id, is_step_down};
  output_.orders.push_back({last_token_, id, text});
}

void Failover::tick(bool is_leading, const LeadTable& table,
                    const std::map<std::string, int>& services,
                    const std::vector<DatabaseSeat>& seats, Moment now) {
  if (is_leading && !is_leading_) {
    led_since_ = now;
    cases_.clear();
    pending_.clear();
    holders_.reset(now);
    witnesses_.clear();
    stepped_.clear();
    is_proposing_ = false;
  }
  is_leading_ = is_leading;
  if (!is_leading)
    return;
  holders_.forget(now);
  std::erase_if(witnesses_,
                [&](const auto& item) { return now - item.second.told > options_.hold; });
  table_ = table;
  if (is_proposing_)
    return;
  next_.reset();
  std::map<std::string, Seats> by_service;
  for (const DatabaseSeat& seat : seats)
    by_service[seat.service].push_back(&seat);
  for (const auto& [service, sync] : services)
    tend(service, sync, by_service[service], now);
  if (!next_)
    return;
  next_->mark = table_.mark + 1;
  is_proposing_ = true;
  output_.proposal = std::move(next_);
  next_.reset();
}

void Failover::tend(const std::string& service, int sync, const Seats& seats, Moment now) {
  const Lead* lead = table_.find(service);
  if (!lead)
    return found(service, seats);
  Case& at = cases_[service];
  if (at.number != lead->number) {
    const bool was_raised = at.was_raised, is_asking = at.is_asking;
    const Moment raised = at.raised;
    at = {};
    at.number = lead->number;
    at.since = now;
    at.phase = lead->phase;
    if (lead->phase != Lead::Phase::raising)
      at.was_raised = was_raised, at.raised = raised, at.is_asking = is_asking;
  }
  switch (lead->phase) {
    case Lead::Phase::led:
      return watch(*lead, seats, now);
    case Lead::Phase::closing:
      return close(*lead, sync, seats, now);
    case Lead::Phase::raising:
      return raise(*lead, seats, now);
  }
}

// Nothing was ever agreed for it: the one that says it leads is the leader from now on.
void Failover::found(const std::string& service, const Seats& seats) {
  const DatabaseSeat* leader = nullptr;
  for (const DatabaseSeat* seat : seats) {
    if (!seat->is_leader)
      continue;
    if (leader)
      return;  // two say so: operators decide, or one of them finds out
    leader = seat;
  }
  if (!leader)
    return;
  Lead lead;
  lead.service = service;
  lead.id = leader->id;
  change(std::move(lead), service + " is led by " + leader->id);
}

void Failover::watch(const Lead& lead, const Seats& seats, Moment now) {
  const DatabaseSeat* leader = seat_of(seats, lead.id);
  Case& at = cases_[lead.service];
  // Others that say they lead missed the change.
  for (const DatabaseSeat* seat : seats) {
    if (seat->id == lead.id || !seat->is_leader || !terms_.contains(lead.service))
      continue;
    Moment& last = stepped_[seat->id];
    if (last != Moment{} && now - last < step_down_again)
      continue;
    last = now;
    ask(lead.service, seat->id, "STEPDOWN " + std::to_string(terms_[lead.service]), true);
  }
  const bool has_others = std::any_of(seats.begin(), seats.end(), [&](const DatabaseSeat* seat) {
    return seat->id != lead.id && seat->is_ready && now - seat->beaten < options_.beat_every * 3;
  });
  if (!has_others)
    return;  // nobody could take over
  Lead next = lead;
  next.phase = Lead::Phase::closing;
  next.target.clear();
  if (leader && !leader->is_ready) {
    next.is_planned = true;
    return change(std::move(next),
                  lead.service + " is to be led by another, " + lead.id + " empties");
  }
  next.is_planned = false;
  if (now - led_since_ < options_.beat_every * 2)
    return;  // beats may have gone elsewhere
  const Span silent = leader ? span_between(leader->beaten, now) : options_.beat_every * 100;
  if (silent <= options_.beat_every * 3 / 2) {
    // It is there. Only if it says at length that it does not lead is it none.
    if (!leader->is_leader && now - at.since > options_.beat_every * 3)
      change(std::move(next), lead.service + ": " + lead.id + " says that it does not lead");
    return;
  }
  // Beats may go elsewhere: it is asked itself, and poolers say what they saw.
  if (leader && now >= at.step_due && at.asked.insert(lead.id).second) {
    at.step_due = now + options_.ask_again * 4;
    ask(lead.service, lead.id, "STATUS", false);
  }
  const bool is_answering = at.answered != Moment{} && now - at.answered < options_.beat_every * 2;
  const auto place = static_cast<std::size_t>(table_.find(lead.service) - table_.leads.data());
  bool is_unseen = false;
  const bool is_given_up = this->is_given_up(place, now, is_unseen);
  if (is_given_up || (is_unseen && !is_answering && silent > options_.beat_every * 4))
    change(std::move(next), lead.service + " lost its leader " + lead.id);
}

// Nobody may use the old leader any more. Once no pooler can, the logs are compared: what was
// acknowledged by then does not change any more, so no copy needs to be paused for it.
void Failover::close(const Lead& lead, int sync, const Seats& seats, Moment now) {
  if (holders_.is_held(lead.mark, now))
    return;
  Case& at = cases_[lead.service];
  if (at.is_asking || (at.was_raised && now - at.raised < options_.late_raise))
    return;  // an earlier call may still take effect
  const DatabaseSeat* old = seat_of(seats, lead.id);
  if (at.asked_since == Moment{})
    at.asked_since = now;
  if (now >= at.step_due) {
    at.step_due = now + options_.ask_again;
    for (const DatabaseSeat* seat : seats)
      if (!at.asked.contains(seat->id) && now - seat->beaten < options_.beat_every * 20) {
        at.asked.insert(seat->id);
        ask(lead.service, seat->id, "STATUS", false);
      }
  }
  const DatabaseStatus* was = nullptr;
  if (const auto found = at.statuses.find(lead.id); found != at.statuses.end())
    was = &found->second;
  // Somebody leads a later term already: a call of ours took effect.
  const DatabaseSeat* best = nullptr;
  DatabaseStatus best_status;
  std::size_t copies = 0, answered = 0;
  for (const DatabaseSeat* seat : seats) {
    if (seat->id == lead.id)
      continue;
    const auto found = at.statuses.find(seat->id);
    ++copies;
    if (found == at.statuses.end())
      continue;
    ++answered;
    if (!seat->is_ready && !found->second.is_leader)
      continue;  // it counts, but it is to end
    const auto order = [](const DatabaseStatus& status) {
      return std::tuple(status.is_leader, status.place);
    };
    if (!best || order(found->second) > order(best_status))
      best = seat, best_status = found->second;
  }
  if (best && best_status.is_leader && (!was || best_status.term > was->term)) {
    terms_[lead.service] = best_status.term;
    Lead next = lead;
    next.phase = Lead::Phase::led;
    next.id = best->id;
    next.target.clear();
    return change(std::move(next), lead.service + " is led by " + best->id + " already");
  }
  const bool old_is_back = was && was->is_leader && old && old->is_ready &&
                           now - old->beaten < options_.beat_every * 5 / 4;
  if (old_is_back && !lead.is_planned) {
    Lead next = lead;
    next.phase = Lead::Phase::led;
    return change(std::move(next), lead.service + " is led by " + lead.id + " as before");
  }
  const Span waited = span_between(at.asked_since, now);
  const bool is_complete = answered == copies;
  const bool has_all = best && was && best_status.place >= was->place;
  if (was && best && !has_all && waited < most_catching_up)
    return;  // it is there, and a copy will catch up
  if (!best || (sync > 0 && !is_complete) || (!is_complete && waited < options_.ask_again * 3))
    return;
  at.term_before = std::max(best_status.term, was ? was->term : 0);
  Lead next = lead;
  next.phase = Lead::Phase::raising;
  next.target = best->id;
  change(std::move(next),
         lead.service + ": " + best->id + " at " + best_status.place.text() + " is to lead");
}

void Failover::raise(const Lead& lead, const Seats& seats, Moment now) {
  if (holders_.is_held(lead.mark, now))
    return;
  Case& at = cases_[lead.service];
  if (const auto found = at.statuses.find(lead.target);
      found != at.statuses.end() && found->second.is_leader) {
    terms_[lead.service] = found->second.term;
    Lead next = lead;
    next.phase = Lead::Phase::led;
    next.id = lead.target;
    next.target.clear();
    return change(std::move(next), lead.service + " is led by " + lead.target + " in term " +
                                       std::to_string(found->second.term));
  }
  const DatabaseSeat* target = seat_of(seats, lead.target);
  const bool is_dead =
      !target || (now - at.since > dead_target && now - target->beaten > options_.beat_every * 2);
  if (at.is_refused || is_dead) {
    Lead next = lead;
    next.phase = Lead::Phase::closing;
    next.target.clear();
    return change(std::move(next), lead.service + ": " + lead.target + " can't take the lead");
  }
  if (now < at.step_due)
    return;
  at.step_due = now + options_.ask_again;
  if (!at.is_asking &&
      (!at.was_raised || now - at.raised >= (at.is_taken ? raise_taken : raise_again))) {
    at.was_raised = at.is_asking = true;
    at.raised = now;
    pending_[++last_token_] = {lead.service, lead.target, false};
    output_.raises.push_back({last_token_, lead.service, lead.target});
  }
  if (at.asked.insert(lead.target).second)
    ask(lead.service, lead.target, "STATUS", false);
}

void Failover::finish_order(std::uint64_t token, std::optional<DatabaseStatus> status, Moment now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  const Pending pending = found->second;
  pending_.erase(found);
  if (pending.is_step_down)
    return;
  Case& at = cases_[pending.service];
  at.asked.erase(pending.id);
  if (!status)
    return;
  at.statuses[pending.id] = *status;
  at.answered = now;
}

void Failover::finish_raise(std::uint64_t token, int status, Moment now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  Case& at = cases_[found->second.service];
  at.is_asking = false;
  at.raised = now;  // until here it may have been on its way
  if (status == 409)
    at.is_refused = true;
  at.is_taken = status == 200;
  pending_.erase(found);
}

Failover::Output Failover::take() {
  return std::exchange(output_, {});
}

}  // namespace saddlewing
