#pragma once
// What is known of each database's log: at some moment its leader's log had reached some place. A
// read that may be a little old goes to a copy whose log holds a place the leader had reached
// within that time.
#include <deque>
#include <map>
#include <string>

#include "protocol/database_protocol.h"
#include "state/bytes.h"
#include "state/types.h"

namespace saddlewing {

class LogPositionSamples {
 public:
  // `asked`: before the leader answered, so that everything acknowledged by then is in the place.
  void record(const std::string& service, std::uint64_t number, const LogPosition& position,
              TimePoint asked) {
    Row& row = rows_[service];
    if (number < row.number)
      return;  // of an earlier lead
    if (number > row.number)
      row = {number, {}};
    if (!row.seen.empty() && asked <= row.seen.back().asked) {
      if (asked + min_step < row.seen.back().asked)
        return;
    } else if (!row.seen.empty() && asked - row.seen.back().asked < min_step) {
      return;  // near enough to the last
    }
    if (row.seen.empty() || asked > row.seen.back().asked)
      row.seen.push_back({position, asked});
    while (row.seen.size() > limit)
      row.seen.pop_front();
  }
  // The easiest place that holds everything acknowledged before `since`; unknown if there is none.
  LogPosition find(const std::string& service, std::uint64_t number, TimePoint since) const {
    const auto found = rows_.find(service);
    if (found == rows_.end() || found->second.number != number)
      return {};
    for (const Sample& sample : found->second.seen)
      if (sample.asked >= since)
        return sample.position;
    return {};
  }
  // The newest of each, younger than `oldest`: as a frame carries them, with ages instead of
  // moments.
  std::string encode(TimePoint now, Duration oldest) const {
    Writer writer;
    for (const auto& [service, row] : rows_) {
      if (row.seen.empty() || now - row.seen.back().asked > oldest)
        continue;
      const Sample& last = row.seen.back();
      writer.text(service)
          .number(row.number)
          .number(last.position.term)
          .number(last.position.number);
      writer.number(
          static_cast<std::uint64_t>(std::chrono::ceil<Duration>(now - last.asked).count()));
    }
    return writer.take();
  }
  // `built`: a moment not after the one at which the ages were counted.
  bool merge(const std::string& bytes, TimePoint built) {
    ByteReader reader(bytes);
    while (reader.is_good() && !reader.is_complete()) {
      const std::string service = reader.text();
      const std::uint64_t number = reader.number();
      LogPosition position;
      position.term = reader.number();
      position.number = reader.number();
      const std::uint64_t age = reader.number();
      if (reader.is_good() && age < 60000)
        record(service, number, position, built - Duration(static_cast<std::int64_t>(age) + 1));
    }
    return reader.is_good();
  }

 private:
  static constexpr std::size_t limit = 16;
  static constexpr Duration min_step{100};
  struct Sample {
    LogPosition position;
    TimePoint asked;
  };
  struct Row {
    std::uint64_t number = 0;  // of the lead's changes: places of different leads are not compared
    std::deque<Sample> seen;   // by rising moment
  };
  std::map<std::string, Row> rows_;
};

}  // namespace saddlewing
