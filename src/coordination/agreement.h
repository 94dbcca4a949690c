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

#include "coordination/entry_change.h"
#include "protocol/core_status.h"
#include "protocol/frames.h"
#include "state/store.h"
#include "state/types.h"

namespace saddlewing {

struct AgreementOptions {
  std::string address;  // own inner address
  Span beat{150};
  Span election{700};  // least wait for a leader; drawn up to twice that
  std::uint32_t voters =
      0;  // how many the core wants, to bear the losses it must; 0: as many as founded it
  Span silent{1000};       // a voter silent for longer is replaced by a caught-up learner
  Span stuck{700};         // a save under way for longer: the disk is stuck
  Span leave_wait{2000};   // a leaving voter is waited for at most so long
  std::uint64_t draw = 1;  // differs by process
};

// A voter that is silent is replaced well before a loss may count as made good.
inline Span silent_span(Span catch_up, Span election) {
  return std::max(election * 3 / 2, std::min(catch_up / 4, Span(3000)));
}

struct AgreementProbe;

class Agreement {
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
    Durable durable;
  };
  struct Output {
    std::vector<Outgoing> messages;
    std::vector<Result> results;
    std::optional<Save> save;
  };

  Agreement(Durable durable, AgreementOptions options, std::vector<std::string> contacts,
            Moment now);

  void receive(const RaftMessage& message, Moment now);
  void tick(Moment now);
  void finish_save(std::uint64_t serial, bool is_saved, Moment now);
  void propose(Version version, std::string body, std::uint64_t token, Moment now);
  // Replaces one sheet. Only the leader's own parts propose, each after its last proposal was
  // committed.
  void propose_sheet(std::string name, std::string text, std::uint64_t token, Moment now);
  void confirm_read(std::uint64_t token, Moment now);
  void transfer(Moment now);  // of the lead
  // In order: where a learner can take this voter's place it is waited for, for at most leave_wait;
  // then has_left().
  void leave(Moment now);
  bool has_left() const {
    return has_left_;
  }
  void set_contacts(std::vector<std::string> contacts) {
    contacts_ = std::move(contacts);
  }
  Output take(Moment now);
  Moment next_due() const {
    return due_;
  }

  Role role() const {
    return role_;
  }
  bool is_leader() const {
    return role_ == Role::leader;
  }
  Term term() const {
    return durable_.term;
  }
  const std::string& leader_address() const {
    return leader_;
  }
  MemberId self() const {
    return durable_.self;
  }
  // Null until this life knows something committed.
  const EntrySnapshot& committed() const {
    return committed_;
  }
  // A quorum stands behind what this node holds committed: the leader heard one of late, and this
  // node heard it say so.
  bool is_confirmed(Moment now) const;
  // Nobody else can lead before now: a majority answered a beat that left within the least election
  // time-out.
  bool is_leased(Moment now) const {
    return now < lease_until();
  }
  Moment lease_until() const;  // the lease as it stands; Moment{} without one
  std::vector<std::string> known_addresses() const;
  // For the operator; `node` is left empty.
  CoreStatus status(Moment now) const;

 private:
  friend struct AgreementProbe;  // tools/model_probe.h: tells states apart
  struct Peer {
    std::string address;
    Moment heard{};
    Index matched;   // the newest entry of this term that it has on disk
    Term held_term;  // its last entry, as it said
    Index held_index;
    bool has_told = false;         // what it holds
    std::uint64_t told_round = 0;  // of the newest beat whose answer told it
    bool should_send_whole = false;
    EntryChangeSnapshot change;  // on its way; null: nothing is
    std::uint64_t sent = 0, answered = 0,
                  told = 0;  // bytes of it; told: by its last answer, also one that lost some
    std::size_t window = 4 * piece_bytes;  // bytes that may be unanswered
    Moment sent_at{};                      // when bytes of it last left
    std::uint64_t round = 0;
    Moment leased{};   // when the beat left that it answered last
    Moment leaving{};  // when it last asked to leave
  };
  struct Waiting {
    Version version;
    std::string body;
    std::uint64_t token;
    std::string sheet, text;  // a sheet by name, instead of a version
  };
  struct Read {
    std::uint64_t token, round;
  };

  RaftMessage make(RaftMessage::Type type) const;
  void send(const std::string& to, RaftMessage message, bool is_durable);
  static bool is_voter(const Entry& entry, MemberId id);
  bool is_voter(MemberId id) const {
    return is_voter(*durable_.entry, id);
  }
  std::vector<Member> voters() const;  // of both lists, each once
  // A majority of the members, and of the former ones while there are any.
  template <class Holds>
  static bool is_quorum(const std::vector<Member>& members, const Holds& holds);
  template <class Holds>
  bool is_quorum(const Holds& holds) const;
  bool is_newer_or_same(const RaftMessage& message) const;
  bool hears_quorum(Moment since) const;

