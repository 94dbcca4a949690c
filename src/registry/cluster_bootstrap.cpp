#include "registry/cluster_bootstrap.h"

#include <glog/logging.h>

#include <algorithm>

namespace saddlewing {
namespace {

// Of a founding member, from its address alone, so that all founders name each other alike.
MemberId founder_id(const std::string& address) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char letter : address)
    hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ull;
  return {hash | 1};
}

bool is_refused(LoadStatus status) {
  return status == LoadStatus::unknown_format || status == LoadStatus::unreadable;
}

}  // namespace

std::optional<PersistentState> load_or_found(const NodeSettings& settings,
                                             const DurableStore& store, MemberId fresh,
                                             const std::function<bool()>& wait) {
  LoadResult loaded = store.load();
  if (loaded.status == LoadStatus::unknown_format)
    LOG(ERROR) << "disk: store of a later format, left as it is: " << loaded.error.text();
  if (loaded.status == LoadStatus::unreadable)
    LOG(ERROR) << "disk: store cannot be read, left as it is: " << loaded.error.text();
  const bool was_refused = is_refused(
      loaded.status);  // then there was a store: whatever becomes of it, no core is founded
  while (is_refused(loaded.status)) {
    if (!wait())
      return std::nullopt;
    loaded = store.load();
  }
  if (loaded.status == LoadStatus::loaded)
    return loaded.persistent;
  if (loaded.status == LoadStatus::damaged)
    LOG(ERROR) << "disk: store damaged, treated as lost: " << loaded.error.text();
  auto entry = std::make_shared<Entry>();
  const std::string self = Address{settings.ip_address, settings.inner_port}.text();
  for (const Address& contact : settings.contacts) {
    const std::string address = Address{contact.host, settings.inner_port}.text();
    entry->members.push_back({founder_id(address), address});
  }
  const bool is_founder = std::any_of(entry->members.begin(), entry->members.end(),
                                      [&](const Member& m) { return m.address == self; });
  PersistentState persistent;
  if (settings.is_first_run && is_founder && loaded.status == LoadStatus::empty && !was_refused) {
    persistent.self = founder_id(self);
    LOG(INFO) << "agree: founds a core of " << entry->members.size();
  } else {
    entry->members.clear();
    persistent.self = fresh;
    LOG(INFO) << "agree: asks to join";
  }
  persistent.entry = std::move(entry);
  return persistent;
}

}  // namespace saddlewing
