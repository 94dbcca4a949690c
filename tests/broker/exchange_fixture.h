#pragma once
// A whole broker over loopback, between stand-in clients and stand-in backends that fail at a
// numbered byte of an exchange. Every request that a backend read whole is recorded: by then it may
// have run.
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <semaphore>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "broker/broker_loop.h"
#include "broker/exchange_messages.h"
#include "protocol/discovery_messages.h"

namespace saddlewing::tests {

class ExchangeFixture {
 public:
  static constexpr std::size_t tries = 2;  // of a route
  explicit ExchangeFixture(int backends, int free_give_up_ms = 15000,
                           Duration grace = Duration(750)) {
    for (int number = 0; number < backends; ++number)
      open_backend("b" + std::to_string(number));
    const std::string route = R"("host":"h","service":"s","tries":)" + std::to_string(tries) +
                              R"(,"target_ms":100,"give_up_ms":)";
    const std::string body =
        R"({"version":1,"services":[{"name":"s","health_path":"/","most_connections":100000},)"
        R"({"name":"far-1","health_path":"/","most_connections":9},)"
        R"({"name":"far-2","health_path":"/","most_connections":9}],)"
        R"("routes":[{"path_start":"/all/","sort":"harmless","host":"h","ask_all":["far-1","far-2"],)"
        R"("best_count":1,"fewest_parts":1,"tries":2,"target_ms":5000,"give_up_ms":9000},)"
        R"({"path_start":"/once/","sort":"risky",)" +
        route + R"(800},{"path_start":"/free/","sort":"harmless",)" + route +
        std::to_string(free_give_up_ms) + "}]}";
    auto view = std::make_shared<View>();
    const Error found = read_configuration(body, view->configuration);
    cr_assert(!found, "%s", found.text().c_str());
    view->is_ready = true;
    for (const Door& door : doors_) {
      Endpoint entry;
      entry.id = door.name;
      entry.service = "s";
      entry.address = Address{"127.0.0.1", door.port}.text();
      entry.zone = "z";
      entry.phase = EndpointPhase::ready;
      entry.status = EndpointStatus::up;
      entry.capacity = 1000;
      view->backends.push_back(entry);
    }
    for (const std::string service : {"far-1", "far-2"}) {  // named alone, never reached
      Endpoint entry = view->backends.at(0);
      entry.id = entry.service = service;
      entry.zone = "far";
      view->backends.push_back(entry);
    }
    view->remote_brokers.push_back({"127.0.0.1:1", "q"});
    NodeSettings settings;
    settings.ip_address = "127.0.0.1";
    settings.zone = "z";
    settings.region = "r";
    settings.zones = {{"z", "r"}, {"far", "q"}};
    settings.file_handles = 3000;
    settings.retry_share = 50;  // the allowance is another test's matter
    settings.grace = grace;
    for (int port = 41000 + ::getpid() % 4000; !broker_ && port < 60000; port += 2) {
      settings.front = {"127.0.0.1", port};
      settings.ready_check = {"127.0.0.1", port + 1};
      broker_ = std::make_unique<BrokerLoop>(settings, IncarnationId{7});
      if (broker_->open())
        broker_.reset();
    }
    cr_assert(broker_ != nullptr);
    port_ = settings.front.port;
    broker_->set_sender([this](const DelegationMessage& message) {
      if (message.token != 0) {
        const std::lock_guard lock(delegations_mutex_);
        delegations_.push_back(message);
        return true;
      }
      held_.release();
      resumed_.acquire();
      return true;
    });
    broker_->show(view);
    broker_->start();
    for (int count = 0, status = 0; status != 200; ++count) {  // until the view is taken
      cr_assert(count < 1000);
      status = ask(request_of("GET", "/free/0", "warm-" + std::to_string(count))).status();
    }
  }
  ~ExchangeFixture() {
    broker_->leave();
    broker_->join();
    for (const auto& [socket, line] : lines_)
      ::close(socket);
    for (const Door& door : doors_)
      ::close(door.socket);
  }