  void change_term(Term term, MemberId vote);
  void follow(Term term, Moment now);
  void set_election(Moment now);
  void start_pre_candidate(Moment now);
  void start_candidate(bool is_transfer, Moment now);
  void start_leader(Moment now);
  void count_votes(Moment now);
  void set_entry(EntrySnapshot entry);
  void start_entry(std::vector<Member> members, std::vector<Member> former, Moment now);
  void start_waiting(Moment now);
  void check_commit(Moment now);
  void check_reads();
  void fail_all();

  // agreement_append.cpp: entries on their way
  void broadcast(Moment now, bool is_beat);
  void send_append(Peer& peer, Moment now, bool is_beat);
  void send_pieces(Peer& peer, Moment now);
  void keep_content();
  EntryChangeSnapshot change_for(const Peer& peer);
  void take_append(const RaftMessage& message, Moment now);
  void take_appended(const RaftMessage& message, Moment now);
  void note_progress(Peer& peer, const RaftMessage& message, Moment now);

  // agreement_members.cpp: who belongs to the core
  void tend_members(Moment now);
  bool is_caught_up(const Peer& peer, Moment now) const;
  std::vector<Member> wanted_members(Moment now) const;
  void tend_leaving(Moment now);
  void take_join(const RaftMessage& message, Moment now);
  void take_leave(const RaftMessage& message, Moment now);
  void note_address(const RaftMessage& message);
  void ask_to_join(Moment now);

  void take_vote(const RaftMessage& message, Moment now);
  void take_pre_vote(const RaftMessage& message, Moment now);

  // Invariant: `serial_` counts changes of durable_; messages that promise one wait until `saved_`
  // reached it.
  Durable durable_;
  std::uint64_t serial_ = 0, saved_ = 0, entry_serial_ = 0;
  std::optional<Moment> save_started_;
  bool is_save_failing_ = false;  // the last save failed
  Moment save_retry_{};
  AgreementOptions options_;
  std::vector<std::string> contacts_;
  std::mt19937_64 draw_;

  Role role_ = Role::follower;
  MemberId leader_id_,
      former_leader_;  // former_leader_: whom heard_leader_ is of, also after it was given up
  std::string leader_;
  Index leader_last_;  // of the leader's newest entry, as it told last
  Moment heard_leader_{}, heard_confirmed_{}, due_{}, election_{}, beat_due_{};
  bool is_removed_ =
      false;  // another member says that this one is none any more; believed for a while
  Moment removed_at_{};
  int attempts_ = 0;  // to lead, since a leader was heard
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Peer> peers_;       // of a leader: voters but itself, and learners
  std::map<MemberId, Moment> learners_;  // when they last asked or answered
  EntrySnapshot committed_;
  bool is_under_way_ = false;            // of a leader: its last entry is not committed yet
  std::vector<std::uint64_t> attached_;  // tokens answered by the entry under way
  std::vector<Waiting> waiting_;
  std::vector<Read> reads_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Moment> round_sent_;  // of the last rounds
  std::map<Index, Moment> started_;             // of a leader: when its last entries began
  std::vector<EntryContentSnapshot>
      contents_;  // the last few entries, newest last: what followers may hold
  struct Change {
    Term base_term;
    Index base_index, index;
    EntryChangeSnapshot change;
  };
  std::vector<Change> changes_;  // made already, to the newest entry
  EntryAssembly assembly_;       // of a follower
  std::optional<Moment> leaving_since_;
  Moment leave_asked_{}, join_asked_{};
  bool has_left_ = false;

  struct Held {
    std::uint64_t need;
    Outgoing outgoing;
  };
  std::vector<Held> held_;
  std::vector<Result> results_;
};

template <class Holds>
bool Agreement::is_quorum(const std::vector<Member>& members, const Holds& holds) {
  std::size_t count = 0;
  for (const Member& member : members)
    count += holds(member.id) ? 1 : 0;
  return count >= members.size() / 2 + 1;
}

template <class Holds>
bool Agreement::is_quorum(const Holds& holds) const {
  const Entry& entry = *durable_.entry;
  return is_quorum(entry.members, holds) &&
         (entry.former.empty() || is_quorum(entry.former, holds));
}

}  // namespace saddlewing
