#pragma once
// Who leads each database service, as the registries agreed: one of their sheets.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state/bytes.h"

namespace saddlewing {

struct Lead {
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
  bool is_planned = false;   // of closing: the leader is well, what is under way may end
  std::uint64_t number = 0;  // of this service's changes; only rises
  std::uint64_t mark = 0;    // of the table that brought the last of them
};

// Invariant: `mark` rises with every agreed change; leads are ordered by service.
struct LeadTable {
  std::uint64_t mark = 0;
  std::vector<Lead> leads;

  const Lead* find(const std::string& service) const {
    const auto place = std::lower_bound(
        leads.begin(), leads.end(), service,
        [](const Lead& lead, const std::string& name) { return lead.service < name; });
    return place != leads.end() && place->service == service ? &*place : nullptr;
  }
  Lead& put(const std::string& service) {
    const auto place = std::lower_bound(
        leads.begin(), leads.end(), service,
        [](const Lead& lead, const std::string& name) { return lead.service < name; });
    if (place != leads.end() && place->service == service)
      return *place;
    return *leads.insert(place, Lead{service, {}, {}, Lead::Phase::led, false, 0, 0});
  }
};

inline constexpr const char* leads_sheet = "leads";

inline std::string encode_leads(const LeadTable& table) {
  Writer writer;
  writer.number(table.mark).number(table.leads.size());
  for (const Lead& lead : table.leads) {
    writer.text(lead.service).text(lead.id).text(lead.target);
    writer.number(static_cast<std::uint64_t>(lead.phase) | (lead.is_planned ? 16u : 0u))
        .number(lead.number)
        .number(lead.mark);
  }
  return writer.take();
}

inline bool decode_leads(const std::string& bytes, LeadTable& table) {
  ByteReader reader(bytes);
  table.mark = reader.number();
  table.leads.resize(reader.count(48));
  for (Lead& lead : table.leads) {
    lead.service = reader.text();
    lead.id = reader.text();
    lead.target = reader.text();
    const std::uint64_t phase = reader.number();
    if ((phase & 15) > 2)
      return false;
    lead.phase = static_cast<Lead::Phase>(phase & 15);
    lead.is_planned = phase & 16;
    lead.number = reader.number();
    lead.mark = reader.number();
  }
  return reader.is_whole();
}

}  // namespace saddlewing
