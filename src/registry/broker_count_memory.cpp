#include "registry/broker_count_memory.h"

#include <algorithm>
#include <string_view>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr const char* broker_count_document = "fleet";
constexpr Duration start_span{15000};  // after its start a registry has not heard of all brokers
constexpr Duration settle_span{4000};  // a number that lasted so long is proposed
constexpr std::uint64_t min_relative_change = 4;  // one part in so many

}  // namespace

bool BrokerCountMemory::is_starting(TimePoint now) const {
  return now - started_at_ < start_span;
}

std::uint64_t BrokerCountMemory::estimate(std::size_t connected, TimePoint now) const {
  return std::max<std::uint64_t>(connected, is_starting(now) ? committed_count_ : 0);
}

void BrokerCountMemory::read_committed() {
  const EntrySnapshot& committed = context_.committed();
  if (!committed)
    return;
  const auto found = committed->documents.find(broker_count_document);
  if (found == committed->documents.end())
    return;
  ByteReader reader{std::string_view(found->second)};
  if (const std::uint64_t count = reader.number(); reader.is_complete())
    committed_count_ = count;
}

void BrokerCountMemory::tick(std::size_t connected, TimePoint now) {
  read_committed();
  const std::uint64_t count = connected;
  const std::uint64_t difference =
      count > committed_count_ ? count - committed_count_ : committed_count_ - count;
  const bool may_propose =
      context_.is_leader() && context_.is_leased(now) && now - started_at_ > start_span;
  if (!may_propose || count == 0 || difference * min_relative_change <= committed_count_)
    last_agreement_ = now;
  if (now - last_agreement_ < settle_span)
    return;
  last_agreement_ = now;
  context_.propose_document(broker_count_document, Writer().number(count).take(),
                            broker_count_proposal_token, now);
}

}  // namespace saddlewing
