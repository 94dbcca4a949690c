#pragma once
// The programs behind the subcommands. Each gives the exit code.
#include <string>
#include <vector>

namespace saddlewing {

int run_broker(const std::string& startup_path);
int run_registry(const std::string& startup_path);
int run_check(const std::string& path);

}  // namespace saddlewing
