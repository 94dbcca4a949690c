#pragma once
// Gathering for another broker: backends near this one are asked once each, and the greatest
// records across their parts go back in one frame. Pure, like an errand.
//
// Nothing is asked twice here: the allowance for further tries stays with the broker that the
// client asked.
#include <vector>

#include "coordination/asker.h"
#include "coordination/merge.h"
#include "protocol/frames.h"

namespace saddlewing {

class AidWork final : public Asker {
 public:
  class Ground : public virtual AskGround {
   public:
    virtual void send_aided(AidWork& work, Aided aided, Moment now) = 0;
  };
  struct Candidates {
    std::vector<BackendPointer> backends;
    int most_connections = 1;
  };
  AidWork(Ground& ground, std::uint64_t token, std::vector<Candidates> parts,
          std::size_t best_count, Span flush_after, Span time_left, Moment now);

  void start(Moment now);
  void on_due(Moment now) override;
  void take_outcome(std::size_t part, BackendOutcome outcome, Span took, Moment now) override;
  void take_breakdown(std::size_t part, Kind kind, bool may_have_run, Moment now) override;
  Moment deadline() const override {
    return deadline_;
  }
  bool is_gathering() const override {
    return true;
  }
  bool is_open() const override {
    return !is_closed_;
  }
  Moment next_due() const override {
    return has_flushed_ || !settled_ ? deadline_ : flush_at_;
  }

 private:
  struct Part {
    std::vector<const Backend*> tried;
    bool is_settled = false;
  };
  void ask(std::size_t index, Moment now);
  void settle(std::size_t index, Moment now);
  void flush(Moment now);

  Ground& ground_;
  std::uint64_t token_;
  std::vector<Candidates> candidates_;
  std::vector<Part> parts_;
  std::size_t best_count_, settled_ = 0;
  Moment began_, flush_at_, deadline_;
  BestRecords best_;
  Aided next_;  // what goes out with the next frame
  bool has_flushed_ =
      false;  // from then on each part goes alone, so that the other side may drop any of them
  bool is_closed_ = false;
};

}  // namespace saddlewing
