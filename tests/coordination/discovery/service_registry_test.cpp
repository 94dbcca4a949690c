#include <criterion/criterion.h>

#include "coordination/discovery/backend_heartbeat.h"
#include "coordination/discovery/service_registry.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

Endpoint listed(const std::string& id, EndpointPhase phase = EndpointPhase::ready) {
  Endpoint entry;
  entry.id = id;
  entry.service = "s";
  entry.address = "10.0.0.1:80";
  entry.phase = phase;
  return entry;
}

std::vector<Endpoint> many(int count) {
  std::vector<Endpoint> entries;
  for (int at = 0; at < count; ++at)
    entries.push_back(listed("b" + std::to_string(at)));
  return entries;
}

EndpointStatus status(const EndpointTable& book, const std::string& id) {
  return book.lines().at(id).entry.status;
}
EndpointPhase phase(const EndpointTable& book, const std::string& id) {
  return book.lines().at(id).entry.phase;
}

ServiceRegistry watching(int count, ServiceRegistryOptions options = {}) {
  ServiceRegistry registry(options);
  registry.name_services({"s"});
  registry.observe(many(count), start);
  for (int at = 0; at < count; ++at)
    registry.renew("b" + std::to_string(at), start);
  registry.sweep(start);
  return registry;
}

// Renews all but the first `silent` every second, and sweeps.
void live(ServiceRegistry& registry, int count, int silent, TimePoint from, Duration span) {
  for (TimePoint now = from; now <= from + span; now += 1s) {
    for (int at = silent; at < count; ++at)
      registry.renew("b" + std::to_string(at), now);
    registry.sweep(now);
  }
}

}  // namespace

Test(registry, a_backend_is_starting_until_its_first_renewal) {
  ServiceRegistry registry({});
  registry.name_services({"s"});
  registry.observe(many(1), start);
  cr_expect(status(registry, "b0") == EndpointStatus::starting);
  cr_expect(registry.targets().size() == 1);
  registry.renew("b0", start + 50ms);
  cr_expect(status(registry, "b0") == EndpointStatus::up);
}

Test(registry, an_expired_hold_is_evicted_by_the_sweep_and_a_renewal_brings_it_back) {
  ServiceRegistry registry = watching(10);
  live(registry, 10, 1, start + 1s, 4s);
  cr_expect(status(registry, "b0") == EndpointStatus::up, "its hold has not run out");
  live(registry, 10, 1, start + 6s, 3s);
  cr_expect(status(registry, "b0") == EndpointStatus::down);
  cr_expect(registry.evicted() == 1);
  registry.renew("b0", start + 10s);
  cr_expect(status(registry, "b0") == EndpointStatus::up);
}

Test(registry, eviction_pauses_under_the_threshold_and_goes_on_above_it) {
  ServiceRegistry registry = watching(10);
  live(registry, 10, 4, start + 1s, 20s);
  cr_expect(!registry.is_evicting());
  for (int at = 0; at < 10; ++at)
    cr_expect(status(registry, "b" + std::to_string(at)) == EndpointStatus::up);
  live(registry, 10, 1, start + 22s, 10s);
  cr_expect(registry.is_evicting());
  cr_expect(status(registry, "b0") == EndpointStatus::down &&
            status(registry, "b1") == EndpointStatus::up);
}

Test(registry, without_self_preservation_all_expired_holds_go) {
  ServiceRegistryOptions options;
  options.is_preserving = false;
  ServiceRegistry registry = watching(10, options);
  live(registry, 10, 4, start + 1s, 10s);
  cr_expect(registry.evicted() == 4);
}

Test(registry, emptying_cancels_at_once_and_nothing_late_revives_it) {
  ServiceRegistry registry = watching(2), peer = watching(2);
  registry.observe({listed("b0", EndpointPhase::draining), listed("b1")}, start + 1s);
  cr_expect(status(registry, "b0") == EndpointStatus::out_of_service);
  registry.renew("b0", start + 2s);
  cr_expect(status(registry, "b0") == EndpointStatus::out_of_service);
  registry.take(peer.since(0, start + 2s), start + 2s);
  cr_expect(phase(registry, "b0") == EndpointPhase::draining);
  peer.take(registry.since(0, start + 2s), start + 2s);
  cr_expect(phase(peer, "b0") == EndpointPhase::draining &&
            status(peer, "b0") == EndpointStatus::out_of_service);
  registry.observe(many(2), start + 3s);
  cr_expect(phase(registry, "b0") == EndpointPhase::draining);
}

