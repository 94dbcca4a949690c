#pragma once
// The operator's configuration: an immutable snapshot, swapped whole.
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

inline constexpr std::size_t max_configuration = 8 << 20;  // bytes of its document

struct Service {
  std::string name, health_path;
  int max_connections = 1;
  int sync = 0;  // of a database: how many copies have a commit before it is answered
};

struct Share {
  ServiceIndex service;
  double weight = 0;
};

// Invariant: exactly one of `shares` and `shards` is filled; a plain `service` is one share.
// How a database's sessions read; `none` for requests.
enum class ReadConsistency {
  none,
  leader,
  bounded,
  own_writes
};

struct Route {
  std::string name, host, path_start;
  bool is_harmless = false;
  ReadConsistency read_consistency = ReadConsistency::none;
  Duration read_age{0};  // of bounded reads
  Duration give_up{0}, target{0};
  int rank = 0, tries = 1;
  std::vector<Share> shares;
  double weight_sum = 0;
  std::vector<ServiceIndex> shards;
  int best_count = 0;
  double min_parts_share = 1;
};

struct Limits {
  std::size_t max_header_bytes = 16384, max_body_bytes = 262144;
  Duration header_wait{3000}, quiet{15000};
  Duration change_rest{3000};  // how long a transaction may rest
};

// Invariant: rules of a host are ordered by falling length of their prefix; every index is within
// `services`.
struct Configuration {
  Version version;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host;
  Limits limits;
  std::string body;  // byte for byte as the operator sent it

  // Of a database, by its name alone.
  const Route* match_database(const std::string& name) const;
  const Route* match(std::string_view host, std::string_view path) const;
};
using ConfigurationSnapshot = std::shared_ptr<const Configuration>;

// Checks the whole document. The fault's step names the field and what is wrong with it.
Error read_configuration(const std::string& body, ConfigurationSnapshot& snapshot);

}  // namespace saddlewing
