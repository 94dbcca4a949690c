// saddlewing broker
#include <glog/logging.h>

#include <random>

#include "programs/programs.h"
#include "programs/signals.h"
#include "programs/traffic.h"

namespace saddlewing {

int run_broker(const std::string& startup_path) {
  Signals signals(startup_path);
  Startup startup;
  if (Fault found = read_startup(startup_path, false, startup)) {
    LOG(ERROR) << "startup: " << found.text();
    return 1;
  }
  std::random_device device;
  const LifeId life{(static_cast<std::uint64_t>(device()) << 32) | device() | 1u};
  Traffic traffic(startup, life);
  Follower follower(
      startup, life, [&traffic](ViewSnapshot view) { traffic.show(std::move(view)); },
      [&traffic](AidEvent event) { traffic.tell(std::move(event)); });
  follower.set_ring([&traffic](RingNews news) { traffic.turn_ring(std::move(news)); });
  if (startup.has_edges)
    follower.set_edges([&traffic](EdgeNews news) { traffic.turn_edges(std::move(news)); });
  traffic.set_follower(follower);
  traffic.set_sender([&follower](AidOut out) { return follower.send(std::move(out)); });
  for (const Fault& found : {follower.open(), traffic.open()})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  traffic.read_alerts(startup.alert_rules);
  follower.start();
  traffic.start();
  LOG(INFO) << "broker: started as " << startup.node_name;
  signals.serve(startup_path, false, [&](const Startup& changed) {
    follower.set_contacts(changed.contacts);
    traffic.read_alerts(changed.alert_rules);
  });
  follower.set_leaving();
  traffic.leave();
  traffic.join();
  follower.stop();
  LOG(INFO) << "broker: ended";
  return 0;
}

}  // namespace saddlewing
