// The command line.
#include <glog/logging.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "programs/programs.h"

namespace {

int usage(const cxxopts::Options& options, const std::string& complaint) {
  std::cerr << "saddlewing: " << complaint << "\n" << options.help();
  return 2;
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options("saddlewing", "A search front over sharded indexes.");
  options.positional_help("COMMAND [FILE]");
  options.add_options()("h,help", "print this help")("version", "print the version")(
      "startup", "startup file (else SADDLEWING_NODE_FILE names it)", cxxopts::value<std::string>())(
      "command", "broker, registry or check", cxxopts::value<std::string>())("file", "for check: the file",
                                                                             cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command", "file"});
  cxxopts::ParseResult read;
  try {
    read = options.parse(count, words);
  } catch (const cxxopts::exceptions::exception& thrown) {
    return usage(options, thrown.what());
  }
  if (read.count("help")) {
    std::cout << options.help();
    return 0;
  }
  if (read.count("version")) {
    std::cout << "saddlewing " << SADDLEWING_VERSION << "\n";
    return 0;
  }
  if (!read.count("command")) return usage(options, "a command is needed");
  const std::string command = read["command"].as<std::string>();
  const auto files = read.count("file") ? read["file"].as<std::vector<std::string>>() : std::vector<std::string>();
  if (command == "check") {
    if (files.size() != 1) return usage(options, "check takes one file");
    return saddlewing::run_check(files[0]);
  }
  if (command != "broker" && command != "registry") return usage(options, "unknown command " + command);
  if (!files.empty()) return usage(options, command + " takes no file");
  const char* told = std::getenv("SADDLEWING_NODE_FILE");
  const std::string path = read.count("startup") ? read["startup"].as<std::string>() : told ? told : "";
  if (path.empty()) return usage(options, "no startup file: give --startup or set SADDLEWING_NODE_FILE");
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(words[0]);
  return command == "broker" ? saddlewing::run_broker(path) : saddlewing::run_registry(path);
}
