#pragma once
// The head that every frame between nodes of the cluster begins with: the number of the protocol,
// the kind of the message, the incarnation of the sender and its inner address. The messages behind
// the head are in the *_messages.h files of this folder, one file for each family. A frame that
// does not decode completely is foreign or damaged; the receiver drops it. Threading: free
// functions without state; safe to call from any thread.
#include <cstdint>
#include <string>

#include "state/bytes.h"
#include "state/types.h"

namespace saddlewing {

// The kind of a frame as it travels. The numbers never change: nodes of different versions work
// together in one cluster.
enum class FrameKind : std::uint64_t {
  raft = 1,                // RaftMessage, between registries
  forwarded_call,          // ForwardedCall, from a registry to the leader
  forwarded_reply,         // ForwardedReply, from the leader
  subscribe,               // SubscribeRequest, from a broker or pooler to a registry
  heartbeat,               // ControlHeartbeat, from a registry to a subscriber
  configuration,           // ConfigurationPayload, from a registry to a subscriber
  endpoint_list,           // EndpointList, between registries and to subscribers
  trace_request,           // no fields; from the command line to any node
  trace_reply,             // TraceReply
  gather_request,          // GatherRequest, between brokers
  gather_result,           // GatherResult
  renewed_ids,             // RenewedIds, between registries
  ring_call,               // RingCall, from the command line to a registry
  ring_reply,              // RingReply
  edge_sums,               // EdgeSums, from a registry to the leader
  edge_view,               // EdgeViewFrame, from the leader to its peers
  cluster_status_request,  // no fields; from the command line to a registry
  cluster_status,          // ClusterStatus, see cluster_status.h
  gather_cancel,           // GatherCancel, between brokers
};

struct FrameHead {
  FrameKind kind{};
  IncarnationId incarnation;  // of the sender's process: a new one after each start
  std::string from;           // inner address of the sender, host:port; empty for a command
};

// Begins a frame of `kind`; the caller appends the fields of the message. The kind in `head` is not
// looked at.
Writer open_frame(const FrameHead& head, FrameKind kind);

// Reads the head alone and leaves `reader` at the first field of the message. Returns false for a
// frame that is cut short, of another protocol or of a kind that does not exist.
bool decode_head(ByteReader& reader, FrameHead& head);

}  // namespace saddlewing
