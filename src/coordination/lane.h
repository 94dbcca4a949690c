#pragma once
// One connection to a database backend, and what it carries: values and prepared names. Pure: bytes
// go out through a link, messages come in.
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "coordination/backend.h"
#include "protocol/session_wire.h"

namespace saddlewing {

using Values = std::map<std::string, std::string>;

// A prepared name of a client, as the connections know it: renamed by what it does.
struct Prepared {
  std::string key, text;  // text: NAME key kind shape
  bool is_write = false;
};

class LaneLink {
 public:
  virtual ~LaneLink() = default;
  virtual bool send(const std::string& bytes) = 0;  // false: the connection is gone
  virtual void close() = 0;
};

struct LaneOutcome {
  Verdict verdict = Verdict::none;  // none: done
  std::string text;                 // the stamp, or the error's text
  std::string rows;                 // whole messages, as they came
  char state = 'I';
  std::string place;  // as READY told it
};

class Lane;
class LaneUser {
 public:
  virtual ~LaneUser() = default;
  virtual void on_prepared(Lane& lane, Verdict verdict) = 0;  // none: the lane is as asked
  virtual void on_outcome(Lane& lane, LaneOutcome outcome) = 0;
  virtual void on_broken(Lane& lane) = 0;  // its link ended; never while resting
};

// Its way: Greeting -> Resting -> Preparing -> Asking -> (Resting | Held) ... -> Broken. Ending: an
// UNDO is under way. Invariant: `values_` and `names_` are what the backend acknowledged, nothing
// more.
class Lane {
 public:
  enum class State {
    greeting,
    resting,
    held,
    preparing,
    asking,
    ending,
    broken
  };
  class Keeper {  // the pool
   public:
    virtual ~Keeper() = default;
    virtual void on_lane_ready(Lane& lane) = 0;  // it rests, and may be given to another
    virtual void on_lane_broken(Lane& lane, Verdict why) = 0;
    virtual void on_place(Backend& backend, const LogPlace& place, Moment asked) = 0;
    virtual void on_answer(Backend& backend, bool is_fine) = 0;
  };
  Lane(Keeper& keeper, BackendPointer backend) : keeper_(keeper), backend_(std::move(backend)) {
  }

  void open(std::unique_ptr<LaneLink> link, Moment now);
  State state() const {
    return state_;
  }
  Backend& backend() {
    return *backend_;
  }
  const BackendPointer& backend_pointer() const {
    return backend_;
  }
  Moment since() const {
    return asked_;
  }  // of the state greeting, preparing or asking
  LaneUser* user() const {
    return user_;
  }
  // How far its values are from those wanted: 0 the same; over 1000 they must be cleared.
  int distance(const Values& values) const;

  void take(LaneUser& user) {
    user_ = &user, state_ = State::held;
  }
  // Brings values and names to those wanted and begins, if `begin` is not empty. True: nothing had
  // to be asked.
  bool prepare(const Values& values, const Prepared* name, const std::string& begin, Moment now);
  void ask(const std::string& bytes, Moment now);
  // The user is done with it. In a transaction or in the middle of something it is brought to rest
  // first.
  void release(Moment now);
  void close(Verdict why = Verdict::none);  // breaks it without telling the user

  void take_message(WireMessage&& message, Moment now);
  void take_end() {
    fail(state_ == State::resting ? Verdict::none : Verdict::unknown);
  }
  void answer_is_late() {
    fail(Verdict::timeout);
  }

 private:
  enum class Awaited {
    connect,
    clear,
    set,
    name,
    begin,
    ask,
    undo
  };
  struct Expected {
    Awaited what;
    std::string first, second;
  };
  void expect(Awaited what, const std::string& text, std::string first = {},
              std::string second = {});
  void finish(Expected expected, Moment now);
  void finish_ask(Moment now);
  void fail(Verdict why);

  Keeper& keeper_;
  BackendPointer backend_;
  std::unique_ptr<LaneLink> link_;
  State state_ = State::greeting;
  LaneUser* user_ = nullptr;
  Values values_;
  std::set<std::string> names_;
  std::deque<Expected> expected_;
  std::string out_;  // gathered until sent at once
  LaneOutcome outcome_;
  Verdict prepared_ = Verdict::none;
  char wire_state_ = 'I';
  bool has_ended_ = false;  // DONE or ERROR came; READY is due, and nothing else
  Moment asked_{};
};

}  // namespace saddlewing
