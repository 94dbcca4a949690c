#pragma once
// The settings of one process, read from its settings file at the start and again when the file
// changes. state/setting_fields.h holds the table of what the file may contain; this module reads
// and checks a file by it. It watches no file and applies no change. Settings are plain values:
// each thread keeps a copy of its own.
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "state/address.h"
#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

/**
 * Every setting of a broker, pooler or registry. It is one flat struct, longer than other classes,
 * so that it matches the file field by field. Invariant: values were checked by
 * `parse_node_settings`; durations are positive, shares within 0 and 1.
 */
struct NodeSettings {
  // Identity and place of this machine.

  /** The machine's name in status output, traces and logs. */
  std::string node_name;
  /** Dotted IPv4 address at which other nodes reach this machine. */
  std::string ip_address;
  /** Zone of this machine; backends of the same zone are preferred. */
  std::string zone;
  /** Region of the zone; empty if there is only one. */
  std::string region;
  /** Region of each zone, by the zone's name. */
  std::map<std::string, std::string> zones;
  /** Registry only: folder of the durable store. */
  std::string data_folder;
  /** Registry only: whether this start may found a new cluster. Default: false. */
  bool is_first_run = false;

  // Addresses.

  /** Control addresses of some registries, asked first. At least one. */
  std::vector<Address> contacts;
  /** Broker and pooler: where clients connect. Port 0: not given. */
  Address front;
  /** Broker and pooler: readiness probe and metrics. Port 0: not given. */
  Address ready_check;
  /** Registry: operators' calls, backend heartbeats and metrics. Port 0: not given. */
  Address control;
  /** Registry: the platform's API. Port 0: not given. */
  Address platform;
  /** Port of the registries' frame links; the same on every machine. */
  int inner_port = 0;
  /** Port of this process's own frame link; a broker or pooler may share its machine with a
      registry. */
  int own_port = 0;

  // Discovery of backends.

  /** Whether backends register themselves; otherwise the platform lists them. Default: false. */
  bool is_signing_up = false;
  /** Milliseconds between the heartbeats of a backend that registers itself. Default: 1200. */
  Duration backend_heartbeat_interval{1200};
  /** Calls a second that the platform allows for promotions and moves. Default: 10. */
  double duty_rate = 10;
  /** Calls a second that the platform allows for listing backends. Default: 10. */
  double platform_rate = 10;

  // Limits of the machine.

  /** Core machines that may be lost at the same time; the core has 2 n + 1 voters. Default: 1. */
  int can_lose = 1;
  /** Memory that this process may use, in bytes; bounds its caches and buffers. Default: 256 MiB.
   */
  std::size_t memory_bytes = 256u << 20;
  /** File handles that this process may use; bounds its connections. Default: 1024. */
  int file_handles = 1024;

  // Time bounds of the deployment.

  /** Milliseconds within which a backend that is gone receives no more requests. Default: 3000. */
  Duration empty_out{3000};
  /** Milliseconds that a process has to end after SIGTERM. Default: 6000. */
  Duration grace{6000};
  /** Milliseconds within which a new configuration is in force everywhere. Default: 3000. */
  Duration take_effect{3000};
  /** Milliseconds before the platform may give an address to another backend. Default: 2000. */
  Duration reuse_wait{2000};
  /** Milliseconds over which the share of retries is counted. Default: 10000. */
  Duration retry_span{10000};
  /** Milliseconds for which a core machine counts as lost after it is back. Default: 4000. */
  Duration catch_up{4000};
  /** Retries allowed, as a share of the requests of the last `retry_span`. Default: 0.2. */
  double retry_share = 0.2;
  /** Retries allowed beyond the share, in the whole cluster, for each `retry_span`. Default: 0. */
  int extra_tries = 0;

  // Raft.

  /** Milliseconds between two heartbeats of the Raft leader. Default: 150. */
  Duration heartbeat{150};
  /** Least election time-out in milliseconds; at least three heartbeats. Default: 700. */
  Duration election{700};

  // Service registry.

  /** Milliseconds between two probes that renew a backend's lease. Default: 2000. */
  Duration renewal{2000};
  /** Milliseconds that a backend's lease lasts; at least two renewals. Default: 6000. */
  Duration lease{6000};
  /** Milliseconds between two searches for leases that ran out. Default: 1000. */
  Duration sweep{1000};
  /** Share of the expected renewals below which nothing is evicted. Default: 0.85. */
  double renewal_threshold = 0.85;
  /** Whether eviction pauses under `renewal_threshold`. Default: true. */
  bool is_preserving = true;
  /** Milliseconds between two listings of the platform. Default: 500, less under a tight
      `empty_out`. */
  Duration listing{500};

  // Control links of brokers and poolers.

  /** Milliseconds between two heartbeats of a broker or pooler to the registries. Default: 400,
      less under a tight `empty_out` or `take_effect`. */
  Duration follow{400};
  /** Milliseconds that a new version waits for brokers that do not hold it yet. Default: 400, less
      under a tight `take_effect`. */
  Duration rollout_wait{400};
  /** Milliseconds after which a broker that just started serves by the newest configuration that
      any registry holds committed. Default: 2000. */
  Duration unconfirmed_wait{2000};
  /** Milliseconds that a pooler may act by the database leaderships it was told of, and a broker
      by the ring; at least three `follow`. Default: 3000. */
  Duration leadership_lease{3000};

  // Routing of a broker.

  /** Path of a file of alert rules; empty: none. */
  std::string alert_rules;
  /** Work of a heavy route as a multiple of the lightest route's. Default: 0, no bulkheads. */
  double heavy_times = 0;
  /** Whether brokers share their latencies by edge; see docs/operating-edges.md. Default: false. */
  bool has_edges = false;
  /** Milliseconds after which a latency sample counts half. Default: 4000. */
  Duration edges_half_life{4000};
  /** Least milliseconds that an edge stays avoided or in use. Default: 2000. */
  Duration edges_min_stay{2000};
  /** Milliseconds after which a broker without news forgets the avoided edges; at least four
      `follow`. Default: 10000. */
  Duration edges_fade{10000};
  /** Multiple of the best edge's latency beyond which an edge is avoided. Default: 3. */
  double edges_avoid_times = 3;
  /** Multiple of the best edge's latency within which an edge returns; less than
      `edges_avoid_times`. Default: 1.5. */
  double edges_return_times = 1.5;
  /** Samples below which an edge is not judged. Default: 20. */
  double edges_min_samples = 20;
};

/**
 * Reads and checks a settings file.
 * @param path of the file.
 * @param is_registry which fields are required: those of a registry, or those of a broker or
 *     pooler.
 * @param settings is set only where there is no error.
 * @return an error whose step names the field and what is wrong with it, and whose peer is the
 *     path.
 */
Error read_node_settings(const std::string& path, bool is_registry, NodeSettings& settings);

/** Like `read_node_settings`, for the text of a file; the error has no peer. */
Error parse_node_settings(const std::string& text, bool is_registry, NodeSettings& settings);

}  // namespace saddlewing
