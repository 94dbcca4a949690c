#include "state/leadership_table.h"

#include <algorithm>

#include "state/bytes.h"

namespace saddlewing {
namespace {

using Phase = DatabaseLeadership::Phase;

constexpr std::uint64_t min_leadership_bytes = 6 * number_bytes;  // texts may be empty

// Phase, plan and term share one number. A build that knows no term passes over its bits and writes
// none, which reads as a term that is not known.
constexpr std::uint64_t phase_mask = 15;
constexpr std::uint64_t planned_flag = 16;
constexpr int term_shift = 8;
constexpr std::uint64_t max_term = ~std::uint64_t{0} >> term_shift;
constexpr Phase last_phase = Phase::raising;

bool is_before(const DatabaseLeadership& leadership, const std::string& service) {
  return leadership.service < service;
}

void write_leadership(Writer& writer, const DatabaseLeadership& leadership) {
  const auto phase = static_cast<std::uint64_t>(leadership.phase);
  writer.text(leadership.service)
      .text(leadership.id)
      .text(leadership.target)
      .number(phase | (leadership.is_planned ? planned_flag : 0) |
              std::min(leadership.term, max_term) << term_shift)
      .number(leadership.number)
      .number(leadership.revision);
}

/** False: a phase of a later version. */
bool read_leadership(ByteReader& reader, DatabaseLeadership& leadership) {
  leadership.service = reader.text();
  leadership.id = reader.text();
  leadership.target = reader.text();
  const std::uint64_t phase = reader.number();
  if ((phase & phase_mask) > static_cast<std::uint64_t>(last_phase))
    return false;
  leadership.phase = static_cast<Phase>(phase & phase_mask);
  leadership.is_planned = (phase & planned_flag) != 0;
  leadership.term = phase >> term_shift;
  leadership.number = reader.number();
  leadership.revision = reader.number();
  return true;
}

}  // namespace

const DatabaseLeadership* LeadershipTable::find(const std::string& service) const {
  const auto position =
      std::lower_bound(leaderships.begin(), leaderships.end(), service, is_before);
  if (position == leaderships.end() || position->service != service)
    return nullptr;
  return &*position;
}

DatabaseLeadership& LeadershipTable::put(const std::string& service) {
  const auto position =
      std::lower_bound(leaderships.begin(), leaderships.end(), service, is_before);
  if (position != leaderships.end() && position->service == service)
    return *position;
  DatabaseLeadership added;
  added.service = service;
  return *leaderships.insert(position, std::move(added));
}

std::string encode_leaderships(const LeadershipTable& table) {
  Writer writer;
  writer.number(table.revision).number(table.leaderships.size());
  for (const DatabaseLeadership& leadership : table.leaderships)
    write_leadership(writer, leadership);
  return writer.take();
}

bool decode_leaderships(const std::string& bytes, LeadershipTable& table) {
  ByteReader reader(bytes);
  table.revision = reader.number();
  table.leaderships.resize(reader.count(min_leadership_bytes));
  for (DatabaseLeadership& leadership : table.leaderships)
    if (!read_leadership(reader, leadership))
      return false;
  return reader.is_complete();
}

}  // namespace saddlewing
