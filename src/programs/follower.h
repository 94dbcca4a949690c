#pragma once
// The follow thread of a broker: keeps snapshots of the configuration and of the registry of
// backends.
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "coordination/edges.h"
#include "coordination/feed.h"
#include "coordination/grants.h"
#include "coordination/registry.h"
#include "coordination/ring_gate.h"
#include "coordination/rollout.h"
#include "protocol/steps.h"
#include "state/configuration.h"
#include "state/leads.h"
#include "state/startup.h"
#include "transport/link.h"

namespace saddlewing {

// What the traffic thread serves by. Immutable, swapped whole.
struct View {
  ConfigurationSnapshot configuration;
  std::vector<RosterEntry> backends;  // those that are ready or emptying
  bool is_ready = false;              // once true it stays so for this life
  std::uint64_t brokers = 1;
  std::vector<BrokerSeat> seats;  // ready brokers of other regions
  Reserve reserve;
};
using ViewSnapshot = std::shared_ptr<const View>;

// The leads a pooler may act by, and until when.
struct HoldNews {
  std::shared_ptr<const LeadTable> leads;  // null: as before
  Moment until{};
};
// What a pooler saw of its leads, a bit for each lead of the table of this mark.
struct Evidence {
  std::uint64_t mark = 0;
  std::string failing, fine;
  std::string samples;  // with ages as of `built`
  Moment built{};
};
struct SampleNews {
  std::string samples;
  Moment built{};  // not after the ages were counted
};

// The ring a broker may act by, and until when.
struct RingNews {
  RingSnapshot view;  // null: as before
  Moment until{};
};
// What a broker sent by the ring since it last told.
struct RingCounts {
  std::vector<std::pair<VirtualNode, RingLoad>> loads;
  std::vector<std::pair<std::string, RingLoad>> accounts;
  std::uint64_t lookups = 0, late = 0;
};

// The view of edges, as a registry told it.
struct EdgeNews {
  EdgeSnapshot view;  // null: as before
  std::uint64_t in_force = 0;
};

// Frames between brokers, handed over by the traffic thread.
struct AidOut {
  std::string to;           // inner address for an aid, route for its outcome
  std::uint64_t token = 0;  // of an aid; 0 with an outcome
  std::string bytes;
};
// And handed to it.
struct AidIn {
  std::string route;  // whom to answer
  Aid aid;
};
struct AidedIn {
  Aided aided;
};
struct AidLost {  // it did not leave
  std::uint64_t token = 0;
};
using AidEvent = std::variant<AidIn, AidedIn, AidLost>;

class Follower {
 public:
  Follower(const Startup& startup, LifeId life, std::function<void(ViewSnapshot)> show,
           std::function<void(AidEvent)> tell);
  Fault open();
  void start();
  void stop();
  bool send(AidOut out) {
    return outs_.push(std::move(out));
  }
  void set_leaving() {
    is_leaving_ = true;
  }
  // Of a pooler: who is told of leads and samples; the follower tells the registries what was done
  // by then.
  void set_pooler(std::function<void(HoldNews)> hold, std::function<void(SampleNews)> sample) {
    hold_ = std::move(hold);
    sample_ = std::move(sample);
  }
  void confirm_leads(std::uint64_t mark) {  // nothing is done by an earlier table any more
    confirmed_mark_ = mark;
    waker_.wake();
  }
  // Of a broker: who is told of the ring.
  void set_ring(std::function<void(RingNews)> ring) {
    ring_ = std::move(ring);
  }
  void confirm_ring(std::uint64_t mark) {
    if (ring_confirmed_.exchange(mark) != mark)
      waker_.wake();
  }
  void set_edges(std::function<void(EdgeNews)> edges) {
    edges_ = std::move(edges);
  }
  void report_edges(std::string counts) {
    edge_counts_.push(std::move(counts));
  }
  void report_ring(RingCounts counts) {
    ring_counts_.push(std::move(counts));
  }
  void report(Evidence evidence) {
    evidence_.push(std::move(evidence));
  }
  void set_contacts(const std::vector<Address>& contacts) {
    contacts_.replace(contacts);
  }

 private:
  struct Line {  // to one registry; what it told of itself is the feed's
    std::unique_ptr<Spoke> spoke;
    std::uint64_t life = 0, mark = 0;  // of its roster, as far as taken
    LifeId beat_life;                  // of its last beat
    std::uint64_t serial = 0;
    Moment beaten{};  // when that came
  };
  void run();
  void reach_all();
  void follow_leader();
  void take(const Parcel& parcel, Moment now);
  void take_beat(const FrameHead& head, Line& line, Beat& beat, Moment now);
  void take_body(Body body, Moment now);
  void take_roster(Line& line, const FrameHead& head, const Roster& roster, Moment now);
  void follow_all(Moment now);
  void follow_one(const std::string& address, bool wants_body);
  void choose_feed(Moment now);
  void count_ring(Follow& follow);
  void take_ring(const Beat& beat, Moment asked);
  void take_hold(Beat& beat, Moment asked);
  void take_samples(Line& line, LifeId life, Beat& beat, Moment asked, Moment now);
  void fetch(Moment now);
  void check_ready(Moment now);
  void turn(Moment now);
  void publish();
  void take_hub(Moment now);
  void send_aids();

  const Startup startup_;
  const LifeId life_;
  const std::string address_;
  std::function<void(ViewSnapshot)> show_;
  std::function<void(AidEvent)> tell_;
  LinkContext context_;
  Hub hub_;
  Waker waker_;
  Ring<std::vector<Address>> contacts_;
  Ring<AidOut> outs_;
  std::map<std::string, std::unique_ptr<Spoke>> aides_;  // brokers asked for aid, by inner address
  std::vector<BrokerSeat> seats_;  // ready brokers of other regions, a few of each
  std::uint64_t seats_mark_ = 0;   // of the list they were taken from
  void take_seats(const Beat& beat);
  Feed feed_;
  std::map<std::string, Line> lines_;  // by inner address
  RosterBook book_;
  Turnover turnover_;
  Moment born_, follow_due_{}, fetch_due_{};
  Version fetched_;  // last asked for, or waited for at the feed
  Span fetch_pause_{0};
  bool is_ready_ = false, has_news_ = false;
  std::uint64_t brokers_ = 1;
  Reserve reserve_;
  Moment reserve_shown_{};

  std::function<void(HoldNews)> hold_;
  std::function<void(SampleNews)> sample_;
  std::function<void(RingNews)> ring_;
  void take_edges(const Beat& beat);
  std::function<void(EdgeNews)> edges_;
  Ring<std::string> edge_counts_{8, {}};
  EdgeCounts edge_sums_{4096};  // until the feed has them
  std::uint64_t edges_held_ = 0;
  Ring<RingCounts> ring_counts_{64, {}};
  std::atomic<std::uint64_t> ring_confirmed_ = 0;
  std::uint64_t ring_told_ = 0, ring_mark_ = 0;
  Ring<Evidence> evidence_{16, {}};
  Evidence seen_;
  std::atomic<std::uint64_t> confirmed_mark_ = 0;
  std::uint64_t told_mark_ = 0, leads_mark_ = 0;  // leads_mark_: of the table handed on
  Moment hold_until_{};
  StepLog steps_;
  std::atomic<bool> should_stop_ = false, is_leaving_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
