// saddlewing broker
#include <glog/logging.h>

#include <optional>
#include <random>

#include "broker/broker_loop.h"
#include "commands/commands.h"
#include "process/signals.h"
#include "state/build_info.h"

namespace saddlewing {

int run_broker(const ServeOptions& options) {
  Signals signals(options.settings_path);
  const std::optional<NodeSettings> read =
      signals.await_node_settings(options.settings_path, false);
  if (!read) {
    LOG(INFO) << "broker: ended";
    return 0;
  }
  const NodeSettings& settings = *read;
  std::random_device device;
  const IncarnationId incarnation{(static_cast<std::uint64_t>(device()) << 32) | device() | 1u};
  BrokerLoop loop(settings, incarnation);
  ControlPlaneClient follower(
      settings, incarnation, [&loop](ViewSnapshot view) { loop.show(std::move(view)); },
      [&loop](DelegationEvent event) { loop.tell(std::move(event)); });
  follower.set_ring_listener([&loop](RingUpdate news) { loop.turn_ring(std::move(news)); });
  if (settings.has_edges)
    follower.set_edge_listener([&loop](EdgeUpdate news) { loop.turn_edges(std::move(news)); });
  loop.set_follower(follower);
  loop.set_sender([&follower](DelegationMessage out) { return follower.send(std::move(out)); });
  for (const Error& found : {follower.open(), loop.open(options.metrics_port)})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  loop.read_alerts(settings.alert_rules);
  follower.start();
  loop.start();
  LOG(INFO) << "broker: started as " << settings.node_name << ", version " << build_description();
  signals.serve(options.settings_path, false, [&](const NodeSettings& changed) {
    follower.set_seeds(changed.contacts);
    loop.read_alerts(changed.alert_rules);
  });
  follower.set_leaving();
  loop.leave();
  loop.join();
  follower.stop();
  LOG(INFO) << "broker: ended";
  return 0;
}

}  // namespace saddlewing
