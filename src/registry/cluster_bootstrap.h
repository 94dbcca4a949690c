#pragma once
// What a registry begins with: its record, a core founded anew, or a fresh id that asks to join.
#include <functional>
#include <optional>

#include "state/durable_store.h"
#include "state/node_settings.h"

namespace saddlewing {

// A store of an unknown format, or one that cannot be read, is logged once and left alone: `wait`
// is called until the store can be served, or until it says false. Then there is nothing to begin
// with. `fresh` is taken by whoever neither has a record nor founds.
std::optional<PersistentState> load_or_found(const NodeSettings& settings,
                                             const DurableStore& store, MemberId fresh,
                                             const std::function<bool()>& wait);

}  // namespace saddlewing
