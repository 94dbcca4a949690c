#pragma once
// One node of the consensus among registries: Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", and Ongaro's thesis) over one small state: the newest
// configuration, agreed documents, and the members of the cluster.
//
// Pure: messages, results of saves and the time go in; messages, saves and results of requests come
// out. It sends nothing, writes nothing and reads no clock. Not thread-safe: all calls come from
// one thread, in the registry that of ControlLoop. Why it is correct: docs/design/control.md.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/raft/election.h"
#include "coordination/raft/entry_delta.h"
#include "coordination/raft/entry_history.h"
#include "coordination/raft/heartbeat_rounds.h"
#include "coordination/raft/leader_contact.h"
#include "coordination/raft/membership_state.h"
#include "coordination/raft/pending_requests.h"
#include "coordination/raft/persistent_outbox.h"
#include "coordination/raft/raft_options.h"
#include "coordination/raft/replication_progress.h"
#include "protocol/cluster_status.h"
#include "protocol/raft_messages.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

struct RaftNodeProbe;

// Where it differs from the paper, and why:
//
// - A log of one entry. Every entry stands for the whole state, so the last entry is log and
//   snapshot at once (paper, sections 5.3 and 7): a follower that takes the leader's entry has all
//   that came before, and there is no prevLogIndex to check. The state is small and read whole.
// - One entry is in flight at a time; proposals that come meanwhile are taken together by the next
//   (paper, section 5.3, without pipelining). Changes are rare.
// - An entry travels as a delta to the one that the follower holds, in chunks, so that no heartbeat
//   waits behind a large entry on a slow link.
// - Pre-vote (thesis, section 9.6): a node asks whether it could win before it raises its term.
//   Whoever hears a leader refuses that, and votes as well (thesis, section 4.2.3), unless the vote
//   follows timeout_now. So a node that was cut off disturbs nobody.
// - Learners (thesis, section 4.2.1): a newcomer gets entries without a vote, until it is caught
// up.
// - Members change by joint configurations (paper, section 6): an entry with `members` and
//   `outgoing`, followed at once by one with the new members alone. A caught-up learner replaces a
//   voter that leaves or is silent without an operator.
// - Reads use ReadIndex (thesis, section 6.4); the lease (section 6.4.1) bounds what a leader
//   orders elsewhere, not reads.
class RaftNode {
 public:
  enum class Role {
    follower,
    pre_candidate,
    candidate,
    leader
  };
  using Outcome = RequestOutcome;
  using OutgoingMessage = OutgoingRaftMessage;
  using Result = RequestResult;

  // To be written to stable storage; the result goes to handle_save_result().
  struct Save {
    std::uint64_t serial;
    PersistentState persistent;
  };
  struct Output {
    std::vector<OutgoingMessage> messages;
    std::vector<Result> results;
    std::optional<Save> save;
  };

  // `persistent`: as loaded, or founded. `contacts`: inner addresses that may know the cluster.
  RaftNode(PersistentState persistent, RaftOptions options, std::vector<std::string> contacts,
           TimePoint now);

  // Takes in one message of another node. Messages of its own are dropped.
  void receive(const RaftMessage& message, TimePoint now);
  // Does what is due. Call at next_due() at the latest.
  void tick(TimePoint now);
  // The save of that serial ended. A failed one is tried again; a leader steps down for it.
  void handle_save_result(std::uint64_t serial, bool is_saved, TimePoint now);
  // Removes and returns what is to be sent, answered and saved. Call after each call above or
  // below.
  Output take_output(TimePoint now);
  TimePoint next_due() const {
    return next_due_;
  }

  // Proposes a configuration; fails at once if this node does not lead. One that is not newer than
  // the newest changes nothing, and is done. `token` names the result.
  void propose(Version version, std::string body, std::uint64_t token, TimePoint now);
  // Proposes the new text of one document. Only the leader's own parts propose, each after its last
  // proposal was committed.
  void propose_document(std::string name, std::string text, std::uint64_t token, TimePoint now);
  // Reads the committed state once a quorum has confirmed that this node still leads (thesis,
  // section 6.4); fails at once if it does not.
  void read_index(std::uint64_t token, TimePoint now);
  // Sends timeout_now to the most suitable voter and steps down (thesis, section 3.10).
  void transfer_leadership(TimePoint now);

  // Leaves in order: waits for a learner that can take this voter's place, for at most
  // RaftOptions::leave_timeout; then has_left().
  void leave(TimePoint now);
  bool has_left() const {
    return membership_.has_left;
  }
  void set_contacts(std::vector<std::string> contacts) {
    contacts_ = std::move(contacts);
  }

  Role role() const {
    return role_;
  }
  bool is_leader() const {
    return role_ == Role::leader;
  }
  Term term() const {
    return persistent_.current_term;
  }
  // Inner address of the leader of this term; empty while none is known.
  const std::string& leader_address() const {
    return leader_.address;
  }
  MemberId self() const {
    return persistent_.self;
  }
  // The newest committed state; null until this process knows of one.
  const EntrySnapshot& committed() const {
    return committed_;
  }
  // A quorum stands behind what this node holds committed: the leader heard one within an election
  // timeout, and this node heard the leader say so within one.
  bool is_confirmed(TimePoint now) const;
  // This node leads under a lease: a quorum replied to a heartbeat that left within the least
  // election timeout, and the leases of all leaders before are over.
  //
  // Invariant: no two nodes are leased at one moment. A lease ends an election timeout after the
  // sending of a heartbeat that a quorum answered. One of that quorum voted for the next leader,
  // and it answered before it voted: so the lease ends within an election timeout of the election,
  // and the next leader waits for that. Nothing is asked of the memory of a voter, which may
  // restart.
  bool is_leased(TimePoint now) const {
    return now >= lease_from_ && now < lease_until();
  }
  // End of the lease as it stands; TimePoint{} without one.
  TimePoint lease_until() const;
  // Inner addresses of the other voters and of the contacts, each once.
  std::vector<std::string> known_addresses() const;
  // For the operator; `node` is left empty.
  ClusterStatus status(TimePoint now) const;

