// Bulkheads: which routes are heavy, which slot is left, whose turn it is; and the
// shared view in the pick.
#include "coordination/routing/bulkhead.h"
#include "coordination/routing/fair_queue.h"
#include "coordination/routing/request_fixture.h"
#include "protocol/discovery_messages.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

std::vector<BackendPointer> two_edges() {
  std::vector<BackendPointer> backends;
  for (const char* zone : {"near", "other"}) {
    auto backend = std::make_shared<Backend>();
    backend->id = zone;
    backend->zone = zone;
    backend->region = "here";
    backend->status = EndpointStatus::up;
    backend->capacity = 2;
    backends.push_back(backend);
  }
  return backends;
}

}  // namespace

Test(bulkhead, what_is_heavy_is_learnt_and_does_not_flap) {
  RouteCostClassifier classes(2.5);
  for (int count = 0; count < 40; ++count) {
    classes.record("index", "pull", 30, 20000, start);
    classes.record("index", "lookup", 5, 300, start);
    classes.record("ledger", "check", 120, 300, start);
  }
  cr_expect(classes.is_heavy("index", "pull", start) &&
            !classes.is_heavy("index", "lookup", start));
  cr_expect(!classes.is_heavy("ledger", "check", start),
            "it is alone there, however long it takes");
  cr_expect(!classes.is_heavy("index", "new", start), "nobody knows it yet");
  // Waiting makes nothing heavy: most of these took long in a queue, and some show what the work
  // is.
  for (int count = 0; count < 60; ++count)
    classes.record("index", "lookup", count % 5 ? 60 : 5, 300, start);
  cr_expect(!classes.is_heavy("index", "lookup", start));
  for (int count = 0; count < 400; ++count)
    classes.record("index", "lookup", 5, 300, start),
        classes.record("index", "pull", 11, 300, start);
  cr_expect(classes.is_heavy("index", "pull", start), "near the bound it stays what it was");
  for (int count = 0; count < 400; ++count)
    classes.record("index", "pull", 6, 300, start);
  cr_expect(!classes.is_heavy("index", "pull", start));
  RouteCostClassifier off(0);
  for (int count = 0; count < 40; ++count) {
    off.record("index", "pull", 30, 0, start);
    off.record("index", "lookup", 5, 0, start);
  }
  cr_expect(!off.is_on() && !off.is_heavy("index", "pull", start));
}

Test(bulkhead, heavy_ones_leave_a_slot_are_not_starved_and_use_what_is_idle) {
  Backend backend;
  backend.capacity = 3;
  backend.last_short_request_at = start;
  backend.active_requests = backend.active_heavy_requests = 1;
  cr_expect(admits_heavy(backend, 5ms, 0ms, start));
  backend.active_requests = backend.active_heavy_requests = 2;
  cr_expect(!admits_heavy(backend, 5ms, 0ms, start), "the last slot is for short ones");
  cr_expect(!admits_heavy(backend, 5ms, 900ms, start), "others of its kind are there");
  cr_expect(admits_heavy(backend, 5ms, 0ms, start + 10ms),
            "no short one came: it is not kept idle");
  backend.active_heavy_requests = 0;
  cr_expect(!admits_heavy(backend, 5ms, 0ms, start) && admits_heavy(backend, 5ms, 20ms, start),
            "one in turn, after a wait");
  backend.active_requests = 3;
  cr_expect(!admits_heavy(backend, 5ms, 900ms, start), "never in a line before short ones");
  backend.active_requests = 1, backend.reported_remote_load = 2,
  backend.remote_load_reported_at = start;
  cr_expect(!admits_heavy(backend, 5ms, 0ms, start), "what others have there counts");
  backend.capacity = 1;
  cr_expect(admits_heavy(backend, 5ms, 0ms, start), "with one slot order alone decides");
}

