// The bytes of frames between nodes, against fixtures: nodes of different builds work together in
// one cluster.
#include "protocol/cluster_status.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/edge_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "protocol/frame_checks.h"
#include "protocol/gather_messages.h"
#include "protocol/ring_messages.h"
#include "protocol/trace_messages.h"

using namespace saddlewing;
using namespace saddlewing::tests;

Test(wire_format, forwarded_calls) {
  check_frame("forward_full", FrameKind::forwarded_call,
              ForwardedCall{11, true, Version{12}, "a body", Term{13}});
  check_frame("forward_empty", FrameKind::forwarded_call, ForwardedCall{});
  check_frame(
      "forwarded_full", FrameKind::forwarded_reply,
      ForwardedReply{21, IncarnationId{22}, true, Version{23}, 24, Term{25}, true, "an answer"});
  check_frame("forwarded_empty", FrameKind::forwarded_reply, ForwardedReply{});
  check_flag("forwarded_only_read", FrameKind::forwarded_reply, &ForwardedReply::is_read);
  check_flag("forwarded_only_done", FrameKind::forwarded_reply, &ForwardedReply::is_done);
}

Test(wire_format, negative_versions_keep_their_sign) {
  check_frame("body_negative_version", FrameKind::configuration,
              ConfigurationPayload{Version{-2}, {}});
}

Test(wire_format, follow) {
  SubscribeRequest value;
  value.version = {31};
  value.endpoints_incarnation = 32;
  value.endpoints_revision = 33;
  value.wants_configuration = true;
  value.wants_endpoints = true;
  value.region = "region north";
  value.is_ready = true;
  value.brokers_revision = 34;
  value.token = 35;
  value.leadership_revision = 36;
  value.zone = "zone 1";
  value.failing_leaderships = std::string("\1\0\2", 3);
  value.healthy_leaderships = "\x7f\xff";
  value.samples = "samples";
  value.samples_age = 37;
  value.ring_revision = 38;
  value.latest_ring_revision = 39;
  value.ring_loads = "loads";
  value.account_loads = "loads of accounts";
  value.lookups = 40;
  value.late_lookups = 41;
  value.edge_counts = "counts";
  value.edge_view_revision = 42;
  value.echo_incarnation = {43};
  value.echo_serial = 44;
  value.echo_delay = 45;
  check_frame("follow_full", FrameKind::subscribe, value);
  check_frame("follow_empty", FrameKind::subscribe, SubscribeRequest{});
  check_flag("follow_only_wants_configuration", FrameKind::subscribe,
             &SubscribeRequest::wants_configuration);
  check_flag("follow_only_wants_backends", FrameKind::subscribe,
             &SubscribeRequest::wants_endpoints);
  check_flag("follow_only_ready", FrameKind::subscribe, &SubscribeRequest::is_ready);
}

Test(wire_format, heartbeat) {
  ControlHeartbeat value;
  value.term = {51};
  value.requester = {52};
  value.token = 53;
  value.version = {54};
  value.version_in_force = {55};
  value.is_confirmed = true;
  value.is_filled = true;
  value.is_leader = true;
  value.zone = "zone 2";
  value.region = "region south";
  value.broker_count = 56;
  value.retry_grant = 57;
  value.retry_grant_validity = 58;
  value.registries = {"10.0.0.1:7400", "10.0.0.2:7400"};
  value.brokers_revision = 59;
  value.broker_endpoints = {{"10.0.1.1:7400", "region north"}, {"10.0.1.2:7400", "region west"}};
  value.lease = 60;
  value.leadership_revision = 61;
  value.leaderships = "leads";
  value.samples = "samples";
  value.serial = 62;
  value.ring_revision = 63;
  value.ring = "ring";
  value.edge_view_in_force = 64;
  value.edge_view = "edges";
  check_frame("heartbeat_full", FrameKind::heartbeat, value);
  check_frame("heartbeat_empty", FrameKind::heartbeat, ControlHeartbeat{});
  check_flag("heartbeat_only_confirmed", FrameKind::heartbeat, &ControlHeartbeat::is_confirmed);
  check_flag("heartbeat_only_filled", FrameKind::heartbeat, &ControlHeartbeat::is_filled);
  check_flag("heartbeat_only_leader", FrameKind::heartbeat, &ControlHeartbeat::is_leader);
}

