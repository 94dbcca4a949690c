#pragma once
// Raft among the registries over one small state: the newest configuration, agreed sheets, and the
// members of the core. Pure: messages, saves and a clock go in; messages, saves and results come
// out. Why it holds: docs/design/control.md.
//
// Every entry stands for the whole state, so the log is its last entry alone: a follower that takes
// the leader's entry has all that came before it, and a voter compares (term, index) of last
// entries as usual. One entry is under way at a time. On the wire an entry is what differs from the
// one that the follower holds. Members change by joint entries.
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/raft/entry_delta.h"
#include "protocol/cluster_status.h"
#include "protocol/raft_messages.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

struct RaftOptions {
  std::string address;  // own inner address
  Duration heartbeat_interval{150};
  Duration election_timeout{700};  // least wait for a leader; drawn up to twice that
  std::uint32_t voter_count =
      0;  // how many the core wants, to bear the losses it must; 0: as many as founded it
  Duration voter_timeout{1000};      // a voter silent for longer is replaced by a caught-up learner
  Duration disk_stall_timeout{700};  // a save under way for longer: the disk is stuck
  Duration leave_timeout{2000};      // a leaving voter is waited for at most so long
  std::uint64_t random_seed = 1;     // differs by process
};

// A voter that is silent is replaced well before a loss may count as made good.
inline Duration replacement_timeout(Duration catch_up, Duration election) {
  return std::max(election * 3 / 2, std::min(catch_up / 4, Duration(3000)));
}

struct RaftNodeProbe;

class RaftNode {
 public:
  enum class Role {
    follower,
    pre_candidate,
    candidate,
    leader
  };
  enum class Outcome {
    done,
    failed
  };
  struct OutgoingMessage {
    std::string to;
    RaftMessage message;
  };
  struct Result {
    std::uint64_t token;
    Outcome outcome;
    EntrySnapshot state;  // of a confirmed read
  };
  struct Save {
    std::uint64_t serial;
    PersistentState persistent;
  };
  struct Output {
    std::vector<OutgoingMessage> messages;
    std::vector<Result> results;
    std::optional<Save> save;
  };

  RaftNode(PersistentState persistent, RaftOptions options, std::vector<std::string> contacts,
           TimePoint now);

