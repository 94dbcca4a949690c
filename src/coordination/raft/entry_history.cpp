#include "coordination/raft/entry_history.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_remembered_starts = 256;

}  // namespace

void EntryHistory::record_start(Index index, TimePoint now) {
  started_[index] = now;
  while (started_.size() > max_remembered_starts)
    started_.erase(started_.begin());
}

bool EntryHistory::has_started_within(Index index, Duration limit, TimePoint now) const {
  const auto started = started_.find(index);
  return started != started_.end() && now - started->second < limit;
}

const EntryContent* EntryHistory::base_for(const ReplicationProgress& progress) const {
  if (progress.should_send_full_entry() || !progress.has_acknowledged())
    return nullptr;
  const EntryContent* base = nullptr;
  for (const EntryContentSnapshot& content : contents_) {
    const Entry& entry = *content->entry;
    if (entry.index.value && entry.term == progress.acknowledged_term() &&
        entry.index == progress.acknowledged_index())
      base = content.get();
  }
  return base;
}

EntryDeltaSnapshot EntryHistory::delta_for(const ReplicationProgress& progress) {
  const EntryContent* base = base_for(progress);
  const Term base_term = base ? base->entry->term : Term{};
  const Index base_index = base ? base->entry->index : Index{};
  for (const CachedDelta& cached : deltas_)
    if (cached.base_term == base_term && cached.base_index == base_index)
      return cached.delta;
  deltas_.push_back({base_term, base_index, make_delta(*contents_.back(), base)});
  return deltas_.back().delta;
}

}  // namespace saddlewing
