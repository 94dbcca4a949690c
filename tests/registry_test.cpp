#include <criterion/criterion.h>

#include "coordination/registry.h"

using namespace saddlewing;

namespace {

constexpr Moment start = Moment{} + 1000s;

RosterEntry listed(const std::string& id, Phase phase = Phase::ready) {
  RosterEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = "10.0.0.1:80";
  entry.phase = phase;
  return entry;
}

std::vector<RosterEntry> many(int count) {
  std::vector<RosterEntry> entries;
  for (int at = 0; at < count; ++at) entries.push_back(listed("b" + std::to_string(at)));
  return entries;
}

Status status(const RosterBook& book, const std::string& id) { return book.lines().at(id).entry.status; }
Phase phase(const RosterBook& book, const std::string& id) { return book.lines().at(id).entry.phase; }

Registry watching(int count, RegistryOptions options = {}) {
  Registry registry(options);
  registry.name_services({"s"});
  registry.observe(many(count), start);
  for (int at = 0; at < count; ++at) registry.renew("b" + std::to_string(at), start);
  registry.sweep(start);
  return registry;
}

// Renews all but the first `silent` every second, and sweeps.
void live(Registry& registry, int count, int silent, Moment from, Span span) {
  for (Moment now = from; now <= from + span; now += 1s) {
    for (int at = silent; at < count; ++at) registry.renew("b" + std::to_string(at), now);
    registry.sweep(now);
  }
}

}  // namespace

Test(registry, a_backend_is_starting_until_its_first_renewal) {
  Registry registry({});
  registry.name_services({"s"});
  registry.observe(many(1), start);
  cr_expect(status(registry, "b0") == Status::starting);
  cr_expect(registry.targets().size() == 1);
  registry.renew("b0", start + 50ms);
  cr_expect(status(registry, "b0") == Status::up);
}

Test(registry, an_expired_hold_is_evicted_by_the_sweep_and_a_renewal_brings_it_back) {
  Registry registry = watching(10);
  live(registry, 10, 1, start + 1s, 4s);
  cr_expect(status(registry, "b0") == Status::up, "its hold has not run out");
  live(registry, 10, 1, start + 6s, 3s);
  cr_expect(status(registry, "b0") == Status::down);
  cr_expect(registry.evicted() == 1);
  registry.renew("b0", start + 10s);
  cr_expect(status(registry, "b0") == Status::up);
}

Test(registry, eviction_pauses_under_the_threshold_and_goes_on_above_it) {
  Registry registry = watching(10);
  live(registry, 10, 4, start + 1s, 20s);
  cr_expect(!registry.is_evicting());
  for (int at = 0; at < 10; ++at) cr_expect(status(registry, "b" + std::to_string(at)) == Status::up);
  live(registry, 10, 1, start + 22s, 10s);
  cr_expect(registry.is_evicting());
  cr_expect(status(registry, "b0") == Status::down && status(registry, "b1") == Status::up);
}

Test(registry, without_self_preservation_all_expired_holds_go) {
  RegistryOptions options;
  options.is_preserving = false;
  Registry registry = watching(10, options);
  live(registry, 10, 4, start + 1s, 10s);
  cr_expect(registry.evicted() == 4);
}

Test(registry, emptying_cancels_at_once_and_nothing_late_revives_it) {
  Registry registry = watching(2), peer = watching(2);
  registry.observe({listed("b0", Phase::emptying), listed("b1")}, start + 1s);
  cr_expect(status(registry, "b0") == Status::out_of_service);
  registry.renew("b0", start + 2s);
  cr_expect(status(registry, "b0") == Status::out_of_service);
  registry.take(peer.since(0, start + 2s), start + 2s);
  cr_expect(phase(registry, "b0") == Phase::emptying);
  peer.take(registry.since(0, start + 2s), start + 2s);
  cr_expect(phase(peer, "b0") == Phase::emptying && status(peer, "b0") == Status::out_of_service);
  registry.observe(many(2), start + 3s);
  cr_expect(phase(registry, "b0") == Phase::emptying);
}

Test(registry, a_backend_is_gone_when_two_listings_lack_it) {
  Registry registry = watching(2);
  registry.observe({listed("b1")}, start + 1s);
  cr_expect(phase(registry, "b0") == Phase::ready, "pages may shift between two calls");
  registry.observe({listed("b1")}, start + 2s);
  cr_expect(phase(registry, "b0") == Phase::gone);
  registry.sweep(start + 30s);
  cr_expect(registry.lines().contains("b0"), "remembered, so that nothing late revives it");
  registry.sweep(start + 70s);
  cr_expect(!registry.lines().contains("b0"));
}

Test(registry, deltas_bring_a_copy_to_the_same_as_the_whole) {
  Registry registry = watching(5);
  RosterBook copy, fresh;
  std::uint64_t mark = 0;
  const auto follow = [&](Moment now) {
    const Roster delta = registry.since(mark, now);
    for (const RosterEntry& entry : delta.entries) copy.merge(entry, now);
    mark = delta.mark;
    return delta.entries.size();
  };
  cr_expect(follow(start) == 5);
  cr_expect(follow(start) == 0);
  registry.observe({listed("b0", Phase::emptying), listed("b1"), listed("b2"), listed("b3"), listed("b4"), listed("b5")}, start + 1s);
  cr_expect(follow(start + 1s) == 2);
  for (const RosterEntry& entry : registry.since(0, start + 1s).entries) fresh.merge(entry, start + 1s);
  for (const auto& [id, line] : fresh.lines()) {
    cr_expect(copy.lines().at(id).entry.status == line.entry.status);
    cr_expect(copy.lines().at(id).entry.phase == line.entry.phase);
  }
}

Test(registry, a_restarted_one_is_filled_only_by_a_whole_capture_or_a_listing) {
  Registry registry = watching(3), restarted({});
  cr_expect(!restarted.is_filled());
  restarted.take(registry.since(1, start), start);
  cr_expect(!restarted.is_filled());
  restarted.take(registry.since(0, start), start);
  cr_expect(restarted.is_filled());
  cr_expect(restarted.lines().size() == 3);
}
