// saddlewing edges: the shared view of how fast each edge answers each region.
#include <json/json.h>

#include <cstdio>
#include <iostream>

#include "commands/commands.h"
#include "commands/operator_client.h"
#include "protocol/ring_messages.h"
#include "state/json_document.h"

namespace saddlewing {
namespace {

enum Exit {
  all_allowed = 0,
  failed = 1,
  some_avoided = 3
};

void print(const Json::Value& root) {
  std::printf(
      "view %s, in force %s, %s cells avoided\n\n%-24s %-18s %-18s %-10s %8s %9s %9s %8s  %s\n",
      root["view"].asString().c_str(), root["in_force"].asString().c_str(),
      root["avoided"].asString().c_str(), "service", "zone", "for region", "state", "samples",
      "time ms", "failures", "since s", "why");
  for (const Json::Value& cell : root["cells"])
    std::printf(
        "%-24s %-18s %-18s %-10s %8.0f %9.1f %8.1f%% %8.0f  %s\n",
        cell["service"].asString().empty() ? "(helpers)" : cell["service"].asString().c_str(),
        cell["zone"].asString().c_str(), cell["region"].asString().c_str(),
        cell["state"].asString().c_str(), cell["samples"].asDouble(), cell["time_ms"].asDouble(),
        cell["failures"].asDouble() * 100, cell["age_ms"].asDouble() / 1000,
        cell["reason"].asString().c_str());
}

}  // namespace

int run_edges(const std::vector<std::string>& contacts, bool is_json, int wait_ms) {
  RingReply answer;
  if (!ask_leader(contacts, RingCall{"edges", {}}, Duration(wait_ms), answer)) {
    std::cerr << "edges: no registry that leads answered within " << wait_ms << " ms\n";
    return failed;
  }
  if (!answer.is_done) {
    std::cerr << "edges: refused: " << answer.reason << "\n";
    return failed;
  }
  Json::Value root;
  std::string reason;
  if (!read_json(answer.text, root, reason) || !root.isObject() || !root["cells"].isArray()) {
    std::cerr << "edges: the answer is not understood\n";
    return failed;
  }
  if (is_json)
    std::cout << answer.text << "\n";
  else
    print(root);
  return root["avoided"].asInt() > 0 ? some_avoided : all_allowed;
}

}  // namespace saddlewing
