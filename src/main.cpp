// The command line.
#include <glog/logging.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "programs/programs.h"
#include "state/startup.h"

namespace {

int usage(const cxxopts::Options& options, const std::string& complaint) {
  std::cerr << "saddlewing: " << complaint << "\n" << options.help();
  return 2;
}

int trace(const cxxopts::Options& options, const cxxopts::ParseResult& read, const std::vector<std::string>& words) {
  if (words.size() != 1 || words[0].empty() || words[0].size() > 18 || words[0].find_first_not_of("0123456789") != std::string::npos)
    return usage(options, "tracer takes one edition, a whole number");
  if (!read.count("contact")) return usage(options, "tracer needs a --contact");
  const auto contacts = read["contact"].as<std::vector<std::string>>();
  saddlewing::Address address;
  for (const std::string& contact : contacts)
    if (!saddlewing::parse_address(contact, address)) return usage(options, contact + " is not an address (host:port, host in dots)");
  const int wait = read["wait-ms"].as<int>();
  if (wait < 1 || wait > 600000) return usage(options, "wait-ms is out of range");
  return saddlewing::run_tracer(std::stoll(words[0]), contacts, read.count("json") > 0, wait);
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options("saddlewing",
                           "A search front over sharded indexes.\n\n"
                           "  broker          carry traffic\n"
                           "  pooler          carry database sessions\n"
                           "  registry        keep the configuration and the registry of backends\n"
                           "  tracer EDITION  follow one change of the configuration through all nodes\n"
                           "  check FILE      check a startup or a configuration\n");
  options.positional_help("COMMAND [FILE | EDITION]");
  options.add_options()("h,help", "print this help")("version", "print the version")(
      "startup", "startup file (else SADDLEWING_NODE_FILE names it)", cxxopts::value<std::string>())(
      "contact", "tracer: inner address of a node; may be given more than once", cxxopts::value<std::vector<std::string>>())(
      "json", "tracer: print JSON")("wait-ms", "tracer: how long to wait for answers", cxxopts::value<int>()->default_value("2000"))(
      "command", "broker, pooler, registry, tracer or check", cxxopts::value<std::string>())(
      "file", "check: the file; tracer: the edition", cxxopts::value<std::vector<std::string>>());
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
  if (command == "tracer") return trace(options, read, files);
  if (command != "broker" && command != "pooler" && command != "registry") return usage(options, "unknown command " + command);
  if (!files.empty()) return usage(options, command + " takes no file");
  const char* told = std::getenv("SADDLEWING_NODE_FILE");
  const std::string path = read.count("startup") ? read["startup"].as<std::string>() : told ? told : "";
  if (path.empty()) return usage(options, "no startup file: give --startup or set SADDLEWING_NODE_FILE");
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(words[0]);
  if (command == "pooler") return saddlewing::run_pooler(path);
  return command == "broker" ? saddlewing::run_broker(path) : saddlewing::run_registry(path);
}
