#include "coordination/raft/persistent_outbox.h"
#include "protocol/raft_messages.h"

#include <algorithm>
#include <utility>

namespace saddlewing {
namespace {

constexpr Duration save_retry_interval{300};

}  // namespace

void PersistentOutbox::push(std::string to, RaftMessage message, bool is_durable) {
  const std::uint64_t required_serial = is_durable ? state_serial_ : 0;
  messages_.push_back({required_serial, {std::move(to), std::move(message)}});
}

std::vector<OutgoingRaftMessage> PersistentOutbox::take_sendable(Term current_term) {
  std::vector<OutgoingRaftMessage> sendable;
  std::erase_if(messages_, [&](PendingMessage& pending) {
    if (pending.required_serial > saved_serial_)
      return pending.outgoing.message.term < current_term;
    sendable.push_back(std::move(pending.outgoing));
    return true;
  });
  return sendable;
}

std::optional<std::uint64_t> PersistentOutbox::begin_save(TimePoint now) {
  if (is_state_saved() || save_started_ || now < save_retry_)
    return std::nullopt;
  save_started_ = now;
  return state_serial_;
}

void PersistentOutbox::finish_save(std::uint64_t serial, bool is_saved, TimePoint now) {
  if (save_started_)
    last_save_duration_ = elapsed(*save_started_, now);
  save_started_.reset();
  is_save_failing_ = !is_saved;
  if (is_saved)
    saved_serial_ = std::max(saved_serial_, serial);
  else
    save_retry_ = now + save_retry_interval;
}

}  // namespace saddlewing
