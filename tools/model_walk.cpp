// Draws walks within the losses allowed, and shrinks those that fail.
#include "model_walk.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace saddlewing::model {

namespace {

constexpr const char* planted_names[] = {"none",
                                         "answer-before-sync",
                                         "vote-forgotten",
                                         "read-without-majority",
                                         "learner-counted-early",
                                         "replacement-in-one-step",
                                         "answer-of-old-life",
                                         "lower-term-obeyed",
                                         "lease-from-arrival",
                                         "snapshot-without-term",
                                         "folder-sync-left-out",
                                         "wiped-under-old-id",
                                         "grant-twice",
                                         "lease-without-settling",
                                         "in-force-uncommitted",
                                         "lead-kept-after-transfer",
                                         "former-lease-not-awaited"};
constexpr const char* act_names[] = {
    "stop",   "start",       "leave",        "power",         "freeze",     "thaw",
    "cut",    "mend",        "cut-link",     "mend-link",     "disk",       "wipe",
    "remove", "replace",     "storm",        "calm",          "write",      "read",
    "mark",   "broker-stop", "broker-start", "broker-freeze", "broker-thaw"};
// By which check each must be found: one that only the core's standing still tells of is not found
// by its harm.
constexpr const char* planted_checks[] = {"",
                                          "committed stays|acknowledged stays",
                                          "one leader a term|committed stays",
                                          "linearizable",
                                          "committed stays|acknowledged stays",
                                          "majorities meet",
                                          "linearizable|acknowledged is committed",
                                          "one leader a term|committed stays",
                                          "leases never overlap|grants within the whole",
                                          "committed stays|acknowledged stays",
                                          "committed stays|acknowledged stays",
                                          "one leader a term|committed stays|acknowledged stays",
                                          "grants within the whole",
                                          "leases never overlap",
                                          "in force is committed",
                                          "one leader under a lease",
                                          "one leader under a lease"};
static_assert(std::size(planted_checks) == planted_count &&
              std::size(planted_names) == planted_count && std::size(act_names) == act_count);

template <class Enum, std::size_t size>
std::optional<Enum> find_name(const char* const (&names)[size], const std::string& name) {
  const auto position = std::find(std::begin(names), std::end(names), name);
  if (position == std::end(names))
    return std::nullopt;
  return static_cast<Enum>(position - std::begin(names));
}

class Drawer {
 public:
  Drawer(std::uint64_t seed, const Ranges& ranges) : random_(seed), ranges_(ranges) {
    walk_.setup.seed = seed;
  }
  Walk draw() {
    Setup& setup = walk_.setup;
    setup.members = static_cast<int>(between(ranges_.min_members, ranges_.max_members));
    setup.spares = static_cast<int>(between(0, 1));
    setup.brokers = static_cast<int>(between(0, ranges_.max_brokers));
    setup.length = ranges_.seconds * 1'000'000ll;
    setup.catch_up = between(4, 8) * 1'000'000;
    setup.loss = static_cast<int>(chance(2) ? between(0, 30) : 0);
    setup.doubling = static_cast<int>(chance(2) ? between(0, 30) : 0);
    setup.late = static_cast<int>(chance(2) ? between(0, 10) : 0);
    setup.delay = between(200, 20'000);
    setup.jitter = between(100, 30'000);
    is_slow_ = chance(4);
    if (is_slow_)
      setup.delay = between(5'000, 150'000),
      setup.jitter = between(50'000, 600'000);  // votes cross each other
    setup.drift = static_cast<int>(chance(2) ? between(0, 10) : 0);
    setup.is_beyond = ranges_.is_beyond;
    setup.planted = ranges_.planted;
    for (int number = 1; number <= setup.members + setup.spares; ++number)
      machines_.insert(number);
    next_machine_ = setup.members + setup.spares + 1;
    // Faults come close upon each other in some walks and far apart in others.
    const Micros pause = between(100, 4'000) * 1'000;
    for (Micros at = between(1, 4) * 1'000'000; at < setup.length - 1'000'000;
         at += between(0, pause))
      draw_fault(at);
    draw_calls();
    std::stable_sort(walk_.steps.begin(), walk_.steps.end(),
                     [](const Step& left, const Step& right) { return left.at < right.at; });
    return std::move(walk_);
  }

 private:
  std::int64_t between(std::int64_t minimum, std::int64_t limit) {
    return std::uniform_int_distribution<std::int64_t>(minimum, limit)(random_);
  }
  bool chance(int of) {
    return between(1, of) == 1;
  }
  int any_machine() {
    auto position = machines_.begin();
    std::advance(position, between(0, static_cast<std::int64_t>(machines_.size()) - 1));
    return *position;
  }
  // What would come after the healing comes just before it.
  void add(Micros at, Act act, int node, std::int64_t value = 0, int other = 0) {
    walk_.steps.push_back({std::min(at, walk_.setup.length - 1), act, node, other, value, group_});
  }
  // Whether one more machine may be lost now.
  bool may_lose(int machine, Micros at) {
    std::erase_if(lost_, [&](const auto& item) { return item.second <= at; });
    return at >= storm_until_ && at >= power_until_ && !lost_.contains(machine) &&
           static_cast<int>(lost_.size()) <
               (walk_.setup.is_beyond ? walk_.setup.members : walk_.setup.can_lose());
  }
  Micros catch_up() const {
    return walk_.setup.is_beyond ? 0 : walk_.setup.catch_up;
  }
  void lose(int machine, Micros until) {
    lost_[machine] = until + catch_up();
  }

  // The leader loses touch with one voter, and about when that one campaigns the others restart:
  // what they promised the leader is forgotten.
  void draw_forgetful_voters(Micros at) {
    const int cut_off = any_machine();
    const Micros restart_at = at + between(600, 1'800) * 1'000;
    add(at, Act::cut_link, 0, 3, cut_off);
    for (const int machine : machines_)
      if (machine != cut_off && chance(2)) {
        add(restart_at, Act::stop, machine);
        add(restart_at + between(1, 30) * 1'000, Act::start, machine);
      }
    add(restart_at + 2'000'000, Act::mend_link, 0, 0, cut_off);
  }

  void draw_fault(Micros at) {
    ++group_;
    if (walk_.setup.is_beyond && chance(20))
      return draw_forgetful_voters(at);
    int kind = static_cast<int>(between(0, 15));
    // Over so slow a network nobody can be replaced within catch_up, so nobody goes for good.
    if (is_slow_ && !walk_.setup.is_beyond && (kind == 5 || kind == 11 || kind == 12))
      kind = 15;
    const bool has_place = kind == 5 || kind == 11 || kind == 12;
    const int machine = has_place || chance(2) ? any_machine() : 0;  // 0: the leader of the moment
    const Micros span = chance(4)   ? between(2, 60) * 1'000
                        : chance(4) ? between(50, 400) * 1'000
                        : chance(2) ? between(600, 2'500) * 1'000
                                    : between(200, 12'000) * 1'000;
    const Micros end = at + span;
    if (kind == 0)
      return draw_power(at);
    if (kind == 1) {
      std::erase_if(lost_, [&](const auto& item) { return item.second <= at; });
      if (!lost_.empty() || at < storm_until_ || at < power_until_)
        return;
      storm_until_ = std::min(end, at + 6'000'000) + catch_up();
      add(at, Act::storm, 0, between(50, 700));
      return add(storm_until_ - catch_up(), Act::calm, 0);
    }
    if (kind == 2 && walk_.setup.brokers)
      return add(at, Act::revision, machine);
    if ((kind == 3 || kind == 4) && walk_.setup.brokers) {
      const int broker = static_cast<int>(between(0, walk_.setup.brokers - 1));
      add(at, kind == 3 ? Act::broker_stop : Act::broker_freeze, broker);
      return add(end, kind == 3 ? Act::broker_start : Act::broker_thaw, broker);
    }
    if (!may_lose(machine, at))
      return;
    lose(machine, end);
    switch (kind) {
      case 5:
        add(at, Act::leave, machine), add(at + 3'000'000, Act::stop, machine),
            add(at + 3'000'000 + span, Act::start, machine), lose(machine, at + 3'000'000 + span);
        break;
      case 6:
        add(at, Act::freeze, machine), add(end, Act::thaw, machine);
        break;
      case 7:
        add(at, Act::cut, machine, between(1, 3)), add(end, Act::mend, machine);
        break;
      case 8: {
        const int other = any_machine();
        add(at, Act::cut_link, machine, between(1, 3), other),
            add(end, Act::mend_link, machine, 0, other);
        break;
      }
      case 9:
      case 10:
        add(at, Act::disk, machine, between(1, 3)), add(end, Act::disk, machine, 0);
        break;
      case 11:
        add(at, Act::wipe, machine), add(end, Act::start, machine);
        break;
      case 12:
        add(at, chance(2) ? Act::remove : Act::leave, machine);
        if (walk_.steps.back().act == Act::leave)
          add(at + 3'000'000, Act::remove, machine), lose(machine, std::max(end, at + 3'000'000));
        add(end, Act::replace, next_machine_);
        machines_.erase(machine);
        machines_.insert(next_machine_++);
        lost_[next_machine_ - 1] = lost_[machine];  // the successor counts in its stead
        lost_.erase(machine);
        break;
      case 13: {  // it comes up and fails again, in the midst of whatever it answered
        Micros last = at;
        for (std::int64_t again = between(2, 8); again; --again) {
          const Micros pause = between(2, 30) * 1'000;
          add(last, Act::stop, machine), add(last + pause, Act::start, machine);
          last += pause + between(10, 400) * 1'000;
        }
        lose(machine, last);
        break;
      }
      default:
        add(at, Act::stop, machine), add(end, Act::start, machine);
        break;
    }
  }

  // All at once, at times while as many as may be lost lose their disks too. Then all are lost
  // until they had catch_up.
  void draw_power(Micros at) {
    if (at < power_until_)
      return;
    const std::int64_t down = between(10, 2'000);
    while ((!is_slow_ || walk_.setup.is_beyond) && chance(2)) {
      const int machine = any_machine();
      if (!may_lose(machine, at))
        break;
      lose(machine, at);
      add(at, Act::wipe, machine);
      add(at + down * 1'000, Act::start, machine);
    }
    add(at, Act::power, 0, down);
    Micros last = at + down * 1'000;
    for (int again = chance(3) ? static_cast<int>(between(1, 8)) : 0; again;
         --again) {  // and again, when they have hardly begun
      const std::int64_t pause = between(5, 900);
      add(last += pause * 1'000, Act::power, 0, pause);
    }
    power_until_ = last + 2'000'000 + catch_up();
    for (auto& [machine, until] : lost_)
      until = std::max(until, power_until_);
  }

  void draw_calls() {
    std::int64_t version = 0;
    const Micros pause = between(20, 2'000) * 1'000;
    for (Micros at = 500'000; at < walk_.setup.length; at += between(0, pause * 2)) {
      ++group_;
      const int node = chance(3) ? 0 : static_cast<int>(between(1, next_machine_ - 1));
      if (chance(2))
        add(at, Act::read, node);
      else
        add(at, Act::write, node,
            chance(8) ? std::max<std::int64_t>(1, version - between(0, 2))
                      : version += between(1, 3));
    }
  }

  std::mt19937_64 random_;
  const Ranges& ranges_;
  Walk walk_;
  std::set<int> machines_;
  std::map<int, Micros> lost_;  // until when each counts as lost
  Micros storm_until_ = 0, power_until_ = 0;
  int next_machine_ = 0;
  bool is_slow_ = false;
  std::uint32_t group_ = 0;
};

bool is_broken(const Walk& walk, const std::string& check) {
  Tally tally;
  const auto found = run_walk(walk, tally, nullptr);
  return found && found->check == check;
}

}  // namespace

const char* name_of(Planted planted) {
  return planted_names[static_cast<int>(planted)];
}
bool is_found_by(Planted planted, const std::string& check) {
  return ("|" + std::string(planted_checks[static_cast<int>(planted)]) + "|")
             .find("|" + check + "|") != std::string::npos;
}
std::optional<Planted> planted_of(const std::string& name) {
  return find_name<Planted>(planted_names, name);
}
const char* name_of(Act act) {
  return act_names[static_cast<int>(act)];
}
std::optional<Act> act_of(const std::string& name) {
  return find_name<Act>(act_names, name);
}

std::string describe(const Step& step) {
  std::string text = name_of(step.act);
  text +=
      step.node || step.act >= Act::broker_stop ? " " + std::to_string(step.node) : " the leader";
  if (step.other)
    text += " and " + std::to_string(step.other);
  if (step.value)
    text += ", " + std::to_string(step.value);
  return text;
}

Walk draw_walk(std::uint64_t seed, const Ranges& ranges) {
  return Drawer(seed, ranges).draw();
}

Walk shrink_walk(Walk walk, const std::string& check, int tries) {
  const auto attempt = [&](Walk smaller) {
    if (tries-- <= 0 || !is_broken(smaller, check))
      return false;
    walk = std::move(smaller);
    return true;
  };
  {
    Tally tally;  // what came after the failure has no part in it
    const auto found = run_walk(walk, tally, nullptr);
    if (!found)
      return walk;
    Walk smaller = walk;
    std::erase_if(smaller.steps, [&](const Step& step) { return step.at > found->at; });
    attempt(std::move(smaller));
  }
  for (int Setup::*part : {&Setup::brokers, &Setup::spares, &Setup::late, &Setup::doubling,
                           &Setup::loss, &Setup::drift}) {
    Walk smaller = walk;
    if (std::exchange(smaller.setup.*part, 0))
      attempt(std::move(smaller));
  }
  // Ever smaller runs of groups are left out, until no single one can be.
  std::set<std::uint32_t> all;
  for (const Step& step : walk.steps)
    all.insert(step.group);
  for (std::size_t size = std::max<std::size_t>(1, all.size() / 2); tries > 0;) {
    bool was_shrunk = false;
    std::vector<std::uint32_t> groups(all.begin(), all.end());
    for (std::size_t first = 0; first < groups.size() && tries > 0; first += size) {
      const std::set<std::uint32_t> without(
          groups.begin() + static_cast<std::ptrdiff_t>(first),
          groups.begin() + static_cast<std::ptrdiff_t>(std::min(groups.size(), first + size)));
      Walk smaller = walk;
      std::erase_if(smaller.steps, [&](const Step& step) { return without.contains(step.group); });
      if (!attempt(std::move(smaller)))
        continue;
      for (const std::uint32_t group : without)
        all.erase(group);
      was_shrunk = true;
    }
    if (size > 1)
      size /= 2;
    else if (!was_shrunk)
      break;
  }
  if (!walk.steps.empty()) {
    Walk smaller = walk;
    smaller.setup.length = std::min(smaller.setup.length, smaller.steps.back().at + 1'000'000);
    attempt(std::move(smaller));
  }
  return walk;
}

}  // namespace saddlewing::model
