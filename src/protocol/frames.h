#pragma once
// Frames between the system's own processes. Each opens with the protocol's number, its kind, the
// sender's life and the sender's inner address; whatever does not decode whole is foreign or
// damaged and is dropped.
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/bytes.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

enum class FrameKind : std::uint64_t {
  raft = 1,         // agreement between registries
  forwarded_call,   // an operator's call handed to the leader
  forwarded_reply,  // its outcome
  subscribe,        // a broker says what it holds
  heartbeat,        // a registry says what it holds
  configuration,    // a configuration
  endpoint_list,    // entries of the registry of backends
  trace_request,    // the tracer asks
  trace_reply,      // a node's recent steps
  gather_request,   // a broker has parts gathered by one near the backends
  gather_result,    // what came of it
  renewed_ids,      // backends that told a registry of themselves
  ring_call,        // an operator's call concerning the ring
  ring_reply,
  edge_sums,               // how fast edges answered, from a registry to the leader
  edge_view,               // what the leader made of it, to its peers
  cluster_status_request,  // an operator asks what a registry knows of its core; see
                           // cluster_status.h
  cluster_status,
};

struct FrameHead {
  FrameKind kind{};
  IncarnationId incarnation;
  std::string from;  // inner address of the sender; empty for a tool
};

// A part of an entry on its way: the entry's head, and some of the bytes by which its content
// differs from an entry that the receiver holds. A large entry travels in many, so that no beat
// waits behind it.
struct EntryChunk {
  Term term;
  Index index;
  Version version;
  std::uint32_t core_size = 0;
  std::vector<Member> members, outgoing;
  Term base_term;  // of the entry that it builds on; all 0: on none
  Index base_index;
  struct Kept {
    std::uint64_t prefix = 0, suffix = 0;  // bytes of the base that stay
    std::uint64_t changed = 0;             // bytes between them
    auto operator<=>(const Kept&) const = default;
  };
  Kept body, documents;
  std::uint64_t digest = 0;             // XXH3 of the whole content
  std::uint64_t total = 0, offset = 0;  // of the bytes on their way
  std::string bytes;
};

struct RaftMessage {
  enum class Type : std::uint64_t {
    pre_vote,
    pre_voted,
    vote,
    voted,
    append,
    appended,
    transfer,
    join,
    joined,
    leave,
    left
  };
  Type type{};
  MemberId from;
  std::string address;
  Term term;
  Term entry_term;  // the sender's last entry
  Index entry_index;
  Index commit;  // of append: the newest entry of this term that is committed
  std::uint64_t round = 0;
  bool is_granted = false;
  bool is_transfer = false;         // the vote follows a hand-over: a live leader is no objection
  bool is_removed = false;          // the receiver is no member any more
  bool is_confirmed = false;        // of append: a majority answered the leader of late
  std::optional<EntryChunk> piece;  // with append, while the follower lacks the entry
  // With appended: how far the entry on its way came; is_granted says that the entry named above is
  // on disk.
  Index piece_index;
  std::uint64_t piece_end = 0;
  bool wants_whole = false;     // what came built on an entry that is not held
  std::vector<Member> members;  // with joined
  std::string leader;           // with joined: its inner address
};

struct ForwardedCall {
  std::uint64_t token = 0;  // counted anew in each life of the sender, which the head names
  bool is_read = false;
  Version version;
  std::string body;
  Term term;  // as known to the sender
};

// Names what it answers: whoever asked believes nothing else.
struct ForwardedReply {
  std::uint64_t token = 0;
  IncarnationId requester;
  bool is_read = false;
  Version version;           // as asked
  std::uint64_t digest = 0;  // of the body sent with the call
  Term term;  // of the sender; of a read: it led in it when a majority confirmed the answer
  bool is_done = false;
  std::string body;  // what was read, or the acknowledgement
};

