#pragma once
// The serving side of HTTP: admits connections and reads one request after another from each.
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/channel.h"
#include "transport/http.h"
#include "transport/schedule.h"

namespace saddlewing {

using VisitId = Strong<struct VisitTag, std::uint64_t>;

struct VisitLimits {
  std::size_t most_head = 16384, most_body = 262144;
  Span header_wait{3000}, quiet{15000};
};

struct Reply {
  int status = 200;
  std::string reason = "OK";
  std::string fields;  // whole lines, each with its end
  std::string body;
  bool should_close = false;
  bool is_bodiless = false;  // to HEAD: `fields` tell the length, if anybody knows it
};
Reply reply_of(Kind kind, const std::string& text = {});

class Server;

// One connection of a client. Its way: Reading -> Handling -> Answering -> Reading or Closing.
class Visit final : public Watcher, public Scheduled {
 public:
  enum class State {
    reading,
    handling,
    answering,
    closing,
    closed
  };
  Visit(Server& server, VisitId id, Channel channel, Moment now);
  ~Visit() override;

  VisitId id() const {
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
  Moment began() const {
    return began_;
  }  // when the first byte of the request was seen
  void answer(Reply reply, Moment now);

  void on_ready(bool is_readable, bool is_writable) override;
  void on_due(Moment now) override;

 private:
  friend class Server;
  void read(Moment now);
  void advance(Moment now);
  bool take_next(Moment now);  // whether a request was whole and handed on
  void flush(Moment now);
  void settle(Moment now);
  void refuse(Kind kind, Moment now);
  void start_reading(Moment now);
  void close();
  void count_held();

  Server& server_;
  VisitId id_;
  Channel channel_;
  MessageReader reader_;
  State state_ = State::reading;
  std::string in_, out_;
  std::size_t sent_ = 0, held_ = 0;
  bool should_close_ = false, is_head_ = false, has_continued_ = false, has_ended_ = false;
  bool is_advancing_ =
      false;  // requests answered at once are taken in turn, not each within the one before
  bool is_fresh_ = true;  // nothing of the next request has come yet
  Moment began_{}, moved_{};
};

class Server final : public Watcher {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_request(Visit& visit, Moment now) = 0;
    virtual void on_gone(Visit& visit) = 0;  // the client left while its request was handled
  };
  Server(Poller& poller, Schedule& schedule, Handler& handler, std::size_t most_visits,
         std::size_t most_held)
      : poller_(poller),
        schedule_(schedule),
        handler_(handler),
        most_visits_(most_visits),
        most_held_(most_held) {
  }

  Fault open(const Address& address);
  void stop_admitting();
  void set_limits(const VisitLimits& limits) {
    limits_ = limits;
  }
  void set_leaving() {
    is_leaving_ = true;
  }
  void close_idle();
  Visit* find(VisitId id);
  std::size_t count() const {
    return visits_.size();
  }
  void reap() {
    closed_.clear();
  }  // frees what closed during a round

  void on_ready(bool is_readable, bool is_writable) override;

 private:
  friend class Visit;
  Poller& poller_;
  Schedule& schedule_;
  Handler& handler_;
  std::size_t most_visits_, most_held_;
  std::size_t held_ =
      0;  // invariant: the sum of what the visits hold in their buffers, as last counted
  VisitLimits limits_;
  bool is_leaving_ = false;
  Listener listener_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<VisitId, std::unique_ptr<Visit>> visits_;
  std::vector<std::unique_ptr<Visit>> closed_;
};

}  // namespace saddlewing
