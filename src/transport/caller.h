#pragma once
// The calling side of HTTP: one connection, one request at a time.
#include <cstdint>
#include <memory>
#include <string>

#include "transport/channel.h"
#include "transport/http.h"

namespace saddlewing {

class Caller;

// Whoever made a call. Exactly one of the two comes for each call begun.
class CallOwner {
 public:
  virtual ~CallOwner() = default;
  virtual void on_outcome(Caller& caller, Moment now) = 0;
  virtual void on_breakdown(Caller& caller, Kind kind, Moment now) = 0;
  virtual bool may_send(Caller&, Moment) {
    return true;
  }  // asked once, when the connection stands; false breaks the call down
  virtual void on_idle_end(Caller& caller) = 0;  // an idle connection ended or spoke out of turn
};

// Its way: Connecting -> Asking -> Idle -> Asking ... -> Ended.
// Invariant: bytes beyond the outcome end the connection, so an idle one is clean.
class Caller final : public Watcher {
 public:
  enum class State {
    connecting,
    asking,
    idle,
    ended
  };
  Caller(Poller& poller, CallOwner& owner, const Address& address, std::size_t most_head,
         std::size_t most_body);
  ~Caller() override {
    end();
  }

  // False: the connection is gone. Outcomes with another Try-Id than `try_id` are surplus and are
  // skipped. After `latest` no first byte leaves any more, whatever the connection or the process
  // was held up by.
  bool ask(const std::string& bytes, bool is_head, const std::string& try_id = {},
           Moment latest = Moment::max());
  // Of an idle one: nothing has come that nobody has seen yet, neither its end nor bytes out of
  // turn.
  bool is_quiet();
  State state() const {
    return state_;
  }
  MessageReader& reader() {
    return reader_;
  }
  bool has_sent() const {
    return has_sent_;
  }  // any byte of the request left
  bool has_heard() const {
    return has_heard_;
  }  // any byte of the outcome came
  bool was_connected() const {
    return was_connected_;
  }
  // Whether what came can only be to this request: none came before on this connection, nothing
  // surplus was passed over.
  bool is_beyond_doubt() const {
    return asked_count_ <= 1 && !is_doubtful_;
  }
  bool has_passed_over() const {
    return is_doubtful_;
  }
  int own_port() const {
    return channel_.own_port();
  }
  Moment connected_at() const {
    return connected_at_;
  }
  void end();
  void abort();  // ends it so that nothing of the request arrives later

  void on_ready(bool is_readable, bool is_writable) override;

 private:
  bool is_surplus() const;
  bool is_of_two()
      const;  // its id stands there more than once, as where one answer was cut and another follows
  void read(Moment now);
  void flush(Moment now);
  void fail(Kind kind, Moment now);

  Poller& poller_;
  CallOwner& owner_;
  Channel channel_;
  MessageReader reader_;
  State state_ = State::connecting;
  std::string out_, in_, try_id_;
  std::size_t sent_ = 0;
  std::uint64_t asked_count_ = 0;
  Moment connected_at_{}, latest_ = Moment::max();
  bool has_sent_ = false, has_heard_ = false, was_connected_ = false, is_asked_ = false,
       is_doubtful_ = false, is_head_ = false;
};

}  // namespace saddlewing
