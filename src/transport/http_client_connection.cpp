#include "transport/http_client_connection.h"

#include "transport/header_names.h"

namespace saddlewing {

HttpClientConnection::HttpClientConnection(Poller& poller, HttpCallObserver& owner,
                                           const Address& address, std::size_t max_head,
                                           std::size_t max_body)
    : poller_(poller), owner_(owner), reader_(false, max_head, max_body) {
  auto channel = TcpConnection::connect(address);
  if (!channel) {
    state_ = State::ended;
    return;
  }
  tcp_ = std::move(*channel);
  poller_.watch(tcp_.socket(), Poller::read | Poller::write, *this);
}

void HttpClientConnection::end() {
  if (state_ == State::ended)
    return;
  state_ = State::ended;
  poller_.leave(tcp_.socket());
  tcp_ = TcpConnection();
}

void HttpClientConnection::abort() {
  if (state_ != State::ended)
    tcp_.reset_at_close();
  end();
}

bool HttpClientConnection::is_quiet() {
  if (state_ != State::idle)
    return state_ == State::connecting;
  char byte = 0;
  const Transfer got = tcp_.receive(&byte, 1);
  return !got.is_closed && !got.count;
}

bool HttpClientConnection::ask(const std::string& bytes, bool is_head, const std::string& try_id,
                               TimePoint latest) {
  if (state_ == State::ended)
    return false;
  try_id_ = try_id;
  latest_ = latest;
  is_head_ = is_head;
  ++asked_count_;
  reader_.reset();
  if (is_head)
    reader_.expect_no_body();
  out_ = bytes;
  sent_ = 0;
  has_sent_ = has_received_ = false;
  is_asked_ = true;
  if (state_ == State::connecting)
    return true;
  state_ = State::attempting;
  const Transfer gone = tcp_.send(out_.data(), out_.size());
  if (gone.is_closed) {
    end();
    return false;
  }
  sent_ = gone.count;
  has_sent_ = sent_ > 0;
  if (sent_ < out_.size())
    poller_.change(tcp_.socket(), Poller::read | Poller::write);
  return true;
}

void HttpClientConnection::on_ready(bool is_readable, bool is_writable) {
  const TimePoint now = Clock::now();
  if (state_ == State::connecting) {
    if (!is_writable && !is_readable)
      return;
    if (!tcp_.is_connected_well())
      return fail(ErrorCode::refused_connection, now);
    was_connected_ = true;
    connected_at_ = now;
    state_ = is_asked_ ? State::attempting : State::idle;
    if (is_asked_ && !owner_.may_send(*this, now))
      return fail(ErrorCode::deadline_reached, now);
    return flush(now);
  }
  if (is_writable && state_ != State::ended)
    flush(now);
  if (is_readable && state_ != State::ended)
    read(now);
}

void HttpClientConnection::flush(TimePoint now) {
  while (sent_ < out_.size()) {
    if (!has_sent_ && now > latest_)
      return fail(ErrorCode::deadline_reached, now);
    const Transfer gone = tcp_.send(out_.data() + sent_, out_.size() - sent_);
    if (gone.is_closed)
      return fail(ErrorCode::connection_lost, now);
    if (!gone.count)
      return poller_.change(tcp_.socket(), Poller::read | Poller::write);
    sent_ += gone.count;
    has_sent_ = true;
  }
  poller_.change(tcp_.socket(), Poller::read);
}

void HttpClientConnection::fail(ErrorCode kind, TimePoint now) {
  const bool is_idle = !is_asked_;
  end();
  if (is_idle)
    owner_.on_idle_end(*this);
  else
    owner_.on_failure(*this, kind, now);
}

bool HttpClientConnection::is_surplus() const {
  if (try_id_.empty())
    return false;
  const auto& response = reader_.response();
  return response.has(header_name::try_id) && response.get(header_name::try_id) != try_id_;
}

bool HttpClientConnection::is_of_two() const {
  const auto& response = reader_.response();
  auto found = response.find(header_name::try_id);
  return found != response.end() && ++found != response.end() &&
         is_same_name(found->first, header_name::try_id);
}

void HttpClientConnection::read(TimePoint now) {
  static thread_local char bytes[65536];
  for (;;) {
    const Transfer got = tcp_.receive(bytes, sizeof bytes);
    if (got.is_closed)
      return fail(ErrorCode::connection_lost, now);
    if (!got.count)
      return;
    if (state_ == State::idle)
      return fail(ErrorCode::invalid_response, now);
    has_received_ = true;
    in_.append(bytes, got.count);
    MessageReader::Step step;
    while ((step = reader_.advance(in_)) == MessageReader::Step::done && is_surplus() &&
           !is_of_two()) {  // its own may follow, in any pieces
      is_doubtful_ = true;
      reader_.reset();
      if (is_head_)
        reader_.expect_no_body();
    }
    if (step == MessageReader::Step::failed || (step == MessageReader::Step::done && is_of_two()))
      return fail(ErrorCode::invalid_response, now);
    if (step == MessageReader::Step::done)
      break;
    if (got.count < sizeof bytes)
      return;
  }
  is_asked_ = false;
  if (!in_.empty() || !reader_.facts().is_persistent || is_doubtful_ || sent_ < out_.size())
    end();
  else
    state_ = State::idle;
  owner_.on_response(*this, now);
}

}  // namespace saddlewing
