#pragma once
// The connections of one pooler to database backends, and who waits for one. Pure.
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "coordination/lane.h"

namespace saddlewing {

// Whoever waits for a connection to one backend.
class LaneSeeker {
 public:
  virtual ~LaneSeeker() = default;
  virtual const Values& wanted_values() const = 0;
  virtual void on_lane(Lane& lane, Moment now) = 0;
  virtual void on_no_lane(Backend& backend, Verdict why,
                          Moment now) = 0;  // no connection could be had
};

// Invariant: to one backend there are never more connections than allowed, and a resting one never
// rests while somebody waits for it.
class Pool final : public Lane::Keeper {
 public:
  struct Ground {
    std::function<std::unique_ptr<LaneLink>(Lane&)> open;  // null: no connection could be begun
    std::function<void(Backend&, const LogPlace&, Moment)> see_place;
    std::function<void(Backend&, bool)> see_answer;
    std::function<Moment()> clock;
    std::function<void(std::unique_ptr<Lane>)> bury;  // freed between rounds
  };
  explicit Pool(Ground ground) : ground_(std::move(ground)) {
  }

  // The seeker is called at once, or later, or never if it stops seeking.
  void seek(LaneSeeker& seeker, const BackendPointer& backend, int most, Moment now);
  void stop_seeking(LaneSeeker& seeker);
  // Closes what rests there; what is at work is closed too, if so wanted.
  void leave(Backend& backend, bool is_at_once);
  std::size_t at_work(const Backend& backend) const;
  void check_late(Span most_greeting, Span most_preparing, Moment now);
  bool is_restless() const;  // something is under way that `check_late` watches
  std::size_t count() const;
  std::size_t waiting() const;

  void on_lane_ready(Lane& lane) override;
  void on_lane_broken(Lane& lane, Verdict why) override;
  void on_place(Backend& backend, const LogPlace& place, Moment asked) override {
    ground_.see_place(backend, place, asked);
  }
  void on_answer(Backend& backend, bool is_fine) override {
    ground_.see_answer(backend, is_fine);
  }

 private:
  struct Row {
    std::vector<std::unique_ptr<Lane>> lanes;  // those used last stand last
    std::deque<LaneSeeker*> seekers;
    int most = 1;
  };
  void open_lane(Row& row, const BackendPointer& backend, Moment now);
  Ground ground_;
  std::unordered_map<const Backend*, Row> rows_;
};

}  // namespace saddlewing
