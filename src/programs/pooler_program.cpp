// saddlewing pooler
#include <glog/logging.h>

#include <random>

#include "programs/pooling.h"
#include "programs/programs.h"
#include "programs/signals.h"

namespace saddlewing {

int run_pooler(const std::string& startup_path) {
  Signals signals(startup_path);
  Startup startup;
  if (Fault found = read_startup(startup_path, false, startup)) {
    LOG(ERROR) << "startup: " << found.text();
    return 1;
  }
  std::random_device device;
  const LifeId life{(static_cast<std::uint64_t>(device()) << 32) | device() | 1u};
  Pooling pooling(startup);
  Follower follower(
      startup, life, [&pooling](ViewSnapshot view) { pooling.show(std::move(view)); },
      [](AidEvent) {});
  follower.set_pooler([&pooling](HoldNews news) { pooling.hold(std::move(news)); },
                      [&pooling](SampleNews news) { pooling.sample(std::move(news)); });
  pooling.set_follower(follower);
  for (const Fault& found : {follower.open(), pooling.open()})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  follower.start();
  pooling.start();
  LOG(INFO) << "pooler: started as " << startup.node_name;
  signals.serve(startup_path, false,
                [&](const Startup& changed) { follower.set_contacts(changed.contacts); });
  follower.set_leaving();
  pooling.leave();
  pooling.join();
  follower.stop();
  LOG(INFO) << "pooler: ended";
  return 0;
}

}  // namespace saddlewing
