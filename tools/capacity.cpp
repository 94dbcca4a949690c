// Measures what a registry and a broker cost as nodes, backends, changes and cells grow: real
// processes of this project, with a stand-in platform and backends, and hollow brokers that share
// this process. Prints one JSON line a run.
#include <json/json.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

#include "coordination/routing/edge_latency.h"
#include "protocol/control_messages.h"
#include "protocol/discovery_messages.h"
#include "protocol/frame.h"
#include "protocol/http_calls.h"
#include "state/compression.h"
#include "transport/frame_link.h"
#include "transport/header_names.h"
#include "transport/http_client_connection.h"
#include "transport/http_server.h"

using namespace saddlewing;

namespace {

constexpr double registry_mb = 40, hollow_mb = 0.12,
                 backend_mb = 0.02;  // guesses for the check before a run
constexpr Duration follow_every{400}, fetch_again{600}, count_every{1000};  // as a broker does

std::string write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string service_name(int number) {
  return "index-" + std::to_string(number);
}

// The platform's list and every backend's health answer, on one port.
class Platform final : public HttpServer::Handler {
 public:
  Platform(Poller& poller, TimerQueue& timers, int backends, int services)
      : server_(poller, timers, *this, 65536, std::size_t{1} << 30),
        backends_(backends),
        services_(services) {
    server_.set_limits({65536, 8 << 20, Duration(60000), Duration(600000)});
  }
  Error open(const Address& address) {
    address_ = address;
    return server_.open(address);
  }
  void on_request(ServerExchange& exchange, TimePoint now) override {
    const std::string& target = exchange.request().getURI();
    if (!target.starts_with("/backends")) {
      ++probes;
      return exchange.answer({200, "OK",
                              std::string(header_name::server_id) + ": " +
                                  exchange.request().get(header_name::target_server, "") + "\r\n",
                              "well\n"},
                             now);
    }
    constexpr int page = 500;
    const auto position = target.find("page_token=");
    const int first = position == std::string::npos ? 0 : std::atoi(target.c_str() + position + 11);
    Json::Value root(Json::objectValue);
    root["backends"] = Json::Value(Json::arrayValue);
    for (int number = first; number < std::min(first + page, backends_); ++number) {
      Json::Value value(Json::objectValue);
      value["service"] = service_name(number % services_);
      value["address"] = address_.text();
      value["zone"] = "zone-" + std::to_string(number % 9);
      value["version"] = "v1";
      value["capacity"] = 2;
      // The one that is replaced now and then, so that rosters change.
      value["state"] = "ready";
      value["warm_left_ms"] = 0;
      value["id"] =
          "backend-" + std::to_string(number) + (number == 0 ? "-" + std::to_string(replaced) : "");
      root["backends"].append(value);
    }
    root["next_token"] =
        first + page < backends_ ? Json::Value(std::to_string(first + page)) : Json::Value();
    exchange.answer({200, "OK", "Content-Type: application/json\r\n", write(root)}, now);
  }
  void on_gone(ServerExchange&) override {
  }
  void reap() {
    server_.reap();
  }
  int replaced = 0;
  std::uint64_t probes = 0;

