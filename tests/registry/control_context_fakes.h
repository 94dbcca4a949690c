#pragma once
// Stand-ins for what the parts of the control loop get from it: a Raft node whose role is set by
// hand, and peers that record what is sent to them.
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/frame.h"
#include "registry/control_context.h"
#include "registry/peer_links.h"

namespace saddlewing {

class FakeControlContext final : public ControlContext {
 public:
  struct Proposal {
    std::string name, text;
    std::uint64_t token;
  };

  FrameHead frame_head() const override {
    return {FrameKind::raft, IncarnationId{11}, "10.0.0.1:7000"};
  }
  bool is_shutting_down() const override {
    return has_shutdown_begun;
  }
  Term term() const override {
    return current_term;
  }
  bool is_leader() const override {
    return has_leadership;
  }
  bool is_leased(TimePoint now) const override {
    return now < lease_end;
  }
  bool is_confirmed(TimePoint) const override {
    return has_quorum;
  }
  TimePoint lease_until() const override {
    return lease_end;
  }
  const std::string& leader_address() const override {
    return leader;
  }
  std::vector<std::string> known_addresses() const override {
    return {"10.0.0.2:7000", "10.0.0.3:7000"};
  }
  const EntrySnapshot& committed() const override {
    return entry;
  }
  void propose_document(std::string name, std::string text, std::uint64_t token,
                        TimePoint) override {
    proposals.push_back({std::move(name), std::move(text), token});
  }

  void lead(Term term, TimePoint until) {
    current_term = term;
    has_leadership = true;
    lease_end = until;
    leader = "10.0.0.1:7000";
  }
  void follow(Term term, const std::string& address) {
    current_term = term;
    has_leadership = false;
    lease_end = {};
    leader = address;
  }
  // Commits `text` as the document `name`, beside the documents committed before.
  void commit_document(const std::string& name, const std::string& text) {
    auto next = entry ? std::make_shared<Entry>(*entry) : std::make_shared<Entry>();
    next->documents[name] = text;
    entry = std::move(next);
  }

  Term current_term{1};
  bool has_leadership = false, has_shutdown_begun = false, has_quorum = true;
  TimePoint lease_end{};
  std::string leader;
  EntrySnapshot entry;
  std::vector<Proposal> proposals;
};

class RecordingPeerSender final : public PeerSender {
 public:
  struct Sent {
    std::string address;
    FrameKind kind;
    std::string bytes;
  };
  void send_to(const std::string& address, const std::string& bytes) override {
    ByteReader reader(bytes);
    FrameHead head;
    decode_head(reader, head);
    sent.push_back({address, head.kind, bytes});
  }
  bool is_connected_to(const std::string& address) const override {
    return !disconnected.contains(address);
  }
  std::vector<Sent> sent;
  std::set<std::string> disconnected;
};

// The body of a frame that a part sent; fails the test's expectation by a default value if damaged.
template <class Body>
Body decode_body(const std::string& bytes) {
  ByteReader reader(bytes);
  FrameHead head;
  Body body;
  if (!decode_head(reader, head) || !decode(reader, body))
    return {};
  return body;
}

}  // namespace saddlewing