  // Plays all of them at once, until each has its answers or its connection has ended.
  void play(std::vector<Exchange>& exchanges) {
    for (Exchange& exchange : exchanges)
      if (exchange.socket < 0)
        begin(exchange);
    const TimePoint until = Clock::now() + 60s;
    while (std::ranges::any_of(exchanges,
                               [](const Exchange& exchange) { return !exchange.is_over; })) {
      cr_assert(Clock::now() < until, "no end");
      turn(exchanges);
    }
  }
  Exchange ask(const std::string& request) {
    std::vector<Exchange> one(1);
    one[0].requests = {request};
    play(one);
    return one[0];
  }
  // The answer at the address for operators and the platform.
  Exchange ask_ready(const std::string& path) {
    std::vector<Exchange> one(1);
    one[0].requests = {"GET " + path + " HTTP/1.1\r\nHost: ready\r\n\r\n"};
    begin(one[0], port_ + 1);
    play(one);
    return one[0];
  }
  // The broker's traffic stands still from here to `resume`, as a frozen process does: asked for
  // aid, it waits to send.
  void freeze() {
    broker_->tell(
        DelegationRequested{"nobody", {1, "GET", "aid", "", "", {"unknown"}, 1, 1000, 1}});
    held_.acquire();
  }
  void resume() {
    resumed_.release();
  }
  void end_lines() {
    while (!lines_.empty())
      lose(lines_.begin()->first, Trouble::close);
  }
  static void add(Exchange& exchange, const std::string& request) {  // to one that was kept open
    exchange.requests.push_back(request);
    exchange.is_over = false;
    cr_assert(::send(exchange.socket, request.data(), request.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(request.size()));
  }

  // Another broker delegates a gather of one part to this one, or cancels it.
  void delegate(const std::string& routing_id, std::uint64_t token, const std::string& try_id) {
    const std::string head = "GET /free/x HTTP/1.1\r\nHost: h\r\nTry-Id: " + try_id + "\r\n";
    broker_->tell(
        DelegationRequested{routing_id, {token, "GET", try_id, head, "", {"s"}, 1, 9000, 50}});
    wait_until([&] { return has_met(try_id); });
  }
  void cancel_delegation(const std::string& routing_id, std::uint64_t token) {
    broker_->tell(DelegationCancelled{routing_id, {token}});
  }
  // A client that leaves once its gather was delegated to another broker.
  void leave_delegated(const std::string& request) {
    std::vector<Exchange> one(1);
    one[0].requests = {request};
    begin(one[0]);
    wait_until([&] { return delegations().size() == 1; }, &one);
    end(one[0], Trouble::close);
  }
  // Frames to other brokers so far; waits until there are so many.
  std::vector<DelegationMessage> delegations(std::size_t count) {
    wait_until([&] { return delegations().size() >= count; });
    return delegations();
  }

  // A client that sends a request and leaves once a backend is at work on it.
  void leave_at_work(const std::string& request, const std::string& try_id) {
    std::vector<Exchange> one(1);
    one[0].requests = {request};
    begin(one[0]);
    wait_until([&] { return has_met(try_id); }, &one);
    end(one[0], Trouble::close);
  }
  // The broker is asked to end while a backend is at work on the request, which the backend answers
  // so long after. The status that the client gets; 0: no answer comes half a second later.
  int status_when_leaving(const std::string& request, const std::string& try_id,
                          Duration answered_after) {
    std::vector<Exchange> one(1);
    one[0].requests = {request};
    begin(one[0]);
    wait_until([&] { return has_met(try_id); }, &one);
    const TimePoint answer_at = Clock::now() + answered_after;
    broker_->leave();
    wait_until([&] { return one[0].is_over || Clock::now() >= answer_at; }, &one);
    for (const auto& [socket, line] : lines_)
      if (line.is_mute && line.try_id == try_id)
        send_all(socket, good_answer(try_id, line.backend));
    wait_until([&] { return one[0].is_over || Clock::now() >= answer_at + 500ms; }, &one);
    return one[0].status();
  }
  // Whether no backend is at work on the request any more before the span is over.
  bool is_let_go_of(const std::string& try_id, Duration span) {
    std::vector<Exchange> none;
    for (const TimePoint until = Clock::now() + span; Clock::now() < until; turn(none, 10))
      if (!is_at_work(try_id))
        return true;
    return !is_at_work(try_id);
  }

  // What is still on its way to the backends arrives.
  void settle() {
    std::vector<Exchange> none;
    while (turn(none, 30)) {
    }
  }
  const std::vector<Run>& runs(const std::string& try_id) {
    return runs_[try_id];
  }
  const Strike* strike_at(const StrikePlace& position) const {  // null: none
    const auto found = strikes_.find(position);
    return found == strikes_.end() ? nullptr : &found->second;
  }
  bool has_met(const std::string& try_id) const {
    return met_.contains(try_id);
  }  // its plan came about
  const std::map<std::string, std::vector<Run>>& all_runs() const {
    return runs_;
  }
  std::size_t backends_of(const std::string& try_id) {
    std::set<std::string> names;
    for (const Run& run : runs_[try_id])
      names.insert(run.backend);
    return names.size();
  }

  std::map<std::string, Plan> plans;  // by Try-Id

 private:
  struct Door {
    std::string name;
    int socket = -1, port = 0;
  };
  struct Line {  // a connection to a backend
    std::string backend, late_surplus;
    int port = 0;  // of its peer
    bool is_mute = false;
    std::size_t size = 0, end_of_head = 0;  // of the request that is being read; 0: none
    std::string try_id, in;
    Plan plan;
  };

  void wait_until(const std::function<bool()>& condition,
                  std::vector<Exchange>* exchanges = nullptr) {
    std::vector<Exchange> none;
    for (const TimePoint until = Clock::now() + 10s; !condition();) {
      cr_assert(Clock::now() < until, "it did not come about");
      turn(exchanges ? *exchanges : none, 10);
    }
  }
  std::vector<DelegationMessage> delegations() {
    const std::lock_guard lock(delegations_mutex_);
    return delegations_;
  }
  bool is_at_work(const std::string& try_id) const {
    return std::ranges::any_of(lines_, [&](const auto& item) {
      return item.second.is_mute && item.second.try_id == try_id;
    });
  }
  void open_backend(const std::string& name) {
    Door door{name, ::socket(AF_INET, SOCK_STREAM, 0), 0};
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    cr_assert(::bind(door.socket, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
              ::listen(door.socket, 1000) == 0);
    ::getsockname(door.socket, reinterpret_cast<sockaddr*>(&at), &size);
    door.port = ntohs(at.sin_port);
    doors_.push_back(door);
  }
  void begin(Exchange& exchange) const {
    begin(exchange, port_);
  }
  static void begin(Exchange& exchange, int port) {
    for (const std::string& request : exchange.requests)
      exchange.out += request;
    exchange.out.resize(std::min(exchange.out.size(), exchange.leaves_after));
    exchange.socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    cr_assert(::connect(exchange.socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  }
  static void drop(int socket, Trouble how) {
    const linger now{1, 0};
    if (how == Trouble::reset)
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(socket);
  }

  // One round over every socket. Whether anything was to be done within the wait.
  bool turn(std::vector<Exchange>& exchanges, int wait_ms = 1000) {
    std::vector<pollfd> waiting;
    for (const Door& door : doors_)
      waiting.push_back({door.socket, POLLIN, 0});
    for (const auto& [socket, line] : lines_)
      waiting.push_back({socket, POLLIN, 0});
    std::map<int, Exchange*> clients;
    for (Exchange& exchange : exchanges) {
      if (exchange.is_over)
        continue;
      clients[exchange.socket] = &exchange;
      waiting.push_back({exchange.socket,
                         static_cast<short>(POLLIN | (exchange.sent < exchange.out.size() ||
                                                              exchange.leaves_after != SIZE_MAX
                                                          ? POLLOUT
                                                          : 0)),
                         0});
    }
    if (::poll(waiting.data(), waiting.size(), wait_ms) <= 0)
      return false;
    for (const pollfd& item : waiting) {
      if (!item.revents)
        continue;
      if (const auto door = std::ranges::find(doors_, item.fd, &Door::socket);
          door != doors_.end()) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int socket = ::accept(door->socket, reinterpret_cast<sockaddr*>(&peer), &size);
        if (socket >= 0)
          lines_[socket].backend = door->name, lines_[socket].port = ntohs(peer.sin_port);
      } else if (lines_.contains(item.fd)) {
        serve(item.fd);
      } else {
        serve_client(*clients.at(item.fd), item.revents & POLLOUT);
      }
    }
    return true;
  }
  static void serve_client(Exchange& exchange, bool is_writable) {
    if (is_writable && exchange.sent < exchange.out.size()) {
      const auto count = ::send(exchange.socket, exchange.out.data() + exchange.sent,
                                exchange.out.size() - exchange.sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count > 0)
        exchange.sent += static_cast<std::size_t>(count);
    }
    if (exchange.sent == exchange.out.size() && std::exchange(exchange.ends_input, false))
      ::shutdown(exchange.socket, SHUT_WR);
    if (exchange.sent == exchange.out.size() && exchange.leaves_after != SIZE_MAX)
      return end(exchange, Trouble::reset);
    char bytes[65536];
    const auto got = ::recv(exchange.socket, bytes, std::min(sizeof bytes, exchange.reads_at_most),
                            MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN)
      return;
    if (got <= 0)
      return end(exchange, Trouble::close);
    exchange.in.append(bytes, static_cast<std::size_t>(got));
    if (exchange.in.size() >= exchange.reads_at_most)
      return end(exchange, Trouble::reset);
    while (const std::size_t size = message_size(exchange.in)) {
      const std::string message = exchange.in.substr(0, size);
      exchange.in.erase(0, size);
      exchange.statuses.push_back(std::stoi(message.substr(9, 3)));
      exchange.bodies.push_back(message.substr(message.find("\r\n\r\n") + 4));
    }
    if (exchange.statuses.size() < exchange.requests.size())
      return;
    if (exchange.keeps_open)
      exchange.is_over = true;
    else
      end(exchange, Trouble::close);
  }
  static void end(Exchange& exchange, Trouble how) {
    exchange.is_over = true;
    drop(exchange.socket, how);
  }
  void lose(int socket, Trouble how) {
    lines_.erase(socket);
    drop(socket, how);
  }
  static void send_all(int socket, const std::string& bytes) {
    if (!bytes.empty())
      (void)!::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void serve(int socket) {
    Line& line = lines_[socket];
    std::string bytes(65536, '\0');
    const auto take = [&](std::size_t limit,
                          int how) {  // false: nothing more for now, or it has ended
      const auto got =
          ::recv(socket, bytes.data(), std::min(limit, bytes.size()), how | MSG_DONTWAIT);
      if (got <= 0 && !(got < 0 && errno == EAGAIN))
        lose(socket, Trouble::close);
      bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
      return got > 0;
    };
    if (line.is_mute)
      return (void)take(bytes.size(), 0);
    if (!line.size) {  // which request it is decides how much of it is read
      if (!take(bytes.size(), MSG_PEEK))
        return;
      const auto end = bytes.find("\r\n\r\n");
      if (end == std::string::npos)
        return;
      line.end_of_head = end + 2;
      const std::string head = bytes.substr(0, line.end_of_head);
      const std::string length = value_of(head, "Content-Length");
      line.size = end + 4 + (length.empty() ? 0 : std::stoul(length));
      line.try_id = value_of(head, "Try-Id");
      const auto planned = plans.find(line.try_id);
      line.plan = planned != plans.end() &&
                          (planned->second.is_everywhere || !reached_.contains(line.try_id))
                      ? planned->second
                      : Plan{};
      reached_.insert(line.try_id);
    }
    const Plan plan = line.plan;
    const bool fails_early = plan.trouble != Trouble::none && !plan.is_in_answer;
    const std::size_t limit = fails_early ? std::min(plan.point, line.size) : line.size;
    if (line.in.size() < limit) {
      bytes.resize(65536);
      if (!take(limit - line.in.size(), 0))
        return;
      line.in += bytes;
      if (line.in.size() < limit)
        return;
    }
    const std::string try_id = line.try_id;
    const std::string read = std::exchange(line.in, {});
    if (read.size() == line.size && !plan.is_refused)
      runs_[try_id].push_back(
          {line.backend, read.substr(0, line.end_of_head), read.substr(line.end_of_head + 2)});
    line.size = 0;
    send_all(socket, std::exchange(line.late_surplus, plan.late_surplus));
    bool is_complete = false;  // behind a whole answer a silence is the next request's, and that
                               // has a plan of its own
    if (!fails_early) {
      std::string answer =
          plan.is_refused ? not_run_answer(try_id) : good_answer(try_id, line.backend);
      is_complete = plan.trouble == Trouble::none || plan.point >= answer.size();
      if (!is_complete)
        answer.resize(plan.point);
      send_all(socket, answer + plan.surplus);
    }
    if (plan.trouble != Trouble::none)
      met_.insert(try_id);
    if (plan.trouble != Trouble::none && !(plan.trouble == Trouble::silence && is_complete))
      strikes_[{line.backend, line.port, try_id}] = {is_complete};
    if (plan.trouble == Trouble::silence)
      line.is_mute = !is_complete;
    else if (plan.trouble != Trouble::none)
      lose(socket, plan.trouble);
  }

  std::vector<Door> doors_;
  std::map<int, Line> lines_;
  std::binary_semaphore held_{0}, resumed_{0};
  std::mutex delegations_mutex_;
  std::vector<DelegationMessage> delegations_;  // to other brokers, by the broker's thread
  std::unique_ptr<BrokerLoop> broker_;
  int port_ = 0;
  std::map<std::string, std::vector<Run>> runs_;
  std::set<std::string> reached_, met_;
  std::map<StrikePlace, Strike> strikes_;
};

}  // namespace saddlewing::tests
