#pragma once
// One connection that carries the session wire: bytes out, whole messages in.
#include <functional>
#include <string>

#include "transport/database_message.h"
#include "transport/peer_input.h"
#include "transport/tcp_connection.h"

namespace saddlewing {

// Its way: Connecting -> Open -> Ended. Invariant: after Ended nothing is delivered any more.
// Behind the end of a client's input the messages that came whole are delivered in their turn, and
// the connection ends once the owner wants more than there is and what was sent has left. A
// connection to a server ends with its input, as then no answer can come.
class DatabaseTransport final : public Watcher {
 public:
  struct Owner {
    std::function<bool(DatabaseMessage&&)> on_message;  // false: no more for now; `resume` goes on
    std::function<void(DatabaseReadResult)>
        on_end;  // more: the peer ended it; else what could not be read
    // The client sends nothing more, while a message of its is at work. Unset: the peer is a
    // server.
    std::function<void()> on_input_end = {};
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
  bool has_input_ended() const {
    return input_.has_ended();
  }
  bool has_unsent() const {
    return sent_ < out_.size();
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
