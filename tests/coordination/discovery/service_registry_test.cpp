#include <criterion/criterion.h>

#include "coordination/discovery/backend_heartbeat.h"
#include "coordination/discovery/service_registry.h"
#include "protocol/discovery_messages.h"

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

EndpointStatus status(const EndpointTable& table, const std::string& id) {
  return table.endpoints().at(id).endpoint.status;
}
EndpointPhase phase(const EndpointTable& table, const std::string& id) {
  return table.endpoints().at(id).endpoint.phase;
}

ServiceRegistry registry_with(int count, ServiceRegistryOptions options = {}) {
  ServiceRegistry registry(options);
  registry.set_services({"s"});
  registry.apply_listing(many(count), start);
  for (int at = 0; at < count; ++at)
    registry.renew("b" + std::to_string(at), start);
  registry.run_eviction(start);
  return registry;
}

// Renews all but the first `silent_count` backends every second, with eviction.
void run_renewals(ServiceRegistry& registry, int count, int silent_count, TimePoint from,
                  Duration duration) {
  for (TimePoint now = from; now <= from + duration; now += 1s) {
    for (int at = silent_count; at < count; ++at)
      registry.renew("b" + std::to_string(at), now);
    registry.run_eviction(now);
  }
}

ServiceRegistry self_registration_registry() {
  ServiceRegistryOptions options;
  options.has_self_registration = true;
  ServiceRegistry registry(options);
  registry.set_services({"s", "t"});
  return registry;
}

Endpoint heartbeat(const std::string& id, const std::string& service, std::uint64_t call_count) {
  Endpoint entry = listed(id);
  entry.service = service;
  entry.call_count = call_count;
  return entry;
}

// One each second, with eviction.
void run_heartbeats(ServiceRegistry& registry, const std::string& id, TimePoint from,
                    TimePoint until) {
  for (TimePoint now = from; now <= until; now += 1s) {
    const auto call_count = static_cast<std::uint64_t>((now - start) / 1s) + 1;
    registry.handle_heartbeat(heartbeat(id, "s", call_count + 100), now);
    registry.run_eviction(now);
  }
}

}  // namespace

Test(service_registry, a_backend_is_starting_until_its_first_renewal) {
  ServiceRegistry registry({});
  registry.set_services({"s"});
  registry.apply_listing(many(1), start);
  cr_expect(status(registry, "b0") == EndpointStatus::starting);
  cr_expect(registry.probe_targets().size() == 1);
  registry.renew("b0", start + 50ms);
  cr_expect(status(registry, "b0") == EndpointStatus::up);
}

Test(service_registry, an_expired_lease_is_evicted_and_a_renewal_restores_it) {
  ServiceRegistry registry = registry_with(10);
  run_renewals(registry, 10, 1, start + 1s, 4s);
  cr_expect(status(registry, "b0") == EndpointStatus::up, "its lease has not expired");
  run_renewals(registry, 10, 1, start + 6s, 3s);
  cr_expect(status(registry, "b0") == EndpointStatus::down);
  cr_expect(registry.eviction_count() == 1);
  registry.renew("b0", start + 10s);
  cr_expect(status(registry, "b0") == EndpointStatus::up);
}

Test(service_registry, self_preservation_pauses_eviction_below_the_renewal_threshold) {
  ServiceRegistry registry = registry_with(10);
  run_renewals(registry, 10, 4, start + 1s, 20s);
  cr_expect(!registry.is_evicting());
  for (int at = 0; at < 10; ++at)
    cr_expect(status(registry, "b" + std::to_string(at)) == EndpointStatus::up);
  run_renewals(registry, 10, 1, start + 22s, 10s);
  cr_expect(registry.is_evicting());
  cr_expect(status(registry, "b0") == EndpointStatus::down &&
            status(registry, "b1") == EndpointStatus::up);
}

Test(service_registry, without_self_preservation_every_expired_lease_is_evicted) {
  ServiceRegistryOptions options;
  options.has_self_preservation = false;
  ServiceRegistry registry = registry_with(10, options);
  run_renewals(registry, 10, 4, start + 1s, 10s);
  cr_expect(registry.eviction_count() == 4);
}

Test(service_registry, a_cancel_acts_at_once_and_no_late_message_revives_the_backend) {
  ServiceRegistry registry = registry_with(2);
  ServiceRegistry peer = registry_with(2);
  registry.apply_listing({listed("b0", EndpointPhase::draining), listed("b1")}, start + 1s);
  cr_expect(status(registry, "b0") == EndpointStatus::out_of_service);
  registry.renew("b0", start + 2s);
  cr_expect(status(registry, "b0") == EndpointStatus::out_of_service);
  registry.apply_replica(peer.changes_since(0, start + 2s), start + 2s);
  cr_expect(phase(registry, "b0") == EndpointPhase::draining);
  peer.apply_replica(registry.changes_since(0, start + 2s), start + 2s);
  cr_expect(phase(peer, "b0") == EndpointPhase::draining &&
            status(peer, "b0") == EndpointStatus::out_of_service);
  registry.apply_listing(many(2), start + 3s);
  cr_expect(phase(registry, "b0") == EndpointPhase::draining);
}

