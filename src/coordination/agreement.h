#pragma once
// Raft among the registries over one small state: the newest configuration and the members of the core.
// Pure: messages, saves and a clock go in; messages, saves and results come out.
//
// Every entry carries the whole state, so the log is its last entry alone: a follower that takes the leader's entry
// has all that came before it, and a voter compares (term, index) of last entries as usual. One entry is under way
// at a time. Members change by one at a time, and only after an entry of the leader's own term is committed.
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "protocol/frames.h"
#include "state/store.h"
#include "state/types.h"

namespace saddlewing {

struct AgreementOptions {
  std::string address;         // own inner address
  Span beat{150};
  Span election{700};          // least wait for a leader; drawn up to twice that
  std::uint32_t voters = 0;    // how many the core wants, to bear the losses it must; 0: as many as founded it
  Span silent{3000};           // a voter silent for longer may be replaced by a caught-up learner
  Span stuck{700};             // a save under way for longer: the disk is stuck
  std::uint64_t draw = 1;      // differs by process
};

struct AgreementProbe;

class Agreement {
 public:
  enum class Role { follower, pre_candidate, candidate, leader };
  enum class Verdict { done, failed };
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

  Agreement(Durable durable, AgreementOptions options, std::vector<std::string> contacts, Moment now);

  void receive(const RaftMessage& message, Moment now);
  void tick(Moment now);
  void finish_save(std::uint64_t serial, bool is_saved, Moment now);
  void propose(Version version, std::string body, std::uint64_t token, Moment now);
  // Replaces one sheet. Only the leader's own parts propose, each after its last proposal was committed.
  void propose_sheet(std::string name, std::string text, std::uint64_t token, Moment now);
  void confirm_read(std::uint64_t token, Moment now);
  void transfer(Moment now);
  void set_contacts(std::vector<std::string> contacts) { contacts_ = std::move(contacts); }
  Output take(Moment now);
  Moment next_due() const { return due_; }

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::leader; }
  Term term() const { return durable_.term; }
  const std::string& leader_address() const { return leader_; }
  MemberId self() const { return durable_.self; }
  // Null until this life knows something committed.
  const EntrySnapshot& committed() const { return committed_; }
  // A quorum stands behind what this node holds committed.
  bool is_confirmed(Moment now) const;
  // Nobody else can lead before now: a majority answered a beat that left within the least election time-out.
  bool is_leased(Moment now) const;
  std::vector<std::string> known_addresses() const;

 private:
  friend struct AgreementProbe;  // tools/model_probe.h: tells states apart
  struct Peer {
    std::string address;
    Moment heard{}, sent_at{};
    bool is_matched = false;      // holds the leader's last entry
    std::uint64_t sent_serial = 0;  // entry serial sent at sent_at
    std::uint64_t round = 0;
    Moment leased{};  // when the beat left that it answered last
  };
  struct Waiting {
    Version version;
    std::string body;
    std::uint64_t token;
    std::string sheet, text;  // a sheet by name, instead of an version
  };
  struct Read {
    std::uint64_t token, round;
  };

  RaftMessage make(RaftMessage::Type type) const;
  void send(const std::string& to, RaftMessage message, bool is_durable);
  bool is_member(MemberId id) const;
  std::size_t majority() const { return durable_.entry->members.size() / 2 + 1; }
  bool is_newer_or_same(const RaftMessage& message) const;
  std::size_t heard_since(Moment since) const;

  void change_term(Term term, MemberId vote);
  void follow(Term term, Moment now);
  void set_election(Moment now);
  void start_pre_candidate(Moment now);
  void start_candidate(bool is_transfer, Moment now);
  void start_leader(Moment now);
  void count_votes(Moment now);
  void set_entry(EntrySnapshot entry);
  void start_entry(std::vector<Member> members, Moment now);
  void start_waiting(Moment now);
  void check_commit(Moment now);
  void check_reads();
  void tend_members(Moment now);
  void broadcast(Moment now, bool is_beat);
  void send_append(Peer& peer, Moment now, bool is_beat);
  void take_append(const RaftMessage& message, Moment now);
  void take_appended(const RaftMessage& message, Moment now);
  void take_vote(const RaftMessage& message, Moment now);
  void take_pre_vote(const RaftMessage& message, Moment now);
  void take_join(const RaftMessage& message, Moment now);
  void ask_to_join(Moment now);
  void fail_all();

  // Invariant: `serial_` counts changes of durable_; messages that promise one wait until `saved_` reached it.
  Durable durable_;
  std::uint64_t serial_ = 0, saved_ = 0, entry_serial_ = 0, saving_ = 0;
  std::optional<Moment> save_started_;
  Moment save_retry_{};
  AgreementOptions options_;
  std::vector<std::string> contacts_;
  std::mt19937_64 draw_;

  Role role_ = Role::follower;
  MemberId leader_id_;
  std::string leader_;
  Moment heard_leader_{}, due_{}, election_{}, beat_due_{};
  bool is_removed_ = false;
  int attempts_ = 0;  // to lead, since a leader was heard
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Peer> peers_;     // of a leader: members but itself, and learners
  std::map<MemberId, Moment> learners_;  // when they last asked or answered
  EntrySnapshot committed_;
  bool is_under_way_ = false;          // of a leader: its last entry is not committed yet
  std::vector<std::uint64_t> attached_;  // tokens answered by the entry under way
  std::vector<Waiting> waiting_;
  std::vector<Read> reads_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Moment> round_sent_;  // of the last rounds

  struct Held {
    std::uint64_t need;
    Outgoing outgoing;
  };
  std::vector<Held> held_;
  std::vector<Result> results_;
};

}  // namespace saddlewing
