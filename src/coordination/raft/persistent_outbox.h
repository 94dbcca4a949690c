#pragma once
// Messages that wait for a save of the persistent state, and the saves themselves.
//
// Raft demands that current_term, voted_for and the log are on stable storage before a message that
// relies on them leaves (Raft paper, figure 2). Every change of the state gets the next serial; a
// durable message waits until the serial of its time is saved. One save runs at a time and covers
// all changes before it. Writes nothing itself: the caller saves and reports the result.
// Owned by RaftNode, used in its thread alone.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/raft_messages.h"
#include "state/types.h"

namespace saddlewing {

// A message and the inner address that it goes to.
struct OutgoingRaftMessage {
  std::string to;
  RaftMessage message;
};

class PersistentOutbox {
 public:
  // Whatever leaves durably from now on waits for a save of the present state.
  void mark_state_changed() {
    ++state_serial_;
  }
  // The same, and the last entry is a new one.
  void mark_entry_changed() {
    entry_serial_ = ++state_serial_;
  }
  // All of the present state is on disk.
  bool is_state_saved() const {
    return saved_serial_ >= state_serial_;
  }
  // The present last entry is on disk.
  bool is_entry_saved() const {
    return saved_serial_ >= entry_serial_;
  }

  // Queues a message; a durable one waits until the present state is saved.
  void push(std::string to, RaftMessage message, bool is_durable);
  // Removes and returns the messages that may leave, in the order in which they came. Drops those
  // that still wait although their term is below `current_term`: nobody believes them any more.
  std::vector<OutgoingRaftMessage> take_sendable(Term current_term);

  // The serial to save the present state under, if there is something to save and no save is
  // running; nothing within 300 ms of a failed save.
  std::optional<std::uint64_t> begin_save(TimePoint now);
  // The result of the save that begin_save() started.
  void finish_save(std::uint64_t serial, bool is_saved, TimePoint now);

  // When the running save began; empty if none is running.
  const std::optional<TimePoint>& save_started() const {
    return save_started_;
  }
  // The running save takes longer than `timeout`.
  bool is_stalled(Duration timeout, TimePoint now) const {
    return save_started_ && now - *save_started_ > timeout;
  }
  // How long the last save took; zero before the first.
  Duration last_save_duration() const {
    return last_save_duration_;
  }
  // The last save failed.
  bool is_save_failing() const {
    return is_save_failing_;
  }

 private:
  friend struct RaftNodeProbe;

  struct PendingMessage {
    std::uint64_t required_serial;  // 0: leaves at once
    OutgoingRaftMessage outgoing;
  };

  // Invariant: saved_serial_ <= state_serial_, entry_serial_ <= state_serial_. What was loaded or
  // founded is saved before anything that relies on it leaves, hence the first serial.
  std::uint64_t state_serial_ = 1;
  std::uint64_t entry_serial_ = 1;
  std::uint64_t saved_serial_ = 0;
  std::optional<TimePoint> save_started_;
  Duration last_save_duration_{0};
  bool is_save_failing_ = false;
  TimePoint save_retry_{};  // no save begins before
  std::vector<PendingMessage> messages_;
};

}  // namespace saddlewing
