// saddlewing ring: the operator's calls concerning the hash ring.
#include <json/json.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "commands/commands.h"
#include "commands/operator_client.h"
#include "protocol/ring_messages.h"
#include "state/hash_ring.h"
#include "state/json_document.h"

namespace saddlewing {
namespace {

enum Exit {
  balanced = 0,
  failed = 1,
  usage = 2,
  overloaded = 3
};

std::string text_of(const Json::Value& value) {
  return value.isString() ? value.asString() : value.isNull() ? "-" : value.asString();
}

std::string unit_of(const Json::Value& value) {
  return value.isMember("account") ? "account " + text_of(value["account"])
                                   : "virtual node " + text_of(value["virtual_node"]);
}

void print_report(const Json::Value& root) {
  std::printf("ring edition %s, %s\n\n%-24s %8s %10s %12s %10s %10s\n",
              root["edition"].asString().c_str(),
              !root["enough"].asBool()    ? "too few askings to judge"
              : root["balanced"].asBool() ? "balanced"
                                          : "overloaded",
              "node", "share", "askings", "busy ms", "memory MB", "disk MB");
  for (const Json::Value& node : root["nodes"])
    std::printf("%-24s %7.0f%% %10.0f %12.0f %10.0f %10.0f%s\n", text_of(node["node"]).c_str(),
                node["share"].asDouble() * 100, node["askings"].asDouble(),
                node["busy_ms"].asDouble(), node["memory_mb"].asDouble(),
                node["disk_mb"].asDouble(), node["over"].asBool() ? "  carries too much" : "");
  if (!root["accounts"].empty())
    std::printf("\n%-32s %-24s %10s %12s\n", "busiest accounts", "node", "askings", "busy ms");
  for (const Json::Value& account : root["accounts"])
    std::printf("%-32s %-24s %10.0f %12.0f%s\n", text_of(account["account"]).c_str(),
                text_of(account["node"]).c_str(), account["askings"].asDouble(),
                account["busy_ms"].asDouble(), account["placed"].asBool() ? "  placed" : "");
  for (const Json::Value& move : root["proposals"])
    std::printf(
        "\nmove %s from %s to %s\n  takes %.0f askings, %.0f busy ms, %.0f MB of memory, %.0f MB "
        "of disk; cost %.2f\n  then %s is at %.0f%% and %s at %.0f%%\n",
        unit_of(move).c_str(), text_of(move["from"]).c_str(), text_of(move["to"]).c_str(),
        move["askings"].asDouble(), move["busy_ms"].asDouble(), move["memory_mb"].asDouble(),
        move["disk_mb"].asDouble(), move["cost"].asDouble(), text_of(move["from"]).c_str(),
        move["share_from"].asDouble() * 100, text_of(move["to"]).c_str(),
        move["share_to"].asDouble() * 100);
  for (const Json::Value& remark : root["remarks"])
    std::printf("%s\n", text_of(remark).c_str());
  for (const Json::Value& missing : root["missing"])
    std::printf("no counts from %s\n", text_of(missing).c_str());
}

void print_status(const Json::Value& root) {
  if (root["paused"].asBool())
    std::printf("paused: short lookups miss their aims\n");
  std::printf("%6s %-32s %-20s %-20s %-9s %7s  %s\n", "move", "what", "from", "to", "step",
              "copied", "why");
  for (const Json::Value& move : root["moves"])
    std::printf("%6s %-32s %-20s %-20s %-9s %6.0f%%  %s\n", text_of(move["move"]).c_str(),
                unit_of(move).c_str(), text_of(move["from"]).c_str(), text_of(move["to"]).c_str(),
                text_of(move["step"]).c_str(), move["copied"].asDouble() * 100,
                text_of(move["why"]).c_str());
  std::printf("%s accounts are placed elsewhere than the ring has them\n",
              text_of(root["placed"]).c_str());
}

}  // namespace

int run_ring(const std::vector<std::string>& words, const std::vector<std::string>& contacts,
             bool is_json, int wait_ms) {
  RingCall call{words[0], {}};
  for (std::size_t position = 1; position < words.size(); ++position)
    (call.text += position > 1 ? " " : "") += words[position];
  if (call.verb == "apply") {
    std::ifstream file(words[1]);
    std::ostringstream text;
    text << file.rdbuf();
    RingMap ring;
    const Error found =
        file ? read_ring(text.str(), ring) : make_error(ErrorCode::unreadable, "ring file");
    if (found) {
      std::cerr << "ring: " << words[1] << ": " << found.text() << "\n";
      return failed;
    }
    call.text = text.str();
  }
  RingReply answer;
  if (!ask_leader(contacts, call, Duration(wait_ms), answer)) {
    std::cerr << "ring: no registry that leads answered within " << wait_ms << " ms\n";
    return failed;
  }
  if (!answer.is_done) {
    std::cerr << "ring: refused: " << answer.reason << "\n";
    return failed;
  }
  Json::Value root;
  std::string reason;
  if (!read_json(answer.text, root, reason) || !root.isObject()) {
    std::cerr << "ring: the answer is not understood\n";
    return failed;
  }
  if (is_json)
    std::cout << answer.text << "\n";
  else if (call.verb == "report" || call.verb == "propose")
    print_report(root);
  else if (call.verb == "status")
    print_status(root);
  else
    std::cout << "ring: taken\n";
  const bool is_over = (call.verb == "report" || call.verb == "propose") &&
                       root["enough"].asBool() && !root["balanced"].asBool();
  return is_over ? overloaded : balanced;
}

}  // namespace saddlewing
