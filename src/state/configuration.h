#pragma once
// The operator's configuration: services, routes and limits, as an immutable snapshot that is
// swapped whole. How a new one is agreed on and rolled out is the business of coordination/. A
// snapshot may be shared by threads.
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

/** The most bytes that a configuration document may have. */
inline constexpr std::size_t max_configuration = 8 << 20;

/** A group of backends that serve the same requests, or a database. */
struct Service {
  std::string name;
  /** Path of its backends' health check, with a slash in front. */
  std::string health_path;
  /** Connections to one backend, of all brokers together. */
  int max_connections = 1;
  /** Of a database: how many replicas have a commit before it is answered. */
  int sync = 0;
};

/** A service's part of the requests of a route. */
struct Share {
  ServiceIndex service;
  /** Relative to `Route::weight_sum`. */
  double weight = 0;
};

/** How the sessions of a database read. */
enum class ReadConsistency {
  /** The route is for requests, not for a database. */
  none,
  /** From the leader alone. */
  leader,
  /** From a replica that is no older than `Route::read_age`. */
  bounded,
  /** From a replica that has the session's own writes. */
  own_writes
};

/**
 * What becomes of the requests of one host and path prefix. Invariant: exactly one of `shares` and
 * `shards` is filled; a plain `service` is one share.
 */
struct Route {
  /** May be empty. */
  std::string name;
  /** In lower case, without a port. */
  std::string host;
  /** Prefix of the path; starts and ends with a slash. */
  std::string path_start;
  /** Whether a request may run twice, so that it may be retried after it may have run. */
  bool is_harmless = false;
  ReadConsistency read_consistency = ReadConsistency::none;
  /** Milliseconds that a bounded read may lag. */
  Duration read_age{0};
  /** Milliseconds after which a request is given up. */
  Duration give_up{0};
  /** Milliseconds within which an answer is wanted; by default `give_up`. */
  Duration target{0};
  /** 0 is the most important; alerts may refuse requests from a rank on. */
  int rank = 0;
  /** Attempts at one part of a request, the first among them. */
  int tries = 1;
  std::vector<Share> shares;
  /** Of `shares`; above 0 where there are any. */
  double weight_sum = 0;
  /** Services that are all asked, their records merged. */
  std::vector<ServiceIndex> shards;
  /** Of a gather: records to answer with. */
  int best_count = 0;
  /** Of a gather: the share of `shards` without which there is no answer; above 0, at most 1. */
  double min_parts_share = 1;
};

/** Bounds on what clients may send and do. */
struct Limits {
  /** Bytes of a request's head. Default: 16 KiB. */
  std::size_t max_header_bytes = 16384;
  /** Bytes of a request's body. Default: 256 KiB. */
  std::size_t max_body_bytes = 262144;
  /** Milliseconds within which a head must have come. Default: 3000. */
  Duration header_wait{3000};
  /** Milliseconds without a byte after which a connection is closed. Default: 15000. */
  Duration quiet{15000};
  /** Milliseconds that a database transaction may rest between statements. Default: 3000. */
  Duration change_rest{3000};
};

/**
 * A whole configuration. Invariant: routes of a host are ordered by falling length of their prefix;
 * every index is within `services`.
 */
struct Configuration {
  Version version;
  std::vector<Service> services;
  std::vector<Route> routes;
  /** Indices into `routes`. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host;
  Limits limits;
  /** Byte for byte as the operator sent it. */
  std::string body;

  /** The route of a database, by its name; null: there is none. */
  const Route* match_database(const std::string& name) const;

  /**
   * The route of a request; null: there is none.
   * @param host may have a port and capital letters.
   * @param path may have a query.
   */
  const Route* match(std::string_view host, std::string_view path) const;
};
using ConfigurationSnapshot = std::shared_ptr<const Configuration>;

/**
 * Checks a whole document.
 * @param body the JSON text.
 * @param snapshot is set only where there is no error.
 * @return an error whose step names the field and what is wrong with it.
 */
Error read_configuration(const std::string& body, ConfigurationSnapshot& snapshot);

}  // namespace saddlewing
