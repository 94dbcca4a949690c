#pragma once
// One connection to a database backend, and what it carries: values and prepared names. Pure: bytes
// go out through a link, messages come in.
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "coordination/routing/load_balancer.h"
#include "protocol/database_protocol.h"
#include "transport/database_message.h"

namespace saddlewing {

using Values = std::map<std::string, std::string>;

// A prepared name of a client, as the connections know it: renamed by what it does.
struct Prepared {
  std::string key, text;  // text: NAME key kind shape
  bool is_write = false;
};

class DatabaseConnectionLink {
 public:
  virtual ~DatabaseConnectionLink() = default;
  virtual bool send(const std::string& bytes) = 0;  // false: the connection is gone
  virtual void close() = 0;
};

struct StatementResult {
  StatementError error = StatementError::none;  // none: done
  std::string text;                             // the stamp, or the error's text
  std::string rows;                             // whole messages, as they came
  char state = 'I';
  std::string position;  // as READY told it
};

class DatabaseConnection;
class ConnectionUser {
 public:
  virtual ~ConnectionUser() = default;
  virtual void on_prepared(DatabaseConnection& connection,
                           StatementError error) = 0;  // none: the lane is as asked
  virtual void on_response(DatabaseConnection& connection, StatementResult result) = 0;
  virtual void on_broken(
      DatabaseConnection& connection) = 0;  // its link ended; never while resting
};

// Its way: Greeting -> Resting -> Preparing -> Asking -> (Resting | Held) ... -> Broken. Ending: an
// UNDO is under way. Invariant: `values_` and `names_` are what the backend acknowledged, nothing
// more.
class DatabaseConnection {
 public:
  enum class State {
    greeting,
    resting,
    held,
    preparing,
    attempting,
    ending,
    broken
  };
  class Owner {  // the pool
   public:
    virtual ~Owner() = default;
    virtual void on_connection_ready(
        DatabaseConnection& connection) = 0;  // it rests, and may be given to another
    virtual void on_connection_broken(DatabaseConnection& connection, StatementError why) = 0;
    virtual void on_log_position(Backend& backend, const LogPosition& position,
                                 TimePoint asked) = 0;
    virtual void on_answer(Backend& backend, bool is_fine) = 0;
  };
  DatabaseConnection(Owner& keeper, BackendPointer backend)
      : owner_(keeper), backend_(std::move(backend)) {
  }

  void open(std::unique_ptr<DatabaseConnectionLink> link, TimePoint now);
  State state() const {
    return state_;
  }
  Backend& backend() {
    return *backend_;
  }
  const BackendPointer& backend_pointer() const {
    return backend_;
  }
  TimePoint since() const {
    return asked_;
  }  // of the state greeting, preparing or asking
  ConnectionUser* user() const {
    return user_;
  }
  // How far its values are from those wanted: 0 the same; over 1000 they must be cleared.
  int distance(const Values& values) const;

  void take(ConnectionUser& user) {
    user_ = &user, state_ = State::held;
  }
  // Brings values and names to those wanted and begins, if `begin` is not empty. True: nothing had
  // to be asked.
  bool prepare(const Values& values, const Prepared* name, const std::string& begin, TimePoint now);
  void ask(const std::string& bytes, TimePoint now);
  // The user is done with it. In a transaction or in the middle of something it is brought to rest
  // first.
  void release(TimePoint now);
  void close(StatementError why = StatementError::none);  // breaks it without telling the user

  void take_message(DatabaseMessage&& message, TimePoint now);
  void take_end() {
    fail(state_ == State::resting ? StatementError::none : StatementError::unknown);
  }
  void answer_is_late() {
    fail(StatementError::timeout);
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
  void finish(const Expected& expected, TimePoint now);
  void finish_ask(TimePoint now);
  void fail(StatementError why);

  Owner& owner_;
  BackendPointer backend_;
  std::unique_ptr<DatabaseConnectionLink> link_;
  State state_ = State::greeting;
  ConnectionUser* user_ = nullptr;
  Values values_;
  std::set<std::string> names_;
  std::deque<Expected> expected_;
  std::string out_;  // gathered until sent at once
  StatementResult result_;
  StatementError prepared_ = StatementError::none;
  char wire_state_ = 'I';
  bool has_ended_ = false;  // DONE or ERROR came; READY is due, and nothing else
  TimePoint asked_{};
};

}  // namespace saddlewing