Test(service_registry, a_backend_missing_from_two_listings_is_gone) {
  ServiceRegistry registry = registry_with(2);
  registry.apply_listing({listed("b1")}, start + 1s);
  cr_expect(phase(registry, "b0") == EndpointPhase::ready, "pages may shift between two calls");
  registry.apply_listing({listed("b1")}, start + 2s);
  cr_expect(phase(registry, "b0") == EndpointPhase::gone);
  registry.run_eviction(start + 30s);
  cr_expect(registry.endpoints().contains("b0"),
            "its tombstone keeps late messages from reviving it");
  registry.run_eviction(start + 70s);
  cr_expect(!registry.endpoints().contains("b0"));
}

Test(service_registry, deltas_yield_the_same_copy_as_a_complete_list) {
  ServiceRegistry registry = registry_with(5);
  EndpointTable copy;
  EndpointTable fresh;
  std::uint64_t revision = 0;
  const auto fetch = [&](TimePoint now) {
    const EndpointList delta = registry.changes_since(revision, now);
    for (const Endpoint& entry : delta.entries)
      copy.merge(entry, now);
    revision = delta.revision;
    return delta.entries.size();
  };
  cr_expect(fetch(start) == 5);
  cr_expect(fetch(start) == 0);
  registry.apply_listing({listed("b0", EndpointPhase::draining), listed("b1"), listed("b2"),
                          listed("b3"), listed("b4"), listed("b5")},
                         start + 1s);
  cr_expect(fetch(start + 1s) == 2);
  for (const Endpoint& entry : registry.changes_since(0, start + 1s).entries)
    fresh.merge(entry, start + 1s);
  for (const auto& [id, leased] : fresh.endpoints()) {
    cr_expect(copy.endpoints().at(id).endpoint.status == leased.endpoint.status);
    cr_expect(copy.endpoints().at(id).endpoint.phase == leased.endpoint.phase);
  }
}

Test(service_registry, a_restarted_registry_is_filled_only_by_a_complete_list) {
  ServiceRegistry registry = registry_with(3);
  ServiceRegistry restarted({});
  cr_expect(!restarted.is_filled());
  restarted.apply_replica(registry.changes_since(1, start), start);
  cr_expect(!restarted.is_filled());
  restarted.apply_replica(registry.changes_since(0, start), start);
  cr_expect(restarted.is_filled());
  cr_expect(restarted.endpoints().size() == 3);
}

Test(service_registry, self_registered_backends_register_renew_and_cancel) {
  ServiceRegistryOptions options;
  options.has_self_registration = true;
  ServiceRegistry here(options);
  ServiceRegistry there(options);
  Endpoint entry;
  const std::string heartbeat =
      R"({"service":"db","address":"10.0.0.1:80","zone":"z","state":"ready","store_role":"copy","call_count":4})";
  cr_assert(!read_backend_heartbeat("i-1", heartbeat, false, entry));
  here.handle_heartbeat(entry, start);
  there.apply_replica(here.changes_since(0, start), start);
  cr_expect(there.endpoints().at("i-1").endpoint.status == EndpointStatus::up);
  // Its new role arrives with a renewal that overtakes the list of endpoints.
  entry.call_count = 5;
  entry.is_leader = true;
  here.handle_heartbeat(entry, start + 1s);
  for (const auto& item : here.take_renewals(start + 1s).items)
    there.apply_renewal(item, start + 1s);
  there.apply_replica(here.changes_since(1, start + 1s), start + 1s);
  cr_expect(there.endpoints().at("i-1").endpoint.is_leader);
  // A late heartbeat changes nothing; a cancel is final.
  entry.call_count = 3;
  entry.is_leader = false;
  here.handle_heartbeat(entry, start + 2s);
  cr_expect(here.endpoints().at("i-1").endpoint.is_leader);
  entry.call_count = 6;
  entry.phase = EndpointPhase::draining;
  here.handle_heartbeat(entry, start + 2s);
  entry.call_count = 9;
  entry.phase = EndpointPhase::ready;
  here.handle_heartbeat(entry, start + 3s);
  cr_expect(here.endpoints().at("i-1").endpoint.phase == EndpointPhase::draining);
}

