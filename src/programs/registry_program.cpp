// saddlewing registry
#include <glog/logging.h>
#include <unistd.h>

#include <optional>
#include <random>

#include "programs/core.h"
#include "programs/founding.h"
#include "programs/programs.h"
#include "programs/signals.h"

namespace saddlewing {
namespace {

std::uint64_t draw_number() {
  std::random_device device;
  const std::uint64_t drawn = (static_cast<std::uint64_t>(device()) << 32) | device();
  return drawn ? drawn : 1;
}

}  // namespace

int run_registry(const std::string& startup_path) {
  Signals signals(startup_path);
  std::optional<Startup> read = signals.await_startup(startup_path, true);
  if (!read) {
    LOG(INFO) << "registry: ended";
    return 0;
  }
  Startup startup = std::move(*read);
  Store store(startup.data_folder);
  bool has_waited = false;
  const auto wait = [&] {
    has_waited = true;
    signals.wait(1000);
    return !signals.is_ending();
  };
  std::optional<Durable> durable = load_or_found(startup, store, MemberId{draw_number()}, wait);
  if (!durable) {
    LOG(INFO) << "registry: ended";
    return 0;
  }
  if (Startup changed; has_waited && !read_startup(startup_path, true, changed))
    startup = std::move(changed);
  auto core = std::make_unique<Core>(startup, std::move(*durable), LifeId{draw_number()});
  Desk desk(startup, core->events());
  Lookout lookout(startup, core->events());
  Vault vault(store, core->events());
  Envoy envoy(startup, core->events());
  for (const Fault& found : {core->open(), desk.open()})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  vault.start();
  desk.start();
  lookout.start();
  envoy.start();
  core->start(desk, lookout, vault, envoy);
  LOG(INFO) << "registry: started as " << startup.node_name;
  signals.serve(startup_path, true,
                [&](const Startup& changed) { core->set_contacts(changed.contacts); });
  core->leave();
  core->join();
  desk.stop();
  lookout.stop();
  envoy.stop();
  vault.stop();
  LOG(INFO) << "registry: ended";
  google::FlushLogFiles(google::INFO);
  ::_exit(0);  // a thread stuck on the disk is left behind
}

}  // namespace saddlewing
