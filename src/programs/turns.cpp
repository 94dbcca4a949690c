// The traffic thread's bulkheads: what is heavy, and who waits for its turn.
#include <vector>

#include "programs/traffic.h"

namespace saddlewing {
namespace {

constexpr Span turn_step{5};

}  // namespace

PickWish Traffic::wish(const Errand& errand, const std::string& service, Moment now) {
  PickWish wish;
  wish.may_try = errand.rule().is_harmless && now - errand.began() < errand.rule().target / 4;
  if (!classes_.is_on())
    return wish;
  wish.is_heavy = classes_.is_heavy(service, errand.rule().name, now);
  if (const auto trip = trips_.find(&errand); trip != trips_.end())
    trip->second->is_heavy = wish.is_heavy;
  if (!wish.is_heavy)
    return wish;
  wish.short_work = classes_.short_work(service, now);
  wish.waited = span_between(errand.began(), now);
  return wish;
}

void Traffic::note_work(const Trip& trip, const Backend& backend, Span took, std::size_t bytes,
                        Moment now) {
  if (classes_.is_on() && trip.errand)
    classes_.see(backend.service, trip.errand->rule().name, static_cast<double>(took.count()),
                 static_cast<double>(bytes), now);
}

// False: bulkheads are off, or too many wait; then the errand looks again by itself.
bool Traffic::wait_turn(Errand& errand, Moment now) {
  if (!classes_.is_on())
    return false;
  const auto trip = trips_.find(&errand);
  if (trip == trips_.end() ||
      !turns_.push(&errand, errand.rule().rank, trip->second->is_heavy, errand.deadline()))
    return false;
  const Asker* displaced = nullptr;
  while (turns_.pop_last(displaced))
    if (const auto other = trips_.find(displaced); other != trips_.end() && other->second->errand) {
      other->second->errand->lose_turn(now + turn_step);
      arrange(*other->second);
    }
  schedule_.set(turn_clock_, now + turn_step);
  return true;
}

void Traffic::serve_turns(std::size_t most, Moment now) {
  std::vector<const Asker*> turns;
  for (const Asker* next = nullptr; turns.size() < most && turns_.pop(next);)
    turns.push_back(next);
  for (const Asker* turn : turns) {
    const auto found = trips_.find(turn);
    if (found == trips_.end() || !found->second->errand)
      continue;  // it ended meanwhile
    const TripPointer trip = found->second;
    trip->errand->on_turn(now);
    arrange(*trip);
  }
  if (!turns_.is_empty())
    schedule_.set(turn_clock_, now + turn_step);
}

}  // namespace saddlewing
