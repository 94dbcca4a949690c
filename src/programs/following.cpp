// What the follow thread tells registries and takes from their beats: the feed, holds, samples, the
// ring.
#include <glog/logging.h>

#include <algorithm>

#include "programs/follower.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr Span oldest_sample{1500};

}  // namespace

void Follower::follow_one(const std::string& address, bool wants_body) {
  const auto found = lines_.find(address);
  const auto known = feed_.sources().find(address);
  if (found == lines_.end() || known == feed_.sources().end())
    return;
  const Line& line = found->second;
  const bool is_feed = address == feed_.chosen(), is_leader = feed_.is_leader(known->second);
  Follow follow;
  follow.version = turnover_.held();
  follow.roster_life = line.life;
  follow.roster_mark = line.mark;
  follow.wants_body = wants_body;
  follow.wants_roster = is_feed;
  follow.region = startup_.region;
  follow.is_ready = is_ready_ && !is_leaving_;
  follow.seats_mark = seats_mark_;
  follow.token = feed_.token();
  follow.leads_mark = confirmed_mark_;
  if (hold_)
    follow.locality = startup_.locality;
  follow.ring_mark = ring_confirmed_;
  follow.ring_held = ring_mark_;
  if (ring_mark_ && is_leader)
    count_ring(follow);
  if (edges_) {
    follow.edges_held = edges_held_;
    for (const std::string& counts : edge_counts_.take())
      edge_sums_.merge(counts);
    if (is_feed)
      follow.edge_counts = edge_sums_.take();
  }
  if (hold_ && (is_leader || is_feed)) {
    follow.failing = seen_.failing;
    follow.fine = seen_.fine;
    if (is_feed && line.serial && Clock::now() - seen_.built < oldest_sample) {
      const Moment now = Clock::now();
      follow.samples = seen_.samples;
      follow.samples_age =
          static_cast<std::uint64_t>(std::chrono::ceil<Span>(now - seen_.built).count());
      follow.echo_life = line.beat_life;
      follow.echo = line.serial;
      follow.gap = static_cast<std::uint64_t>(span_between(line.beaten, now).count());
    }
    if (seen_.mark != follow.leads_mark)
      follow.failing.clear(), follow.fine.clear();
  }
  line.spoke->send(encode({FrameKind::follow, life_, address_}, follow));
}

void Follower::count_ring(Follow& follow) {
  std::map<VirtualNode, RingLoad> sums;
  std::map<std::string, RingLoad> account_sums;
  for (const RingCounts& counts : ring_counts_.take()) {
    for (const auto& [virtual_node, load] : counts.loads)
      sums[virtual_node] += load;
    for (const auto& [account, load] : counts.accounts)
      account_sums[account] += load;
    follow.lookups += counts.lookups;
    follow.late_lookups += counts.late;
  }
  std::vector<std::pair<VirtualNode, RingLoad>> loads(sums.begin(), sums.end());
  std::vector<std::pair<std::string, RingLoad>> accounts(account_sums.begin(), account_sums.end());
  const auto is_busier = [](const auto& left, const auto& right) {
    return left.second.busy_ms > right.second.busy_ms;
  };
  std::sort(loads.begin(), loads.end(), is_busier);
  std::sort(accounts.begin(), accounts.end(), is_busier);
  follow.ring_loads = encode_loads(loads);
  follow.account_loads = encode_account_loads(accounts);
}

// A view that does not read, or that is older than the one held, changes nothing.
void Follower::take_edges(const Beat& beat) {
  if (!beat.edges_in_force && beat.edges.empty())
    return;
  EdgeNews news{nullptr, beat.edges_in_force};
  auto view = std::make_shared<EdgeView>();
  if (!beat.edges.empty()) {
    if (decode_view(beat.edges, *view) && view->mark >= edges_held_) {
      if (view->mark > edges_held_)
        news.view = view;
      edges_held_ = view->mark;
    } else {
      metrics().add(Metric::edge_frames_dropped);
    }
  }
  edges_(std::move(news));
}

void Follower::take_ring(const Beat& beat, Moment asked) {
  RingNews news;
  if (!beat.ring.empty() && beat.ring_mark > ring_mark_) {
    RingSheet sheet;
    if (decode_ring(beat.ring, sheet) && sheet.mark == beat.ring_mark &&
        (news.view = view_ring(sheet))) {
      ring_mark_ = sheet.mark;
      LOG(INFO) << "follow: ring " << ring_mark_ << " held";
    }
  }
  if (beat.hold)
    news.until = asked + Span(static_cast<std::int64_t>(std::min<std::uint64_t>(beat.hold, 60000)));
  if (news.view || (ring_mark_ && beat.hold))
    ring_(std::move(news));
}

// Invariant: a hold counts from the moment of asking, and a table is handed on before a hold that
// covers it.
void Follower::take_hold(Beat& beat, Moment asked) {
  HoldNews news;
  if (!beat.leads.empty() && beat.leads_mark > leads_mark_) {
    auto table = std::make_shared<LeadTable>();
    if (decode_leads(beat.leads, *table) && table->mark == beat.leads_mark) {
      leads_mark_ = table->mark;
      news.leads = std::move(table);
    }
  }
  if (beat.hold)
    hold_until_ = std::max(
        hold_until_,
        asked + Span(static_cast<std::int64_t>(std::min<std::uint64_t>(beat.hold, 60000))));
  news.until = hold_until_;
  if (news.leads || beat.hold)
    hold_(std::move(news));
}

// The beat answers that follow, so its ages were counted after it left.
void Follower::take_samples(Line& line, LifeId life, Beat& beat, Moment asked, Moment now) {
  line.beat_life = life;
  line.serial = beat.serial;
  line.beaten = now;
  if (!beat.samples.empty())
    sample_({std::move(beat.samples), asked});
}

}  // namespace saddlewing
