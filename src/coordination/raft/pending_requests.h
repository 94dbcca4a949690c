#pragma once
// Proposals and reads that a leader has accepted and not answered yet, and the results.
//
// A proposal is pending until the next entry takes it, then in flight until that entry is
// committed. A read waits for a heartbeat round that began after it (Raft thesis, section 6.4).
// Knows nothing of terms or quorums: RaftNode says what is committed or confirmed.
// Owned by RaftNode, used in its thread alone.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

enum class RequestOutcome {
  done,   // committed, or of a read: confirmed by a quorum
  failed  // not known to be committed; may still come to be
};

struct RequestResult {
  std::uint64_t token;  // as given with the request
  RequestOutcome outcome;
  EntrySnapshot state;  // of a confirmed read; null otherwise
};

class PendingRequests {
 public:
  // Proposes a configuration under its version.
  void add_configuration(Version version, std::string body, std::uint64_t token) {
    proposals_.push_back({version, std::move(body), token, {}, {}});
  }
  // Proposes the new text of one document.
  void add_document(std::string name, std::string text, std::uint64_t token) {
    proposals_.push_back({{}, {}, token, std::move(name), std::move(text)});
  }
  // A read that is confirmed once a quorum has replied to `heartbeat_round` or a later one.
  void add_read(std::uint64_t token, std::uint64_t heartbeat_round) {
    reads_.push_back({token, heartbeat_round});
  }

  bool has_proposals() const {
    return !proposals_.empty();
  }
  // One of the pending proposals would change an entry of this version.
  bool has_change_to(Version version) const;
  // Writes the pending proposals into `entry`, in order; they are in flight from now on. A
  // configuration that is not newer than the entry's changes nothing.
  void apply_to(Entry& entry);

  // The entry that holds the proposals in flight is committed.
  void finish_in_flight();
  // Whatever is pending changes nothing, and counts as done.
  void finish_pending();
  // Finishes the reads for whose round `is_answered(heartbeat_round)` holds.
  template <class IsAnswered>
  void finish_reads(const IsAnswered& is_answered, const EntrySnapshot& state) {
    std::erase_if(reads_, [&](const Read& read) {
      if (!is_answered(read.heartbeat_round))
        return false;
      results_.push_back({read.token, RequestOutcome::done, state});
      return true;
    });
  }
  // The request was refused at once.
  void refuse(std::uint64_t token) {
    results_.push_back({token, RequestOutcome::failed, nullptr});
  }
  // Leadership is lost: everything fails.
  void fail_all();

  // Removes and returns the results so far, in order.
  std::vector<RequestResult> take_results() {
    return std::exchange(results_, {});
  }

 private:
  friend struct RaftNodeProbe;

  struct Proposal {
    Version version;
    std::string body;
    std::uint64_t token;
    std::string document;  // its name; empty: a configuration
    std::string text;      // of the document
  };
  struct Read {
    std::uint64_t token;
    std::uint64_t heartbeat_round;
  };

  std::vector<std::uint64_t> in_flight_tokens_;
  std::vector<Proposal> proposals_;
  std::vector<Read> reads_;
  std::vector<RequestResult> results_;
};

}  // namespace saddlewing
