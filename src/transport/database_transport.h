#pragma once
// One connection that carries the session wire: bytes out, whole messages in.
#include <functional>
#include <string>

#include "transport/database_message.h"
#include "transport/peer_input.h"
#include "transport/tcp_connection.h"

namespace saddlewing {

// Its way: Connecting -> Open -> Ended. Invariant: after Ended nothing is delivered any more. A
// peer that ends its sending side may still wait for an answer: the owner decides whether the
// connection stays open for that, and then ends it with `finish`. What it sent and was not
// delivered by then is dropped.
class DatabaseTransport final : public Watcher {
 public:
  struct Owner {
    std::function<bool(DatabaseMessage&&)> on_message;  // false: no more for now; `resume` goes on
    std::function<void(DatabaseReadResult)>
        on_end;  // more: the peer ended it; else what could not be read
    std::function<bool()> on_peer_done = {};  // true: it is still to be answered; unset: never
  };
  DatabaseTransport(Poller& poller, Owner owner) : poller_(poller), owner_(std::move(owner)) {
  }
  ~DatabaseTransport() override {
    close();
  }
  bool connect(const Address& address);
  void accept(TcpConnection connection);

  bool send(std::string_view bytes);  // false: the connection is gone
  void close();
  void finish();  // closes once what was sent has left
  void resume();
  bool is_ended() const {
    return state_ == State::ended;
  }
  bool is_peer_done() const {  // it sends no more, and is still to be answered
    return input_.has_ended();
  }
  bool has_room() const {
    return out_.size() - sent_ < max_unsent;
  }
  void on_ready(bool is_readable, bool is_writable) override;

 private:
  enum class State {
    connecting,
    open,
    ended
  };
  void read();
  void flush();
  void deliver_messages();
  void end(DatabaseReadResult result);
  void handle_input_end();
  void update_poller();  // watches for what can be read and is to be sent
  static constexpr std::size_t max_unsent = 8u << 20,
                               max_ahead = max_database_message_bytes + 65536;

  Poller& poller_;
  Owner owner_;
  TcpConnection tcp_;
  State state_ = State::ended;
  std::string in_, out_;
  std::size_t sent_ = 0;
  PeerInput input_;
  bool is_finishing_ = false, is_delivering_ = false, is_full_ = false, is_paused_ = false;
};

}  // namespace saddlewing
