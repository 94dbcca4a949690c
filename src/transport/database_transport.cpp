#include "transport/database_transport.h"

namespace saddlewing {

bool DatabaseTransport::connect(const Address& address) {
  auto connection = TcpConnection::connect(address);
  if (!connection)
    return false;
  tcp_ = std::move(*connection);
  state_ = State::connecting;
  poller_.watch(tcp_.socket(), Poller::read | Poller::write, *this);
  return true;
}

void DatabaseTransport::accept(TcpConnection connection) {
  tcp_ = std::move(connection);
  state_ = State::open;
  poller_.watch(tcp_.socket(), Poller::read, *this);
}

void DatabaseTransport::close() {
  if (state_ == State::ended)
    return;
  state_ = State::ended;
  poller_.leave(tcp_.socket());
  tcp_ = TcpConnection();
}

void DatabaseTransport::end(DatabaseReadResult result) {
  if (state_ == State::ended)
    return;
  close();
  owner_.on_end(result);
}

bool DatabaseTransport::send(std::string_view bytes) {
  if (state_ == State::ended)
    return false;
  out_ += bytes;
  if (out_.size() - sent_ > max_unsent)
    return false;
  if (state_ == State::open)
    flush();
  return state_ != State::ended;
}

void DatabaseTransport::finish() {
  is_finishing_ = true;
  if (state_ == State::open && out_.empty())
    end(DatabaseReadResult::incomplete);
}

void DatabaseTransport::flush() {
  while (sent_ < out_.size()) {
    const Transfer sent = tcp_.send(out_.data() + sent_, out_.size() - sent_);
    if (sent.is_closed)
      return end(DatabaseReadResult::incomplete);
    if (!sent.count)
      return update_poller();
    sent_ += sent.count;
  }
  out_.clear();
  sent_ = 0;
  update_poller();
  if (is_finishing_)
    end(DatabaseReadResult::incomplete);
}

void DatabaseTransport::on_ready(bool is_readable, bool is_writable) {
  if (state_ == State::connecting) {
    if (!tcp_.is_connected_well())
      return end(DatabaseReadResult::incomplete);
    if (!is_writable)
      return;
    state_ = State::open;
    return flush();
  }
  if (is_writable && state_ == State::open)
    flush();
  if (is_readable && state_ == State::open)
    read();
}

void DatabaseTransport::update_poller() {
  poller_.change(tcp_.socket(), input_.poller_mode(!is_full_, !out_.empty()));
}

// What came before the end is delivered first.
void DatabaseTransport::handle_input_end() {
  deliver_messages();
  if (state_ != State::open)
    return;
  if (!owner_.on_input_end)
    return end(DatabaseReadResult::incomplete);
  update_poller();
  if (is_paused_)
    owner_.on_input_end();
}

void DatabaseTransport::read() {
  static thread_local char bytes[65536];
  for (;;) {
    const InputResult input = input_.receive(tcp_, bytes, sizeof bytes);
    if (input.event == InputEvent::broken)
      return end(DatabaseReadResult::incomplete);
    if (input.event == InputEvent::ended)
      return handle_input_end();
    if (input.event == InputEvent::nothing)
      break;
    if (is_finishing_)
      continue;
    in_.append(bytes, input.count);
    if (in_.size() > max_ahead)
      break;
    if (input.count < sizeof bytes)
      break;
  }
  deliver_messages();
}

void DatabaseTransport::resume() {
  is_paused_ = false;
  if (state_ == State::open)
    deliver_messages();
}

void DatabaseTransport::deliver_messages() {
  if (is_delivering_)
    return;  // whoever delivers now goes on when it returns
  is_delivering_ = true;
  while (state_ == State::open && !is_paused_ && !is_finishing_) {
    DatabaseMessage message;
    const DatabaseReadResult result = read_database_message(in_, message);
    if (result == DatabaseReadResult::incomplete)
      break;
    if (result != DatabaseReadResult::complete) {
      owner_.on_end(result);  // it may still say something before it closes
      break;
    }
    is_paused_ = !owner_.on_message(std::move(message));
  }
  is_delivering_ = false;
  if (state_ != State::open)
    return;
  if (input_.has_ended() && owner_.on_input_end && !is_paused_)
    return finish();  // no further message came whole
  const bool is_full = in_.size() > max_ahead;
  if (is_full != is_full_) {
    is_full_ = is_full;
    update_poller();
  }
}

}  // namespace saddlewing
