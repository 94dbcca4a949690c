// saddlewing check FILE: a startup or a configuration, told apart by their fields, or a ring file
// (.yaml).
#include <json/json.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "commands/commands.h"
#include "state/configuration.h"
#include "state/hash_ring.h"
#include "state/json_document.h"
#include "state/node_settings.h"

namespace saddlewing {

int run_check(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return 1;
  }
  std::ostringstream text;
  text << file.rdbuf();
  if (path.ends_with(".yaml") || path.ends_with(".yml")) {
    RingMap ring;
    if (Error found = read_ring(text.str(), ring)) {
      std::cerr << path << ": " << found.text() << "\n";
      return 1;
    }
    std::cout << path << ": a proper ring file\n";
    return 0;
  }
  Json::Value root;
  std::string reason;
  if (!read_json(text.str(), root, reason) || !root.isObject()) {
    std::cerr << path << ": not a JSON object\n" << reason;
    return 1;
  }
  Error found;
  const bool is_node_settings = root.isMember("node_name");
  if (is_node_settings) {
    NodeSettings settings;
    found = parse_node_settings(text.str(), root.isMember("data_folder"), settings);
  } else {
    ConfigurationSnapshot snapshot;
    found = read_configuration(text.str(), snapshot);
  }
  if (found) {
    std::cerr << path << ": " << found.text() << "\n";
    return 1;
  }
  std::cout << path << ": a proper " << (is_node_settings ? "startup" : "configuration") << "\n";
  return 0;
}

}  // namespace saddlewing