Test(bulkhead, queue_goes_by_priority_then_by_weight_and_deadline) {
  FairQueue<int> queue(5, 2);
  queue.push(1, 1, true, start + 1s);
  queue.push(2, 1, false, start + 9s);
  queue.push(3, 1, false, start + 2s);
  queue.push(4, 1, false, start + 5s);
  queue.push(5, 0, true, start + 9s);
  cr_expect(!queue.push(6, 1, false, start), "full of what is no less urgent");
  int next = 0;
  cr_expect(queue.push(7, 0, false, start + 1s) && queue.pop_last(next) && next == 1,
            "the lowest rank makes room, heavy first");
  std::vector<int> turns;
  while (queue.pop(next))
    turns.push_back(next);
  cr_expect(turns == std::vector<int>({7, 5, 3, 4, 2}));
  FairQueue<int> weighted(10, 2);
  for (int light = 1; light <= 5; ++light)
    weighted.push(light, 0, false, start + light * 1s);
  weighted.push(8, 0, true, start);
  weighted.push(9, 0, true, start + 1s);
  turns.clear();
  while (weighted.pop(next))
    turns.push_back(next);
  cr_expect(turns == std::vector<int>({1, 2, 8, 3, 4, 9, 5}), "two short ones, then a heavy one");
}

Test(bulkhead, a_request_that_must_wait_is_called_when_its_turn_comes) {
  RequestFixture fixture(single);
  for (const auto& backend : fixture.request->table().by_service[0])
    backend->capacity = 2, backend->active_requests = 2, backend->active_heavy_requests = 1,
    backend->last_short_request_at = start;
  fixture.constraints.is_heavy = true;
  fixture.constraints.short_request_time = 5ms;
  fixture.accepts_enqueue = true;
  fixture.request->start(start);
  cr_expect(fixture.attempts.empty() && fixture.enqueue_calls == 1 &&
                fixture.request->next_due() == fixture.request->deadline(),
            "no polling meanwhile");
  for (const auto& backend : fixture.request->table().by_service[0])
    backend->active_requests = backend->active_heavy_requests = 0;
  fixture.request->on_dequeued(start + 20ms);
  cr_expect(fixture.attempts.size() == 1);
  fixture.deliver_response(0, RequestFixture::success_response("a"), start + 40ms);
  cr_expect(fixture.responses == 1 && fixture.status() == 200);
}

Test(load_balancer, outlier_ejection_orders_and_never_forbids) {
  auto backends = two_edges();
  LoadBalancer load_balancer({"near", "here"}, 1);
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "near");
  backends[0]->is_ejected = true;
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "other");
  backends[1]->is_draining = true;
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "near",
            "an avoided edge serves where no other is left");
  backends[1]->is_draining = false;
  load_balancer.set_influence(0);
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "near",
            "a view that faded out is none");
  load_balancer.set_influence(1);
  backends[0]->is_probing = true;
  PickConstraints constraints;
  cr_expect(load_balancer.pick(backends, {}, 10, start + 1s, constraints).backend->id == "other",
            "risky ones and those in haste never try it");
  constraints.may_probe = true;
  cr_expect(load_balancer.pick(backends, {}, 10, start + 1s, constraints).backend->id == "near");
  cr_expect(
      load_balancer.pick(backends, {}, 10, start + 1010ms, constraints).backend->id == "other",
      "a trickle, no more");
  backends[0]->is_ejected = false;
  backends[0]->kept_traffic_percent = 30;
  int kept = 0;
  for (int count = 0; count < 1000; ++count)
    kept += load_balancer.pick(backends, {}, 10, start).backend->id == "near";
  cr_expect(kept > 220 && kept < 380, "%d", kept);
}

Test(load_balancer, large_responses_cross_zones_less_readily_than_small_ones) {
  auto backends = two_edges();
  LoadBalancer load_balancer({"near", "here"}, 1);
  for (int count = 0; count < 50; ++count)
    backends[0]->record_response(20, 13000), backends[1]->record_response(11, 13000);
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "near");
  for (int count = 0; count < 50; ++count)
    backends[1]->record_response(11, 300);
  cr_expect(load_balancer.pick(backends, {}, 10, start).backend->id == "other");
}

Test(request, may_restart_only_while_nothing_risky_has_run_and_the_budget_covers_it) {
  RequestFixture harmless(single);
  RequestFixture once(risky);
  RequestFixture poor(single);
  for (RequestFixture* fixture : {&harmless, &once, &poor})
    fixture->request->start(start);
  cr_expect(
      harmless.request->may_restart(0, start + 10ms) && once.request->may_restart(0, start + 10ms),
      "the asking turned away is all there is");
  poor.reserve = 0;
  cr_expect(!poor.request->may_restart(0, start + 10ms), "no allowance");
  cr_expect(!harmless.request->may_restart(0, start + 990ms), "too late");
  once.deliver_response(0, RequestFixture::success_response("a"));
  cr_expect(!once.request->may_restart(0, start + 30ms), "it is over");
}
