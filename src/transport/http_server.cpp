#include "transport/http_server.h"

#include <algorithm>
#include <utility>

#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_ahead = 65536;  // bytes read ahead of the request at work
constexpr Duration linger{1000};          // how long a closing connection may take to be read out

std::string write_reply(const Reply& reply, bool should_close, bool is_head, Duration quiet) {
  std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " " + reply.reason + "\r\n";
  text += reply.fields;
  if (reply.status != 204 && reply.status != 304 && !reply.is_bodiless)
    text += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
  if (should_close)
    text += "Connection: close\r\n";
  else
    text += "Keep-Alive: timeout=" +
            std::to_string(std::max<std::int64_t>(1, quiet.count() / 1000 - 1)) + "\r\n";
  text += "\r\n";
  if (!is_head)
    text += reply.body;
  return text;
}

}  // namespace

Reply reply_of(ErrorCode kind, const std::string& text) {
  const StatusLine line = status_line_of(kind);
  Reply reply{line.status, line.reason, "Content-Type: text/plain\r\n",
              text.empty() ? make_error_code(kind).message() : text};
  reply.body += "\n";
  return reply;
}

ServerExchange::ServerExchange(HttpServer& server, ExchangeId id, TcpConnection channel,
                               TimePoint now)
    : server_(server),
      id_(id),
      tcp_(std::move(channel)),
      reader_(true, server.limits_.max_head, server.limits_.max_body) {
  server_.poller_.watch(tcp_.socket(), Poller::read, *this);
  start_reading(now);
}

ServerExchange::~ServerExchange() {
  server_.poller_.leave(tcp_.socket());
}

void ServerExchange::start_reading(TimePoint now) {
  state_ = State::reading;
  reader_ = MessageReader(true, server_.limits_.max_head, server_.limits_.max_body);
  has_continued_ = false;
  is_fresh_ = true;
  moved_ = now;
  count_held();
  server_.timers_.set(*this, now + server_.limits_.quiet);
}

void ServerExchange::on_ready(bool is_readable, bool is_writable) {
  const TimePoint now = Clock::now();
  if (is_writable && state_ != State::closed)
    flush(now);
  if (is_readable && state_ != State::closed)
    read(now);
}

bool ServerExchange::is_full() const {
  return state_ != State::reading && in_.size() >= max_ahead;
}

void ServerExchange::update_poller() {
  server_.poller_.change(tcp_.socket(), input_.poller_mode(!is_full(), !out_.empty()));
}

void ServerExchange::read(TimePoint now) {
  char bytes[16384];
  for (int round = 0; round < 4 && state_ != State::closed; ++round) {
    if (is_full())
      return update_poller();  // the rest stays in the socket
    const InputResult input = input_.receive(tcp_, bytes, sizeof bytes);
    if (input.event == InputEvent::broken)
      return handle_break();
    if (input.event == InputEvent::ended)
      return handle_input_end(now);
    if (input.event == InputEvent::nothing)
      return;
    if (state_ == State::closing)
      continue;
    in_.append(bytes, input.count);
    moved_ = now;
    count_held();
    if (state_ == State::reading && server_.held_ > server_.max_held_)
      return refuse(ErrorCode::overloaded, now);
    if (state_ == State::reading)
      advance(now);
    if (input.count < sizeof bytes)
      return;
  }
}

// What was read whole is answered; an end inside a request is none.
void ServerExchange::handle_input_end(TimePoint now) {
  if (state_ == State::reading || state_ == State::closing)
    return close();
  input_ended_at_ = now;
  update_poller();
  if (state_ != State::handling)
    return;
  metrics().add(Metric::client_input_ends);
  server_.handler_.on_input_end(*this, now);
}

void ServerExchange::handle_break() {
  if (state_ == State::handling) {
    metrics().add(Metric::client_breaks);
    server_.handler_.on_gone(*this);
  }
  close();
}

void ServerExchange::count_held() {
  const std::size_t holds = in_.size() + out_.size() - sent_ + reader_.body().size();
  server_.held_ += holds - held_;
  held_ = holds;
}

void ServerExchange::advance(TimePoint now) {
  if (std::exchange(is_advancing_, true))
    return;
  while (state_ == State::reading && take_next(now)) {
  }
  is_advancing_ = false;
  if (state_ == State::reading && has_input_ended())
    close();  // no further request came whole
}

bool ServerExchange::take_next(TimePoint now) {
  if (in_.empty() && is_fresh_)
    return false;
  if (is_fresh_) {
    is_fresh_ = false;
    began_ = now;
    server_.timers_.set(*this, now + server_.limits_.header_wait);
  }
  const bool had_head = reader_.has_head();
  const MessageReader::Step step = reader_.advance(in_);
  if (step == MessageReader::Step::failed) {
    refuse(reader_.why(), now);
    return false;
  }
  if (step == MessageReader::Step::more) {
    if (!had_head && reader_.has_head())
      server_.timers_.set(*this, now + server_.limits_.quiet);
    if (reader_.has_head() && facts().is_waiting && !has_continued_ && reader_.body().empty()) {
      has_continued_ = true;
      out_ += "HTTP/1.1 100 Continue\r\n\r\n";
      flush(now);
    }
    return false;
  }
  state_ = State::handling;
  server_.timers_.drop(*this);
  is_head_ = request().getMethod() == "HEAD";
  if (has_input_ended())
    input_ended_at_ = now;
  server_.handler_.on_request(*this, now);
  return true;
}

