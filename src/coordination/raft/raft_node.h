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
  Duration heartbeat{150};
  Duration election{700};  // least wait for a leader; drawn up to twice that
  std::uint32_t voters =
      0;  // how many the core wants, to bear the losses it must; 0: as many as founded it
  Duration silent{1000};      // a voter silent for longer is replaced by a caught-up learner
  Duration stuck{700};        // a save under way for longer: the disk is stuck
  Duration leave_wait{2000};  // a leaving voter is waited for at most so long
  std::uint64_t draw = 1;     // differs by process
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
  enum class Verdict {
    done,
    failed
  };
  struct Outgoing {
    std::string to;
    RaftMessage message;
  };
  struct Result {
    std::uint64_t token;
    Verdict verdict;
    EntrySnapshot state;  // of a confirmed read
  };
  struct Save {
    std::uint64_t serial;
    PersistentState persistent;
  };
  struct Output {
    std::vector<Outgoing> messages;
    std::vector<Result> results;
    std::optional<Save> save;
  };

  RaftNode(PersistentState persistent, RaftOptions options, std::vector<std::string> contacts,
           TimePoint now);

  void receive(const RaftMessage& message, TimePoint now);
  void tick(TimePoint now);
  void finish_save(std::uint64_t serial, bool is_saved, TimePoint now);
  void propose(Version version, std::string body, std::uint64_t token, TimePoint now);
  // Replaces one sheet. Only the leader's own parts propose, each after its last proposal was
  // committed.
  void propose_document(std::string name, std::string text, std::uint64_t token, TimePoint now);
  void read_index(std::uint64_t token, TimePoint now);
  void transfer(TimePoint now);  // of the lead
  // In order: where a learner can take this voter's place it is waited for, for at most leave_wait;
  // then has_left().
  void leave(TimePoint now);
  bool has_left() const {
    return has_left_;
  }
  void set_contacts(std::vector<std::string> contacts) {
    contacts_ = std::move(contacts);
  }
  Output take(TimePoint now);
  TimePoint next_due() const {
    return due_;
  }

  Role role() const {
    return role_;
  }
  bool is_leader() const {
    return role_ == Role::leader;
  }
  Term term() const {
    return persistent_.term;
  }
  const std::string& leader_address() const {
    return leader_;
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
  struct Peer {
    std::string address;
    TimePoint last_contact{};
    Index matched;   // the newest entry of this term that it has on disk
    Term held_term;  // its last entry, as it said
    Index held_index;
    bool has_told = false;         // what it holds
    std::uint64_t told_round = 0;  // of the newest beat whose answer told it
    bool should_send_whole = false;
    EntryDeltaSnapshot change;  // on its way; null: nothing is
    std::uint64_t sent = 0, answered = 0,
                  told = 0;  // bytes of it; told: by its last answer, also one that lost some
    std::size_t window = 4 * piece_bytes;  // bytes that may be unanswered
    TimePoint sent_at{};                   // when bytes of it last left
    std::uint64_t round = 0;
    TimePoint leased{};   // when the beat left that it answered last
    TimePoint leaving{};  // when it last asked to leave
  };
  struct Waiting {
    Version version;
    std::string body;
    std::uint64_t token;
    std::string document, text;  // a sheet by name, instead of a version
  };
  struct Read {
    std::uint64_t token, round;
  };

  RaftMessage make(RaftMessage::Type type) const;
  void send(const std::string& to, RaftMessage message, bool is_durable);
  static bool is_voter(const Entry& entry, MemberId id);
  bool is_voter(MemberId id) const {
    return is_voter(*persistent_.entry, id);
  }
  std::vector<Member> voters() const;  // of both lists, each once
  // A majority of the members, and of the former ones while there are any.
  template <class Holds>
  static bool is_quorum(const std::vector<Member>& members, const Holds& holds);
  template <class Holds>
  bool is_quorum(const Holds& holds) const;
  bool is_newer_or_same(const RaftMessage& message) const;
  bool hears_quorum(TimePoint since) const;

  void change_term(Term term, MemberId vote);
  void follow(Term term, TimePoint now);
  void set_election(TimePoint now);
  void start_pre_candidate(TimePoint now);
  void start_candidate(bool is_transfer, TimePoint now);
  void start_leader(TimePoint now);
  void count_votes(TimePoint now);
  void set_entry(EntrySnapshot entry);
  void start_entry(std::vector<Member> members, std::vector<Member> outgoing, TimePoint now);
  void start_waiting(TimePoint now);
  void check_commit(TimePoint now);
  void check_reads();
  void fail_all();

  // agreement_append.cpp: entries on their way
  void broadcast(TimePoint now, bool is_beat);
  void send_append(Peer& peer, TimePoint now, bool is_beat);
  void send_pieces(Peer& peer, TimePoint now);
  void keep_content();
  EntryDeltaSnapshot change_for(const Peer& peer);
  void take_append(const RaftMessage& message, TimePoint now);
  void take_appended(const RaftMessage& message, TimePoint now);
  void update_progress(Peer& peer, const RaftMessage& message, TimePoint now);

  // agreement_members.cpp: who belongs to the core
  void maintain_membership(TimePoint now);
  bool is_caught_up(const Peer& peer, TimePoint now) const;
  std::vector<Member> wanted_members(TimePoint now) const;
  void maintain_leaving_voters(TimePoint now);
  void take_join(const RaftMessage& message, TimePoint now);
  void take_leave(const RaftMessage& message, TimePoint now);
  void update_address(const RaftMessage& message);
  void ask_to_join(TimePoint now);

  void take_vote(const RaftMessage& message, TimePoint now);
  void take_pre_vote(const RaftMessage& message, TimePoint now);

  // Invariant: `serial_` counts changes of persistent_; messages that promise one wait until
  // `saved_` reached it.
  PersistentState persistent_;
  std::uint64_t serial_ = 0, saved_ = 0, entry_serial_ = 0;
  std::optional<TimePoint> save_started_;
  bool is_save_failing_ = false;  // the last save failed
  TimePoint save_retry_{};
  RaftOptions options_;
  std::vector<std::string> contacts_;
  std::mt19937_64 draw_;

  Role role_ = Role::follower;
  MemberId leader_id_,
      previous_leader_id_;  // previous_leader_id_: whom last_leader_contact_ is of, also after it
                            // was given up
  std::string leader_;
  Index leader_last_;  // of the leader's newest entry, as it told last
  TimePoint last_leader_contact_{}, last_confirmed_contact_{}, due_{}, election_{},
      heartbeat_due_{};
  bool is_removed_ =
      false;  // another member says that this one is none any more; believed for a while
  TimePoint removed_at_{};
  int attempts_ = 0;  // to lead, since a leader was heard
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Peer> peers_;          // of a leader: voters but itself, and learners
  std::map<MemberId, TimePoint> learners_;  // when they last asked or answered
  EntrySnapshot committed_;
  bool is_under_way_ = false;            // of a leader: its last entry is not committed yet
  std::vector<std::uint64_t> attached_;  // tokens answered by the entry under way
  std::vector<Waiting> waiting_;
  std::vector<Read> reads_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, TimePoint> round_sent_;  // of the last rounds
  std::map<Index, TimePoint> started_;             // of a leader: when its last entries began
  std::vector<EntryContentSnapshot>
      contents_;  // the last few entries, newest last: what followers may hold
  struct Change {
    Term base_term;
    Index base_index, index;
    EntryDeltaSnapshot change;
  };
  std::vector<Change> changes_;  // made already, to the newest entry
  ChunkAssembler assembly_;      // of a follower
  std::optional<TimePoint> leaving_since_;
  TimePoint leave_asked_{}, join_asked_{};
  bool has_left_ = false;

  struct Held {
    std::uint64_t need;
    Outgoing outgoing;
  };
  std::vector<Held> held_;
  std::vector<Result> results_;
};

template <class Holds>
bool RaftNode::is_quorum(const std::vector<Member>& members, const Holds& holds) {
  std::size_t count = 0;
  for (const Member& member : members)
    count += holds(member.id) ? 1 : 0;
  return count >= members.size() / 2 + 1;
}

template <class Holds>
bool RaftNode::is_quorum(const Holds& holds) const {
  const Entry& entry = *persistent_.entry;
  return is_quorum(entry.members, holds) &&
         (entry.outgoing.empty() || is_quorum(entry.outgoing, holds));
}

}  // namespace saddlewing