Test(wire_format, configuration) {
  check_frame("configuration_full", FrameKind::configuration,
              ConfigurationPayload{Version{71}, std::string("packed \0 bytes", 14)});
  check_frame("configuration_empty", FrameKind::configuration, ConfigurationPayload{});
}

Test(wire_format, backend_registry) {
  Endpoint first{"b-1", "search", "10.0.2.1:80", "zone 1", "v5"};
  first.capacity = 81;
  first.phase = EndpointPhase::draining;
  first.status = EndpointStatus::out_of_service;
  first.status_revision = 82;
  first.warmup_left = 83;
  first.lease_left = 84;
  first.is_leader = true;
  first.call_count = 85;
  const Endpoint second{"b-2", "orders", "10.0.2.2:80", "zone 2", ""};
  check_frame("backends_full", FrameKind::endpoint_list,
              EndpointList{true, true, true, true, "zone 3", 86, 87, {first, second}});
  check_frame("backends_empty", FrameKind::endpoint_list, EndpointList{});
  check_frame("backends_blank_entry", FrameKind::endpoint_list,
              EndpointList{false, false, false, false, {}, 0, 0, {Endpoint{}}});
  check_flag("backends_only_whole", FrameKind::endpoint_list, &EndpointList::is_complete);
  check_flag("backends_only_observed", FrameKind::endpoint_list, &EndpointList::is_observed);
  check_flag("backends_only_filled", FrameKind::endpoint_list, &EndpointList::is_filled);
  check_flag("backends_only_wants_whole", FrameKind::endpoint_list, &EndpointList::wants_full_list);
}

Test(wire_format, backend_phases_and_statuses) {
  EndpointList value;
  for (const EndpointPhase phase :
       {EndpointPhase::ready, EndpointPhase::draining, EndpointPhase::gone})
    for (const EndpointStatus status :
         {EndpointStatus::up, EndpointStatus::down, EndpointStatus::starting,
          EndpointStatus::out_of_service, EndpointStatus::unknown}) {
      Endpoint entry;
      entry.phase = phase;
      entry.status = status;
      value.entries.push_back(entry);
    }
  check_frame("backends_all_states", FrameKind::endpoint_list, value);
}

Test(wire_format, renewed_backends) {
  const RenewedIds value{{{"b-1", 91, 92, true}, {"b-2", 93, 94, false}}};
  check_frame("renewed_full", FrameKind::renewed_ids, value);
  check_frame("renewed_empty", FrameKind::renewed_ids, RenewedIds{});
  check_frame("renewed_blank_item", FrameKind::renewed_ids, RenewedIds{{RenewedIds::Item{}}});
}

Test(wire_format, trace) {
  expect_fixture(frame_fixture("trace_request"), encode_trace_request(frame_sender()));
  const std::string bytes = read_fixture(frame_fixture("trace_request"));
  ByteReader reader(bytes);
  FrameHead head;
  cr_expect(decode_head(reader, head) && reader.is_complete() &&
            head.kind == FrameKind::trace_request);
  const std::vector<VersionEvent> steps{{Version{101}, "taken", 102},
                                        {Version{103}, "committed", 104}};
  check_frame("trace_answer_full", FrameKind::trace_reply,
              TraceReply{"node a",
                         "registry",
                         Version{105},
                         true,
                         steps,
                         {"10.0.0.1:7400", "10.0.0.2:7400"},
                         {"10.0.1.1:7400"}});
  check_frame("trace_answer_empty", FrameKind::trace_reply, TraceReply{});
}

Test(wire_format, delegated_gather) {
  const GatherRequest request{
      111, "POST", "try 1", "POST / HTTP/1.1\r\n", "a body", {"shard-a", "shard-b"}, 112, 113, 114};
  check_frame("delegated_gather_request_full", FrameKind::gather_request, request);
  check_frame("delegated_gather_request_empty", FrameKind::gather_request, GatherRequest{});
  const GatherResult answer{121,
                            {{122, "seal 1"}, {123, "seal 2"}},
                            {{124, 125, true}, {126, 127, false}},
                            128,
                            "records"};
  check_frame("delegated_gather_answer_full", FrameKind::gather_result, answer);
  check_frame("delegated_gather_answer_empty", FrameKind::gather_result, GatherResult{});
  check_frame("delegated_gather_cancel_full", FrameKind::gather_cancel, GatherCancel{129});
  check_frame("delegated_gather_cancel_empty", FrameKind::gather_cancel, GatherCancel{});
}

