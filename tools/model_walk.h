#pragma once
// A walk of the model: what happens to a simulated site, and when. It can be shrunk, written down
// and run again.
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace saddlewing::model {

using Micros = std::int64_t;  // true time since the walk began

// Faults that the model plants in its own world to see whether its checks find them.
enum class Planted {
  none,
  answer_before_sync,
  vote_forgotten,
  read_without_majority,
  learner_counted_early,
  replacement_in_one_step,
  reply_to_old_incarnation,
  lower_term_obeyed,
  lease_from_arrival,
  snapshot_without_term,
  folder_sync_left_out,
  wiped_under_old_id,
  grant_twice,
  lease_without_settling,
  in_force_uncommitted,
  lead_kept_after_transfer,
  former_lease_not_awaited,
};
inline constexpr int planted_count = 17;
const char* name_of(Planted planted);
bool is_found_by(Planted planted, const std::string& check);
std::optional<Planted> planted_of(const std::string& name);

enum class Act {
  stop,  // kill; what was being saved is kept or lost
  start,
  leave,  // in order, then the process ends
  power,  // all machines lose power; they start again after `value` ms
  freeze,
  thaw,  // the process stands still; what is sent to it waits in its buffers
  cut,
  mend,  // from all others; value: 1 in, 2 out, 3 both
  cut_link,
  mend_link,
  disk,     // value: DiskMode
  wipe,     // stop, and the disk is empty
  remove,   // for good
  replace,  // a new machine at a new address
  storm,
  calm,  // value: messages lost, per thousand
  write,
  read,      // an operator's call; value: version
  revision,  // the leader proposes the next table of leads
  broker_stop,
  broker_start,
  broker_freeze,
  broker_thaw,
};
inline constexpr int act_count = 23;
const char* name_of(Act act);
std::optional<Act> act_of(const std::string& name);

enum class DiskMode {
  well,
  slow,
  stalled,
  failing
};

struct Step {
  Micros at = 0;
  Act act{};
  int node = 0, other = 0;
  std::int64_t value = 0;
  std::uint32_t group = 0;  // steps of one group go together when a walk is shrunk
};

struct Setup {
  std::uint64_t seed = 0;
  int members = 3;  // founders
  int spares = 0;   // machines beyond, which stand by
  int brokers = 0;
  Micros length = 0;  // then all is healed
  Micros catch_up = 10'000'000;
  int loss = 0, doubling = 0, late = 0;  // messages per thousand
  Micros delay = 5'000, jitter = 10'000;
  int drift = 0;           // clocks run apart by up to so many parts in 10,000
  bool is_beyond = false;  // faults beyond the losses allowed: it need not be well after healing,
                           // all else must hold
  Planted planted = Planted::none;
  int can_lose() const {
    return (members - 1) / 2;
  }
};

struct Walk {
  Setup setup;
  std::vector<Step> steps;  // by time
};

struct Violation {
  std::string check, text;
  Micros at = 0;
};

struct Tally {
  std::uint64_t walks = 0, events = 0, calls = 0, terms = 0, commits = 0;
  Micros simulated = 0;
  void add(const Tally& other) {
    walks += other.walks, events += other.events, calls += other.calls, terms += other.terms,
        commits += other.commits;
    simulated += other.simulated;
  }
};

struct Ranges {
  int min_members = 3, max_members = 7, max_brokers = 4;
  int seconds = 60;
  bool is_beyond = false;
  Planted planted = Planted::none;
};

// Within the losses that the settings allow: a machine counts as lost until it is back and had
// catch_up.
Walk draw_walk(std::uint64_t seed, const Ranges& ranges);
std::optional<Violation> run_walk(const Walk& walk, Tally& tally, std::ostream* trace);
// The shortest found that still breaks the same check. `tries` bounds the runs.
Walk shrink_walk(Walk walk, const std::string& check, int tries);
std::string describe(const Step& step);

// Errors as text; empty: well.
std::string write_trace(const std::string& path, const Walk& walk, const Violation& violation);
std::string read_trace(const std::string& path, Walk& walk, Violation& violation);

}  // namespace saddlewing::model