struct SubscribeRequest {
  Version version;
  std::uint64_t endpoints_incarnation = 0,
                endpoints_revision = 0;  // what the broker holds of this registry's roster
  bool wants_configuration = false;
  bool wants_endpoints = false;  // this registry feeds it: roster and seats come from here
  std::string region;
  bool is_ready = false;
  std::uint64_t brokers_revision = 0;  // of the seats it knows
  std::uint64_t token = 0;  // names the moment of asking; holds and grants count from there
  // Of a pooler:
  std::uint64_t leadership_revision = 0;  // the table of leads it acts by; 0 of a broker
  std::string zone;                       // empty of a broker
  std::string failing_leaderships,
      healthy_leaderships;  // a bit for each lead of that table: nothing but breakdowns of late;
                            // heard of late
  std::string samples;      // places in logs, see coordination/samples.h
  std::uint64_t samples_age = 0;  // milliseconds since they were gathered
  // Of a broker, where a ring is in force:
  std::uint64_t ring_revision = 0;         // of the sheet it acts by alone
  std::uint64_t latest_ring_revision = 0;  // of the sheet it has
  std::string ring_loads;     // what it sent to each virtual node since its last follow
  std::string account_loads;  // the same of its busiest accounts
  std::uint64_t lookups = 0, late_lookups = 0;  // short ones, and how many of them missed their aim
  // Of a broker, where the view of edges is on:
  std::string edge_counts;               // to its feed, since the last
  std::uint64_t edge_view_revision = 0;  // mark of the newest view it has
  IncarnationId echo_incarnation;        // of this registry, as the last beat heard of it named it;
  std::uint64_t echo_serial = 0, echo_delay = 0;  // that beat, and milliseconds since
};

// A broker as others may ask it for aid.
struct BrokerEndpoint {
  std::string address, region;  // address: inner
  auto operator<=>(const BrokerEndpoint&) const = default;
};

struct ControlHeartbeat {
  Term term;                // in which the sender leads or follows a leader; 0: it knows of none
  IncarnationId requester;  // the broker's life that it is for
  std::uint64_t token = 0;  // of that broker's last follow
  Version version;
  Version version_in_force;   // every broker heard of late holds it, or the wait for that is over
  bool is_confirmed = false;  // a quorum stands behind it
  bool is_filled = false;     // its roster was refilled since it started
  bool is_leader = false;     // it leads in that term, under a lease
  std::string zone, region;   // of the registry
  std::uint64_t broker_count = 0;          // brokers heard of late
  std::uint64_t retry_grant = 0;           // thousandths of a further try, from the leader alone
  std::uint64_t retry_grant_validity = 0;  // milliseconds; 0: no word of a grant
  std::vector<std::string> registries;     // inner addresses of the core
  std::uint64_t brokers_revision = 0;      // of the ready brokers
  std::vector<BrokerEndpoint>
      broker_endpoints;  // they themselves, unless the broker knows this mark already
  // To a pooler:
  std::uint64_t lease = 0;  // milliseconds from that follow's leaving; 0: none granted
  std::uint64_t leadership_revision = 0;
  std::string leaderships;   // the table, unless the pooler has this mark
  std::string samples;       // with ages as of this beat's leaving
  std::uint64_t serial = 0;  // of this beat, for the echo
  // To a broker:
  std::uint64_t ring_revision = 0;       // 0: no ring
  std::string ring;                      // the sheet, unless the broker has it
  std::uint64_t edge_view_in_force = 0;  // from the leader alone; 0: no word of it
  std::string edge_view;                 // the newest view, unless the broker has it
};

// An operator's call, from the command line, and its outcome.
struct RingCall {
  std::string verb, text;  // apply: the file; move: virtual node and receiver; undo: the move
};
struct RingReply {
  bool is_done = false;
  std::string leader;  // not done, and another leads: ask there
  std::string reason;  // not done
  std::string text;    // JSON
};

struct EdgeSums {
  Term term;
  std::vector<std::pair<std::string, std::string>>
      regions;  // by region of the asking brokers: counts as they travel
};
struct EdgeViewFrame {
  Term term;  // in which the sender leads
  std::uint64_t revision_in_force = 0;
  std::string view;                                                 // empty: there is none yet
  std::map<std::pair<std::string, std::string>, double> latencies;  // see EdgeLatencyAggregator
};

struct ConfigurationPayload {
  Version version;
  std::string body;  // packed
};

enum class EndpointPhase : std::uint64_t {
  ready,
  draining,
  gone
};
enum class EndpointStatus : std::uint64_t {
  up,
  down,
  starting,
  out_of_service,
  unknown
};
const char* name_of(EndpointStatus status);