  void receive(const RaftMessage& message, TimePoint now);
  void tick(TimePoint now);
  void handle_save_result(std::uint64_t serial, bool is_saved, TimePoint now);
  void propose(Version version, std::string body, std::uint64_t token, TimePoint now);
  // Replaces one sheet. Only the leader's own parts propose, each after its last proposal was
  // committed.
  void propose_document(std::string name, std::string text, std::uint64_t token, TimePoint now);
  void read_index(std::uint64_t token, TimePoint now);
  void transfer_leadership(TimePoint now);  // of the lead
  // In order: where a learner can take this voter's place it is waited for, for at most
  // leave_timeout; then has_left().
  void leave(TimePoint now);
  bool has_left() const {
    return has_left_;
  }
  void set_contacts(std::vector<std::string> contacts) {
    contacts_ = std::move(contacts);
  }
  Output take_output(TimePoint now);
  TimePoint next_due() const {
    return next_due_;
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
  const std::string& leader_address() const {
    return leader_address_;
  }
  MemberId self() const {
    return persistent_.self;
  }
  // Null until this life knows something committed.
  const EntrySnapshot& committed() const {
    return committed_;
  }
  // A quorum stands behind what this node holds committed: the leader heard one of late, and this
  // node heard it say so.
  bool is_confirmed(TimePoint now) const;
  // Nobody else can lead before now: a majority answered a beat that left within the least election
  // time-out.
  bool is_leased(TimePoint now) const {
    return now < lease_until();
  }
  TimePoint lease_until() const;  // the lease as it stands; Moment{} without one
  std::vector<std::string> known_addresses() const;
  // For the operator; `node` is left empty.
  ClusterStatus status(TimePoint now) const;

 private:
  friend struct RaftNodeProbe;  // tools/model_probe.h: tells states apart
  struct ReplicationProgress {
    std::string address;
    TimePoint last_contact{};
    Index match_index;       // the newest entry of this term that it has on disk
    Term acknowledged_term;  // its last entry, as it said
    Index acknowledged_index;
    bool has_acknowledged = false;         // what it holds
    std::uint64_t acknowledged_round = 0;  // of the newest beat whose answer told it
    bool should_send_full_entry = false;
    EntryDeltaSnapshot delta;  // on its way; null: nothing is
    std::uint64_t sent_bytes = 0, acknowledged_bytes = 0,
                  reported_bytes =
                      0;  // bytes of it; told: by its last answer, also one that lost some
    std::size_t window_bytes = 4 * chunk_bytes;  // bytes that may be unanswered
    TimePoint last_chunk_sent{};                 // when bytes of it last left
    std::uint64_t heartbeat_round = 0;
    TimePoint lease_start{};      // when the beat left that it answered last
    TimePoint leave_requested{};  // when it last asked to leave
  };
  struct PendingProposal {
    Version version;
    std::string body;
    std::uint64_t token;
    std::string document, text;  // a sheet by name, instead of a version
  };
  struct PendingRead {
    std::uint64_t token, heartbeat_round;
  };

  RaftMessage make_message(RaftMessage::Type type) const;
  void send(const std::string& to, RaftMessage message, bool is_durable);
  static bool is_voter(const Entry& entry, MemberId id);
  bool is_voter(MemberId id) const {
    return is_voter(*persistent_.entry, id);
  }
  std::vector<Member> voters() const;  // of both lists, each once
  // A majority of the members, and of the former ones while there are any.
  template <class Predicate>
  static bool is_quorum(const std::vector<Member>& members, const Predicate& predicate);
  template <class Predicate>
  bool is_quorum(const Predicate& predicate) const;
  bool is_newer_or_same(const RaftMessage& message) const;
  bool has_quorum_contact(TimePoint since) const;

  void set_term(Term term, MemberId voted_for);
  void become_follower(Term term, TimePoint now);
  void reset_election_timer(TimePoint now);
  void start_pre_vote(TimePoint now);
  void start_election(bool is_leadership_transfer, TimePoint now);
  void become_leader(TimePoint now);
  void count_votes(TimePoint now);
  void set_entry(EntrySnapshot entry);
  void append_entry(std::vector<Member> members, std::vector<Member> outgoing, TimePoint now);
  void propose_pending(TimePoint now);
  void advance_commit_index(TimePoint now);
  void answer_confirmed_reads();
  void fail_pending_requests();

  // agreement_append.cpp: entries on their way
  void broadcast_append_entries(TimePoint now, bool is_heartbeat);
  void send_append_entries(ReplicationProgress& peer, TimePoint now, bool is_heartbeat);
  void send_chunks(ReplicationProgress& peer, TimePoint now);
  void retain_entry_content();
  EntryDeltaSnapshot delta_for(const ReplicationProgress& peer);
  void handle_append_entries(const RaftMessage& message, TimePoint now);
  void handle_append_entries_reply(const RaftMessage& message, TimePoint now);
  void update_progress(ReplicationProgress& peer, const RaftMessage& message, TimePoint now);

  // agreement_members.cpp: who belongs to the core
  void maintain_membership(TimePoint now);
  bool is_caught_up(const ReplicationProgress& peer, TimePoint now) const;
  std::vector<Member> target_members(TimePoint now) const;
  void maintain_leaving_voters(TimePoint now);
  void handle_join(const RaftMessage& message, TimePoint now);
  void handle_leave(const RaftMessage& message, TimePoint now);
  void update_address(const RaftMessage& message);
  void request_join(TimePoint now);

  void handle_request_vote(const RaftMessage& message, TimePoint now);
  void handle_pre_vote(const RaftMessage& message, TimePoint now);

  // Invariant: `state_serial_` counts changes of persistent_; messages that promise one wait until
  // `saved_serial_` reached it.
  PersistentState persistent_;
  std::uint64_t state_serial_ = 0, saved_serial_ = 0, entry_serial_ = 0;
  std::optional<TimePoint> save_started_;
  bool is_save_failing_ = false;  // the last save failed
  TimePoint save_retry_{};
  RaftOptions options_;
  std::vector<std::string> contacts_;
  std::mt19937_64 random_;

  Role role_ = Role::follower;
  MemberId leader_id_,
      last_leader_id_;  // last_leader_id_: whom last_leader_contact_ is of, also after it
                        // was given up
  std::string leader_address_;
  Index leader_last_index_;  // of the leader's newest entry, as it told last
  TimePoint last_leader_contact_{}, last_confirmed_contact_{}, next_due_{}, election_deadline_{},
      next_heartbeat_{};
  bool is_removed_ =
      false;  // another member says that this one is none any more; believed for a while
  TimePoint removed_at_{};
  int election_attempts_ = 0;  // to lead, since a leader was heard
  std::map<MemberId, bool> votes_;
  std::map<MemberId, ReplicationProgress> peers_;  // of a leader: voters but itself, and learners
  std::map<MemberId, TimePoint> learners_;         // when they last asked or answered
  EntrySnapshot committed_;
  bool is_replicating_ = false;                  // of a leader: its last entry is not committed yet
  std::vector<std::uint64_t> in_flight_tokens_;  // tokens answered by the entry under way
  std::vector<PendingProposal> pending_proposals_;
  std::vector<PendingRead> pending_reads_;
  std::uint64_t heartbeat_round_ = 0;
  std::map<std::uint64_t, TimePoint> heartbeat_sent_;  // of the last rounds
  std::map<Index, TimePoint> entry_started_;           // of a leader: when its last entries began
  std::vector<EntryContentSnapshot>
      recent_contents_;  // the last few entries, newest last: what followers may hold
  struct CachedDelta {
    Term base_term;
    Index base_index, index;
    EntryDeltaSnapshot delta;
  };
  std::vector<CachedDelta> delta_cache_;  // made already, to the newest entry
  ChunkAssembler chunk_assembler_;        // of a follower
  std::optional<TimePoint> leaving_since_;
  TimePoint last_leave_request_{}, last_join_request_{};
  bool has_left_ = false;

  struct PendingMessage {
    std::uint64_t required_save;
    OutgoingMessage outgoing;
  };
  std::vector<PendingMessage> pending_messages_;
  std::vector<Result> results_;
};

template <class Predicate>
bool RaftNode::is_quorum(const std::vector<Member>& members, const Predicate& predicate) {
  std::size_t count = 0;
  for (const Member& member : members)
    count += predicate(member.id) ? 1 : 0;
  return count >= members.size() / 2 + 1;
}

template <class Predicate>
bool RaftNode::is_quorum(const Predicate& predicate) const {
  const Entry& entry = *persistent_.entry;
  return is_quorum(entry.members, predicate) &&
         (entry.outgoing.empty() || is_quorum(entry.outgoing, predicate));
}

}  // namespace saddlewing
