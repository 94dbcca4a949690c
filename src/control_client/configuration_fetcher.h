#pragma once
// Decides when the body of a newer configuration is requested, and from which registry.
//
// Job: a body is large, so that it is requested from one registry at a time, again after growing
// intervals and then from another. It sends nothing itself.
// Threading: not synchronized; owned by the client's thread.
#include <optional>
#include <string>

#include "coordination/discovery/control_source_selector.h"
#include "state/types.h"

namespace saddlewing {

class ConfigurationFetcher {
 public:
  // The registry to request the newest version from now; nothing if none holds a newer one than
  // `held`, or if it is to be waited for.
  // `has_source`: the process is ready and has a source, which is then preferred.
  std::optional<std::string> next(const ControlSourceSelector& selector, Version held,
                                  bool has_source, TimePoint now);

  // A body arrived: the next newer version is requested at once.
  void finish() {
    due_ = {};
  }

  // Whether a version newer than `held` is waited for.
  bool is_waiting(Version held) const {
    return requested_ > held;
  }

  // When next() is worth a call again.
  TimePoint due() const {
    return due_;
  }

 private:
  Version requested_;  // last requested, or waited for at the source
  TimePoint due_{};
  Duration interval_{0};
};

}  // namespace saddlewing
