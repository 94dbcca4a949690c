#include "transport/frame_link.h"

namespace saddlewing {
namespace {

constexpr int max_held = 256;  // frames a socket holds each way
constexpr int largest_frame =
    16 << 20;  // an entry carries the whole state: a configuration of 8 MiB and the sheets

void prepare(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, max_held);
  socket.set(zmq::sockopt::rcvhwm, max_held);
  socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(largest_frame));
  socket.set(zmq::sockopt::heartbeat_ivl, 1000);
  socket.set(zmq::sockopt::heartbeat_timeout, 2500);
  socket.set(zmq::sockopt::tcp_maxrt, 4000);
}

std::optional<std::string> receive_part(zmq::socket_t& socket, zmq::recv_flags flags) {
  zmq::message_t message;
  if (!socket.recv(message, flags))
    return std::nullopt;
  return std::string(static_cast<const char*>(message.data()), message.size());
}

}  // namespace

Error FrameServer::open(LinkContext& context, const Address& address) {
  try {
    socket_ = zmq::socket_t(context.context(), zmq::socket_type::router);
    prepare(socket_);
    socket_.set(zmq::sockopt::router_handover, true);
    socket_.bind("tcp://" + address.text());
    return {};
  } catch (const zmq::error_t& thrown) {
    return make_error(ErrorCode::link, "bind of the inner address",
                      address.text() + ": " + thrown.what());
  }
}

std::optional<ReceivedFrame> FrameServer::receive() {
  try {
    auto routing_id = receive_part(socket_, zmq::recv_flags::dontwait);
    if (!routing_id)
      return std::nullopt;
    ReceivedFrame frame{std::move(*routing_id), {}};
    while (socket_.get(zmq::sockopt::rcvmore)) {
      auto part = receive_part(socket_, zmq::recv_flags::dontwait);
      if (part)
        frame.bytes += *part;
    }
    return frame;
  } catch (const zmq::error_t&) {
    return std::nullopt;
  }
}

bool FrameServer::send(const std::string& routing_id, const std::string& bytes) {
  try {
    if (!socket_.send(zmq::buffer(routing_id),
                      zmq::send_flags::sndmore | zmq::send_flags::dontwait))
      return false;
    return socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t&) {
    return false;
  }
}

FrameClient::FrameClient(LinkContext& context, const Address& address) : address_(address) {
  try {
    socket_ = zmq::socket_t(context.context(), zmq::socket_type::dealer);
    prepare(socket_);
    socket_.set(zmq::sockopt::immediate, true);
    socket_.set(zmq::sockopt::connect_timeout, 200);
    socket_.set(zmq::sockopt::reconnect_ivl, 50);
    socket_.set(zmq::sockopt::reconnect_ivl_max, 100);
    socket_.connect("tcp://" + address.text());
  } catch (const zmq::error_t&) {
    // A spoke that could not be set up sends nothing; its node counts as silent.
  }
}

std::optional<ReceivedFrame> FrameClient::receive() {
  try {
    auto bytes = receive_part(socket_, zmq::recv_flags::dontwait);
    if (!bytes)
      return std::nullopt;
    while (socket_.get(zmq::sockopt::rcvmore))
      receive_part(socket_, zmq::recv_flags::dontwait);
    return ReceivedFrame{{}, std::move(*bytes)};
  } catch (const zmq::error_t&) {
    return std::nullopt;
  }
}

bool FrameClient::send(const std::string& bytes) {
  try {
    return socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t&) {
    return false;
  }
}

void wait_links(const std::vector<void*>& handles, const Waker& waker, Duration limit) {
  std::vector<zmq::pollitem_t> items;
  items.reserve(handles.size() + 1);
  for (void* handle : handles)
    items.push_back({handle, 0, ZMQ_POLLIN, 0});
  items.push_back({nullptr, waker.descriptor(), ZMQ_POLLIN, 0});
  try {
    zmq::poll(items, limit);
  } catch (const zmq::error_t&) {
    return;
  }
  if (items.back().revents)
    waker.clear();
}

}  // namespace saddlewing
