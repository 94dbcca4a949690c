// saddlewing pooler
#include <glog/logging.h>

#include <optional>
#include <random>

#include "commands/commands.h"
#include "pooler/pooler_loop.h"
#include "process/signals.h"
#include "state/build_info.h"

namespace saddlewing {

int run_pooler(const ServeOptions& options) {
  Signals signals(options.settings_path);
  const std::optional<NodeSettings> read =
      signals.await_node_settings(options.settings_path, false);
  if (!read) {
    LOG(INFO) << "pooler: ended";
    return 0;
  }
  const NodeSettings& settings = *read;
  std::random_device device;
  const IncarnationId incarnation{(static_cast<std::uint64_t>(device()) << 32) | device() | 1u};
  PoolerLoop pooling(settings);
  ControlPlaneClient follower(
      settings, incarnation, [&pooling](ViewSnapshot view) { pooling.show(std::move(view)); },
      [](const DelegationEvent&) {});
  follower.set_pooler_listeners(
      [&pooling](LeadershipUpdate news) { pooling.lease(std::move(news)); },
      [&pooling](SampleUpdate news) { pooling.sample(std::move(news)); });
  pooling.set_follower(follower);
  for (const Error& found : {follower.open(), pooling.open(options.metrics_port)})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  follower.start();
  pooling.start();
  LOG(INFO) << "pooler: started as " << settings.node_name << ", version " << build_description();
  signals.serve(options.settings_path, false,
                [&](const NodeSettings& changed) { follower.set_seeds(changed.contacts); });
  follower.set_leaving();
  pooling.leave();
  pooling.join();
  follower.stop();
  LOG(INFO) << "pooler: ended";
  return 0;
}

}  // namespace saddlewing
