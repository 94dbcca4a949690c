#pragma once
// Gathering for another broker: backends near this one are asked once each, and the greatest
// records across their parts go back in one frame. Pure, like an errand.
//
// Nothing is asked twice here: the allowance for further tries stays with the broker that the
// client asked.
#include <vector>

#include "coordination/routing/record_merge.h"
#include "coordination/routing/requester.h"
#include "protocol/gather_messages.h"

namespace saddlewing {

class DelegatedGatherWork final : public Requester {
 public:
  class Ground : public virtual AttemptSender {
   public:
    virtual void send_gather_result(DelegatedGatherWork& work, GatherResult aided,
                                    TimePoint now) = 0;
  };
  struct Candidates {
    std::vector<BackendPointer> backends;
    int max_connections = 1;
  };
  DelegatedGatherWork(Ground& ground, std::uint64_t token, std::vector<Candidates> parts,
                      std::size_t best_count, Duration flush_after, Duration time_left,
                      TimePoint now);

  void start(TimePoint now);
  void on_due(TimePoint now) override;
  void handle_response(std::size_t part, BackendResponse outcome, Duration took,
                       TimePoint now) override;
  void handle_failure(std::size_t part, ErrorCode kind, bool may_have_run, TimePoint now) override;
  TimePoint deadline() const override {
    return deadline_;
  }
  bool is_gathering() const override {
    return true;
  }
  bool is_open() const override {
    return !is_closed_;
  }
  TimePoint next_due() const override {
    return has_flushed_ || !settled_ ? deadline_ : flush_at_;
  }

 private:
  struct Part {
    std::vector<const Backend*> tried;
    bool is_settled = false;
  };
  void ask(std::size_t index, TimePoint now);
  void settle(std::size_t index, TimePoint now);
  void flush(TimePoint now);

  Ground& ground_;
  std::uint64_t token_;
  std::vector<Candidates> candidates_;
  std::vector<Part> parts_;
  std::size_t best_count_, settled_ = 0;
  TimePoint began_, flush_at_, deadline_;
  BestRecords best_;
  GatherResult next_;  // what goes out with the next frame
  bool has_flushed_ =
      false;  // from then on each part goes alone, so that the other side may drop any of them
  bool is_closed_ = false;
};

}  // namespace saddlewing
