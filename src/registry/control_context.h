#pragma once
// What the parts of the control loop may know of their own registry and of its Raft node.
//
// A part holds a `ControlContext&` instead of the Raft node itself, so that it can neither change
// the log otherwise than by proposing a document nor depend on the loop. Used by the control thread
// only.
#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "coordination/raft/raft_node.h"
#include "protocol/frame.h"
#include "state/types.h"

namespace saddlewing {

// Tokens under which the parts propose documents; operators' calls count up from 1.
inline constexpr std::uint64_t leadership_proposal_token = ~0ull;
inline constexpr std::uint64_t ring_proposal_token = ~0ull - 1;
inline constexpr std::uint64_t broker_count_proposal_token = ~0ull - 2;

class ControlContext {
 public:
  virtual ~ControlContext() = default;

  // Head of each frame that this registry sends; encoders set its kind.
  virtual FrameHead frame_head() const = 0;
  // This process was asked to end: it begins nothing and grants no more leases.
  virtual bool is_shutting_down() const = 0;

  virtual Term term() const = 0;
  virtual bool is_leader() const = 0;
  // Leads, and nobody else can lead before `now`.
  virtual bool is_leased(TimePoint now) const = 0;
  // A quorum stands behind what this registry holds committed.
  virtual bool is_confirmed(TimePoint now) const = 0;
  // End of the leader's lease; TimePoint{} without one.
  virtual TimePoint lease_until() const = 0;
  // Inner address of the leader; empty while none is known.
  virtual const std::string& leader_address() const = 0;
  // Inner addresses of the other registries.
  virtual std::vector<std::string> known_addresses() const = 0;
  // The committed entry; null until this process knows one.
  virtual const EntrySnapshot& committed() const = 0;
  // Proposes to replace the document `name` by `text`. Only for a leader, and only after the
  // proposal before, under the same token, has finished.
  virtual void propose_document(std::string name, std::string text, std::uint64_t token,
                                TimePoint now) = 0;

  // The term if it has a known leader, otherwise 0.
  Term led_term() const {
    return leader_address().empty() ? Term{} : term();
  }
};

// The context of a running registry. `raft` and `is_shutting_down` must outlive it.
class RaftControlContext final : public ControlContext {
 public:
  RaftControlContext(RaftNode& raft, IncarnationId incarnation, std::string own_address,
                     const std::atomic<bool>& is_shutting_down)
      : raft_(raft),
        incarnation_(incarnation),
        own_address_(std::move(own_address)),
        is_shutting_down_(is_shutting_down) {
  }
  FrameHead frame_head() const override {
    return {FrameKind::raft, incarnation_, own_address_};
  }
  bool is_shutting_down() const override {
    return is_shutting_down_;
  }
  Term term() const override {
    return raft_.term();
  }
  bool is_leader() const override {
    return raft_.is_leader();
  }
  bool is_leased(TimePoint now) const override {
    return raft_.is_leased(now);
  }
  bool is_confirmed(TimePoint now) const override {
    return raft_.is_confirmed(now);
  }
  TimePoint lease_until() const override {
    return raft_.lease_until();
  }
  const std::string& leader_address() const override {
    return raft_.leader_address();
  }
  std::vector<std::string> known_addresses() const override {
    return raft_.known_addresses();
  }
  const EntrySnapshot& committed() const override {
    return raft_.committed();
  }
  void propose_document(std::string name, std::string text, std::uint64_t token,
                        TimePoint now) override {
    raft_.propose_document(std::move(name), std::move(text), token, now);
  }

 private:
  RaftNode& raft_;
  const IncarnationId incarnation_;
  const std::string own_address_;
  const std::atomic<bool>& is_shutting_down_;
};

}  // namespace saddlewing
