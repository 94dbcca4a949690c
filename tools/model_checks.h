#pragma once
// What must hold in every walk. Pure: observations go in, the first violation comes out.
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model_walk.h"
#include "state/durable_store.h"

namespace saddlewing::model {

// The history of the operators' calls on the configuration, which is a register whose highest
// version prevails.
class History {
 public:
  std::size_t start(bool is_read, std::int64_t version);  // a write's body is its own number
  void finish_write(std::size_t call);
  void finish_read(std::size_t call, std::int64_t version, const std::string& body);
  bool is_finished(std::size_t call) const {
    return calls_[call].returned != 0;
  }
  std::size_t size() const {
    return calls_.size();
  }
  std::int64_t version_of(std::size_t call) const {
    return calls_[call].version;
  }
  std::uint64_t digest() const;
  // Empty: linearizable. Exact: see docs/model.md.
  std::string check() const;

 private:
  struct Call {
    bool is_read;
    std::int64_t version;
    std::string body;
    std::uint64_t invoked, returned;  // by the order of all beginnings and ends; 0: outcome unknown
  };
  std::vector<Call> calls_;
  std::uint64_t clock_ = 0;
};

// What the nodes of the core did, over all their lives.
class Ledger {
 public:
  void lead(Term term, MemberId id, std::uint64_t incarnation);
  void commit(const Entry& entry);
  void force(Version version);  // somebody serves by it, or says it is in force
  void acknowledge(Version version);
  const std::optional<Violation>& found() const {
    return found_;
  }
  void fail(const char* check, std::string text);
  std::uint64_t digest() const;
  std::uint64_t terms() const {
    return leaders_.size();
  }
  std::uint64_t commits() const {
    return entries_.size();
  }
  Version highest() const {
    return highest_;
  }

 private:
  struct Committed {
    Term term;
    Version version;
    std::uint64_t digest;
    std::vector<std::vector<Member>> lists;
  };
  void compare(std::uint64_t index, const Committed& older, const Committed& newer);
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> leaders_;
  std::map<std::uint64_t, Committed> entries_;
  std::map<std::int64_t, std::string> bodies_;
  Version highest_;
  std::optional<Violation> found_;
};

// Any majority of each of the older lists shares a member with any majority of each of the newer.
bool do_majorities_meet(const std::vector<std::vector<Member>>& older,
                        const std::vector<std::vector<Member>>& newer);

// The members before a joint entry, where entries know such.
template <class E>
std::vector<std::vector<Member>> lists_of(const E& entry) {
  std::vector<std::vector<Member>> lists{entry.members};
  if constexpr (requires { entry.outgoing; })
    if (!entry.outgoing.empty())
      lists.push_back(entry.outgoing);
  return lists;
}

// A planted fault: what an old leader sends counts as if it were of the present term.
template <class M>
void obey_lower_term(M& message, Term term) {
  message.term = message.last_log_term = term;
  if constexpr (requires { message.chunk; }) {
    if (message.chunk)
      message.chunk->term = term;
  } else if (message.entry) {
    auto entry = std::make_shared<Entry>(*message.entry);
    entry->term = term;
    message.entry = std::move(entry);
  }
}

}  // namespace saddlewing::model