Test(registry, a_backend_is_gone_when_two_listings_lack_it) {
  ServiceRegistry registry = watching(2);
  registry.observe({listed("b1")}, start + 1s);
  cr_expect(phase(registry, "b0") == EndpointPhase::ready, "pages may shift between two calls");
  registry.observe({listed("b1")}, start + 2s);
  cr_expect(phase(registry, "b0") == EndpointPhase::gone);
  registry.sweep(start + 30s);
  cr_expect(registry.lines().contains("b0"), "remembered, so that nothing late revives it");
  registry.sweep(start + 70s);
  cr_expect(!registry.lines().contains("b0"));
}

Test(registry, deltas_bring_a_copy_to_the_same_as_the_whole) {
  ServiceRegistry registry = watching(5);
  EndpointTable copy, fresh;
  std::uint64_t revision = 0;
  const auto follow = [&](TimePoint now) {
    const EndpointList delta = registry.since(revision, now);
    for (const Endpoint& entry : delta.entries)
      copy.merge(entry, now);
    revision = delta.revision;
    return delta.entries.size();
  };
  cr_expect(follow(start) == 5);
  cr_expect(follow(start) == 0);
  registry.observe({listed("b0", EndpointPhase::draining), listed("b1"), listed("b2"), listed("b3"),
                    listed("b4"), listed("b5")},
                   start + 1s);
  cr_expect(follow(start + 1s) == 2);
  for (const Endpoint& entry : registry.since(0, start + 1s).entries)
    fresh.merge(entry, start + 1s);
  for (const auto& [id, line] : fresh.lines()) {
    cr_expect(copy.lines().at(id).entry.status == line.entry.status);
    cr_expect(copy.lines().at(id).entry.phase == line.entry.phase);
  }
}

Test(registry, a_restarted_one_is_filled_only_by_a_whole_capture_or_a_listing) {
  ServiceRegistry registry = watching(3), restarted({});
  cr_expect(!restarted.is_filled());
  restarted.take(registry.since(1, start), start);
  cr_expect(!restarted.is_filled());
  restarted.take(registry.since(0, start), start);
  cr_expect(restarted.is_filled());
  cr_expect(restarted.lines().size() == 3);
}

Test(registry, a_backend_that_tells_of_itself_is_registered_renewed_and_cancelled) {
  ServiceRegistryOptions options;
  options.is_signing_up = true;
  ServiceRegistry here(options), there(options);
  const TimePoint start = TimePoint{} + 1000s;
  Endpoint entry;
  const std::string heartbeat =
      R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"ready","store_role":"copy","call_count":4})";
  cr_assert(!read_backend_heartbeat("i-1", heartbeat, false, entry));
  here.sign(entry, start);
  there.take(here.since(0, start), start);
  cr_expect(there.lines().at("i-1").entry.status == EndpointStatus::up);
  // Its new role comes with a renewal that passes the roster on the way.
  entry.call_count = 5;
  entry.is_leader = true;
  here.sign(entry, start + 1s);
  for (const auto& item : here.take_renewed(start + 1s).items)
    there.renew_signed(item, start + 1s);
  there.take(here.since(1, start + 1s), start + 1s);
  cr_expect(there.lines().at("i-1").entry.is_leader);
  // A late call changes nothing; a cancel wins for good.
  entry.call_count = 3;
  entry.is_leader = false;
  here.sign(entry, start + 2s);
  cr_expect(here.lines().at("i-1").entry.is_leader);
  entry.call_count = 6;
  entry.phase = EndpointPhase::draining;
  here.sign(entry, start + 2s);
  entry.call_count = 9;
  entry.phase = EndpointPhase::ready;
  here.sign(entry, start + 3s);
  cr_expect(here.lines().at("i-1").entry.phase == EndpointPhase::draining);
}

Test(registry, a_wrong_beat_is_refused_by_field) {
  const struct {
    const char* body;
    const char* complaint;
  } rows[] = {
      {"{", "the beat is not a JSON object"},
      {R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"ready"})",
       "call_count is missing or out of range"},
      {R"({"service":"db","address":"10.0.0:80","zone":"z","state":"ready","call_count":1})",
       "address is not an address"},
      {R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"odd","call_count":1})",
       "state is neither ready nor emptying"},
      {R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"ready","store_role":"king","call_count":1})",
       "store_role is neither leader nor copy"},
      {R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready","call_count":1})",
       "service is missing or no proper text"},
      {R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":-1,"call_count":1})",
       "capacity is missing or out of range"},
  };
  for (const auto& row : rows) {
    Endpoint entry;
    const Error found = read_backend_heartbeat("i-1", row.body, false, entry);
    cr_expect(found.step == row.complaint, "%s", found.step.c_str());
    cr_expect(entry.id.empty());
  }
  Endpoint entry;
  cr_expect(read_backend_heartbeat("a/b", "", true, entry) &&
            read_backend_heartbeat("", "", true, entry));
}