// An entry as it travels: spans, never instants.
struct Endpoint {
  std::string id, service, address, zone, software;
  std::uint64_t capacity = 1;
  EndpointPhase phase{};
  EndpointStatus status = EndpointStatus::starting;
  std::uint64_t status_revision = 0;              // of status and hold; the greater wins
  std::uint64_t warmup_left = 0, lease_left = 0;  // milliseconds
  bool is_leader = false;                         // of a database, as it sees itself
  std::uint64_t call_count = 0;                   // of its own calls
};

// Holds renewed at the sender since its last such frame.
struct RenewedIds {
  struct Item {
    std::string id;
    std::uint64_t call_count = 0, age = 0;  // age in milliseconds
    bool is_leader = false;
  };
  std::vector<Item> items;
};

struct EndpointList {
  bool is_complete = false;  // everything, not only what changed since `base`
  bool is_observed = false;  // the sender lists the platform itself at present
  bool is_filled = false;
  bool wants_full_list = false;  // the sender missed something of the receiver's
  std::string zone;              // of the sender
  std::uint64_t base_revision = 0, revision = 0;
  std::vector<Endpoint> entries;
};

// One step in the life of an version at a node.
struct VersionEvent {
  Version version;
  std::string what;       // taken, committed, sent, held, in force
  std::uint64_t age = 0;  // milliseconds before the reply
};

struct TraceReply {
  std::string node, role;
  Version version;
  bool is_leader = false;
  std::vector<VersionEvent> events;
  std::vector<std::string> registries, brokers;  // inner addresses it knows
};

struct GatherRequest {
  std::uint64_t token = 0;
  std::string method, try_id, request_head, body;
  std::vector<std::string> services;
  std::uint64_t best_count = 1, time_left = 0, flush_after = 0;  // milliseconds
};

struct GatherResult {
  struct CompletedPart {
    std::uint64_t part;
    std::string checksum;
  };
  struct FailedPart {
    std::uint64_t part, kind;
    bool may_have_run;
  };
  std::uint64_t token = 0;
  std::vector<CompletedPart> done;  // their greatest records are merged in `records`
  std::vector<FailedPart> failed;
  std::uint64_t processing_time = 0;  // milliseconds between the aid's coming and this frame
  std::string records;
};

// A frame's beginning, for encoders of this folder.
Writer open_frame(const FrameHead& head, FrameKind kind);
std::string encode(const FrameHead& head, const RaftMessage& value);
std::string encode(const FrameHead& head, const ForwardedCall& value);
std::string encode(const FrameHead& head, const ForwardedReply& value);
std::string encode(const FrameHead& head, const SubscribeRequest& value);
std::string encode(const FrameHead& head, const ControlHeartbeat& value);
std::string encode(const FrameHead& head, const ConfigurationPayload& value);
std::string encode(const FrameHead& head, const EndpointList& value);
std::string encode(const FrameHead& head, const TraceReply& value);
std::string encode(const FrameHead& head, const GatherRequest& value);
std::string encode(const FrameHead& head, const GatherResult& value);
std::string encode(const FrameHead& head, const RenewedIds& value);
std::string encode(const FrameHead& head, const RingCall& value);
std::string encode(const FrameHead& head, const RingReply& value);
std::string encode(const FrameHead& head, const EdgeSums& value);
std::string encode(const FrameHead& head, const EdgeViewFrame& value);
std::string encode_trace(const FrameHead& head);

// The head alone; false for a foreign or damaged frame.
bool decode_head(ByteReader& reader, FrameHead& head);
bool decode(ByteReader& reader, RaftMessage& value);
bool decode(ByteReader& reader, ForwardedCall& value);
bool decode(ByteReader& reader, ForwardedReply& value);
bool decode(ByteReader& reader, SubscribeRequest& value);
bool decode(ByteReader& reader, ControlHeartbeat& value);
bool decode(ByteReader& reader, ConfigurationPayload& value);
bool decode(ByteReader& reader, EndpointList& value);
bool decode(ByteReader& reader, TraceReply& value);
bool decode(ByteReader& reader, GatherRequest& value);
bool decode(ByteReader& reader, GatherResult& value);
bool decode(ByteReader& reader, RenewedIds& value);
bool decode(ByteReader& reader, RingCall& value);
bool decode(ByteReader& reader, RingReply& value);
bool decode(ByteReader& reader, EdgeSums& value);
bool decode(ByteReader& reader, EdgeViewFrame& value);

}  // namespace saddlewing
