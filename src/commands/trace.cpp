// saddlewing tracer: follows one change of the configuration through all nodes.
#include <json/json.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>

#include "commands/commands.h"
#include "protocol/frame.h"
#include "protocol/trace_messages.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {
namespace {

struct Found {
  TraceReply traced;
  TimePoint last_contact;
};

// Asks nodes as they become known, until all have answered or the time is over.
class Inquiry {
 public:
  Inquiry(const std::vector<std::string>& contacts, Duration limit) : until_(Clock::now() + limit) {
    for (const std::string& contact : contacts)
      add(contact);
  }
  void run() {
    while (Clock::now() < until_ && found_.size() < clients_.size()) {
      const TimePoint now = Clock::now();
      std::vector<void*> handles;
      for (const auto& [address, client] : clients_) {
        handles.push_back(client->handle());
        if (!found_.contains(address) && now - asked_[address] >= ask_again &&
            client->send(encode_trace_request({FrameKind::trace_request, {}, {}})))
          asked_[address] = now;
      }
      wait_links(handles, waker_, std::min(ask_again, std::chrono::ceil<Duration>(until_ - now)));
      std::vector<std::string> heard_of;
      for (const auto& [address, client] : clients_)
        while (const auto frame = client->receive()) {
          ByteReader reader(frame->bytes);
          FrameHead head;
          TraceReply traced;
          if (!decode_head(reader, head) || head.kind != FrameKind::trace_reply ||
              !decode(reader, traced))
            continue;
          heard_of.insert(heard_of.end(), traced.registries.begin(), traced.registries.end());
          heard_of.insert(heard_of.end(), traced.brokers.begin(), traced.brokers.end());
          found_.try_emplace(address, Found{std::move(traced), Clock::now()});
        }
      for (const std::string& address : heard_of)
        add(address);
    }
  }
  const std::map<std::string, Found>& found() const {
    return found_;
  }
  std::vector<std::string> silent() const {
    std::vector<std::string> silent;
    for (const auto& [address, client] : clients_)
      if (!found_.contains(address))
        silent.push_back(address);
    return silent;
  }

 private:
  static constexpr Duration ask_again{100};
  void add(const std::string& text) {
    Address address;
    if (!clients_.contains(text) && parse_address(text, address))
      clients_[text] = std::make_unique<FrameClient>(context_, address);
  }
  TimePoint until_;
  LinkContext context_;
  Waker waker_;
  std::map<std::string, std::unique_ptr<FrameClient>> clients_;
  std::map<std::string, TimePoint> asked_;
  std::map<std::string, Found> found_;
};

struct Line {
  std::string node, role, address, what;
  TimePoint when{};
};

void print_json(Version version, const std::vector<Line>& lines, TimePoint first,
                const Inquiry& inquiry) {
  Json::Value root(Json::objectValue);
  root["edition"] = static_cast<Json::Int64>(version.value);
  root["steps"] = Json::Value(Json::arrayValue);
  for (const Line& line : lines) {
    Json::Value step(Json::objectValue);
    step["at_ms"] = static_cast<Json::Int64>(elapsed(first, line.when).count());
    step["node"] = line.node;
    step["role"] = line.role;
    step["address"] = line.address;
    step["step"] = line.what;
    root["steps"].append(step);
  }
  root["nodes"] = Json::Value(Json::arrayValue);
  for (const auto& [address, found] : inquiry.found()) {
    Json::Value node(Json::objectValue);
    node["node"] = found.traced.node;
    node["role"] = found.traced.role;
    node["address"] = address;
    node["holds"] = static_cast<Json::Int64>(found.traced.version.value);
    node["is_leader"] = found.traced.is_leader;
    root["nodes"].append(node);
  }
  root["silent"] = Json::Value(Json::arrayValue);
  for (const std::string& address : inquiry.silent())
    root["silent"].append(address);
  std::cout << root.toStyledString();
}

void print_table(Version version, const std::vector<Line>& lines, TimePoint first,
                 const Inquiry& inquiry) {
  std::size_t width = 4;
  for (const auto& [address, found] : inquiry.found())
    width = std::max(width, found.traced.node.size());
  std::printf("edition %lld\n%8s  %-*s  %-8s  %s\n", static_cast<long long>(version.value), "ms",
              static_cast<int>(width), "node", "role", "step");
  for (const Line& line : lines)
    std::printf("%8lld  %-*s  %-8s  %s\n",
                static_cast<long long>(elapsed(first, line.when).count()), static_cast<int>(width),
                line.node.c_str(), line.role.c_str(), line.what.c_str());
  for (const auto& [address, found] : inquiry.found())
    if (found.traced.version < version)
      std::printf("lags: %s (%s) holds edition %lld\n", found.traced.node.c_str(), address.c_str(),
                  static_cast<long long>(found.traced.version.value));
  for (const std::string& address : inquiry.silent())
    std::printf("silent: %s\n", address.c_str());
}

}  // namespace

int run_trace(std::int64_t number, const std::vector<std::string>& contacts, bool is_json,
              int wait_ms) {
  const Version version{number};
  Inquiry inquiry(contacts, Duration(wait_ms));
  inquiry.run();
  if (inquiry.found().empty()) {
    for (const std::string& contact : contacts)
      std::cerr << "tracer: " << contact << " does not answer\n";
    return 1;
  }
  std::vector<Line> lines;
  Version newest;
  for (const auto& [address, found] : inquiry.found()) {
    newest = std::max(newest, found.traced.version);
    // Clocks differ between nodes, so steps come with their age; what the answer took on its way
    // blurs them.
    for (const VersionEvent& step : found.traced.events)
      if (step.version == version)
        lines.push_back({found.traced.node, found.traced.role, address, step.what,
                         found.last_contact - Duration(static_cast<std::int64_t>(step.age))});
  }
  if (lines.empty()) {
    std::cerr << "tracer: edition " << number
              << (version > newest
                      ? " is unknown: the newest held anywhere is "
                      : " is not in any node's steps any more, or never was: the newest held is ")
              << newest.value << "\n";
    return 1;
  }
  std::sort(lines.begin(), lines.end(),
            [](const Line& left, const Line& right) { return left.when < right.when; });
  const TimePoint first = lines.front().when;
  if (is_json)
    print_json(version, lines, first, inquiry);
  else
    print_table(version, lines, first, inquiry);
  return 0;
}

}  // namespace saddlewing