Test(wire_format, ring_calls) {
  check_frame("ring_call_full", FrameKind::ring_call, RingCall{"move", "7 shard-b"});
  check_frame("ring_call_empty", FrameKind::ring_call, RingCall{});
  check_frame("ring_answer_full", FrameKind::ring_reply,
              RingReply{true, "10.0.0.1:7400", "a reason", "{}"});
  check_frame("ring_answer_empty", FrameKind::ring_reply, RingReply{});
}

Test(wire_format, edges) {
  check_frame("edge_sums_full", FrameKind::edge_sums,
              EdgeSums{Term{131}, {{"north", "counts 1"}, {"south", "counts 2"}}});
  check_frame("edge_sums_empty", FrameKind::edge_sums, EdgeSums{});
  const EdgeViewFrame view{
      Term{141}, 142, "a view", {{{"north", "zone 1"}, 1.25}, {{"south", "zone 2"}, 40.5}}};
  check_frame("edge_view_full", FrameKind::edge_view, view);
  check_frame("edge_view_empty", FrameKind::edge_view, EdgeViewFrame{});
}

// Every kind by its number, and what is no head of a frame of this protocol.
Test(wire_format, heads) {
  for (std::uint64_t number = 0; number <= 21; ++number) {
    const std::string bytes = open_frame(frame_sender(), static_cast<FrameKind>(number)).take();
    ByteReader reader(bytes);
    FrameHead head;
    const bool is_known = number >= 1 && number <= 19;
    cr_expect(decode_head(reader, head) == is_known, "kind %d", static_cast<int>(number));
    if (is_known)
      expect_fixture(frame_fixture("head_kind_" + std::to_string(number)), bytes);
  }
  const std::string whole = read_fixture(frame_fixture("head_kind_1"));
  const auto decodes = [](const std::string& bytes) {
    ByteReader reader(bytes);
    FrameHead head;
    return decode_head(reader, head);
  };
  expect_prefixes_refused("head", whole, decodes);
  for (std::size_t position = 0; position < 8; ++position) {
    std::string foreign = whole;
    foreign[position] = static_cast<char>(foreign[position] ^ 1);
    cr_expect(!decodes(foreign), "protocol number, byte %zu", position);
  }
  decode_random_bytes({}, whole, decodes);
}

namespace {

// A list of one blank endpoint. `from_end`: which of its last numbers is set.
bool is_list_accepted(std::size_t from_end, char number) {
  std::string bytes = encode(frame_sender(), EndpointList{{}, {}, {}, {}, {}, 0, 0, {Endpoint{}}});
  bytes[bytes.size() - from_end * 8] = number;
  FrameHead head;
  EndpointList list;
  return decodes_as(bytes, head, list);
}

}  // namespace

Test(wire_format, enumerators_that_do_not_exist_are_refused) {
  constexpr std::size_t phase = 7;
  constexpr std::size_t status = 6;
  for (char number = 0; number < 8; ++number) {
    cr_expect(is_list_accepted(phase, number) == (number <= 2), "phase %d", number);
    cr_expect(is_list_accepted(status, number) == (number <= 4), "status %d", number);
  }
  constexpr std::size_t role = 18;  // from the end of a status without texts
  std::string bytes = encode(frame_sender(), ClusterStatus{});
  for (char number = 0; number < 8; ++number) {
    bytes[bytes.size() - role * 8] = number;
    FrameHead head;
    ClusterStatus value;
    cr_expect(decodes_as(bytes, head, value) == (number <= 3), "role %d", number);
  }
}

// A count is believed only as far as the bytes could hold that many of the least items.
Test(wire_format, counts_beyond_the_bytes_are_refused) {
  Writer writer = open_frame(frame_sender(), FrameKind::renewed_ids);
  writer.number(2);
  for (int field = 0; field < 4; ++field)
    writer.number(0);
  const std::string bytes = writer.take();
  FrameHead head;
  RenewedIds renewed;
  cr_expect(!decodes_as(bytes, head, renewed));
  cr_expect(renewed.items.empty(), "nothing is reserved for a count that cannot be");
}
