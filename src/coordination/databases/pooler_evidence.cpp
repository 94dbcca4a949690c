#include "coordination/databases/pooler_evidence.h"
#include "protocol/database_protocol.h"

#include <set>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration report_lifetime{1800};  // an older report is not counted
constexpr std::size_t min_failing_zones = 2;

bool has_bit(const std::string& bits, std::size_t position) {
  if (position / 8 >= bits.size())
    return false;
  const auto byte = static_cast<unsigned char>(bits[position / 8]);
  return (byte >> (position % 8) & 1) != 0;
}

}  // namespace

void PoolerEvidence::record(const std::string& pooler, Report report) {
  reports_[pooler] = std::move(report);
}

void PoolerEvidence::erase_older(Duration age, TimePoint now) {
  std::erase_if(reports_, [&](const auto& item) { return now - item.second.received_at > age; });
}

void PoolerEvidence::clear() {
  reports_.clear();
}

PoolerEvidence::Verdict PoolerEvidence::judge(std::uint64_t revision, std::size_t position,
                                              TimePoint now) const {
  std::size_t failing = 0;
  std::size_t fine = 0;
  std::set<std::string> failing_zones;
  for (const auto& [pooler, report] : reports_) {
    if (report.revision != revision || now - report.received_at > report_lifetime)
      continue;
    if (has_bit(report.fine, position))
      ++fine;
    if (!has_bit(report.failing, position))
      continue;
    ++failing;
    failing_zones.insert(report.zone);
  }
  Verdict verdict;
  verdict.is_failing = failing_zones.size() >= min_failing_zones && failing > fine;
  verdict.is_unanswered = fine == 0;
  return verdict;
}

}  // namespace saddlewing
