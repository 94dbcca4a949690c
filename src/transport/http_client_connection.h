#pragma once
// The calling side of HTTP: one connection, one request at a time.
#include <cstdint>
#include <memory>
#include <string>

#include "transport/http_message.h"
#include "transport/tcp_connection.h"

namespace saddlewing {

class HttpClientConnection;

// Whoever made a call. Exactly one of the two comes for each call begun.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  virtual void on_response(HttpClientConnection& caller, TimePoint now) = 0;
  virtual void on_failure(HttpClientConnection& caller, ErrorCode kind, TimePoint now) = 0;
  virtual bool may_send(HttpClientConnection&, TimePoint) {
    return true;
  }  // asked once, when the connection stands; false breaks the call down
  virtual void on_idle_end(
      HttpClientConnection& caller) = 0;  // an idle connection ended or spoke out of turn
};

// Its way: Connecting -> Asking -> Idle -> Asking ... -> Ended.
// Invariant: bytes beyond the outcome end the connection, so an idle one is clean.
class HttpClientConnection final : public Watcher {
 public:
  enum class State {
    connecting,
    attempting,
    idle,
    ended
  };
  HttpClientConnection(Poller& poller, HttpCallObserver& owner, const Address& address,
                       std::size_t max_head, std::size_t max_body);
  ~HttpClientConnection() override {
    end();
  }

  // False: the connection is gone. Outcomes with another Try-Id than `try_id` are surplus and are
  // skipped. After `latest` no first byte leaves any more, whatever the connection or the process
  // was held up by.
  bool ask(const std::string& bytes, bool is_head, const std::string& try_id = {},
           TimePoint latest = TimePoint::max());
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
  bool has_received() const {
    return has_received_;
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
    return tcp_.own_port();
  }
  TimePoint connected_at() const {
    return connected_at_;
  }
  void end();
  void abort();  // ends it so that nothing of the request arrives later

  void on_ready(bool is_readable, bool is_writable) override;

 private:
  bool is_surplus() const;
  bool is_of_two()
      const;  // its id stands there more than once, as where one answer was cut and another follows
  void read(TimePoint now);
  void flush(TimePoint now);
  void fail(ErrorCode kind, TimePoint now);

  Poller& poller_;
  HttpCallObserver& owner_;
  TcpConnection tcp_;
  MessageReader reader_;
  State state_ = State::connecting;
  std::string out_, in_, try_id_;
  std::size_t sent_ = 0;
  std::uint64_t asked_count_ = 0;
  TimePoint connected_at_{}, latest_ = TimePoint::max();
  bool has_sent_ = false, has_received_ = false, was_connected_ = false, is_asked_ = false,
       is_doubtful_ = false, is_head_ = false;
};

}  // namespace saddlewing
