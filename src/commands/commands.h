#pragma once
// The programs behind the subcommands. Each gives the exit code.
#include <cstdint>
#include <string>
#include <vector>

namespace saddlewing {

// Exit codes: 0 done and balanced, 1 failed or refused, 2 misused, 3 a node carries too much.
int run_edges(const std::vector<std::string>& contacts, bool is_json, int wait_ms);
int run_ring(const std::vector<std::string>& words, const std::vector<std::string>& contacts,
             bool is_json, int wait_ms);
/** What the command line tells a process that serves. */
struct ServeOptions {
  std::string settings_path;
  /** Port on the machine's address where metrics are served as well. Default: 0, none. */
  int metrics_port = 0;
};
int run_pooler(const ServeOptions& options);
int run_broker(const ServeOptions& options);
int run_registry(const ServeOptions& options);
// Contacts are inner addresses.
int run_trace(std::int64_t version, const std::vector<std::string>& contacts, bool is_json,
              int wait_ms);
// What each contact knows of its core. Exit codes: 0 a majority stands behind every one, 1 one does
// not answer, 2 misused, 3 one that answers has no majority behind it.
int run_cluster_status(const std::vector<std::string>& contacts, bool is_json, int wait_ms);
int run_check(const std::string& path);

}  // namespace saddlewing
