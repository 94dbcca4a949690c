#pragma once
// The serving side of HTTP: admits connections and reads one request after another from each.
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/http_message.h"
#include "transport/peer_input.h"
#include "transport/tcp_connection.h"
#include "transport/timer_queue.h"

namespace saddlewing {

using ExchangeId = Strong<struct VisitTag, std::uint64_t>;

struct ExchangeLimits {
  std::size_t max_head = 16384, max_body = 262144;
  Duration header_wait{3000}, quiet{15000};
};

struct Reply {
  int status = 200;
  std::string reason = "OK";
  std::string fields;  // whole lines, each with its end
  std::string body;
  bool should_close = false;
  bool is_bodiless = false;  // to HEAD: `fields` tell the length, if anybody knows it
};
Reply reply_of(ErrorCode kind, const std::string& text = {});

class HttpServer;

// One connection of a client. Its way: Reading -> Handling -> Answering -> Reading or Closing.
// Behind the end of the client's input the requests that came whole are answered in their turn, and
// the connection ends after the last one.
class ServerExchange final : public Watcher, public Scheduled {
 public:
  enum class State {
    reading,
    handling,
    answering,
    closing,
    closed
  };
  ServerExchange(HttpServer& server, ExchangeId id, TcpConnection channel, TimePoint now);
  ~ServerExchange() override;

  ExchangeId id() const {
    return id_;
  }
  const Poco::Net::HTTPRequest& request() const {
    return reader_.request();
  }
  const HeadFacts& facts() const {
    return reader_.facts();
  }
  std::string& body() {
    return reader_.body();
  }
  TimePoint began() const {
    return began_;
  }  // when the first byte of the request was seen
  // The client sends nothing more: it may be gone, or wait for its answers.
  bool has_input_ended() const {
    return input_.has_ended();
  }
  // Since when nothing has shown whether that client is still there: the end of its input, or the
  // answer to its request before, which would have broken the connection of one that left.
  TimePoint input_ended_at() const {
    return input_ended_at_;
  }
  void answer(const Reply& reply, TimePoint now);

  void on_ready(bool is_readable, bool is_writable) override;
  void on_due(TimePoint now) override;

 private:
  friend class HttpServer;
  void read(TimePoint now);
  void handle_input_end(TimePoint now);
  void handle_break();
  bool is_full() const;  // enough is waiting behind the request at work
  void update_poller();
  void advance(TimePoint now);
  bool take_next(TimePoint now);  // whether a request was whole and handed on
  void flush(TimePoint now);
  void settle(TimePoint now);
  void refuse(ErrorCode kind, TimePoint now);
  void start_reading(TimePoint now);
  void close();
  void count_held();

  HttpServer& server_;
  ExchangeId id_;
  TcpConnection tcp_;
  PeerInput input_;
  MessageReader reader_;
  State state_ = State::reading;
  std::string in_, out_;
  std::size_t sent_ = 0, held_ = 0;
  bool should_close_ = false, is_head_ = false, has_continued_ = false;
  bool is_advancing_ =
      false;  // requests answered at once are taken in turn, not each within the one before
  bool is_fresh_ = true;  // nothing of the next request has come yet
  TimePoint began_{}, moved_{}, input_ended_at_{};
};

class HttpServer final : public Watcher {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_request(ServerExchange& exchange, TimePoint now) = 0;
    // The client's connection broke while its request was handled.
    virtual void on_gone(ServerExchange& exchange) = 0;
    // The client sends nothing more, and its request is still handled: it is to be answered. What
    // is taken up behind that is told by `has_input_ended` alone.
    virtual void on_input_end(ServerExchange&, TimePoint) {
    }
    // A request was refused before it was whole.
    virtual void on_refused(ServerExchange&, ErrorCode, TimePoint) {
    }
  };
  HttpServer(Poller& poller, TimerQueue& timers, Handler& handler, std::size_t most_visits,
             std::size_t max_held)
      : poller_(poller),
        timers_(timers),
        handler_(handler),
        max_exchanges_(most_visits),
        max_held_(max_held) {
  }

  Error open(const Address& address);
  void stop_admitting();
  void set_limits(const ExchangeLimits& limits) {
    limits_ = limits;
  }
  void set_leaving() {
    is_leaving_ = true;
  }
  void close_idle();
  ServerExchange* find(ExchangeId id);
  std::size_t count() const {
    return visits_.size();
  }
  void reap() {
    closed_.clear();
  }  // frees what closed during a round

  void on_ready(bool is_readable, bool is_writable) override;

 private:
  friend class ServerExchange;
  Poller& poller_;
  TimerQueue& timers_;
  Handler& handler_;
  std::size_t max_exchanges_, max_held_;
  std::size_t held_ =
      0;  // invariant: the sum of what the visits hold in their buffers, as last counted
  ExchangeLimits limits_;
  bool is_leaving_ = false;
  Listener listener_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<ServerExchange>> visits_;
  std::vector<std::unique_ptr<ServerExchange>> closed_;
};

}  // namespace saddlewing
