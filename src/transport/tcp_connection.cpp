#include "transport/tcp_connection.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>

namespace saddlewing {

using Poco::Net::PollSet;
using Poco::Net::SocketAddress;

namespace {

// POCO throws even when a non-blocking socket merely has no room.
bool is_momentary(int code) {
  return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

}  // namespace

void TcpConnection::prepare() {
  try {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    socket_.setKeepAlive(true);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 5);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 2);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPCNT, 3);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, 8000);
  } catch (const Poco::Exception&) {
    // The options only shorten the wait for a dead peer.
  }
}

std::optional<TcpConnection> TcpConnection::connect(const Address& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)));
    return TcpConnection(socket);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

Transfer TcpConnection::send(const char* bytes, std::size_t count) {
  try {
    const int sent = socket_.sendBytes(bytes, static_cast<int>(count));
    return {sent > 0 ? static_cast<std::size_t>(sent) : 0, false};
  } catch (const Poco::Exception& thrown) {
    return {0, !is_momentary(thrown.code())};
  }
}

Transfer TcpConnection::receive(char* bytes, std::size_t count) {
  try {
    const int got = socket_.receiveBytes(bytes, static_cast<int>(count));
    if (got == 0)
      return {0, true, true};
    return {got > 0 ? static_cast<std::size_t>(got) : 0, false};
  } catch (const Poco::Exception& thrown) {
    return {0, !is_momentary(thrown.code())};
  }
}

bool TcpConnection::has_error() {
  try {
    return socket_.impl()->socketError() != 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

bool TcpConnection::is_connected_well() {
  return !has_error();
}

int TcpConnection::own_port() const {
  try {
    return socket_.address().port();
  } catch (const Poco::Exception&) {
    return 0;
  }
}

void TcpConnection::finish_sending() {
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    // The peer is gone already.
  }
}

void TcpConnection::reset_at_close() {
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // The peer is gone already.
  }
}

Error Listener::open(const Address& address) {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)), true, false);
    socket.listen(512);
    socket.setBlocking(false);
    socket_ = socket;
    is_open_ = true;
    return {};
  } catch (const Poco::Exception& thrown) {
    return make_error(ErrorCode::link, "listen", address.text() + ": " + thrown.displayText());
  }
}

std::optional<TcpConnection> Listener::admit() {
  try {
    return TcpConnection(socket_.acceptConnection());
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

void Listener::close() {
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // Nothing is left to close.
  }
  is_open_ = false;
}

Poller::Poller() : wake_socket_(new Poco::Net::StreamSocketImpl(::dup(waker_.descriptor()))) {
  set_.add(wake_socket_, PollSet::POLL_READ);
}

Poller::Seat* Poller::seat_of(const Poco::Net::Socket& socket) {
  const int descriptor = socket.impl()->sockfd();
  if (descriptor < 0)
    return nullptr;
  if (seats_.size() <= static_cast<std::size_t>(descriptor))
    seats_.resize(descriptor + 64);
  return &seats_[descriptor];
}

void Poller::watch(const Poco::Net::Socket& socket, int mode, Watcher& watcher) {
  Seat* seat = seat_of(socket);
  if (!seat)
    return;
  *seat = {socket.impl(), &watcher, mode};
  try {
    set_.add(socket,
             ((mode & read) ? PollSet::POLL_READ : 0) | ((mode & write) ? PollSet::POLL_WRITE : 0));
  } catch (const Poco::Exception&) {
    *seat = {};
  }
}

void Poller::change(const Poco::Net::Socket& socket, int mode) {
  Seat* seat = seat_of(socket);
  if (!seat || seat->socket != socket.impl() || seat->mode == mode)
    return;
  seat->mode = mode;
  try {
    set_.update(socket, ((mode & read) ? PollSet::POLL_READ : 0) |
                            ((mode & write) ? PollSet::POLL_WRITE : 0));
  } catch (const Poco::Exception&) {
    // A socket that broke meanwhile is found out by its next read.
  }
}

void Poller::leave(const Poco::Net::Socket& socket) {
  Seat* seat = seat_of(socket);
  if (!seat || seat->socket != socket.impl())
    return;
  *seat = {};
  try {
    set_.remove(socket);
  } catch (const Poco::Exception&) {
    // It left with its descriptor.
  }
}

void Poller::poll(Duration limit) {
  PollSet::SocketModeMap ready;
  try {
    ready = set_.poll(Poco::Timespan(limit.count() * 1000));
  } catch (const Poco::Exception&) {
    return;
  }
  for (const auto& [socket, mode] : ready) {
    if (socket == wake_socket_) {
      waker_.clear();
      continue;
    }
    const Seat* seat = seat_of(socket);
    if (!seat || seat->socket != socket.impl() || !seat->watcher)
      continue;
    const bool has_failed = mode & PollSet::POLL_ERROR;
    seat->watcher->on_ready((mode & PollSet::POLL_READ) || has_failed,
                            (mode & PollSet::POLL_WRITE) || has_failed);
  }
}

}  // namespace saddlewing
