#pragma once
// What the end of a peer's sending means, alike for every protocol that is served here.
//
// The end of input (the peer called shutdown or close) ends reading and nothing else: what was read
// whole is served, each message gets its answer, and the connection ends after the last one. A
// connection is broken only if its socket says so: a read or a send that fails, or a pending error.
// Readiness alone says nothing: behind the end of input a socket may be told as readable, hung up
// or in error, and more than once.
#include <cstddef>

#include "transport/tcp_connection.h"

namespace saddlewing {

/** What a look at a peer's input showed. */
enum class InputEvent {
  nothing,  // nothing more for now
  bytes,    // bytes came
  ended,    // the peer sends nothing more; told once
  broken    // the connection is gone
};

struct InputResult {
  InputEvent event = InputEvent::nothing;
  std::size_t count = 0;  // of bytes that came
};

/** The receiving side of one connection. */
class PeerInput {
 public:
  /** Reads once; behind the end of input it only asks the socket whether it broke. */
  InputResult receive(TcpConnection& connection, char* buffer, std::size_t size);

  bool has_ended() const {
    return has_ended_;
  }

  /** What a poller is to watch for. Behind the end of input nothing is read any more. */
  int poller_mode(bool wants_input, bool has_output) const {
    const int read_mode = wants_input && !has_ended_ ? Poller::read : 0;
    const int write_mode = has_output ? Poller::write : 0;
    return read_mode | write_mode;
  }

 private:
  bool has_ended_ = false;
};

}  // namespace saddlewing
