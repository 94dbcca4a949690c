#pragma once
// What a process is told when it starts, and again when the file changes.
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace Json {
class Value;
}

namespace saddlewing {

struct Address {
  std::string host;  // dotted IPv4
  int port = 0;
  std::string text() const {
    return host + ":" + std::to_string(port);
  }
  auto operator<=>(const Address&) const = default;
};
bool parse_address(const std::string& text, Address& address);

// Invariant: every field was checked by read_node_settings; spans are positive, shares within 0
// and 1.
struct NodeSettings {
  std::string node_name, ip_address, zone, region, data_folder;
  std::vector<Address> contacts;                  // steering addresses of some registries
  std::map<std::string, std::string> zones;       // locality to region
  Address front, ready_check, control, platform;  // port 0: not told
  int inner_port = 0;  // of registries, for frames between nodes; alike on every machine
  int own_port = 0;    // of this process: a pooler may share its machine with a registry
  bool is_signing_up =
      false;  // backends tell the registries of themselves; else the platform lists them
  Duration backend_heartbeat_interval{1200};  // of a backend that tells of itself
  int can_lose = 1;                           // core machines at once
  double duty_rate = 10;                      // calls of duty the platform takes a second
  bool is_first_run = false;
  double platform_rate = 10;
  std::size_t memory_bytes = 256u << 20;
  int file_handles = 1024;
  Duration empty_out{3000}, grace{6000}, take_effect{3000}, reuse_wait{2000}, retry_span{10000};
  Duration catch_up{4000};  // a core machine counts as lost for so long after it is back
  double retry_share = 0.2;
  int extra_tries = 0;
  // Options of the project, under the table `options`.
  Duration heartbeat{150}, election{700};  // agreement: leader's beat, least election time-out
  Duration renewal{2000}, lease{6000}, sweep{1000};  // registry of backends
  double renewal_threshold = 0.85;
  bool is_preserving = true;           // eviction pauses under the threshold
  Duration listing{500}, follow{400};  // platform list; broker's beat to the registries
  Duration rollout_wait{400};  // a new version waits this long for brokers that do not hold it yet
  std::string alert_rules;     // path of a file; empty: none
  Duration leadership_lease{3000};  // how long a pooler may use the leads it was told of
  double heavy_times =
      0;  // so many times the lightest route's work makes a route heavy; 0: bulkheads are off
  bool has_edges = false;  // the shared view of edges, see docs/operating-edges.md
  Duration edges_half_life{4000}, edges_min_stay{2000}, edges_fade{10000};
  double edges_avoid_times = 3, edges_return_times = 1.5, edges_min_samples = 20;
  Duration unconfirmed_wait{2000};  // then a broker serves by what any registry holds committed
};

// Reads and checks one file; the fault names the field.
Error read_node_settings(const std::string& path, bool is_registry, NodeSettings& settings);
Error parse_node_settings(const std::string& text, bool is_registry, NodeSettings& settings);

// Strict JSON: one value, no comments, no key twice. Used for every operator's document.
bool read_json(const std::string& text, Json::Value& value, std::string& reason);

}  // namespace saddlewing
