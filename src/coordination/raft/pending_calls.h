#pragma once
// Operators' calls at a registry, from their coming to their answer. Pure.
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/forwarding_messages.h"
#include "state/types.h"

namespace saddlewing {

std::uint64_t digest_of(const std::string& body);  // XXH3, 64 bits

// The digests of the bodies taken under the last numbers, agreed together with them: the sheet
// `orders`. Invariant: one body under each number, the first that was taken.
inline constexpr const char* orders_document = "orders";
std::string record_order(const std::string& document, Version version, std::uint64_t digest);
enum class Taken {
  unknown,
  no,
  yes
};  // unknown: too long ago
Taken find_order(const std::string& document, Version version, std::uint64_t digest);

// What the operator is told of an order that counts as acknowledged, by the state `committed` here;
// JSON.
std::string acknowledge(const Entry& committed, Version version, std::uint64_t digest);

// The calls waiting here. An answer of another registry is believed only if it names this life, the
// call, its kind and what was asked, comes from whom it was asked last, and, for a read, from a
// leader of no lower term than known then.
class PendingCalls {
 public:
  struct Call {
    bool is_read = false;
    Version version;
    std::string body;
    std::uint64_t digest = 0;
    std::string origin;  // inner address of the registry that passed it on; empty: the own desk
    IncarnationId origin_incarnation;
    std::uint64_t origin_token = 0;
    Term origin_term;     // known there when it was asked
    std::string sent_to;  // who has it; empty: nobody yet
    Term asked_term;      // known here when it was sent
    TimePoint deadline;
  };
  explicit PendingCalls(IncarnationId incarnation) : incarnation_(incarnation) {
  }
  // Of the own desk, or passed on by another registry. The token, never 0.
  std::uint64_t add(bool is_read, Version version, std::string body, std::uint64_t origin_token,
                    TimePoint deadline);
  std::uint64_t add(ForwardedCall forward, std::string origin, IncarnationId origin_incarnation,
                    TimePoint deadline);
  ForwardedCall send(std::uint64_t token, const std::string& to, Term term);
  // The token of the call that it answers; 0: of none, and nothing changed. An answer that nothing
  // was done leaves the call to be asked again.
  std::uint64_t take(const ForwardedReply& answer, const std::string& from);
  static ForwardedReply answer(const Call& call, bool is_done, Term term, std::string body);
  Call* find(std::uint64_t token);
  std::optional<Call> remove(std::uint64_t token);
  std::map<std::uint64_t, Call>& calls() {
    return calls_;
  }
  bool is_empty() const {
    return calls_.empty();
  }

 private:
  IncarnationId incarnation_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace saddlewing
