// The command line.
#include <glog/logging.h>

#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "commands/commands.h"
#include "state/build_info.h"
#include "state/node_settings.h"

namespace {

constexpr int max_port = 65535;

int usage(const cxxopts::Options& options, const std::string& complaint) {
  std::cerr << "saddlewing: " << complaint << "\n" << options.help();
  return 2;
}

// Empty: neither an option nor the environment names the file.
std::string settings_path(const cxxopts::ParseResult& read) {
  for (const char* option : {"settings", "startup"})
    if (read.count(option))
      return read[option].as<std::string>();
  const char* path = std::getenv("SADDLEWING_NODE_FILE");
  return path ? path : "";
}

// False: what is given is no port. 0: none is given.
bool read_metrics_port(const cxxopts::ParseResult& read, int& port) {
  const char* variable = std::getenv("SADDLEWING_METRICS_PORT");
  const std::string text = read.count("metrics-port") ? read["metrics-port"].as<std::string>()
                           : variable                 ? variable
                                                      : "0";
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port >= 0 && port <= max_port;
}

bool read_contacts(const cxxopts::ParseResult& read, std::vector<std::string>& contacts, int& wait,
                   std::string& complaint) {
  if (!read.count("contact"))
    return complaint = "it needs a --contact", false;
  contacts = read["contact"].as<std::vector<std::string>>();
  saddlewing::Address address;
  for (const std::string& contact : contacts)
    if (!saddlewing::parse_address(contact, address))
      return complaint = contact + " is not an address (host:port, host in dots)", false;
  wait = read["wait-ms"].as<int>();
  if (wait < 1 || wait > 600000)
    return complaint = "wait-ms is out of range", false;
  return true;
}

int ring(const cxxopts::Options& options, const cxxopts::ParseResult& read,
         const std::vector<std::string>& words) {
  const std::string verb = words.empty() ? "" : words[0];
  const bool is_of_account = words.size() > 1 && words[1] == "account";
  const std::size_t wanted = verb == "report" || verb == "propose" || verb == "status" ? 1
                             : verb == "apply" || verb == "undo"                       ? 2
                             : verb == "move" || verb == "queue" ? (is_of_account ? 4 : 3)
                                                                 : 0;
  if (!wanted || words.size() != wanted)
    return usage(options,
                 "ring takes report, propose, status, apply FILE, undo MOVE, or move (or queue) "
                 "VIRTUAL-NODE RECEIVER or account NAME RECEIVER");
  std::vector<std::string> contacts;
  int wait = 0;
  std::string complaint;
  if (!read_contacts(read, contacts, wait, complaint))
    return usage(options, "ring: " + complaint);
  return saddlewing::run_ring(words, contacts, read.count("json") > 0, wait);
}

int edges(const cxxopts::Options& options, const cxxopts::ParseResult& read,
          const std::vector<std::string>& words) {
  if (!words.empty())
    return usage(options, "edges takes no further words");
  std::vector<std::string> contacts;
  int wait = 0;
  std::string complaint;
  if (!read_contacts(read, contacts, wait, complaint))
    return usage(options, "edges: " + complaint);
  return saddlewing::run_edges(contacts, read.count("json") > 0, wait);
}

int core(const cxxopts::Options& options, const cxxopts::ParseResult& read,
         const std::vector<std::string>& words) {
  if (!words.empty())
    return usage(options, "core takes no further words");
  std::vector<std::string> contacts;
  int wait = 0;
  std::string complaint;
  if (!read_contacts(read, contacts, wait, complaint))
    return usage(options, "core: " + complaint);
  return saddlewing::run_cluster_status(contacts, read.count("json") > 0, wait);
}

int trace(const cxxopts::Options& options, const cxxopts::ParseResult& read,
          const std::vector<std::string>& words) {
  if (words.size() != 1 || words[0].empty() || words[0].size() > 18 ||
      words[0].find_first_not_of("0123456789") != std::string::npos)
    return usage(options, "tracer takes one version, a whole number");
  std::vector<std::string> contacts;
  int wait = 0;
  std::string complaint;
  if (!read_contacts(read, contacts, wait, complaint))
    return usage(options, "tracer: " + complaint);
  return saddlewing::run_trace(std::stoll(words[0]), contacts, read.count("json") > 0, wait);
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options(
      "saddlewing",
      "A search front over sharded indexes.\n\n"
      "  broker          carry traffic\n"
      "  pooler          carry database sessions\n"
      "  registry        keep the configuration and the registry of backends\n"
      "  tracer VERSION  follow one change of the configuration through all nodes\n"
      "  ring WHAT       the hash ring: report, propose, status, apply FILE, undo MOVE;\n"
      "                  move or queue, of VIRTUAL-NODE RECEIVER or account NAME RECEIVER\n"
      "  edges           how fast each edge answers each region, and which are avoided\n"
      "  core            members, term, leader and catching-up, as each registry asked knows them\n"
      "  check FILE      check a startup, a configuration or a ring file\n");
  options.positional_help("COMMAND [FILE | VERSION]");
  options.add_options()("h,help", "print this help")("version", "print the version")(
      "settings", "settings file (else SADDLEWING_NODE_FILE names it)",
      cxxopts::value<std::string>())("startup", "deprecated name of --settings",
                                     cxxopts::value<std::string>())(
      "contact", "tracer, ring, edges, core: inner address of a node; may be given more than once",
      cxxopts::value<std::vector<std::string>>())("json", "tracer, ring, edges, core: print JSON")(
      "metrics-port",
      "broker, pooler, registry: port for metrics beside their other addresses (else "
      "SADDLEWING_METRICS_PORT gives it)",
      cxxopts::value<std::string>())("wait-ms",
                                     "tracer, ring, edges, core: how long to wait for answers",
                                     cxxopts::value<int>()->default_value("2000"))(
      "command", "broker, pooler, registry, tracer, ring, edges, core or check",
      cxxopts::value<std::string>())("file",
                                     "check: the file; tracer: the version; ring: what to do",
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
    std::cout << "saddlewing " << saddlewing::build_description() << "\n";
    return 0;
  }
  if (!read.count("command"))
    return usage(options, "a command is needed");
  const std::string command = read["command"].as<std::string>();
  const auto files =
      read.count("file") ? read["file"].as<std::vector<std::string>>() : std::vector<std::string>();
  if (command == "check") {
    if (files.size() != 1)
      return usage(options, "check takes one file");
    return saddlewing::run_check(files[0]);
  }
  if (command == "tracer")
    return trace(options, read, files);
  if (command == "edges")
    return edges(options, read, files);
  if (command == "core")
    return core(options, read, files);
  if (command == "ring")
    return ring(options, read, files);
  if (command != "broker" && command != "pooler" && command != "registry")
    return usage(options, "unknown command " + command);
  if (!files.empty())
    return usage(options, command + " takes no file");
  const std::string path = settings_path(read);
  if (path.empty())
    return usage(options, "no settings file: give --settings or set SADDLEWING_NODE_FILE");
  saddlewing::ServeOptions serve{path};
  if (!read_metrics_port(read, serve.metrics_port))
    return usage(options, "the metrics port is no port");
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(words[0]);
  if (command == "pooler")
    return saddlewing::run_pooler(serve);
  return command == "broker" ? saddlewing::run_broker(serve) : saddlewing::run_registry(serve);
}
