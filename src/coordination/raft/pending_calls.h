#pragma once
// Calls of operators at a registry, from their arrival to their reply, and the record of which
// configurations were accepted.
//
// Sends nothing and decides nothing about consensus: ControlLoop passes calls to the Raft node or
// on to the leader. Pure and not thread-safe: one instance per registry, used in its thread.
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/forwarding_messages.h"
#include "state/durable_store.h"
#include "state/types.h"

namespace saddlewing {

// XXH3 of a configuration, 64 bits.
std::uint64_t digest_of(const std::string& body);

// Name of the document with the digests of the configurations that were accepted under the last
// versions. It is agreed together with them. Invariant: one digest under each version, that of the
// configuration which was accepted first.
inline constexpr const char* accepted_document = "orders";

// The document with one more digest; unchanged if the version has one already. Keeps the newest
// 256 versions at least.
std::string record_accepted(const std::string& document, Version version, std::uint64_t digest);

// Whether a configuration was accepted under its version.
enum class Acceptance {
  unknown,  // too old to be remembered, or nothing is recorded
  rejected,
  accepted
};
Acceptance find_accepted(const std::string& document, Version version, std::uint64_t digest);

// The reply to an operator whose configuration counts as acknowledged, by the state `committed`
// here: one line of JSON.
std::string make_acknowledgement(const Entry& committed, Version version, std::uint64_t digest);

// The calls that wait at this registry. A reply of another registry is believed only if it names
// this incarnation, the call, its kind and what was asked, comes from the registry that the call
// was sent to last, and, for a read, from a leader of no lower term than known then.
class PendingCalls {
 public:
  struct Call {
    bool is_read = false;
    Version version;
    std::string body;          // of a proposal: the configuration
    std::uint64_t digest = 0;  // of the body; 0 of a read

    // Inner address of the registry that passed the call on; empty: it came from an operator here.
    std::string origin;
    IncarnationId origin_incarnation;
    std::uint64_t origin_token = 0;
    Term origin_term;  // known there when it was passed on

    // The newest version that was committed here when the call came.
    Version committed_before;

    std::string sent_to;     // who has it now; empty: nobody yet
    std::string refused_by;  // who sent it back last, as it does not lead
    TimePoint sent_at{};     // when it was sent last
    Term asked_term;         // known here when it was sent
    TimePoint deadline;
  };

  // `incarnation`: of this process.
  explicit PendingCalls(IncarnationId incarnation) : incarnation_(incarnation) {
  }

  // Adds a call of an operator here. Returns its token, never 0.
  std::uint64_t add(bool is_read, Version version, std::string body, std::uint64_t origin_token,
                    TimePoint deadline);
  // Adds a call that another registry passed on. Returns its token, never 0.
  std::uint64_t add(ForwardedCall forward, std::string origin, IncarnationId origin_incarnation,
                    TimePoint deadline);
  // Notes that the call goes to `to`, an inner address, and returns the frame for it. The token has
  // to be of a call that waits.
  ForwardedCall send(std::uint64_t token, const std::string& to, Term term);
  // Returns the token of the call that `answer` replies to; 0: of none, and nothing changed. A
  // reply that nothing was done leaves the call to be sent again.
  std::uint64_t handle_reply(const ForwardedReply& answer, const std::string& from);
  // The frame that tells the origin of a call what came of it.
  static ForwardedReply make_reply(const Call& call, bool is_done, Term term, std::string body);

  // The call of that token; null if it waits no more. Valid until the call is removed.
  Call* find(std::uint64_t token);
  std::optional<Call> remove(std::uint64_t token);
  // All that wait, by token.
  std::map<std::uint64_t, Call>& calls() {
    return calls_;
  }
  bool is_empty() const {
    return calls_.empty();
  }

 private:
  IncarnationId incarnation_;
  std::uint64_t last_token_ = 0;  // Invariant: never falls, tokens are not used twice
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace saddlewing
