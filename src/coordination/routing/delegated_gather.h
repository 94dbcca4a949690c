#pragma once
// A gather on behalf of another broker: backends near this one get one attempt each, and the
// greatest records across their parts go back in one frame, or in few.
//
// Pure: outcomes and the time come in, attempts and frames go out by its callbacks. It retries
// nothing that may have run: the retry budget stays with the broker that the client called. Not
// thread-safe: it belongs to one broker's event loop.
#include <cstdint>
#include <vector>

#include "coordination/routing/record_merge.h"
#include "coordination/routing/requester.h"
#include "protocol/gather_messages.h"

namespace saddlewing {

// The part numbers are those of the calling broker's list, in its order.
class DelegatedGatherWork final : public Requester {
 public:
  // What the gather needs of its broker. The callbacks must not delete the gather.
  class Callbacks : public virtual AttemptSender {
   public:
    // Sends a frame to the calling broker. The last one has been sent once is_open() is false.
    virtual void send_gather_result(DelegatedGatherWork& work, GatherResult result,
                                    TimePoint now) = 0;
  };

  // The backends that may serve one part.
  struct Candidates {
    std::vector<BackendPointer> backends;
    int max_connections = 1;  // allowed to one backend, of all brokers together
  };

  // `callbacks`: must outlive the gather. `token`: by which the calling broker knows it.
  // `best_count`: how many records a frame holds at most. `flush_after`: when the first frame goes
  // out at the latest if any part is in, in milliseconds from `now`. `time_left`: until its
  // deadline, in milliseconds from `now`.
  DelegatedGatherWork(Callbacks& callbacks, std::uint64_t token, std::vector<Candidates> parts,
                      std::size_t best_count, Duration flush_after, Duration time_left,
                      TimePoint now);

  // Sends the first attempts. To be called once.
  void start(TimePoint now);

  void on_due(TimePoint now) override;
  void handle_response(std::size_t index, BackendResponse response, Duration took,
                       TimePoint now) override;
  void handle_failure(std::size_t index, ErrorCode kind, bool may_have_run, TimePoint now) override;
  TimePoint deadline() const override {
    return deadline_;
  }
  bool is_gathering() const override {
    return true;
  }
  bool is_open() const override {
    return !is_closed_;
  }
  // The calling broker's client left.
  void abandon() override {
    is_closed_ = true;
  }
  bool is_repeatable() const override {
    return true;
  }
  TimePoint next_due() const override {
    return has_flushed_ || !finished_parts_ ? deadline_ : flush_at_;
  }

 private:
  struct Part {
    std::vector<const Backend*> tried;  // in the order of the attempts
    bool is_finished = false;           // its outcome has gone out or is in pending_result_
  };
  // Sends the part's attempt to a backend not tried yet, or fails the part if there is none.
  void start_attempt(std::size_t index, TimePoint now);
  // The part's outcome is in pending_result_: sends the frame if it is due.
  void finish_part(std::size_t index, TimePoint now);
  void fail_part(std::size_t index, ErrorCode kind, bool may_have_run, TimePoint now);
  // Sends what has come since the last frame.
  void flush(TimePoint now);

  Callbacks& callbacks_;
  std::uint64_t token_;
  std::vector<Candidates> candidates_;  // by part
  std::vector<Part> parts_;
  std::size_t best_count_;
  std::size_t finished_parts_ = 0;
  TimePoint began_;
  TimePoint flush_at_;  // of the first frame, once a part is in
  TimePoint deadline_;
  TopRecords top_records_;       // since the last frame
  GatherResult pending_result_;  // what goes out with the next frame
  // Whether the first frame went out. From then on each part goes alone, so that the calling
  // broker may drop any of them.
  bool has_flushed_ = false;
  bool is_closed_ = false;
};

}  // namespace saddlewing
