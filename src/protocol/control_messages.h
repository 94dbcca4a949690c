#pragma once
// Messages between a registry and its subscribers, which are brokers and poolers: a subscriber says
// what it holds, a registry answers with heartbeats and sends what the subscriber lacks. Lists of
// endpoints are in discovery_messages.h. All durations are in milliseconds.
// Threading: values without shared state.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

// What a subscriber holds and has counted. Sent anew at an interval and after each change.
struct SubscribeRequest {
  Version version;                          // of the configuration held
  std::uint64_t endpoints_incarnation = 0;  // of the registry that its endpoints came from
  std::uint64_t endpoints_revision = 0;     // of the endpoints held
  bool wants_configuration = false;
  bool wants_endpoints = false;  // this registry is its source of endpoints and of brokers
  std::string region;
  bool is_ready = false;
  std::uint64_t brokers_revision = 0;  // of the brokers that it knows
  std::uint64_t token = 0;  // names the time of sending; leases and retry grants count from there

  // From a pooler:
  std::uint64_t leadership_revision = 0;  // of the leadership table in use; 0 from a broker
  std::string zone;                       // empty from a broker
  std::string failing_leaderships;        // a bit for each row of that table: only failures of late
  std::string healthy_leaderships;        // a bit for each row: answered of late
  std::string samples;                    // log positions, see log_position_samples.h
  std::uint64_t samples_age = 0;          // milliseconds since they were gathered

  // From a broker, while a hash ring is in force:
  std::uint64_t ring_revision = 0;         // of the ring that it routes by, and by no other
  std::uint64_t latest_ring_revision = 0;  // of the newest ring that it has
  std::string ring_loads;                  // sent to each virtual node since its last subscription
  std::string account_loads;               // the same of its busiest accounts
  std::uint64_t lookups = 0;               // short requests
  std::uint64_t late_lookups = 0;          // of these, beyond their target time

  // From a broker, while the view of edge latencies is on:
  std::string edge_counts;               // since the last; only to its source of endpoints
  std::uint64_t edge_view_revision = 0;  // of the newest view that it has

  // Echo of the newest heartbeat from this registry:
  IncarnationId echo_incarnation;
  std::uint64_t echo_serial = 0;
  std::uint64_t echo_delay = 0;  // milliseconds since it came
};

// A broker as others may delegate to it.
struct BrokerEndpoint {
  std::string address;  // inner address, host:port
  std::string region;
  auto operator<=>(const BrokerEndpoint&) const = default;
};

// What a registry knows. Sent to each subscriber at an interval and after each change.
struct ControlHeartbeat {
  Term term;                // in which the sender leads or follows a leader; 0: it knows of none
  IncarnationId requester;  // the incarnation of the subscriber that it is for
  std::uint64_t token = 0;  // of that subscriber's last request
  Version version;
  Version version_in_force;   // every broker heard of late holds it, or the wait for that is over
  bool is_confirmed = false;  // a quorum stands behind it
  bool is_filled = false;     // its list of endpoints was filled again since it started
  bool is_leader = false;     // it leads in that term, under a lease
  std::string zone;           // of the registry
  std::string region;         // of the registry
  std::uint64_t broker_count = 0;          // brokers heard of late
  std::uint64_t retry_grant = 0;           // thousandths of a further try; from the leader alone
  std::uint64_t retry_grant_validity = 0;  // milliseconds; 0: says nothing of a grant
  std::vector<std::string> registries;     // inner addresses of the core
  std::uint64_t brokers_revision = 0;      // of the ready brokers
  std::vector<BrokerEndpoint> broker_endpoints;  // unless the subscriber has this revision

  // To a pooler:
  std::uint64_t lease = 0;  // milliseconds from the sending of that request; 0: none granted
  std::uint64_t leadership_revision = 0;
  std::string leaderships;   // the table, unless the pooler has this revision
  std::string samples;       // log positions, with ages as of the sending of this heartbeat
  std::uint64_t serial = 0;  // of this heartbeat, for the echo

  // To a broker:
  std::uint64_t ring_revision = 0;       // 0: no ring
  std::string ring;                      // the document, unless the broker has it
  std::uint64_t edge_view_in_force = 0;  // revision; from the leader alone; 0: says nothing of it
  std::string edge_view;                 // the newest one, unless the broker has it
};

// A version of the configuration.
struct ConfigurationPayload {
  Version version;
  std::string body;  // compressed
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const SubscribeRequest& request);
std::string encode(const FrameHead& head, const ControlHeartbeat& heartbeat);
std::string encode(const FrameHead& head, const ConfigurationPayload& payload);
bool decode(ByteReader& reader, SubscribeRequest& request);
bool decode(ByteReader& reader, ControlHeartbeat& heartbeat);
bool decode(ByteReader& reader, ConfigurationPayload& payload);

}  // namespace saddlewing