 private:
  HttpServer server_;
  Address address_;
  int backends_, services_;
};

// One call after another to the registry's control address.
class Operator final : public HttpCallObserver {
 public:
  Operator(Poller& poller, Address address) : poller_(poller), address_(std::move(address)) {
  }
  void put(const std::string& body) {
    if (is_waiting)
      return;
    if (!caller_ || caller_->state() == HttpClientConnection::State::ended)
      caller_ = std::make_unique<HttpClientConnection>(poller_, *this, address_, 65536, 1 << 20);
    is_waiting = caller_->ask(
        "PUT /settings HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        false);
  }
  void on_response(HttpClientConnection& caller, TimePoint) override {
    is_waiting = false;
    taken += caller.reader().response().getStatus() == 200;
  }
  void on_failure(HttpClientConnection&, ErrorCode, TimePoint) override {
    is_waiting = false;
  }
  void on_idle_end(HttpClientConnection&) override {
  }
  bool is_waiting = false;
  int taken = 0;

 private:
  Poller& poller_;
  Address address_;
  std::unique_ptr<HttpClientConnection> caller_;
};

struct Hollow {
  std::unique_ptr<FrameClient> client;
  std::string address;
  TimePoint due{}, fetched{}, counted{};
  Version held, wanted;
  std::uint64_t incarnation = 0, revision = 0, brokers_revision = 0, edges_held = 0;
};

struct Wanted {
  std::string binary;
  int brokers = 100, backends = 200, services = 100, routes = 50, edge_cells = 0;
  double changes_per_s = 0, replacements_per_s = 0;
  double seconds = 6;
  int first_port = 21000;
};

struct Usage {
  double processor_s = 0, memory_mb = 0;
};
Usage usage_of(pid_t process) {
  Usage usage;
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (text.rfind(')') == std::string::npos)
    return usage;
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  double user = 0;
  double kernel = 0;
  for (int position = 3; position < 14; ++position)
    fields >> skipped;
  fields >> user >> kernel;
  usage.processor_s = (user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory("/proc/" + std::to_string(process) + "/statm");
  double all = 0;
  double resident = 0;
  memory >> all >> resident;
  usage.memory_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  return usage;
}

// A process of this project, ended with its handle.
class Process {
 public:
  Process(const std::string& binary, const std::string& role, const std::filesystem::path& folder,
          const Json::Value& settings) {
    const std::filesystem::path path = folder / (role + ".json");
    std::ofstream(path) << write(settings);
    id_ = ::fork();
    if (id_ != 0)
      return;
    if (!std::freopen((folder / (role + ".log")).c_str(), "w", stderr))
      ::_exit(126);
    ::execl(binary.c_str(), binary.c_str(), role.c_str(), "--startup", path.c_str(), nullptr);
    ::_exit(127);
  }
  ~Process() {
    if (id_ <= 0)
      return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Usage usage() const {
    return usage_of(id_);
  }
  bool is_running() const {
    return ::waitpid(id_, nullptr, WNOHANG) == 0;
  }

 private:
  pid_t id_ = -1;
};

std::string configuration(int version, const Wanted& wanted) {
  Json::Value root(Json::objectValue);
  root["version"] = version;
  for (int number = 0; number < wanted.services; ++number) {
    Json::Value service(Json::objectValue);
    service["name"] = service_name(number);
    service["health_path"] = "/health";
    service["most_connections"] = 1000;
    root["services"].append(service);
  }
  for (int number = 0; number < wanted.routes; ++number) {
    Json::Value routing_id(Json::objectValue);
    routing_id["name"] = "route-" + std::to_string(number);
    routing_id["host"] = "search.example";
    routing_id["path_start"] = "/r" + std::to_string(number) + "/";
    routing_id["sort"] = "harmless";
    routing_id["give_up_ms"] = 1500;
    routing_id["target_ms"] = 210;
    routing_id["rank"] = 1;
    routing_id["tries"] = 2;
    routing_id["service"] = service_name(number % wanted.services);
    root["routes"].append(routing_id);
  }
  return write(root);
}

Json::Value settings(const std::string& name, const Wanted& wanted, int port,
                     const std::filesystem::path& folder, const Address& platform) {
  Json::Value root(Json::objectValue);
  root["node_name"] = name;
  root["ip_address"] = "127.0.0.1";
  root["zone"] = "zone-0";
  root["region"] = "region-0";
  root["data_folder"] = folder.string();
  root["first_run"] = true;
  root["listens_on"]["front"] = "127.0.0.1:" + std::to_string(port + 3);
  root["listens_on"]["ready_check"] = "127.0.0.1:" + std::to_string(port + 4);
  root["listens_on"]["control"] = "127.0.0.1:" + std::to_string(port + 2);
  root["provider_api"]["address"] = platform.text();
  root["provider_api"]["rate_per_s"] = 1000;
  root["first_contacts"].append("127.0.0.1:" + std::to_string(port + 2));
  root["spare_ports"].append(port);
  root["spare_ports"].append(port + 1);
  root["limits"]["memory_mb"] = 4096;
  root["limits"]["file_handles"] = 65536;
  root["can_lose"]["machines"] = 0;
  if (wanted.edge_cells)
    root["options"]["edges"] = true;
  return root;
}

// A stand-in for a broker: it follows as a real one does, in real frames over a real socket, and
// serves nobody.
class Hollows {
 public:
  Hollows(int count, int port, int cells) {
    const TimePoint now = Clock::now();
    for (int number = 0; number < count; ++number) {
      if (number % per_context == 0)
        contexts_.push_back(std::make_unique<LinkContext>());
      Hollow hollow;
      hollow.client = std::make_unique<FrameClient>(*contexts_.back(), Address{"127.0.0.1", port});
      hollow.address =
          "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7001";
      hollow.due = now + follow_every * number / std::max(1, count);
      hollows_.push_back(std::move(hollow));
    }
    cells_ = cells;
  }
  void turn(TimePoint now) {
    for (Hollow& hollow : hollows_) {
      while (auto frame = hollow.client->receive())
        take(hollow, *frame);
      if (now < hollow.due)
        continue;
      hollow.due = now + follow_every;
      follow(hollow);
    }
  }
  std::size_t holding(Version version) const {
    return static_cast<std::size_t>(
        std::count_if(hollows_.begin(), hollows_.end(),
                      [&](const Hollow& hollow) { return hollow.held >= version; }));
  }
  std::uint64_t sent_bytes = 0, sent = 0, received_bytes = 0, last_contact = 0;

 private:
  static constexpr int per_context = 250;
  void follow(Hollow& hollow, bool wants_body = false) {
    SubscribeRequest follow;
    follow.version = hollow.held;
    follow.endpoints_incarnation = hollow.incarnation;
    follow.endpoints_revision = hollow.revision;
    follow.wants_configuration = wants_body;
    follow.wants_endpoints = true;
    follow.region = "region-" + std::to_string(&hollow - hollows_.data() & 3);
    follow.is_ready = true;
    follow.brokers_revision = hollow.brokers_revision;
    follow.edge_view_revision = hollow.edges_held;
    if (const TimePoint now = Clock::now(); cells_ && now - hollow.counted >= count_every) {
      hollow.counted = now;
      EdgeCounts counts(static_cast<std::size_t>(cells_));
      for (int cell = 0; cell < cells_; ++cell)
        counts.add({service_name(cell), "zone-" + std::to_string(cell % 9), EdgeClass::light},
                   10 + cell % 30, false);
      follow.edge_counts = counts.take();
    }
    const std::string bytes =
        encode(FrameHead{FrameKind::subscribe, IncarnationId{7}, hollow.address}, follow);
    if (hollow.client->send(bytes))
      ++sent, sent_bytes += bytes.size();
  }
  void take(Hollow& hollow, const ReceivedFrame& frame) {
    ++last_contact, received_bytes += frame.bytes.size();
    ByteReader reader(frame.bytes);
    FrameHead head;
    if (!decode_head(reader, head))
      return;
    if (head.kind == FrameKind::heartbeat) {
      ControlHeartbeat heartbeat;
      if (!decode(reader, heartbeat))
        return;
      hollow.brokers_revision = heartbeat.brokers_revision;
      const TimePoint now = Clock::now();
      if (heartbeat.version <= hollow.held ||
          (heartbeat.version == hollow.wanted && now - hollow.fetched < fetch_again))
        return;
      hollow.wanted = heartbeat.version;
      hollow.fetched = now;
      follow(hollow, true);
    } else if (head.kind == FrameKind::configuration) {
      ConfigurationPayload body;
      if (decode(reader, body))
        hollow.held = std::max(hollow.held, body.version);
    } else if (head.kind == FrameKind::endpoint_list) {
      EndpointList endpoints;
      if (decode(reader, endpoints))
        hollow.incarnation = head.incarnation.value, hollow.revision = endpoints.revision;
    }
  }
  std::vector<std::unique_ptr<LinkContext>> contexts_;
  std::vector<Hollow> hollows_;
  int cells_ = 0;
};

// Null: it did not come up.
Json::Value run(const Wanted& wanted) {
  const std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                       ("saddlewing-capacity-" + std::to_string(::getpid()));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder / "data");
  Poller poller;
  TimerQueue timers;
  Platform platform(poller, timers, wanted.backends, wanted.services);
  const int port = wanted.first_port;
  if (platform.open({"127.0.0.1", port + 9}))
    return {};
  const Json::Value told =
      settings("registry-1", wanted, port, folder / "data", {"127.0.0.1", port + 9});
  Process registry(wanted.binary, "registry", folder, told);
  Json::Value broker_settings =
      settings("broker-1", wanted, port, folder / "data", {"127.0.0.1", port + 9});
  Process broker(wanted.binary, "broker", folder, broker_settings);
  Hollows hollows(wanted.brokers, port, wanted.edge_cells);
  Operator caller(poller, {"127.0.0.1", port + 2});
  int version = 1;
  int put = 0;
  TimePoint put_at{};
  const auto turn = [&](TimePoint now) {
    poller.poll(Duration(1));
    timers.run(now);
    platform.reap();
    hollows.turn(now);
  };
  const TimePoint born = Clock::now();
  while (Clock::now() < born + 30s &&
         (caller.taken == 0 ||
          hollows.holding(Version{1}) < static_cast<std::size_t>(wanted.brokers))) {
    const TimePoint now = Clock::now();
    if (caller.taken == 0 && now - put_at > 300ms)
      put_at = now, caller.put(configuration(version, wanted));
    turn(now);
  }
  if (caller.taken == 0 || !registry.is_running() || !broker.is_running())
    return {};
  for (const TimePoint until = Clock::now() + 3s; Clock::now() < until;)
    turn(Clock::now());
  const Usage registry_before = registry.usage();
  const Usage broker_before = broker.usage();
  const std::uint64_t sent = hollows.sent;
  const std::uint64_t sent_bytes = hollows.sent_bytes;
  const std::uint64_t last_contact = hollows.last_contact;
  const std::uint64_t received_bytes = hollows.received_bytes;
  const std::uint64_t probes = platform.probes;
  const TimePoint began = Clock::now();
  TimePoint change_due = began;
  TimePoint replace_due = began;
  std::vector<double> spreads;  // how long until all hold a change
  TimePoint changed{};
  while (Clock::now() <
         began + std::chrono::milliseconds(static_cast<std::int64_t>(wanted.seconds * 1000))) {
    const TimePoint now = Clock::now();
    if (wanted.changes_per_s > 0 && now >= change_due && !caller.is_waiting) {
      change_due =
          now + std::chrono::microseconds(static_cast<std::int64_t>(1e6 / wanted.changes_per_s));
      caller.put(configuration(++version, wanted));
      ++put;
      changed = now;
    }
    if (wanted.replacements_per_s > 0 && now >= replace_due) {
      replace_due = now + std::chrono::microseconds(
                              static_cast<std::int64_t>(1e6 / wanted.replacements_per_s));
      ++platform.replaced;
    }
    turn(now);
    if (changed != TimePoint{} &&
        hollows.holding(Version{version}) == static_cast<std::size_t>(wanted.brokers)) {
      spreads.push_back(std::chrono::duration<double, std::milli>(Clock::now() - changed).count());
      changed = {};
    }
  }
  const double span = std::chrono::duration<double>(Clock::now() - began).count();
  const Usage registry_after = registry.usage();
  const Usage broker_after = broker.usage();
  std::sort(spreads.begin(), spreads.end());
  Json::Value result(Json::objectValue);
  result["brokers"] = wanted.brokers;
  result["backends"] = wanted.backends;
  result["services"] = wanted.services;
  result["routes"] = wanted.routes;
  result["edge_cells"] = wanted.edge_cells;
  result["changes_per_s"] = put / span;
  result["replacements_per_s"] = wanted.replacements_per_s;
  result["registry_cores"] = (registry_after.processor_s - registry_before.processor_s) / span;
  result["registry_mb"] = registry_after.memory_mb;
  result["broker_cores"] = (broker_after.processor_s - broker_before.processor_s) / span;
  result["broker_mb"] = broker_after.memory_mb;
  result["bytes_out_per_broker_s"] =
      static_cast<double>(hollows.received_bytes - received_bytes) / span / wanted.brokers;
  result["bytes_in_per_broker_s"] =
      static_cast<double>(hollows.sent_bytes - sent_bytes) / span / wanted.brokers;
  result["frames_per_broker_s"] =
      static_cast<double>(hollows.last_contact - last_contact + hollows.sent - sent) / span /
      wanted.brokers;
  result["probes_per_s"] = static_cast<double>(platform.probes - probes) / span;
  result["held_by_all_ms"] =
      spreads.empty() ? Json::Value() : Json::Value(spreads[spreads.size() / 2]);
  result["body_bytes"] = Json::UInt64(configuration(version, wanted).size());
  result["packed_bytes"] = Json::UInt64(pack(configuration(version, wanted)).size());
  std::filesystem::remove_all(folder);
  return result;
}

double estimate_mb(const Wanted& wanted) {
  return registry_mb * 2 + hollow_mb * wanted.brokers + 3 * backend_mb * wanted.backends;
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options("saddlewing_capacity",
                           "Measures one registry and one broker beside hollow brokers, stand-in "
                           "backends and an operator.");
  Wanted wanted;
  options.add_options()("binary", "the saddlewing program", cxxopts::value(wanted.binary))(
      "brokers", "hollow brokers", cxxopts::value(wanted.brokers)->default_value("100"))(
      "backends", "stand-in backends", cxxopts::value(wanted.backends)->default_value("200"))(
      "services", "services", cxxopts::value(wanted.services)->default_value("100"))(
      "routes", "routes of the configuration", cxxopts::value(wanted.routes)->default_value("50"))(
      "edge-cells", "cells a broker counts", cxxopts::value(wanted.edge_cells)->default_value("0"))(
      "changes", "configuration changes a second",
      cxxopts::value(wanted.changes_per_s)->default_value("0"))(
      "replacements", "backends replaced a second",
      cxxopts::value(wanted.replacements_per_s)->default_value("0"))(
      "seconds", "how long it measures", cxxopts::value(wanted.seconds)->default_value("6"))(
      "port", "first of ten ports on 127.0.0.1",
      cxxopts::value(wanted.first_port)->default_value("21000"))("h,help", "print this help");
  try {
    if (options.parse(count, words).count("help")) {
      std::cout << options.help();
      return 0;
    }
  } catch (const cxxopts::exceptions::exception& thrown) {
    std::cerr << "capacity: " << thrown.what() << "\n";
    return 2;
  }
  if (wanted.binary.empty() || wanted.brokers < 1 || wanted.backends < 1 || wanted.services < 1 ||
      wanted.routes < 1 || wanted.seconds < 1 || wanted.edge_cells < 0) {
    std::cerr << "capacity: a binary is needed, and sizes of at least one\n";
    return 2;
  }
  const double machine_mb = static_cast<double>(sysconf(_SC_PHYS_PAGES)) *
                            static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  if (estimate_mb(wanted) > machine_mb / 2) {
    std::cerr << "capacity: refused: it would need some " << static_cast<long>(estimate_mb(wanted))
              << " MB, over half of this machine's " << static_cast<long>(machine_mb) << "\n";
    return 3;
  }
  const Json::Value result = run(wanted);
  if (result.isNull()) {
    std::cerr << "capacity: registry or broker did not come up\n";
    return 1;
  }
  std::cout << write(result) << "\n";
  return 0;
}
