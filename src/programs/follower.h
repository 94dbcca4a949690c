#pragma once
// The follow thread of a broker: keeps captures of the configuration and of the registry of backends.
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "coordination/registry.h"
#include "protocol/frames.h"
#include "state/configuration.h"
#include "state/startup.h"
#include "transport/link.h"

namespace saddlewing {

// What the traffic thread serves by. Immutable, swapped whole.
struct View {
  ConfigurationCapture configuration;
  std::vector<RosterEntry> backends;  // those that are ready or emptying
  bool is_ready = false;              // once true it stays so for this life
  std::uint64_t brokers = 1;
};
using ViewCapture = std::shared_ptr<const View>;

class Follower {
 public:
  Follower(const Startup& startup, LifeId life, std::function<void(ViewCapture)> show);
  Fault open();
  void start();
  void stop();
  void set_contacts(const std::vector<Address>& contacts) {
    contacts_.push(contacts);
  }

 private:
  struct Source {  // one registry
    std::unique_ptr<Spoke> spoke;
    std::uint64_t life = 0, mark = 0;  // of its roster, as far as taken
    Edition edition;                   // it holds committed
    bool is_confirmed = false, is_filled = false, has_roster = false;
    Moment heard{};
  };
  void run();
  void reach(const std::string& address);
  void take(const std::string& address, const Parcel& parcel, Moment now);
  void take_beat(Source& source, const Beat& beat, Moment now);
  void take_body(Body body, Moment now);
  void take_roster(Source& source, const FrameHead& head, const Roster& roster, Moment now);
  void follow_all(Moment now);
  void follow_one(Source& source, bool wants_body);
  void fetch(Moment now);
  void check_ready(Moment now);
  void publish();
  void answer_traces(Moment now);

  const Startup startup_;
  const LifeId life_;
  const std::string address_;
  std::function<void(ViewCapture)> show_;
  LinkContext context_;
  Hub hub_;
  Waker waker_;
  Ring<std::vector<Address>> contacts_;
  std::map<std::string, Source> sources_;  // by inner address
  std::vector<std::string> seeds_, registries_;
  RosterBook book_;
  ConfigurationCapture configuration_;
  Moment born_, follow_due_{}, fetch_due_{};
  bool is_ready_ = false, has_news_ = false;
  std::uint64_t brokers_ = 1;
  struct Stamped {
    Edition edition;
    const char* what;
    Moment when;
  };
  std::deque<Stamped> steps_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
