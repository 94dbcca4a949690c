#include "coordination/pool.h"

#include <algorithm>

namespace saddlewing {

void Pool::seek(LaneSeeker& seeker, const BackendPointer& backend, int most, Moment now) {
  Row& row = rows_[backend.get()];
  row.most = std::max(1, most);
  Lane* best = nullptr;
  int least = 0;
  for (auto place = row.lanes.rbegin(); place != row.lanes.rend(); ++place) {
    Lane& lane = **place;
    if (lane.state() != Lane::State::resting)
      continue;
    const int distance = lane.distance(seeker.wanted_values());
    if (!best || distance < least)
      best = &lane, least = distance;
  }
  if (best)
    return seeker.on_lane(*best, now);
  row.seekers.push_back(&seeker);
  const auto greeting = std::count_if(row.lanes.begin(), row.lanes.end(), [](const auto& lane) {
    return lane->state() == Lane::State::greeting;
  });
  if (static_cast<int>(row.lanes.size()) < row.most &&
      static_cast<std::size_t>(greeting) < row.seekers.size())
    open_lane(row, backend, now);
}

void Pool::open_lane(Row& row, const BackendPointer& backend, Moment now) {
  auto fresh = std::make_unique<Lane>(*this, backend);
  Lane& lane = *fresh;
  row.lanes.push_back(std::move(fresh));
  auto link = ground_.open(lane);
  if (!link)
    return lane.take_end();
  lane.open(std::move(link), now);
}

void Pool::stop_seeking(LaneSeeker& seeker) {
  for (auto& [backend, row] : rows_)
    std::erase(row.seekers, &seeker);
}

void Pool::on_lane_ready(Lane& lane) {
  const auto found = rows_.find(&lane.backend());
  if (found == rows_.end())
    return;
  Row& row = found->second;
  const auto place = std::find_if(row.lanes.begin(), row.lanes.end(),
                                  [&](const auto& kept) { return kept.get() == &lane; });
  if (place != row.lanes.end())
    std::rotate(place, place + 1, row.lanes.end());
  if (row.seekers.empty()) {
    if (lane.backend().is_cancelled)
      lane.close();
    return;
  }
  LaneSeeker* next = row.seekers.front();
  row.seekers.pop_front();
  next->on_lane(lane, ground_.clock());
}

void Pool::on_lane_broken(Lane& lane, Verdict why) {
  const auto found = rows_.find(&lane.backend());
  if (found == rows_.end())
    return;
  Row& row = found->second;
  const auto place = std::find_if(row.lanes.begin(), row.lanes.end(),
                                  [&](const auto& kept) { return kept.get() == &lane; });
  if (place == row.lanes.end())
    return;
  ground_.bury(std::move(*place));
  row.lanes.erase(place);
  if (why != Verdict::none && why != Verdict::full)
    ground_.see_answer(lane.backend(), false);
  if (row.seekers.empty())
    return;
  // Others at work there will come free; with none left, nobody waits for what is not to be had.
  const bool has_others = std::any_of(row.lanes.begin(), row.lanes.end(), [](const auto& kept) {
    return kept->state() != Lane::State::broken;
  });
  if (has_others && (why == Verdict::full || why == Verdict::none))
    return;
  const Moment now = ground_.clock();
  std::deque<LaneSeeker*> seekers;
  seekers.swap(row.seekers);
  Backend& backend = lane.backend();
  for (LaneSeeker* seeker : seekers)
    seeker->on_no_lane(backend, why, now);
}

void Pool::leave(Backend& backend, bool is_at_once) {
  const auto found = rows_.find(&backend);
  if (found == rows_.end())
    return;
  std::vector<Lane*> ending;
  for (const auto& lane : found->second.lanes)
    if (is_at_once || lane->state() == Lane::State::resting)
      ending.push_back(lane.get());
  for (Lane* lane : ending) {
    if (lane->user())
      lane->take_end();
    else
      lane->close();
  }
}

std::size_t Pool::at_work(const Backend& backend) const {
  const auto found = rows_.find(&backend);
  if (found == rows_.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.lanes.begin(), found->second.lanes.end(),
                    [](const auto& lane) { return lane->user() != nullptr; }));
}

void Pool::check_late(Span most_greeting, Span most_preparing, Moment now) {
  std::vector<Lane*> late;
  for (const auto& [backend, row] : rows_)
    for (const auto& lane : row.lanes) {
      const bool is_late =
          (lane->state() == Lane::State::greeting && now - lane->since() > most_greeting) ||
          ((lane->state() == Lane::State::preparing || lane->state() == Lane::State::ending) &&
           now - lane->since() > most_preparing);
      if (is_late)
        late.push_back(lane.get());
    }
  for (Lane* lane : late)
    lane->answer_is_late();
}

bool Pool::is_restless() const {
  for (const auto& [backend, row] : rows_)
    for (const auto& lane : row.lanes)
      if (lane->state() == Lane::State::greeting || lane->state() == Lane::State::preparing ||
          lane->state() == Lane::State::ending)
        return true;
  return false;
}

std::size_t Pool::count() const {
  std::size_t count = 0;
  for (const auto& [backend, row] : rows_)
    count += row.lanes.size();
  return count;
}

std::size_t Pool::waiting() const {
  std::size_t count = 0;
  for (const auto& [backend, row] : rows_)
    count += row.seekers.size();
  return count;
}

}  // namespace saddlewing
