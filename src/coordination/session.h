#pragma once
// One client's session: its values, its prepared names, its transaction. Pure: messages and a clock
// in, messages out.
#include <map>
#include <string>

#include "coordination/pool.h"
#include "state/configuration.h"

namespace saddlewing {

class Session;

// Whom to ask, as seen now.
struct DatabaseChoice {
  BackendPointer backend;  // null: nobody for now; it is worth waiting
  bool is_lead = false;    // asked as the leader: only under a hold
  LogPlace after;          // of a copy: what its log must hold
};

class SessionGround {
 public:
  virtual ~SessionGround() = default;
  virtual const ConfigurationSnapshot& configuration() const = 0;  // null: none yet
  virtual DatabaseChoice choose(const Session& session, const std::string& service,
                                const Rule& rule, bool must_lead, Moment began, Moment now) = 0;
  virtual bool holds_lead(const Backend& backend, Moment now) const = 0;
  virtual bool may_wait(Session& session) = 0;  // until `proceed` is called; false: too many wait
  virtual void stop_waiting(Session& session) = 0;
  virtual void see_refusal(Backend& backend, Verdict verdict, Moment now) = 0;
  virtual void say(Session& session, std::string bytes) = 0;
  virtual void close(Session& session) = 0;                // after what was said has left
  virtual void set_due(Session& session, Moment due) = 0;  // Moment::max(): never
  virtual Pool& pool() = 0;
  virtual int most_lanes(const Service& service) const = 0;
};

// Its way: Greeting -> Idle -> Seeking -> Preparing -> Asking -> Idle; within a transaction Resting
// stands for Idle, and Failed follows a statement that did not succeed, until the transaction's
// end. Closing ends it. Invariants: a connection is held only from a transaction's first statement
// to its end; values and names are exactly what was acknowledged; a write or SAVE whose bytes left
// is never sent again.
class Session final : public LaneSeeker, public LaneUser {
 public:
  enum class State {
    greeting,
    idle,
    seeking,
    preparing,
    asking,
    resting,
    failed,
    closing
  };
  explicit Session(SessionGround& ground) : ground_(ground) {
  }
  ~Session() override;

  void take(WireMessage&& message, Moment now);
  void take_wrong(Verdict verdict);  // what cannot be read: told, then closed
  bool is_busy() const {
    return state_ == State::seeking || state_ == State::preparing || state_ == State::asking;
  }
  bool is_in_change() const {
    return has_change_;
  }
  State state() const {
    return state_;
  }
  const std::string& database() const {
    return database_;
  }
  const LogPlace& own_place() const {
    return own_place_;
  }
  void proceed(Moment now);  // what it waited for may be there
  void on_due(Moment now);
  void leave(Moment now);  // the client is gone

  const Values& wanted_values() const override {
    return values_;
  }
  void on_lane(Lane& lane, Moment now) override;
  void on_no_lane(Backend& backend, Verdict why, Moment now) override;
  void on_prepared(Lane& lane, Verdict verdict) override;
  void on_outcome(Lane& lane, LaneOutcome outcome) override;
  void on_broken(Lane& lane) override;

 private:
  void adopt(const Rule& rule);
  void greet(WireMessage&& message);
  void take_idle(const std::string& id, const std::string& text, Moment now);
  bool take_own(const Statement& statement, Moment now);  // what needs no backend
  void start(const std::string& id, const std::string& text, const Statement& statement,
             Moment now);
  void prepare(Moment now);
  void send(Moment now);
  bool may_try_again() const {
    return tries_ < most_tries_;
  }
  void drop_lane(Moment now);
  bool has_lead(Moment now) const {
    return !is_lead_ || !lane_ || ground_.holds_lead(lane_->backend(), now);
  }
  void lose_outcome(Moment now);
  void say_done(const std::string& stamp, char state, const std::string& place,
                std::string rows = {});
  void say_error(Verdict verdict, const std::string& text, char state);
  void finish_failed(Verdict verdict, const std::string& text, Moment now);
  void end_change(Moment now);
  void settle(Moment now);

  SessionGround& ground_;
  State state_ = State::greeting;
  std::string database_;
  Values values_;
  std::map<std::string, Prepared> names_;
  LogPlace own_place_;  // of its last commit

  // The transaction. Invariant: without one, no lane is held while nothing is asked.
  bool has_change_ = false, is_read_only_ = false, has_begun_ = false, has_asked_ = false;
  bool is_undone_ = false;  // ended without the client's word; it is told with its next statement
  Lane* lane_ = nullptr;
  bool is_lead_ = false;
  LogPlace after_;
  Rule rule_;  // as at its start, and its service's name then
  std::string service_;
  int most_lanes_ = 1;
  Span change_rest_{3000};

  // The statement at work.
  std::string id_, text_;
  Verb verb_ = Verb::none;
  bool is_write_ = false;  // its effect would last: a WRITE outside a transaction, or SAVE
  const Prepared* prepared_ = nullptr;
  Moment began_{}, deadline_{};
  int tries_ = 0, most_tries_ = 2;
};

}  // namespace saddlewing
