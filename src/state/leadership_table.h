#pragma once
// Which database leads each database service, as the registries agreed: a replicated document. How
// a leadership changes is decided in coordination/databases/failover. Plain values.
#include <cstdint>
#include <string>
#include <vector>

namespace saddlewing {

/** Who leads one database service. */
struct DatabaseLeadership {
  /** Numbers stand in the document. */
  enum class Phase : std::uint64_t {
    /** Poolers that hold a lease use the database `id`. */
    led = 0,
    /** Nobody may use it; leases run out. */
    closing = 1,
    /** `target` is to be promoted by the platform. */
    raising = 2
  };

  std::string service;
  /** Id of the backend that leads, or led last. */
  std::string id;
  /**
   * Id of the backend that is to lead. Of closing: the one that was to lead before, whose promotion
   * may have taken effect; empty if there was none. Empty when led.
   */
  std::string target;
  Phase phase = Phase::led;
  /** Of closing: the leader is well, so what is under way may end. */
  bool is_planned = false;
  /** Of this service's changes; only rises. */
  std::uint64_t number = 0;
  /** Revision of the table that brought the last of them. */
  std::uint64_t revision = 0;
  /** Newest term known of any database of the service; 0: none is known yet. Only rises. */
  std::uint64_t term = 0;
};

/** Invariant: `revision` rises with every agreed change; leaderships are ordered by service. */
struct LeadershipTable {
  std::uint64_t revision = 0;
  std::vector<DatabaseLeadership> leaderships;

  /** Null: nothing was ever agreed for the service. The pointer lasts until the next `put`. */
  const DatabaseLeadership* find(const std::string& service) const;

  /** The service's leadership, added where there is none. */
  DatabaseLeadership& put(const std::string& service);
};

/** Name of the replicated document. */
inline constexpr const char* leadership_document = "leads";

std::string encode_leaderships(const LeadershipTable& table);

/** False: damaged, or a phase of a later version; `table` is then unspecified. */
bool decode_leaderships(const std::string& bytes, LeadershipTable& table);

}  // namespace saddlewing
