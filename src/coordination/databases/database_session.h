#pragma once
// One client's session: its values, its prepared names, its transaction. Pure: messages and a clock
// in, messages out.
#include <map>
#include <string>

#include "coordination/databases/connection_pool.h"
#include "protocol/database_protocol.h"
#include "state/configuration.h"
#include "transport/database_message.h"

namespace saddlewing {

class Session;

// Whom to ask, as seen now.
struct DatabaseChoice {
  BackendPointer backend;  // null: nobody for now; it is worth waiting
  bool is_lead = false;    // asked as the leader: only under a hold
  LogPosition after;       // of a copy: what its log must hold
};

class SessionContext {
 public:
  virtual ~SessionContext() = default;
  virtual const ConfigurationSnapshot& configuration() const = 0;  // null: none yet
  virtual DatabaseChoice choose(const Session& session, const std::string& service,
                                const Route& route, bool must_lead, TimePoint began,
                                TimePoint now) = 0;
  virtual bool holds_leadership(const Backend& backend, TimePoint now) const = 0;
  virtual bool may_wait(Session& session) = 0;  // until `proceed` is called; false: too many wait
  virtual void stop_waiting(Session& session) = 0;
  virtual void record_refusal(Backend& backend, StatementError error, TimePoint now) = 0;
  virtual void send_to_client(Session& session, std::string bytes) = 0;
  virtual void close(Session& session) = 0;                   // after what was said has left
  virtual void set_due(Session& session, TimePoint due) = 0;  // Moment::max(): never
  virtual DatabaseConnectionPool& pool() = 0;
  virtual int max_connections(const Service& service) const = 0;
};

// Its way: Greeting -> Idle -> Seeking -> Preparing -> Asking -> Idle; within a transaction Resting
// stands for Idle, and Failed follows a statement that did not succeed, until the transaction's
// end. Closing ends it. Invariants: a connection is held only from a transaction's first statement
// to its end; values and names are exactly what was acknowledged; a write or SAVE whose bytes left
// is never sent again.
class Session final : public ConnectionWaiter, public ConnectionUser {
 public:
  enum class State {
    greeting,
    idle,
    seeking,
    preparing,
    attempting,
    resting,
    failed,
    closing
  };
  explicit Session(SessionContext& context) : context_(context) {
  }
  ~Session() override;

  void handle_message(DatabaseMessage&& message, TimePoint now);
  void refuse_unreadable(StatementError error);  // what cannot be read: told, then closed
  bool is_busy() const {
    return state_ == State::seeking || state_ == State::preparing || state_ == State::attempting;
  }
  bool is_in_transaction() const {
    return has_transaction_;
  }
  State state() const {
    return state_;
  }
  const std::string& database() const {
    return database_;
  }
  const LogPosition& own_position() const {
    return own_position_;
  }
  void proceed(TimePoint now);  // what it waited for may be there
  void on_due(TimePoint now);
  void handle_client_left(TimePoint now);  // the client is gone
  // The client sends nothing more, and may be gone or wait for its answers. From then on the bounds
  // of ended_input.h hold for each statement; what would last has its whole time once it began.
  void end_input(TimePoint now);

  const Values& wanted_values() const override {
    return values_;
  }
  void on_connection(DatabaseConnection& connection, TimePoint now) override;
  void on_no_connection(Backend& backend, StatementError why, TimePoint now) override;
  void on_prepared(DatabaseConnection& connection, StatementError error) override;
  void on_response(DatabaseConnection& connection, StatementResult result) override;
  void on_broken(DatabaseConnection& connection) override;

 private:
  void use_route(const Route& route);
  void handle_connect(DatabaseMessage&& message);
  void handle_statement(const std::string& id, const std::string& text, TimePoint now);
  bool handle_locally(const Statement& statement, TimePoint now);  // what needs no backend
  void start(const std::string& id, const std::string& text, const Statement& statement,
             TimePoint now);
  void prepare(TimePoint now);
  void send(TimePoint now);
  bool may_begin(TimePoint now) const {
    return now < begin_until_;
  }
  bool may_try_again(TimePoint now) const {
    return tries_ < max_tries_ && may_begin(now);
  }
  void limit_work_after_input(TimePoint now);
  void release_connection(TimePoint now);
  bool has_leadership(TimePoint now) const {
    return !needs_leadership_ || !connection_ ||
           context_.holds_leadership(connection_->backend(), now);
  }
  void handle_lost_response(TimePoint now);
  void send_completion(const std::string& stamp, char state, const std::string& position,
                       std::string rows = {});
  void send_error(StatementError error, const std::string& text, char state);
  void finish_failed(StatementError error, const std::string& text, TimePoint now);
  void end_transaction(TimePoint now);
  void set_rest_deadline(TimePoint now);

  SessionContext& context_;
  State state_ = State::greeting;
  std::string database_;
  Values values_;
  std::map<std::string, Prepared> names_;
  LogPosition own_position_;  // of its last commit

  // The transaction. Invariant: without one, no lane is held while nothing is asked.
  bool has_transaction_ = false, is_read_only_ = false, has_begun_ = false, has_asked_ = false;
  bool is_rolled_back_ =
      false;  // ended without the client's word; it is told with its next statement
  DatabaseConnection* connection_ = nullptr;
  bool needs_leadership_ = false;
  LogPosition after_;
  Route route_;  // as at its start, and its service's name then
  std::string service_;
  int max_connections_ = 1;
  Duration max_rest_{3000};

  bool has_input_ended_ = false;  // the client sends nothing more

  // The statement at work.
  std::string id_, text_;
  StatementVerb verb_ = StatementVerb::none;
  bool is_write_ = false;  // its effect would last: a WRITE outside a transaction, or SAVE
  const Prepared* prepared_ = nullptr;
  TimePoint started_at_{}, deadline_{};
  TimePoint begin_until_ = TimePoint::max();  // it is not sent to a database later
  TimePoint work_until_{};                    // its outcome is not waited for longer
  int tries_ = 0, max_tries_ = 2;
};

}  // namespace saddlewing
