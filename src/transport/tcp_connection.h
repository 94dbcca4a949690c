#pragma once
// Non-blocking TCP on POCO's sockets. The library's exceptions end here.
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "state/error.h"
#include "state/node_settings.h"
#include "state/types.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

// Whoever waits on a socket.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void on_ready(bool is_readable, bool is_writable) = 0;
};

struct Transfer {
  std::size_t count = 0;
  bool is_closed = false;     // the peer closed, or the connection broke
  bool is_peer_done = false;  // closed in good order: the peer sends no more, but may still read
};

class TcpConnection {
 public:
  TcpConnection() = default;
  explicit TcpConnection(const Poco::Net::StreamSocket& socket) : socket_(socket) {
    prepare();
  }
  static std::optional<TcpConnection> connect(const Address& address);

  Transfer send(const char* bytes, std::size_t count);
  Transfer receive(char* bytes, std::size_t count);
  bool has_error();          // the socket has an error pending; asking for it takes it
  bool is_connected_well();  // after a connect in progress became writable
  int own_port() const;      // 0: it is not connected
  void finish_sending();
  void reset_at_close();  // what has not left by then is never delivered
  const Poco::Net::StreamSocket& socket() const {
    return socket_;
  }

 private:
  void prepare();
  Poco::Net::StreamSocket socket_;
};

class Listener {
 public:
  Error open(const Address& address);
  std::optional<TcpConnection> admit();
  void close();
  const Poco::Net::ServerSocket& socket() const {
    return socket_;
  }
  bool is_open() const {
    return is_open_;
  }

 private:
  Poco::Net::ServerSocket socket_;
  bool is_open_ = false;
};

// One thread's sockets. Watchers are found by descriptor; one that left during a round gets nothing
// more.
class Poller {
 public:
  enum Mode {
    read = 1,
    write = 2
  };
  void watch(const Poco::Net::Socket& socket, int mode, Watcher& watcher);
  void change(const Poco::Net::Socket& socket, int mode);
  void leave(const Poco::Net::Socket& socket);
  void poll(Duration limit);
  void wake() {
    waker_.wake();
  }

  Poller();

 private:
  struct Seat {
    const void* socket = nullptr;
    Watcher* watcher = nullptr;
    int mode = 0;
  };
  Seat* seat_of(const Poco::Net::Socket& socket);
  Waker waker_;
  Poco::Net::StreamSocket
      wake_socket_;  // the waker as the poll set wants it, on a descriptor of its own
  Poco::Net::PollSet set_;
  std::vector<Seat> seats_;
};

}  // namespace saddlewing
