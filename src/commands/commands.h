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
int run_pooler(const std::string& startup_path);
int run_broker(const std::string& startup_path);
int run_registry(const std::string& startup_path);
// Contacts are inner addresses.
int run_trace(std::int64_t version, const std::vector<std::string>& contacts, bool is_json,
              int wait_ms);
// What each contact knows of its core. Exit codes: 0 a majority stands behind every one, 1 one does
// not answer, 2 misused, 3 one that answers has no majority behind it.
int run_cluster_status(const std::vector<std::string>& contacts, bool is_json, int wait_ms);
int run_check(const std::string& path);

}  // namespace saddlewing
