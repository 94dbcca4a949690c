// saddlewing registry
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <random>

#include "programs/core.h"
#include "programs/programs.h"
#include "programs/signals.h"

namespace saddlewing {
namespace {

std::uint64_t draw_number() {
  std::random_device device;
  const std::uint64_t drawn = (static_cast<std::uint64_t>(device()) << 32) | device();
  return drawn ? drawn : 1;
}

// Of a founding member, from its address alone, so that all founders name each other alike.
MemberId founder_id(const std::string& address) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char letter : address) hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ull;
  return {hash | 1};
}

Durable found_or_fresh(const Startup& startup, const Store& store) {
  Durable durable;
  Fault why;
  const Store::Found found = store.load(durable, why);
  if (found == Store::Found::record) return durable;
  if (found == Store::Found::damaged) LOG(ERROR) << "disk: store damaged, treated as lost: " << why.text();
  auto entry = std::make_shared<Entry>();
  const std::string self = Address{startup.ip_address, startup.inner_port}.text();
  for (const Address& contact : startup.contacts) {
    const std::string address = Address{contact.host, startup.inner_port}.text();
    entry->members.push_back({founder_id(address), address});
  }
  const bool is_founder = std::any_of(entry->members.begin(), entry->members.end(), [&](const Member& m) { return m.address == self; });
  durable = {};
  if (startup.is_first_run && is_founder && found == Store::Found::nothing) {
    durable.self = founder_id(self);
    LOG(INFO) << "agree: founds a core of " << entry->members.size();
  } else {
    entry->members.clear();
    durable.self = {draw_number()};
    LOG(INFO) << "agree: asks to join";
  }
  durable.entry = std::move(entry);
  return durable;
}

}  // namespace

int run_registry(const std::string& startup_path) {
  Startup startup;
  if (Fault found = read_startup(startup_path, true, startup)) {
    LOG(ERROR) << "startup: " << found.text();
    return 1;
  }
  Signals signals;
  Store store(startup.data_folder);
  auto core = std::make_unique<Core>(startup, found_or_fresh(startup, store), LifeId{draw_number()});
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
  signals.serve(startup_path, true, [&](const Startup& changed) { core->set_contacts(changed.contacts); });
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
