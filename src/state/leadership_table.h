#pragma once
// Who leads each database service, as the registries agreed: one of their sheets.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state/bytes.h"

namespace saddlewing {

struct DatabaseLeadership {
  // led: poolers under a hold use `id`. closing: nobody may. raising: `target` is to be named to
  // the platform.
  enum class Phase : std::uint64_t {
    led,
    closing,
    raising
  };
  std::string service, id;
  std::string target;
  Phase phase = Phase::led;
  bool is_planned = false;     // of closing: the leader is well, what is under way may end
  std::uint64_t number = 0;    // of this service's changes; only rises
  std::uint64_t revision = 0;  // of the table that brought the last of them
};

// Invariant: `revision` rises with every agreed change; leads are ordered by service.
struct LeadershipTable {
  std::uint64_t revision = 0;
  std::vector<DatabaseLeadership> leaderships;

  const DatabaseLeadership* find(const std::string& service) const {
    const auto position =
        std::lower_bound(leaderships.begin(), leaderships.end(), service,
                         [](const DatabaseLeadership& lead, const std::string& name) {
                           return lead.service < name;
                         });
    return position != leaderships.end() && position->service == service ? &*position : nullptr;
  }
  DatabaseLeadership& put(const std::string& service) {
    const auto position =
        std::lower_bound(leaderships.begin(), leaderships.end(), service,
                         [](const DatabaseLeadership& lead, const std::string& name) {
                           return lead.service < name;
                         });
    if (position != leaderships.end() && position->service == service)
      return *position;
    return *leaderships.insert(
        position, DatabaseLeadership{service, {}, {}, DatabaseLeadership::Phase::led, false, 0, 0});
  }
};

inline constexpr const char* leadership_document = "leads";

inline std::string encode_leaderships(const LeadershipTable& table) {
  Writer writer;
  writer.number(table.revision).number(table.leaderships.size());
  for (const DatabaseLeadership& lead : table.leaderships) {
    writer.text(lead.service).text(lead.id).text(lead.target);
    writer.number(static_cast<std::uint64_t>(lead.phase) | (lead.is_planned ? 16u : 0u))
        .number(lead.number)
        .number(lead.revision);
  }
  return writer.take();
}

inline bool decode_leaderships(const std::string& bytes, LeadershipTable& table) {
  ByteReader reader(bytes);
  table.revision = reader.number();
  table.leaderships.resize(reader.count(48));
  for (DatabaseLeadership& lead : table.leaderships) {
    lead.service = reader.text();
    lead.id = reader.text();
    lead.target = reader.text();
    const std::uint64_t phase = reader.number();
    if ((phase & 15) > 2)
      return false;
    lead.phase = static_cast<DatabaseLeadership::Phase>(phase & 15);
    lead.is_planned = phase & 16;
    lead.number = reader.number();
    lead.revision = reader.number();
  }
  return reader.is_complete();
}

}  // namespace saddlewing