 private:
  friend struct RaftNodeProbe;   // tools/model_probe.h: tells states apart
  friend struct InvariantProbe;  // tests plant faults

  // raft_node.cpp
  RaftMessage make_message(RaftMessage::Type type) const;
  void send(const std::string& to, RaftMessage message, bool is_durable);
  static bool is_voter(const Entry& entry, MemberId id);
  bool is_voter(MemberId id) const {
    return is_voter(*persistent_.entry, id);
  }
  std::vector<Member> voters() const;  // of both lists, each once
  const ReplicationProgress* progress_of(MemberId id) const;
  bool has_committed_in_term() const;
  bool may_campaign() const;
  bool may_save() const;
  bool is_other_leader_of_term(const RaftMessage& message) const;
  void tick_leader(TimePoint now);
  void tick_follower(TimePoint now);
  bool is_overtaken(TimePoint now) const;
  void handle_saved_vote(TimePoint now);
  void handle_join_reply(const RaftMessage& message);

  // raft_election.cpp: terms, roles and votes
  void set_term(Term term, MemberId voted_for);
  void reset_election_timer(TimePoint now);
  void become_follower(Term term, TimePoint now);
  void become_leader(TimePoint now);
  TimePoint end_of_former_leases(TimePoint now) const;
  void start_pre_vote(TimePoint now);
  void start_election(bool is_leadership_transfer, TimePoint now);
  void count_votes(TimePoint now);
  bool has_live_leader(TimePoint now) const;
  bool is_up_to_date(const RaftMessage& message) const;
  void handle_pre_vote(const RaftMessage& message, TimePoint now);
  void handle_pre_vote_reply(const RaftMessage& message, TimePoint now);
  void handle_request_vote(const RaftMessage& message, TimePoint now);
  void handle_request_vote_reply(const RaftMessage& message, TimePoint now);
  void handle_timeout_now(const RaftMessage& message, TimePoint now);

  // raft_replication.cpp: entries from the leader to the others
  void set_entry(EntrySnapshot entry);
  void set_committed(EntrySnapshot entry);
  void append_entry(std::vector<Member> members, std::vector<Member> outgoing, TimePoint now);
  void update_peers(TimePoint now);
  void propose_pending(TimePoint now);
  void advance_commit_index(TimePoint now);
  void broadcast_append_entries(TimePoint now, bool is_heartbeat);
  void send_append_entries(ReplicationProgress& progress, TimePoint now, bool is_heartbeat);
  void send_chunks(ReplicationProgress& progress, TimePoint now);
  void retain_entry_content();
  ChunkAssembler::Result receive_chunk(const RaftMessage& message);
  void handle_append_entries(const RaftMessage& message, TimePoint now);
  void handle_append_entries_reply(const RaftMessage& message, TimePoint now);

  // raft_reads.cpp: what a quorum confirms
  bool has_quorum_contact(TimePoint since) const;
  void answer_confirmed_reads();

  // raft_membership.cpp: who belongs to the cluster
  void maintain_membership(TimePoint now);
  bool is_caught_up(const ReplicationProgress& progress, TimePoint now) const;
  bool is_leaving(const Member& member, TimePoint now) const;
  bool is_silent(const Member& member, TimePoint now) const;
  std::vector<Member> target_members(TimePoint now) const;
  void place_learner(const Member& learner, std::vector<Member>& members, TimePoint now) const;
  void remove_surplus(std::vector<Member>& members, TimePoint now) const;
  void maintain_leave(TimePoint now);
  void handle_join(const RaftMessage& message, TimePoint now);
  void handle_leave(const RaftMessage& message, TimePoint now);
  void handle_leave_reply(const RaftMessage& message);
  void update_address(const RaftMessage& message);
  void request_join(TimePoint now);

  // raft_status.cpp
  void add_peers(ClusterStatus& status, TimePoint now) const;
  ClusterStatus::Peer peer_status(const Member& member, bool is_voter, TimePoint now) const;

  // Invariant: every change goes with a call of outbox_.mark_state_changed() or
  // mark_entry_changed(); current_term and the last entry's (term, index) never fall.
  PersistentState persistent_;
  PersistentOutbox outbox_;
  PersistentState last_saved_;  // given out to be saved last, or loaded
  RaftOptions options_;
  std::vector<std::string> contacts_;

  Role role_ = Role::follower;
  LeaderContact leader_;
  Election election_;
  MembershipState membership_;
  TimePoint next_due_{};
  // The newest entry that this process knows to be committed. Invariant: its (term, index) never
  // falls.
  EntrySnapshot committed_;
  ChunkAssembler chunk_assembler_;  // of a follower

  // Of a leader alone; empty otherwise.
  std::map<MemberId, ReplicationProgress> peers_;  // voters but itself, and learners
  std::map<MemberId, TimePoint> learners_;         // when they last asked or replied
  bool is_replicating_ = false;                    // its last entry is not committed yet
  // Since when a voter has on disk what this node is still saving; empty: none has.
  std::optional<TimePoint> overtaken_since_;
  TimePoint lease_from_{};  // when the leases of all leaders before are over
  EntryHistory history_;
  PendingRequests requests_;
  HeartbeatRounds heartbeats_;
};

}  // namespace saddlewing
