#pragma once
// The programs behind the subcommands. Each gives the exit code.
#include <cstdint>
#include <string>
#include <vector>

namespace saddlewing {

int run_pooler(const std::string& startup_path);
int run_broker(const std::string& startup_path);
int run_registry(const std::string& startup_path);
// Contacts are inner addresses.
int run_tracer(std::int64_t edition, const std::vector<std::string>& contacts, bool is_json, int wait_ms);
int run_check(const std::string& path);

}  // namespace saddlewing
