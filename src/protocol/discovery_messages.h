#pragma once
// Messages of service discovery: the endpoints of backends as registries replicate them to each
// other and hand them to brokers and poolers, and the leases that were renewed at one registry.
// Times travel as durations in milliseconds, never as points in time: clocks differ between nodes.
// Threading: values without shared state.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

// What the platform says of an endpoint.
enum class EndpointPhase : std::uint64_t {
  ready,     // to be used
  draining,  // finishes what it has and gets nothing new
  gone,      // no longer listed; kept for a while so that peers learn of it
};

// What heartbeats say of an endpoint; the states of Eureka.
enum class EndpointStatus : std::uint64_t {
  up,
  down,  // its lease ran out
  starting,
  out_of_service,
  unknown,
};

// "UP", "DOWN", ...: as operators see it.
const char* name_of(EndpointStatus status);

// One backend.
struct Endpoint {
  std::string id;
  std::string service;
  std::string address;  // host:port
  std::string zone;
  std::string software;        // version of the backend's program
  std::uint64_t capacity = 1;  // requests that it may work on at a time
  EndpointPhase phase{};
  EndpointStatus status = EndpointStatus::starting;
  std::uint64_t status_revision = 0;  // of status and lease: of two entries the greater one wins
  std::uint64_t warmup_left = 0;      // milliseconds
  std::uint64_t lease_left = 0;       // milliseconds; once gone: of its tombstone
  bool is_leader = false;             // of a database, as it reports itself
  std::uint64_t call_count = 0;       // heartbeats that it has sent
};

// The endpoints that a registry knows, or those that changed since a revision.
struct EndpointList {
  bool is_complete = false;      // everything, not only what changed since `base_revision`
  bool is_observed = false;      // the sender lists the platform itself at present
  bool is_filled = false;        // the sender's list was filled again since it started
  bool wants_full_list = false;  // the sender missed a change of the receiver's
  std::string zone;              // of the sender
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  std::vector<Endpoint> entries;
};

// Leases renewed at the sender since its last frame of this kind.
struct RenewedIds {
  struct Item {
    std::string id;
    std::uint64_t call_count = 0;  // see Endpoint
    std::uint64_t age = 0;         // milliseconds since the heartbeat
    bool is_leader = false;        // see Endpoint
  };
  std::vector<Item> items;
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short,
// too long, or name a phase or status that does not exist.
std::string encode(const FrameHead& head, const EndpointList& list);
std::string encode(const FrameHead& head, const RenewedIds& renewed);
bool decode(ByteReader& reader, EndpointList& list);
bool decode(ByteReader& reader, RenewedIds& renewed);

}  // namespace saddlewing