void ServerExchange::refuse(ErrorCode kind, TimePoint now) {
  server_.handler_.on_refused(*this, kind, now);
  Reply reply = reply_of(kind);
  reply.should_close = true;  // its framing is in doubt
  is_head_ = false;
  state_ = State::handling;
  answer(std::move(reply), now);
}

void ServerExchange::answer(const Reply& reply, TimePoint now) {
  if (state_ != State::handling)
    return;
  should_close_ = reply.should_close || !facts().is_persistent || server_.is_leaving_;
  out_ += write_reply(reply, should_close_, is_head_, server_.limits_.quiet);
  state_ = State::answering;
  server_.timers_.set(*this, now + server_.limits_.quiet);
  moved_ = now;
  flush(now);
  if (state_ != State::closed)
    count_held();
}

void ServerExchange::flush(TimePoint now) {
  while (sent_ < out_.size()) {
    const Transfer gone = tcp_.send(out_.data() + sent_, out_.size() - sent_);
    if (gone.is_closed)
      return handle_break();
    if (!gone.count)
      return update_poller();
    sent_ += gone.count;
    moved_ = now;
  }
  out_.clear();
  sent_ = 0;
  update_poller();
  if (state_ == State::answering)
    settle(now);
}

// The answer is out whole: the next request, or the end.
void ServerExchange::settle(TimePoint now) {
  if (should_close_ && has_input_ended())
    return close();  // nothing unread is left that would reset the connection
  if (should_close_) {
    state_ = State::closing;
    tcp_.finish_sending();
    server_.timers_.set(*this, now + linger);
    return;
  }
  start_reading(now);
  update_poller();
  advance(now);
}

void ServerExchange::on_due(TimePoint now) {
  if (state_ == State::closing)
    return close();
  if (state_ == State::reading) {
    // The process may have stood still, and what it waited for has come: a last look.
    const TimePoint moved_before = moved_;
    read(now);
    const bool has_answered = is_fresh_ && moved_ != moved_before;
    if (state_ != State::reading || has_answered)
      return;
  }
  if (state_ == State::reading && !is_fresh_) {
    // A body may take its time as long as it moves.
    if (reader_.has_head() && now - moved_ < server_.limits_.quiet) {
      server_.timers_.set(*this, moved_ + server_.limits_.quiet);
      return;
    }
    return refuse(ErrorCode::too_slow, now);
  }
  if (state_ == State::answering && now - moved_ < server_.limits_.quiet) {
    server_.timers_.set(*this, moved_ + server_.limits_.quiet);
    return;
  }
  close();
}

void ServerExchange::close() {
  if (state_ == State::closed)
    return;
  state_ = State::closed;
  server_.held_ -= held_;
  held_ = 0;
  server_.timers_.drop(*this);
  server_.poller_.leave(tcp_.socket());
  const auto found = server_.visits_.find(id_);
  if (found == server_.visits_.end())
    return;
  server_.closed_.push_back(std::move(found->second));
  server_.visits_.erase(found);
}

Error HttpServer::open(const Address& address) {
  if (Error found = listener_.open(address))
    return found;
  poller_.watch(listener_.socket(), Poller::read, *this);
  return {};
}

void HttpServer::stop_admitting() {
  if (!listener_.is_open())
    return;
  on_ready(true, false);  // whoever waits at the door still comes in
  poller_.leave(listener_.socket());
  listener_.close();
}

void HttpServer::close_idle() {
  std::vector<ServerExchange*> idle;
  for (const auto& [id, exchange] : visits_)
    if (exchange->state_ == ServerExchange::State::reading && exchange->is_fresh_)
      idle.push_back(exchange.get());
  for (ServerExchange* exchange : idle) {
    exchange->read(Clock::now());  // a request that just came is served first
    if (exchange->state_ == ServerExchange::State::reading && exchange->is_fresh_)
      exchange->close();
  }
}

ServerExchange* HttpServer::find(ExchangeId id) {
  const auto found = visits_.find(id);
  return found == visits_.end() ? nullptr : found->second.get();
}

void HttpServer::on_ready(bool, bool) {
  const TimePoint now = Clock::now();
  for (int round = 0; round < 64; ++round) {
    auto channel = listener_.admit();
    if (!channel)
      return;
    if (visits_.size() >= max_exchanges_)
      continue;  // closed by its destructor
    const ExchangeId id{++last_id_};
    visits_[id] = std::make_unique<ServerExchange>(*this, id, std::move(*channel), now);
  }
}

}  // namespace saddlewing
