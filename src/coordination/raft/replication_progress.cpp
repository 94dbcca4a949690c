#include "coordination/raft/replication_progress.h"
#include "protocol/raft_messages.h"

#include <tuple>
#include <utility>

namespace saddlewing {
namespace {

constexpr std::size_t min_window_bytes = chunk_bytes;
constexpr std::size_t max_window_bytes = 64 * chunk_bytes;
constexpr int stalled_heartbeats = 3;

}  // namespace

bool ReplicationProgress::has_acknowledged_entry(Term term, Index index) const {
  return has_acknowledged_ &&
         std::pair(acknowledged_term_, acknowledged_index_) >= std::pair(term, index);
}

void ReplicationProgress::start_delta(EntryDeltaSnapshot delta) {
  delta_ = std::move(delta);
  sent_bytes_ = 0;
  acknowledged_bytes_ = 0;
  reported_bytes_ = 0;
}

void ReplicationProgress::resend_if_stalled(Duration heartbeat_interval, TimePoint now) {
  if (now - last_chunk_sent_ <= heartbeat_interval * stalled_heartbeats)
    return;
  sent_bytes_ = acknowledged_bytes_ = reported_bytes_;
  window_bytes_ = std::max(min_window_bytes, window_bytes_ / 2);
}

bool ReplicationProgress::has_chunk_to_send() const {
  return delta_ && sent_bytes_ < delta_->bytes.size() &&
         sent_bytes_ - acknowledged_bytes_ < window_bytes_;
}

EntryChunk ReplicationProgress::take_chunk(TimePoint now) {
  EntryChunk chunk = delta_->chunk(sent_bytes_);
  sent_bytes_ += chunk.bytes.size();
  last_chunk_sent_ = now;
  return chunk;
}

void ReplicationProgress::handle_reply(const RaftMessage& message, Term current_term,
                                       Duration heartbeat_interval, TimePoint now) {
  update_acknowledged_entry(message);
  if (message.is_granted && message.last_log_term == current_term)
    match_index = std::max(match_index, message.last_log_index);
  update_window(message, heartbeat_interval, now);
}

void ReplicationProgress::update_acknowledged_entry(const RaftMessage& message) {
  const auto acknowledged = std::pair(acknowledged_term_, acknowledged_index_);
  const auto named = std::pair(message.last_log_term, message.last_log_index);
  // What it held and had not synced is lost when its process ends: the reply to a newer heartbeat
  // may name an older entry.
  const bool is_newest = message.heartbeat_round > acknowledged_round_;
  acknowledged_round_ = std::max(acknowledged_round_, message.heartbeat_round);
  if (message.wants_full_entry) {
    // It does not hold the base, or holds another content under the base's name.
    should_send_full_entry_ = has_acknowledged_ && named == acknowledged;
    delta_ = nullptr;
    std::tie(acknowledged_term_, acknowledged_index_) = named;
  } else if (!has_acknowledged_ || is_newest || named > acknowledged) {
    std::tie(acknowledged_term_, acknowledged_index_) = named;
    should_send_full_entry_ = false;
  }
  has_acknowledged_ = true;
}

void ReplicationProgress::update_window(const RaftMessage& message, Duration heartbeat_interval,
                                        TimePoint now) {
  const bool is_of_delta = delta_ && message.chunk_entry_index == delta_->header.index;
  reported_bytes_ = is_of_delta ? std::min(message.chunk_end_offset, sent_bytes_) : 0;
  if (!is_of_delta || message.chunk_end_offset <= acknowledged_bytes_ ||
      message.chunk_end_offset > sent_bytes_)
    return;
  acknowledged_bytes_ = message.chunk_end_offset;
  // A link that replies within a heartbeat may hold more; heartbeats must not wait behind it.
  if (now - last_chunk_sent_ < heartbeat_interval)
    window_bytes_ = std::min(max_window_bytes, window_bytes_ + chunk_bytes);
  else
    window_bytes_ = std::max(min_window_bytes, window_bytes_ / 2);
}

}  // namespace saddlewing
