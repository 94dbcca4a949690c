#pragma once
// The serving side of HTTP: admits connections and reads one request after another from each.
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/http_message.h"
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
  void answer(const Reply& reply, TimePoint now);

  void on_ready(bool is_readable, bool is_writable) override;
  void on_due(TimePoint now) override;

 private:
  friend class HttpServer;
  void read(TimePoint now);
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
  MessageReader reader_;
  State state_ = State::reading;
  std::string in_, out_;
  std::size_t sent_ = 0, held_ = 0;
  bool should_close_ = false, is_head_ = false, has_continued_ = false, has_ended_ = false;
  bool is_advancing_ =
      false;  // requests answered at once are taken in turn, not each within the one before
  bool is_fresh_ = true;  // nothing of the next request has come yet
  TimePoint began_{}, moved_{};
};

class HttpServer final : public Watcher {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_request(ServerExchange& exchange, TimePoint now) = 0;
    virtual void on_gone(
        ServerExchange& exchange) = 0;  // the client left while its request was handled
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
