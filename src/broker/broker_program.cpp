// saddlewing broker
#include <glog/logging.h>

#include <random>

#include "broker/broker_loop.h"
#include "commands/commands.h"
#include "process/signals.h"

namespace saddlewing {

int run_broker(const std::string& startup_path) {
  Signals signals(startup_path);
  NodeSettings settings;
  if (Error found = read_node_settings(startup_path, false, settings)) {
    LOG(ERROR) << "startup: " << found.text();
    return 1;
  }
  std::random_device device;
  const IncarnationId incarnation{(static_cast<std::uint64_t>(device()) << 32) | device() | 1u};
  BrokerLoop traffic(settings, incarnation);
  ControlPlaneClient follower(
      settings, incarnation, [&traffic](ViewSnapshot view) { traffic.show(std::move(view)); },
      [&traffic](DelegationEvent event) { traffic.tell(std::move(event)); });
  follower.set_ring_listener([&traffic](RingUpdate news) { traffic.turn_ring(std::move(news)); });
  if (settings.has_edges)
    follower.set_edge_listener(
        [&traffic](EdgeUpdate news) { traffic.turn_edges(std::move(news)); });
  traffic.set_follower(follower);
  traffic.set_sender([&follower](DelegationMessage out) { return follower.send(std::move(out)); });
  for (const Error& found : {follower.open(), traffic.open()})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  traffic.read_alerts(settings.alert_rules);
  follower.start();
  traffic.start();
  LOG(INFO) << "broker: started as " << settings.node_name;
  signals.serve(startup_path, false, [&](const NodeSettings& changed) {
    follower.set_seeds(changed.contacts);
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
