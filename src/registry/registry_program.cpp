// saddlewing registry
#include <glog/logging.h>
#include <unistd.h>

#include <optional>
#include <random>

#include "commands/commands.h"
#include "process/signals.h"
#include "registry/cluster_bootstrap.h"
#include "registry/control_loop.h"
#include "state/build_info.h"

namespace saddlewing {
namespace {

std::uint64_t draw_number() {
  std::random_device device;
  const std::uint64_t drawn = (static_cast<std::uint64_t>(device()) << 32) | device();
  return drawn ? drawn : 1;
}

}  // namespace

int run_registry(const ServeOptions& options) {
  Signals signals(options.settings_path);
  std::optional<NodeSettings> read = signals.await_node_settings(options.settings_path, true);
  if (!read) {
    LOG(INFO) << "registry: ended";
    return 0;
  }
  NodeSettings settings = std::move(*read);
  DurableStore store(settings.data_folder);
  bool has_waited = false;
  const auto wait = [&] {
    has_waited = true;
    signals.wait(1000);
    return !signals.is_ending();
  };
  std::optional<PersistentState> persistent =
      load_or_found(settings, store, MemberId{draw_number()}, wait);
  if (!persistent) {
    LOG(INFO) << "registry: ended";
    return 0;
  }
  if (NodeSettings changed; has_waited && !read_node_settings(options.settings_path, true, changed))
    settings = std::move(changed);
  auto core =
      std::make_unique<ControlLoop>(settings, std::move(*persistent), IncarnationId{draw_number()});
  OperatorApi operator_api(settings, core->events());
  BackendMonitor monitor(settings, core->events());
  StorageThread storage(store, core->events());
  CommandDispatcher dispatcher(settings, core->events());
  for (const Error& found : {core->open(), operator_api.open(options.metrics_port)})
    if (found) {
      LOG(ERROR) << "startup: " << found.text();
      return 1;
    }
  storage.start();
  operator_api.start();
  monitor.start();
  dispatcher.start();
  core->start(operator_api, monitor, storage, dispatcher);
  LOG(INFO) << "registry: started as " << settings.node_name << ", version " << build_description();
  signals.serve(options.settings_path, true,
                [&](const NodeSettings& changed) { core->set_contacts(changed.contacts); });
  core->leave();
  core->join();
  operator_api.stop();
  monitor.stop();
  dispatcher.stop();
  storage.stop();
  LOG(INFO) << "registry: ended";
  google::FlushLogFiles(google::INFO);
  ::_exit(0);  // a thread stuck on the disk is left behind
}

}  // namespace saddlewing