// A backend that crashed stayed registered for ever beside the incarnation that followed it.
Test(service_registry, an_incarnation_ends_once_another_renews_at_its_address_after_its_lease) {
  ServiceRegistry registry = self_registration_registry();
  ServiceRegistry peer = self_registration_registry();
  registry.handle_heartbeat(heartbeat("former", "s", 5), start);
  registry.handle_heartbeat(heartbeat("next", "s", 1), start + 3s);
  run_heartbeats(registry, "next", start + 4s, start + 6s);
  cr_expect(phase(registry, "former") == EndpointPhase::ready, "its lease runs");
  run_heartbeats(registry, "next", start + 7s, start + 9s);
  cr_expect(phase(registry, "former") == EndpointPhase::gone);
  cr_expect(phase(registry, "next") == EndpointPhase::ready);
  cr_expect(registry.superseded_count() == 1);
  peer.handle_heartbeat(heartbeat("former", "s", 5), start);
  peer.apply_replica(registry.changes_since(0, start + 9s), start + 9s);
  cr_expect(phase(peer, "former") == EndpointPhase::gone);
  // Heartbeats that come late, here or at a peer, revive nobody.
  registry.handle_heartbeat(heartbeat("former", "s", 6), start + 10s);
  peer.handle_heartbeat(heartbeat("former", "s", 7), start + 10s);
  cr_expect(phase(registry, "former") == EndpointPhase::gone);
  cr_expect(phase(peer, "former") == EndpointPhase::gone);
  cr_expect(status(peer, "former") == EndpointStatus::out_of_service);
}

// The address went to a backend of another service.
Test(service_registry, an_incarnation_ends_also_when_its_address_serves_another_service) {
  ServiceRegistry registry = self_registration_registry();
  registry.handle_heartbeat(heartbeat("former", "s", 5), start);
  for (int count = 1; count <= 10; ++count) {
    const TimePoint now = start + Duration(1000) * count;
    registry.handle_heartbeat(heartbeat("other", "t", static_cast<std::uint64_t>(count)), now);
    registry.run_eviction(now);
  }
  cr_expect(phase(registry, "former") == EndpointPhase::gone);
}

// A heartbeat that came late must not end the backend that serves at the address by now.
Test(service_registry, a_late_heartbeat_of_a_former_incarnation_ends_nobody) {
  ServiceRegistry registry = self_registration_registry();
  run_heartbeats(registry, "next", start, start + 5s);
  registry.handle_heartbeat(heartbeat("former", "s", 5), start + 6s);
  // The one that serves is cut off for longer than its lease.
  for (TimePoint now = start + 6s; now < start + 20s; now += 1s)
    registry.run_eviction(now);
  cr_expect(phase(registry, "next") == EndpointPhase::ready);
  run_heartbeats(registry, "next", start + 20s, start + 22s);
  cr_expect(phase(registry, "next") == EndpointPhase::ready);
  cr_expect(phase(registry, "former") == EndpointPhase::gone);
}

// Complete lists of peers brought back what had been forgotten, over and over.
Test(service_registry, a_backend_that_is_gone_is_forgotten_by_all_peers_after_its_tombstone) {
  constexpr int registry_count = 3;
  constexpr int steps_between_lists = 50;
  const Duration tombstone = ServiceRegistryOptions{}.tombstone;
  std::vector<ServiceRegistry> registries(registry_count, self_registration_registry());
  registries[0].handle_heartbeat(heartbeat("b0", "s", 1), start);
  Endpoint cancel = listed("b0", EndpointPhase::gone);
  for (int step = 0; step < 1300; ++step) {
    const TimePoint now = start + Duration(100) * step;
    if (step == 1)
      registries[0].handle_heartbeat(cancel, now);
    for (int sender = 0; sender < registry_count; ++sender) {
      // They forget at slightly other times: one of them looks each second only.
      if (sender > 0 || step % 10 == 0)
        registries[static_cast<std::size_t>(sender)].erase_tombstones(now, tombstone);
      if (step % steps_between_lists != sender * 17)
        continue;
      for (int receiver = 0; receiver < registry_count; ++receiver)
        if (receiver != sender)
          registries[static_cast<std::size_t>(receiver)].apply_replica(
              registries[static_cast<std::size_t>(sender)].changes_since(0, now), now);
    }
    if (step == 500)
      cr_expect(phase(registries[2], "b0") == EndpointPhase::gone);
  }
  for (const ServiceRegistry& registry : registries)
    cr_expect(registry.endpoints().empty());
}

// Those that crashed and came back counted as missing renewals, so that nobody was evicted.
Test(service_registry, superseded_incarnations_do_not_keep_self_preservation_up) {
  ServiceRegistry registry = self_registration_registry();
  registry.handle_heartbeat(heartbeat("former", "s", 5), start);
  run_heartbeats(registry, "next", start + 2s, start + 9s);
  cr_expect(registry.is_evicting());
}

Test(service_registry, an_invalid_heartbeat_is_refused_naming_the_field) {
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
